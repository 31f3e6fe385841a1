//! Errors of scenario files, each with its place in the text.
use super::validation::InvalidValue;
use std::io;
use std::ops::Range;
use thiserror::Error;

/// Why a scenario file can't be used.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The file can't be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// The file's name.
        file: String,
        /// Why not.
        source: io::Error,
    },
    /// Its text is wrong.
    #[error(transparent)]
    Malformed(#[from] MalformedScenario),
}

/// The first thing that is wrong with a scenario's text, as one line.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{file}:{line}: {key}: {reason}")]
pub struct MalformedScenario {
    /// The file's name.
    pub file: String,
    /// Its line, counted from 1.
    pub line: usize,
    /// The key with its table.
    pub key: String,
    /// What is wrong.
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
        let place = Place::of(text, at);
        MalformedScenario {
            file: file.into(),
            line: place.line,
            key: place.key,
            reason,
        }
    }
}

/// Where something stands in a TOML text.
pub(crate) struct Place {
    /// Counted from 1.
    pub(crate) line: usize,
    /// With its table.
    pub(crate) key: String,
}

impl Place {
    pub(crate) fn of(text: &str, at: Range<usize>) -> Place {
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
            (None, None) => "the whole".into(),
        };
        Place {
            line: index + 1,
            key,
        }
    }
}
