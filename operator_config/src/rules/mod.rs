//! The rules that a file has to keep under the settings of a deployment.
//!
//! An error is reported only for what the file states, never for the settings alone. Where several
//! values conflict, the error names all of them.
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
    let mut errors = Vec::new();
    for route in routes {
        names::check(route, context, &mut errors);
        limits::check(route, context, &mut errors);
    }
    overlap::check(routes, context, &mut errors);
    limits::check_descriptors(routes, context, &mut errors);
    value_unless(sorted(errors), ())
}
