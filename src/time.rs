//! Points in time and durations, in whole microseconds, for code that receives the time from its
//! caller.
//!
//! [`Instant`] and [`Duration`] are separate from the types of the standard library, so that the
//! same code runs on a real clock and on a simulated one.
use std::ops::{Add, AddAssign, Mul, Sub};

const MICROS_PER_MILLI: u64 = 1_000;
const MICROS_PER_SECOND: f64 = 1e6;

/// A point in time, in microseconds since an origin that the caller chooses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(u64);

/// A length of time in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Duration(u64);

impl Instant {
    /// Returns the point in time that lies this many microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Instant(micros)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the whole milliseconds since the origin, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / MICROS_PER_MILLI
    }

    /// Returns the time that passed since `earlier`. It is zero if `earlier` is in fact later,
    /// since load reports and endpoint lists may name points in time that are still to come.
    pub const fn duration_since(self, earlier: Instant) -> Duration {
        Duration(self.0.saturating_sub(earlier.0))
    }
}

impl Duration {
    /// A duration of zero.
    pub const ZERO: Duration = Duration(0);

    /// Returns a duration of this many microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Duration(micros)
    }

    /// Returns a duration of this many milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Duration(millis * MICROS_PER_MILLI)
    }

    /// Returns the whole duration in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the whole duration in milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / MICROS_PER_MILLI
    }

    /// Returns the duration in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND
    }

    /// Parses a number and its unit, such as `10us`, `250ms`, `1.5s`, `2m` or `1h`. Returns `None`
    /// if the text has another form.
    pub fn parse(text: &str) -> Option<Duration> {
        let is_unit = |character: char| !character.is_ascii_digit() && character != '.';
        let (number, unit) = text.split_at(text.find(is_unit)?);
        let micros_per_unit = match unit {
            "us" => 1.0,
            "ms" => 1e3,
            "s" => 1e6,
            "m" => 60e6,
            "h" => 3_600e6,
            _ => return None,
        };
        let micros = (number.parse::<f64>().ok()? * micros_per_unit).round();
        Some(Duration(micros as u64))
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;
    fn add(self, duration: Duration) -> Instant {
        Instant(self.0.saturating_add(duration.0))
    }
}

impl Sub<Duration> for Instant {
    type Output = Instant;
    fn sub(self, duration: Duration) -> Instant {
        Instant(self.0.saturating_sub(duration.0))
    }
}

impl Add for Duration {
    type Output = Duration;
    fn add(self, other: Duration) -> Duration {
        Duration(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Duration {
    fn add_assign(&mut self, other: Duration) {
        *self = *self + other;
    }
}

impl Sub for Duration {
    type Output = Duration;
    fn sub(self, other: Duration) -> Duration {
        Duration(self.0.saturating_sub(other.0))
    }
}

/// Scales a duration. A negative factor or NaN gives zero.
impl Mul<f64> for Duration {
    type Output = Duration;
    fn mul(self, factor: f64) -> Duration {
        Duration((self.0 as f64 * factor) as u64)
    }
}
