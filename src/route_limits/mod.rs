//! Limits on the sessions of a route, and on attempts beyond each session's first.
//!
//! Extra attempts are limited by the retry budget of the whole relay, within a window of time, and
//! by the share that the operator configuration gives a route, over its most recent sessions. Rows
//! of the route table with the same `limits_id` share their limits, even after the table was read
//! again. The balancer decides which session gets what is left.
use crate::deployment::{RetryBudget, Route};
use crate::time::{Duration, Instant};
use std::collections::{BTreeMap, VecDeque};

mod window;

#[cfg(test)]
mod tests;

pub(crate) use window::Allowance;
use window::{AttemptWindow, WindowLimit};

/// Fewest sessions over which a route's share is counted. Only a bounded number of recent sessions
/// counts, so that a quiet hour does not allow a burst of retries.
const MIN_SHARE_SESSIONS: f64 = 100.0;
/// Most sessions over which a route's share is counted.
const MAX_SHARE_SESSIONS: f64 = 1e6;
/// Number of recent connect times kept for the hedge delay.
const CONNECT_TIME_SAMPLES: usize = 100;

/// An attempt beyond a session's first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExtraAttempt {
    /// An attempt after the previous one has failed.
    Retry,
    /// A hedged attempt, beside one that is still under way.
    Hedge,
}

/// The limits of all routes and what is used of them.
#[derive(Default)]
pub(crate) struct RouteLimits {
    retry_budget: Option<RetryBudget>,
    relay_window: AttemptWindow,
    /// When this process may begin to use the free part of the budget: until then another process
    /// of this relay may have spent it.
    free_from: Instant,
    usage: BTreeMap<u32, RouteUsage>,
}

/// Usage of the limits that the rows of one `limits_id` share.
#[derive(Default)]
struct RouteUsage {
    open_sessions: u32,
    /// Sessions that have arrived so far. This count is the position in both windows.
    arrivals: u64,
    retries: AttemptWindow,
    hedges: AttemptWindow,
    connect_times: VecDeque<Duration>,
}

impl RouteUsage {
    fn window_mut(&mut self, extra: ExtraAttempt) -> &mut AttemptWindow {
        match extra {
            ExtraAttempt::Retry => &mut self.retries,
            ExtraAttempt::Hedge => &mut self.hedges,
        }
    }

    fn allowance(&mut self, extra: ExtraAttempt, share: f64) -> Allowance {
        let position = self.arrivals;
        let limit = WindowLimit {
            length: share_window_length(share),
            free: 0.0,
            share,
        };
        self.window_mut(extra).allowance(position, limit)
    }
}

impl RouteLimits {
    /// Replaces the retry budget of the relay.
    pub(crate) fn set_retry_budget(&mut self, budget: Option<RetryBudget>) {
        self.retry_budget = budget;
    }

    /// Handles the start of this process beside its predecessor. The budget counts both as one
    /// relay, and its free part belongs to the predecessor.
    pub(crate) fn predecessor_started(&mut self) {
        self.free_from = Instant::from_micros(u64::MAX);
    }

    /// Handles the end of the predecessor. What it spent counts for one more window.
    pub(crate) fn predecessor_ended(&mut self, now: Instant) {
        let window = self
            .retry_budget
            .map_or(Duration::ZERO, |budget| budget.window);
        self.free_from = now + window;
    }

    /// Counts a session that arrived here, which allows for extra attempts. Inherited sessions
    /// allow for none.
    pub(crate) fn record_arrival(&mut self, now: Instant, route: &Route) {
        if let Some(budget) = self.retry_budget {
            self.relay_window
                .record_session(now.as_micros(), budget.window.as_micros());
        }
        let usage = self.usage.entry(route.limits_id).or_default();
        usage.arrivals += 1;
        for extra in [ExtraAttempt::Retry, ExtraAttempt::Hedge] {
            if let Some(share) = extra_share(route, extra) {
                let position = usage.arrivals;
                usage
                    .window_mut(extra)
                    .record_session(position, share_window_length(share));
            }
        }
    }

    /// Opens a session. Returns `false` if its route now has more open sessions than it may.
    pub(crate) fn open_session(&mut self, route: &Route) -> bool {
        let usage = self.usage.entry(route.limits_id).or_default();
        usage.open_sessions += 1;
        route
            .max_sessions
            .is_none_or(|max| usage.open_sessions <= max)
    }

    /// Closes an open session.
    pub(crate) fn close_session(&mut self, route: &Route) {
        if let Some(usage) = self.usage.get_mut(&route.limits_id) {
            usage.open_sessions = usage.open_sessions.saturating_sub(1);
        }
    }

    /// Returns the allowance for an extra attempt under the limit that has the least left, or
    /// `None` without a limit.
    pub(crate) fn allowance(
        &mut self,
        now: Instant,
        route: &Route,
        extra: ExtraAttempt,
    ) -> Option<Allowance> {
        let relay_allowance = self.relay_allowance(now);
        let route_allowance =
            extra_share(route, extra).map(|share| match self.usage.get_mut(&route.limits_id) {
                Some(usage) => usage.allowance(extra, share),
                None => Allowance {
                    spent: 0.0,
                    limit: 0.0,
                },
            });
        relay_allowance
            .into_iter()
            .chain(route_allowance)
            .min_by(|a, b| a.remaining().total_cmp(&b.remaining()))
    }

    fn relay_allowance(&mut self, now: Instant) -> Option<Allowance> {
        let budget = self.retry_budget?;
        let may_use_free = now >= self.free_from;
        let limit = WindowLimit {
            length: budget.window.as_micros(),
            free: if may_use_free { budget.free } else { 0.0 },
            share: budget.share,
        };
        Some(self.relay_window.allowance(now.as_micros(), limit))
    }

    /// Reserves a retry that goes out later.
    pub(crate) fn reserve_retry(&mut self, route: &Route) {
        self.relay_window.reserved += 1;
        let usage = self.usage.entry(route.limits_id).or_default();
        usage.retries.reserved += 1;
    }

    /// Releases a reserved retry. One that goes out is counted again by `try_spend`.
    pub(crate) fn release_retry(&mut self, route: &Route) {
        let usage = self.usage.entry(route.limits_id).or_default();
        for window in [&mut self.relay_window, &mut usage.retries] {
            window.reserved = window.reserved.saturating_sub(1);
        }
    }

    /// Counts an extra attempt that goes out. Returns `false`, and counts nothing, if none is left.
    pub(crate) fn try_spend(&mut self, now: Instant, route: &Route, extra: ExtraAttempt) -> bool {
        let allowance = self.allowance(now, route, extra);
        if allowance.is_some_and(|allowance| allowance.spent + 1.0 > allowance.limit) {
            return false;
        }
        if self.retry_budget.is_some() {
            self.relay_window.record_attempt(now.as_micros());
        }
        if extra_share(route, extra).is_some()
            && let Some(usage) = self.usage.get_mut(&route.limits_id)
        {
            let position = usage.arrivals;
            usage.window_mut(extra).record_attempt(position);
        }
        true
    }

    /// Removes an attempt from the relay's budget that was counted at `spent_at` but never sent.
    pub(crate) fn refund(&mut self, spent_at: Instant) {
        self.relay_window.attempts.remove_one(spent_at.as_micros());
    }

    /// Records the connect time of an attempt that became ready, for the hedge delay.
    pub(crate) fn record_connect_time(&mut self, route: &Route, connect_time: Duration) {
        if route.hedging.is_none() {
            return;
        }
        if let Some(usage) = self.usage.get_mut(&route.limits_id) {
            usage.connect_times.push_back(connect_time);
            let surplus = usage
                .connect_times
                .len()
                .saturating_sub(CONNECT_TIME_SAMPLES);
            usage.connect_times.drain(..surplus);
        }
    }

    /// Returns how long an attempt may take before it is hedged, or `None` if the route does not
    /// hedge.
    pub(crate) fn hedge_delay(&self, route: &Route) -> Option<Duration> {
        let (hedging, usage) = (route.hedging?, self.usage.get(&route.limits_id)?);
        let mut connect_times: Vec<Duration> = usage.connect_times.iter().copied().collect();
        connect_times.sort_unstable();
        let rank = (connect_times.len() as f64 * hedging.quantile) as usize;
        let slow_connect_time = connect_times.get(rank).or(connect_times.last());
        Some(
            slow_connect_time.map_or(hedging.max_delay, |&slow_connect_time| {
                slow_connect_time
                    .max(hedging.min_delay)
                    .min(hedging.max_delay)
            }),
        )
    }
}

/// Returns the number of recent sessions over which a share is counted: as many as allow for one
/// attempt, within bounds.
fn share_window_length(share: f64) -> u64 {
    (1.0 / share)
        .ceil()
        .clamp(MIN_SHARE_SESSIONS, MAX_SHARE_SESSIONS) as u64
}

/// Returns the extra attempts that the route allows, as a share of its sessions.
fn extra_share(route: &Route, extra: ExtraAttempt) -> Option<f64> {
    match extra {
        ExtraAttempt::Retry => route.retry_share,
        ExtraAttempt::Hedge => route.hedging.map(|hedging| hedging.share),
    }
}
