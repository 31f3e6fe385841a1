//! One watch on the endpoint list: the conversation with one address of the agent, over one
//! connection after another.
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

/// The longest text of one list, against a line that never ends: thousands of endpoints fit in less.
const MAX_LIST_BYTES: usize = 16 << 20;
const READ_BYTES: usize = 16 * 1024;

/// The conversation with one address of the agent.
pub(super) struct WatchConnection {
    pub(super) address: SocketAddr,
    state: State,
    /// As it came from the socket.
    received: Vec<u8>,
    /// The body of the response, without its chunks.
    lists: ListSplitter,
    /// When a complete list, a heartbeat or the head of a response came last, else when the request
    /// was begun. A line that trickles in does not count: it would hide that all else has stopped.
    pub(super) last_heard: Instant,
    /// Given up after so long without one of them.
    pub(super) silence_timeout: Duration,
    /// Only the timer set last counts: were each to start an attempt, which sets one more, an agent
    /// that stays down would be polled ever faster.
    wake_at: Instant,
    pub(super) schedule: PollSchedule,
}

enum State {
    /// Until the next attempt.
    Idle,
    /// The request waits to be sent.
    Connecting(Connection, OutputBuffer),
    /// The request is sent, and the head of the response is awaited.
    Requested(Connection),
    /// The body of the response arrives.
    Streaming(Connection, BodyDecoder),
}

/// What a timer found out.
pub(super) enum TimerOutcome {
    /// Nothing to do yet.
    Waiting,
    /// The next attempt is due.
    AttemptDue,
    /// The agent has been silent for too long.
    Silent,
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
            last_heard: now,
            silence_timeout,
            wake_at: now,
            schedule: PollSchedule::default(),
        }
    }

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

    /// The request has not been answered yet.
    pub(super) fn is_unanswered(&self) -> bool {
        matches!(self.state, State::Connecting(..) | State::Requested(_))
    }

    pub(super) fn is_streaming(&self) -> bool {
        matches!(self.state, State::Streaming(..))
    }

    /// Begins an attempt; with a generation it asks for what has changed since. Looked at again when
    /// its answer is due.
    ///
    /// # Errors
    /// The system refuses the connection at once.
    pub(super) fn begin(
        &mut self,
        since: Option<u64>,
        response_timeout: Duration,
        io: &mut IoContext,
    ) -> Result<(), WatchError> {
        self.received.clear();
        self.lists = ListSplitter::default();
        self.last_heard = io.now;
        let request = http::watch_request(self.address, since);
        let connection = io.sockets.connect(SocketOwner::Discovery, self.address);
        let mut connection = connection.map_err(WatchError::Connect)?;
        connection.set_interest(true, true);
        self.state = State::Connecting(connection, request);
        self.set_timer(io.now + self.silence_timeout.min(response_timeout), io);
        Ok(())
    }

    /// Ends the attempt; another is due after the delay.
    pub(super) fn end(&mut self, delay: Duration, io: &mut IoContext) {
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
        if io.now.duration_since(self.last_heard) >= self.silence_timeout {
            return TimerOutcome::Silent;
        }
        self.set_timer(self.last_heard + self.silence_timeout, io);
        TimerOutcome::Waiting
    }

    /// Goes on as far as the socket allows; complete lists go to `lists`.
    ///
    /// # Errors
    /// The watch has come to nothing. What came before is in `lists`.
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
            self.last_heard = io.now;
        }
        let decoded = match &mut self.state {
            State::Streaming(_, body) => body.decode(&mut self.received, &mut self.lists.text),
            _ => Ok(()),
        };
        // What came before a fault of the coding counts.
        if self.lists.take_complete(lists)? {
            self.last_heard = io.now;
        }
        if self.lists.text.len() + self.received.len() > MAX_LIST_BYTES {
            return Err(WatchError::ListTooLong);
        }
        Ok(decoded?)
    }

    /// Reads from the socket once; false if nothing has come.
    fn receive(&mut self) -> Result<bool, WatchError> {
        let (State::Requested(connection) | State::Streaming(connection, _)) = &mut self.state
        else {
            return Ok(false);
        };
        let mut bytes = [0; READ_BYTES];
        match connection.read(&mut bytes) {
            Ok(0) => Err(WatchError::Ended),
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

    /// False while the head is incomplete.
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
