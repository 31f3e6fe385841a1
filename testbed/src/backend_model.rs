//! The load model of a simulated backend, and the store that every set-up calls. No I/O: the
//! simulated backends tell it what happens and when.
use std::collections::{BTreeMap, VecDeque};
use thistlecroft::time::{Duration, Instant};

/// How a backend warms up after its start, and what overloads it meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct WarmUp {
    /// The part of its capacity that it has at its start.
    pub initial_share: f64,
    /// That part rises evenly to the whole over this time.
    pub duration: Duration,
    /// It is overloaded when attempts ask for more than this multiple of what it can take...
    pub overload_factor: f64,
    /// ...within any such time...
    pub overload_window: Duration,
    /// ...where it can take its present capacity once in each such time.
    pub turnover_time: Duration,
}

/// What a kind of backend can serve.
#[derive(Clone, Copy, Debug)]
pub struct BackendCapacity {
    /// The load that saturates it.
    pub full_load: f64,
    /// The greatest number of sessions.
    pub max_sessions: usize,
    /// Its own work for a set-up, besides the store's.
    pub setup_time: Duration,
    /// The load that each group with any session there adds.
    pub group_load: f64,
    /// Its slow start.
    pub warm_up: WarmUp,
}

/// Seconds of queued work at most: no message waits for longer.
const MAX_QUEUED_SECONDS: f64 = 30.0;
/// Set-ups are slowed down by load up to this.
const MAX_LOAD_AT_SETUP: f64 = 4.0;
/// Set-ups are slowed down as if at least this part of the capacity were there.
const MIN_SHARE_AT_SETUP: f64 = 0.05;
/// Avoids divisions by zero.
const MIN_SECONDS: f64 = 1e-6;
const MIN_LOAD: f64 = 1e-9;

/// The work of one backend from its start to its end.
pub(crate) struct BackendModel {
    capacity: BackendCapacity,
    /// Since when it warms up; none where it was warm from the beginning.
    warming_since: Option<Instant>,
    /// The load of its sessions, without that of groups.
    session_load: f64,
    sessions: usize,
    /// Sessions by group.
    groups: BTreeMap<u64, u32>,
    /// Work that waits to be done, in seconds.
    queued_seconds: f64,
    /// As of when the queued work is known.
    updated_at: Instant,
    /// Attempts of the overload window, with their loads.
    recent_attempts: VecDeque<(Instant, f64)>,
    /// The greatest used part of what it can take within a window while it warms up.
    pub(crate) max_warm_up_budget_used: f64,
    /// How many times slower than usual it runs.
    pub(crate) slowness: f64,
}

impl BackendModel {
    /// A backend that starts now and, where it is cold, warms up.
    pub(crate) fn start(capacity: BackendCapacity, now: Instant, cold: bool) -> BackendModel {
        BackendModel {
            capacity,
            warming_since: cold.then_some(now),
            session_load: 0.0,
            sessions: 0,
            groups: BTreeMap::new(),
            queued_seconds: 0.0,
            updated_at: now,
            recent_attempts: VecDeque::new(),
            max_warm_up_budget_used: 0.0,
            slowness: 1.0,
        }
    }

    /// The present part of its full capacity.
    pub(crate) fn capacity_share(&self, now: Instant) -> f64 {
        let Some(since) = self.warming_since else {
            return 1.0;
        };
        let warm_up = &self.capacity.warm_up;
        let passed = now.duration_since(since).as_secs_f64();
        let progress = (passed / warm_up.duration.as_secs_f64().max(MIN_SECONDS)).min(1.0);
        warm_up.initial_share + (1.0 - warm_up.initial_share) * progress
    }

    /// Established sessions.
    pub(crate) fn sessions(&self) -> usize {
        self.sessions
    }

    /// Whether it rejects further sessions.
    pub(crate) fn is_saturated(&self) -> bool {
        self.sessions >= self.capacity.max_sessions
    }

    /// Requested load over present capacity.
    pub(crate) fn load(&self, now: Instant) -> f64 {
        let requested = self.session_load + self.capacity.group_load * self.groups.len() as f64;
        requested * self.slowness
            / (self.capacity.full_load * self.capacity_share(now)).max(MIN_LOAD)
    }

    /// Counts an attempt, whatever becomes of it; true if it overloads the backend.
    ///
    /// The largest attempt within the window doesn't count, since a single session may be larger
    /// than the budget of a small backend.
    pub(crate) fn record_attempt(&mut self, now: Instant, load: f64) -> bool {
        let warm_up = self.capacity.warm_up;
        let share = self.capacity_share(now);
        if share >= 1.0 {
            return false;
        }
        self.recent_attempts.push_back((now, load));
        while self
            .recent_attempts
            .front()
            .is_some_and(|&(at, _)| now.duration_since(at) > warm_up.overload_window)
        {
            self.recent_attempts.pop_front();
        }
        let loads = || self.recent_attempts.iter().map(|&(_, load)| load);
        let sum: f64 = loads().sum();
        let largest = loads().fold(0.0, f64::max);
        let turnover_seconds = warm_up.turnover_time.as_secs_f64().max(MIN_SECONDS);
        let load_per_second = self.capacity.full_load * share / turnover_seconds;
        let window_seconds = warm_up.overload_window.as_secs_f64();
        let budget = (warm_up.overload_factor * load_per_second * window_seconds).max(MIN_LOAD);
        let used = (sum - largest) / budget;
        self.max_warm_up_budget_used = self.max_warm_up_budget_used.max(used);
        used > 1.0
    }

    /// Adds an established session.
    pub(crate) fn add_session(&mut self, now: Instant, load: f64, group: Option<u64>) {
        self.update_queue(now);
        self.session_load += load;
        self.sessions += 1;
        if let Some(group) = group {
            *self.groups.entry(group).or_default() += 1;
        }
    }

    /// Removes an established session.
    pub(crate) fn remove_session(&mut self, now: Instant, load: f64, group: Option<u64>) {
        self.update_queue(now);
        self.session_load = (self.session_load - load).max(0.0);
        self.sessions = self.sessions.saturating_sub(1);
        if let Some(group) = group
            && let Some(count) = self.groups.get_mut(&group)
        {
            *count -= 1;
            if *count == 0 {
                self.groups.remove(&group);
            }
        }
    }

    /// Work that could not be done has been queued since the last update, or was worked off.
    fn update_queue(&mut self, now: Instant) {
        let passed = now.duration_since(self.updated_at).as_secs_f64();
        let queued = self.queued_seconds + passed * (self.load(now) - 1.0);
        self.queued_seconds = queued.clamp(0.0, MAX_QUEUED_SECONDS);
        self.updated_at = now;
    }

    /// How long a message takes now.
    pub(crate) fn message_delay(&mut self, now: Instant) -> Duration {
        self.update_queue(now);
        Duration::from_millis(1_000) * self.queued_seconds
    }

    /// Its own work for a set-up that begins now: it is slower under load and while warming up.
    pub(crate) fn setup_time(&mut self, now: Instant) -> Duration {
        let delay = self.message_delay(now);
        let load_factor = 1.0 + self.load(now).min(MAX_LOAD_AT_SETUP);
        let share = self.capacity_share(now).max(MIN_SHARE_AT_SETUP);
        delay + self.capacity.setup_time * (self.slowness * load_factor / share)
    }
}

/// The store that every set-up calls: it serves a few calls at once, each for the same time, and
/// queues the others.
pub(crate) struct SetupStore {
    call_time: Duration,
    /// When each of its workers is free.
    free_at: Vec<Instant>,
}

impl SetupStore {
    /// A store with that concurrency, which is at least one.
    pub(crate) fn new(concurrency: usize, call_time: Duration) -> SetupStore {
        SetupStore {
            call_time,
            free_at: vec![Instant::default(); concurrency.max(1)],
        }
    }

    /// When a call made now is answered.
    pub(crate) fn call(&mut self, now: Instant) -> Instant {
        let first_free = self
            .free_at
            .iter_mut()
            .min()
            .expect("the store has at least one worker");
        *first_free = now.max(*first_free) + self.call_time;
        *first_free
    }
}

#[cfg(test)]
mod tests;
