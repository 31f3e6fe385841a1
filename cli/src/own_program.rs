//! This program as a command line, for the processes that experiments start.
use crate::error::CommandError;

/// This program with these arguments.
pub(crate) fn own_program(arguments: &[&str]) -> Result<Vec<String>, CommandError> {
    let path = std::env::current_exe()
        .map_err(|error| CommandError::Failed(format!("this program's own path: {error}")))?;
    let mut command_line = vec![path.to_string_lossy().into_owned()];
    command_line.extend(arguments.iter().map(|&argument| argument.to_string()));
    Ok(command_line)
}

/// This program as a relay.
pub(crate) fn own_relay() -> Result<Vec<String>, CommandError> {
    own_program(&["serve"])
}
