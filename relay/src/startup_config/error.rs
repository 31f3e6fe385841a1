//! What is wrong with a configuration, each fault as one line.
use std::fmt;
use std::io;
use thistlecroft_leases::ChangeError;

/// One fault of a configuration, of the operator configuration, or of the environment.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A file can't be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// Why not.
        source: io::Error,
    },
    /// A file holds a fault.
    #[error("{path}: {source}")]
    InFile {
        /// The file.
        path: String,
        /// The fault.
        source: Box<ConfigError>,
    },
    /// To be read again, but there is no file.
    #[error("the configuration is in no file")]
    NotFromFile,
    /// It is no JSON, or a key is missing or of another type.
    #[error(transparent)]
    Syntax(#[from] serde_json::Error),
    /// A value is no address with a port.
    #[error("{name}: \"{value}\" is no address with a port")]
    Address {
        /// The key or the variable.
        name: &'static str,
        /// Its value.
        value: String,
    },
    /// The seed is none.
    #[error("seed: \"{0}\" is no hexadecimal number of 64 bits")]
    Seed(String),
    /// Fewer descriptors than a relay needs.
    #[error("limits: {sockets} sockets are too few, {needed} needed")]
    TooFewSockets {
        /// The limit.
        sockets: usize,
        /// The least limit.
        needed: usize,
    },
    /// Fewer descriptors than a relay with an admin port needs.
    #[error("limits: {0} sockets are too few for an operators' door")]
    TooFewSocketsForAdmin(usize),
    /// Less memory than a relay needs.
    #[error("limits: {megabytes} MB of memory are too little, {needed} needed")]
    TooLittleMemory {
        /// The limit.
        megabytes: f64,
        /// The least limit.
        needed: f64,
    },
    /// The settings have a fault.
    #[error("{0}")]
    Settings(String),
    /// The inherited listening socket is none.
    #[error("{name}: \"{value}\" {reason}")]
    InheritedSocket {
        /// The variable.
        name: &'static str,
        /// Its value.
        value: String,
        /// What is wrong with it.
        reason: InheritedSocketError,
    },
    /// The file with the fleet's key can't be read.
    #[error("peers.key_file: {path}: {source}")]
    ReadKey {
        /// The file.
        path: String,
        /// Why not.
        source: io::Error,
    },
    /// The fleet's key is too short.
    #[error("peers.key_file: {path}: {bytes} bytes are too few for a key, {needed} needed")]
    ShortKey {
        /// The file.
        path: String,
        /// The length of the key.
        bytes: usize,
        /// The least length.
        needed: usize,
    },
    /// A fault of the operator configuration.
    #[error("{0}")]
    Operator(thistlecroft_operator_config::ConfigError),
    /// The voters may not change in this way.
    #[error(transparent)]
    VoterChange(#[from] ChangeError),
}

/// Why a number names no listening socket that can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InheritedSocketError {
    /// No number, or that of a standard stream.
    #[error("is no descriptor")]
    NoDescriptor,
    /// A socket of another kind.
    #[error("is no TCP socket")]
    NoTcpSocket,
    /// A connection, not a listening socket.
    #[error("is a socket that does not listen")]
    NotListening,
    /// Nothing is open there, or no socket.
    #[error("is no open socket")]
    NotOpen,
    /// The system refuses to close it in programs that this one starts.
    #[error("can't be kept")]
    CannotKeep,
}

/// All that is wrong with a configuration: one fault at least.
#[derive(Debug)]
pub struct ConfigErrors(Vec<ConfigError>);

impl ConfigErrors {
    /// The faults, in the order in which they were found.
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
