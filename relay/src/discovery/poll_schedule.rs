//! When the agent is polled again after a failure. No I/O: a failure and a random number generator
//! go in, a delay comes out.
use thistlecroft::random::Rng;
use thistlecroft::time::Duration;

/// While nobody is there: an attempt costs the agent nothing, and drains are missed meanwhile.
const UNREACHABLE_FIRST_DELAY: Duration = Duration::from_millis(50);
const UNREACHABLE_MAX_DELAY: Duration = Duration::from_millis(800);
/// While the agent is there and has no time. Each request that it accepts and can't serve in time is
/// work lost, so relays that come back sooner than it can serve them all keep it from serving any.
const REJECTED_FIRST_DELAY: Duration = Duration::from_millis(2_000);
/// From the beginning of one attempt to that of the next, at most, whatever has become of it: what
/// discovery has counts as known six seconds after it can be reached again. A second is left for the
/// answer.
pub(crate) const ATTEMPT_INTERVAL: Duration = Duration::from_millis(5_000);
/// The same for an address that SIGHUP has named, whose list counts as known after four seconds.
pub(crate) const ATTEMPT_INTERVAL_AFTER_MOVE: Duration = Duration::from_millis(3_000);

/// The least delay after two rejections or more, as a part of the longest: the mean is what keeps a
/// fleet from polling faster than discovery can serve, and only the least can raise it.
const REPEATED_REJECTION_MIN_SHARE: f64 = 0.6;
/// The least delay while nobody is there, as a part of the longest.
const UNREACHABLE_MIN_SHARE: f64 = 0.5;
/// Past this the delays have long reached their bound.
const MAX_DOUBLINGS: u32 = 16;

/// How an attempt came to nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureKind {
    /// No connection, or nothing received on it.
    Unreachable,
    /// The agent answered with something else than a list, or broke off what it had accepted.
    Rejected,
    /// A watch that had been good broke.
    Interrupted,
}

/// A failed attempt, and what bounds the delay to the next one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Failure {
    pub(crate) kind: FailureKind,
    /// The longest delay while nobody is there, since what the agent has at its return counts as
    /// known.
    pub(crate) longest_delay: Duration,
    /// What the attempt has left of the time within which the next one begins.
    pub(crate) remaining: Duration,
}

/// The consecutive failures at one address.
#[derive(Clone, Copy, Default)]
pub(crate) struct PollSchedule {
    unreachable: u32,
    rejected: u32,
}

impl PollSchedule {
    /// A list has come.
    pub(crate) fn reset(&mut self) {
        *self = PollSchedule::default();
    }

    /// True if an attempt has failed since the last list.
    pub(crate) fn has_failed(&self) -> bool {
        self.unreachable > 0 || self.rejected > 0
    }

    /// The delay to the next attempt: nearly constant while nobody is there, a doubling one with
    /// jitter while the agent has no time.
    pub(crate) fn next_delay(&mut self, failure: Failure, rng: &mut Rng) -> Duration {
        let Failure {
            kind,
            longest_delay,
            remaining,
        } = failure;
        match kind {
            FailureKind::Unreachable => {
                let backoff = doubled(UNREACHABLE_FIRST_DELAY, self.unreachable);
                let delay = backoff.min(UNREACHABLE_MAX_DELAY).min(longest_delay);
                self.unreachable = self.unreachable.saturating_add(1);
                with_jitter(delay.min(remaining), UNREACHABLE_MIN_SHARE, rng)
            }
            FailureKind::Rejected => {
                let backoff = doubled(REJECTED_FIRST_DELAY, self.rejected);
                let delay = backoff.min(ATTEMPT_INTERVAL).min(remaining);
                // Relays that came at once are spread evenly; from then on each keeps its distance.
                let min_share = if self.rejected == 0 {
                    0.0
                } else {
                    REPEATED_REJECTION_MIN_SHARE
                };
                self.rejected = self.rejected.saturating_add(1);
                with_jitter(delay, min_share, rng)
            }
            // The agent may well be there still, and have sent a drain since: one quick attempt,
            // before it counts as having no time.
            FailureKind::Interrupted => {
                let delay = UNREACHABLE_FIRST_DELAY.min(longest_delay);
                with_jitter(delay, UNREACHABLE_MIN_SHARE, rng)
            }
        }
    }
}

/// The delay after so many failures, without a bound.
fn doubled(first: Duration, failures: u32) -> Duration {
    first * f64::from(1u32 << failures.min(MAX_DOUBLINGS))
}

/// Evenly distributed between a share of the longest delay and all of it.
fn with_jitter(longest: Duration, min_share: f64, rng: &mut Rng) -> Duration {
    longest * (min_share + (1.0 - min_share) * rng.unit_f64())
}

#[cfg(test)]
mod tests;
