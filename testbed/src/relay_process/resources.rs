//! The resources that processes use: CPU time, memory and file descriptors.
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use std::fs::{DirEntry, read_dir, read_to_string};
use std::path::PathBuf;
use thistlecroft::time::Duration;

/// Returns the CPU time of a process's living threads so far and its resident memory in bytes, or
/// `None` if the process has ended.
pub fn process_cost(pid: u32) -> Option<(Duration, u64)> {
    let folder = PathBuf::from(format!("/proc/{pid}"));
    let threads = read_dir(folder.join("task")).ok()?.filter_map(Result::ok);
    let nanoseconds: u64 = threads
        .filter_map(|thread| thread_nanoseconds(&thread))
        .sum();
    let pages: u64 = read_to_string(folder.join("statm"))
        .ok()?
        .split(' ')
        .nth(1)?
        .parse()
        .ok()?;
    // A zombie process, which has ended but was not waited for, shows no CPU time and no memory.
    (nanoseconds > 0).then(|| {
        (
            Duration::from_micros(nanoseconds / 1_000),
            pages * rustix::param::page_size() as u64,
        )
    })
}

/// Returns the CPU time of a thread in nanoseconds, read from the thread's folder in `/proc`.
fn thread_nanoseconds(thread: &DirEntry) -> Option<u64> {
    let statistics = read_to_string(thread.path().join("schedstat")).ok()?;
    statistics.split(' ').next()?.parse().ok()
}

/// An error of raising the limit of file descriptors.
#[derive(Debug, thiserror::Error)]
pub enum DescriptorLimitError {
    /// The hard limit is too low.
    #[error(
        "{needed} descriptors are needed and the limit is {hard_limit} (ulimit -Hn): raise it, or run fewer clients"
    )]
    TooLow {
        /// The number of descriptors that is needed.
        needed: u64,
        /// The hard limit, which only a privileged user can raise.
        hard_limit: u64,
    },
    /// The soft limit could not be raised.
    #[error("can't raise the limit of file descriptors from {soft_limit}: {source}")]
    NotRaised {
        /// The soft limit, which stays in force.
        soft_limit: u64,
        /// The error of the system.
        source: std::io::Error,
    },
}

/// Lets callers that report errors as strings use `?`.
impl From<DescriptorLimitError> for String {
    fn from(error: DescriptorLimitError) -> String {
        error.to_string()
    }
}

/// Raises the soft limit of file descriptors of this process, which the relays that it starts
/// inherit, to at least `needed`; returns the soft limit.
///
/// # Errors
/// Returns an error if the limit can't be raised to `needed`.
pub fn ensure_descriptor_limit(needed: u64) -> Result<u64, DescriptorLimitError> {
    let limit = getrlimit(Resource::Nofile);
    let soft_limit = limit.current.unwrap_or(u64::MAX);
    let hard_limit = limit.maximum.unwrap_or(u64::MAX);
    if soft_limit >= needed {
        return Ok(soft_limit);
    }
    if hard_limit < needed {
        return Err(DescriptorLimitError::TooLow { needed, hard_limit });
    }
    let raised = Rlimit {
        current: Some(needed),
        maximum: limit.maximum,
    };
    setrlimit(Resource::Nofile, raised).map_err(|errno| DescriptorLimitError::NotRaised {
        soft_limit,
        source: errno.into(),
    })?;
    Ok(needed)
}
