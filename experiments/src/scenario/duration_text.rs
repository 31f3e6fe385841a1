//! Durations as text: a number and a unit, such as `250ms`, `1.5s` or `2m`.
use serde::de::{Deserialize, Deserializer, Error};
use thiserror::Error;
use thistlecroft::time::Duration;

/// A duration in a scenario file, written as text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct DurationText(pub Duration);

impl DurationText {
    /// Returns a duration of `ms` milliseconds.
    pub const fn from_millis(ms: u64) -> DurationText {
        DurationText(Duration::from_millis(ms))
    }
}

/// Parses a number with a unit as a duration.
///
/// # Errors
/// Returns an error if the text is not a number followed by a known unit.
pub fn parse_duration(text: &str) -> Result<Duration, InvalidDuration> {
    Duration::parse(text).ok_or_else(|| InvalidDuration(text.into()))
}

/// The error for text that is not a duration.
#[derive(Clone, Debug, Error)]
#[error("\"{0}\" is not a duration such as \"250ms\", \"1.5s\" or \"2m\"")]
pub struct InvalidDuration(String);

impl<'de> Deserialize<'de> for DurationText {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<DurationText, D::Error> {
        let text = String::deserialize(deserializer)?;
        parse_duration(&text)
            .map(DurationText)
            .map_err(D::Error::custom)
    }
}
