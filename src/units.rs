//! Points in time and spans, in whole microseconds; two types so that one can't stand for the
//! other. And chance.
use std::ops::{Add, AddAssign, Mul, Sub};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(u64);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(u64);

impl Moment {
    pub const fn from_us(us: u64) -> Self {
        Moment(us)
    }

    pub const fn us(self) -> u64 {
        self.0
    }

    /// Zero where `earlier` is in fact later: reports and lists may name moments still to come.
    pub const fn since(self, earlier: Moment) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    pub const ZERO: Span = Span(0);

    pub const fn from_us(us: u64) -> Self {
        Span(us)
    }

    pub const fn from_ms(ms: u64) -> Self {
        Span(ms * 1_000)
    }

    pub const fn us(self) -> u64 {
        self.0
    }

    /// As people write it, a figure and its unit: `10us`, `250ms`, `1.5s`, `2m`, `1h`. None where
    /// it is not written so.
    pub fn written(text: &str) -> Option<Span> {
        let (figure, unit) =
            text.split_at(text.find(|sign: char| !sign.is_ascii_digit() && sign != '.')?);
        let us = match unit {
            "us" => 1.0,
            "ms" => 1e3,
            "s" => 1e6,
            "m" => 60e6,
            "h" => 3_600e6,
            _ => return None,
        };
        Some(Span((figure.parse::<f64>().ok()? * us).round() as u64))
    }

    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Add<Span> for Moment {
    type Output = Moment;
    fn add(self, span: Span) -> Moment {
        Moment(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Moment {
    type Output = Moment;
    fn sub(self, span: Span) -> Moment {
        Moment(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Span {
    fn add_assign(&mut self, other: Span) {
        *self = *self + other;
    }
}

impl Sub for Span {
    type Output = Span;
    fn sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

/// A negative or unordered factor gives an empty span.
impl Mul<f64> for Span {
    type Output = Span;
    fn mul(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor) as u64)
    }
}

/// Chance from a given seed: the same seed, the same course.
#[derive(Clone, Debug)]
pub struct Chance(oorandom::Rand64);

impl Chance {
    pub fn from_seed(seed: u64) -> Chance {
        Chance(oorandom::Rand64::new(u128::from(seed)))
    }

    /// From 0 up to, not including, 1.
    pub fn float(&mut self) -> f64 {
        self.0.rand_float()
    }

    pub fn below(&mut self, top: u64) -> u64 {
        self.0.rand_range(0..top)
    }
}

impl Default for Chance {
    fn default() -> Chance {
        Chance::from_seed(0)
    }
}
