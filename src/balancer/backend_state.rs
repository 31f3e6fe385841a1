//! State that the balancer keeps for one backend.
use crate::attempt::LoadReport;
use crate::endpoint::Endpoint;
use crate::snapshot::EndpointStatistics;
use crate::time::{Duration, Instant};
use std::collections::{BTreeMap, VecDeque};

/// Load, as a share of capacity, from which a backend's messages begin to be late.
pub(super) const HOT_LOAD: f64 = 0.6;
/// Load, as a share of capacity, from which no session is placed and some are migrated: the load
/// may rise between two reports.
pub(super) const FULL_LOAD: f64 = 0.8;
/// Age that a load report may already have when it arrives.
pub(super) const REPORT_LAG: Duration = Duration::from_millis(1_000);
/// Messages that take longer than this share of the latency objective are a sign of a hot backend.
pub(super) const LATE_OBJECTIVE_SHARE: f64 = 1.0 / 3.0;

/// Load reports older than this are ignored.
const REPORT_MAX_AGE: Duration = Duration::from_millis(30_000);
/// `REPORT_MAX_AGE` for a backend whose weight in the endpoint list reflects its load.
const REPORT_MAX_AGE_WITH_WEIGHTS: Duration = Duration::from_millis(10_000);
/// Latency observations, which come once a second, are ignored when older than this.
const LATENCY_MAX_AGE: Duration = Duration::from_millis(2_000);
/// A connection that breaks later than this after the first one belongs to a separate event.
const BREAK_WINDOW: Duration = Duration::from_millis(500);

/// State of one backend, kept as long as the balancer lives.
#[derive(Default)]
pub(super) struct Backend {
    pub(super) endpoint: Endpoint,
    /// Attempts under way and established connections that this relay has at the backend.
    pub(super) connections: u32,
    /// `connections` by group.
    pub(super) group_connections: BTreeMap<u64, u32>,
    pub(super) statistics: EndpointStatistics,
    /// When this relay placed the sessions that the latest report may not include.
    pub(super) recent_placements: VecDeque<Instant>,
    pub(super) message_latency: Option<LatencyObservation>,
    /// When the backend's messages became late, if they still are.
    pub(super) late_since: Option<Instant>,
    /// Whether the backend reported free capacity while its messages were late.
    pub(super) understates_load: bool,
    /// Consecutive reports of a load above capacity while messages were in time.
    pub(super) overstated_reports: u32,
    /// The latest period in which the backend was banned, or was down as its broken connections
    /// show.
    pub(super) outage: Option<Outage>,
    /// When the excess load of the backend was last migrated.
    pub(super) relieved_at: Instant,
    pub(super) breaks: ConnectionBreaks,
    pub(super) overload_backoff: OverloadBackoff,
}

/// The message latency observed on one connection.
#[derive(Clone, Copy)]
pub(super) struct LatencyObservation {
    pub(super) observed_at: Instant,
    pub(super) latency: Duration,
}

/// A period in which a backend was out of service.
#[derive(Clone, Copy)]
pub(super) struct Outage {
    pub(super) from: Instant,
    pub(super) until: Instant,
}

/// Established connections that broke shortly after one another.
#[derive(Clone, Copy, Default)]
pub(super) struct ConnectionBreaks {
    first_at: Instant,
    pub(super) count: u32,
}

impl ConnectionBreaks {
    pub(super) fn record(&mut self, now: Instant) {
        if now.duration_since(self.first_at) > BREAK_WINDOW {
            (self.first_at, self.count) = (now, 0);
        }
        self.count += 1;
    }
}

/// How many consecutive times a backend dropped or refused a connection for lack of capacity, and
/// until when the relay backs off from it.
#[derive(Clone, Copy, Default)]
pub(super) struct OverloadBackoff {
    pub(super) count: u32,
    pub(super) until: Instant,
}

impl Backend {
    pub(super) fn new(endpoint: Endpoint) -> Backend {
        Backend {
            endpoint,
            statistics: EndpointStatistics {
                weight_at_report: 1.0,
                ..EndpointStatistics::default()
            },
            ..Backend::default()
        }
    }

    /// Forgets everything but the connections and the outage: another process runs under this id,
    /// and what was known of the previous one would mislead.
    pub(super) fn reset(&mut self, endpoint: Endpoint) {
        let group_connections = std::mem::take(&mut self.group_connections);
        *self = Backend {
            connections: self.connections,
            group_connections,
            outage: self.outage,
            ..Backend::new(endpoint)
        };
    }

    pub(super) fn is_ejected(&self) -> bool {
        self.statistics.pending_health_checks > 0
    }

    /// Returns when the backend's process started: the end of its outage, unless the endpoint list
    /// names a start since the outage began.
    pub(super) fn started_at(&self) -> Option<Instant> {
        let listed = self.endpoint.started_at;
        self.outage
            .filter(|outage| listed.is_none_or(|started_at| started_at < outage.from))
            .map(|outage| outage.until)
            .or(listed)
    }

    /// Returns the latest load report, unless it is too old.
    pub(super) fn recent_report(&self, now: Instant) -> Option<LoadReport> {
        // Listed weights that change say more than a report that is no longer fresh.
        let max_age = if self.endpoint.weight == 1.0 {
            REPORT_MAX_AGE
        } else {
            REPORT_MAX_AGE_WITH_WEIGHTS
        };
        self.statistics
            .last_report
            .filter(|(reported_at, _)| now.duration_since(*reported_at) < max_age)
            .map(|(_, report)| report)
    }

    /// Returns the reported load, adjusted by the change of the listed weight since the report. The
    /// weight falls as the backend holds more connections. The adjustment is at most twofold, since
    /// the list may be far behind when a relay starts.
    pub(super) fn reported_load(&self, now: Instant) -> Option<f64> {
        let change = (self.statistics.weight_at_report / self.endpoint.weight).clamp(0.5, 2.0);
        self.recent_report(now)
            .and_then(|report| report.load.or(report.connections))
            .map(|load| load * change)
    }

    /// Returns the load that late messages show, as a share of capacity, whatever the backend
    /// reports. The estimate decays as connections depart, at `departure_rate` per second. An old
    /// observation counts only while the backend understates its load.
    pub(super) fn load_by_latency(
        &self,
        now: Instant,
        objective: Duration,
        departure_rate: f64,
    ) -> f64 {
        let Some(observation) = self.message_latency else {
            return 0.0;
        };
        let age = now.duration_since(observation.observed_at);
        let is_valid = self.understates_load || age < LATENCY_MAX_AGE;
        if objective == Duration::ZERO || !is_valid {
            return 0.0;
        }
        let late_threshold = objective.as_secs_f64() * LATE_OBJECTIVE_SHARE;
        (HOT_LOAD * observation.latency.as_secs_f64() / late_threshold).min(1.0)
            * (-departure_rate * age.as_secs_f64()).exp()
    }

    /// Returns whether the latest observation is recent and its latency exceeds the objective. It
    /// never does for an objective of zero.
    pub(super) fn is_later_than(&self, objective: Duration, now: Instant) -> bool {
        let is_recent = |observation: &LatencyObservation| {
            now.duration_since(observation.observed_at) < LATENCY_MAX_AGE
        };
        objective > Duration::ZERO
            && self
                .message_latency
                .filter(is_recent)
                .is_some_and(|observation| observation.latency > objective)
    }
}
