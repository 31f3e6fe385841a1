//! The clock and the timers set on it.
use std::collections::BTreeSet;
use std::time::{SystemTime, UNIX_EPOCH};
use thistlecroft::ids::BackendId;
use thistlecroft::time::{Duration, Instant};

/// Added to the wait for a timer, so that no turn comes just too early for it.
const WAIT_MARGIN_MICROS: u64 = 50;

/// A clock that advances evenly from its start, so that a step of the system's clock moves no time
/// limit. It is anchored once to Unix time, in which endpoint lists state when backends started.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    started: std::time::Instant,
    anchor: Instant,
}

impl Clock {
    /// A clock that shows the present Unix time.
    pub(crate) fn start() -> Clock {
        let unix_time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: std::time::Instant::now(),
            anchor: Instant::from_micros(unix_time.as_micros() as u64),
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.anchor + Duration::from_micros(self.started.elapsed().as_micros() as u64)
    }
}

/// What is due when a timer expires. Timers of the same moment are due in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The balancer asked to be woken.
    Balancer,
    /// Accepting paused for want of descriptors goes on.
    ResumeAccepting,
    /// An attempt at discovery is due, or a response from it overdue.
    Discovery,
    /// A client's first line is late, or its end after the last line sent to it is.
    Client(u32),
    /// Something that a session's attempt waits for, by the serial of the attempt.
    Attempt(u32, u32),
    /// A health check times out, or its idle connection does, by the serial of the connection.
    HealthCheck(BackendId, u32),
    /// A client's line has had no line back.
    ResponseOverdue(u32),
    /// No line has passed for as long as the route allows.
    IdleTimeout(u32),
    /// An inherited session is tried again.
    RetryInherited(u32),
    /// An admin connection is slow, or has its response and stays.
    AdminConnection(u32),
    /// Another process of this relay may have changed the ban store.
    BanStore,
    /// The settings read last come into force alone.
    SettingsInForce,
    /// The process may have waited long enough for an endpoint list.
    StartAccepting,
    /// More sessions may be offered to the successor.
    OfferSessions,
    /// The successor has not answered the offer of a session.
    OfferTimeout(u32),
    /// Something is due among the peers.
    Peers,
    /// A time limit of the shutdown has passed.
    Stop,
}

/// The timers that are set, the earliest first.
#[derive(Default)]
pub(crate) struct TimerQueue {
    timers: BTreeSet<(Instant, Timer)>,
}

impl TimerQueue {
    pub(crate) fn set(&mut self, at: Instant, timer: Timer) {
        self.timers.insert((at, timer));
    }

    /// Takes the next timer that has expired.
    pub(crate) fn due(&mut self, now: Instant) -> Option<Timer> {
        let &(at, _) = self.timers.first()?;
        if at > now {
            return None;
        }
        self.timers.pop_first().map(|(_, timer)| timer)
    }

    /// How long until the next timer; none if no timer is set.
    pub(crate) fn wait(&self, now: Instant) -> Option<std::time::Duration> {
        let (at, _) = self.timers.first()?;
        let micros = at.duration_since(now).as_micros() + WAIT_MARGIN_MICROS;
        Some(std::time::Duration::from_micros(micros))
    }
}
