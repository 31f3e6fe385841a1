//! Measures how fast relays learn of each other and what it costs. The same protocol code runs over
//! simulated links, with hundreds of relays, and in processes on this machine.
mod processes;
mod simulated;
mod table;

pub use processes::{MembershipError, run_with_processes};
pub use simulated::run_simulated;
pub use table::table;

use thistlecroft::time::Duration;

/// Timeout for a condition, in probe periods.
const MAX_WAIT_PERIODS: f64 = 400.0;
/// Timeout for a note to reach all relays, in probe periods.
const MAX_NOTE_WAIT_PERIODS: f64 = 200.0;
const SECONDS_PER_HOUR: f64 = 3_600.0;

/// One measurement: a fleet size, a loss rate and a seed.
#[derive(Clone, Copy, Debug)]
pub struct Trial {
    /// Number of relays.
    pub size: usize,
    /// Probability that a datagram is lost, from 0 to 1.
    pub loss: f64,
    /// Seed of the random number generators.
    pub seed: u64,
    /// The probe period.
    pub period: Duration,
}

/// The results of one trial. Times are in probe periods, and `None` if the condition was not met
/// before the timeout.
#[derive(Clone, Debug, Default)]
pub struct Measurements {
    /// From the simultaneous start of all relays until each sees all others.
    pub(crate) join: Option<f64>,
    /// From the death of a relay until the first survivor declares it dead.
    pub(crate) first_detection: Option<f64>,
    /// From the death of a relay until all survivors have declared it dead.
    pub(crate) last_detection: Option<f64>,
    /// The protocol's upper bound on a detection without loss.
    pub(crate) detection_bound: f64,
    /// From the announcement of a note until all relays know it.
    pub(crate) note_known: Option<f64>,
    /// Suspicions of live relays per hour, summed over all observers, at a probe period of one
    /// second.
    pub(crate) suspicions_per_hour: f64,
    /// Live relays declared dead per hour, summed over all observers, at a probe period of one
    /// second. Measured over simulated links only.
    pub(crate) false_deaths_per_hour: f64,
    /// Bytes that a relay sends per probe period while no relay starts or stops.
    pub(crate) bytes_per_period: f64,
    /// CPU time of a relay per second, in microseconds; `None` over simulated links.
    pub(crate) cpu_us_per_s: Option<f64>,
}

impl Trial {
    fn in_periods(&self, time: Duration) -> f64 {
        time.as_micros() as f64 / self.period.as_micros() as f64
    }

    fn optional_in_periods(&self, time: Option<Duration>) -> Option<f64> {
        time.map(|time| self.in_periods(time))
    }
}
