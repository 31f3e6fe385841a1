//! The limits of a route have to fit one another, the listeners that it matches and the relay.
use crate::context::{ListenerDefaults, RelayContext};
use crate::effective::{self, SessionTimeouts, format_duration, idempotency_name, resolve_hedging};
use crate::error::{ConfigError, Located, Location};
use crate::key_names::{hedging, route as key};
use crate::route_table::applies_to;
use crate::sections::RouteSection;
use thistlecroft::deployment::{Hedging, Idempotency, Route};
use thistlecroft::time::Duration;

/// Each session holds its client's connection and one to a backend.
const DESCRIPTORS_PER_SESSION: usize = 2;

/// A route together with one listener that it matches.
struct Case<'a> {
    section: &'a RouteSection,
    listener: &'a ListenerDefaults,
    route: Route,
    timeouts: SessionTimeouts,
    context: &'a RelayContext,
}

/// A broken rule.
struct Violation {
    key: String,
    location: Location,
    reason: String,
}

impl Violation {
    fn new(key: impl Into<String>, location: &Location, reason: String) -> Option<Violation> {
        Some(Violation {
            key: key.into(),
            location: location.clone(),
            reason,
        })
    }
}

/// The rules for one route and one listener. Each returns `None` where the route keeps it.
const RULES: &[fn(&Case) -> Option<Violation>] = &[
    handshake_timeout_within_client_timeout,
    objective_within_handshake_timeout,
    connect_timeouts_within_handshake_timeout,
    backoff_base_within_cap,
    retry_after_within_settings,
    attempts_within_deduplication_window,
    idle_timeout_above_stable_time,
    hedging_of_idempotent_sessions_only,
    hedging_permitted_by_settings,
    hedging_with_two_attempts,
    hedge_delays_in_order,
    hedge_delay_within_handshake_timeout,
];

pub(super) fn check(section: &RouteSection, context: &RelayContext, errors: &mut Vec<ConfigError>) {
    let listeners = context.listeners.iter();
    for listener in listeners.filter(|listener| applies_to(section, listener, context)) {
        let effective = effective::resolve(Some(section), listener, 0);
        let case = Case {
            section,
            listener,
            route: effective.route,
            timeouts: effective.timeouts,
            context,
        };
        for violation in RULES.iter().filter_map(|rule| rule(&case)) {
            let key = section.full_key(&violation.key);
            errors.push(violation.location.error(&key, violation.reason));
        }
    }
}

/// The session limits of all routes together have to fit the relay's descriptors.
pub(super) fn check_descriptors(
    routes: &[RouteSection],
    context: &RelayContext,
    errors: &mut Vec<ConfigError>,
) {
    let limited: Vec<(&RouteSection, &Located<u32>)> = routes
        .iter()
        .filter_map(|route| Some((route, route.max_sessions.as_ref()?)))
        .collect();
    let needed: usize = limited
        .iter()
        .map(|(_, sessions)| sessions.value as usize * DESCRIPTORS_PER_SESSION)
        .sum();
    let Some((last, stated)) = limited.last() else {
        return;
    };
    if needed > context.descriptors {
        let parts: Vec<String> = limited
            .iter()
            .map(|(route, sessions)| format!("{} {}", route.name, sessions.value))
            .collect();
        let reason = format!(
            "together ({}) they take {needed} descriptors, two a session; there are {} for sessions",
            parts.join(", "),
            context.descriptors
        );
        let key = last.full_key(key::MAX_SESSIONS);
        errors.push(stated.location.error(&key, reason));
    }
}

impl Case<'_> {
    /// The longest that a session may take for its answer.
    fn answer_due(&self) -> Duration {
        let client_timeout = self.listener.client_timeout;
        let stated = self.timeouts.handshake_timeout;
        stated.map_or(client_timeout, |stated| stated.min(client_timeout))
    }

    /// The hedging of the route, where it states any, and where it does.
    fn hedging(&self) -> Option<(Hedging, &Location)> {
        let stated = self.section.hedging.as_ref()?;
        let hedging = resolve_hedging(&stated.value, self.route.handshake_objective);
        Some((hedging, &stated.location))
    }

    fn min_hedge_delay_location(&self) -> Option<&Location> {
        let stated = self.section.hedging.as_ref()?;
        location(&stated.value.min_delay).or(Some(&stated.location))
    }
}

fn location<T>(stated: &Option<Located<T>>) -> Option<&Location> {
    stated.as_ref().map(|stated| &stated.location)
}

fn handshake_timeout_within_client_timeout(case: &Case) -> Option<Violation> {
    let stated = case.section.handshake_timeout.as_ref()?;
    let client_timeout = case.listener.client_timeout;
    if stated.value <= client_timeout {
        return None;
    }
    let reason = format!(
        "{} is longer than clients of {} wait ({}): they would have left",
        format_duration(stated.value),
        case.listener.name,
        format_duration(client_timeout)
    );
    Violation::new(key::HANDSHAKE_TIMEOUT, &stated.location, reason)
}

fn objective_within_handshake_timeout(case: &Case) -> Option<Violation> {
    let (objective, due) = (case.route.handshake_objective, case.answer_due());
    let location = location(&case.section.handshake_objective)
        .or(location(&case.section.handshake_timeout))?;
    if objective <= due {
        return None;
    }
    let reason = format!(
        "{} is past the time in which {} is answered ({})",
        format_duration(objective),
        case.listener.name,
        format_duration(due)
    );
    Violation::new(key::HANDSHAKE_OBJECTIVE, location, reason)
}

fn connect_timeouts_within_handshake_timeout(case: &Case) -> Option<Violation> {
    let (attempts, each) = (case.route.max_attempts, case.route.connect_timeout);
    let due = case.answer_due();
    let location = location(&case.section.max_attempts)
        .or(location(&case.section.connect_timeout))
        .or(location(&case.section.handshake_timeout))?;
    if each * f64::from(attempts) <= due {
        return None;
    }
    let reason = format!(
        "dials {attempts} x connect_time {} is past the dial timeout of {}, {}: the last could not come up",
        format_duration(each),
        case.listener.name,
        format_duration(due)
    );
    Violation::new(key::MAX_ATTEMPTS, location, reason)
}

fn backoff_base_within_cap(case: &Case) -> Option<Violation> {
    let (base, cap) = (case.route.backoff_base, case.route.backoff_cap);
    let location = location(&case.section.backoff_base).or(location(&case.section.backoff_cap))?;
    if base <= cap {
        return None;
    }
    let reason = format!(
        "base {} is above cap {}",
        format_duration(base),
        format_duration(cap)
    );
    Violation::new(key::BACKOFF_BASE, location, reason)
}

fn retry_after_within_settings(case: &Case) -> Option<Violation> {
    let permitted = case.listener.route.max_retry_after;
    let stated = case.section.max_retry_after.as_ref()?;
    if stated.value <= permitted {
        return None;
    }
    let reason = format!(
        "{} is longer than the settings let clients stay away ({})",
        format_duration(stated.value),
        format_duration(permitted)
    );
    Violation::new(key::MAX_RETRY_AFTER, &stated.location, reason)
}

fn attempts_within_deduplication_window(case: &Case) -> Option<Violation> {
    let Idempotency::Keyed { window, .. } = case.route.idempotency else {
        return None;
    };
    let location =
        location(&case.section.max_attempts).or(location(&case.section.handshake_objective))?;
    let (attempts, objective) = (case.route.max_attempts, case.route.handshake_objective);
    let last_attempt = objective * f64::from(attempts.saturating_sub(1));
    if last_attempt < window {
        return None;
    }
    let reason = format!(
        "dials {attempts} a handshake_target of {} apart end {} after the first, when the mark of {} is forgotten ({})",
        format_duration(objective),
        format_duration(last_attempt),
        case.listener.name,
        format_duration(window)
    );
    Violation::new(key::MAX_ATTEMPTS, location, reason)
}

fn idle_timeout_above_stable_time(case: &Case) -> Option<Violation> {
    let stated = case.section.idle_timeout.as_ref()?;
    let stable_after = case.route.stable_after;
    if stated.value > stable_after {
        return None;
    }
    let reason = format!(
        "idle {} is no longer than cool_down {}: no connection would clear its client",
        format_duration(stated.value),
        format_duration(stable_after)
    );
    Violation::new(key::IDLE_TIMEOUT, &stated.location, reason)
}

fn hedging_of_idempotent_sessions_only(case: &Case) -> Option<Violation> {
    let (_, location) = case.hedging()?;
    if case.route.idempotency == Idempotency::Idempotent {
        return None;
    }
    let name = &case.listener.name;
    let effect = idempotency_name(case.route.idempotency);
    let reason = format!("{name} is {effect}: two dials at once would have its effect twice");
    Violation::new(key::HEDGING, location, reason)
}

fn hedging_permitted_by_settings(case: &Case) -> Option<Violation> {
    let (_, location) = case.hedging()?;
    if case.context.may_hedge {
        return None;
    }
    let reason =
        "the settings allow one dial at a time (parallelTries), or none to be given up (mayCancel)";
    Violation::new(key::HEDGING, location, reason.to_string())
}

fn hedging_with_two_attempts(case: &Case) -> Option<Violation> {
    let (_, location) = case.hedging()?;
    if case.route.max_attempts >= 2 {
        return None;
    }
    let reason = "dials is 1: there is no second".to_string();
    Violation::new(key::HEDGING, location, reason)
}

fn hedge_delays_in_order(case: &Case) -> Option<Violation> {
    let (hedging, _) = case.hedging()?;
    if hedging.min_delay <= hedging.max_delay {
        return None;
    }
    let reason = format!(
        "least {} is above most {}",
        format_duration(hedging.min_delay),
        format_duration(hedging.max_delay)
    );
    Violation::new(
        min_hedge_delay_key(),
        case.min_hedge_delay_location()?,
        reason,
    )
}

fn hedge_delay_within_handshake_timeout(case: &Case) -> Option<Violation> {
    let (hedging, _) = case.hedging()?;
    let due = case.answer_due();
    if hedging.min_delay < due {
        return None;
    }
    let reason = format!(
        "least {}: {} is answered by then ({})",
        format_duration(hedging.min_delay),
        case.listener.name,
        format_duration(due)
    );
    Violation::new(
        min_hedge_delay_key(),
        case.min_hedge_delay_location()?,
        reason,
    )
}

fn min_hedge_delay_key() -> String {
    format!("{}.{}", key::HEDGING, hedging::MIN_DELAY)
}
