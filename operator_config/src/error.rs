//! Errors in a file, and the locations that they point at.
use thiserror::Error;

/// One error in a file. Errors sort by their location.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
#[error("{file}:{line}:{column}: {key}: {reason}")]
pub struct ConfigError {
    /// The file's name as the caller gave it.
    pub file: String,
    /// The line number, counted from 1.
    pub line: usize,
    /// The column in characters, counted from 1.
    pub column: usize,
    /// The full name of the key, such as `route booking.dials`, or `syntax`.
    pub key: String,
    /// The description of the error, for people.
    pub reason: String,
}

/// A position in the file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Location {
    pub(crate) file: String,
    /// Counted from 1.
    pub(crate) line: usize,
    /// Counted from 1, in characters.
    pub(crate) column: usize,
}

impl Location {
    /// Returns an error of this key at this position.
    pub(crate) fn error(&self, key: &str, reason: impl Into<String>) -> ConfigError {
        ConfigError {
            file: self.file.clone(),
            line: self.line,
            column: self.column,
            key: key.into(),
            reason: reason.into(),
        }
    }
}

/// A value together with its location.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Located<T> {
    pub(crate) value: T,
    pub(crate) location: Location,
}

impl<T> Located<T> {
    /// Converts the value and keeps the location; `None` where the conversion fails.
    pub(crate) fn and_then<U>(self, convert: impl FnOnce(T) -> Option<U>) -> Option<Located<U>> {
        Some(Located {
            value: convert(self.value)?,
            location: self.location,
        })
    }
}

/// Returns the errors if there are any, otherwise the value.
pub(crate) fn value_unless<T>(errors: Vec<ConfigError>, value: T) -> Result<T, Vec<ConfigError>> {
    if errors.is_empty() {
        Ok(value)
    } else {
        Err(errors)
    }
}

/// Sorts errors by location and drops duplicates, which arise where a route breaks a rule in the
/// same way for several listeners.
pub(crate) fn sorted(mut errors: Vec<ConfigError>) -> Vec<ConfigError> {
    errors.sort();
    errors.dedup();
    errors
}
