//! The times of the membership protocol, all derived from one interval.
use thistlecroft::time::Duration;

/// A suspicion lasts this many probe intervals times the decimal logarithm of the fleet's size, and
/// at least as long as among `MIN_SUSPICION_SIZE` relays.
const SUSPICION_FACTOR: f64 = 4.0;
const MIN_SUSPICION_SIZE: usize = 10;
/// A suspicion of one accuser alone lasts this many times as long.
const MAX_SUSPICION_FACTOR: f64 = 3.0;
/// An acknowledgement is due after this fraction of a probe interval.
const ACK_TIMEOUT: f64 = 0.4;
/// Records of dead members are kept for this many probe intervals.
const DEAD_RETENTION: f64 = 600.0;

/// The times of the membership protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProtocolTiming {
    /// A relay probes one other in each interval.
    pub probe_interval: Duration,
}

impl ProtocolTiming {
    /// How long a probe waits for the target before it asks others to ping it. The probe fails at
    /// the end of the interval.
    pub fn ack_timeout(&self) -> Duration {
        self.probe_interval * ACK_TIMEOUT
    }

    /// The shortest and the longest time of a suspicion in a fleet of this size: with enough
    /// accusers, and with one.
    pub fn suspicion_timeouts(&self, size: usize) -> (Duration, Duration) {
        let size = size.max(MIN_SUSPICION_SIZE) as f64;
        let shortest = self.probe_interval * (SUSPICION_FACTOR * size.log10());
        (shortest, shortest * MAX_SUSPICION_FACTOR)
    }

    /// How long records of dead members are kept.
    pub fn dead_retention(&self) -> Duration {
        self.probe_interval * DEAD_RETENTION
    }

    /// The bound on the time until a relay that has stopped is dead for one that runs, where no
    /// datagram is lost. Its turn to be probed comes within two rounds, the probe takes an interval
    /// and the suspicion its longest time; probes take longer by the observer's own health.
    pub fn detection_bound(&self, size: usize, health: u32) -> Duration {
        let rounds = self.probe_interval * (2.0 * size as f64 + 1.0);
        let (_, longest_suspicion) = self.suspicion_timeouts(size);
        rounds * f64::from(health + 1) + longest_suspicion + self.probe_interval
    }
}
