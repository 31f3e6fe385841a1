//! The rules that a file has to keep under the settings of a deployment.
//!
//! An error is reported only for what the file states, never for the settings alone. Where several
//! values conflict, the error names all of them.
pub(crate) mod fitting;
mod limits;
mod names;
mod overlap;

use crate::context::RelayContext;
use crate::error::{ConfigError, sorted, value_unless};
use crate::sections::RouteSection;

/// Checks all routes of a file.
///
/// # Errors
/// Returns all violations of the rules, sorted by location.
pub(crate) fn check(
    routes: &[RouteSection],
    context: &RelayContext,
) -> Result<(), Vec<ConfigError>> {
    let mut errors = unknown_names(routes, context);
    errors.extend(violated_limits(routes, context));
    value_unless(sorted(errors), ())
}

/// Checks all routes of a file but for the names of listeners and zones.
///
/// # Errors
/// Returns all violations of the other rules, sorted by location.
pub(crate) fn check_limits(
    routes: &[RouteSection],
    context: &RelayContext,
) -> Result<(), Vec<ConfigError>> {
    value_unless(sorted(violated_limits(routes, context)), ())
}

/// Returns an error for each listener and zone that a route names and the deployment lacks.
pub(crate) fn unknown_names(routes: &[RouteSection], context: &RelayContext) -> Vec<ConfigError> {
    let mut errors = Vec::new();
    for route in routes {
        names::check(route, context, &mut errors);
    }
    errors
}

fn violated_limits(routes: &[RouteSection], context: &RelayContext) -> Vec<ConfigError> {
    let mut errors = Vec::new();
    for route in routes {
        limits::check(route, context, &mut errors);
    }
    overlap::check(routes, context, &mut errors);
    limits::check_descriptors(routes, context, &mut errors);
    errors
}
