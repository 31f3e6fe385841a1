//! Migration of established connections: off overloaded backends, and back to the local zone.
use super::Balancer;
use super::backend_state::{Backend, FULL_LOAD, HOT_LOAD, REPORT_LAG};
use super::fleet_load::FleetLoad;
use super::session_state::SessionState;
use crate::driver::Driver;
use crate::ids::{BackendId, SessionId};
use crate::time::{Duration, Instant};
use std::collections::BTreeMap;

/// Load, as a share of capacity, that a backend with late messages is relieved to. It is low
/// because work has piled up there.
const LATE_RELIEF_LOAD: f64 = 0.5;
/// A connection established for less than this is not migrated off an overloaded backend: no report
/// includes its load yet.
const MIN_ESTABLISHED_TIME: Duration = Duration::from_millis(2_000);
/// A relay with fewer sessions than this knows too little about where groups are held to return any
/// to the local zone.
const MIN_SESSIONS_TO_RETURN: usize = 20;
/// Load, as a share of capacity, below which a local backend takes connections back.
const RETURN_LOAD: f64 = 0.3;

/// An established session that may be migrated off an overloaded backend.
struct MigrationCandidate {
    id: SessionId,
    backend_id: BackendId,
    load: f64,
    /// Priority weight divided by load. The session of the lowest value is migrated first.
    value: f64,
}

impl Balancer {
    /// Migrates this relay's part of the excess load off overloaded backends, in one small step per
    /// load report, and all of its load off unreachable ones. The sessions that are worth least for
    /// their load go first.
    pub(super) fn relieve_overloaded_backends(&mut self, now: Instant, driver: &mut dyn Driver) {
        let excess_shares = self.excess_shares(now);
        let mut excess: BTreeMap<BackendId, f64> = BTreeMap::new();
        let mut candidates: Vec<MigrationCandidate> = Vec::new();
        for (&id, session) in &self.sessions {
            let SessionState::Established {
                attempt,
                established_at,
            } = session.state
            else {
                continue;
            };
            let backend_id = attempt.backend;
            let Some(share) = excess_shares.get(&backend_id) else {
                continue;
            };
            let load = session.load.unwrap_or(1.0).max(f64::MIN_POSITIVE);
            *excess.entry(backend_id).or_default() += share * load;
            if now.duration_since(established_at) >= MIN_ESTABLISHED_TIME {
                candidates.push(MigrationCandidate {
                    id,
                    backend_id,
                    load,
                    value: session.route.priority_weight / load,
                });
            }
        }
        candidates.sort_by(|a, b| a.value.total_cmp(&b.value).then(a.id.cmp(&b.id)));
        for session in candidates {
            let remaining_excess = excess.entry(session.backend_id).or_default();
            let probability = *remaining_excess / session.load;
            *remaining_excess -= session.load;
            if self.draw_with_probability(probability) {
                self.migrate(session.id, driver);
            }
        }
    }

    /// Returns `true` with this probability. It decides whether one more connection is migrated for
    /// an excess of less than one connection. If the excess were rounded instead, hundreds of
    /// relays with one connection each would all migrate theirs at once, or none would.
    fn draw_with_probability(&mut self, probability: f64) -> bool {
        probability >= 1.0 || probability > 0.0 && self.rng.unit_f64() < probability
    }

    /// Returns the share of its load that each overloaded or unreachable backend is to be relieved
    /// of.
    fn excess_shares(&mut self, now: Instant) -> BTreeMap<BackendId, f64> {
        let fleet = self.fleet_load(now);
        let objective = self.deployment.message_objective;
        let mut shares = BTreeMap::new();
        for (&backend_id, backend) in &mut self.backends {
            if is_unreachable(backend, now, objective, fleet) {
                shares.insert(backend_id, 1.0);
            } else if let Some(share) = excess_share(backend, now, objective, fleet) {
                backend.relieved_at = now;
                shares.insert(backend_id, share);
            }
        }
        shares
    }

    /// Migrates one connection that crosses zones, if the local zone has capacity and crossing
    /// costs more than a migration. More connections at once would fill the zone on the basis of
    /// old reports.
    pub(super) fn return_to_local_zone(&mut self, now: Instant, driver: &mut dyn Driver) {
        let costs_more_than_migration =
            self.deployment.cross_zone_cost > self.deployment.migration_cost;
        if self.sessions.len() < MIN_SESSIONS_TO_RETURN || !costs_more_than_migration {
            return;
        }
        let crossing_sessions = self.stable_sessions_in_other_zones(now);
        let Some(&id) = self.choose_random(&crossing_sessions) else {
            return;
        };
        let Some(backend_id) = self.select_backend(now, id) else {
            return;
        };
        let is_local = self.backends[&backend_id].endpoint.zone == self.deployment.zone;
        if is_local && self.estimated_load(now, backend_id, self.fleet_load(now)) < RETURN_LOAD {
            self.migrate(id, driver);
        }
    }

    fn stable_sessions_in_other_zones(&self, now: Instant) -> Vec<SessionId> {
        let mut crossing_sessions = Vec::new();
        for (&id, session) in &self.sessions {
            let SessionState::Established {
                attempt,
                established_at,
            } = session.state
            else {
                continue;
            };
            let is_stable = now.duration_since(established_at) >= session.route.stable_after;
            let backend = self.backends.get(&attempt.backend);
            if is_stable
                && backend.is_some_and(|backend| backend.endpoint.zone != self.deployment.zone)
            {
                crossing_sessions.push(id);
            }
        }
        crossing_sessions
    }

    /// Migrates all connections off a backend.
    pub(super) fn migrate_all(&mut self, backend_id: BackendId, driver: &mut dyn Driver) {
        let is_on_backend = |state: SessionState| {
            matches!(state, SessionState::Established { attempt, .. }
                if attempt.backend == backend_id)
        };
        let sessions: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, session)| is_on_backend(session.state))
            .map(|(&id, _)| id)
            .collect();
        for id in sessions {
            self.migrate(id, driver);
        }
    }

    /// Asks the client of an established connection to reconnect as a new session.
    pub(super) fn migrate(&mut self, id: SessionId, driver: &mut dyn Driver) {
        driver.migrate(id);
        self.set_state(id, SessionState::Closing, driver);
    }
}

/// Returns whether nothing that is sent to a backend seems to come through. If the fleet is full it
/// returns `false`, since a migration would end in a rejection.
fn is_unreachable(backend: &Backend, now: Instant, objective: Duration, fleet: FleetLoad) -> bool {
    backend.is_later_than(objective, now)
        && backend.statistics.consecutive_failures > 0
        && fleet.mean < FULL_LOAD
}

/// Returns the share of its load that a backend is to be relieved of, by a fresh report, or `None`
/// if it is not overloaded.
fn excess_share(
    backend: &Backend,
    now: Instant,
    objective: Duration,
    fleet: FleetLoad,
) -> Option<f64> {
    let (reported_at, report) = backend.statistics.last_report?;
    let is_fresh = now.duration_since(reported_at) < REPORT_LAG;
    let is_new = reported_at >= backend.relieved_at + REPORT_LAG;
    if !is_fresh || !is_new {
        return None;
    }
    let is_late = backend.is_later_than(objective, now);
    let (load_by_latency, limit, target) = if is_late {
        let load = backend.load_by_latency(now, objective, fleet.departure_rate);
        (load.min(FULL_LOAD), HOT_LOAD, LATE_RELIEF_LOAD)
    } else {
        (0.0, FULL_LOAD, HOT_LOAD)
    };
    let load = report.load?.max(load_by_latency);
    (load > limit).then_some(1.0 - target / load)
}
