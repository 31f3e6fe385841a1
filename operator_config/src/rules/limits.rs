//! The rules that the limits of a route are consistent with each other, with the listeners that the
//! route matches, and with the relay.
use crate::context::{ListenerDefaults, RelayContext};
use crate::effective::{self, SessionTimeouts, format_duration, idempotency_name, resolve_hedging};
use crate::error::{ConfigError, Located, Location};
use crate::key_names::{hedging, route as key};
use crate::route_table::applies_to;
use crate::sections::RouteSection;
use thistlecroft::deployment::{Hedging, Idempotency, Route};
use thistlecroft::time::Duration;

/// The number of descriptors of a session: its client's connection and one to a backend.
const DESCRIPTORS_PER_SESSION: usize = 2;

/// A route together with one listener that it matches.
struct RouteListenerPair<'a> {
    section: &'a RouteSection,
    listener: &'a ListenerDefaults,
    route: Route,
    timeouts: SessionTimeouts,
    context: &'a RelayContext,
}

/// A violation of a rule.
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

/// A rule for a route and a listener. Returns `None` where the route keeps it.
type Rule = fn(&RouteListenerPair) -> Option<Violation>;

const RULES: &[Rule] = &[
    handshake_timeout_within_client_timeout,
    objective_within_handshake_timeout,
    connect_timeouts_within_handshake_timeout,
    backoff_base_within_cap,
    retry_after_within_settings,
    attempts_within_deduplication_window,
    idle_timeout_above_stable_time,
];

const HEDGING_RULES: &[Rule] = &[
    hedging_of_idempotent_sessions_only,
    hedging_permitted_by_settings,
    hedging_with_two_attempts,
    hedge_delays_in_order,
    hedge_delay_within_handshake_timeout,
];

pub(super) fn check(section: &RouteSection, context: &RelayContext, errors: &mut Vec<ConfigError>) {
    let listeners = context.listeners.iter();
    for listener in listeners.filter(|listener| applies_to(section, listener, context)) {
        let pair = RouteListenerPair::new(section, listener, context);
        let rules = RULES.iter().chain(HEDGING_RULES);
        for violation in rules.filter_map(|rule| rule(&pair)) {
            let key = section.full_key(&violation.key);
            errors.push(violation.location.error(&key, violation.reason));
        }
    }
}

/// Returns whether the hedging of the section breaks a rule for this listener.
pub(super) fn violates_hedging_rules(
    section: &RouteSection,
    listener: &ListenerDefaults,
    context: &RelayContext,
) -> bool {
    let pair = RouteListenerPair::new(section, listener, context);
    HEDGING_RULES.iter().any(|rule| rule(&pair).is_some())
}

/// Checks that the relay has descriptors for the session limits of all routes together.
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
            "all limits together ({}) take {needed} descriptors, two per session; {} are available",
            parts.join(", "),
            context.descriptors
        );
        let key = last.full_key(key::MAX_SESSIONS);
        errors.push(stated.location.error(&key, reason));
    }
}

impl<'a> RouteListenerPair<'a> {
    fn new(
        section: &'a RouteSection,
        listener: &'a ListenerDefaults,
        context: &'a RelayContext,
    ) -> RouteListenerPair<'a> {
        let effective = effective::resolve(Some(section), listener, 0);
        RouteListenerPair {
            section,
            listener,
            route: effective.route,
            timeouts: effective.timeouts,
            context,
        }
    }

    /// Returns the time within which a client has to be answered: the handshake timeout of the
    /// route, but no longer than the client waits.
    fn handshake_limit(&self) -> Duration {
        let client_timeout = self.listener.client_timeout;
        let stated = self.timeouts.handshake_timeout;
        stated.map_or(client_timeout, |stated| stated.min(client_timeout))
    }

    /// Returns the hedging of the route and its location in the file, or `None` where the route
    /// states none.
    fn hedging(&self) -> Option<(Hedging, &Location)> {
        let stated = self.section.hedging.as_ref()?;
        let hedging = resolve_hedging(&stated.value, self.route.handshake_objective);
        Some((hedging, &stated.location))
    }

    /// Returns the location of the shortest hedge delay, or of the section where it is left out.
    fn min_hedge_delay_location(&self) -> Option<&Location> {
        let stated = self.section.hedging.as_ref()?;
        location(&stated.value.min_delay).or(Some(&stated.location))
    }
}

/// Returns the location of a stated value.
fn location<T>(stated: &Option<Located<T>>) -> Option<&Location> {
    stated.as_ref().map(|stated| &stated.location)
}

fn handshake_timeout_within_client_timeout(pair: &RouteListenerPair) -> Option<Violation> {
    let stated = pair.section.handshake_timeout.as_ref()?;
    let client_timeout = pair.listener.client_timeout;
    if stated.value <= client_timeout {
        return None;
    }
    let reason = format!(
        "{} is longer than clients of {} wait ({}): they would disconnect first",
        format_duration(stated.value),
        pair.listener.name,
        format_duration(client_timeout)
    );
    Violation::new(key::HANDSHAKE_TIMEOUT, &stated.location, reason)
}

fn objective_within_handshake_timeout(pair: &RouteListenerPair) -> Option<Violation> {
    let (objective, limit) = (pair.route.handshake_objective, pair.handshake_limit());
    let location = location(&pair.section.handshake_objective)
        .or(location(&pair.section.handshake_timeout))?;
    if objective <= limit {
        return None;
    }
    let reason = format!(
        "{} is longer than the handshake timeout of {} ({})",
        format_duration(objective),
        pair.listener.name,
        format_duration(limit)
    );
    Violation::new(key::HANDSHAKE_OBJECTIVE, location, reason)
}

fn connect_timeouts_within_handshake_timeout(pair: &RouteListenerPair) -> Option<Violation> {
    let (attempts, connect_timeout) = (pair.route.max_attempts, pair.route.connect_timeout);
    let limit = pair.handshake_limit();
    let location = location(&pair.section.max_attempts)
        .or(location(&pair.section.connect_timeout))
        .or(location(&pair.section.handshake_timeout))?;
    if connect_timeout * f64::from(attempts) <= limit {
        return None;
    }
    let reason = format!(
        "dials {attempts} x connect_time {} is longer than the handshake timeout of {} ({}): the last attempt could not connect",
        format_duration(connect_timeout),
        pair.listener.name,
        format_duration(limit)
    );
    Violation::new(key::MAX_ATTEMPTS, location, reason)
}

fn backoff_base_within_cap(pair: &RouteListenerPair) -> Option<Violation> {
    let (base, cap) = (pair.route.backoff_base, pair.route.backoff_cap);
    let location = location(&pair.section.backoff_base).or(location(&pair.section.backoff_cap))?;
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

fn retry_after_within_settings(pair: &RouteListenerPair) -> Option<Violation> {
    let permitted = pair.listener.route.max_retry_after;
    let stated = pair.section.max_retry_after.as_ref()?;
    if stated.value <= permitted {
        return None;
    }
    let reason = format!(
        "{} is longer than the settings' maxRetryAfterUs ({})",
        format_duration(stated.value),
        format_duration(permitted)
    );
    Violation::new(key::MAX_RETRY_AFTER, &stated.location, reason)
}

fn attempts_within_deduplication_window(pair: &RouteListenerPair) -> Option<Violation> {
    let Idempotency::Keyed { window, .. } = pair.route.idempotency else {
        return None;
    };
    let location =
        location(&pair.section.max_attempts).or(location(&pair.section.handshake_objective))?;
    let (attempts, objective) = (pair.route.max_attempts, pair.route.handshake_objective);
    let last_attempt = objective * f64::from(attempts.saturating_sub(1));
    if last_attempt < window {
        return None;
    }
    let reason = format!(
        "dials {attempts} with handshake_target {}: the last starts {} after the first, not within the deduplication window of {} ({})",
        format_duration(objective),
        format_duration(last_attempt),
        pair.listener.name,
        format_duration(window)
    );
    Violation::new(key::MAX_ATTEMPTS, location, reason)
}

fn idle_timeout_above_stable_time(pair: &RouteListenerPair) -> Option<Violation> {
    let stated = pair.section.idle_timeout.as_ref()?;
    let stable_after = pair.route.stable_after;
    if stated.value > stable_after {
        return None;
    }
    let reason = format!(
        "idle {} is not longer than cool_down {}: an idle connection would never reset its client's failure count",
        format_duration(stated.value),
        format_duration(stable_after)
    );
    Violation::new(key::IDLE_TIMEOUT, &stated.location, reason)
}

fn hedging_of_idempotent_sessions_only(pair: &RouteListenerPair) -> Option<Violation> {
    let (_, location) = pair.hedging()?;
    if pair.route.idempotency == Idempotency::Idempotent {
        return None;
    }
    let name = &pair.listener.name;
    let effect = idempotency_name(pair.route.idempotency);
    let reason = format!("{name} is {effect}: two attempts at once could both take effect");
    Violation::new(key::HEDGING, location, reason)
}

fn hedging_permitted_by_settings(pair: &RouteListenerPair) -> Option<Violation> {
    let (_, location) = pair.hedging()?;
    if pair.context.may_hedge {
        return None;
    }
    let reason = "the settings permit only one dial at a time (parallelTries) or forbid cancelling it (mayCancel)";
    Violation::new(key::HEDGING, location, reason.to_string())
}

fn hedging_with_two_attempts(pair: &RouteListenerPair) -> Option<Violation> {
    let (_, location) = pair.hedging()?;
    if pair.route.max_attempts >= 2 {
        return None;
    }
    let reason = "dials is 1: a hedged attempt needs at least 2".to_string();
    Violation::new(key::HEDGING, location, reason)
}

fn hedge_delays_in_order(pair: &RouteListenerPair) -> Option<Violation> {
    let (hedging, _) = pair.hedging()?;
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
        pair.min_hedge_delay_location()?,
        reason,
    )
}

fn hedge_delay_within_handshake_timeout(pair: &RouteListenerPair) -> Option<Violation> {
    let (hedging, _) = pair.hedging()?;
    let limit = pair.handshake_limit();
    if hedging.min_delay < limit {
        return None;
    }
    let reason = format!(
        "least {} is not shorter than the handshake timeout of {} ({})",
        format_duration(hedging.min_delay),
        pair.listener.name,
        format_duration(limit)
    );
    Violation::new(
        min_hedge_delay_key(),
        pair.min_hedge_delay_location()?,
        reason,
    )
}

/// Returns the key of the shortest hedge delay, relative to the route.
fn min_hedge_delay_key() -> String {
    format!("{}.{}", key::HEDGING, hedging::MIN_DELAY)
}
