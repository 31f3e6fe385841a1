//! The section `extra`: features that only some deployments have.
use serde::Deserialize;
use thistlecroft::time::Duration;

#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct ExtensionsText {
    #[serde(rename = "groups")]
    pub(crate) groups_share_work: bool,
    /// The latency objective of a message at each listener, in microseconds. The order is that of
    /// the listeners.
    #[serde(rename = "messageAimUs")]
    message_objectives_us: Vec<f64>,
    #[serde(rename = "tellsLoad")]
    reports_load: bool,
    #[serde(rename = "tellsDelay")]
    pub(crate) reports_latency: bool,
}

impl ExtensionsText {
    /// Returns the shortest latency objective of a message at any listener; zero where none is
    /// stated.
    pub(crate) fn message_objective(&self, listener_count: usize) -> Duration {
        let objectives = self.message_objectives_us.iter().take(listener_count);
        let shortest = objectives.map(|&us| us as u64).min();
        Duration::from_micros(shortest.unwrap_or_default())
    }

    /// Returns whether the one value that backends report for a connection is the latency of its
    /// messages.
    pub(crate) fn connection_value_is_latency(&self) -> bool {
        self.reports_latency && !self.reports_load
    }
}
