//! Signs of a backend's health: load reports, health checks, late messages, and the failures that
//! eject it as an outlier.
use super::Balancer;
use super::backend_state::{
    HOT_LOAD, LATE_OBJECTIVE_SHARE, LatencyObservation, Outage, REPORT_LAG,
};
use super::session_state::{Session, SessionState};
use crate::attempt::{AttemptOutcome, LoadReport};
use crate::driver::Driver;
use crate::endpoint::EndpointState;
use crate::ids::{BackendId, SessionId};
use crate::time::{Duration, Instant};

/// Connections of one backend that break together without any left over show that it went down.
const RESTART_BREAKS: u32 = 2;
/// Failures in a row that eject a backend: a single one may be chance.
const EJECTION_FAILURES: u32 = 2;
/// One backend in so many may be ejected at a time.
const MAX_EJECTED_DIVISOR: usize = 2;
/// Health checks in a row that bring a backend back after its first ejection. Each further ejection
/// doubles them.
const FIRST_EJECTION_HEALTH_CHECKS: u32 = 2;
/// Ejections that double the health checks, at most.
const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// Reports in a row that overstate a load before they are disbelieved.
const MAX_OVERSTATED_REPORTS: u32 = 2;
/// Lags of reports after which one that is not in line with late messages is untrue.
const UNTRUE_AFTER_LAGS: f64 = 2.0;
/// A connection that has had no answer for so long is given up: a pause of the backend is over by
/// then.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(1_000);

impl Balancer {
    /// A health check of a backend has ended.
    pub fn health_checked(
        &mut self,
        now: Instant,
        backend_id: BackendId,
        outcome: AttemptOutcome,
        report: LoadReport,
    ) {
        if outcome != AttemptOutcome::Ok {
            return self.record_failure(backend_id, outcome);
        }
        self.record_report(now, backend_id, report);
        if let Some(backend) = self.backends.get_mut(&backend_id) {
            let statistics = &mut backend.statistics;
            statistics.pending_health_checks = statistics.pending_health_checks.saturating_sub(1);
            if statistics.pending_health_checks == 0 {
                statistics.consecutive_failures = 0;
            }
        }
    }

    /// The load that a session's connection causes, as a share of a backend's capacity.
    pub fn load_observed(&mut self, id: SessionId, load: f64) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if session.load.replace(load).is_none() {
            let route = session.arrival.route;
            self.traffic.record_load(route, load);
        }
    }

    /// How late messages are on a session's connection.
    pub fn latency_observed(
        &mut self,
        now: Instant,
        id: SessionId,
        latency: Duration,
        driver: &mut dyn Driver,
    ) {
        let Some(backend_id) = self.backend_of_established(id) else {
            return;
        };
        let objective = self.deployment.message_objective;
        let Some(backend) = self.backends.get_mut(&backend_id) else {
            return;
        };
        backend.message_latency = Some(LatencyObservation {
            observed_at: now,
            latency,
        });
        if latency > objective * LATE_OBJECTIVE_SHARE {
            backend.late_since.get_or_insert(now);
        } else {
            backend.late_since = None;
            backend.understates_load = false;
        }
        // Rebalancing needs a fresh report, and the latest may be seconds old.
        let is_stale = backend
            .statistics
            .last_report
            .is_none_or(|(reported_at, _)| now.duration_since(reported_at) >= REPORT_LAG);
        let is_ready =
            backend.endpoint.state == EndpointState::Ready && !self.bans.contains_key(&backend_id);
        let may_check = self.deployment.may_check_health && is_ready;
        if may_check && is_stale && backend.is_later_than(objective, now) {
            driver.check_health(backend_id);
        }
    }

    /// A message on a session's connection has had no answer for so long. A backend that has
    /// vanished or hangs closes nothing.
    pub fn response_overdue(
        &mut self,
        now: Instant,
        id: SessionId,
        waited: Duration,
        driver: &mut dyn Driver,
    ) {
        self.latency_observed(now, id, waited, driver);
        let Some(backend_id) = self.backend_of_established(id) else {
            return;
        };
        let backend = self.backends.get(&backend_id);
        if backend.is_some_and(|backend| backend.is_ejected()) {
            // Two signs agree. Each of the others would find out only by a message of its own.
            self.migrate_all(backend_id, driver);
        } else if waited >= UNRESPONSIVE_AFTER {
            self.record_failure(backend_id, AttemptOutcome::TimedOut);
            self.migrate(id, driver);
        }
    }

    fn backend_of_established(&self, id: SessionId) -> Option<BackendId> {
        match self.sessions.get(&id) {
            Some(Session {
                state: SessionState::Established { attempt, .. },
                ..
            }) => Some(attempt.backend),
            _ => None,
        }
    }

    /// Records a load report, unless it tells nothing.
    pub(super) fn record_report(
        &mut self,
        now: Instant,
        backend_id: BackendId,
        report: LoadReport,
    ) {
        if report.connections.or(report.load).is_none() {
            return;
        }
        let Some(backend) = self.backends.get_mut(&backend_id) else {
            return;
        };
        let late_objective = self.deployment.message_objective * LATE_OBJECTIVE_SHARE;
        let is_late = backend.is_later_than(late_objective, now);
        // A report may have been made before the messages were late. One that was made later and
        // tells of free capacity is not true.
        let is_late_for_long = backend.late_since.is_some_and(|late_since| {
            now.duration_since(late_since) > REPORT_LAG * UNTRUE_AFTER_LAGS
        });
        if is_late && is_late_for_long {
            backend.understates_load = report.load.is_some_and(|load| load < HOT_LOAD);
        }
        // Nor is one that tells of more than the capacity while own messages there are in time.
        let is_in_time = self.deployment.observes_latency && backend.connections > 0 && !is_late;
        backend.overstated_reports = if is_in_time && report.load > Some(1.0) {
            backend.overstated_reports + 1
        } else {
            0
        };
        let mut believed = report;
        if backend.overstated_reports >= MAX_OVERSTATED_REPORTS {
            believed.load = Some(HOT_LOAD);
        }
        backend.statistics.last_report = Some((now, believed));
        backend.statistics.weight_at_report = backend.endpoint.weight;
        backend
            .recent_placements
            .retain(|&placed_at| placed_at + REPORT_LAG > now);
    }

    /// Counts a failure of a backend. Several in a row eject it, until it has passed health checks:
    /// a backend that hangs or fails fast may still report, and looks the least loaded of all.
    pub(super) fn record_failure(&mut self, backend_id: BackendId, outcome: AttemptOutcome) {
        let ready = self.ready_backends().count();
        let ejected = self
            .ready_backends()
            .filter(|(_, backend)| backend.is_ejected())
            .count();
        let Some(backend) = self.backends.get_mut(&backend_id) else {
            return;
        };
        let was_ejected = backend.is_ejected();
        let statistics = &mut backend.statistics;
        statistics.consecutive_failures += 1;
        // Failures of most of the fleet have a cause that no backend can be blamed for.
        let may_eject = (ejected + 1) * MAX_EJECTED_DIVISOR < ready.max(MAX_EJECTED_DIVISOR + 1);
        if outcome != AttemptOutcome::Saturated
            && statistics.consecutive_failures >= EJECTION_FAILURES
            && (was_ejected || may_eject)
        {
            statistics.ejections += u32::from(!was_ejected);
            let doublings = statistics
                .ejections
                .saturating_sub(1)
                .min(MAX_EJECTION_DOUBLINGS);
            statistics.pending_health_checks = FIRST_EJECTION_HEALTH_CHECKS << doublings;
        }
    }

    /// Counts an established connection that broke. Where all of several break together, the
    /// backend went down with them and warms up when it is back, whether or not the endpoint list
    /// ever tells. One that holds others still is overloaded.
    pub(super) fn record_break(&mut self, now: Instant, backend_id: BackendId) {
        let Some(backend) = self.backends.get_mut(&backend_id) else {
            return;
        };
        backend.breaks.record(now);
        if backend.connections <= 1 && backend.breaks.count >= RESTART_BREAKS {
            backend.reset(backend.endpoint);
            backend.outage = Some(Outage {
                from: now,
                until: now,
            });
        } else {
            self.back_off_from(now, backend_id);
        }
    }

    /// Forgets the failures and ejections of a backend that has set a connection up.
    pub(super) fn clear_failures(&mut self, backend_id: BackendId) {
        if let Some(backend) = self.backends.get_mut(&backend_id) {
            backend.statistics.consecutive_failures = 0;
            backend.statistics.ejections = 0;
            backend.statistics.pending_health_checks = 0;
        }
    }
}
