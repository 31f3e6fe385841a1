//! The platform's line protocol: parsing lines, and the lines that the relay itself writes. This
//! module does no I/O.
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

/// The line to a client whose session failed.
pub(crate) const FAILED_LINE: &str = "ERR";
/// The line to a client whose session is migrated: the client must connect again.
pub(crate) const MIGRATED_LINE: &str = "MOVE";
/// The answer to a client's `PING`.
pub(crate) const PONG_LINE: &str = "PONG";
/// The line with which a health check requests a backend's load.
pub(crate) const HEALTH_CHECK_LINE: &str = "STATS";

/// Returns the line to a client whose session is rejected, with the time in milliseconds to wait
/// before the next request, if there is one. The time is rounded up, so that no client returns too
/// soon.
pub(crate) fn rejection_line(retry_after: Option<Duration>) -> String {
    match retry_after {
        Some(wait) => format!("BUSY {}", wait.as_micros().div_ceil(1_000)),
        None => "BUSY".into(),
    }
}
