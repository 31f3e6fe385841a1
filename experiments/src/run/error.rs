//! Errors of a run.
use crate::report::ReportError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// An error that ends a run.
#[derive(Debug, Error)]
pub enum RunError {
    /// A file or folder of the run's results can't be written.
    #[error("results can't be written to {path}: {source}")]
    Results {
        /// The file or folder.
        path: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
    /// A part of the testbed can't be set up.
    #[error("testbed: {part} can't be set up: {source}")]
    Setup {
        /// The part of the testbed.
        part: &'static str,
        /// The underlying error.
        source: io::Error,
    },
    /// The sockets that the platform holds for a relay can't be opened.
    #[error("sockets of relay {relay} can't be opened: {source}")]
    RelaySockets {
        /// The index of the relay.
        relay: usize,
        /// The underlying error.
        source: io::Error,
    },
    /// There is no free address for a relay.
    #[error("no free address for a relay: {0}")]
    NoAddress(#[source] io::Error),
    /// There is no free address for a relay's admin port.
    #[error("no free address for a relay's admin port: {0}")]
    NoAdminAddress(#[source] io::Error),
    /// The descriptor limit is too low, or a relay did not start.
    #[error("{0}")]
    Testbed(String),
    /// The summary can't be written as JSON.
    #[error("summary can't be written as JSON: {0}")]
    Summary(#[from] serde_json::Error),
    /// The report can't be made.
    #[error(transparent)]
    Report(#[from] ReportError),
}
