//! Errors in scenario files, with their positions.
use super::validation::InvalidValue;
use std::io;
use std::ops::Range;
use thiserror::Error;

/// An error that makes a scenario file unusable.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The file can't be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// The name of the file.
        file: String,
        /// The underlying error.
        source: io::Error,
    },
    /// The file is not a valid scenario.
    #[error(transparent)]
    Malformed(#[from] MalformedScenario),
}

/// The first error in a scenario file, displayed as one line.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{file}:{line}: {key}: {reason}")]
pub struct MalformedScenario {
    /// The name of the file.
    pub file: String,
    /// The line of the error, counted from 1.
    pub line: usize,
    /// The key of the invalid value, prefixed with its table.
    pub key: String,
    /// The reason why the value is invalid.
    pub reason: String,
}

impl MalformedScenario {
    pub(super) fn from_toml(file: &str, text: &str, error: &toml::de::Error) -> MalformedScenario {
        let reason = error.message().replace('\n', " ");
        MalformedScenario::at(file, text, error.span().unwrap_or(0..0), reason)
    }

    pub(super) fn from_invalid(file: &str, text: &str, invalid: InvalidValue) -> MalformedScenario {
        MalformedScenario::at(file, text, invalid.at, invalid.reason)
    }

    fn at(file: &str, text: &str, at: Range<usize>, reason: String) -> MalformedScenario {
        let position = KeyPosition::of(text, at);
        MalformedScenario {
            file: file.into(),
            line: position.line,
            key: position.key,
            reason,
        }
    }
}

/// A position in a TOML file.
pub(crate) struct KeyPosition {
    /// The line, counted from 1.
    pub(crate) line: usize,
    /// The key, prefixed with its table.
    pub(crate) key: String,
}

impl KeyPosition {
    /// Returns the position of the byte range `at`.
    pub(crate) fn of(text: &str, at: Range<usize>) -> KeyPosition {
        let start = at.start.min(text.len());
        let index = text[..start].matches('\n').count();
        let lines: Vec<&str> = text.lines().collect();
        let line = lines.get(index).copied().unwrap_or_default().trim();
        let table = lines[..lines.len().min(index + 1)]
            .iter()
            .rev()
            .find(|line| line.trim().starts_with('['))
            .map(|line| line.trim().trim_matches(['[', ']']).to_string());
        let key = line
            .split_once('=')
            .map(|(key, _)| key.trim().to_string())
            .filter(|_| !line.starts_with('['));
        let key = match (table, key) {
            (Some(table), Some(key)) => format!("{table}.{key}"),
            (Some(table), None) => table,
            (None, Some(key)) => key,
            (None, None) => "top level".into(),
        };
        KeyPosition {
            line: index + 1,
            key,
        }
    }
}
