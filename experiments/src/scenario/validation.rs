//! What a scenario has to hold, beyond the types of its keys.
use super::duration_text::Time;
use super::{ListenerTable, Rate, Scenario, Variant, fault_checks};
use std::borrow::Cow;
use std::ops::Range;
use thistlecroft::time::Duration;

const MIN_LENGTH_SECONDS: f64 = 1.0;
const MAX_BACKENDS: usize = 5_000;
const MAX_RELAYS: usize = 200;
const MAX_VOTERS: usize = 7;
/// Descriptors without which no relay starts.
const MIN_SOCKETS: u64 = 64;
const MAX_THREADS: usize = 16;
/// Arrivals a second.
const MAX_RATE: f64 = 1e6;
const MAX_CLIENT_WAIT: Duration = Duration::from_millis(600_000);

/// A value that a scenario can't have, and its place in the text.
pub(super) struct InvalidValue {
    pub(super) at: Range<usize>,
    pub(super) reason: String,
}

type Checked = Result<(), InvalidValue>;

/// Checks a whole scenario; the first thing that is wrong is the error.
pub(super) fn check(scenario: &Scenario, text: &str) -> Checked {
    let text = Text(text);
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

/// The scenario's text, to find the places of keys in it.
struct Text<'a>(&'a str);

impl Text<'_> {
    /// An error at a key of a table that stands in the text once.
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

fn check_fleet(scenario: &Scenario, text: &Text) -> Checked {
    if scenario.length.0.as_secs_f64() < MIN_LENGTH_SECONDS {
        return text.invalid("", "length", "a run lasts a second at least");
    }
    let fleet = &scenario.fleet;
    if fleet.backends == 0 || fleet.backends > MAX_BACKENDS {
        return text.invalid("fleet", "boxes", "between 1 and 5000");
    }
    if fleet.initially_stopped >= fleet.backends {
        return text.invalid("fleet", "later", "at least one box is there from the start");
    }
    if fleet.zones.is_empty() {
        return text.invalid("fleet", "zones", "at least one");
    }
    if fleet.capacity.is_nan() || fleet.capacity <= 0.0 {
        return text.invalid("fleet", "capacity", "more than nothing");
    }
    if !(0.01..=1.0).contains(&fleet.warm_up_initial_share) {
        return text.invalid("fleet", "cold_share", "between 0.01 and 1");
    }
    if fleet.announcement_delay[0] > fleet.announcement_delay[1] {
        return text.invalid("fleet", "notice", "the least comes first, then the most");
    }
    Ok(())
}

fn check_relays(scenario: &Scenario, text: &Text) -> Checked {
    let relays = &scenario.relays;
    if relays.count == 0 || relays.count > MAX_RELAYS {
        return text.invalid("relays", "count", "between 1 and 200");
    }
    if relays.initially_stopped >= relays.count {
        let reason = "at least one relay is there from the start";
        return text.invalid("relays", "later", reason);
    }
    if relays.peers && relays.voters > MAX_VOTERS.min(relays.count - relays.initially_stopped) {
        let reason = "7 at most, of those that are there from the start";
        return text.invalid("relays", "voters", reason);
    }
    if relays.sockets < MIN_SOCKETS {
        return text.invalid("relays", "sockets", "a relay needs 64 at least");
    }
    Ok(())
}

fn check_traffic(scenario: &Scenario, text: &Text) -> Checked {
    let traffic = &scenario.traffic;
    let is_part = |part: f64| (0.0..=1.0).contains(&part);
    if !is_part(traffic.retry_after_share) || !is_part(traffic.impatient_share) {
        let reason = "heeds and impatient are parts, between 0 and 1";
        return text.invalid("traffic", "heeds", reason);
    }
    if traffic.reconnect_delay[0] > traffic.reconnect_delay[1] {
        return text.invalid("traffic", "rejoin", "the least comes first, then the most");
    }
    if traffic.message_interval.0 == Duration::ZERO {
        return text.invalid("traffic", "beat", "more than nothing");
    }
    if traffic.threads == 0 || traffic.threads > MAX_THREADS {
        return text.invalid("traffic", "threads", "between 1 and 16");
    }
    let steps = match &traffic.rate {
        Rate::Even(rate) => vec![(Time::default(), *rate)],
        Rate::Steps(steps) => steps.clone(),
    };
    if !steps
        .iter()
        .all(|&(_, rate)| (0.0..=MAX_RATE).contains(&rate))
    {
        return text.invalid("traffic", "rate", "between 0 and a million a second");
    }
    if steps.windows(2).any(|pair| pair[0].0 >= pair[1].0) {
        return text.invalid("traffic", "rate", "times must rise");
    }
    Ok(())
}

fn check_listeners(scenario: &Scenario, text: &Text) -> Checked {
    if scenario.listeners.is_empty() {
        return text.invalid("", "listener", "at least one");
    }
    let mut names: Vec<&str> = Vec::new();
    for listener in &scenario.listeners {
        let fails = |reason: Cow<'static, str>| InvalidValue {
            at: listener.span(),
            reason: reason.into_owned(),
        };
        let listener = listener.get_ref();
        check_listener(listener, &names).map_err(fails)?;
        names.push(&listener.name);
    }
    Ok(())
}

/// The error is the key and the reason.
fn check_listener(
    listener: &ListenerTable,
    names_before: &[&str],
) -> Result<(), Cow<'static, str>> {
    let is_name_character = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-';
    if listener.name.is_empty() || !listener.name.bytes().all(is_name_character) {
        return Err("name: letters, digits and hyphens".into());
    }
    if names_before.contains(&listener.name.as_str()) {
        return Err(format!("a second listener \"{}\"", listener.name).into());
    }
    if listener.share.is_nan() || listener.share <= 0.0 {
        return Err("share: more than nothing".into());
    }
    let [least, most] = listener.load_range;
    if least.is_nan() || least < 0.0 || most.is_nan() || most < least {
        return Err("load: the least comes first, then the most".into());
    }
    if listener.answer_timeout.0 > MAX_CLIENT_WAIT
        || listener.answer_timeout < listener.handshake_target
    {
        return Err("wait: between the handshake target and ten minutes".into());
    }
    Ok(())
}

fn check_variant(variant: &Variant) -> Result<(), &'static str> {
    if variant.baseline.is_some() && (variant.relay.is_some() || variant.arguments.is_some()) {
        return Err("a baseline has no relay");
    }
    let is_name_character =
        |character: char| character.is_ascii_alphanumeric() || matches!(character, '-' | '_');
    if variant.name.is_empty() || !variant.name.chars().all(is_name_character) {
        return Err("name: letters, digits and hyphens");
    }
    Ok(())
}
