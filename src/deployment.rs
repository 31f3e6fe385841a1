//! Configuration of a balancer: the deployment that it serves and its route table.
use crate::ids::ZoneId;
use crate::time::Duration;

/// Which backends recognise a repeated request by its idempotency key. A narrower scope compares as
/// greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeduplicationScope {
    /// All backends.
    All,
    /// The backends in the zone of the backend where the request may have run first.
    Zone,
    /// The backends in the cell of the backend where the request may have run first.
    Cell,
}

/// Whether a request may be sent again after it may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be sent again at any time.
    #[default]
    Idempotent,
    /// The request carries an idempotency key: the backends of `scope` drop a repeat for `window`
    /// after the first attempt that may have run.
    Keyed {
        /// The backends that recognise the key.
        scope: DeduplicationScope,
        /// How long they recognise it.
        window: Duration,
    },
    /// The request must not be sent again.
    NonIdempotent,
}

/// A row of the route table. There is one for each listener, and more if the operator configuration
/// defines routes. A session keeps the row that it began with.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Route {
    /// Rows with the same number share their limits and counts; 0 for sessions without a route.
    pub limits_id: u32,
    /// A session has its full worth if its handshake completes within this time.
    pub handshake_objective: Duration,
    /// Whether a request may be sent again.
    pub idempotency: Idempotency,
    /// What a served request is worth, relative to those of other routes.
    pub priority_weight: f64,
    /// A connection that is not set up within this time has failed.
    pub connect_timeout: Duration,
    /// Maximum number of attempts of one session, including the first.
    pub max_attempts: u32,
    /// An attempt is given up after this many times the recent average connect time, but not before
    /// `handshake_objective`. The last attempt gets all the time that is left.
    pub attempt_timeout_factor: f64,
    /// The first retry delay after a failure, before jitter.
    pub backoff_base: Duration,
    /// The longest retry delay, before jitter.
    pub backoff_cap: Duration,
    /// A connection that breaks before it has been established for this long counts as a failure of
    /// its client.
    pub stable_after: Duration,
    /// The longest `Retry-After` that is sent.
    pub max_retry_after: Duration,
    /// Maximum number of retries, as a share of the sessions.
    pub retry_share: Option<f64>,
    /// Maximum number of concurrent sessions; more are rejected.
    pub max_sessions: Option<u32>,
    /// When hedged attempts go out, if ever.
    pub hedging: Option<Hedging>,
}

/// When a hedged attempt goes out while another attempt of its session is still under way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hedging {
    /// Quantile of the recent connect times, from 0 to 1, after which an attempt is hedged.
    pub quantile: f64,
    /// Shortest delay before the hedged attempt.
    pub min_delay: Duration,
    /// Longest delay before the hedged attempt.
    pub max_delay: Duration,
    /// Maximum number of hedged attempts, as a share of the sessions.
    pub share: f64,
}

/// Attempts beyond each session's first that one relay may make within any window: `free` of them,
/// plus a `share` of the sessions that arrived in it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Attempts that are allowed without any session.
    pub free: f64,
    /// Attempts that each session adds.
    pub share: f64,
    /// The time over which both are counted.
    pub window: Duration,
}

/// How all relays together may load a backend that is warming up.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    /// Share of its capacity that a backend has at its start.
    pub initial_share: f64,
    /// How long a backend takes to reach its full capacity.
    pub warm_up: Duration,
    /// A backend fails when it is asked for more than this many times what it can do within a
    /// `window`.
    pub overload_factor: f64,
    /// The time over which requests are counted.
    pub window: Duration,
}

/// The deployment that a relay serves.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// This relay's index among all relays, from 0.
    pub relay_index: u32,
    /// Number of relays.
    pub relay_count: u32,
    /// The zone that this relay runs in.
    pub zone: ZoneId,
    /// The granularity of the caller's clock.
    pub tick: Duration,
    /// The route table.
    pub routes: Vec<Route>,
    /// The shortest latency objective of any listener for a message on an established connection;
    /// zero if none is known.
    pub message_objective: Duration,
    /// Whether the latency of messages is observed.
    pub observes_latency: bool,
    /// How relays may load backends that are warming up.
    pub slow_start: SlowStart,
    /// The budget of attempts beyond each session's first, if there is one.
    pub retry_budget: Option<RetryBudget>,
    /// The time within which the endpoint list has to be polled, if it comes only when polled.
    pub poll_within: Option<Duration>,
    /// The connect timeout of health checks. Attempts of sessions use that of their routes.
    pub connect_timeout: Duration,
    /// Whether an attempt under way may be cancelled.
    pub may_cancel: bool,
    /// Whether a session may have two attempts under way at once.
    pub may_hedge: bool,
    /// Whether health checks may be sent.
    pub may_check_health: bool,
    /// Whether backends report their load as a share of their capacity, in whatever way.
    pub reports_load: bool,
    /// Whether rejections carry a `Retry-After`.
    pub sends_retry_after: bool,
    /// Cost of a connection to another zone, relative to the worth of a session.
    pub cross_zone_cost: f64,
    /// Cost of a migration, relative to the worth of a session.
    pub migration_cost: f64,
    /// Cost of a health check, relative to the worth of a session.
    pub health_check_cost: f64,
    /// Whether connections of one group share work on the backend that holds them.
    pub groups_share_work: bool,
}
