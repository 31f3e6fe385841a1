//! The settings in force while a relay changes from one set to another.
use crate::Settings;
use thistlecroft::deployment::{Idempotency, RetryBudget};

impl Settings {
    /// Returns the settings in force until `later` has replaced these settings. They have the
    /// listeners of both, and a listener of both has the stricter limits, since the limits of these
    /// settings bind until those of `later` do.
    pub fn during_change_to(&self, later: &Settings) -> Settings {
        let mut both = later.clone();
        for (index, name) in self.listeners.iter().enumerate() {
            let earlier = self.deployment.routes[index];
            match later.listeners.iter().position(|other| other == name) {
                Some(index) => {
                    let route = &mut both.deployment.routes[index];
                    route.max_attempts = route.max_attempts.min(earlier.max_attempts);
                    route.idempotency =
                        stricter_idempotency(earlier.idempotency, route.idempotency);
                }
                None => {
                    both.listeners.push(name.clone());
                    both.deployment.routes.push(earlier);
                    both.client_timeouts.push(self.client_timeouts[index]);
                }
            }
        }
        both.drain_grace = self.drain_grace.min(later.drain_grace);
        both.shutdown_timeout = self.shutdown_timeout.min(later.shutdown_timeout);
        both.deployment.may_hedge &= self.deployment.may_hedge;
        both.deployment.retry_budget =
            stricter_budget(self.deployment.retry_budget, later.deployment.retry_budget);
        both
    }
}

/// Returns a budget that exceeds neither of the two. `None` stands for no limit.
fn stricter_budget(one: Option<RetryBudget>, other: Option<RetryBudget>) -> Option<RetryBudget> {
    match (one, other) {
        (Some(one), Some(other)) => Some(RetryBudget {
            free: one.free.min(other.free),
            share: one.share.min(other.share),
            window: one.window.max(other.window),
        }),
        (one, other) => one.or(other),
    }
}

/// Returns the idempotency class that permits a retry only where both classes do.
fn stricter_idempotency(one: Idempotency, other: Idempotency) -> Idempotency {
    match (one, other) {
        (Idempotency::Idempotent, class) | (class, Idempotency::Idempotent) => class,
        (Idempotency::NonIdempotent, _) | (_, Idempotency::NonIdempotent) => {
            Idempotency::NonIdempotent
        }
        (
            Idempotency::Keyed { scope, window },
            Idempotency::Keyed {
                scope: other_scope,
                window: other_window,
            },
        ) => Idempotency::Keyed {
            scope: scope.max(other_scope),
            window: window.min(other_window),
        },
    }
}
