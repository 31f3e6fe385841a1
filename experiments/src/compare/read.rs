//! Finds and reads the summaries of runs in folders.
use crate::summary::Summary;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The maximum depth of a run's folder below the given one: scenario, target and seed.
const MAX_DEPTH: u32 = 3;

/// An error while reading summaries.
#[derive(Debug, Error)]
pub enum ReadError {
    /// A folder or file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file or folder.
        path: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
    /// A `summary.json` is not a valid summary.
    #[error("{path}: not a valid summary: {source}")]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The underlying error.
        source: serde_json::Error,
    },
    /// The folder contains no run.
    #[error("{0}: no summary.json in it or below")]
    NoRun(PathBuf),
}

/// Returns the summary of the run in a folder, or those of all runs below it, ordered by path.
///
/// # Errors
/// Returns an error if a folder or summary can't be read, or if there is no run.
pub fn read(folder: &Path) -> Result<Vec<Summary>, ReadError> {
    let mut summaries = Vec::new();
    read_below(folder, MAX_DEPTH, &mut summaries)?;
    if summaries.is_empty() {
        return Err(ReadError::NoRun(folder.to_path_buf()));
    }
    Ok(summaries)
}

fn read_below(folder: &Path, depth: u32, summaries: &mut Vec<Summary>) -> Result<(), ReadError> {
    let unreadable = |source| ReadError::Unreadable {
        path: folder.to_path_buf(),
        source,
    };
    let own = folder.join("summary.json");
    if own.exists() {
        let text = std::fs::read(&own).map_err(unreadable)?;
        let summary = serde_json::from_slice(&text)
            .map_err(|source| ReadError::Malformed { path: own, source })?;
        summaries.push(summary);
        return Ok(());
    }
    if depth == 0 {
        return Ok(());
    }
    let entries = std::fs::read_dir(folder).map_err(unreadable)?;
    let mut paths: Vec<PathBuf> = entries
        .filter_map(|entry| Some(entry.ok()?.path()))
        .collect();
    paths.sort();
    for path in paths.iter().filter(|path| path.is_dir()) {
        read_below(path, depth - 1, summaries)?;
    }
    Ok(())
}
