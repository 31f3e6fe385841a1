//! What a balancer is configured with: the deployment that it serves and its route table.
use crate::ids::ZoneId;
use crate::time::Duration;

/// Which backends recognise a repeated request by its idempotency key. The narrower is the greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeduplicationScope {
    /// All backends.
    All,
    /// Those in the zone of the first.
    Zone,
    /// Those in the cell of the first.
    Cell,
}

/// Whether a request may be sent again after it may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// At any time.
    #[default]
    Idempotent,
    /// It carries an idempotency key: the backends of `scope` drop a repeat for `window` after the
    /// first attempt that may have run.
    Keyed {
        /// The backends that recognise the key.
        scope: DeduplicationScope,
        /// How long they do.
        window: Duration,
    },
    /// Never.
    NonIdempotent,
}

/// A row of the route table. There is one for each listener, and more where the operator
/// configuration has routes; a session keeps the row that it began with.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Route {
    /// Rows of one number share their limits and counts; 0 for sessions of no route.
    pub limits_id: u32,
    /// A handshake within this earns its whole worth.
    pub handshake_objective: Duration,
    /// Whether a request may be sent again.
    pub idempotency: Idempotency,
    /// What a served request is worth, relative to the others.
    pub priority_weight: f64,
    /// A connection that is not up by then has failed.
    pub connect_timeout: Duration,
    /// Attempts of one session, the first among them.
    pub max_attempts: u32,
    /// An attempt is given up after so many times the recent connect time.
    pub attempt_timeout_factor: f64,
    /// The first retry delay after a failure, before jitter.
    pub backoff_base: Duration,
    /// No retry delay is longer, before jitter.
    pub backoff_cap: Duration,
    /// A connection that breaks sooner counts as a failure of its client.
    pub stable_after: Duration,
    /// The longest `Retry-After` that is sent.
    pub max_retry_after: Duration,
    /// Retries at most, as a part of the sessions.
    pub retry_share: Option<f64>,
    /// Concurrent sessions; more are rejected.
    pub max_sessions: Option<u32>,
    /// When a hedged attempt goes out, if ever.
    pub hedging: Option<Hedging>,
}

/// When a second attempt goes out while the first is still under way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hedging {
    /// Once the first has taken longer than this part of the recent ones...
    pub quantile: f64,
    /// ...but no sooner than this...
    pub min_delay: Duration,
    /// ...and no later than this.
    pub max_delay: Duration,
    /// Hedged attempts at most, as a part of the sessions.
    pub share: f64,
}

/// Attempts beyond each session's first that one relay may make within any window: `free` of them,
/// plus a `share` of the sessions that arrived in it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Attempts that are allowed without any session.
    pub free: f64,
    /// Attempts that each session allows.
    pub share: f64,
    /// The time over which both are counted.
    pub window: Duration,
}

/// How all relays together may load a backend that is warming up.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    /// The part of its capacity that it has at its start.
    pub initial_share: f64,
    /// How long it takes to reach its whole capacity.
    pub warm_up: Duration,
    /// It fails when asked for more than this many times what it can do within a `window`.
    pub overload_factor: f64,
    /// The time over which requests are counted.
    pub window: Duration,
}

/// The deployment that a relay serves.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// This relay's number among all, from 0.
    pub relay_index: u32,
    /// How many relays there are.
    pub relay_count: u32,
    /// The zone that this relay runs in.
    pub zone: ZoneId,
    /// The granularity of the caller's clock.
    pub tick: Duration,
    /// The route table.
    pub routes: Vec<Route>,
    /// The shortest time of any listener that a message may take on an established connection; zero
    /// where none is known.
    pub message_objective: Duration,
    /// The latency of messages is observed.
    pub observes_latency: bool,
    /// How backends that are warming up may be loaded.
    pub slow_start: SlowStart,
    /// The budget of attempts beyond the first, where there is one.
    pub retry_budget: Option<RetryBudget>,
    /// The endpoint list comes only when polled, which has to happen within this time.
    pub poll_within: Option<Duration>,
    /// The connect timeout of health checks; sessions go by their routes.
    pub connect_timeout: Duration,
    /// An attempt under way may be cancelled.
    pub may_cancel: bool,
    /// A session may have two attempts under way at once.
    pub may_hedge: bool,
    /// Health checks may be sent.
    pub may_check_health: bool,
    /// Backends report their load as a share of their capacity, in whatever way.
    pub reports_load: bool,
    /// Rejections carry a `Retry-After`.
    pub sends_retry_after: bool,
    /// What a connection to another zone costs.
    pub cross_zone_cost: f64,
    /// What a migration costs.
    pub migration_cost: f64,
    /// What a health check costs.
    pub health_check_cost: f64,
    /// Connections of one group share work on the backend that holds them.
    pub groups_share_work: bool,
    /// From the shutdown signal on, all sessions have to end within this time.
    pub shutdown_timeout: Duration,
}
