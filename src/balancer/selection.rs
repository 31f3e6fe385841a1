//! Selection of the backend for an attempt: the less loaded of two candidates.
use super::Balancer;
use super::backend_state::{FULL_LOAD, HOT_LOAD};
use super::fleet_load::FleetLoad;
use super::session_state::Session;
use crate::deployment::{DeduplicationScope, Idempotency};
use crate::endpoint::Endpoint;
use crate::ids::{BackendId, RouteId, SessionId, rendezvous_hash};
use crate::time::Instant;

/// Load added for opening a group at a backend that does not hold it yet, as a share of its
/// capacity. Without it groups would spread over the whole fleet.
const GROUP_OPENING_LOAD: f64 = 0.5;
/// `GROUP_OPENING_LOAD` in connections, used while no backend reports a share of its capacity.
const GROUP_OPENING_CONNECTIONS: f64 = 15.0;
/// Share of a backend's capacity that the routes of the lowest value leave free for the others.
const YIELDED_LOAD: f64 = 0.2;
/// One in this many sessions may go to an ejected backend where health checks are not allowed.
const EJECTED_TRIAL_INTERVAL: u64 = 20;

/// What the selection of a backend for one session depends on.
struct SelectionContext {
    route: RouteId,
    /// The session's group, where groups share work.
    group: Option<u64>,
    fleet: FleetLoad,
    /// Number of backends that the members of the group fill.
    group_span: f64,
    /// Whether the group is spread over as many backends as its members fill, because the load of
    /// the fleet is unknown and cannot be asked for.
    spreads_group: bool,
}

/// A backend that has capacity for the session.
#[derive(Clone, Copy)]
struct Candidate {
    backend_id: BackendId,
    load: f64,
    rank: Rank,
}

/// Order of preference among candidates: only those of the first rank present are considered.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// The backend is warming up and its slow-start turn is open: the only capacity that is known
    /// when no load is reported.
    WarmingUp,
    LocalZone,
    OtherZone,
    /// The backend is hot, but has capacity left for this session.
    Hot,
    /// The backend is hot, and only the estimated cost of opening the session's group exceeds its
    /// capacity.
    HotForGroup,
}

impl Balancer {
    /// Returns the backend for the session's next attempt, or `None` if no backend has capacity.
    pub(super) fn select_backend(&mut self, now: Instant, id: SessionId) -> Option<BackendId> {
        let context = self.selection_context(now, id);
        let eligible = self.eligible_backends(now, &self.sessions[&id], context.fleet);
        let mut backends = self.without_ejected(eligible);
        if backends.len() > 1 {
            let last_backend = self.sessions[&id].last_backend;
            backends.retain(|&backend_id| Some(backend_id) != last_backend);
        }
        if let Some(group) = context.group {
            self.sort_by_group(&mut backends, group);
        }
        if !self.deployment.reports_load {
            self.keep_group_together(now, &mut backends, context.group);
            backends.retain(|id| self.backends[id].overload_backoff.until <= now);
        }
        let candidates = self.candidates(now, &backends, &context);
        let candidates = Self::candidates_of_best_rank(candidates, &context)?;
        self.less_loaded_of_two(candidates, &context)
    }

    fn selection_context(&self, now: Instant, id: SessionId) -> SelectionContext {
        let arrival = self.sessions[&id].arrival;
        let fleet = self.fleet_load(now);
        let group = arrival.group.filter(|_| self.deployment.groups_share_work);
        let is_load_unavailable =
            !fleet.is_known() && self.deployment.reports_load && !self.deployment.may_check_health;
        let spreads_group = is_load_unavailable && group.is_some();
        let fleet_load = if spreads_group { 1.0 } else { fleet.mean };
        SelectionContext {
            route: arrival.route,
            group,
            fleet,
            group_span: group.map_or(0.0, |group| self.group_span(group, fleet_load)),
            spreads_group,
        }
    }

    /// Returns how many backends the members of a group fill, from the group's share of the
    /// sessions and the load of the fleet.
    fn group_span(&self, group: u64, fleet_load: f64) -> f64 {
        self.traffic.group_share(group) * fleet_load * self.ready_backends().count() as f64
            / HOT_LOAD
    }

    /// Returns the ready backends that the session may be sent to and that slow start leaves open.
    fn eligible_backends(
        &self,
        now: Instant,
        session: &Session,
        fleet: FleetLoad,
    ) -> Vec<BackendId> {
        let first_run = session
            .first_run
            .map(|attempt| self.backends[&attempt.backend].endpoint);
        let idempotency = session.route.idempotency;
        self.ready_backends()
            .filter(|(_, backend)| {
                first_run.is_none_or(|first| is_in_scope(idempotency, &first, &backend.endpoint))
            })
            .map(|(backend_id, _)| backend_id)
            .filter(|&backend_id| {
                self.slow_start_turn(now, backend_id)
                    .is_none_or(|turn| self.is_turn_open(now, backend_id, turn, fleet))
            })
            .collect()
    }

    /// Drops ejected backends, unless all are ejected or this session is drawn to try them.
    fn without_ejected(&mut self, backends: Vec<BackendId>) -> Vec<BackendId> {
        let is_trial =
            !self.deployment.may_check_health && self.rng.below(EJECTED_TRIAL_INTERVAL) == 0;
        if is_trial {
            return backends;
        }
        let healthy: Vec<BackendId> = backends
            .iter()
            .copied()
            .filter(|backend_id| !self.backends[backend_id].is_ejected())
            .collect();
        if healthy.is_empty() {
            backends
        } else {
            healthy
        }
    }

    /// Sorts the backends by rendezvous hash, so that every relay gets the same order for a group.
    fn sort_by_group(&self, backends: &mut [BackendId], group: u64) {
        backends.sort_by_cached_key(|backend_id| {
            rendezvous_hash(self.backends[backend_id].endpoint.stable_hash, group)
        });
    }

    /// Keeps only the first warm backend of the group's order, beside those that are warming up.
    /// Without load reports, groups that moved on from one backend to the next would spread, and
    /// their cost at each backend would fill the fleet.
    fn keep_group_together(&self, now: Instant, backends: &mut Vec<BackendId>, group: Option<u64>) {
        let is_warm = |backend_id: BackendId| self.slow_start_turn(now, backend_id).is_none();
        let home_backend = group.and_then(|_| backends.iter().copied().find(|&id| is_warm(id)));
        if let Some(home_backend) = home_backend {
            backends.retain(|&id| id == home_backend || !is_warm(id));
        }
    }

    /// Returns the backends that have capacity for the session, with their load and rank.
    fn candidates(
        &self,
        now: Instant,
        backends: &[BackendId],
        context: &SelectionContext,
    ) -> Vec<Candidate> {
        let loads: Vec<f64> = backends
            .iter()
            .map(|&backend_id| self.estimated_load(now, backend_id, context.fleet))
            .collect();
        let mean_load = loads.iter().sum::<f64>() / loads.len() as f64;
        let limit = self.placement_limit(context.route);
        let mut candidates = Vec::new();
        for (position, (&backend_id, &load)) in backends.iter().zip(&loads).enumerate() {
            let opening_load = self.opening_load(backend_id, position, context);
            let position = position as f64;
            let load_with_group =
                load + opening_load * position / (position + context.group_span).max(1.0);
            let is_hot = context.fleet.is_capacity_share() && load_with_group >= HOT_LOAD;
            let rank = if !is_hot {
                Some(self.rank_below_hot(now, backend_id))
            } else if self.is_presumed_free(now, backend_id) {
                Some(Rank::Hot)
            } else {
                rank_hot(load, opening_load, limit, mean_load)
            };
            candidates.extend(rank.map(|rank| Candidate {
                backend_id,
                load: load_with_group,
                rank,
            }));
        }
        candidates
    }

    /// Returns the load from which no session of a route is placed. The limit is lower for routes
    /// that are worth less for their typical load, so that scarce capacity goes to the best use.
    fn placement_limit(&self, route: RouteId) -> f64 {
        let value = self.traffic.relative_value(route, |route| {
            self.routes
                .get(usize::from(route.0))
                .map_or(0.0, |row| row.priority_weight)
        });
        FULL_LOAD - YIELDED_LOAD * (1.0 - value.cbrt())
    }

    /// Returns the load that opening the group adds to a backend. One of hundreds of relays knows
    /// little of where a group is held: most likely it is at the first backend of the group's
    /// order.
    fn opening_load(
        &self,
        backend_id: BackendId,
        position: usize,
        context: &SelectionContext,
    ) -> f64 {
        let is_held = |group: u64| {
            self.backends[&backend_id]
                .group_connections
                .contains_key(&group)
        };
        if position == 0 || context.group.is_none_or(is_held) {
            0.0
        } else if context.fleet.is_capacity_share() {
            GROUP_OPENING_LOAD
        } else {
            GROUP_OPENING_CONNECTIONS
        }
    }

    /// Returns whether a backend without a report counts as having capacity despite its estimated
    /// load. It does while it has an open slow-start turn. It also does where health checks are not
    /// allowed, since the only backends that have reported there failed or dropped a connection.
    fn is_presumed_free(&self, now: Instant, backend_id: BackendId) -> bool {
        let is_warm = self.slow_start_turn(now, backend_id).is_none();
        let could_be_checked = self.deployment.may_check_health && is_warm;
        self.backends[&backend_id].recent_report(now).is_none() && !could_be_checked
    }

    fn rank_below_hot(&self, now: Instant, backend_id: BackendId) -> Rank {
        let zone = self.backends[&backend_id].endpoint.zone;
        if !self.deployment.reports_load && self.slow_start_turn(now, backend_id).is_some() {
            Rank::WarmingUp
        } else if self.deployment.cross_zone_cost > 0.0 && zone != self.deployment.zone {
            Rank::OtherZone
        } else {
            Rank::LocalZone
        }
    }

    fn candidates_of_best_rank(
        mut candidates: Vec<Candidate>,
        context: &SelectionContext,
    ) -> Option<Vec<Candidate>> {
        let best_rank = candidates.iter().map(|candidate| candidate.rank).min()?;
        candidates.retain(|candidate| candidate.rank == best_rank);
        if context.spreads_group {
            candidates.truncate(1 + context.group_span as usize);
        }
        Some(candidates)
    }

    /// Returns the less loaded of two candidates: the first two in the group's order, or two random
    /// ones if there is no group or the group is spread.
    fn less_loaded_of_two(
        &mut self,
        mut candidates: Vec<Candidate>,
        context: &SelectionContext,
    ) -> Option<BackendId> {
        let (first, second) = if context.group.is_some() && !context.spreads_group {
            let first = *candidates.first()?;
            (first, candidates.get(1).copied().unwrap_or(first))
        } else {
            let first = *self.choose_random(&candidates)?;
            candidates.retain(|candidate| candidate.backend_id != first.backend_id);
            (
                first,
                self.choose_random(&candidates).copied().unwrap_or(first),
            )
        };
        let chosen = if second.load < first.load {
            second
        } else {
            first
        };
        Some(chosen.backend_id)
    }
}

/// Returns the rank of a hot backend, by its load and by the load that opening the group adds, or
/// `None` if it has no capacity for the session.
fn rank_hot(load: f64, opening_load: f64, limit: f64, mean_load: f64) -> Option<Rank> {
    if load + opening_load < limit {
        Some(Rank::Hot)
    } else if load >= limit || mean_load >= HOT_LOAD {
        // A backend beyond its capacity serves nobody, and the clients that it drops come back at
        // once. A rejection is better.
        None
    } else {
        // While the fleet as a whole has capacity, a rejection would be based only on an estimate
        // of what the group costs.
        Some(Rank::HotForGroup)
    }
}

/// Returns whether the backend at `endpoint` recognises a repeat of a request that may have run at
/// `first`.
fn is_in_scope(idempotency: Idempotency, first: &Endpoint, endpoint: &Endpoint) -> bool {
    match idempotency {
        Idempotency::Keyed {
            scope: DeduplicationScope::Zone,
            ..
        } => first.zone == endpoint.zone,
        Idempotency::Keyed {
            scope: DeduplicationScope::Cell,
            ..
        } => first.backend == endpoint.backend || is_in_same_cell(first, endpoint),
        _ => true,
    }
}

/// Returns whether two backends are known to be in one cell.
fn is_in_same_cell(first: &Endpoint, second: &Endpoint) -> bool {
    first.cell.is_some() && first.cell == second.cell
}
