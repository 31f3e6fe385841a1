//! A watch on the endpoint list at one address of the discovery agent, which opens a new connection
//! after each failure.
use crate::discovery::decoding::ListSplitter;
use crate::discovery::error::WatchError;
use crate::discovery::http::{self, BodyDecoder};
use crate::discovery::poll_schedule::PollSchedule;
use crate::io_context::IoContext;
use crate::output_buffer::OutputBuffer;
use crate::sockets::{Connection, SocketOwner};
use crate::timers::Timer;
use std::io::{self, ErrorKind, Read};
use std::net::SocketAddr;
use thistlecroft::time::{Duration, Instant};

/// Maximum size of one list, which bounds the memory that a list without an end can take. Thousands
/// of endpoints need less.
const MAX_LIST_BYTES: usize = 16 << 20;
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// A watch at one address of the agent, and the schedule of its attempts.
pub(super) struct WatchConnection {
    pub(super) address: SocketAddr,
    state: State,
    /// Bytes read from the socket and not decoded yet.
    received: Vec<u8>,
    /// Splits the decoded body of the response into lists.
    lists: ListSplitter,
    /// When the last complete list, heartbeat or response head arrived, or else when the attempt
    /// started. Bytes of an incomplete line do not count: a line that trickles in would hide that
    /// everything else has stopped.
    pub(super) last_progress: Instant,
    /// The attempt or watch is given up after this time without progress.
    pub(super) silence_timeout: Duration,
    /// When the timer that was set last fires. Earlier timers are ignored: if each of them started
    /// an attempt, which sets another timer, an agent that stays down would be polled faster and
    /// faster.
    wake_at: Instant,
    pub(super) schedule: PollSchedule,
}

enum State {
    /// No attempt is under way; a timer starts the next one.
    Idle,
    /// The connection is being established, or the request is being sent.
    Connecting(Connection, OutputBuffer),
    /// The request is sent, and the response head is awaited.
    Requested(Connection),
    /// The response body is being received.
    Streaming(Connection, BodyDecoder),
}

/// What is due when a timer fires.
pub(super) enum TimerOutcome {
    /// Nothing is due yet.
    Waiting,
    /// The next attempt is due.
    AttemptDue,
    /// There was no progress within `silence_timeout`.
    TimedOut,
}

impl WatchConnection {
    pub(super) fn new(
        address: SocketAddr,
        silence_timeout: Duration,
        now: Instant,
    ) -> WatchConnection {
        WatchConnection {
            address,
            state: State::Idle,
            received: Vec::new(),
            lists: ListSplitter::default(),
            last_progress: now,
            silence_timeout,
            wake_at: now,
            schedule: PollSchedule::default(),
        }
    }

    /// Returns true if an event with this key is about this connection.
    pub(super) fn owns(&self, key: usize) -> bool {
        match &self.state {
            State::Connecting(connection, _)
            | State::Requested(connection)
            | State::Streaming(connection, _) => connection.has_key(key),
            State::Idle => false,
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        matches!(self.state, State::Idle)
    }

    /// Returns true while an attempt is under way whose response head has not arrived.
    pub(super) fn is_unanswered(&self) -> bool {
        matches!(self.state, State::Connecting(..) | State::Requested(_))
    }

    pub(super) fn is_streaming(&self) -> bool {
        matches!(self.state, State::Streaming(..))
    }

    /// Starts an attempt. With a generation, the request asks for the changes since that
    /// generation. Sets a timer for the time by which the agent should have answered.
    ///
    /// # Errors
    /// Returns an error if the system refuses the connection immediately.
    pub(super) fn start_attempt(
        &mut self,
        since: Option<u64>,
        response_timeout: Duration,
        io: &mut IoContext,
    ) -> Result<(), WatchError> {
        self.received.clear();
        self.lists = ListSplitter::default();
        self.last_progress = io.now;
        let request = http::watch_request(self.address, since);
        let connection = io.sockets.connect(SocketOwner::Discovery, self.address);
        let mut connection = connection.map_err(WatchError::Connect)?;
        connection.set_interest(true, true);
        self.state = State::Connecting(connection, request);
        self.set_timer(io.now + self.silence_timeout.min(response_timeout), io);
        Ok(())
    }

    /// Closes the connection, and schedules the next attempt after `delay`.
    pub(super) fn close_and_retry_after(&mut self, delay: Duration, io: &mut IoContext) {
        self.state = State::Idle;
        self.set_timer(io.now + delay, io);
    }

    pub(super) fn set_timer(&mut self, at: Instant, io: &mut IoContext) {
        self.wake_at = at;
        io.timers.set(at, Timer::Discovery);
    }

    pub(super) fn handle_timer(&mut self, io: &mut IoContext) -> TimerOutcome {
        if io.now < self.wake_at {
            return TimerOutcome::Waiting;
        }
        if self.is_idle() {
            return TimerOutcome::AttemptDue;
        }
        if io.now.duration_since(self.last_progress) >= self.silence_timeout {
            return TimerOutcome::TimedOut;
        }
        self.set_timer(self.last_progress + self.silence_timeout, io);
        TimerOutcome::Waiting
    }

    /// Sends and reads as far as the socket allows, and appends complete lists to `lists`.
    ///
    /// # Errors
    /// Returns an error if the attempt or the watch has failed. Lists that arrived before the
    /// failure are in `lists`.
    pub(super) fn handle_socket_event(
        &mut self,
        lists: &mut Vec<Vec<u8>>,
        io: &mut IoContext,
    ) -> Result<(), WatchError> {
        match &mut self.state {
            State::Idle => Ok(()),
            State::Connecting(..) => self.send_request().map_err(WatchError::Connect),
            State::Requested(_) | State::Streaming(..) => self.read(lists, io),
        }
    }

    fn send_request(&mut self) -> io::Result<()> {
        if let State::Connecting(connection, request) = &mut self.state
            && connection.is_connected()?
            && request.write_to(connection)?
            && let State::Connecting(mut connection, _) =
                std::mem::replace(&mut self.state, State::Idle)
        {
            connection.set_interest(true, false);
            self.state = State::Requested(connection);
        }
        Ok(())
    }

    fn read(&mut self, lists: &mut Vec<Vec<u8>>, io: &mut IoContext) -> Result<(), WatchError> {
        if !self.receive()? {
            return Ok(());
        }
        if matches!(self.state, State::Requested(_)) {
            if !self.read_head()? {
                return Ok(());
            }
            self.last_progress = io.now;
        }
        let decoded = match &mut self.state {
            State::Streaming(_, body) => body.decode(&mut self.received, &mut self.lists.text),
            _ => Ok(()),
        };
        // Lists that arrived before an error in the transfer coding are still used.
        if self.lists.take_complete_lists(lists)? {
            self.last_progress = io.now;
        }
        if self.lists.text.len() + self.received.len() > MAX_LIST_BYTES {
            return Err(WatchError::ListTooLong);
        }
        Ok(decoded?)
    }

    /// Reads from the socket once. Returns false if there was nothing to read.
    fn receive(&mut self) -> Result<bool, WatchError> {
        let (State::Requested(connection) | State::Streaming(connection, _)) = &mut self.state
        else {
            return Ok(false);
        };
        let mut bytes = [0; READ_BUFFER_BYTES];
        match connection.read(&mut bytes) {
            Ok(0) => Err(WatchError::ConnectionClosed),
            Ok(length) => {
                self.received.extend_from_slice(&bytes[..length]);
                Ok(true)
            }
            Err(error)
                if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) =>
            {
                Ok(false)
            }
            Err(error) => Err(WatchError::Read(error)),
        }
    }

    /// Decodes the response head. Returns false while it is incomplete.
    fn read_head(&mut self) -> Result<bool, WatchError> {
        let Some(body) = http::take_head(&mut self.received)? else {
            return Ok(false);
        };
        if let State::Requested(connection) = std::mem::replace(&mut self.state, State::Idle) {
            self.state = State::Streaming(connection, body);
        }
        Ok(true)
    }
}
