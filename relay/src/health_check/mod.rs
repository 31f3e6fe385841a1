//! Health checks: requests the load of each checked backend over a connection of its own.
mod connection;
pub(crate) mod pool;

use crate::driver::Event;
use crate::io_context::IoContext;
use crate::timers::Timer;
use connection::{CheckState, HealthCheck};
use std::io::ErrorKind;
use std::net::SocketAddr;
use thistlecroft::attempt::{AttemptOutcome, LoadReport};
use thistlecroft::ids::BackendId;

/// Starts a check of a backend, unless one is under way, its address is unknown, or no descriptor
/// is free.
pub(crate) fn start(id: BackendId, address: Option<SocketAddr>, io: &mut IoContext) {
    let serial = io.health_checks.next_serial();
    if let Some(check) = io.health_checks.checks.get_mut(&id) {
        if check.state != CheckState::Idle {
            return;
        }
        check.reuse(serial, io.now);
    } else {
        let Some(address) = address else { return };
        if !claim_descriptor(io) {
            io.counters.probes_skipped += 1;
            return;
        }
        match HealthCheck::connect(id, address, serial, io.now, &mut io.sockets) {
            Ok(check) => {
                io.health_checks.checks.insert(id, check);
            }
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                io.counters.probes += 1;
                return report_failure(id, AttemptOutcome::Unreachable, io);
            }
            Err(error) => {
                // The system has no descriptor or port, which reveals nothing about the backend.
                io.counters.probes_skipped += 1;
                return log::debug!("a health check could not connect; error=\"{error}\"");
            }
        }
    }
    io.counters.probes += 1;
    io.timers.set(
        io.now + io.health_checks.timeout,
        Timer::HealthCheck(id, serial),
    );
}

/// Returns whether a check may open a connection. If no descriptor is free for it, the connection
/// that has been idle for longest makes room.
fn claim_descriptor(io: &mut IoContext) -> bool {
    if io.descriptors.has_free_for_health_check(&io.sockets) {
        return true;
    }
    let is_closed = io.health_checks.close_idle(&mut io.buffers);
    io.counters.probes_closed += u64::from(is_closed);
    is_closed
}

/// Handles the readiness of the socket with this key.
pub(crate) fn handle_event(
    id: BackendId,
    key: usize,
    address: Option<SocketAddr>,
    io: &mut IoContext,
) {
    let check = io.health_checks.checks.get_mut(&id);
    let Some(check) = check.filter(|check| check.connection.has_key(key)) else {
        return;
    };
    match check.advance(&mut io.buffers) {
        Ok(None) => {}
        Ok(Some((outcome, report))) => {
            check.set_idle();
            let timer = Timer::HealthCheck(id, check.serial);
            io.timers.set(io.now + io.health_checks.idle_timeout, timer);
            if outcome != AttemptOutcome::Ok {
                io.counters.probes_failed += 1;
            }
            io.events
                .push_back(Event::HealthChecked(id, outcome, report));
        }
        Err(outcome) if check.was_closed_while_idle(outcome) => {
            io.health_checks.checks.remove(&id);
            start(id, address, io);
        }
        Err(outcome) => close(id, outcome, io),
    }
}

/// Handles a timer: a check takes too long, or a connection has been idle for too long.
pub(crate) fn timer_fired(id: BackendId, serial: u32, io: &mut IoContext) {
    let check = io.health_checks.checks.get(&id);
    let Some(check) = check.filter(|check| check.serial == serial) else {
        return;
    };
    let elapsed = io.now.duration_since(check.started);
    match check.state {
        CheckState::Idle if elapsed < io.health_checks.idle_timeout => {}
        CheckState::Connecting => close(id, AttemptOutcome::Unreachable, io),
        CheckState::AwaitingAnswer | CheckState::Idle => close(id, AttemptOutcome::TimedOut, io),
    }
}

/// Closes a connection. A check that is under way on it has failed.
fn close(id: BackendId, outcome: AttemptOutcome, io: &mut IoContext) {
    let Some(mut check) = io.health_checks.checks.remove(&id) else {
        return;
    };
    check.release_buffer(&mut io.buffers);
    if check.state != CheckState::Idle {
        report_failure(id, outcome, io);
    }
}

fn report_failure(id: BackendId, outcome: AttemptOutcome, io: &mut IoContext) {
    io.counters.probes_failed += 1;
    io.events
        .push_back(Event::HealthChecked(id, outcome, LoadReport::default()));
}
