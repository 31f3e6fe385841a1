//! Checks the values of a scenario beyond the types of its keys.
use super::duration_text::DurationText;
use super::{ListenerTable, Rate, Scenario, Variant, fault_checks};
use std::borrow::Cow;
use std::ops::Range;
use thistlecroft::time::Duration;

const MIN_LENGTH_SECONDS: f64 = 1.0;
const MAX_BACKENDS: usize = 5_000;
const MAX_RELAYS: usize = 200;
const MAX_VOTERS: usize = 7;
/// A relay does not start with fewer descriptors.
const MIN_SOCKETS: u64 = 64;
const MAX_THREADS: usize = 16;
/// Arrivals per second.
const MAX_RATE: f64 = 1e6;
/// The longest answer timeout that a scenario may give a listener.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_millis(600_000);

/// An invalid value, with its position in the text.
pub(super) struct InvalidValue {
    pub(super) at: Range<usize>,
    pub(super) reason: String,
}

type Checked = Result<(), InvalidValue>;

/// Checks a whole scenario and returns the first error in it.
pub(super) fn check(scenario: &Scenario, text: &str) -> Checked {
    let text = ScenarioText(text);
    check_fleet(scenario, &text)?;
    check_relays(scenario, &text)?;
    check_traffic(scenario, &text)?;
    check_listeners(scenario, &text)?;
    for fault in &scenario.faults {
        fault_checks::check(fault.get_ref(), scenario).map_err(|error| InvalidValue {
            at: fault.span(),
            reason: error.to_string(),
        })?;
    }
    for variant in &scenario.variants {
        check_variant(variant.get_ref()).map_err(|reason| InvalidValue {
            at: variant.span(),
            reason: reason.into(),
        })?;
    }
    Ok(())
}

/// The text of a scenario, in which the positions of keys are looked up.
struct ScenarioText<'a>(&'a str);

impl ScenarioText<'_> {
    /// Returns an error at a key of a table that occurs only once in the text.
    fn invalid(&self, table: &str, key: &str, reason: &str) -> Checked {
        let from = self.0.find(&format!("[{table}]")).unwrap_or(0);
        let line = self.0[from..].find(&format!("\n{key}"));
        let at = from + line.map_or(0, |at| at + 1);
        Err(InvalidValue {
            at: at..at,
            reason: reason.into(),
        })
    }
}

fn check_fleet(scenario: &Scenario, text: &ScenarioText) -> Checked {
    if scenario.length.0.as_secs_f64() < MIN_LENGTH_SECONDS {
        return text.invalid("", "length", "must be at least 1s");
    }
    let fleet = &scenario.fleet;
    if fleet.backends == 0 || fleet.backends > MAX_BACKENDS {
        return text.invalid("fleet", "boxes", "must be between 1 and 5000");
    }
    if fleet.initially_stopped >= fleet.backends {
        let reason = "at least one backend must run from the start";
        return text.invalid("fleet", "later", reason);
    }
    if fleet.zones.is_empty() {
        return text.invalid("fleet", "zones", "must name at least one");
    }
    if fleet.capacity.is_nan() || fleet.capacity <= 0.0 {
        return text.invalid("fleet", "capacity", "must be greater than 0");
    }
    if !(0.01..=1.0).contains(&fleet.warm_up_initial_share) {
        return text.invalid("fleet", "cold_share", "must be between 0.01 and 1");
    }
    if fleet.announcement_delay[0] > fleet.announcement_delay[1] {
        return text.invalid("fleet", "notice", "must be [minimum, maximum]");
    }
    Ok(())
}

fn check_relays(scenario: &Scenario, text: &ScenarioText) -> Checked {
    let relays = &scenario.relays;
    if relays.count == 0 || relays.count > MAX_RELAYS {
        return text.invalid("relays", "count", "must be between 1 and 200");
    }
    if relays.initially_stopped >= relays.count {
        let reason = "at least one relay must run from the start";
        return text.invalid("relays", "later", reason);
    }
    if relays.peers && relays.voters > MAX_VOTERS.min(relays.count - relays.initially_stopped) {
        let reason = "must be at most 7 and at most the number of relays that run from the start";
        return text.invalid("relays", "voters", reason);
    }
    if relays.sockets < MIN_SOCKETS {
        return text.invalid("relays", "sockets", "must be at least 64");
    }
    Ok(())
}

fn check_traffic(scenario: &Scenario, text: &ScenarioText) -> Checked {
    let traffic = &scenario.traffic;
    let is_share = |share: f64| (0.0..=1.0).contains(&share);
    if !is_share(traffic.retry_after_share) || !is_share(traffic.impatient_share) {
        let reason = "heeds and impatient must be between 0 and 1";
        return text.invalid("traffic", "heeds", reason);
    }
    if traffic.reconnect_delay[0] > traffic.reconnect_delay[1] {
        return text.invalid("traffic", "rejoin", "must be [minimum, maximum]");
    }
    if traffic.message_interval.0 == Duration::ZERO {
        return text.invalid("traffic", "beat", "must be greater than 0");
    }
    if traffic.threads == 0 || traffic.threads > MAX_THREADS {
        return text.invalid("traffic", "threads", "must be between 1 and 16");
    }
    let points = match &traffic.rate {
        Rate::Constant(rate) => vec![(DurationText::default(), *rate)],
        Rate::Interpolated(points) => points.clone(),
    };
    if !points
        .iter()
        .all(|&(_, rate)| (0.0..=MAX_RATE).contains(&rate))
    {
        return text.invalid(
            "traffic",
            "rate",
            "must be between 0 and 1000000 per second",
        );
    }
    if points.windows(2).any(|pair| pair[0].0 >= pair[1].0) {
        return text.invalid("traffic", "rate", "times must increase");
    }
    Ok(())
}

fn check_listeners(scenario: &Scenario, text: &ScenarioText) -> Checked {
    if scenario.listeners.is_empty() {
        return text.invalid("", "listener", "there must be at least one");
    }
    let mut names: Vec<&str> = Vec::new();
    for listener in &scenario.listeners {
        let invalid = |reason: Cow<'static, str>| InvalidValue {
            at: listener.span(),
            reason: reason.into_owned(),
        };
        let listener = listener.get_ref();
        check_listener(listener, &names).map_err(invalid)?;
        names.push(&listener.name);
    }
    Ok(())
}

/// Checks one listener; the error names the key and the reason.
fn check_listener(
    listener: &ListenerTable,
    names_before: &[&str],
) -> Result<(), Cow<'static, str>> {
    let is_name_character = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-';
    if listener.name.is_empty() || !listener.name.bytes().all(is_name_character) {
        return Err("name: must consist of letters, digits and hyphens".into());
    }
    if names_before.contains(&listener.name.as_str()) {
        return Err(format!("name: there is already a listener \"{}\"", listener.name).into());
    }
    if listener.share.is_nan() || listener.share <= 0.0 {
        return Err("share: must be greater than 0".into());
    }
    let [min, max] = listener.load_range;
    if min.is_nan() || min < 0.0 || max.is_nan() || max < min {
        return Err("load: must be [minimum, maximum], both 0 or more".into());
    }
    if listener.answer_timeout.0 > MAX_ANSWER_TIMEOUT
        || listener.answer_timeout < listener.handshake_target
    {
        return Err("wait: must be between the handshake target and ten minutes".into());
    }
    Ok(())
}

fn check_variant(variant: &Variant) -> Result<(), &'static str> {
    if variant.baseline.is_some() && (variant.relay.is_some() || variant.arguments.is_some()) {
        return Err("a baseline has neither `relay` nor `arguments`");
    }
    let is_name_character =
        |character: char| character.is_ascii_alphanumeric() || matches!(character, '-' | '_');
    if variant.name.is_empty() || !variant.name.chars().all(is_name_character) {
        return Err("name: must consist of letters, digits, hyphens and underscores");
    }
    Ok(())
}
