//! The deployment that a file is checked against.
use thistlecroft::deployment::Route;
use thistlecroft::time::Duration;

/// A listener of the deployment, as the settings describe it.
#[derive(Clone, Debug)]
pub struct ListenerDefaults {
    /// The listener's name in the settings.
    pub name: String,
    /// The longest time that its clients wait for the end of a handshake.
    pub client_timeout: Duration,
    /// The limits of its sessions where no route of the file matches.
    pub route: Route,
}

/// The relay that a file is for, with its deployment.
#[derive(Clone, Debug)]
pub struct RelayContext {
    /// All listeners of the deployment. A route table refers to them by their index.
    pub listeners: Vec<ListenerDefaults>,
    /// The names of all zones of the deployment.
    pub zones: Vec<String>,
    /// The index of the relay's own zone among `zones`.
    pub zone: usize,
    /// Whether the settings permit two attempts of a session at once, and the cancellation of one
    /// of them.
    pub may_hedge: bool,
    /// Whether the settings permit relays to exchange messages.
    pub may_use_peers: bool,
    /// The number of file descriptors available to sessions.
    pub descriptors: usize,
}

impl RelayContext {
    pub(crate) fn listener_names(&self) -> Vec<&str> {
        let listeners = self.listeners.iter();
        listeners.map(|listener| listener.name.as_str()).collect()
    }

    pub(crate) fn zone_names(&self) -> Vec<&str> {
        self.zones.iter().map(String::as_str).collect()
    }

    /// Returns the name of the relay's own zone; empty where the settings name no zones.
    pub(crate) fn own_zone(&self) -> &str {
        self.zones.get(self.zone).map_or("", String::as_str)
    }
}
