//! Selection of the backend for an attempt: the less loaded of two candidates.
use super::Balancer;
use super::backend_state::{FULL_LOAD, HOT_LOAD};
use super::fleet_load::FleetLoad;
use super::session_state::Session;
use crate::deployment::{DeduplicationScope, Idempotency};
use crate::endpoint::Endpoint;
use crate::ids::{BackendId, RouteId, SessionId, rendezvous_hash};
use crate::time::Instant;

/// What opening a group at a backend counts for, as a share of its capacity: groups must not spread
/// over the whole fleet.
const GROUP_OPENING_LOAD: f64 = 0.5;
/// The same in connections, where only those are reported.
const GROUP_OPENING_CONNECTIONS: f64 = 15.0;
/// Share of a backend's capacity that the routes of least value leave free.
const YIELDED_LOAD: f64 = 0.2;
/// One session in so many tries an ejected backend, where no health check may be sent.
const EJECTED_TRIAL_INTERVAL: u64 = 20;

/// What a backend is selected for.
struct Selection {
    route: RouteId,
    /// The session's group, where groups share work.
    group: Option<u64>,
    fleet: FleetLoad,
    /// Backends that the members of the group fill.
    group_span: f64,
    /// No load is known and none can be asked for, so that the group is spread by its size.
    spreads_group: bool,
}

/// A backend that a session may go to.
#[derive(Clone, Copy)]
struct Candidate {
    backend_id: BackendId,
    load: f64,
    rank: Rank,
}

/// Candidates of the first rank that there is are chosen from.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// It is warming up and has a turn, the one capacity that is known where no load is reported.
    WarmingUp,
    LocalZone,
    OtherZone,
    /// It is hot, but has capacity left for this session.
    Hot,
    /// It is hot, and only a guess says that the session's group would not fit.
    HotForGroup,
}

impl Balancer {
    /// The backend for the session's next attempt; none where no backend has capacity.
    pub(super) fn select_backend(&mut self, now: Instant, id: SessionId) -> Option<BackendId> {
        let selection = self.selection_for(now, id);
        let eligible = self.eligible_backends(now, &self.sessions[&id], selection.fleet);
        let mut backends = self.without_ejected(eligible);
        if backends.len() > 1 {
            let last_backend = self.sessions[&id].last_backend;
            backends.retain(|&backend_id| Some(backend_id) != last_backend);
        }
        if let Some(group) = selection.group {
            self.sort_by_group(&mut backends, group);
        }
        if !self.deployment.reports_load {
            self.keep_group_together(now, &mut backends, selection.group);
            backends.retain(|id| self.backends[id].overload_backoff.until <= now);
        }
        let candidates = self.candidates(now, &backends, &selection);
        let candidates = Self::first_ranked(candidates, &selection)?;
        self.less_loaded_of_two(candidates, &selection)
    }

    fn selection_for(&self, now: Instant, id: SessionId) -> Selection {
        let arrival = self.sessions[&id].arrival;
        let fleet = self.fleet_load(now);
        let group = arrival.group.filter(|_| self.deployment.groups_share_work);
        let is_silent =
            !fleet.is_known() && self.deployment.reports_load && !self.deployment.may_check_health;
        let spreads_group = is_silent && group.is_some();
        let fleet_load = if spreads_group { 1.0 } else { fleet.mean };
        Selection {
            route: arrival.route,
            group,
            fleet,
            group_span: group.map_or(0.0, |group| self.group_span(group, fleet_load)),
            spreads_group,
        }
    }

    /// How many backends the members of a group fill, by its part of the sessions and the load of
    /// the fleet.
    fn group_span(&self, group: u64, fleet_load: f64) -> f64 {
        self.traffic.group_share(group) * fleet_load * self.ready_backends().count() as f64
            / HOT_LOAD
    }

    /// The ready backends that the session may be sent to and that slow start leaves open.
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

    /// Drops ejected backends, unless all are ejected or this session is to try them.
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

    /// Sorts by rendezvous hash: every relay gets the same order for a group.
    fn sort_by_group(&self, backends: &mut [BackendId], group: u64) {
        backends.sort_by_cached_key(|backend_id| {
            rendezvous_hash(self.backends[backend_id].endpoint.stable_hash, group)
        });
    }

    /// Leaves a group the first warm backend of its order, beside those that are warming up. Where
    /// no load is reported, groups that went on from one backend to the next would fill the fleet
    /// with what they cost.
    fn keep_group_together(&self, now: Instant, backends: &mut Vec<BackendId>, group: Option<u64>) {
        let is_warm = |backend_id: BackendId| self.slow_start_turn(now, backend_id).is_none();
        let home = group.and_then(|_| backends.iter().copied().find(|&id| is_warm(id)));
        if let Some(home) = home {
            backends.retain(|&id| id == home || !is_warm(id));
        }
    }

    /// The backends that have capacity for the session, with their load and rank.
    fn candidates(
        &self,
        now: Instant,
        backends: &[BackendId],
        selection: &Selection,
    ) -> Vec<Candidate> {
        let loads: Vec<f64> = backends
            .iter()
            .map(|&backend_id| self.estimated_load(now, backend_id, selection.fleet))
            .collect();
        let mean_load = loads.iter().sum::<f64>() / loads.len() as f64;
        let limit = self.placement_limit(selection.route);
        let mut candidates = Vec::new();
        for (place, (&backend_id, &load)) in backends.iter().zip(&loads).enumerate() {
            let opening = self.opening_load(backend_id, place, selection);
            let place = place as f64;
            let load_with_group = load + opening * place / (place + selection.group_span).max(1.0);
            let is_hot = selection.fleet.is_capacity_share() && load_with_group >= HOT_LOAD;
            let rank = if !is_hot {
                Some(self.rank_below_hot(now, backend_id))
            } else if self.is_presumed_free(now, backend_id) {
                Some(Rank::Hot)
            } else {
                rank_hot(load, opening, limit, mean_load)
            };
            candidates.extend(rank.map(|rank| Candidate {
                backend_id,
                load: load_with_group,
                rank,
            }));
        }
        candidates
    }

    /// The load from which none of a route is placed. It is the lower the less the route is worth
    /// for its typical load, so that scarce capacity goes to the best use.
    fn placement_limit(&self, route: RouteId) -> f64 {
        let value = self.traffic.relative_value(route, |route| {
            self.routes
                .get(usize::from(route.0))
                .map_or(0.0, |row| row.priority_weight)
        });
        FULL_LOAD - YIELDED_LOAD * (1.0 - value.cbrt())
    }

    /// What opening the group at a backend adds to its load. One of hundreds of relays knows little
    /// of where a group is held: most likely at the first backend of its order.
    fn opening_load(&self, backend_id: BackendId, place: usize, selection: &Selection) -> f64 {
        let is_held = |group: u64| {
            self.backends[&backend_id]
                .group_connections
                .contains_key(&group)
        };
        if place == 0 || selection.group.is_none_or(is_held) {
            0.0
        } else if selection.fleet.is_capacity_share() {
            GROUP_OPENING_LOAD
        } else {
            GROUP_OPENING_CONNECTIONS
        }
    }

    /// Whether a backend without a report counts as having capacity, whatever is guessed of it:
    /// where it has an open slow-start turn, and where none may be asked, since those that did
    /// report failed or dropped somebody.
    fn is_presumed_free(&self, now: Instant, backend_id: BackendId) -> bool {
        let is_warm = self.slow_start_turn(now, backend_id).is_none();
        let could_be_asked = self.deployment.may_check_health && is_warm;
        self.backends[&backend_id].report(now).is_none() && !could_be_asked
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

    fn first_ranked(
        mut candidates: Vec<Candidate>,
        selection: &Selection,
    ) -> Option<Vec<Candidate>> {
        let first = candidates.iter().map(|candidate| candidate.rank).min()?;
        candidates.retain(|candidate| candidate.rank == first);
        if selection.spreads_group {
            candidates.truncate(1 + selection.group_span as usize);
        }
        Some(candidates)
    }

    /// The less loaded of the first two in the group's order; of two random ones without a group.
    fn less_loaded_of_two(
        &mut self,
        mut candidates: Vec<Candidate>,
        selection: &Selection,
    ) -> Option<BackendId> {
        let (first, second) = if selection.group.is_some() && !selection.spreads_group {
            let first = *candidates.first()?;
            (first, candidates.get(1).copied().unwrap_or(first))
        } else {
            let first = *self.choose(&candidates)?;
            candidates.retain(|candidate| candidate.backend_id != first.backend_id);
            (first, self.choose(&candidates).copied().unwrap_or(first))
        };
        let chosen = if second.load < first.load {
            second
        } else {
            first
        };
        Some(chosen.backend_id)
    }
}

/// The rank of a hot backend, by its load and by what opening the group there adds; none where it has
/// no capacity for the session.
fn rank_hot(load: f64, opening: f64, limit: f64, mean_load: f64) -> Option<Rank> {
    if load + opening < limit {
        Some(Rank::Hot)
    } else if load >= limit || mean_load >= HOT_LOAD {
        // A backend beyond its capacity serves nobody, and clients that it drops come back at once:
        // what finds no capacity is rejected instead.
        None
    } else {
        // While the fleet as a whole has capacity, a rejection would rest on a guess of what the
        // group costs.
        Some(Rank::HotForGroup)
    }
}

/// Whether a backend recognises a repeat of a request that may have run at `first`.
fn is_in_scope(idempotency: Idempotency, first: &Endpoint, endpoint: &Endpoint) -> bool {
    match idempotency {
        Idempotency::Keyed {
            scope: DeduplicationScope::Zone,
            ..
        } => first.zone == endpoint.zone,
        Idempotency::Keyed {
            scope: DeduplicationScope::Cell,
            ..
        } => first.cell == endpoint.cell,
        _ => true,
    }
}
