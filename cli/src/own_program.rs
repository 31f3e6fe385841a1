//! Command lines that run this program again, for the processes that experiments start.
use crate::error::CommandError;

/// Returns the command line that runs this program with the given arguments.
pub(crate) fn own_program(arguments: &[&str]) -> Result<Vec<String>, CommandError> {
    let path = std::env::current_exe()
        .map_err(|error| CommandError::Failed(format!("finding this executable: {error}")))?;
    let mut command_line = vec![path.to_string_lossy().into_owned()];
    command_line.extend(arguments.iter().map(|&argument| argument.to_string()));
    Ok(command_line)
}

/// Returns the command line that runs this program as a relay.
pub(crate) fn own_relay() -> Result<Vec<String>, CommandError> {
    own_program(&["serve"])
}
