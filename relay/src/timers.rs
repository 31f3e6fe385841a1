//! The clock and the queue of timers.
use std::collections::BTreeSet;
use std::time::{SystemTime, UNIX_EPOCH};
use thistlecroft::ids::BackendId;
use thistlecroft::time::{Duration, Instant};

/// Added to the wait for a timer, in microseconds, so that the loop does not wake just before the
/// timer expires.
const WAIT_MARGIN_MICROS: u64 = 50;

/// A monotonic clock, so that a step of the system's clock changes no deadline. At its start the
/// clock is set to Unix time, in which endpoint lists give the start times of backends.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    started: std::time::Instant,
    /// The Unix time at which the clock started.
    started_unix: Instant,
}

impl Clock {
    /// Starts a clock at the current Unix time.
    pub(crate) fn start() -> Clock {
        let unix_time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: std::time::Instant::now(),
            started_unix: Instant::from_micros(unix_time.as_micros() as u64),
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.started_unix + Duration::from_micros(self.started.elapsed().as_micros() as u64)
    }
}

/// What a timer is for. Timers that expire at the same time are handled in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The balancer asked to be woken.
    Balancer,
    /// Accepting clients resumes after a pause for lack of descriptors.
    ResumeAccepting,
    /// A connection attempt to discovery is due, or its response is overdue.
    Discovery,
    /// The client has not sent its first line in time, or has not closed the connection in time
    /// after its last line was sent.
    Client(u32),
    /// A time limit of a session's attempt, by session and serial of the attempt.
    Attempt(u32, u32),
    /// A health check or its idle connection times out, by backend and serial of the connection.
    HealthCheck(BackendId, u32),
    /// The backend has not answered a client's line in time.
    ResponseOverdue(u32),
    /// No line has passed in either direction for the idle timeout of the route.
    IdleTimeout(u32),
    /// An inherited session tries its backend again.
    RetryInherited(u32),
    /// An admin connection has not sent a command in time, or stays open after its response.
    AdminConnection(u32),
    /// Another process of this relay may have changed the ban store.
    BanStore,
    /// A transition between two configurations ends: the new settings alone are in force.
    SettingsInForce,
    /// The wait for an endpoint list may be over, so that clients can be accepted.
    StartAccepting,
    /// More sessions may be offered to the successor.
    OfferSessions,
    /// The successor has not answered the offer of a session.
    OfferTimeout(u32),
    /// The protocol between relays has something to do.
    Peers,
    /// A time limit of the shutdown has passed.
    Shutdown,
}

/// The pending timers, the earliest first.
#[derive(Default)]
pub(crate) struct TimerQueue {
    timers: BTreeSet<(Instant, Timer)>,
}

impl TimerQueue {
    pub(crate) fn set(&mut self, at: Instant, timer: Timer) {
        self.timers.insert((at, timer));
    }

    /// Removes and returns the earliest timer if it has expired.
    pub(crate) fn pop_expired(&mut self, now: Instant) -> Option<Timer> {
        let &(at, _) = self.timers.first()?;
        if at > now {
            return None;
        }
        self.timers.pop_first().map(|(_, timer)| timer)
    }

    /// Returns the time until the next timer expires; `None` if no timer is set.
    pub(crate) fn time_to_next(&self, now: Instant) -> Option<std::time::Duration> {
        let (at, _) = self.timers.first()?;
        let micros = at.duration_since(now).as_micros() + WAIT_MARGIN_MICROS;
        Some(std::time::Duration::from_micros(micros))
    }
}
