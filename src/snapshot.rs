//! State that one process of a relay passes on to its successor at a hot restart.
use crate::attempt::LoadReport;
use crate::ids::BackendId;
use crate::time::{Duration, Instant};

/// What a relay has learnt of one backend.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointStatistics {
    /// The latest load report and when it arrived.
    pub last_report: Option<(Instant, LoadReport)>,
    /// The listed weight when that report arrived.
    pub weight_at_report: f64,
    /// Failed attempts and health checks since the last success.
    pub consecutive_failures: u32,
    /// How often the backend was ejected as an outlier since it last set a connection up.
    pub ejections: u32,
    /// Health checks that the backend has to pass before it is selected again; 0 if it is not
    /// ejected.
    pub pending_health_checks: u32,
    /// The number of the latest slow-start turn in which this relay used the backend, and its
    /// attempts in that turn.
    pub slow_start_use: Option<(u64, u32)>,
}

/// What a balancer has learnt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BalancerSnapshot {
    /// What was learnt of each backend.
    pub endpoints: Vec<(BackendId, EndpointStatistics)>,
    /// Recent average time until an attempt is ready.
    pub connect_time: Duration,
    /// Decaying sum of the seconds for which sessions were open, as an estimate of the time for
    /// which connections were established.
    pub connection_seconds: f64,
    /// Decaying count of the connections that the other side closed in order in that time.
    pub departures: f64,
}
