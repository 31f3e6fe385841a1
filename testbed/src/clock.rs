//! One clock for all threads of a run: moments are microseconds since the run began.
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use thistlecroft::units::{Moment, Span};

#[derive(Clone, Copy, Debug)]
pub struct Stopwatch {
    began: Instant,
    unix_ms: u64,
}

impl Stopwatch {
    pub fn start() -> Stopwatch {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Stopwatch {
            began: Instant::now(),
            unix_ms: unix.as_millis() as u64,
        }
    }

    pub fn now(&self) -> Moment {
        Moment::from_us(self.began.elapsed().as_micros() as u64)
    }

    /// Unix time in milliseconds, in which the list tells when a box started.
    pub fn unix_ms(&self, at: Moment) -> u64 {
        self.unix_ms + at.us() / 1_000
    }
}

pub fn duration(span: Span) -> Duration {
    Duration::from_micros(span.us())
}

pub fn span(duration: Duration) -> Span {
    Span::from_us(duration.as_micros() as u64)
}
