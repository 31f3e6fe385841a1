//! The errors of starting a relay's process.
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;

/// A failure to start a relay's process.
#[derive(Debug, thiserror::Error)]
pub enum RelayProcessError {
    /// The relay's configuration or log file could not be written.
    #[error("can't write a relay's files into {}: {source}", folder.display())]
    Files {
        /// The folder of the relay's files.
        folder: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// The command that starts a relay is empty.
    #[error("the command that starts a relay is empty")]
    NoProgram,
    /// The program could not be started.
    #[error("the relay program {program} can't be started: {source}")]
    Spawn {
        /// The program.
        program: String,
        /// The error of the system.
        source: io::Error,
    },
    /// The process ended before it was ready.
    #[error("{name} at {address} could not be started: it ended at once ({status}): {last_line}")]
    Exited {
        /// The relay's name.
        name: String,
        /// The address at which the relay was to listen for clients.
        address: SocketAddr,
        /// The exit status of the process.
        status: ExitStatus,
        /// The last line of the relay's log.
        last_line: String,
    },
    /// The process was not ready in time.
    #[error("{name} at {address} was not ready before the start timeout")]
    NotReady {
        /// The relay's name.
        name: String,
        /// The address at which the relay was to listen for clients.
        address: SocketAddr,
    },
}

/// Lets callers that report errors as strings use `?`.
impl From<RelayProcessError> for String {
    fn from(error: RelayProcessError) -> String {
        error.to_string()
    }
}
