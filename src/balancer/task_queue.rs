//! Tasks that the balancer has scheduled for later.
use crate::ids::SessionId;
use crate::time::Instant;
use std::collections::BTreeSet;

/// A task for a scheduled time. Tasks with the same time run in the order of the variants.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Task {
    CheckHealth,
    Housekeeping,
    /// Subscribes to the endpoint list again.
    Subscribe,
    /// Starts the next attempt of a session that is backing off.
    Retry(SessionId),
    /// Hedges the attempt with this number, if it is still under way.
    Hedge(SessionId, u32),
    /// Migrates a part of the sessions at shutdown, with the number of steps left, including this
    /// one.
    Drain(usize),
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ScheduledTask {
    pub(super) at: Instant,
    pub(super) task: Task,
}

/// Scheduled tasks, ordered by time. The same task at the same time is held once.
#[derive(Default)]
pub(super) struct TaskQueue(BTreeSet<ScheduledTask>);

impl TaskQueue {
    pub(super) fn insert(&mut self, at: Instant, task: Task) {
        self.0.insert(ScheduledTask { at, task });
    }

    /// Removes and returns the next task that is due.
    pub(super) fn pop_due(&mut self, now: Instant) -> Option<ScheduledTask> {
        let is_due = self.0.first().is_some_and(|first| first.at <= now);
        is_due.then(|| self.0.pop_first()).flatten()
    }
}
