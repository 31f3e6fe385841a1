//! Slow start: how relays take turns at a backend that is warming up.
//!
//! The slow-start rule ([`SlowStart`](crate::deployment::SlowStart)) limits how many requests all
//! relays together may send to a backend within a window. Every relay knows when a backend started,
//! and divides its age into turns as long as that window. Each turn belongs to as many relays as the
//! rule allows requests; the relays agree on them without exchanging messages.
use super::Balancer;
use super::fleet_load::FleetLoad;
use crate::ids::BackendId;
use crate::time::Instant;

/// Share of the rule's limit that relays use, since any window overlaps two turns.
const BUDGET_SHARE: f64 = 0.5;
/// `BUDGET_SHARE` where groups share work and loads are reported. Reported loads include the cost of
/// groups, which the rule does not count, so the number of connections that fill a backend is
/// underestimated.
const BUDGET_SHARE_WITH_GROUPS: f64 = 1.25;
/// Maximum number of relays that get a turn for each relay expected to use it. It is bounded since
/// all of them may use it.
const MAX_OVERBOOKING: f64 = 3.0;

/// A turn at a backend that is warming up.
#[derive(Clone, Copy)]
pub(super) struct SlowStartTurn {
    /// The number of the turn since the backend's start.
    pub(super) number: u64,
    /// Attempts that this relay has made in the turn.
    pub(super) used: u32,
}

impl Balancer {
    /// Returns the current turn at a backend, or `None` once it is warm.
    pub(super) fn slow_start_turn(
        &self,
        now: Instant,
        backend_id: BackendId,
    ) -> Option<SlowStartTurn> {
        let backend = &self.backends[&backend_id];
        let rule = &self.deployment.slow_start;
        let age = now.duration_since(backend.started_at()?);
        let number = age.as_micros() / rule.window.as_micros().max(1);
        let used = backend
            .statistics
            .slow_start_use
            .filter(|&(used_in, _)| used_in == number)
            .map_or(0, |(_, used)| used);
        (age < rule.warm_up).then_some(SlowStartTurn { number, used })
    }

    /// Returns whether this relay may use a backend that is warming up in the current turn.
    pub(super) fn is_turn_open(
        &self,
        now: Instant,
        backend_id: BackendId,
        turn: SlowStartTurn,
        fleet: FleetLoad,
    ) -> bool {
        let budget = self.slow_start_budget(now, backend_id, fleet);
        let relays = u64::from(self.deployment.relay_count);
        let overbooking = self.overbooking(fleet);
        let relays_with_turn = ((budget.max(1.0) * overbooking) as u64).clamp(1, relays);
        let attempts_each = (budget / relays as f64).max(1.0);
        let stable_hash = self.backends[&backend_id].endpoint.stable_hash;
        let first_relay = (turn.number * relays_with_turn + stable_hash) % relays;
        let relay_position =
            (u64::from(self.deployment.relay_index) + relays - first_relay) % relays;
        relay_position < relays_with_turn
            && f64::from(turn.used) < attempts_each.floor()
            && !self.has_predecessor
    }

    /// Returns how many connections all relays together may open at the backend within a turn.
    fn slow_start_budget(&self, now: Instant, backend_id: BackendId, fleet: FleetLoad) -> f64 {
        let rule = &self.deployment.slow_start;
        let age = self.backends[&backend_id]
            .started_at()
            .map_or(rule.warm_up, |started_at| now.duration_since(started_at));
        let capacity_share = rule.initial_share
            + (1.0 - rule.initial_share) * age.as_secs_f64() / rule.warm_up.as_secs_f64();
        let budget_share = if self.deployment.groups_share_work && self.deployment.reports_load {
            BUDGET_SHARE_WITH_GROUPS
        } else {
            BUDGET_SHARE
        };
        budget_share
            * rule.overload_factor
            * capacity_share
            * self.warm_connection_rate(fleet)
            * rule.window.as_secs_f64()
    }

    /// Returns how many relays get a turn for each that the budget allows, since many turns pass
    /// unused when traffic is thin.
    fn overbooking(&self, fleet: FleetLoad) -> f64 {
        let sessions = self.traffic.sessions_per_window;
        let relays_per_use = if self.deployment.reports_load {
            // A relay may have fewer sessions in a window than there are backends warming up, and
            // then leaves turns unused.
            fleet.warming_up / sessions.max(1.0)
        } else {
            // An open turn takes precedence over all other backends, and passes unused only if no
            // session arrives.
            1.0 / -(-sessions).exp_m1()
        };
        relays_per_use.clamp(1.0, MAX_OVERBOOKING)
    }

    /// Returns how many new connections per second would fill an average warm backend: as many as
    /// it holds when full times the rate at which they depart, but no more than would fill it over
    /// its warm-up. If connections of all relays are counted, one departure is assumed at first:
    /// with a rate of zero, all but one of the relays that hold few connections would not use the
    /// backend.
    fn warm_connection_rate(&self, fleet: FleetLoad) -> f64 {
        let assumed_departures = if fleet.counts_all_relays { 1.0 } else { 0.0 };
        let max_rate = 1.0 / self.deployment.slow_start.warm_up.as_secs_f64();
        let rate = self.departure_rate(assumed_departures).min(max_rate);
        if fleet.per_connection <= 0.0 {
            0.0
        } else {
            rate / fleet.per_connection
        }
    }
}
