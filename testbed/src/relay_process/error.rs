//! Why a relay's process could not be started.
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;

/// A failure to start a relay's process.
#[derive(Debug, thiserror::Error)]
pub enum RelayProcessError {
    /// Its configuration or log could not be written into this folder.
    #[error("{}: {source}", folder.display())]
    Files {
        /// The folder.
        folder: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The command to start is empty.
    #[error("no program to start as a relay")]
    NoProgram,
    /// The program could not be started.
    #[error("{program} can't be started: {source}")]
    Spawn {
        /// The program.
        program: String,
        /// What the system said.
        source: io::Error,
    },
    /// The process ended before it was ready.
    #[error("{name} at {address}: it ended at once ({status}): {last_line}")]
    Exited {
        /// The relay's name.
        name: String,
        /// Where it was to listen.
        address: SocketAddr,
        /// How it ended.
        status: ExitStatus,
        /// The last line of its log.
        last_line: String,
    },
    /// The process was not ready in time.
    #[error("{name} at {address}: it is not ready")]
    NotReady {
        /// The relay's name.
        name: String,
        /// Where it was to listen.
        address: SocketAddr,
    },
}

/// For callers that report errors as texts.
impl From<RelayProcessError> for String {
    fn from(error: RelayProcessError) -> String {
        error.to_string()
    }
}
