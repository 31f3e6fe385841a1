//! The platform's settings: JSON text that describes a deployment, parsed into [`Settings`].
//!
//! Each section of the text has a module, which names its keys and converts its values. Unknown
//! keys are ignored. The crate does no I/O.
mod costs;
mod error;
mod extensions;
mod invariants;
mod listeners;
mod permissions;
mod report;
mod text;
mod transition;

#[cfg(test)]
mod tests;

pub use error::SettingsError;
pub use report::{CONNECTION_FIELDS, LOAD_FIELDS, ReportFields};

use thistlecroft::deployment::Deployment;
use thistlecroft::time::Duration;

/// Parsed settings. Listeners and zones are in the order of the text, which their indices refer to.
#[derive(Clone)]
pub struct Settings {
    /// What the decisions need.
    pub deployment: Deployment,
    /// Where load reports carry the values that the decisions use.
    pub report_fields: ReportFields,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The names of the listeners.
    pub listeners: Vec<String>,
    /// How long the clients of each listener wait for the end of a handshake.
    pub client_timeouts: Vec<Duration>,
    /// Backends close connections that carried no work for this long; zero for never.
    pub backend_idle_timeout: Duration,
    /// After the notification that a backend is draining, new sessions may still be sent to it for
    /// this long.
    pub drain_grace: Duration,
    /// Relays may exchange messages.
    pub may_use_peers: bool,
    /// Backends report the latency of a connection's messages in milliseconds, not its load.
    pub notes_carry_latency: bool,
}

/// Parses settings.
///
/// # Errors
/// The first thing that is wrong with the text.
pub fn parse(text: &[u8]) -> Result<Settings, SettingsError> {
    let text: text::SettingsText = serde_json::from_slice(text)?;
    text.try_into()
}
