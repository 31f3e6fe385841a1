//! Parses lines of a relay's debug log, as the relay's module `trace` writes them.
use std::collections::BTreeMap;

/// The names of the events that are counted.
const EVENTS: &[&str] = &[
    "arrived",
    "cancel",
    "check_health",
    "connect",
    "ended",
    "endpoints",
    "fail",
    "health_checked",
    "inherited",
    "left",
    "migrate",
    "ready",
    "reject",
    "subscribe",
];

/// Former names of events with their present names. Relays built before December 2026 write the
/// former ones, and a fleet may run both versions.
const FORMER_EVENTS: &[(&str, &str)] = &[
    ("dial", "connect"),
    ("list", "endpoints"),
    ("probe", "check_health"),
    ("probed", "health_checked"),
    ("refuse", "reject"),
    ("sent_away", "migrate"),
    ("torn_down", "fail"),
    ("withdraw", "cancel"),
];

/// Former keys of event fields, which relays built before December 2026 write, with their present
/// keys.
const FORMER_KEYS: &[(&str, &str)] = &[
    ("box", "backend"),
    ("held", "connections"),
    ("verdict", "outcome"),
];

/// Returns the present name for a former one, and any other name unchanged.
fn present_name<'a>(name: &'a str, former_names: &[(&str, &'static str)]) -> &'a str {
    former_names
        .iter()
        .find(|(former, _)| *former == name)
        .map_or(name, |(_, present)| present)
}

/// A log line with its time.
pub(super) struct LogLine<'a> {
    /// The number of seconds that a log collector wrote before the timestamp, or else the seconds
    /// since midnight from the timestamp.
    pub(super) at_s: f64,
    /// The text after the timestamp.
    pub(super) message: &'a str,
}

impl LogLine<'_> {
    /// Parses a line; returns `None` if it has no timestamp.
    pub(super) fn parse(line: &str) -> Option<LogLine<'_>> {
        let (prefix, rest) = line.split_once('[')?;
        let (timestamp, message) = rest.split_once("] ")?;
        if let Ok(at_s) = prefix.trim().parse() {
            return Some(LogLine { at_s, message });
        }
        let clock = timestamp.split_once('T')?.1.get(..8)?;
        let parts: Result<Vec<f64>, _> = clock.split(':').map(str::parse).collect();
        let at_s = parts.ok()?.iter().fold(0.0, |sum, part| sum * 60.0 + part);
        Some(LogLine { at_s, message })
    }
}

/// A logged event of the balancer, with its fields.
pub(super) struct LoggedEvent<'a> {
    pub(super) name: &'a str,
    fields: BTreeMap<&'a str, &'a str>,
}

impl<'a> LoggedEvent<'a> {
    /// Parses a message; returns `None` if it is not an event that is counted.
    pub(super) fn parse(message: &'a str) -> Option<LoggedEvent<'a>> {
        let mut words = message.split(' ');
        let name = present_name(words.next()?, FORMER_EVENTS);
        if !EVENTS.contains(&name) {
            return None;
        }
        let fields = words
            .filter_map(|word| word.split_once('='))
            .map(|(key, value)| (present_name(key, FORMER_KEYS), value))
            .collect();
        Some(LoggedEvent { name, fields })
    }

    /// Returns the value of a field, or an empty string if there is no such field.
    pub(super) fn field(&self, key: &str) -> &'a str {
        self.fields.get(key).copied().unwrap_or_default()
    }

    /// Returns the value of a numeric field. A negative number means that there is no value.
    pub(super) fn number(&self, key: &str) -> Option<f64> {
        let number = self.field(key).parse::<f64>().ok()?;
        (number >= 0.0).then_some(number)
    }

    /// Returns the label under which the event is counted.
    pub(super) fn label(&self) -> String {
        let outcome = self.field("outcome");
        match self.name {
            "ended" => format!("ended:{outcome}"),
            "health_checked" if outcome != "Ok" => format!("health_checked:{outcome}"),
            "health_checked"
                if self.number("load").is_none() && self.number("connections").is_none() =>
            {
                "health_checked:nothing".into()
            }
            name => name.to_string(),
        }
    }
}
