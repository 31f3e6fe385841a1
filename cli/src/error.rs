//! Why a command ends other than well, and the exit code for it.
use std::fmt;
use std::process::ExitCode;

/// A reason that ends the command, as the line that it prints.
pub(crate) enum CommandError {
    /// Something broke, or could not be done.
    Failed(String),
    /// The command line or a file is wrong.
    InvalidInput(String),
    /// A signal ended it.
    Interrupted(String),
}

impl CommandError {
    /// The exit code that tells the reason's kind.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CommandError::Failed(_) => 1,
            CommandError::InvalidInput(_) => 2,
            CommandError::Interrupted(_) => 130,
        })
    }

    /// Something that could not be done, for this reason.
    pub(crate) fn failed(reason: impl fmt::Display) -> CommandError {
        CommandError::Failed(reason.to_string())
    }

    /// Input that can't be used, for this reason.
    pub(crate) fn invalid(reason: impl fmt::Display) -> CommandError {
        CommandError::InvalidInput(reason.to_string())
    }

    /// Several reasons, a line for each.
    pub(crate) fn lines(reasons: &[String]) -> String {
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
