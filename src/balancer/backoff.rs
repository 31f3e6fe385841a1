//! Backoff of clients after failures, and of this relay from overloaded backends.
use super::backend_state::OverloadBackoff;
use super::{BACKOFF_BASE, BACKOFF_CAP, Balancer, STABLE_AFTER};
use crate::failure_counts::ClientFailures;
use crate::ids::{BackendId, SessionId};
use crate::time::{Duration, Instant};

/// Maximum number of doublings of a backoff.
const MAX_DOUBLINGS: u32 = 16;

impl Balancer {
    /// Returns the exponential backoff with full jitter after `failures` failures.
    pub(super) fn jittered_backoff(
        &mut self,
        failures: u32,
        base: Duration,
        cap: Duration,
    ) -> Duration {
        let doubled = base * f64::from(1u32 << failures.min(MAX_DOUBLINGS));
        cap.min(doubled) * self.rng.unit_f64()
    }

    /// Counts a failure of the session's client and returns the backoff before its next attempt.
    pub(super) fn record_client_failure(&mut self, now: Instant, id: SessionId) -> Duration {
        let Some(session) = self.sessions.get_mut(&id) else {
            return Duration::ZERO;
        };
        let route = session.route.clone();
        let failures = match session.arrival.client_key {
            Some(key) => {
                let client = self.client_failures(key, now);
                client.clears_at = None;
                &mut client.count
            }
            None => &mut session.failures,
        };
        let previous = *failures;
        *failures = previous.saturating_add(1);
        self.jittered_backoff(previous, route.backoff_base, route.backoff_cap)
    }

    /// Returns the failures of a client, cleared if its connection was established for long enough.
    pub(super) fn client_failures(&mut self, key: u64, now: Instant) -> &mut ClientFailures {
        let client = self.failure_counts.get_or_insert(key, now);
        if client.clears_at.is_some_and(|clears_at| clears_at <= now) {
            *client = ClientFailures::default();
        }
        client
    }

    /// Backs off from a backend that dropped connections or refused one: without load reports that
    /// is the only sign of a lack of capacity. The wait grows with the number of relays, as each of
    /// them tries the backend.
    pub(super) fn back_off_from(&mut self, now: Instant, backend_id: BackendId) {
        let base = BACKOFF_BASE * f64::from(self.deployment.relay_count);
        let Some(OverloadBackoff { count, until }) = self
            .backends
            .get(&backend_id)
            .map(|backend| backend.overload_backoff)
        else {
            return;
        };
        let count = if now < until + STABLE_AFTER { count } else { 0 };
        let until = until.max(now + self.jittered_backoff(count, base, BACKOFF_CAP));
        if let Some(backend) = self.backends.get_mut(&backend_id) {
            let count = count + 1;
            backend.overload_backoff = OverloadBackoff { count, until };
        }
    }
}
