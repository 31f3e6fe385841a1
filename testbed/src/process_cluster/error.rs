//! Why a cluster could not be set up, or a relay of it not started.
use crate::relay_process::RelayProcessError;
use std::io;

/// A failure of a cluster.
#[derive(Debug, thiserror::Error)]
pub enum ProcessClusterError {
    /// The system gave no socket, thread or file.
    #[error(transparent)]
    Setup(#[from] io::Error),
    /// A relay was not started.
    #[error(transparent)]
    Relay(#[from] RelayProcessError),
}

/// For callers that report errors as texts.
impl From<ProcessClusterError> for String {
    fn from(error: ProcessClusterError) -> String {
        error.to_string()
    }
}
