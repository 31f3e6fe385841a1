//! The platform's settings: JSON text that describes a deployment, parsed into [`Settings`].
//!
//! Each section of the text has a module that defines its keys and converts its values. Unknown
//! keys are ignored. The crate does no I/O.
mod changes;
mod costs;
mod error;
mod extensions;
mod invariants;
mod listeners;
mod permissions;
mod report;
mod stated_keys;
mod text;
mod transition;

#[cfg(test)]
mod tests;

pub use error::SettingsError;
pub use report::{CONNECTION_FIELDS, LOAD_FIELDS, ReportFields};

use stated_keys::StatedKeys;
use thistlecroft::deployment::Deployment;
use thistlecroft::time::Duration;

/// Parsed settings. Listeners and zones are in the order of the text; other values refer to them by
/// their index.
#[derive(Clone)]
pub struct Settings {
    /// The part of the settings that the balancer decides by.
    pub deployment: Deployment,
    /// The fields of load reports that the balancer uses.
    pub report_fields: ReportFields,
    /// The names of the zones, by index.
    pub zones: Vec<String>,
    /// The names of the listeners, by index.
    pub listeners: Vec<String>,
    /// The time that clients of each listener wait for the end of a handshake.
    pub client_timeouts: Vec<Duration>,
    /// The time after which backends close connections that carried no work; zero for never.
    pub backend_idle_timeout: Duration,
    /// The time in which new sessions may still be sent to a backend after the notification that it
    /// is draining.
    pub drain_grace: Duration,
    /// The time from the shutdown signal within which all sessions have to end.
    pub shutdown_timeout: Duration,
    /// Whether relays may exchange messages.
    pub may_use_peers: bool,
    /// Whether the value that backends report for a connection is the latency of its messages, in
    /// milliseconds, instead of its load.
    pub connection_value_is_latency: bool,
    /// The keys with a default that the text states.
    stated_keys: StatedKeys,
}

impl Settings {
    /// Checks that settings which were read later have every key that these state. A key that was
    /// lost would silently fall back to its default, which may be less strict.
    ///
    /// # Errors
    /// Returns an error that names the first lost key.
    pub fn check_keeps_keys(&self, later: &Settings) -> Result<(), SettingsError> {
        match self.stated_keys.first_missing_in(&later.stated_keys) {
            Some(path) => Err(SettingsError::LostKey { path }),
            None => Ok(()),
        }
    }
}

/// Parses settings.
///
/// # Errors
/// Returns the first error in the text.
pub fn parse(text: &[u8]) -> Result<Settings, SettingsError> {
    let settings_text: text::SettingsText = serde_json::from_slice(text)?;
    let stated_keys = StatedKeys::of(&serde_json::from_slice(text)?);
    Settings::from_text(settings_text, stated_keys)
}
