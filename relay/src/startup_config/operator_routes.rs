//! The routes and peers of the operator configuration, when it is read at the start and when it is
//! reloaded.
use super::error::{ConfigError, ConfigErrors};
use super::{StartupConfig, relay_context};
use thistlecroft_operator_config::{
    LimitsIds, OperatorConfig, PeersConfig, RelayContext, RouteTable,
};

/// The least length of a fleet's key.
const MIN_KEY_BYTES: usize = 16;

/// The routes and peers of the operator configuration, or the defaults without one.
pub(crate) struct OperatorRoutes {
    pub(crate) routes: RouteTable,
    pub(crate) file: OperatorConfigFile,
    /// `None` if the operator configuration does not enable peers.
    pub(crate) peers: Option<PeersWithKey>,
}

/// The configuration of the peers, and the fleet's key from its separate file.
pub(crate) struct PeersWithKey {
    pub(crate) config: PeersConfig,
    pub(crate) key: Vec<u8>,
}

/// The file of the operator configuration, for reloading it, and the ids given to its limits.
pub(crate) struct OperatorConfigFile {
    path: Option<String>,
    /// The contents that were taken up last. They go on beside new settings.
    in_force: OperatorConfig,
    limits_ids: LimitsIds,
}

impl OperatorConfigFile {
    pub(super) fn none() -> OperatorConfigFile {
        OperatorConfigFile {
            path: None,
            in_force: OperatorConfig::default(),
            limits_ids: LimitsIds::default(),
        }
    }

    /// Reads the file; returns the default configuration if there is no file.
    ///
    /// # Errors
    /// Returns an error if the file can't be read, or all errors in its contents.
    pub(crate) fn load(&self) -> Result<OperatorConfig, ConfigErrors> {
        let Some(path) = &self.path else {
            return Ok(OperatorConfig::default());
        };
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Read {
            path: path.clone(),
            source,
        })?;
        Ok(OperatorConfig::parse(path, &text)?)
    }

    /// Returns the contents that were taken up last.
    pub(crate) fn in_force(&self) -> &OperatorConfig {
        &self.in_force
    }

    /// Takes up contents that were checked.
    pub(crate) fn set_in_force(&mut self, config: OperatorConfig) {
        self.in_force = config;
    }

    /// Returns the routes of the contents in force, as far as they fit the context.
    pub(crate) fn routes(&mut self, context: &RelayContext) -> RouteTable {
        self.in_force.resolve_fitted(context, &mut self.limits_ids)
    }
}

impl StartupConfig {
    /// Adds the operator configuration in this file to the configuration. A listener or zone that it
    /// names and the settings lack is logged only: the platform may have dropped it while the relay
    /// ran.
    ///
    /// # Errors
    /// Returns the errors in the file, or an error if it or the key file can't be read.
    pub(crate) fn with_operator_config(
        mut self,
        path: &str,
    ) -> Result<StartupConfig, ConfigErrors> {
        self.operator.file.path = Some(path.to_string());
        let config = self.operator.file.load()?;
        let context = relay_context(&self.settings, self.socket_limit);
        self.operator.peers = match config.peers_config(&context)? {
            Some(config) => Some(PeersWithKey {
                key: read_key(&config.key_file)?,
                config,
            }),
            None => None,
        };
        config.check_limits(&context)?;
        for error in config.unknown_names(&context) {
            log::warn!("the operator configuration does not fit the settings: {error}");
        }
        self.operator.file.set_in_force(config);
        self.operator.routes = self.operator.file.routes(&context);
        Ok(self)
    }
}

/// Reads the fleet's key from its file, without leading and trailing whitespace.
fn read_key(path: &str) -> Result<Vec<u8>, ConfigError> {
    let text = std::fs::read(path).map_err(|source| ConfigError::ReadKey {
        path: path.to_string(),
        source,
    })?;
    let key = text.trim_ascii().to_vec();
    if key.len() < MIN_KEY_BYTES {
        return Err(ConfigError::ShortKey {
            path: path.to_string(),
            bytes: key.len(),
            needed: MIN_KEY_BYTES,
        });
    }
    Ok(key)
}
