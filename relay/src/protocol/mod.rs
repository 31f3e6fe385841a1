//! The platform's line protocol: what a line of text means, and the lines that the relay writes
//! itself. Knows no sockets.
//!
//! The keywords of the protocol appear in this module only; the rest of the relay handles
//! [`FirstLine`]s and [`BackendMessage`]s.
mod backend_message;
mod first_line;
#[cfg(test)]
pub(crate) mod tests;

pub(crate) use backend_message::{BackendMessage, parse_health_check_response};
pub(crate) use first_line::{
    FirstLine, FirstLineError, OpenRequest, ProtocolSettings, parse_first_line,
};

use thistlecroft::time::Duration;

/// To a client: the session failed.
pub(crate) const FAILED_LINE: &str = "ERR";
/// To a client: the session is migrated, the client is to connect again.
pub(crate) const MIGRATED_LINE: &str = "MOVE";
/// To a client: the answer to its `PING`.
pub(crate) const PONG_LINE: &str = "PONG";
/// To a backend: a health check's request for its load.
pub(crate) const HEALTH_CHECK_LINE: &str = "STATS";

/// To a client: the session is rejected, with the time to stay away where there is one. The time is
/// rounded up, so that no client returns too soon.
pub(crate) fn rejection_line(retry_after: Option<Duration>) -> String {
    match retry_after {
        Some(wait) => format!("BUSY {}", wait.as_micros().div_ceil(1_000)),
        None => "BUSY".into(),
    }
}
