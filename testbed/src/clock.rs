//! The clock of a run, which all its threads share: instants count from the start of the run.
use std::time::{SystemTime, UNIX_EPOCH};
use thistlecroft::time::{Duration, Instant};

/// Time since its start, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Stopwatch {
    began: std::time::Instant,
    /// Unix time of its start.
    began_at_unix_ms: u64,
}

impl Stopwatch {
    /// A clock that starts now.
    pub fn start() -> Stopwatch {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Stopwatch {
            began: std::time::Instant::now(),
            began_at_unix_ms: unix.as_millis() as u64,
        }
    }

    /// The time since its start.
    pub fn now(&self) -> Instant {
        Instant::from_micros(self.began.elapsed().as_micros() as u64)
    }

    /// Unix time in milliseconds, in which the endpoint list states when a backend started.
    pub fn unix_ms(&self, at: Instant) -> u64 {
        self.began_at_unix_ms + at.as_millis()
    }
}

/// A duration as the standard library's.
pub fn to_std(duration: Duration) -> std::time::Duration {
    std::time::Duration::from_micros(duration.as_micros())
}

/// A duration of the standard library, in microseconds.
pub(crate) fn from_std(duration: std::time::Duration) -> Duration {
    Duration::from_micros(duration.as_micros() as u64)
}
