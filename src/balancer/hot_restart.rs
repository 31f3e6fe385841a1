//! State that one process of a relay passes on to its successor.
use super::Balancer;
use crate::snapshot::{BalancerSnapshot, EndpointStatistics};
use crate::time::Instant;

impl Balancer {
    /// Returns what the successor of this process has to know.
    pub fn snapshot(&self) -> BalancerSnapshot {
        let endpoints = self
            .backends
            .iter()
            .map(|(&backend_id, backend)| (backend_id, backend.statistics))
            .collect();
        BalancerSnapshot {
            endpoints,
            connect_time: self.traffic.connect_time,
            connection_seconds: self.traffic.connection_seconds,
            departures: self.traffic.departures,
        }
    }

    /// Takes over what the predecessor knew of the backends that are listed by now.
    /// `has_predecessor` says that the predecessor still serves: until it has ended, only the
    /// predecessor uses slow-start turns.
    pub fn restore(&mut self, snapshot: &BalancerSnapshot, has_predecessor: bool) {
        self.has_predecessor = has_predecessor;
        if has_predecessor {
            self.limits.predecessor_started();
        }
        self.traffic.connect_time = snapshot.connect_time;
        self.traffic.connection_seconds = snapshot.connection_seconds;
        self.traffic.departures = snapshot.departures;
        for (backend_id, inherited) in &snapshot.endpoints {
            if let Some(backend) = self.backends.get_mut(backend_id) {
                backend.statistics = merge(&backend.statistics, inherited);
            }
        }
    }

    /// Handles the end of the predecessor of this process.
    pub fn predecessor_ended(&mut self, now: Instant) {
        self.has_predecessor = false;
        self.limits.predecessor_ended(now);
    }
}

/// Combines the later report of the two with the greater of each count.
fn merge(own: &EndpointStatistics, inherited: &EndpointStatistics) -> EndpointStatistics {
    let reported_at = |statistics: &EndpointStatistics| {
        statistics.last_report.map(|(reported_at, _)| reported_at)
    };
    let latest = if reported_at(own) >= reported_at(inherited) {
        own
    } else {
        inherited
    };
    EndpointStatistics {
        last_report: latest.last_report,
        weight_at_report: latest.weight_at_report,
        consecutive_failures: own.consecutive_failures.max(inherited.consecutive_failures),
        ejections: own.ejections.max(inherited.ejections),
        pending_health_checks: own
            .pending_health_checks
            .max(inherited.pending_health_checks),
        slow_start_use: own.slow_start_use.max(inherited.slow_start_use),
    }
}
