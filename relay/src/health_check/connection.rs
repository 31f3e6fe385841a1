//! One backend's connection for health checks.
use crate::buffers::BufferPool;
use crate::line_buffer::{LineBuffer, ReadOutcome};
use crate::output_buffer::OutputBuffer;
use crate::protocol::{self, HEALTH_CHECK_LINE};
use crate::sockets::{Connection, SocketOwner, Sockets};
use std::net::SocketAddr;
use thistlecroft::attempt::{AttemptOutcome, LoadReport};
use thistlecroft::ids::BackendId;
use thistlecroft::time::Instant;

/// The state of the latest check. The order is the one in which connections are closed when
/// descriptors run out.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CheckState {
    /// Answered; the connection stays open for the next check.
    Idle,
    /// The connection is being established.
    Connecting,
    /// The answer is awaited.
    AwaitingAnswer,
}

/// The connection to a backend for health checks. It is reused as long as it stays open, since a
/// new connection costs the backend several times as much as an answer.
pub(super) struct HealthCheck {
    pub(super) connection: Connection,
    pub(super) state: CheckState,
    request: OutputBuffer,
    answer: LineBuffer,
    /// Tells timers of the current check apart from those of earlier checks.
    pub(super) serial: u32,
    pub(super) started: Instant,
    /// True if the connection has served an earlier check.
    is_reused: bool,
}

impl HealthCheck {
    /// Starts to connect for a first check.
    pub(super) fn connect(
        id: BackendId,
        address: SocketAddr,
        serial: u32,
        now: Instant,
        sockets: &mut Sockets,
    ) -> std::io::Result<HealthCheck> {
        let mut connection = sockets.connect(SocketOwner::HealthCheck(id.0), address)?;
        connection.set_interest(true, true);
        let mut request = OutputBuffer::default();
        request.push_line(HEALTH_CHECK_LINE);
        Ok(HealthCheck {
            connection,
            state: CheckState::Connecting,
            request,
            answer: LineBuffer::default(),
            serial,
            started: now,
            is_reused: false,
        })
    }

    /// Starts the next check on an idle connection.
    pub(super) fn reuse(&mut self, serial: u32, now: Instant) {
        self.request.push_line(HEALTH_CHECK_LINE);
        self.serial = serial;
        self.started = now;
        self.state = CheckState::AwaitingAnswer;
        self.is_reused = true;
        self.connection.set_interest(true, true);
    }

    /// Connects, writes and reads as far as the socket allows. Returns the answer to the check once
    /// it has arrived; an unsolicited line is ignored.
    pub(super) fn advance(
        &mut self,
        buffers: &mut BufferPool,
    ) -> Result<Option<(AttemptOutcome, LoadReport)>, AttemptOutcome> {
        if self.state == CheckState::Connecting {
            match self.connection.is_connected() {
                Ok(true) => self.state = CheckState::AwaitingAnswer,
                Ok(false) => return Ok(None),
                Err(_) => return Err(AttemptOutcome::Unreachable),
            }
        }
        if self.request.has_pending() {
            let is_written = self.request.write_to(&mut self.connection);
            if is_written.map_err(|_| AttemptOutcome::Reset)? {
                self.connection.set_interest(true, false);
            }
        }
        let read = self
            .answer
            .read_from(&mut self.connection, buffers)
            .map_err(|_| AttemptOutcome::Reset)?;
        let answer = match self.answer.next_line() {
            Ok(Some(line)) => protocol::parse_health_check_response(line),
            Ok(None) if read == ReadOutcome::End => return Err(AttemptOutcome::Reset),
            Ok(None) => return Ok(None),
            Err(_) => return Err(AttemptOutcome::Error),
        };
        self.answer.clear(buffers);
        Ok((self.state == CheckState::AwaitingAnswer).then_some(answer))
    }

    /// Marks the check as answered. The connection is kept for the next one.
    pub(super) fn set_idle(&mut self) {
        self.state = CheckState::Idle;
        self.connection.set_interest(true, false);
    }

    /// Returns whether the backend closed the idle connection just when it was reused, which
    /// reveals nothing about the backend's health.
    pub(super) fn was_closed_while_idle(&self, outcome: AttemptOutcome) -> bool {
        outcome == AttemptOutcome::Reset && self.is_reused && !self.answer.has_bytes()
    }

    /// Returns the buffer of an incomplete answer to the pool.
    pub(super) fn release_buffer(&mut self, buffers: &mut BufferPool) {
        self.answer.clear(buffers);
    }
}
