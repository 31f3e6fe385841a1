//! Durations as people write them: `250ms`, `1.5s`, `2m`.
use serde::de::{Deserialize, Deserializer, Error};
use thiserror::Error;
use thistlecroft::time::Duration;

/// A duration of a scenario.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub Duration);

impl Time {
    /// So many milliseconds.
    pub const fn ms(ms: u64) -> Time {
        Time(Duration::from_millis(ms))
    }
}

/// Reads a number and its unit.
///
/// # Errors
/// The text has another form.
pub fn parse_duration(text: &str) -> Result<Duration, InvalidDuration> {
    Duration::parse(text).ok_or_else(|| InvalidDuration(text.into()))
}

/// Text that is no duration.
#[derive(Clone, Debug, Error)]
#[error("\"{0}\" is no span of time, such as \"250ms\", \"1.5s\" or \"2m\"")]
pub struct InvalidDuration(String);

impl<'de> Deserialize<'de> for Time {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Time, D::Error> {
        let text = String::deserialize(from)?;
        parse_duration(&text).map(Time).map_err(D::Error::custom)
    }
}
