//! The routes and peers that the operator configuration gives, at the start and when it is read
//! again.
use super::error::{ConfigError, ConfigErrors};
use super::{StartupConfig, relay_context};
use thistlecroft_operator_config::{
    LimitsIds, OperatorConfig, PeersConfig, RelayContext, RouteTable,
};

/// The shortest key of a fleet.
const MIN_KEY_BYTES: usize = 16;

/// What the operator configuration gives, or what holds without one.
pub(crate) struct OperatorRoutes {
    pub(crate) routes: RouteTable,
    pub(crate) file: OperatorConfigFile,
    /// None where it has no peers.
    pub(crate) peers: Option<PeersWithKey>,
}

/// The configuration of the peers, and the fleet's key, which is in a file of its own.
pub(crate) struct PeersWithKey {
    pub(crate) config: PeersConfig,
    pub(crate) key: Vec<u8>,
}

/// Where the operator configuration is, to be read again, and the ids that its limits have.
pub(crate) struct OperatorConfigFile {
    path: Option<String>,
    limits_ids: LimitsIds,
}

impl OperatorConfigFile {
    pub(super) fn none() -> OperatorConfigFile {
        OperatorConfigFile {
            path: None,
            limits_ids: LimitsIds::default(),
        }
    }

    /// What the file says; the empty configuration where there is no file.
    ///
    /// # Errors
    /// The file can't be read, or has faults by itself.
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

    /// The routes of an operator configuration in this context.
    ///
    /// # Errors
    /// All in which it does not agree with the context.
    pub(crate) fn routes(
        &mut self,
        config: &OperatorConfig,
        context: &RelayContext,
    ) -> Result<RouteTable, ConfigErrors> {
        Ok(config.resolve(context, &mut self.limits_ids)?)
    }
}

impl StartupConfig {
    /// The same with an operator configuration.
    ///
    /// # Errors
    /// All that is wrong with the file.
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
        self.operator.routes = self.operator.file.routes(&config, &context)?;
        Ok(self)
    }
}

/// The fleet's key, as the file has it but for white space at its ends.
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
