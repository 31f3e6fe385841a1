//! Routes worked out for a deployment: which row a session goes by, and what every row holds and
//! where it has that from.
use crate::OperatorConfig;
use crate::parsing::{Located, RouteText, SecondText};
use std::collections::BTreeMap;
use thistlecroft::deployment::{Hedging, Idempotency, Route};
use thistlecroft::time::Duration;

/// A listener of the deployment, as the settings have it.
#[derive(Clone, Debug)]
pub struct ListenerDefaults {
    pub name: String,
    /// How long its clients wait at most.
    pub client_timeout: Duration,
    /// What holds for it without a charter.
    pub route: Route,
}

/// What a charter is held against.
#[derive(Clone, Debug)]
pub struct RelayContext {
    pub listeners: Vec<ListenerDefaults>,
    pub zones: Vec<String>,
    /// The relay's own, by its place among the zones.
    pub zone: usize,
    /// The settings allow two dials of a session at once, and one of them to be given up.
    pub may_hedge: bool,
    /// The settings allow relays to talk with one another.
    pub may_use_peers: bool,
    /// Descriptors that sessions may take.
    pub descriptors: usize,
}

/// What a row holds for the relay's front.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SessionTimeouts {
    pub handshake_timeout: Option<Duration>,
    pub connect_timeout: Duration,
    pub idle_timeout: Option<Duration>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueOrigin {
    /// The line of the file that states it.
    File(usize),
    Settings,
    BuiltIn,
}

/// A value in force, for people.
#[derive(Clone, Debug, PartialEq)]
pub struct EffectiveValue {
    /// `otherwise` for sessions that no route matches.
    pub route: String,
    pub listener: String,
    pub key: &'static str,
    pub value: String,
    pub origin: ValueOrigin,
}

/// Numbers of routes by their names, the same from one reading of the file to the next, so that
/// what is counted of a route goes on.
#[derive(Clone, Debug, Default)]
pub struct LimitsIds(BTreeMap<String, u32>);

impl LimitsIds {
    fn of(&mut self, name: &str) -> u32 {
        // 0 is for the sessions of no route.
        let next = self.0.len() as u32 + 1;
        *self.0.entry(name.to_string()).or_insert(next)
    }
}

#[derive(Clone, Debug, PartialEq)]
struct RouteMatch {
    key_prefix: Option<(u64, u32)>,
    groups: Vec<u64>,
    row: usize,
}

#[derive(Clone, Debug, PartialEq)]
pub struct RouteTable {
    rows: Vec<Route>,
    fronts: Vec<SessionTimeouts>,
    /// By listener: what is tried in turn, then the row of those that nothing matched.
    tried: Vec<(Vec<RouteMatch>, usize)>,
    told: Vec<EffectiveValue>,
}

/// The name of the row for sessions that no route matches.
pub const DEFAULT_ROUTE: &str = "otherwise";

impl RouteTable {
    /// Without a charter every listener has its own row, at its own place.
    pub fn from_settings(of: &RelayContext) -> RouteTable {
        RouteTable::new(&OperatorConfig::default(), of, &mut LimitsIds::default())
    }

    pub(crate) fn new(
        charter: &OperatorConfig,
        of: &RelayContext,
        lanes: &mut LimitsIds,
    ) -> RouteTable {
        let mut routing = RouteTable {
            rows: Vec::new(),
            fronts: Vec::new(),
            tried: Vec::new(),
            told: Vec::new(),
        };
        for listener in &of.listeners {
            let otherwise = routing.add(None, listener, 0);
            routing.tried.push((Vec::new(), otherwise));
        }
        for route in &charter.routes {
            let lane = lanes.of(&route.name);
            for (place, listener) in of.listeners.iter().enumerate() {
                if !takes(route, &listener.name, of) {
                    continue;
                }
                let row = routing.add(Some(route), listener, lane);
                let key_prefix = route
                    .matching
                    .key_prefix
                    .as_ref()
                    .map(|stated| stated.value);
                let groups = route
                    .matching
                    .group
                    .as_ref()
                    .map_or(Vec::new(), |stated| stated.value.clone());
                routing.tried[place].0.push(RouteMatch {
                    key_prefix,
                    groups,
                    row,
                });
            }
        }
        routing
    }

    fn add(&mut self, route: Option<&RouteText>, listener: &ListenerDefaults, lane: u32) -> usize {
        let (row, front, told) = effective(route, listener, lane);
        self.rows.push(row);
        self.fronts.push(front);
        self.told.extend(told);
        self.rows.len() - 1
    }

    /// The row of a session. Bounded by the number of routes.
    pub fn route_for(&self, listener: usize, key: u64, group: Option<u64>) -> usize {
        let (tried, otherwise) = &self.tried[listener];
        let fits = |one: &&RouteMatch| {
            one.key_prefix.is_none_or(|prefix| begins(key, prefix))
                && (one.groups.is_empty() || group.is_some_and(|group| one.groups.contains(&group)))
        };
        tried.iter().find(fits).map_or(*otherwise, |one| one.row)
    }

    /// Rows for the decisions, in the order of their numbers.
    pub fn rows(&self) -> &[Route] {
        &self.rows
    }

    pub fn timeouts(&self, row: usize) -> SessionTimeouts {
        self.fronts[row]
    }

    pub fn effective_values(&self) -> &[EffectiveValue] {
        &self.told
    }

    /// What another one changes, a line for each.
    pub fn changes_to(&self, later: &RouteTable) -> Vec<String> {
        let of = |routing: &RouteTable| -> BTreeMap<(String, String, &'static str), String> {
            let rows = routing.told.iter();
            rows.map(|told| {
                (
                    (told.route.clone(), told.listener.clone(), told.key),
                    told.value.clone(),
                )
            })
            .collect()
        };
        let (before, after) = (of(self), of(later));
        let routes =
            |of: &BTreeMap<(String, String, &'static str), String>| -> Vec<(String, String)> {
                let mut all: Vec<_> = of
                    .keys()
                    .map(|(route, listener, _)| (route.clone(), listener.clone()))
                    .collect();
                all.dedup();
                all
            };
        let (old, new) = (routes(&before), routes(&after));
        let mut lines: Vec<String> = Vec::new();
        for (route, listener) in &new {
            if !old.contains(&(route.clone(), listener.clone())) {
                lines.push(format!("route {route} for {listener} is new"));
            }
        }
        for (route, listener) in &old {
            if !new.contains(&(route.clone(), listener.clone())) {
                lines.push(format!("route {route} for {listener} is gone"));
            }
        }
        for (place, value) in &after {
            if let Some(was) = before.get(place).filter(|was| *was != value) {
                let (route, listener, key) = place;
                lines.push(format!("{route}.{key} for {listener}: {was} -> {value}"));
            }
        }
        lines
    }
}

/// If a route is for sessions of a listener at this relay at all.
pub(crate) fn takes(route: &RouteText, listener: &str, of: &RelayContext) -> bool {
    let named = |stated: &Option<Located<Vec<String>>>, name: &str| {
        stated
            .as_ref()
            .is_none_or(|stated| stated.value.iter().any(|one| one == name))
    };
    let own = of.zones.get(of.zone).map_or("", String::as_str);
    named(&route.matching.listener, listener) && named(&route.matching.zone, own)
}

/// If a key of sixteen digits begins with these.
pub(crate) fn begins(key: u64, (digits, count): (u64, u32)) -> bool {
    key >> (64 - 4 * count) == digits
}

pub(crate) fn say(span: Duration) -> String {
    let us = span.as_micros();
    if us.is_multiple_of(1_000_000) {
        format!("{}s", us / 1_000_000)
    } else if us.is_multiple_of(1_000) {
        format!("{}ms", us / 1_000)
    } else {
        format!("{us}us")
    }
}

const SECOND_QUANTILE: f64 = 0.95;
const SECOND_LEAST: Duration = Duration::from_millis(20);
const SECOND_SHARE: f64 = 0.05;

/// The rows of one listener under one route, and what is to be told of them.
pub(crate) fn effective(
    route: Option<&RouteText>,
    listener: &ListenerDefaults,
    lane: u32,
) -> (Route, SessionTimeouts, Vec<EffectiveValue>) {
    let base = &listener.route;
    let mut told = Vec::new();
    let name = route.map_or(DEFAULT_ROUTE, |route| &route.name);
    let mut tell = |key, value: String, origin| {
        let (route, listener) = (name.to_string(), listener.name.clone());
        told.push(EffectiveValue {
            route,
            listener,
            key,
            value,
            origin,
        });
    };
    macro_rules! stated {
        ($key:ident, $otherwise:expr, $from:expr, $say:expr) => {{
            let own = route.and_then(|route| route.$key.as_ref());
            let value = own.map_or($otherwise, |own| own.value);
            tell(
                stringify!($key),
                $say(value),
                own.map_or($from, |own| ValueOrigin::File(own.place.line)),
            );
            value
        }};
        ($key:ident, none, $say:expr) => {{
            let own = route.and_then(|route| route.$key.as_ref());
            let origin = own.map_or(ValueOrigin::BuiltIn, |own| {
                ValueOrigin::File(own.place.line)
            });
            tell(
                stringify!($key),
                own.map_or("none".to_string(), |own| $say(own.value)),
                origin,
            );
            own.map(|own| own.value)
        }};
    }
    let figure = |value: f64| value.to_string();
    let count = |value: u32| value.to_string();
    tell(
        "effect",
        effect_name(base.idempotency).to_string(),
        ValueOrigin::Settings,
    );
    let handshake_target = stated!(
        handshake_target,
        base.handshake_objective,
        ValueOrigin::Settings,
        say
    );
    let dial_timeout = stated!(dial_timeout, none, say);
    let connect_time = stated!(
        connect_time,
        base.connect_timeout,
        ValueOrigin::Settings,
        say
    );
    let max_dials = stated!(dials, base.max_attempts, ValueOrigin::Settings, count);
    let patience = stated!(
        patience,
        base.attempt_timeout_factor,
        ValueOrigin::BuiltIn,
        figure
    );
    let first = stated!(base, base.backoff_base, ValueOrigin::BuiltIn, say);
    let cap = stated!(cap, base.backoff_cap, ValueOrigin::BuiltIn, say);
    let cool_down = stated!(cool_down, base.stable_after, ValueOrigin::BuiltIn, say);
    let longest_retry_after = stated!(
        retry_after,
        base.max_retry_after,
        ValueOrigin::Settings,
        say
    );
    let idle = stated!(idle, none, say);
    let further_share = stated!(retry_share, none, figure);
    let most = stated!(at_once, none, count);
    let second = route.and_then(|route| route.second_copy.as_ref());
    let copy = second.map(|second| second_copy(&second.value, handshake_target));
    let text = copy.map_or("none".to_string(), |copy| {
        let (least, most) = (say(copy.min_delay), say(copy.max_delay));
        format!(
            "after quantile {} of set-ups, {least} to {most}, share {}",
            copy.quantile, copy.share
        )
    });
    tell(
        "second_copy",
        text,
        second.map_or(ValueOrigin::BuiltIn, |second| {
            ValueOrigin::File(second.place.line)
        }),
    );
    let row = Route {
        limits_id: lane,
        handshake_objective: handshake_target,
        connect_timeout: connect_time,
        max_attempts: max_dials,
        attempt_timeout_factor: patience,
        backoff_base: first,
        backoff_cap: cap,
        stable_after: cool_down,
        max_retry_after: longest_retry_after,
        retry_share: further_share,
        max_sessions: most,
        hedging: copy,
        ..*base
    };
    (
        row,
        SessionTimeouts {
            handshake_timeout: dial_timeout,
            connect_timeout: connect_time,
            idle_timeout: idle,
        },
        told,
    )
}

pub(crate) fn second_copy(text: &SecondText, target: Duration) -> Hedging {
    let part = |stated: &Option<Located<f64>>, otherwise| {
        stated.as_ref().map_or(otherwise, |stated| stated.value)
    };
    let span = |stated: &Option<Located<Duration>>, otherwise| {
        stated.as_ref().map_or(otherwise, |stated| stated.value)
    };
    Hedging {
        quantile: part(&text.quantile, SECOND_QUANTILE),
        min_delay: span(&text.least, SECOND_LEAST),
        max_delay: span(&text.most, target.max(SECOND_LEAST)),
        share: part(&text.share, SECOND_SHARE),
    }
}

/// Which of the three kinds a listener is of, in the words of the file.
pub(crate) fn effect_name(effect: Idempotency) -> &'static str {
    match effect {
        Idempotency::Idempotent => "repeatable",
        Idempotency::Keyed { .. } => "referenced",
        Idempotency::NonIdempotent => "once-only",
    }
}
