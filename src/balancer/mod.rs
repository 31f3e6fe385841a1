//! All decisions of a relay.
//!
//! The embedding protocol calls a method of [`Balancer`] for each event and passes the time and
//! itself as a [`Driver`]. The balancer responds by calling the driver before it returns. An event
//! may be late or repeated: one that names an unknown session, attempt or backend is ignored.
//! `docs/design.md` says which decisions follow the design and when each departure from it applies.
//!
//! | event | what follows | module |
//! | --- | --- | --- |
//! | [`update_endpoints`](Balancer::update_endpoints) | backends become ready, drain or are removed | `endpoints` |
//! | [`drain_backends`](Balancer::drain_backends) | these take no new sessions | `endpoints` |
//! | [`discovery_failed`](Balancer::discovery_failed) | a new subscription after a backoff | `endpoints` |
//! | [`set_banned`](Balancer::set_banned) | the backend takes no new sessions, or starts afresh | `endpoints` |
//! | [`session_arrived`](Balancer::session_arrived) | an attempt, or a rejection | `sessions` |
//! | [`session_inherited`](Balancer::session_inherited) | its connection is counted | `sessions` |
//! | [`session_left`](Balancer::session_left) | its attempts are cancelled | `sessions` |
//! | [`shut_down`](Balancer::shut_down) | sessions are migrated step by step | `sessions` |
//! | [`attempt_ready`](Balancer::attempt_ready) | the session is established, a hedge cancelled | `attempts` |
//! | [`attempt_ended`](Balancer::attempt_ended) | a retry, the final answer or the session's end | `attempts` |
//! | [`health_checked`](Balancer::health_checked) | the report is recorded, or a failure | `health` |
//! | [`load_observed`](Balancer::load_observed) | the typical load of the route is updated | `health` |
//! | [`latency_observed`](Balancer::latency_observed) | late messages raise the load estimate | `health` |
//! | [`response_overdue`](Balancer::response_overdue) | a failure is counted, and clients are migrated off the backend | `health` |
//! | [`wake`](Balancer::wake) | scheduled tasks run | `tasks` |
//! | [`snapshot`](Balancer::snapshot), [`restore`](Balancer::restore) | what was learnt is passed on | `hot_restart` |
use crate::deployment::{Deployment, Route};
use crate::driver::Driver;
use crate::failure_counts::FailureCounts;
use crate::ids::{BackendId, SessionId};
use crate::random::Rng;
use crate::route_limits::RouteLimits;
use crate::time::{Duration, Instant};
use std::collections::BTreeMap;
use std::sync::Arc;

mod attempts;
mod backend_state;
mod backoff;
mod endpoints;
mod fleet_load;
mod health;
mod health_checks;
mod hedging;
mod hot_restart;
mod load_estimate;
mod rebalancing;
mod selection;
mod session_state;
mod sessions;
mod slow_start;
mod task_queue;
mod tasks;
mod traffic;

use backend_state::Backend;
use health_checks::HealthCheckSchedule;
use session_state::Session;
use task_queue::{Task, TaskQueue};
use traffic::TrafficStatistics;

/// Default of [`Route::backoff_base`].
pub const BACKOFF_BASE: Duration = Duration::from_millis(1_000);
/// Default of [`Route::backoff_cap`].
pub const BACKOFF_CAP: Duration = Duration::from_millis(30_000);
/// Default of [`Route::stable_after`].
pub const STABLE_AFTER: Duration = Duration::from_millis(5_000);
/// Default of [`Route::attempt_timeout_factor`].
pub const ATTEMPT_TIMEOUT_FACTOR: f64 = 4.0;

/// The state and the decisions of one relay process, from its start to its end.
#[derive(Default)]
pub struct Balancer {
    deployment: Deployment,
    rng: Rng,
    routes: Vec<Arc<Route>>,
    limits: RouteLimits,
    sessions: BTreeMap<SessionId, Session>,
    failure_counts: FailureCounts,
    backends: BTreeMap<BackendId, Backend>,
    /// Backends that an operator has banned, and since when. Neither an endpoint list nor a restart
    /// of the backend lifts a ban.
    bans: BTreeMap<BackendId, Instant>,
    tasks: TaskQueue,
    health_checks: HealthCheckSchedule,
    traffic: TrafficStatistics,
    /// Consecutive failed calls of discovery.
    discovery_failures: u32,
    /// Whether the predecessor of this process still serves.
    has_predecessor: bool,
    /// When every session must have its answer, once the process shuts down.
    shutdown_deadline: Option<Instant>,
}

impl Balancer {
    /// Creates a balancer whose decisions depend on the deployment, the seed and the events alone.
    pub fn new(
        deployment: Deployment,
        seed: u64,
        now: Instant,
        driver: &mut dyn Driver,
    ) -> Balancer {
        let mut balancer = Balancer {
            rng: Rng::from_seed(seed),
            ..Balancer::default()
        };
        balancer.reconfigure(deployment);
        if balancer.deployment.poll_within.is_some() {
            driver.subscribe();
        }
        balancer.start_health_checks(now, driver);
        balancer.start_housekeeping(now, driver);
        balancer
    }

    /// Replaces the deployment and its routes for the sessions that arrive from now on.
    pub fn reconfigure(&mut self, deployment: Deployment) {
        self.routes = deployment.routes.iter().copied().map(Arc::new).collect();
        self.limits.set_retry_budget(deployment.retry_budget);
        self.traffic.forget_routes();
        self.deployment = deployment;
    }

    fn schedule(&mut self, at: Instant, task: Task, driver: &mut dyn Driver) {
        self.tasks.insert(at, task);
        driver.wake_at(at);
    }

    /// Returns one of the items at random, each with the same probability.
    fn choose_random<'a, T>(&mut self, items: &'a [T]) -> Option<&'a T> {
        let count = items.len() as u64;
        (count > 0).then(|| &items[self.rng.below(count) as usize])
    }
}
