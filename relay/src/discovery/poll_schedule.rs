//! The delay after a failure before the agent is polled again. Performs no I/O: the delay is
//! computed from the failure and a random number generator.
use thistlecroft::random::Rng;
use thistlecroft::time::Duration;

/// Delays while the agent is unreachable. They are short, because an attempt then costs the agent
/// nothing and the relay misses drains in the meantime.
const UNREACHABLE_FIRST_DELAY: Duration = Duration::from_millis(50);
const UNREACHABLE_MAX_DELAY: Duration = Duration::from_millis(800);
/// First delay while the agent is reachable but overloaded. Each request that it accepts and can't
/// serve in time is wasted work, so relays that retry faster than it can serve them all keep it
/// from serving any.
const REJECTED_FIRST_DELAY: Duration = Duration::from_millis(2_000);
/// Maximum time from the start of one attempt to the start of the next, whatever the outcome. A
/// relay is expected to know the agent's list six seconds after the agent becomes reachable again;
/// one of them is left for the answer.
pub(crate) const ATTEMPT_INTERVAL: Duration = Duration::from_millis(5_000);
/// `ATTEMPT_INTERVAL` for a new address read on SIGHUP, whose list the relay is expected to know
/// after four seconds.
pub(crate) const ATTEMPT_INTERVAL_AFTER_MOVE: Duration = Duration::from_millis(3_000);

/// Minimum delay after two or more rejections, as a fraction of the maximum. The mean delay keeps a
/// fleet from polling faster than discovery can serve, and only the minimum can raise the mean.
const REPEATED_REJECTION_MIN_SHARE: f64 = 0.6;
/// Minimum delay while the agent is unreachable, as a fraction of the maximum.
const UNREACHABLE_MIN_SHARE: f64 = 0.5;
/// Limit of the doublings. Delays reach their maximum long before.
const MAX_DOUBLINGS: u32 = 16;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureKind {
    /// No connection was established, or nothing arrived on it in time.
    Unreachable,
    /// The agent answered with something other than a list, or ended a request that it had
    /// accepted.
    Rejected,
    /// A watch failed after the agent had answered it.
    Interrupted,
}

/// A failed attempt, and the limits of the delay before the next one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Failure {
    pub(crate) kind: FailureKind,
    /// Maximum delay while the agent is unreachable, since the relay is expected to know the
    /// agent's list soon after the agent returns.
    pub(crate) max_delay: Duration,
    /// The time that is left until the next attempt must start.
    pub(crate) remaining: Duration,
}

/// Counts consecutive failures at one address, which determine the delay before the next attempt.
#[derive(Clone, Copy, Default)]
pub(crate) struct PollSchedule {
    unreachable: u32,
    rejected: u32,
}

impl PollSchedule {
    /// Forgets all failures once a list has arrived.
    pub(crate) fn reset(&mut self) {
        *self = PollSchedule::default();
    }

    /// Returns true if an attempt has failed since the last list.
    pub(crate) fn has_failed(&self) -> bool {
        self.unreachable > 0 || self.rejected > 0
    }

    /// Counts the failure, and returns the delay before the next attempt: short and nearly constant
    /// while the agent is unreachable, and doubling with jitter while the agent is overloaded.
    pub(crate) fn next_delay(&mut self, failure: Failure, rng: &mut Rng) -> Duration {
        let Failure {
            kind,
            max_delay,
            remaining,
        } = failure;
        match kind {
            FailureKind::Unreachable => {
                let backoff = doubled(UNREACHABLE_FIRST_DELAY, self.unreachable);
                let delay = backoff.min(UNREACHABLE_MAX_DELAY).min(max_delay);
                self.unreachable = self.unreachable.saturating_add(1);
                with_jitter(delay.min(remaining), UNREACHABLE_MIN_SHARE, rng)
            }
            FailureKind::Rejected => {
                let backoff = doubled(REJECTED_FIRST_DELAY, self.rejected);
                let delay = backoff.min(ATTEMPT_INTERVAL).min(remaining);
                // The first delay spreads relays that were rejected at the same time; the later
                // ones keep them apart.
                let min_share = if self.rejected == 0 {
                    0.0
                } else {
                    REPEATED_REJECTION_MIN_SHARE
                };
                self.rejected = self.rejected.saturating_add(1);
                with_jitter(delay, min_share, rng)
            }
            // The agent may still be reachable and may have sent a drain since, so there is one
            // quick attempt before the agent is treated as overloaded.
            FailureKind::Interrupted => {
                let delay = UNREACHABLE_FIRST_DELAY.min(max_delay);
                with_jitter(delay, UNREACHABLE_MIN_SHARE, rng)
            }
        }
    }
}

/// Returns the first delay doubled once per failure.
fn doubled(first: Duration, failures: u32) -> Duration {
    first * f64::from(1u32 << failures.min(MAX_DOUBLINGS))
}

/// Draws a delay uniformly between `longest * min_share` and `longest`.
fn with_jitter(longest: Duration, min_share: f64, rng: &mut Rng) -> Duration {
    longest * (min_share + (1.0 - min_share) * rng.unit_f64())
}

#[cfg(test)]
mod tests;
