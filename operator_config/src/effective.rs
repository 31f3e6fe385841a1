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

/// The timeouts that the relay enforces for a session.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SessionTimeouts {
    /// The longest time from the client's connection to its answer; `None` means as long as the
    /// client waits.
    pub handshake_timeout: Option<Duration>,
    /// The longest time in which a connection to a backend has to come up.
    pub connect_timeout: Duration,
    /// The longest time without a message on an established session; `None` means no limit.
    pub idle_timeout: Option<Duration>,
}

/// The source of a value in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueOrigin {
    /// The operators' file, at this line, counted from 1.
    File(usize),
    /// The platform's settings.
    Settings,
    /// A default value in this program.
    BuiltIn,
}

/// A value in force, as it is shown to operators.
#[derive(Clone, Debug, PartialEq)]
pub struct EffectiveValue {
    /// The route's name, or [`DEFAULT_ROUTE`].
    pub route: String,
    /// The listener's name.
    pub listener: String,
    /// The key that sets the value in a file.
    pub key: &'static str,
    /// The value as text.
    pub value: String,
    /// The source of the value.
    pub origin: ValueOrigin,
}

/// All limits in force for the sessions of one listener under one route.
pub(crate) struct EffectiveRoute {
    pub(crate) route: Route,
    pub(crate) timeouts: SessionTimeouts,
    pub(crate) values: Vec<EffectiveValue>,
}

/// Resolves a route for one listener: what the section leaves out has the listener's default.
/// Without a section, every value is a default.
pub(crate) fn resolve(
    section: Option<&RouteSection>,
    listener: &ListenerDefaults,
    limits_id: u32,
) -> EffectiveRoute {
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
    let idle_timeout = values.record_optional(key::IDLE_TIMEOUT, &stated.idle_timeout);
    route.retry_share = values.record_optional(key::RETRY_SHARE, &stated.retry_share);
    route.max_sessions = values.record_optional(key::MAX_SESSIONS, &stated.max_sessions);
    let hedging = stated.hedging.as_ref();
    route.hedging = hedging.map(|stated| resolve_hedging(&stated.value, route.handshake_objective));
    let text = route.hedging.map_or("none".to_string(), format_hedging);
    values.record(key::HEDGING, text, origin_of(hedging, ValueOrigin::BuiltIn));
    EffectiveRoute {
        route,
        timeouts: SessionTimeouts {
            handshake_timeout,
            connect_timeout: route.connect_timeout,
            idle_timeout,
        },
        values: values.values,
    }
}

/// Applies the limits of single attempts, and returns the handshake timeout.
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
    let handshake_timeout =
        values.record_optional(key::HANDSHAKE_TIMEOUT, &stated.handshake_timeout);
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

/// Applies the delays between retries of one client.
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

/// Resolves the hedging of a route: what the section leaves out has its built-in default.
pub(crate) fn resolve_hedging(section: &HedgingSection, handshake_objective: Duration) -> Hedging {
    let fraction_or = |stated: &Option<Located<f64>>, default| {
        stated.as_ref().map_or(default, |stated| stated.value)
    };
    let duration_or = |stated: &Option<Located<Duration>>, default| {
        stated.as_ref().map_or(default, |stated| stated.value)
    };
    let default_max_delay = handshake_objective.max(DEFAULT_MIN_HEDGE_DELAY);
    Hedging {
        quantile: fraction_or(&section.quantile, DEFAULT_HEDGE_QUANTILE),
        min_delay: duration_or(&section.min_delay, DEFAULT_MIN_HEDGE_DELAY),
        max_delay: duration_or(&section.max_delay, default_max_delay),
        share: fraction_or(&section.share, DEFAULT_HEDGE_SHARE),
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

    /// Replaces the default in `value` by the stated value, if there is one, and records the
    /// result.
    fn apply<T: Copy + OperatorText>(
        &mut self,
        key: &'static str,
        stated: &Option<Located<T>>,
        value: &mut T,
        default_origin: ValueOrigin,
    ) {
        if let Some(stated) = stated {
            *value = stated.value;
        }
        let origin = origin_of(stated.as_ref(), default_origin);
        self.record(key, value.operator_text(), origin);
    }

    /// Records a value whose default is "none", and returns it.
    fn record_optional<T: Copy + OperatorText>(
        &mut self,
        key: &'static str,
        stated: &Option<Located<T>>,
    ) -> Option<T> {
        let value = stated.as_ref().map(|stated| stated.value);
        let text = value.map_or("none".to_string(), |value| value.operator_text());
        let origin = origin_of(stated.as_ref(), ValueOrigin::BuiltIn);
        self.record(key, text, origin);
        value
    }
}

/// Returns the value's line in the file, or `default` where the file does not state the value.
fn origin_of<T>(stated: Option<&Located<T>>, default: ValueOrigin) -> ValueOrigin {
    stated.map_or(default, |stated| ValueOrigin::File(stated.location.line))
}

/// Formats a value as the command line prints it.
trait OperatorText {
    fn operator_text(&self) -> String;
}

impl OperatorText for Duration {
    fn operator_text(&self) -> String {
        format_duration(*self)
    }
}

impl OperatorText for u32 {
    fn operator_text(&self) -> String {
        self.to_string()
    }
}

impl OperatorText for f64 {
    fn operator_text(&self) -> String {
        self.to_string()
    }
}

/// Formats a duration in the largest of `s`, `ms` and `us` in which it is a whole number.
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

/// Returns the name of an idempotency class in messages to operators.
pub(crate) fn idempotency_name(idempotency: Idempotency) -> &'static str {
    match idempotency {
        Idempotency::Idempotent => "repeatable",
        Idempotency::Keyed { .. } => "referenced",
        Idempotency::NonIdempotent => "once-only",
    }
}
