//! The section `permissions`: the actions that the platform permits to relays, and their limits.
use crate::SettingsError;
use serde::Deserialize;
use thistlecroft::time::Duration;

#[derive(Deserialize)]
pub(crate) struct PermissionsText {
    #[serde(default, rename = "connIdleUs")]
    backend_idle_timeout_us: u64,
    #[serde(rename = "dialTimeoutUs")]
    connect_timeout_us: u64,
    #[serde(rename = "maxDials")]
    pub(crate) max_attempts: u32,
    #[serde(rename = "maxRetryAfterUs")]
    max_retry_after_us: u64,
    #[serde(rename = "mayCancel")]
    pub(crate) may_cancel: bool,
    #[serde(default, rename = "parallelTries")]
    pub(crate) may_hedge: bool,
    #[serde(default)]
    pub(crate) peers: bool,
    #[serde(rename = "probes")]
    pub(crate) may_check_health: bool,
    #[serde(rename = "retryAfter")]
    pub(crate) sends_retry_after: bool,
}

impl PermissionsText {
    pub(crate) fn check(&self) -> Result<(), SettingsError> {
        if self.max_attempts == 0 {
            return Err(SettingsError::ZeroAttempts);
        }
        Ok(())
    }

    pub(crate) fn backend_idle_timeout(&self) -> Duration {
        Duration::from_micros(self.backend_idle_timeout_us)
    }

    pub(crate) fn connect_timeout(&self) -> Duration {
        Duration::from_micros(self.connect_timeout_us)
    }

    pub(crate) fn max_retry_after(&self) -> Duration {
        Duration::from_micros(self.max_retry_after_us)
    }
}
