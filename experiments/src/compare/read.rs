//! Summaries of runs, found in folders.
use crate::summary::Summary;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Folders between the one that is named and a run's: scenario, target and seed.
const MAX_DEPTH: u32 = 3;

/// Why no summaries could be had.
#[derive(Debug, Error)]
pub enum ReadError {
    /// A folder or file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file or folder.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// A summary is not one.
    #[error("{path}: {source}")]
    Malformed {
        /// The file or folder.
        path: PathBuf,
        /// Why not.
        source: serde_json::Error,
    },
    /// There is no run.
    #[error("{0}: no summary.json in it or below")]
    NoRun(PathBuf),
}

/// The summaries of a run's folder, or of all runs below it, by path.
///
/// # Errors
/// The folder can't be read, or holds no run.
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
