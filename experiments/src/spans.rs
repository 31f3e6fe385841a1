//! Spans as people write them: `250ms`, `1.5s`, `2m`.
use serde::de::{Deserialize, Deserializer, Error};
use thistlecroft::time::Duration;

/// A span of a scenario.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub Duration);

impl Time {
    pub const fn ms(ms: u64) -> Time {
        Time(Duration::from_millis(ms))
    }
}

/// # Errors
/// One line that shows how spans are written.
pub fn span(text: &str) -> Result<Duration, String> {
    Duration::parse(text).ok_or_else(|| {
        format!("\"{text}\" is no span of time, such as \"250ms\", \"1.5s\" or \"2m\"")
    })
}

impl<'de> Deserialize<'de> for Time {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Time, D::Error> {
        let text = String::deserialize(from)?;
        span(&text).map(Time).map_err(D::Error::custom)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn spans_are_read_with_their_units() {
        let cases = [
            ("250ms", Some(250_000)),
            ("1.5s", Some(1_500_000)),
            ("2m", Some(120_000_000)),
            ("10us", Some(10)),
            ("1h", Some(3_600_000_000)),
            ("250", None),
            ("ms", None),
            ("", None),
            ("-1s", None),
            ("1.2.3s", None),
            ("3 s", None),
        ];
        for (text, us) in cases {
            assert_eq!(span(text).ok().map(Duration::as_micros), us, "{text}");
        }
    }
}
