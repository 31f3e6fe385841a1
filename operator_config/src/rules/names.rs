//! The rule that the listeners and zones that a route names exist in the deployment.
use crate::context::RelayContext;
use crate::error::{ConfigError, Located};
use crate::key_names::{matching, route};
use crate::sections::RouteSection;
use crate::suggestion::closest_name;

pub(super) fn check(section: &RouteSection, context: &RelayContext, errors: &mut Vec<ConfigError>) {
    let (listeners, zones) = (context.listener_names(), context.zone_names());
    let stated = &section.matching;
    errors.extend(unknown_names(
        section,
        matching::LISTENERS,
        &stated.listeners,
        &listeners,
    ));
    errors.extend(unknown_names(
        section,
        matching::ZONES,
        &stated.zones,
        &zones,
    ));
}

/// Returns an error for each name of `key` that is not among the `known` names.
fn unknown_names(
    section: &RouteSection,
    key: &str,
    stated: &Option<Located<Vec<String>>>,
    known: &[&str],
) -> Vec<ConfigError> {
    let Some(Located { value, location }) = stated else {
        return Vec::new();
    };
    let full_key = section.full_key(&format!("{}.{key}", route::MATCH));
    let unknown = value.iter().filter(|name| !known.contains(&name.as_str()));
    let errors = unknown.map(|name| {
        let hint = match closest_name(known.iter().copied(), name) {
            Some(similar) => format!("is it \"{similar}\"?"),
            None => format!("the settings have {}", known.join(", ")),
        };
        location.error(&full_key, format!("there is no {key} \"{name}\"; {hint}"))
    });
    errors.collect()
}
