//! Health checks: requests the load of each checked backend over a connection of its own.
use crate::driver::Event;
use crate::io_context::IoContext;
use crate::line_buffer::{LineBuffer, ReadOutcome};
use crate::output_buffer::OutputBuffer;
use crate::protocol::{self, HEALTH_CHECK_LINE};
use crate::sockets::{Connection, SocketOwner};
use crate::timers::Timer;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use thistlecroft::attempt::{AttemptOutcome, LoadReport};
use thistlecroft::ids::BackendId;
use thistlecroft::time::{Duration, Instant};

/// Timeout of a health check as a multiple of the connect timeout: one for establishing the
/// connection, and one for the answer.
const CONNECT_TIMEOUTS_PER_CHECK: f64 = 2.0;

#[derive(Clone, Copy, PartialEq, Eq)]
enum CheckState {
    /// The connection is being established.
    Connecting,
    /// The answer is awaited.
    AwaitingAnswer,
    /// Answered; the connection stays open for the next check.
    Idle,
}

/// The connection to a backend for health checks. It is reused as long as it stays open, since a
/// new connection costs the backend several times as much as an answer.
struct HealthCheck {
    connection: Connection,
    state: CheckState,
    request: OutputBuffer,
    answer: LineBuffer,
    /// Tells timers of the current check apart from those of earlier checks.
    serial: u32,
    started: Instant,
    /// True if the connection has served an earlier check.
    is_reused: bool,
}

/// The health checks of all backends.
pub(crate) struct HealthChecks {
    checks: BTreeMap<BackendId, HealthCheck>,
    serial: u32,
    timeout: Duration,
    idle_timeout: Duration,
}

impl HealthChecks {
    /// Creates an empty set of health checks. Connections are closed after being idle for
    /// `idle_timeout`.
    pub(crate) fn new(connect_timeout: Duration, idle_timeout: Duration) -> HealthChecks {
        HealthChecks {
            checks: BTreeMap::new(),
            serial: 0,
            timeout: connect_timeout * CONNECT_TIMEOUTS_PER_CHECK,
            idle_timeout,
        }
    }

    /// Sets the timeouts of later checks.
    pub(crate) fn set_timeouts(&mut self, connect_timeout: Duration, idle_timeout: Duration) {
        self.timeout = connect_timeout * CONNECT_TIMEOUTS_PER_CHECK;
        self.idle_timeout = idle_timeout;
    }

    /// Starts a check of a backend, unless one is under way or its address is unknown.
    pub(crate) fn start(&mut self, id: BackendId, address: Option<SocketAddr>, io: &mut IoContext) {
        self.serial = self.serial.wrapping_add(1);
        let serial = self.serial;
        if let Some(check) = self.checks.get_mut(&id) {
            if check.state != CheckState::Idle {
                return;
            }
            check.reuse(serial, io.now);
        } else {
            let Some(address) = address else { return };
            let Ok(check) = HealthCheck::connect(id, address, serial, io) else {
                io.counters.probes += 1;
                return report_failure(id, AttemptOutcome::Unreachable, io);
            };
            self.checks.insert(id, check);
        }
        io.counters.probes += 1;
        io.timers
            .set(io.now + self.timeout, Timer::HealthCheck(id, serial));
    }

    /// Handles the readiness of the socket with this key.
    pub(crate) fn handle_event(
        &mut self,
        id: BackendId,
        key: usize,
        address: Option<SocketAddr>,
        io: &mut IoContext,
    ) {
        let check = self.checks.get_mut(&id);
        let Some(check) = check.filter(|check| check.connection.has_key(key)) else {
            return;
        };
        match check.advance(io) {
            Ok(None) => {}
            Ok(Some((outcome, report))) => {
                check.state = CheckState::Idle;
                check.connection.set_interest(true, false);
                io.timers.set(
                    io.now + self.idle_timeout,
                    Timer::HealthCheck(id, check.serial),
                );
                if outcome != AttemptOutcome::Ok {
                    io.counters.probes_failed += 1;
                }
                io.events
                    .push_back(Event::HealthChecked(id, outcome, report));
            }
            Err(AttemptOutcome::Reset) if check.is_reused && !check.answer.has_bytes() => {
                // The backend closed the idle connection just when the connection was reused, which
                // reveals nothing about the backend's health.
                self.checks.remove(&id);
                self.start(id, address, io);
            }
            Err(outcome) => self.close(id, outcome, io),
        }
    }

    /// Handles a timer: a check takes too long, or a connection has been idle for too long.
    pub(crate) fn timer_fired(&mut self, id: BackendId, serial: u32, io: &mut IoContext) {
        let check = self.checks.get(&id);
        let Some(check) = check.filter(|check| check.serial == serial) else {
            return;
        };
        let elapsed = io.now.duration_since(check.started);
        match check.state {
            CheckState::Idle if elapsed < self.idle_timeout => {}
            CheckState::Connecting => self.close(id, AttemptOutcome::Unreachable, io),
            CheckState::AwaitingAnswer | CheckState::Idle => {
                self.close(id, AttemptOutcome::TimedOut, io);
            }
        }
    }

    /// Closes a connection. A check that is under way on it has failed.
    fn close(&mut self, id: BackendId, outcome: AttemptOutcome, io: &mut IoContext) {
        let Some(mut check) = self.checks.remove(&id) else {
            return;
        };
        check.answer.clear(&mut io.buffers);
        if check.state != CheckState::Idle {
            report_failure(id, outcome, io);
        }
    }
}

fn report_failure(id: BackendId, outcome: AttemptOutcome, io: &mut IoContext) {
    io.counters.probes_failed += 1;
    io.events
        .push_back(Event::HealthChecked(id, outcome, LoadReport::default()));
}

impl HealthCheck {
    fn connect(
        id: BackendId,
        address: SocketAddr,
        serial: u32,
        io: &mut IoContext,
    ) -> std::io::Result<HealthCheck> {
        let mut connection = io
            .sockets
            .connect(SocketOwner::HealthCheck(id.0), address)?;
        connection.set_interest(true, true);
        let mut request = OutputBuffer::default();
        request.push_line(HEALTH_CHECK_LINE);
        Ok(HealthCheck {
            connection,
            state: CheckState::Connecting,
            request,
            answer: LineBuffer::default(),
            serial,
            started: io.now,
            is_reused: false,
        })
    }

    /// Starts the next check on an idle connection.
    fn reuse(&mut self, serial: u32, now: Instant) {
        self.request.push_line(HEALTH_CHECK_LINE);
        self.serial = serial;
        self.started = now;
        self.state = CheckState::AwaitingAnswer;
        self.is_reused = true;
        self.connection.set_interest(true, true);
    }

    /// Connects, writes and reads as far as the socket allows. Returns the answer to the check once
    /// it has arrived; an unsolicited line is ignored.
    fn advance(
        &mut self,
        io: &mut IoContext,
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
            .read_from(&mut self.connection, &mut io.buffers)
            .map_err(|_| AttemptOutcome::Reset)?;
        let answer = match self.answer.next_line() {
            Ok(Some(line)) => protocol::parse_health_check_response(line),
            Ok(None) if read == ReadOutcome::End => return Err(AttemptOutcome::Reset),
            Ok(None) => return Ok(None),
            Err(_) => return Err(AttemptOutcome::Error),
        };
        self.answer.clear(&mut io.buffers);
        Ok((self.state == CheckState::AwaitingAnswer).then_some(answer))
    }
}
