//! The routes of a file under the settings of a deployment, and the lookup of a session's route.
use crate::context::{ListenerDefaults, RelayContext};
use crate::effective::{self, EffectiveValue, SessionTimeouts};
use crate::error::Located;
use crate::rules::fitting::fit;
use crate::sections::{KeyPrefix, RouteSection};
use std::collections::BTreeMap;
use thistlecroft::deployment::Route;

/// The [`Route::limits_id`] of sessions that no route matches.
const DEFAULT_LIMITS_ID: u32 = 0;

/// The [`Route::limits_id`] of each route, by the route's name. A name keeps its id when the file
/// is read again, so that the counts of its sessions continue.
#[derive(Clone, Debug, Default)]
pub struct LimitsIds(BTreeMap<String, u32>);

impl LimitsIds {
    /// Returns the id of a route, and assigns one to a new name.
    fn get_or_assign(&mut self, name: &str) -> u32 {
        let next = DEFAULT_LIMITS_ID + 1 + self.0.len() as u32;
        *self.0.entry(name.to_string()).or_insert(next)
    }
}

/// The conditions under which sessions of one listener belong to one row of the table.
#[derive(Clone, Debug, PartialEq)]
struct RouteMatch {
    key_prefix: Option<KeyPrefix>,
    /// The permitted groups. Where empty, any group and no group are permitted.
    groups: Vec<u64>,
    row: usize,
}

impl RouteMatch {
    fn matches(&self, key: u64, group: Option<u64>) -> bool {
        let has_prefix = self.key_prefix.is_none_or(|prefix| prefix.matches(key));
        let in_group = group.is_some_and(|group| self.groups.contains(&group));
        has_prefix && (self.groups.is_empty() || in_group)
    }
}

/// The rows that sessions of one listener may belong to.
#[derive(Clone, Debug, PartialEq)]
struct ListenerRoutes {
    /// The rows of routes in the order of the file, of which the first that matches is used.
    matches: Vec<RouteMatch>,
    /// The row of sessions that no route matches.
    default_row: usize,
}

/// The routes of a deployment: a row for each pair of a route and a listener, and the lookup of the
/// row of a session.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTable {
    rows: Vec<Route>,
    timeouts: Vec<SessionTimeouts>,
    /// The rows of each listener, in the order of the context's listeners.
    listeners: Vec<ListenerRoutes>,
    values: Vec<EffectiveValue>,
}

impl RouteTable {
    /// Returns the table without a file: every listener has one row, at its own index.
    pub fn from_settings(context: &RelayContext) -> RouteTable {
        RouteTable::new(&[], context, &mut LimitsIds::default())
    }

    pub(crate) fn new(
        sections: &[RouteSection],
        context: &RelayContext,
        limits_ids: &mut LimitsIds,
    ) -> RouteTable {
        let mut table = RouteTable {
            rows: Vec::new(),
            timeouts: Vec::new(),
            listeners: Vec::new(),
            values: Vec::new(),
        };
        for listener in &context.listeners {
            let default_row = table.add_row(None, listener, DEFAULT_LIMITS_ID);
            table.listeners.push(ListenerRoutes {
                matches: Vec::new(),
                default_row,
            });
        }
        for section in sections {
            let limits_id = limits_ids.get_or_assign(&section.name);
            for (index, listener) in context.listeners.iter().enumerate() {
                if applies_to(section, listener, context) {
                    let fitted = fit(section, listener, context);
                    let row = table.add_row(Some(&fitted), listener, limits_id);
                    table.listeners[index].matches.push(RouteMatch {
                        key_prefix: value_of(&section.matching.key_prefix),
                        groups: value_of(&section.matching.groups).unwrap_or_default(),
                        row,
                    });
                }
            }
        }
        table
    }

    fn add_row(
        &mut self,
        section: Option<&RouteSection>,
        listener: &ListenerDefaults,
        limits_id: u32,
    ) -> usize {
        let effective = effective::resolve(section, listener, limits_id);
        self.rows.push(effective.route);
        self.timeouts.push(effective.timeouts);
        self.values.extend(effective.values);
        self.rows.len() - 1
    }

    /// Returns the row of a session, given the index of its listener in the context, its client's
    /// key and its group. Takes time in proportion to the number of routes.
    pub fn route_for(&self, listener: usize, key: u64, group: Option<u64>) -> usize {
        let routes = &self.listeners[listener];
        let first = routes
            .matches
            .iter()
            .find(|route| route.matches(key, group));
        first.map_or(routes.default_row, |first| first.row)
    }

    /// Returns the limits of all rows.
    pub fn rows(&self) -> &[Route] {
        &self.rows
    }

    /// Returns the timeouts of one row.
    pub fn timeouts(&self, row: usize) -> SessionTimeouts {
        self.timeouts[row]
    }

    /// Returns all values in force, row by row.
    pub fn effective_values(&self) -> &[EffectiveValue] {
        &self.values
    }

    /// Describes the differences between this table and a later one, one line each.
    pub fn changes_to(&self, later: &RouteTable) -> Vec<String> {
        let (before, after) = (self.values_by_key(), later.values_by_key());
        let (old_rows, new_rows) = (rows_of(&before), rows_of(&after));
        let added = new_rows.iter().filter(|row| !old_rows.contains(row));
        let removed = old_rows.iter().filter(|row| !new_rows.contains(row));
        let mut lines: Vec<String> = added
            .map(|(route, listener)| format!("route {route} for {listener} is new"))
            .chain(removed.map(|(route, listener)| format!("route {route} for {listener} is gone")))
            .collect();
        for (value_key, value) in &after {
            if let Some(old) = before.get(value_key).filter(|old| *old != value) {
                let ValueKey {
                    route,
                    listener,
                    key,
                } = value_key;
                lines.push(format!("{route}.{key} for {listener}: {old} -> {value}"));
            }
        }
        lines
    }

    fn values_by_key(&self) -> BTreeMap<ValueKey<'_>, &str> {
        let keyed = self.values.iter().map(|value| {
            let key = ValueKey {
                route: &value.route,
                listener: &value.listener,
                key: value.key,
            };
            (key, value.value.as_str())
        });
        keyed.collect()
    }
}

/// The identity of a value in force. The order of the fields determines the order of the lines of
/// [`RouteTable::changes_to`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ValueKey<'a> {
    route: &'a str,
    listener: &'a str,
    key: &'static str,
}

/// Returns the route and listener of each row, without repetitions.
fn rows_of<'a>(values: &BTreeMap<ValueKey<'a>, &str>) -> Vec<(&'a str, &'a str)> {
    let mut rows: Vec<_> = values.keys().map(|key| (key.route, key.listener)).collect();
    rows.dedup();
    rows
}

/// Returns whether the route can match sessions of this listener at this relay.
pub(crate) fn applies_to(
    section: &RouteSection,
    listener: &ListenerDefaults,
    context: &RelayContext,
) -> bool {
    let permits = |stated: &Option<Located<Vec<String>>>, name: &str| {
        let stated = stated.as_ref();
        stated.is_none_or(|stated| stated.value.iter().any(|permitted| permitted == name))
    };
    permits(&section.matching.listeners, &listener.name)
        && permits(&section.matching.zones, context.own_zone())
}

fn value_of<T: Clone>(stated: &Option<Located<T>>) -> Option<T> {
    stated.as_ref().map(|stated| stated.value.clone())
}
