//! The errors of operators' commands. Their texts are sent as answers at the admin port.
use crate::admin::protocol::{NotReady, SyntaxError};
use crate::peers::PeerCommandError;
use std::io;

/// Why an operator's command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdminError {
    #[error(transparent)]
    Syntax(#[from] SyntaxError),
    #[error("too many callers")]
    TooManyConnections,
    #[error("no call came")]
    TimedOut,
    #[error(transparent)]
    NotReady(#[from] NotReady),
    #[error("no backend {0} was ever listed here")]
    UnknownBackend(String),
    #[error("another process holds the list of bans: nothing changed")]
    BanStoreLocked,
    #[error("the ban can't be kept: {0}")]
    BanStore(io::Error),
    #[error("peers are not switched on ([peers] in the charter)")]
    PeersOff,
    #[error(transparent)]
    Peers(#[from] PeerCommandError),
}
