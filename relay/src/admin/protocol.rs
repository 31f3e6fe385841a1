//! The lines of the admin port: one line to a command, one line back. No I/O.
use std::fmt::Display;

/// The longest line of a command, in bytes; names of backends are far shorter.
pub(crate) const MAX_LINE_BYTES: usize = 512;

/// What an operator asks of a running relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AdminCommand {
    /// Whether this process serves.
    Ready,
    /// Bans a backend until `Enable`.
    Disable(String),
    Enable(String),
    Peers(PeerCommand),
}

/// What an operator asks about the other relays, or of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PeerCommand {
    /// What this relay knows of the others.
    Members,
    /// Whether this relay holds that lease; from the first command on it requests it.
    Lease(String),
    Release(String),
    /// Announces a note to all relays.
    Announce {
        subject: String,
        value: String,
    },
    /// The notes of all relays.
    Notes,
}

/// Why a line is no command.
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

/// Reads the command that has come; none while its line is incomplete. With `is_end` no more bytes
/// will come: a command whose line has no end may have been cut off in the middle of a name, so it
/// is none.
///
/// # Errors
/// The line is no command.
pub(crate) fn read_command(
    bytes: &[u8],
    is_end: bool,
) -> Result<Option<AdminCommand>, SyntaxError> {
    let line_end = bytes.iter().position(|&byte| byte == b'\n');
    match line_end.filter(|&position| position < MAX_LINE_BYTES) {
        Some(position) => parse_line(&bytes[..position]).map(Some),
        None if bytes.len() >= MAX_LINE_BYTES => Err(SyntaxError::LineTooLong),
        None if !is_end => Ok(None),
        None if bytes.is_empty() => Err(SyntaxError::Empty),
        None => Err(SyntaxError::UnterminatedLine),
    }
}

/// `line`: without its line feed.
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

/// What decides whether this process serves.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Readiness {
    pub(crate) is_stopping: bool,
    pub(crate) has_endpoints: bool,
    pub(crate) accepts_clients: bool,
}

/// Why this process does not serve.
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
    /// # Errors
    /// This process does not serve.
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

/// The line that answers a command.
pub(crate) fn response_line<E: Display>(result: &Result<String, E>) -> String {
    match result {
        Ok(text) => format!("200 {text}"),
        Err(error) => format!("400 {error}"),
    }
}

#[cfg(test)]
mod tests;
