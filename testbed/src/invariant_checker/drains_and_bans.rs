//! The third invariant: a backend that is draining, stopped or banned receives no new sessions.
use super::checker::InvariantChecker;
use super::history::{ORDER_TOLERANCE, SOCKET_SLACK};
use super::result::Invariant;
use super::timeline::Subject;
use crate::event_recorder::{BackendIndex, Lifecycle, RelayIndex, SessionId};
use thistlecroft::time::{Duration, Instant};

/// The time after which a drain or stop counts as announced to every relay, even to one that
/// discovery did not reach.
const MAX_ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(6_000);

impl InvariantChecker<'_> {
    /// Records that a backend began to drain or stopped.
    pub(super) fn on_backend_closed(&mut self, at: Instant, backend: BackendIndex) {
        self.backend(backend).closed_since.get_or_insert(at);
    }

    pub(super) fn on_backend_started(&mut self, backend: BackendIndex) {
        let history = self.backend(backend);
        history.closed_since = None;
        history.announced_at.clear();
    }

    pub(super) fn on_announced(
        &mut self,
        at: Instant,
        relay: RelayIndex,
        backend: BackendIndex,
        lifecycle: Lifecycle,
    ) {
        if lifecycle == Lifecycle::Ready {
            return;
        }
        let history = self.backend(backend);
        // The announcement is outdated if the backend has started again.
        if history.closed_since.is_some() {
            history.announced_at.entry(relay).or_insert(at);
        }
    }

    pub(super) fn on_banned(
        &mut self,
        at: Instant,
        relay: RelayIndex,
        backend: BackendIndex,
        banned: bool,
    ) {
        let bans = &mut self.backend(backend).banned_since;
        if banned {
            bans.entry(relay).or_insert(at);
        } else {
            bans.remove(&relay);
        }
    }

    /// Returns whether the backend was paused so recently that the times it recorded are imprecise.
    pub(super) fn was_recently_paused(&mut self, backend: BackendIndex, at: Instant) -> bool {
        let paused = &self.backend(backend).paused;
        paused.overlaps(at - ORDER_TOLERANCE, at)
    }

    /// Returns since when the relay knows, or must know, that the backend takes no new sessions.
    fn excluded_since(&self, relay: RelayIndex, backend: BackendIndex) -> Option<Instant> {
        let history = self.backends.get(&backend)?;
        let announced_at = history.announced_at.get(&relay).copied();
        let latest_announcement = history
            .closed_since
            .map(|since| since + MAX_ANNOUNCEMENT_DELAY);
        let banned_since = history.banned_since.get(&relay).copied();
        [announced_at, latest_announcement, banned_since]
            .into_iter()
            .flatten()
            .min()
    }

    /// Checks that the backend of an attempt was not draining, stopped or banned for longer than
    /// the grace period.
    pub(super) fn check_drains_and_bans(
        &mut self,
        at: Instant,
        relay: RelayIndex,
        backend: BackendIndex,
        session: SessionId,
        first_byte_at: Instant,
    ) {
        let Some(excluded_since) = self.excluded_since(relay, backend) else {
            return;
        };
        let lateness = self.excuses.max_testbed_delay(first_byte_at, at);
        let limit = excluded_since + self.deployment.drain_grace + SOCKET_SLACK + lateness;
        if first_byte_at <= limit || self.excuses.was_paused(Some(relay), excluded_since, at) {
            return;
        }
        let after = first_byte_at.duration_since(excluded_since).as_millis();
        let description = format!(
            "backend {} received an attempt {after} ms after its drain, stop or ban was announced",
            backend.0
        );
        self.report(
            Invariant::DrainsAndBans,
            at,
            description,
            Subject {
                session: Some(session),
                backend: Some(backend),
            },
        );
    }
}
