//! The times of the membership protocol, all derived from one interval.
use thistlecroft::time::Duration;

/// The shortest time of a suspicion, in probe intervals, as a multiple of the decimal logarithm of
/// the fleet's size.
const SUSPICION_FACTOR: f64 = 4.0;
/// A fleet with fewer relays has the suspicion timeouts of one of this size.
const MIN_SUSPICION_SIZE: usize = 10;
/// The longest time of a suspicion, which applies with one accuser, as a multiple of the shortest.
const MAX_SUSPICION_FACTOR: f64 = 3.0;
/// How long a probe waits for an acknowledgement, as a fraction of a probe interval.
const ACK_TIMEOUT: f64 = 0.4;
/// How long records of dead members are kept, in probe intervals.
const DEAD_RETENTION: f64 = 600.0;

/// The times of the membership protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProtocolTiming {
    /// A relay probes one other in each interval.
    pub probe_interval: Duration,
}

impl ProtocolTiming {
    /// Returns how long a probe waits for the target before other members are asked to ping it. The
    /// probe fails at the end of the interval.
    pub fn ack_timeout(&self) -> Duration {
        self.probe_interval * ACK_TIMEOUT
    }

    /// Returns the shortest and the longest time of a suspicion in a fleet of this size. The first
    /// applies with enough accusers, the second with one.
    pub fn suspicion_timeouts(&self, size: usize) -> (Duration, Duration) {
        let size = size.max(MIN_SUSPICION_SIZE) as f64;
        let shortest = self.probe_interval * (SUSPICION_FACTOR * size.log10());
        (shortest, shortest * MAX_SUSPICION_FACTOR)
    }

    /// Returns how long records of dead members are kept.
    pub fn dead_retention(&self) -> Duration {
        self.probe_interval * DEAD_RETENTION
    }

    /// Returns an upper bound on the time until an observer regards a relay that has stopped as
    /// dead, if no datagram is lost. The relay is probed within two rounds over all members, the
    /// probe takes one interval, and the suspicion lasts for its longest time. Probes take longer
    /// by a factor of the observer's health plus one.
    pub fn detection_bound(&self, size: usize, health: u32) -> Duration {
        let rounds = self.probe_interval * (2.0 * size as f64 + 1.0);
        let (_, longest_suspicion) = self.suspicion_timeouts(size);
        rounds * f64::from(health + 1) + longest_suspicion + self.probe_interval
    }
}
