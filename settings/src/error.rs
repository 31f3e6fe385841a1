//! Why settings are rejected.
use thiserror::Error;

/// Why settings are rejected, as one line of text.
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
    #[error("settings: listener \"{name}\" stands twice")]
    RepeatedListener {
        /// The name of both.
        name: String,
    },
    /// A session has no attempt.
    #[error("settings: maxDials is zero")]
    ZeroAttempts,
    /// The relay's index does not fit the number of relays.
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
        /// The key in the text.
        key: &'static str,
        /// Its value.
        value: f64,
    },
    /// A value of the retry budget has no effect, since the budget has no window.
    #[error("settings: invariants.{key} without a window (extraWindowUs)")]
    RetryBudgetWithoutWindow {
        /// The key in the text.
        key: &'static str,
    },
}
