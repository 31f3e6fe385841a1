//! When health checks are sent, and to which backends.
use super::Balancer;
use super::task_queue::Task;
use crate::driver::Driver;
use crate::ids::BackendId;
use crate::time::{Duration, Instant};

/// Shortest average time between two health checks of one backend. Reports are renewed about as
/// often.
const MIN_INTERVAL_PER_BACKEND: Duration = Duration::from_millis(2_000);
/// Longest time between two health checks that this relay sends, to whichever backends.
const MAX_INTERVAL: Duration = Duration::from_millis(5_000);
/// The first health check comes within this share of the shortest interval.
const FIRST_INTERVAL_SHARE: f64 = 0.1;
/// Share of a session's worth that may be spent on health checks.
const COST_SHARE: f64 = 0.005;
/// Period over which the earned health checks are spent, so that a rush of sessions causes no
/// burst.
const SPENDING_PERIOD: Duration = Duration::from_millis(10_000);
/// Share of the regular interval after which the next health check comes when it is hurried.
const HURRIED_INTERVAL_SHARE: f64 = 0.25;

/// When the next health check is due, and how many the sessions have paid for.
#[derive(Default)]
pub(super) struct HealthCheckSchedule {
    /// Health checks that the sessions so far have paid for and that are not yet sent.
    earned: f64,
    last_run_at: Instant,
    next_due_at: Instant,
}

/// How soon the next health check is needed.
#[derive(Clone, Copy)]
pub(super) enum Urgency {
    Regular,
    /// A session was rejected for lack of capacity.
    Hurried,
}

impl Balancer {
    pub(super) fn start_health_checks(&mut self, now: Instant, driver: &mut dyn Driver) {
        let phase = MIN_INTERVAL_PER_BACKEND * self.rng.unit_f64() * FIRST_INTERVAL_SHARE;
        self.health_checks.next_due_at = now + phase;
        self.schedule(self.health_checks.next_due_at, Task::CheckHealth, driver);
    }

    /// Adds the health checks that one established session pays for. A fixed rate would cost
    /// hundreds of relays more than their sessions are worth.
    pub(super) fn earn_health_checks(&mut self, now: Instant, driver: &mut dyn Driver) {
        let per_session = COST_SHARE / self.deployment.health_check_cost.max(f64::MIN_POSITIVE);
        let max_earned = self.ready_backends().count().max(1) as f64
            * (SPENDING_PERIOD.as_secs_f64() / MIN_INTERVAL_PER_BACKEND.as_secs_f64());
        self.health_checks.earned = (self.health_checks.earned + per_session).min(max_earned);
        self.schedule_health_check(now, Urgency::Regular, driver);
    }

    /// Schedules the next health check, sooner than before if sessions have paid for more since.
    pub(super) fn schedule_health_check(
        &mut self,
        now: Instant,
        urgency: Urgency,
        driver: &mut dyn Driver,
    ) {
        let min_interval =
            MIN_INTERVAL_PER_BACKEND * (1.0 / self.ready_backends().count().max(1) as f64);
        let earned_interval =
            SPENDING_PERIOD * (1.0 / self.health_checks.earned.max(f64::MIN_POSITIVE));
        let interval_share = match urgency {
            Urgency::Regular => 1.0,
            Urgency::Hurried => HURRIED_INTERVAL_SHARE,
        };
        let interval = (earned_interval.max(min_interval) * interval_share)
            .min(MAX_INTERVAL)
            .max(self.deployment.tick);
        let at = (self.health_checks.last_run_at + interval).max(now);
        if at < self.health_checks.next_due_at || self.health_checks.last_run_at == now {
            self.health_checks.next_due_at = at;
            self.schedule(at, Task::CheckHealth, driver);
        }
    }

    /// Returns whether an earlier task has replaced the one scheduled for this time.
    pub(super) fn is_superseded_health_check(&self, scheduled_at: Instant) -> bool {
        scheduled_at != self.health_checks.next_due_at
    }

    /// Sends a health check to a random backend and schedules the next.
    pub(super) fn send_health_check(&mut self, now: Instant, driver: &mut dyn Driver) {
        let backends = self.backends_to_check();
        let chosen = self.choose_random(&backends).copied();
        if let Some(backend_id) = chosen
            && self.deployment.may_check_health
        {
            driver.check_health(backend_id);
        }
        self.health_checks.last_run_at = now;
        self.schedule_health_check(now, Urgency::Regular, driver);
        self.health_checks.earned = (self.health_checks.earned - 1.0).max(0.0);
    }

    /// Returns the ready backends to draw the next health check from. If this relay has connections
    /// at fewer than half of them, every second health check on average goes to one of those, which
    /// would otherwise seldom be drawn.
    fn backends_to_check(&mut self) -> Vec<BackendId> {
        let with_connections = self
            .ready_backends()
            .filter(|(_, backend)| backend.connections > 0)
            .count();
        let few_have_connections =
            with_connections > 0 && with_connections * 2 < self.ready_backends().count();
        let requires_connections = few_have_connections && self.rng.below(2) == 0;
        self.ready_backends()
            .filter(|(_, backend)| !requires_connections || backend.connections > 0)
            .map(|(backend_id, _)| backend_id)
            .collect()
    }
}
