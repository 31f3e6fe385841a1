//! The configuration with which a relay starts: the platform's configuration file, the environment
//! and the operator configuration.
mod environment;
mod error;
mod operator_routes;

use crate::descriptors::RESERVED_DESCRIPTORS;
use crate::discovery::decoding::EndpointList;
use serde::Deserialize;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use thistlecroft_operator_config::{ListenerDefaults, RelayContext, RouteTable};
use thistlecroft_settings::Settings;

pub use error::{ConfigError, ConfigErrors, InheritedSocketError};
pub(crate) use operator_routes::{OperatorConfigFile, OperatorRoutes, PeersWithKey};

/// The lowest accepted limit on descriptors. It covers discovery, health checks and a few clients.
const MIN_SOCKETS: usize = 64;
const MIN_MEMORY_MB: f64 = 8.0;

/// The complete configuration with which a relay starts.
pub struct StartupConfig {
    /// The name of the relay, which all its processes share.
    pub name: String,
    /// The address to which clients connect.
    pub listen: SocketAddr,
    /// The platform's settings.
    pub settings: Settings,
    /// The limit on open descriptors, which all processes of the relay share.
    pub socket_limit: usize,
    /// The address of the discovery agent.
    pub discovery: SocketAddr,
    /// Where the configuration came from.
    pub source: ConfigSource,
    pub(crate) seed: u64,
    pub(crate) memory_mb: usize,
    /// The endpoint list that is cached in the configuration file, if there is one.
    pub(crate) cached_endpoints: Option<EndpointList>,
    pub(crate) operator: OperatorRoutes,
    /// The address of the admin port, if there is one.
    pub(crate) admin: Option<SocketAddr>,
    /// The clients' listening socket, if the platform holds it.
    pub(crate) inherited_listener: Option<TcpListener>,
    /// The folder that the processes of this relay share, if there is one.
    pub(crate) folder: Option<PathBuf>,
}

/// Returns the context against which an operator configuration is checked, for these settings and
/// this limit on descriptors.
pub fn relay_context(settings: &Settings, socket_limit: usize) -> RelayContext {
    let deployment = &settings.deployment;
    let rows = deployment.routes.iter().zip(&settings.client_timeouts);
    let listeners = settings.listeners.iter().zip(rows);
    let listeners = listeners.map(|(name, (route, client_timeout))| ListenerDefaults {
        name: name.clone(),
        client_timeout: *client_timeout,
        route: *route,
    });
    RelayContext {
        listeners: listeners.collect(),
        zones: settings.zones.clone(),
        zone: usize::from(deployment.zone.0),
        may_hedge: deployment.may_hedge && deployment.may_cancel,
        may_use_peers: settings.may_use_peers,
        descriptors: socket_limit.saturating_sub(RESERVED_DESCRIPTORS),
    }
}

/// The origin of a configuration, for reloading it.
pub struct ConfigSource {
    /// The path of the file, if there is one.
    pub(crate) path: Option<String>,
    /// The top-level keys with their values.
    keys: serde_json::Map<String, serde_json::Value>,
}

impl ConfigSource {
    /// Returns the text of the platform's settings.
    pub(crate) fn settings_text(&self) -> serde_json::Value {
        self.keys.get("settings").cloned().unwrap_or_default()
    }

    /// Returns the top-level keys whose values differ in a reloaded configuration and which a
    /// running process can't apply. The cached endpoint list is ignored: discovery sends a current
    /// one.
    pub fn differing_keys(&self, later: &ConfigSource) -> Vec<String> {
        let new_keys = later.keys.keys();
        let new_keys = new_keys.filter(|key| !self.keys.contains_key(*key));
        self.keys
            .keys()
            .chain(new_keys)
            .filter(|key| !matches!(key.as_str(), "discovery" | "known" | "settings"))
            .filter(|key| self.keys.get(*key) != later.keys.get(*key))
            .cloned()
            .collect()
    }
}

/// The contents of the platform's configuration file.
#[derive(Deserialize)]
struct ConfigFileContents {
    name: String,
    listen: String,
    discovery: String,
    seed: String,
    limits: Limits,
    known: Option<EndpointList>,
    admin_addr: Option<String>,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
struct Limits {
    memory_mb: f64,
    sockets: usize,
}

impl Limits {
    fn check(&self) -> Result<(), ConfigError> {
        if self.sockets < MIN_SOCKETS {
            return Err(ConfigError::TooFewSockets {
                sockets: self.sockets,
                needed: MIN_SOCKETS,
            });
        }
        if self.memory_mb.is_nan() || self.memory_mb < MIN_MEMORY_MB {
            return Err(ConfigError::TooLittleMemory {
                megabytes: self.memory_mb,
                needed: MIN_MEMORY_MB,
            });
        }
        Ok(())
    }
}

/// Reads the platform's configuration file.
///
/// # Errors
/// Returns an error if the file can't be read, or the first error in its contents.
pub fn read_config_file(path: &str) -> Result<StartupConfig, ConfigError> {
    let text = std::fs::read(path).map_err(|source| ConfigError::Read {
        path: path.to_string(),
        source,
    })?;
    let mut config = parse_config(&text).map_err(|source| ConfigError::InFile {
        path: path.to_string(),
        source: Box::new(source),
    })?;
    config.source.path = Some(path.to_string());
    Ok(config)
}

/// Parses the address that is the value of a key or an environment variable.
fn parse_address(name: &'static str, value: &str) -> Result<SocketAddr, ConfigError> {
    value.parse().map_err(|_| ConfigError::Address {
        name,
        value: value.to_string(),
    })
}

/// Parses the contents of the platform's configuration file.
///
/// # Errors
/// Returns the first error in the contents.
pub fn parse_config(text: &[u8]) -> Result<StartupConfig, ConfigError> {
    let keys: serde_json::Map<_, _> = serde_json::from_slice(text)?;
    let text: ConfigFileContents = serde_json::from_slice(text)?;
    let seed =
        u64::from_str_radix(&text.seed, 16).map_err(|_| ConfigError::Seed(text.seed.clone()))?;
    text.limits.check()?;
    let settings = thistlecroft_settings::parse(text.settings.to_string().as_bytes())
        .map_err(|error| ConfigError::Settings(error.to_string()))?;
    let context = relay_context(&settings, text.limits.sockets);
    let operator = OperatorRoutes {
        routes: RouteTable::from_settings(&context),
        file: OperatorConfigFile::none(),
        peers: None,
    };
    let listen = parse_address("listen", &text.listen)?;
    let discovery = parse_address("discovery", &text.discovery)?;
    let admin = text.admin_addr.as_deref();
    let admin = admin.map(|value| parse_address("admin_addr", value));
    Ok(StartupConfig {
        name: text.name,
        listen,
        settings,
        socket_limit: text.limits.sockets,
        discovery,
        seed,
        memory_mb: text.limits.memory_mb as usize,
        cached_endpoints: text.known,
        source: ConfigSource { path: None, keys },
        operator,
        admin: admin.transpose()?,
        inherited_listener: None,
        folder: None,
    })
}
