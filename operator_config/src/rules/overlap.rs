//! The rule that a route is not made unreachable by an earlier one.
use crate::context::RelayContext;
use crate::error::{ConfigError, Located};
use crate::key_names::route;
use crate::sections::{KeyPrefix, MatchSection, RouteSection};

pub(super) fn check(
    routes: &[RouteSection],
    context: &RelayContext,
    errors: &mut Vec<ConfigError>,
) {
    for (index, route) in routes.iter().enumerate() {
        let mut earlier = routes[..index].iter();
        if let Some(first) = earlier.find(|first| covers(first, route, context)) {
            let reason = format!(
                "it can never match: route {} of line {}, tried before it, matches all of its sessions",
                first.name, first.location.line
            );
            let key = route.full_key(route::MATCH);
            errors.push(route.location.error(&key, reason));
        }
    }
}

/// Returns whether every session that matches `narrow` also matches `wide`.
fn covers(wide: &RouteSection, narrow: &RouteSection, context: &RelayContext) -> bool {
    let (wide, narrow): (&MatchSection, &MatchSection) = (&wide.matching, &narrow.matching);
    covers_names(
        &wide.listeners,
        &narrow.listeners,
        &context.listener_names(),
    ) && covers_names(&wide.zones, &narrow.zones, &context.zone_names())
        && covers_prefix(&wide.key_prefix, &narrow.key_prefix)
        && covers_groups(&wide.groups, &narrow.groups)
}

/// Returns whether `wide` includes every name of `narrow`. A list that is left out stands for all
/// names of the deployment.
fn covers_names(
    wide: &Option<Located<Vec<String>>>,
    narrow: &Option<Located<Vec<String>>>,
    all: &[&str],
) -> bool {
    let Some(wide) = wide else { return true };
    let includes = |name: &str| wide.value.iter().any(|included| included == name);
    match narrow {
        Some(narrow) => narrow.value.iter().all(|name| includes(name)),
        None => all.iter().all(|name| includes(name)),
    }
}

fn covers_prefix(wide: &Option<Located<KeyPrefix>>, narrow: &Option<Located<KeyPrefix>>) -> bool {
    match (wide, narrow) {
        (None, _) => true,
        (Some(_), None) => false,
        (Some(wide), Some(narrow)) => wide.value.covers(narrow.value),
    }
}

/// Returns whether `wide` includes every group of `narrow`. A list that is left out stands for
/// every group and for sessions without one.
fn covers_groups(wide: &Option<Located<Vec<u64>>>, narrow: &Option<Located<Vec<u64>>>) -> bool {
    match (wide, narrow) {
        (None, _) => true,
        (Some(_), None) => false,
        (Some(wide), Some(narrow)) => narrow.value.iter().all(|group| wide.value.contains(group)),
    }
}
