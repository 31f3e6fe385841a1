//! The section `invariants`: the limits that the platform requires relays to keep.
use crate::SettingsError;
use serde::Deserialize;
use thistlecroft::deployment::{RetryBudget, SlowStart};
use thistlecroft::time::Duration;

/// The grace period of draining backends where the settings state none. It is longer than that of
/// any known platform.
const DEFAULT_DRAIN_GRACE: Duration = Duration::from_millis(3_200);

const RETRY_BUDGET_FREE: &str = "extraFree";
const RETRY_BUDGET_SHARE: &str = "repeatRatio";
const RETRY_BUDGET_WINDOW: &str = "extraWindowUs";

#[derive(Deserialize)]
pub(crate) struct InvariantsText {
    #[serde(rename = "askWithinUs")]
    poll_within_us: u64,
    #[serde(rename = "coldUs")]
    warm_up_us: u64,
    #[serde(rename = "drainGraceUs")]
    drain_grace_us: Option<u64>,
    #[serde(rename = "fallUs")]
    overload_window_us: u64,
    #[serde(rename = "overloadFactor")]
    overload_factor: f64,
    #[serde(rename = "startCapacity")]
    initial_share: f64,
    #[serde(default, rename = "extraFree")]
    retry_budget_free: Option<f64>,
    #[serde(default, rename = "repeatRatio")]
    retry_budget_share: Option<f64>,
    #[serde(default, rename = "extraWindowUs")]
    retry_budget_window_us: Option<f64>,
}

impl InvariantsText {
    pub(crate) fn poll_within(&self) -> Duration {
        Duration::from_micros(self.poll_within_us)
    }

    pub(crate) fn drain_grace(&self) -> Duration {
        let stated = self.drain_grace_us;
        stated.map_or(DEFAULT_DRAIN_GRACE, Duration::from_micros)
    }

    pub(crate) fn slow_start(&self) -> SlowStart {
        SlowStart {
            initial_share: self.initial_share,
            warm_up: Duration::from_micros(self.warm_up_us),
            overload_factor: self.overload_factor,
            window: Duration::from_micros(self.overload_window_us),
        }
    }

    /// Returns the retry budget, or `None` where neither `extraFree` nor `repeatRatio` is stated. A
    /// missing one of the two is zero.
    ///
    /// # Errors
    /// Returns an error if a value is negative or not finite, or if the budget has no window.
    pub(crate) fn retry_budget(&self) -> Result<Option<RetryBudget>, SettingsError> {
        let (free, share) = (self.retry_budget_free, self.retry_budget_share);
        check_not_negative(RETRY_BUDGET_FREE, free)?;
        check_not_negative(RETRY_BUDGET_SHARE, share)?;
        check_not_negative(RETRY_BUDGET_WINDOW, self.retry_budget_window_us)?;
        let window_us = self.retry_budget_window_us.filter(|&us| us > 0.0);
        let first_stated = share
            .map(|_| RETRY_BUDGET_SHARE)
            .or(free.map(|_| RETRY_BUDGET_FREE));
        match (first_stated, window_us) {
            (None, _) => Ok(None),
            (Some(key), None) => Err(SettingsError::RetryBudgetWithoutWindow { key }),
            (Some(_), Some(window_us)) => Ok(Some(RetryBudget {
                free: free.unwrap_or(0.0),
                share: share.unwrap_or(0.0),
                window: Duration::from_micros(window_us as u64),
            })),
        }
    }
}

fn check_not_negative(key: &'static str, value: Option<f64>) -> Result<(), SettingsError> {
    match value {
        Some(value) if !value.is_finite() || value < 0.0 => {
            Err(SettingsError::InvalidRetryBudget { key, value })
        }
        _ => Ok(()),
    }
}
