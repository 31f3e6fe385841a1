//! The relay on sockets, round the decisions of `thistlecroft`: a process that accepts clients,
//! connects them to backends, and is configured by files and signals.
mod admin;
mod attempt;
mod bans;
mod buffers;
mod counters;
mod discovery;
mod driver;
mod health_check;
mod hot_restart;
mod io_context;
mod line_buffer;
mod output_buffer;
mod peers;
mod protocol;
mod service;
mod session;
mod sockets;
mod stable_hash;
mod startup_config;
mod timers;
mod trace;

use std::io;

pub use service::{Service, Signals, StartError};
pub use startup_config::{
    ConfigError, ConfigErrors, ConfigSource, InheritedSocketError, StartupConfig, parse_config,
    read_config_file, relay_context,
};

/// The environment variable that names the operator configuration.
pub const OPERATOR_CONFIG_VARIABLE: &str = "THISTLECROFT_OPERATOR_CONFIG";

/// The same variable's former name, which is read where the other is not set.
const FORMER_OPERATOR_CONFIG_VARIABLE: &str = "THISTLECROFT_CHARTER";

/// The path of the operator configuration that the environment names.
pub fn operator_config_from_environment() -> Option<String> {
    std::env::var(OPERATOR_CONFIG_VARIABLE)
        .or_else(|_| std::env::var(FORMER_OPERATOR_CONFIG_VARIABLE))
        .ok()
}

/// Why a relay did not serve, or no longer does.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// A file or the environment has faults.
    #[error(transparent)]
    Config(#[from] ConfigErrors),
    /// A socket or another resource is not to be had.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The system refuses a signal handler, or polling failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl From<ConfigError> for ServeError {
    fn from(error: ConfigError) -> ServeError {
        ServeError::Config(error.into())
    }
}

impl ServeError {
    /// A line for each fault.
    pub fn lines(&self) -> Vec<String> {
        match self {
            ServeError::Config(errors) => errors.iter().map(ToString::to_string).collect(),
            ServeError::Start(error) => vec![error.to_string()],
            ServeError::Io(error) => vec![error.to_string()],
        }
    }
}

/// Serves by a configuration, and an operator configuration if there is one, until told to stop:
/// what a main program does.
///
/// # Errors
/// A file has faults, an address is taken, or the system refuses something.
pub fn serve(path: &str, operator_config: Option<&str>) -> Result<(), ServeError> {
    let signals = Signals::install()?;
    let mut config = read_config_file(path)?.with_environment()?;
    if let Some(operator_config) = operator_config {
        config = config.with_operator_config(operator_config)?;
    }
    Service::start(config, signals)?.run()?;
    Ok(())
}
