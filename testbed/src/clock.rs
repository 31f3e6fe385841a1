//! One clock for all threads of a run: moments are microseconds since the run began.
use std::time::{SystemTime, UNIX_EPOCH};
use thistlecroft::time::{Duration, Instant};

#[derive(Clone, Copy, Debug)]
pub struct Stopwatch {
    began: std::time::Instant,
    unix_ms: u64,
}

impl Stopwatch {
    pub fn start() -> Stopwatch {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Stopwatch {
            began: std::time::Instant::now(),
            unix_ms: unix.as_millis() as u64,
        }
    }

    pub fn now(&self) -> Instant {
        Instant::from_micros(self.began.elapsed().as_micros() as u64)
    }

    /// Unix time in milliseconds, in which the list tells when a box started.
    pub fn unix_ms(&self, at: Instant) -> u64 {
        self.unix_ms + at.as_millis()
    }
}

pub fn to_std(span: Duration) -> std::time::Duration {
    std::time::Duration::from_micros(span.as_micros())
}

pub fn from_std(duration: std::time::Duration) -> Duration {
    Duration::from_micros(duration.as_micros() as u64)
}
