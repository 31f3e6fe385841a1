//! What one process of a relay passes on to its successor at a hot restart.
use crate::attempt::LoadReport;
use crate::ids::BackendId;
use crate::time::{Duration, Instant};

/// What a relay has learnt of one backend.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointStatistics {
    /// The latest load report and when it came.
    pub last_report: Option<(Instant, LoadReport)>,
    /// The listed weight when that report came.
    pub weight_at_report: f64,
    /// Failed attempts and health checks since the last success.
    pub consecutive_failures: u32,
    /// How often it was ejected as an outlier since it last served.
    pub ejections: u32,
    /// Health checks that it has to pass before it takes part again; 0 while it is not ejected.
    pub pending_health_checks: u32,
    /// The latest slow-start turn in which this relay used it, and how often.
    pub slow_start_use: Option<(u64, u32)>,
}

/// What a balancer has learnt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BalancerSnapshot {
    /// Of each backend.
    pub endpoints: Vec<(BackendId, EndpointStatistics)>,
    /// How long an attempt takes to be ready of late.
    pub connect_time: Duration,
    /// Seconds that connections stood of late, all together.
    pub connection_seconds: f64,
    /// How many connections the other side closed in order meanwhile.
    pub departures: f64,
}
