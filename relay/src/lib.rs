//! The relay process. It accepts clients and connects them to backends that the balancer in
//! `thistlecroft` chooses, and is configured by files, environment variables and signals.
mod admin;
mod attempt;
mod bans;
mod buffers;
mod counters;
mod descriptors;
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

/// The environment variable with the path of the operator configuration.
pub const OPERATOR_CONFIG_VARIABLE: &str = "THISTLECROFT_OPERATOR_CONFIG";

/// The former name of that variable, which is read if the present one is not set.
const FORMER_OPERATOR_CONFIG_VARIABLE: &str = "THISTLECROFT_CHARTER";

/// Returns the path of the operator configuration from the environment, if it is set.
pub fn operator_config_from_environment() -> Option<String> {
    std::env::var(OPERATOR_CONFIG_VARIABLE)
        .or_else(|_| std::env::var(FORMER_OPERATOR_CONFIG_VARIABLE))
        .ok()
}

/// Why a relay could not start, or stopped serving with an error.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// Errors in a file or in the environment.
    #[error(transparent)]
    Config(#[from] ConfigErrors),
    /// A socket or another resource that could not be opened.
    #[error(transparent)]
    Start(#[from] StartError),
    /// A failure to install a signal handler or to poll.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl From<ConfigError> for ServeError {
    fn from(error: ConfigError) -> ServeError {
        ServeError::Config(error.into())
    }
}

impl ServeError {
    /// Returns one line for each error.
    pub fn lines(&self) -> Vec<String> {
        match self {
            ServeError::Config(errors) => errors.iter().map(ToString::to_string).collect(),
            ServeError::Start(error) => vec![error.to_string()],
            ServeError::Io(error) => vec![error.to_string()],
        }
    }
}

/// Runs a relay with the configuration file at `path`, and with an operator configuration if one is
/// given, until a signal stops it.
///
/// # Errors
/// Returns an error if a file or the environment has errors, a socket can't be opened, a signal
/// handler can't be installed, or polling fails.
pub fn serve(path: &str, operator_config: Option<&str>) -> Result<(), ServeError> {
    let signals = Signals::install()?;
    let mut config = read_config_file(path)?.with_environment()?;
    if let Some(operator_config) = operator_config {
        config = config.with_operator_config(operator_config)?;
    }
    Service::start(config, signals)?.run()?;
    Ok(())
}
