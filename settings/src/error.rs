//! The errors of [`crate::parse`].
use thiserror::Error;

/// The reason why settings are rejected. Its text is one line.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not JSON, a key is missing, or a value has another type.
    #[error("settings: {0}")]
    Json(#[from] serde_json::Error),
    /// The deployment has no listener.
    #[error("settings: no listeners")]
    NoListeners,
    /// A listener gives its sessions no time.
    #[error("settings: listener \"{name}\": deadlineUs is zero")]
    ZeroDeadline {
        /// The listener's name.
        name: String,
    },
    /// Two listeners have the same name.
    #[error("settings: listener \"{name}\" is listed twice")]
    RepeatedListener {
        /// The name that both have.
        name: String,
    },
    /// A keyed listener does not say which backends recognise a repeated request, or for how long.
    #[error("settings: missing field `{key}` of listener \"{name}\", whose effect is dedup")]
    MissingDeduplicationKey {
        /// The listener's name.
        name: String,
        /// The missing key.
        key: &'static str,
    },
    /// Settings that were read again lack a key that the former ones state.
    #[error("settings: missing field `{path}`, which the former settings state")]
    LostKey {
        /// The path of the key.
        path: &'static str,
    },
    /// The settings permit no attempt at all.
    #[error("settings: maxDials is zero")]
    ZeroAttempts,
    /// The relay's index is not below the number of relays.
    #[error("settings: relay {index} of {count}")]
    RelayOutOfRange {
        /// The relay's index, counted from 0.
        index: u32,
        /// The number of relays.
        count: u32,
    },
    /// A value of the retry budget is negative or not finite.
    #[error("settings: invariants.{key}: {value} is below zero")]
    InvalidRetryBudget {
        /// The key in the section `invariants`.
        key: &'static str,
        /// The value of the key.
        value: f64,
    },
    /// The retry budget has a value, but no window that it applies to.
    #[error("settings: invariants.{key} without a window (extraWindowUs)")]
    RetryBudgetWithoutWindow {
        /// The key in the section `invariants`.
        key: &'static str,
    },
}
