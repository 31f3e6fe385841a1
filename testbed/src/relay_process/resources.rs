//! What processes use of the machine: CPU time, memory and file descriptors.
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use std::fs::{DirEntry, read_dir, read_to_string};
use std::path::PathBuf;
use thistlecroft::time::Duration;

/// CPU time of a process's living threads so far, and bytes of resident memory; none where it has
/// ended.
pub fn process_cost(process: u32) -> Option<(Duration, u64)> {
    let folder = PathBuf::from(format!("/proc/{process}"));
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
    // A process that has ended and was not waited for has neither.
    (nanoseconds > 0).then(|| {
        (
            Duration::from_micros(nanoseconds / 1_000),
            pages * rustix::param::page_size() as u64,
        )
    })
}

/// CPU time of a thread by its folder in `/proc`.
fn thread_nanoseconds(thread: &DirEntry) -> Option<u64> {
    let statistics = read_to_string(thread.path().join("schedstat")).ok()?;
    statistics.split(' ').next()?.parse().ok()
}

/// Why there are not as many file descriptors as are needed.
#[derive(Debug, thiserror::Error)]
pub enum DescriptorLimitError {
    /// The hard limit is too low.
    #[error(
        "{needed} descriptors are needed and the limit is {hard_limit} (ulimit -Hn): raise it, or run fewer clients"
    )]
    TooLow {
        /// The number that is needed.
        needed: u64,
        /// The hard limit.
        hard_limit: u64,
    },
    /// The soft limit could not be raised.
    #[error("the limit of descriptors stays at {soft_limit}: {source}")]
    NotRaised {
        /// The soft limit.
        soft_limit: u64,
        /// What the system said.
        source: std::io::Error,
    },
}

/// For callers that report errors as texts.
impl From<DescriptorLimitError> for String {
    fn from(error: DescriptorLimitError) -> String {
        error.to_string()
    }
}

/// Raises the limit of file descriptors of this process, and with it that of the relays it starts,
/// to what is needed; returns the limit.
///
/// # Errors
/// If the limit can't be raised so far.
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
