//! What knowing of one another costs relays and how fast it is: the same code over simulated links by
//! the hundred, and as processes of this machine.
mod processes;
mod simulated;
mod table;

pub use processes::{MembershipError, run_with_processes};
pub use simulated::run_simulated;
pub use table::table;

use thistlecroft::time::Duration;

/// How long is waited for a condition, in periods.
const MAX_PERIODS: f64 = 400.0;
/// How long is waited for a note to reach all, in periods.
const MAX_NOTE_PERIODS: f64 = 200.0;
const SECONDS_PER_HOUR: f64 = 3_600.0;

/// One size, under one loss, by one seed.
#[derive(Clone, Copy, Debug)]
pub struct Trial {
    /// Relays.
    pub size: usize,
    /// The part of datagrams that is lost.
    pub loss: f64,
    /// The seed.
    pub seed: u64,
    /// The probe period.
    pub period: Duration,
}

/// What a trial measured. Times are counted in periods; none where a condition was never met.
#[derive(Clone, Debug, Default)]
pub struct Measured {
    /// From the start of all at once until all see all.
    pub(crate) join: Option<f64>,
    /// From a death until the first relay declares it.
    pub(crate) first_detection: Option<f64>,
    /// From a death until all relays have declared it.
    pub(crate) last_detection: Option<f64>,
    /// The bound on the latter.
    pub(crate) detection_bound: f64,
    /// From a note's announcement until all know it.
    pub(crate) note: Option<f64>,
    /// Suspicions of relays that were well, of the whole fleet an hour at a period of a second.
    pub(crate) suspicions: f64,
    /// The same of relays declared dead.
    pub(crate) false_deaths: f64,
    /// Bytes that a relay sends a period, while nothing happens.
    pub(crate) bytes: f64,
    /// CPU time of a relay a second, in microseconds; only processes have it.
    pub(crate) cpu_us: Option<f64>,
}

impl Trial {
    fn in_periods(&self, time: Duration) -> f64 {
        time.as_micros() as f64 / self.period.as_micros() as f64
    }

    fn optional_in_periods(&self, time: Option<Duration>) -> Option<f64> {
        time.map(|time| self.in_periods(time))
    }
}
