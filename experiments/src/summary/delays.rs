//! Quantiles of delays.
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

const MICROS_PER_MILLI: f64 = 1e3;

/// Milliseconds; all zero where nothing was measured.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Delays {
    /// How many were measured.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// Nine in ten are shorter.
    pub p90: f64,
    /// 99 in 100 are shorter.
    pub p99: f64,
    /// 999 in 1,000 are shorter.
    pub p99_9: f64,
    /// The longest.
    #[serde(rename = "most")]
    pub max: f64,
}

impl Delays {
    /// The quantiles of delays in microseconds.
    pub(super) fn new(micros: &Histogram<u32>) -> Delays {
        if micros.is_empty() {
            return Delays::default();
        }
        let to_millis = |micros: u64| micros as f64 / MICROS_PER_MILLI;
        let quantile = |quantile| to_millis(micros.value_at_quantile(quantile));
        Delays {
            count: micros.len(),
            p50: quantile(0.5),
            p90: quantile(0.9),
            p99: quantile(0.99),
            p99_9: quantile(0.999),
            max: to_millis(micros.max()),
        }
    }
}
