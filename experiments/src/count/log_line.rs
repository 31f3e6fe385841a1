//! One line of a relay's log at level debug, as the relay's module `trace` writes it.
use std::collections::BTreeMap;

/// The events that are counted.
const EVENTS: &[&str] = &[
    "arrived",
    "dial",
    "ended",
    "inherited",
    "left",
    "list",
    "probe",
    "probed",
    "ready",
    "refuse",
    "sent_away",
    "subscribe",
    "torn_down",
    "withdraw",
];

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
        let name = words.next().filter(|name| EVENTS.contains(name))?;
        let fields = words.filter_map(|word| word.split_once('=')).collect();
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
        let outcome = self.field("verdict");
        match self.name {
            "ended" => format!("ended:{outcome}"),
            "probed" if outcome != "Ok" => format!("probed:{outcome}"),
            "probed" if self.number("load").is_none() && self.number("held").is_none() => {
                "probed:nothing".into()
            }
            name => name.to_string(),
        }
    }
}
