//! Tightening a route that no longer fits the settings. The settings of a running relay change
//! without regard to the operators' file, and the stricter rule of either has to go on: a value that
//! the settings don't permit is replaced by the nearest one that they do.
use super::limits;
use crate::context::{ListenerDefaults, RelayContext};
use crate::error::{Located, Location};
use crate::sections::RouteSection;
use thistlecroft::deployment::Idempotency;
use thistlecroft::time::Duration;

/// Returns the section as it holds for this listener. A section that keeps every rule is returned
/// unchanged.
pub(crate) fn fit(
    section: &RouteSection,
    listener: &ListenerDefaults,
    context: &RelayContext,
) -> RouteSection {
    let mut fitted = section.clone();
    lower(&mut fitted.handshake_timeout, listener.client_timeout);
    lower(&mut fitted.max_retry_after, listener.route.max_retry_after);
    let limit = stated_or(&fitted.handshake_timeout, listener.client_timeout);
    lower(&mut fitted.connect_timeout, limit);
    fit_objective(&mut fitted, listener);
    fit_attempts(&mut fitted, listener);
    if limits::violates_hedging_rules(&fitted, listener, context) {
        fitted.hedging = None;
    }
    fitted
}

/// Lowers a stated value to the limit.
fn lower(stated: &mut Option<Located<Duration>>, limit: Duration) {
    if let Some(stated) = stated {
        stated.value = stated.value.min(limit);
    }
}

fn stated_or<T: Copy>(stated: &Option<Located<T>>, default: T) -> T {
    stated.as_ref().map_or(default, |stated| stated.value)
}

fn location<T>(stated: &Option<Located<T>>) -> Option<&Location> {
    stated.as_ref().map(|stated| &stated.location)
}

/// Lowers the objective to the handshake timeout, if the section states either.
fn fit_objective(fitted: &mut RouteSection, listener: &ListenerDefaults) {
    let limit = stated_or(&fitted.handshake_timeout, listener.client_timeout);
    let objective = stated_or(
        &fitted.handshake_objective,
        listener.route.handshake_objective,
    );
    let location = location(&fitted.handshake_objective)
        .or(location(&fitted.handshake_timeout))
        .cloned();
    if let Some(location) = location.filter(|_| objective > limit) {
        fitted.handshake_objective = Some(Located {
            value: limit,
            location,
        });
    }
}

/// Lowers the number of attempts to those that can connect within the handshake timeout and, for
/// keyed sessions, start within the deduplication window.
fn fit_attempts(fitted: &mut RouteSection, listener: &ListenerDefaults) {
    let limit = stated_or(&fitted.handshake_timeout, listener.client_timeout);
    let connect_timeout = stated_or(&fitted.connect_timeout, listener.route.connect_timeout);
    let objective = stated_or(
        &fitted.handshake_objective,
        listener.route.handshake_objective,
    );
    let fits = |attempts: u32| {
        let starts_in_window = match listener.route.idempotency {
            Idempotency::Keyed { window, .. } => {
                objective * f64::from(attempts.saturating_sub(1)) < window
            }
            Idempotency::Idempotent | Idempotency::NonIdempotent => true,
        };
        starts_in_window && connect_timeout * f64::from(attempts) <= limit
    };
    let stated = stated_or(&fitted.max_attempts, listener.route.max_attempts);
    let most = (1..=stated).rev().find(|&attempts| fits(attempts));
    let location = location(&fitted.max_attempts)
        .or(location(&fitted.connect_timeout))
        .or(location(&fitted.handshake_timeout))
        .or(location(&fitted.handshake_objective))
        .cloned();
    if let Some(location) = location.filter(|_| !fits(stated)) {
        fitted.max_attempts = Some(Located {
            value: most.unwrap_or(1),
            location,
        });
    }
}
