//! Why an endpoint list can't be had or used.
use crate::discovery::poll_schedule::FailureKind;
use std::io;

/// An endpoint that is described in a way that can't be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum EndpointError {
    #[error("{instance}: \"{address}\" is no address")]
    Address { instance: String, address: String },
    #[error("{instance}: lifecycle \"{lifecycle}\"")]
    Lifecycle { instance: String, lifecycle: String },
}

/// A response that is not the HTTP that was asked for.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HttpError {
    #[error("an answer's head without end")]
    HeadTooLong,
    #[error("an answer that is no HTTP: {0}")]
    Malformed(#[from] httparse::Error),
    #[error("answered {0}")]
    Status(u16),
    #[error("a chunk without a size")]
    ChunkSize,
    #[error("the watch ended")]
    LastChunk,
}

/// Why a watch came to nothing or broke.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WatchError {
    /// No connection came up, or the request could not be sent.
    #[error(transparent)]
    Connect(io::Error),
    #[error("silent")]
    Silent,
    #[error(transparent)]
    Read(io::Error),
    #[error("the watch ended")]
    Ended,
    #[error(transparent)]
    Http(#[from] HttpError),
    #[error("a list cut off")]
    TruncatedList,
    #[error("a list without end")]
    ListTooLong,
    #[error("a bad list: text that is none")]
    NotAList,
    #[error("a bad list: {0}")]
    MalformedList(#[from] serde_json::Error),
    #[error("a bad list: {0}")]
    InvalidEndpoint(#[from] EndpointError),
}

impl WatchError {
    /// What the failure says of the agent.
    pub(crate) fn kind(&self) -> FailureKind {
        match self {
            WatchError::Connect(_) | WatchError::Silent => FailureKind::Unreachable,
            _ => FailureKind::Rejected,
        }
    }
}
