//! One line of a relay's log at level debug, as the relay's module `trace` writes it.
use std::collections::BTreeMap;

/// The events that are counted.
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

/// What relays until December 2026 wrote, and what is written since: a fleet may run both.
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

/// The same for the keys of fields that are read.
const FORMER_KEYS: &[(&str, &str)] = &[
    ("box", "backend"),
    ("held", "connections"),
    ("verdict", "outcome"),
];

fn present_name<'a>(name: &'a str, former_names: &[(&str, &'static str)]) -> &'a str {
    former_names
        .iter()
        .find(|(former, _)| *former == name)
        .map_or(name, |(_, present)| present)
}

/// A line with its time.
pub(super) struct LogLine<'a> {
    /// Seconds from before the stamp, where a collector wrote them there, else of the stamp's day.
    pub(super) at_s: f64,
    /// What stands behind the stamp.
    pub(super) message: &'a str,
}

impl LogLine<'_> {
    /// None where the line has no stamp.
    pub(super) fn parse(line: &str) -> Option<LogLine<'_>> {
        let (before, rest) = line.split_once('[')?;
        let (stamp, message) = rest.split_once("] ")?;
        if let Ok(at_s) = before.trim().parse() {
            return Some(LogLine { at_s, message });
        }
        let clock = stamp.split_once('T')?.1.get(..8)?;
        let parts: Result<Vec<f64>, _> = clock.split(':').map(str::parse).collect();
        let at_s = parts.ok()?.iter().fold(0.0, |sum, part| sum * 60.0 + part);
        Some(LogLine { at_s, message })
    }
}

/// An event of the balancer and its fields.
pub(super) struct LoggedEvent<'a> {
    pub(super) name: &'a str,
    fields: BTreeMap<&'a str, &'a str>,
}

impl<'a> LoggedEvent<'a> {
    /// None where the message is none of the events that are counted.
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

    /// Empty where there is no such field.
    pub(super) fn field(&self, key: &str) -> &'a str {
        self.fields.get(key).copied().unwrap_or_default()
    }

    /// A field that holds a number; a negative one stands for none.
    pub(super) fn number(&self, key: &str) -> Option<f64> {
        let number = self.field(key).parse::<f64>().ok()?;
        (number >= 0.0).then_some(number)
    }

    /// What the event is counted as.
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
