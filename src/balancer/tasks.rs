//! Scheduled tasks and periodic housekeeping.
use super::Balancer;
use super::task_queue::{ScheduledTask, Task};
use crate::driver::Driver;
use crate::time::{Duration, Instant};

/// Interval of the housekeeping, short enough to act on a load report while it is fresh.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(500);

impl Balancer {
    /// Runs the tasks that are due.
    pub fn wake(&mut self, now: Instant, driver: &mut dyn Driver) {
        while let Some(due) = self.tasks.pop_due(now) {
            self.run_task(now, due, driver);
        }
    }

    fn run_task(&mut self, now: Instant, due: ScheduledTask, driver: &mut dyn Driver) {
        match due.task {
            Task::CheckHealth if self.is_superseded_health_check(due.at) => {}
            Task::CheckHealth => self.send_health_check(now, driver),
            Task::Housekeeping => self.run_housekeeping(now, driver),
            Task::Drain(steps_left) => self.drain(now, steps_left, driver),
            Task::Subscribe => driver.subscribe(),
            Task::Retry(id) => self.connect(now, id, driver),
            Task::Hedge(id, number) => self.start_hedge(now, id, number, driver),
        }
    }

    pub(super) fn start_housekeeping(&mut self, now: Instant, driver: &mut dyn Driver) {
        let phase = HOUSEKEEPING_INTERVAL * self.rng.unit_f64();
        self.schedule(now + phase, Task::Housekeeping, driver);
    }

    fn run_housekeeping(&mut self, now: Instant, driver: &mut dyn Driver) {
        let window = self.deployment.slow_start.window.max(HOUSEKEEPING_INTERVAL);
        let open_sessions = self.sessions.len();
        self.traffic
            .decay(HOUSEKEEPING_INTERVAL, open_sessions, window);
        self.relieve_overloaded_backends(now, driver);
        self.return_to_local_zone(now, driver);
        self.failure_counts.remove_expired(now);
        self.schedule(now + HOUSEKEEPING_INTERVAL, Task::Housekeeping, driver);
    }
}
