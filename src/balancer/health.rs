//! Health of backends, as shown by load reports, health checks, late messages, and the failures
//! that eject a backend as an outlier.
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

/// A backend counts as restarted once this many of its connections break together and none is left.
const RESTART_BREAKS: u32 = 2;
/// Consecutive failures that eject a backend: a single one may be chance.
const EJECTION_FAILURES: u32 = 2;
/// Fewer than one in this many ready backends may be ejected at a time, but always one.
const MAX_EJECTED_DIVISOR: usize = 2;
/// Consecutive health checks that a backend must pass to return after its first ejection. Each
/// further ejection doubles the number.
const FIRST_EJECTION_HEALTH_CHECKS: u32 = 2;
/// Maximum number of doublings of the health checks that an ejected backend must pass.
const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// From this number on, consecutive reports that overstate the load are not believed.
const MAX_OVERSTATED_REPORTS: u32 = 2;
/// Time for which messages must have been late, in report lags, before a report of free capacity
/// counts as untrue.
const UNTRUE_AFTER_LAGS: f64 = 2.0;
/// Time without a response after which a connection is given up. Backends that merely pause respond
/// sooner.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(1_000);

impl Balancer {
    /// Handles the end of a health check of a backend.
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

    /// Records the load that a session's connection causes, as a share of a backend's capacity.
    pub fn load_observed(&mut self, id: SessionId, load: f64) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if session.load.replace(load).is_none() {
            let route = session.arrival.route;
            self.traffic.record_load(route, load);
        }
    }

    /// Records the latency of messages on a session's connection.
    pub fn latency_observed(
        &mut self,
        now: Instant,
        id: SessionId,
        latency: Duration,
        driver: &mut dyn Driver,
    ) {
        let Some(backend_id) = self.established_backend(id) else {
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

    /// Handles a message on a session's connection that has had no response for `waited`. A backend
    /// that has vanished or hangs does not close its connections.
    pub fn response_overdue(
        &mut self,
        now: Instant,
        id: SessionId,
        waited: Duration,
        driver: &mut dyn Driver,
    ) {
        self.latency_observed(now, id, waited, driver);
        let Some(backend_id) = self.established_backend(id) else {
            return;
        };
        let backend = self.backends.get(&backend_id);
        if backend.is_some_and(|backend| backend.is_ejected()) {
            // The ejection and the overdue response confirm each other. Every other connection
            // would find out only by an unanswered message of its own.
            self.migrate_all(backend_id, driver);
        } else if waited >= UNRESPONSIVE_AFTER {
            self.record_failure(backend_id, AttemptOutcome::TimedOut);
            self.migrate(id, driver);
        }
    }

    fn established_backend(&self, id: SessionId) -> Option<BackendId> {
        match self.sessions.get(&id) {
            Some(Session {
                state: SessionState::Established { attempt, .. },
                ..
            }) => Some(attempt.backend),
            _ => None,
        }
    }

    /// Records a load report, unless it is empty.
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
        // claims free capacity is untrue.
        let is_late_for_long = backend.late_since.is_some_and(|late_since| {
            now.duration_since(late_since) > REPORT_LAG * UNTRUE_AFTER_LAGS
        });
        if is_late && is_late_for_long {
            backend.understates_load = report.load.is_some_and(|load| load < HOT_LOAD);
        }
        // A report of a load above capacity is untrue while this relay's messages to the backend
        // are in time.
        let is_in_time = self.deployment.observes_latency && backend.connections > 0 && !is_late;
        backend.overstated_reports = if is_in_time && report.load > Some(1.0) {
            backend.overstated_reports + 1
        } else {
            0
        };
        let mut believed_report = report;
        if backend.overstated_reports >= MAX_OVERSTATED_REPORTS {
            believed_report.load = Some(HOT_LOAD);
        }
        backend.statistics.last_report = Some((now, believed_report));
        backend.statistics.weight_at_report = backend.endpoint.weight;
        backend
            .recent_placements
            .retain(|&placed_at| placed_at + REPORT_LAG > now);
    }

    /// Counts a failure of a backend. Consecutive failures eject it until it has passed health
    /// checks: a backend that hangs or fails fast may still report, and looks the least loaded of
    /// all.
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
        // If most of the fleet fails, the cause does not lie with single backends.
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

    /// Counts an established connection that broke. If all of several connections break together,
    /// the backend went down and warms up when it is back, whether or not the endpoint list ever
    /// says so. A backend that still holds other connections is overloaded.
    pub(super) fn record_connection_break(&mut self, now: Instant, backend_id: BackendId) {
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

    /// Clears the failures and ejections of a backend that has set a connection up.
    pub(super) fn clear_failures(&mut self, backend_id: BackendId) {
        if let Some(backend) = self.backends.get_mut(&backend_id) {
            backend.statistics.consecutive_failures = 0;
            backend.statistics.ejections = 0;
            backend.statistics.pending_health_checks = 0;
        }
    }
}
