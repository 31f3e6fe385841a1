//! One clock and the alarms set on it.
use std::collections::BTreeSet;
use std::time::{SystemTime, UNIX_EPOCH};
use thistlecroft::ids::BackendId;
use thistlecroft::time::{Duration, Instant};

/// Runs evenly from its start, so that a step of the system's clock moves no time limit; anchored
/// once to Unix time, in which the list tells when backends started.
#[derive(Clone, Copy)]
pub struct Clock {
    started: std::time::Instant,
    anchor: Instant,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: std::time::Instant::now(),
            anchor: Instant::from_micros(unix.as_micros() as u64),
        }
    }

    pub fn now(&self) -> Instant {
        self.anchor + Duration::from_micros(self.started.elapsed().as_micros() as u64)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The decisions asked to be woken.
    Balancer,
    ResumeAccepting,
    Discovery,
    /// A client's first line is late, or its end after our last word is.
    Client(u32),
    /// Something that a dial waits for, by its serial.
    Attempt(u32, u32),
    HealthCheck(BackendId, u32),
    /// A client's line has had no line back.
    ResponseOverdue(u32),
    /// No line has passed for as long as the route allows.
    IdleTimeout(u32),
    /// An inherited connection is tried again.
    RetryInherited(u32),
    /// A caller at the operators' door is slow, or has its answer and stays.
    AdminConnection(u32),
    /// What another process of this relay may have written is looked at.
    BanStore,
    /// The settings told last hold alone.
    SettingsInForce,
    /// A list of backends may be old enough to serve by.
    StartAccepting,
    /// More standing connections may go to the next process; one offered has had no word.
    OfferSessions,
    OfferTimeout(u32),
    /// Something is due among the peers.
    Peers,
    Stop,
}

#[derive(Default)]
pub struct TimerQueue {
    set: BTreeSet<(Instant, Timer)>,
}

impl TimerQueue {
    pub fn set(&mut self, at: Instant, alarm: Timer) {
        self.set.insert((at, alarm));
    }

    pub fn due(&mut self, now: Instant) -> Option<Timer> {
        let &(at, alarm) = self.set.first().filter(|(at, _)| *at <= now)?;
        self.set.remove(&(at, alarm));
        Some(alarm)
    }

    /// How long until the next one; a little more than due, so that no turn comes just too early.
    pub fn wait(&self, now: Instant) -> Option<std::time::Duration> {
        self.set.first().map(|(at, _)| {
            std::time::Duration::from_micros(at.duration_since(now).as_micros() + 50)
        })
    }
}
