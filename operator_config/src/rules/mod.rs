//! What a charter may not say: a table of checks, each on one route and one listener that it takes,
//! and the few that look at all routes together. A check complains only of what the file states,
//! never of the settings alone; where values conflict only together it names them all.
use crate::OperatorConfig;
use crate::keys::nearest;
use crate::parsing::{ConfigError, Located, Place, RouteText};
use crate::route_table::{
    ListenerDefaults, RelayContext, SessionTimeouts, begins, effect_name, effective, say,
    second_copy, takes,
};
use thistlecroft::deployment::{Idempotency, Route};
use thistlecroft::time::Duration;

struct Case<'a> {
    route: &'a RouteText,
    listener: &'a ListenerDefaults,
    row: Route,
    front: SessionTimeouts,
    of: &'a RelayContext,
}

/// The key that is blamed, its place where the file states it, and why.
type Complaint = (&'static str, Option<Place>, String);

fn place<T>(stated: &Option<Located<T>>) -> Option<Place> {
    stated.as_ref().map(|stated| stated.place.clone())
}

/// How long a session of this case may take for its answer.
fn answer_due(case: &Case) -> Duration {
    case.front
        .handshake_timeout
        .map_or(case.listener.client_timeout, |own| {
            own.min(case.listener.client_timeout)
        })
}

const CHECKS: &[fn(&Case) -> Option<Complaint>] = &[
    |case| {
        let own = case.front.handshake_timeout?;
        let (name, wait) = (&case.listener.name, case.listener.client_timeout);
        (own > wait).then(|| {
            let why = format!(
                "{} is longer than clients of {name} wait ({}): they would have left",
                say(own),
                say(wait)
            );
            ("dial_timeout", place(&case.route.dial_timeout), why)
        })
    },
    |case| {
        let (target, due) = (case.row.handshake_objective, answer_due(case));
        let stated = place(&case.route.handshake_target).or(place(&case.route.dial_timeout))?;
        (target > due).then(|| {
            let why = format!(
                "{} is past the time in which {} is answered ({})",
                say(target),
                case.listener.name,
                say(due)
            );
            ("handshake_target", Some(stated), why)
        })
    },
    |case| {
        let (dials, each, due) = (
            case.row.max_attempts,
            case.row.connect_timeout,
            answer_due(case),
        );
        let route = case.route;
        let stated = place(&route.dials)
            .or(place(&route.connect_time))
            .or(place(&route.dial_timeout))?;
        (each * f64::from(dials) > due).then(|| {
            let name = &case.listener.name;
            let why = format!(
                "dials {dials} x connect_time {} is past the dial timeout of {name}, {}: the last could not come up",
                say(each),
                say(due)
            );
            ("dials", Some(stated), why)
        })
    },
    |case| {
        let stated = place(&case.route.base).or(place(&case.route.cap))?;
        (case.row.backoff_base > case.row.backoff_cap).then(|| {
            (
                "base",
                Some(stated),
                format!(
                    "base {} is above cap {}",
                    say(case.row.backoff_base),
                    say(case.row.backoff_cap)
                ),
            )
        })
    },
    |case| {
        let longest = case.listener.route.max_retry_after;
        let own = case.route.retry_after.as_ref()?;
        (own.value > longest).then(|| {
            let why = format!(
                "{} is longer than the settings let clients stay away ({})",
                say(own.value),
                say(longest)
            );
            ("retry_after", Some(own.place.clone()), why)
        })
    },
    |case| {
        let Idempotency::Keyed { window, .. } = case.row.idempotency else {
            return None;
        };
        let stated = place(&case.route.dials).or(place(&case.route.handshake_target))?;
        let last =
            case.row.handshake_objective * f64::from(case.row.max_attempts.saturating_sub(1));
        (last >= window).then(|| {
            let why = format!(
                "dials {} a handshake_target of {} apart end {} after the first, when the mark of {} is forgotten ({})",
                case.row.max_attempts,
                say(case.row.handshake_objective),
                say(last),
                case.listener.name,
                say(window)
            );
            ("dials", Some(stated), why)
        })
    },
    |case| {
        let (idle, stood) = (case.front.idle_timeout?, case.row.stable_after);
        (idle <= stood).then(|| {
            let why = format!(
                "idle {} is no longer than cool_down {}: no connection would clear its client",
                say(idle),
                say(stood)
            );
            ("idle", place(&case.route.idle), why)
        })
    },
    |case| {
        let own = case.route.second_copy.as_ref()?;
        (case.row.idempotency != Idempotency::Idempotent).then(|| {
            let (name, effect) = (&case.listener.name, effect_name(case.row.idempotency));
            let why = format!("{name} is {effect}: two dials at once would have its effect twice");
            ("second_copy", Some(own.place.clone()), why)
        })
    },
    |case| {
        let own = case.route.second_copy.as_ref()?;
        (!case.of.may_hedge).then(|| {
            let why =
                "the settings allow one dial at a time (parallelTries), or none to be given up (mayCancel)"
                    .to_string();
            ("second_copy", Some(own.place.clone()), why)
        })
    },
    |case| {
        let own = case.route.second_copy.as_ref()?;
        (case.row.max_attempts < 2).then(|| {
            (
                "second_copy",
                Some(own.place.clone()),
                "dials is 1: there is no second".to_string(),
            )
        })
    },
    |case| {
        let own = case.route.second_copy.as_ref()?;
        let copy = second_copy(&own.value, case.row.handshake_objective);
        (copy.min_delay > copy.max_delay).then(|| {
            let why = format!(
                "least {} is above most {}",
                say(copy.min_delay),
                say(copy.max_delay)
            );
            (
                "second_copy.least",
                place(&own.value.least).or(Some(own.place.clone())),
                why,
            )
        })
    },
    |case| {
        let own = case.route.second_copy.as_ref()?;
        let copy = second_copy(&own.value, case.row.handshake_objective);
        let due = answer_due(case);
        (copy.min_delay >= due).then(|| {
            let why = format!(
                "least {}: {} is answered by then ({})",
                say(copy.min_delay),
                case.listener.name,
                say(due)
            );
            (
                "second_copy.least",
                place(&own.value.least).or(Some(own.place.clone())),
                why,
            )
        })
    },
];

/// # Errors
/// All that is wrong.
pub fn check(charter: &OperatorConfig, of: &RelayContext) -> Result<(), Vec<ConfigError>> {
    let mut faults = Vec::new();
    for route in &charter.routes {
        names(route, of, &mut faults);
        for listener in &of.listeners {
            if !takes(route, &listener.name, of) {
                continue;
            }
            let (row, front, _) = effective(Some(route), listener, 0);
            let case = Case {
                route,
                listener,
                row,
                front,
                of,
            };
            for check in CHECKS {
                if let Some((key, at, why)) = check(&case) {
                    let at = at.unwrap_or_else(|| route.place.clone());
                    faults.push(at.fault(&format!("route {}.{key}", route.name), why));
                }
            }
        }
    }
    shadowed(charter, of, &mut faults);
    together(charter, of, &mut faults);
    faults.sort();
    faults.dedup();
    if faults.is_empty() {
        Ok(())
    } else {
        Err(faults)
    }
}

fn names(route: &RouteText, of: &RelayContext, faults: &mut Vec<ConfigError>) {
    let listeners: Vec<&str> = of
        .listeners
        .iter()
        .map(|listener| listener.name.as_str())
        .collect();
    let zones: Vec<&str> = of.zones.iter().map(String::as_str).collect();
    let known = [
        ("listener", &route.matching.listener, listeners),
        ("zone", &route.matching.zone, zones),
    ];
    for (key, stated, known) in known {
        let Some(stated) = stated else { continue };
        for name in stated
            .value
            .iter()
            .filter(|name| !known.contains(&name.as_str()))
        {
            let like = match nearest(known.iter().copied(), name) {
                Some(like) => format!("; is it \"{like}\"?"),
                None => format!("; there are {}", known.join(", ")),
            };
            let why = format!("there is no {key} \"{name}\"{like}");
            faults.push(
                stated
                    .place
                    .fault(&format!("route {}.match.{key}", route.name), why),
            );
        }
    }
}

/// If all that one matches another before it has taken.
fn takes_all_of(first: &RouteText, second: &RouteText, of: &RelayContext) -> bool {
    let within = |wide: &Option<Located<Vec<String>>>,
                  narrow: &Option<Located<Vec<String>>>,
                  all: &[&str]| match wide {
        None => true,
        Some(wide) => {
            let all: Vec<String> = all.iter().map(ToString::to_string).collect();
            let narrow = narrow.as_ref().map_or(&all, |narrow| &narrow.value);
            narrow.iter().all(|name| wide.value.contains(name))
        }
    };
    let listeners: Vec<&str> = of
        .listeners
        .iter()
        .map(|listener| listener.name.as_str())
        .collect();
    let zones: Vec<&str> = of.zones.iter().map(String::as_str).collect();
    let (wide, narrow) = (&first.matching, &second.matching);
    let prefix = match (&wide.key_prefix, &narrow.key_prefix) {
        (None, _) => true,
        (Some(_), None) => false,
        (Some(wide), Some(narrow)) => {
            let (digits, count) = narrow.value;
            wide.value.1 <= count && begins(digits << (64 - 4 * count), wide.value)
        }
    };
    let groups = match (&wide.group, &narrow.group) {
        (None, _) => true,
        (Some(_), None) => false,
        (Some(wide), Some(narrow)) => narrow.value.iter().all(|group| wide.value.contains(group)),
    };
    within(&wide.listener, &narrow.listener, &listeners)
        && within(&wide.zone, &narrow.zone, &zones)
        && prefix
        && groups
}

fn shadowed(charter: &OperatorConfig, of: &RelayContext, faults: &mut Vec<ConfigError>) {
    for (number, route) in charter.routes.iter().enumerate() {
        let before = charter.routes[..number]
            .iter()
            .find(|before| takes_all_of(before, route, of));
        if let Some(before) = before {
            let why = format!(
                "it can never match: route {} of line {}, tried before it, takes all that it would",
                before.name, before.place.line
            );
            faults.push(
                route
                    .place
                    .fault(&format!("route {}.match", route.name), why),
            );
        }
    }
}

/// Each session holds two descriptors, its client's and its dial's.
const EACH: usize = 2;

fn together(charter: &OperatorConfig, of: &RelayContext, faults: &mut Vec<ConfigError>) {
    let stated: Vec<(&RouteText, &Located<u32>)> = charter
        .routes
        .iter()
        .filter_map(|route| Some((route, route.at_once.as_ref()?)))
        .collect();
    let sum: usize = stated
        .iter()
        .map(|(_, stated)| stated.value as usize * EACH)
        .sum();
    if sum > of.descriptors
        && let Some((last, at)) = stated.last()
    {
        let all: Vec<String> = stated
            .iter()
            .map(|(route, stated)| format!("{} {}", route.name, stated.value))
            .collect();
        let why = format!(
            "together ({}) they take {sum} descriptors, two a session; there are {} for sessions",
            all.join(", "),
            of.descriptors
        );
        faults.push(at.place.fault(&format!("route {}.at_once", last.name), why));
    }
}
