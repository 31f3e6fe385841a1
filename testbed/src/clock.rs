//! The clock of a run, shared by all threads of the testbed. Instants count from the start of the
//! run.
use std::time::{SystemTime, UNIX_EPOCH};
use thistlecroft::time::{Duration, Instant};

/// A clock that measures the time since its start, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Stopwatch {
    began: std::time::Instant,
    /// Unix time of the start in milliseconds.
    began_at_unix_ms: u64,
}

impl Stopwatch {
    /// Starts a clock.
    pub fn start() -> Stopwatch {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Stopwatch {
            began: std::time::Instant::now(),
            began_at_unix_ms: unix.as_millis() as u64,
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Instant {
        Instant::from_micros(self.began.elapsed().as_micros() as u64)
    }

    /// Converts an instant to Unix time in milliseconds, the form of start times in the endpoint
    /// list.
    pub fn unix_ms(&self, at: Instant) -> u64 {
        self.began_at_unix_ms + at.as_millis()
    }
}

/// Converts a duration to one of the standard library.
pub fn to_std(duration: Duration) -> std::time::Duration {
    std::time::Duration::from_micros(duration.as_micros())
}

/// Converts a duration of the standard library, rounded down to microseconds.
pub(crate) fn from_std(duration: std::time::Duration) -> Duration {
    Duration::from_micros(duration.as_micros() as u64)
}
