//! The values in force for the sessions of one listener under one route, with their origin.
use crate::context::ListenerDefaults;
use crate::error::Located;
use crate::key_names::route as key;
use crate::sections::{HedgingSection, RouteSection};
use thistlecroft::deployment::{Hedging, Idempotency, Route};
use thistlecroft::time::Duration;

/// The name of the route for sessions that no route of the file matches.
pub const DEFAULT_ROUTE: &str = "otherwise";

const DEFAULT_HEDGE_QUANTILE: f64 = 0.95;
const DEFAULT_MIN_HEDGE_DELAY: Duration = Duration::from_millis(20);
const DEFAULT_HEDGE_SHARE: f64 = 0.05;

/// The timeouts that the front keeps for a session.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SessionTimeouts {
    /// From the client's connection to its answer; `None` means as long as the client waits.
    pub handshake_timeout: Option<Duration>,
    /// For a connection to a backend to come up.
    pub connect_timeout: Duration,
    /// Without a message on an established session; `None` means forever.
    pub idle_timeout: Option<Duration>,
}

/// Where a value in force comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueOrigin {
    /// The operators' file, at this line.
    File(usize),
    /// The platform's settings.
    Settings,
    /// A default of the program.
    BuiltIn,
}

/// A value in force, for people.
#[derive(Clone, Debug, PartialEq)]
pub struct EffectiveValue {
    /// The route's name, or [`DEFAULT_ROUTE`].
    pub route: String,
    /// The listener's name.
    pub listener: String,
    /// The key that states the value in a file.
    pub key: &'static str,
    /// The value as people read it.
    pub value: String,
    /// Where the value comes from.
    pub origin: ValueOrigin,
}

/// Everything in force for the sessions of one listener under one route.
pub(crate) struct Effective {
    pub(crate) route: Route,
    pub(crate) timeouts: SessionTimeouts,
    pub(crate) values: Vec<EffectiveValue>,
}

/// Fills what the section leaves out with the listener's defaults. Without a section, everything is
/// a default.
pub(crate) fn resolve(
    section: Option<&RouteSection>,
    listener: &ListenerDefaults,
    limits_id: u32,
) -> Effective {
    let empty = RouteSection::default();
    let stated = section.unwrap_or(&empty);
    let mut route = Route {
        limits_id,
        ..listener.route
    };
    let mut values = ValueRecorder {
        route: section.map_or(DEFAULT_ROUTE, |section| &section.name),
        listener: &listener.name,
        values: Vec::new(),
    };
    let effect = idempotency_name(route.idempotency).to_string();
    values.record("effect", effect, ValueOrigin::Settings);
    let handshake_timeout = apply_attempt_limits(&mut values, stated, &mut route);
    apply_backoff(&mut values, stated, &mut route);
    let idle_timeout = values.optional(key::IDLE_TIMEOUT, &stated.idle_timeout);
    route.retry_share = values.optional(key::RETRY_SHARE, &stated.retry_share);
    route.max_sessions = values.optional(key::MAX_SESSIONS, &stated.max_sessions);
    let hedging = stated.hedging.as_ref();
    route.hedging = hedging.map(|stated| resolve_hedging(&stated.value, route.handshake_objective));
    let text = route.hedging.map_or("none".to_string(), format_hedging);
    values.record(key::HEDGING, text, file_or(hedging, ValueOrigin::BuiltIn));
    Effective {
        route,
        timeouts: SessionTimeouts {
            handshake_timeout,
            connect_timeout: route.connect_timeout,
            idle_timeout,
        },
        values: values.values,
    }
}

/// Applies what limits single attempts, and returns the handshake timeout.
fn apply_attempt_limits(
    values: &mut ValueRecorder,
    stated: &RouteSection,
    route: &mut Route,
) -> Option<Duration> {
    values.apply(
        key::HANDSHAKE_OBJECTIVE,
        &stated.handshake_objective,
        &mut route.handshake_objective,
        ValueOrigin::Settings,
    );
    let handshake_timeout = values.optional(key::HANDSHAKE_TIMEOUT, &stated.handshake_timeout);
    values.apply(
        key::CONNECT_TIMEOUT,
        &stated.connect_timeout,
        &mut route.connect_timeout,
        ValueOrigin::Settings,
    );
    values.apply(
        key::MAX_ATTEMPTS,
        &stated.max_attempts,
        &mut route.max_attempts,
        ValueOrigin::Settings,
    );
    values.apply(
        key::ATTEMPT_TIMEOUT_FACTOR,
        &stated.attempt_timeout_factor,
        &mut route.attempt_timeout_factor,
        ValueOrigin::BuiltIn,
    );
    handshake_timeout
}

/// Applies what spaces retries of one client.
fn apply_backoff(values: &mut ValueRecorder, stated: &RouteSection, route: &mut Route) {
    values.apply(
        key::BACKOFF_BASE,
        &stated.backoff_base,
        &mut route.backoff_base,
        ValueOrigin::BuiltIn,
    );
    values.apply(
        key::BACKOFF_CAP,
        &stated.backoff_cap,
        &mut route.backoff_cap,
        ValueOrigin::BuiltIn,
    );
    values.apply(
        key::STABLE_AFTER,
        &stated.stable_after,
        &mut route.stable_after,
        ValueOrigin::BuiltIn,
    );
    values.apply(
        key::MAX_RETRY_AFTER,
        &stated.max_retry_after,
        &mut route.max_retry_after,
        ValueOrigin::Settings,
    );
}

/// Fills what the section leaves out with built-in defaults.
pub(crate) fn resolve_hedging(section: &HedgingSection, handshake_objective: Duration) -> Hedging {
    let fraction = |stated: &Option<Located<f64>>, default| {
        stated.as_ref().map_or(default, |stated| stated.value)
    };
    let duration = |stated: &Option<Located<Duration>>, default| {
        stated.as_ref().map_or(default, |stated| stated.value)
    };
    let default_max_delay = handshake_objective.max(DEFAULT_MIN_HEDGE_DELAY);
    Hedging {
        quantile: fraction(&section.quantile, DEFAULT_HEDGE_QUANTILE),
        min_delay: duration(&section.min_delay, DEFAULT_MIN_HEDGE_DELAY),
        max_delay: duration(&section.max_delay, default_max_delay),
        share: fraction(&section.share, DEFAULT_HEDGE_SHARE),
    }
}

/// Records the values in force of one route and listener while they are resolved.
struct ValueRecorder<'a> {
    route: &'a str,
    listener: &'a str,
    values: Vec<EffectiveValue>,
}

impl ValueRecorder<'_> {
    fn record(&mut self, key: &'static str, value: String, origin: ValueOrigin) {
        self.values.push(EffectiveValue {
            route: self.route.to_string(),
            listener: self.listener.to_string(),
            key,
            value,
            origin,
        });
    }

    /// Overrides a default with the stated value, if there is one, and records what is in force.
    fn apply<T: Copy + ForPeople>(
        &mut self,
        key: &'static str,
        stated: &Option<Located<T>>,
        value: &mut T,
        default_origin: ValueOrigin,
    ) {
        if let Some(stated) = stated {
            *value = stated.value;
        }
        let origin = file_or(stated.as_ref(), default_origin);
        self.record(key, value.for_people(), origin);
    }

    /// Records a value whose default is to have none, and returns it.
    fn optional<T: Copy + ForPeople>(
        &mut self,
        key: &'static str,
        stated: &Option<Located<T>>,
    ) -> Option<T> {
        let value = stated.as_ref().map(|stated| stated.value);
        let text = value.map_or("none".to_string(), |value| value.for_people());
        let origin = file_or(stated.as_ref(), ValueOrigin::BuiltIn);
        self.record(key, text, origin);
        value
    }
}

fn file_or<T>(stated: Option<&Located<T>>, default: ValueOrigin) -> ValueOrigin {
    stated.map_or(default, |stated| ValueOrigin::File(stated.location.line))
}

/// A value as the command line prints it.
trait ForPeople {
    fn for_people(&self) -> String;
}

impl ForPeople for Duration {
    fn for_people(&self) -> String {
        format_duration(*self)
    }
}

impl ForPeople for u32 {
    fn for_people(&self) -> String {
        self.to_string()
    }
}

impl ForPeople for f64 {
    fn for_people(&self) -> String {
        self.to_string()
    }
}

/// A duration in the largest unit in which it is a whole number.
pub(crate) fn format_duration(duration: Duration) -> String {
    let micros = duration.as_micros();
    if micros.is_multiple_of(1_000_000) {
        format!("{}s", micros / 1_000_000)
    } else if micros.is_multiple_of(1_000) {
        format!("{}ms", micros / 1_000)
    } else {
        format!("{micros}us")
    }
}

fn format_hedging(hedging: Hedging) -> String {
    let min_delay = format_duration(hedging.min_delay);
    let max_delay = format_duration(hedging.max_delay);
    let (quantile, share) = (hedging.quantile, hedging.share);
    format!("after quantile {quantile} of set-ups, {min_delay} to {max_delay}, share {share}")
}

/// The name of an idempotency class in messages to operators.
pub(crate) fn idempotency_name(idempotency: Idempotency) -> &'static str {
    match idempotency {
        Idempotency::Idempotent => "repeatable",
        Idempotency::Keyed { .. } => "referenced",
        Idempotency::NonIdempotent => "once-only",
    }
}
