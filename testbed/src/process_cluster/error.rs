//! The errors of setting up a cluster or starting one of its relays.
use crate::relay_process::RelayProcessError;
use std::io;

/// A failure to set up a cluster or to start one of its relays.
#[derive(Debug, thiserror::Error)]
pub enum ProcessClusterError {
    /// A socket, thread or file could not be created.
    #[error(transparent)]
    Setup(#[from] io::Error),
    /// A relay could not be started.
    #[error(transparent)]
    Relay(#[from] RelayProcessError),
}

/// Lets callers that report errors as strings use `?`.
impl From<ProcessClusterError> for String {
    fn from(error: ProcessClusterError) -> String {
        error.to_string()
    }
}
