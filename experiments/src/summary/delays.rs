//! Delay quantiles.
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

const MICROS_PER_MILLI: f64 = 1e3;

/// Quantiles of delays, in milliseconds; all zero if nothing was measured.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Delays {
    /// The number of measured delays.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// The 90th percentile.
    pub p90: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
    pub p99_9: f64,
    /// The longest delay.
    #[serde(rename = "most")]
    pub max: f64,
}

impl Delays {
    /// Computes the quantiles of delays that are recorded in microseconds.
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
