//! What the balancer keeps of one backend.
use crate::attempt::LoadReport;
use crate::endpoint::Endpoint;
use crate::snapshot::EndpointStatistics;
use crate::time::{Duration, Instant};
use std::collections::{BTreeMap, VecDeque};

/// Load, as a share of capacity, from which a backend's messages begin to be late.
pub(super) const HOT_LOAD: f64 = 0.6;
/// Load from which nothing is placed and some is migrated: it may rise between two reports.
pub(super) const FULL_LOAD: f64 = 0.8;
/// The age that reports may have when they come.
pub(super) const REPORT_LAG: Duration = Duration::from_millis(1_000);
/// Messages later than this part of the latency objective are a sign of a hot backend.
pub(super) const LATE_OBJECTIVE_SHARE: f64 = 1.0 / 3.0;

/// An older report counts as none.
const REPORT_MAX_AGE: Duration = Duration::from_millis(30_000);
/// The same where the weights of the endpoint list tell of loads.
const REPORT_MAX_AGE_WITH_WEIGHTS: Duration = Duration::from_millis(10_000);
/// An older observation of latency counts as none: they come once a second.
const LATENCY_MAX_AGE: Duration = Duration::from_millis(2_000);
/// Connections that break further apart than this belong to separate events.
const BREAK_WINDOW: Duration = Duration::from_millis(500);

/// One backend, as long as the balancer lives.
#[derive(Default)]
pub(super) struct Backend {
    pub(super) endpoint: Endpoint,
    /// Attempts under way and connections that this relay has there.
    pub(super) connections: u32,
    /// The same of each group.
    pub(super) group_connections: BTreeMap<u64, u32>,
    pub(super) statistics: EndpointStatistics,
    /// Own placements that the latest report may not include.
    pub(super) recent_placements: VecDeque<Instant>,
    pub(super) message_latency: Option<LatencyObservation>,
    /// Since when its messages have been late.
    pub(super) late_since: Option<Instant>,
    /// It reported free capacity while its messages were late.
    pub(super) understates_load: bool,
    /// Reports in a row of more than its capacity, while its messages were in time.
    pub(super) overstated_reports: u32,
    /// The latest time for which it was banned, or down as its broken connections show.
    pub(super) outage: Option<Outage>,
    /// When its excess was last migrated.
    pub(super) relieved_at: Instant,
    pub(super) breaks: ConnectionBreaks,
    pub(super) overload_backoff: OverloadBackoff,
}

/// How late messages were on one connection.
#[derive(Clone, Copy)]
pub(super) struct LatencyObservation {
    pub(super) observed_at: Instant,
    pub(super) latency: Duration,
}

/// A time for which a backend took no part.
#[derive(Clone, Copy)]
pub(super) struct Outage {
    pub(super) from: Instant,
    pub(super) until: Instant,
}

/// Established connections that broke shortly after one another.
#[derive(Clone, Copy, Default)]
pub(super) struct ConnectionBreaks {
    since: Instant,
    pub(super) count: u32,
}

impl ConnectionBreaks {
    pub(super) fn record(&mut self, now: Instant) {
        if now.duration_since(self.since) > BREAK_WINDOW {
            (self.since, self.count) = (now, 0);
        }
        self.count += 1;
    }
}

/// How often in a row a backend dropped or refused what it could not hold, and until when it is
/// left alone for that.
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

    /// Forgets all but the connections: another process runs under this id, and what was known of
    /// the last one misleads.
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

    /// When the process started: at the end of its outage where the endpoint list knows of no later
    /// start.
    pub(super) fn started_at(&self) -> Option<Instant> {
        let listed = self.endpoint.started_at;
        self.outage
            .filter(|outage| listed.is_none_or(|started_at| started_at < outage.from))
            .map(|outage| outage.until)
            .or(listed)
    }

    /// The latest load report, unless it is too old.
    pub(super) fn report(&self, now: Instant) -> Option<LoadReport> {
        // Listed weights that change tell more than a report that is no longer fresh.
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

    /// The reported load as of now. A listed weight that falls with the connections held tells what
    /// came and went since the report. It counts no more than twofold, since the list may be far
    /// behind when a relay starts.
    pub(super) fn reported_load(&self, now: Instant) -> Option<f64> {
        let change = (self.statistics.weight_at_report / self.endpoint.weight).clamp(0.5, 2.0);
        self.report(now)
            .and_then(|report| report.load.or(report.connections))
            .map(|load| load * change)
    }

    /// The load that late messages show, whatever the backend reports. The estimate decays as
    /// connections depart, at `departure_rate` a second.
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
        let late = objective.as_secs_f64() * LATE_OBJECTIVE_SHARE;
        (HOT_LOAD * observation.latency.as_secs_f64() / late).min(1.0)
            * (-departure_rate * age.as_secs_f64()).exp()
    }

    /// Whether its messages were later than this of late; never for an objective of zero.
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
