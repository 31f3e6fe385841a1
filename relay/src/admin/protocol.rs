//! The line protocol of the admin port: a command is one line, and so is its response. No I/O.
use std::fmt::Display;

/// The longest line of a command, in bytes. Names of backends are far shorter.
pub(crate) const MAX_LINE_BYTES: usize = 512;

/// A command of an operator to a running relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AdminCommand {
    /// Asks whether this process serves clients.
    Ready,
    /// Bans a backend until `Enable`.
    Disable(String),
    /// Ends the ban of a backend.
    Enable(String),
    /// A command about the other relays.
    Peers(PeerCommand),
}

/// A command about the other relays, their leases or their notes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PeerCommand {
    /// Asks what this relay knows of the others.
    Members,
    /// Asks whether this relay holds the lease of a subject. The first such command makes the relay
    /// request the lease.
    Lease(String),
    /// Releases the lease of a subject.
    Release(String),
    /// Announces a note to all relays.
    Announce { subject: String, value: String },
    /// Asks for the notes of all relays.
    Notes,
}

/// Why a line is not a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum SyntaxError {
    #[error("a line too long")]
    LineTooLong,
    #[error("the line has no end")]
    UnterminatedLine,
    #[error("not UTF-8")]
    NotUtf8,
    #[error("no call")]
    Empty,
    #[error("too many words")]
    TooManyWords,
    #[error("READY takes no more words")]
    ReadyWithArgument,
    #[error("which backend?")]
    MissingBackend,
    #[error("which lease?")]
    MissingLease,
    #[error("a subject and a value")]
    IncompleteNote,
    #[error(
        "no such call: READY, DISABLE ID, ENABLE ID, PEERS, LEASE SUBJECT, RELEASE SUBJECT, NOTE SUBJECT VALUE or NOTES"
    )]
    UnknownCommand,
}

/// Parses the command in the bytes received so far; returns `None` while its line is incomplete.
/// `has_ended` tells that no more bytes will be received. A line without its line feed is then an
/// error, since it may have been truncated in the middle of a name.
///
/// # Errors
/// Returns an error if the line is not a command.
pub(crate) fn parse_command(
    bytes: &[u8],
    has_ended: bool,
) -> Result<Option<AdminCommand>, SyntaxError> {
    let line_end = bytes.iter().position(|&byte| byte == b'\n');
    match line_end.filter(|&position| position < MAX_LINE_BYTES) {
        Some(position) => parse_line(&bytes[..position]).map(Some),
        None if bytes.len() >= MAX_LINE_BYTES => Err(SyntaxError::LineTooLong),
        None if !has_ended => Ok(None),
        None if bytes.is_empty() => Err(SyntaxError::Empty),
        None => Err(SyntaxError::UnterminatedLine),
    }
}

/// Parses a line, which is passed without its line feed.
fn parse_line(line: &[u8]) -> Result<AdminCommand, SyntaxError> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let line = std::str::from_utf8(line).map_err(|_| SyntaxError::NotUtf8)?;
    let words: Vec<&str> = line.split(' ').filter(|word| !word.is_empty()).collect();
    match words[..] {
        [] => Err(SyntaxError::Empty),
        ["NOTE", subject, value] => Ok(AdminCommand::Peers(PeerCommand::Announce {
            subject: subject.to_string(),
            value: value.to_string(),
        })),
        [_, _, _, ..] => Err(SyntaxError::TooManyWords),
        [verb] => parse_verb(verb),
        [verb, argument] => parse_verb_with_argument(verb, argument.to_string()),
    }
}

fn parse_verb(verb: &str) -> Result<AdminCommand, SyntaxError> {
    match verb {
        "READY" => Ok(AdminCommand::Ready),
        "PEERS" => Ok(AdminCommand::Peers(PeerCommand::Members)),
        "NOTES" => Ok(AdminCommand::Peers(PeerCommand::Notes)),
        "DISABLE" | "ENABLE" => Err(SyntaxError::MissingBackend),
        "LEASE" | "RELEASE" => Err(SyntaxError::MissingLease),
        "NOTE" => Err(SyntaxError::IncompleteNote),
        _ => Err(SyntaxError::UnknownCommand),
    }
}

fn parse_verb_with_argument(verb: &str, argument: String) -> Result<AdminCommand, SyntaxError> {
    match verb {
        "READY" => Err(SyntaxError::ReadyWithArgument),
        "DISABLE" => Ok(AdminCommand::Disable(argument)),
        "ENABLE" => Ok(AdminCommand::Enable(argument)),
        "LEASE" => Ok(AdminCommand::Peers(PeerCommand::Lease(argument))),
        "RELEASE" => Ok(AdminCommand::Peers(PeerCommand::Release(argument))),
        "NOTE" => Err(SyntaxError::IncompleteNote),
        _ => Err(SyntaxError::UnknownCommand),
    }
}

/// The conditions for this process to serve clients.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Readiness {
    pub(crate) is_stopping: bool,
    pub(crate) has_endpoints: bool,
    pub(crate) accepts_clients: bool,
}

/// Why this process does not serve clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum NotReady {
    #[error("stopping")]
    Stopping,
    #[error("no list of backends yet")]
    NoEndpoints,
    #[error("no clients are taken yet")]
    NotAccepting,
}

impl Readiness {
    /// Checks the conditions.
    ///
    /// # Errors
    /// Returns the first condition that is not met.
    pub(crate) fn check(self) -> Result<(), NotReady> {
        if self.is_stopping {
            Err(NotReady::Stopping)
        } else if !self.has_endpoints {
            Err(NotReady::NoEndpoints)
        } else if !self.accepts_clients {
            Err(NotReady::NotAccepting)
        } else {
            Ok(())
        }
    }
}

/// Returns the line that answers a command, without its line ending.
pub(crate) fn response_line<E: Display>(result: &Result<String, E>) -> String {
    match result {
        Ok(text) => format!("200 {text}"),
        Err(error) => format!("400 {error}"),
    }
}

#[cfg(test)]
mod tests;
