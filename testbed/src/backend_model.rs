//! The load model of a simulated backend, and the store that every set-up calls. No I/O: callers
//! report each event with its time.
use std::collections::{BTreeMap, VecDeque};
use thistlecroft::time::{Duration, Instant};

/// How a backend warms up after its start, and which attempts overload it meanwhile.
///
/// While it warms up, a backend is overloaded if the load of the attempts in an overload window is
/// greater than [`WarmUp::overload_factor`] times the load that it can take in that time. It can
/// take its present capacity once in each turnover time.
#[derive(Clone, Copy, Debug)]
pub struct WarmUp {
    /// The share of the full capacity that the backend has at its start.
    pub initial_share: f64,
    /// The time over which the share rises linearly to the full capacity.
    pub duration: Duration,
    /// The multiple of the load that the backend can take beyond which it is overloaded.
    pub overload_factor: f64,
    /// The length of the window over which the load of attempts is summed.
    pub overload_window: Duration,
    /// The time in which the backend can take attempts for its whole present capacity.
    pub turnover_time: Duration,
}

/// The capacity of one kind of backend.
#[derive(Clone, Copy, Debug)]
pub struct BackendCapacity {
    /// The load that a fully warmed-up backend can serve without queueing.
    pub full_load: f64,
    /// The maximum number of sessions.
    pub max_sessions: usize,
    /// The time of a set-up on an idle backend, without the call to the set-up store.
    pub setup_time: Duration,
    /// The load added by each group that has sessions at the backend.
    pub group_load: f64,
    /// How the backend warms up.
    pub warm_up: WarmUp,
}

/// The maximum of queued work in seconds, and so the longest delay of a message.
const MAX_QUEUED_SECONDS: f64 = 30.0;
/// A greater load doesn't slow down set-ups further.
const MAX_LOAD_AT_SETUP: f64 = 4.0;
/// A smaller share of the capacity doesn't slow down set-ups further.
const MIN_SHARE_AT_SETUP: f64 = 0.05;
/// The minimum of durations that are divisors, in seconds, which avoids divisions by zero.
const MIN_SECONDS: f64 = 1e-6;
/// The minimum of loads that are divisors, which avoids divisions by zero.
const MIN_LOAD: f64 = 1e-9;

/// The sessions, load and queued work of one backend, from its start until it stops.
pub(crate) struct BackendModel {
    capacity: BackendCapacity,
    /// When the warm-up began; `None` if the backend was warm from the beginning.
    warming_since: Option<Instant>,
    /// The total load of the sessions, without the load of groups.
    session_load: f64,
    /// The number of established sessions.
    sessions: usize,
    /// The number of sessions of each group.
    groups: BTreeMap<u64, u32>,
    /// Queued work in seconds.
    queued_seconds: f64,
    /// When the queued work was last updated.
    updated_at: Instant,
    /// The times and loads of the attempts in the overload window.
    recent_attempts: VecDeque<(Instant, f64)>,
    /// The greatest share of the attempt budget that was used in a window during the warm-up.
    pub(crate) max_warm_up_budget_used: f64,
    /// How many times slower than normal the backend runs.
    pub(crate) slowness: f64,
}

impl BackendModel {
    /// Creates the model of a backend that starts now and, if it is cold, warms up.
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

    /// Returns the present share of the full capacity.
    pub(crate) fn capacity_share(&self, now: Instant) -> f64 {
        let Some(since) = self.warming_since else {
            return 1.0;
        };
        let warm_up = &self.capacity.warm_up;
        let elapsed = now.duration_since(since).as_secs_f64();
        let progress = (elapsed / warm_up.duration.as_secs_f64().max(MIN_SECONDS)).min(1.0);
        warm_up.initial_share + (1.0 - warm_up.initial_share) * progress
    }

    /// Returns the number of established sessions.
    pub(crate) fn sessions(&self) -> usize {
        self.sessions
    }

    /// Returns whether the backend rejects further sessions.
    pub(crate) fn is_saturated(&self) -> bool {
        self.sessions >= self.capacity.max_sessions
    }

    /// Returns the requested load divided by the present capacity.
    pub(crate) fn load(&self, now: Instant) -> f64 {
        let requested = self.session_load + self.capacity.group_load * self.groups.len() as f64;
        requested * self.slowness
            / (self.capacity.full_load * self.capacity_share(now)).max(MIN_LOAD)
    }

    /// Counts an attempt, whatever its result, and returns whether it overloads the backend.
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

    /// Updates the queued work, which grows while the load exceeds the capacity and shrinks
    /// otherwise.
    fn update_queue(&mut self, now: Instant) {
        let elapsed = now.duration_since(self.updated_at).as_secs_f64();
        let queued = self.queued_seconds + elapsed * (self.load(now) - 1.0);
        self.queued_seconds = queued.clamp(0.0, MAX_QUEUED_SECONDS);
        self.updated_at = now;
    }

    /// Returns how long the backend delays a message that arrives now.
    pub(crate) fn message_delay(&mut self, now: Instant) -> Duration {
        self.update_queue(now);
        Duration::from_millis(1_000) * self.queued_seconds
    }

    /// Returns the time of a set-up that begins now, without the call to the store. It is longer
    /// under load and while the backend warms up.
    pub(crate) fn setup_time(&mut self, now: Instant) -> Duration {
        let delay = self.message_delay(now);
        let load_factor = 1.0 + self.load(now).min(MAX_LOAD_AT_SETUP);
        let share = self.capacity_share(now).max(MIN_SHARE_AT_SETUP);
        delay + self.capacity.setup_time * (self.slowness * load_factor / share)
    }
}

/// The store that every set-up calls. It serves a limited number of calls concurrently, each for
/// the same time, and queues the others.
pub(crate) struct SetupStore {
    call_time: Duration,
    /// When each of the store's workers is free again.
    free_at: Vec<Instant>,
}

impl SetupStore {
    /// Creates a store that serves this number of calls concurrently, at least one.
    pub(crate) fn new(concurrency: usize, call_time: Duration) -> SetupStore {
        SetupStore {
            call_time,
            free_at: vec![Instant::default(); concurrency.max(1)],
        }
    }

    /// Adds a call made now and returns when it is answered.
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
