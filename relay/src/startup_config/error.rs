//! The errors of a configuration. Each is displayed as one line.
use std::fmt;
use std::io;
use thistlecroft_leases::ChangeError;

/// One error of the configuration file, the operator configuration, or the environment.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A file that can't be read.
    #[error("{path}: {source}")]
    Read {
        /// The path of the file.
        path: String,
        /// The system's error.
        source: io::Error,
    },
    /// An error in the contents of a file.
    #[error("{path}: {source}")]
    InFile {
        /// The path of the file.
        path: String,
        /// The error.
        source: Box<ConfigError>,
    },
    /// A configuration that can't be reloaded because it did not come from a file.
    #[error("the configuration did not come from a file and can't be read again")]
    NotFromFile,
    /// A text that is not JSON, or a key that is missing or of a wrong type.
    #[error(transparent)]
    Syntax(#[from] serde_json::Error),
    /// A value that is not an address with a port.
    #[error("{name}: \"{value}\" is no address with a port")]
    Address {
        /// The name of the key or environment variable.
        name: &'static str,
        /// Its value.
        value: String,
    },
    /// A seed that is not a hexadecimal number of 64 bits.
    #[error("seed: \"{0}\" is no hexadecimal number of 64 bits")]
    Seed(String),
    /// A limit on descriptors that is too low for a relay.
    #[error("limits: {sockets} sockets are too few, {needed} needed")]
    TooFewSockets {
        /// The limit.
        sockets: usize,
        /// The lowest accepted limit.
        needed: usize,
    },
    /// A limit on descriptors that is too low for a relay with an admin port.
    #[error("limits: {0} sockets are too few for an operators' door")]
    TooFewSocketsForAdmin(usize),
    /// A memory limit that is too low for a relay.
    #[error("limits: {megabytes} MB of memory are too little, {needed} needed")]
    TooLittleMemory {
        /// The limit in megabytes.
        megabytes: f64,
        /// The lowest accepted limit in megabytes.
        needed: f64,
    },
    /// An error in the settings.
    #[error("{0}")]
    Settings(String),
    /// An inherited descriptor that is not a usable listening socket.
    #[error("{name}: \"{value}\" {reason}")]
    InheritedSocket {
        /// The name of the environment variable.
        name: &'static str,
        /// Its value.
        value: String,
        /// Why the descriptor can't be used.
        reason: InheritedSocketError,
    },
    /// A key file of the fleet that can't be read.
    #[error("peers.key_file: {path}: {source}")]
    ReadKey {
        /// The path of the file.
        path: String,
        /// The system's error.
        source: io::Error,
    },
    /// A key of the fleet that is too short.
    #[error("peers.key_file: {path}: {bytes} bytes are too few for a key, {needed} needed")]
    ShortKey {
        /// The path of the file.
        path: String,
        /// The length of the key in bytes.
        bytes: usize,
        /// The least length of a key in bytes.
        needed: usize,
    },
    /// An error in the operator configuration.
    #[error("{0}")]
    Operator(thistlecroft_operator_config::ConfigError),
    /// A change of the voters that is not allowed.
    #[error(transparent)]
    VoterChange(#[from] ChangeError),
}

/// Why an inherited descriptor can't be used as the clients' listening socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InheritedSocketError {
    /// The value is not a number, or is the descriptor of a standard stream.
    #[error("is no descriptor")]
    NoDescriptor,
    /// The descriptor is a socket of another kind.
    #[error("is no TCP socket")]
    NoTcpSocket,
    /// The descriptor is a socket that is not listening, such as a connection.
    #[error("is a socket that does not listen")]
    NotListening,
    /// The descriptor is not open, or is not a socket.
    #[error("is no open socket")]
    NotOpen,
    /// The system refused to mark the descriptor as close-on-exec.
    #[error("can't be marked as close-on-exec")]
    CannotKeep,
}

/// The errors of a configuration, at least one.
#[derive(Debug)]
pub struct ConfigErrors(Vec<ConfigError>);

impl ConfigErrors {
    /// Returns the errors in the order in which they were found.
    pub fn iter(&self) -> impl Iterator<Item = &ConfigError> {
        self.0.iter()
    }
}

impl fmt::Display for ConfigErrors {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, error) in self.0.iter().enumerate() {
            let separator = if number > 0 { "; " } else { "" };
            write!(out, "{separator}{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigErrors {}

impl From<ConfigError> for ConfigErrors {
    fn from(error: ConfigError) -> ConfigErrors {
        ConfigErrors(vec![error])
    }
}

impl From<ChangeError> for ConfigErrors {
    fn from(error: ChangeError) -> ConfigErrors {
        ConfigErrors(vec![error.into()])
    }
}

impl From<Vec<thistlecroft_operator_config::ConfigError>> for ConfigErrors {
    fn from(errors: Vec<thistlecroft_operator_config::ConfigError>) -> ConfigErrors {
        ConfigErrors(errors.into_iter().map(ConfigError::Operator).collect())
    }
}
