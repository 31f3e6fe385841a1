//! Errors that end the command, and their exit codes.
use std::fmt;
use std::process::ExitCode;

/// A reason why the command ends without success, as the text that it prints.
pub(crate) enum CommandError {
    /// A rule was broken, a relay failed or the request could not be carried out.
    Failed(String),
    /// The command line or a file is invalid.
    InvalidInput(String),
    /// A signal interrupted the command.
    Interrupted(String),
}

impl CommandError {
    /// Returns the exit code for this kind of error.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CommandError::Failed(_) => 1,
            CommandError::InvalidInput(_) => 2,
            CommandError::Interrupted(_) => 130,
        })
    }

    /// Creates the error for a request that could not be carried out.
    pub(crate) fn failed(reason: impl fmt::Display) -> CommandError {
        CommandError::Failed(reason.to_string())
    }

    /// Creates the error for a command line or a file that is invalid.
    pub(crate) fn invalid(reason: impl fmt::Display) -> CommandError {
        CommandError::InvalidInput(reason.to_string())
    }

    /// Joins several reasons into one text with a line for each; every line starts with the
    /// command's name, the first once `main` prints the error.
    pub(crate) fn join(reasons: &[String]) -> String {
        reasons.join("\nthistlecroft: ")
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (CommandError::Failed(reason)
        | CommandError::InvalidInput(reason)
        | CommandError::Interrupted(reason)) = self;
        f.write_str(reason)
    }
}
