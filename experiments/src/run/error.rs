//! Why a run could not be carried out.
use crate::report::ReportError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// What could not be set up or kept.
#[derive(Debug, Error)]
pub enum RunError {
    /// A file or folder of the run's results.
    #[error("{path}: {source}")]
    Results {
        /// The file or folder.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// A part of the testbed.
    #[error("{part} can't be set up: {source}")]
    Setup {
        /// Which part.
        part: &'static str,
        /// Why not.
        source: io::Error,
    },
    /// The sockets that the platform holds for a relay.
    #[error("relay {relay}: {source}")]
    RelaySockets {
        /// The relay's number.
        relay: usize,
        /// Why not.
        source: io::Error,
    },
    /// An address for a relay.
    #[error("no address for a relay: {0}")]
    NoAddress(#[source] io::Error),
    /// An address for a relay's admin port.
    #[error("{0}")]
    NoAdminAddress(#[source] io::Error),
    /// Too few descriptors, or a relay that did not start.
    #[error("{0}")]
    Testbed(String),
    /// The summary as JSON.
    #[error("{0}")]
    Summary(#[from] serde_json::Error),
    /// The report.
    #[error(transparent)]
    Report(#[from] ReportError),
}
