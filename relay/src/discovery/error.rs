//! Errors of the watch on the endpoint list.
use crate::discovery::poll_schedule::FailureKind;
use std::io;

/// Why an endpoint of a list can't be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum EndpointError {
    #[error(
        "hostPort is not an IP address with a port; instance={instance} hostPort=\"{address}\""
    )]
    Address { instance: String, address: String },
    #[error("unknown lifecycle; instance={instance} lifecycle=\"{lifecycle}\"")]
    Lifecycle { instance: String, lifecycle: String },
}

/// Why a response can't be read, or can't be read any further, as a stream of lists.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HttpError {
    #[error("the response head is too long")]
    HeadTooLong,
    #[error("the response is not valid HTTP: {0}")]
    Malformed(#[from] httparse::Error),
    #[error("the response has an unexpected status; status={0}")]
    Status(u16),
    #[error("the size of a response chunk is invalid or too large")]
    ChunkSize,
    #[error("the agent ended the response")]
    LastChunk,
}

/// Why a watch could not be opened, or failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WatchError {
    /// The connection could not be established, or the request could not be sent.
    #[error(transparent)]
    Connect(io::Error),
    #[error("no response, list or heartbeat arrived in time")]
    TimedOut,
    #[error(transparent)]
    Read(io::Error),
    #[error("the agent closed the connection")]
    ConnectionClosed,
    #[error(transparent)]
    Http(#[from] HttpError),
    #[error("an endpoint list is truncated")]
    TruncatedList,
    #[error("an endpoint list is too long")]
    ListTooLong,
    #[error("the response body is not an endpoint list")]
    NotAList,
    #[error("parsing an endpoint list failed: {0}")]
    MalformedList(#[from] serde_json::Error),
    #[error("an endpoint list has an invalid endpoint: {0}")]
    InvalidEndpoint(#[from] EndpointError),
}

impl WatchError {
    /// Returns what the failure reveals about the agent.
    pub(crate) fn kind(&self) -> FailureKind {
        match self {
            WatchError::Connect(_) | WatchError::TimedOut => FailureKind::Unreachable,
            _ => FailureKind::Rejected,
        }
    }
}
