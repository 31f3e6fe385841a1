//! The relay on sockets, for a process of its own or inside another: read a `Posting`, start a `Service`, run it.
mod backends;
mod buffers;
mod clients;
mod counters;
mod discovery;
mod front;
mod lines;
mod protocol;
mod service;
mod sockets;
mod start;
mod timers;
mod works;

pub use service::Service;
pub use start::{Posting, read, read_file};

/// Serves by a file until told to stop: what a main program does.
///
/// # Errors
/// One line: the file can't be read or is malformed, the address is taken, or the poller failed.
pub fn serve(path: &str) -> Result<(), String> {
    let posting = read_file(path)?;
    Service::start(posting).and_then(Service::run).map_err(|fault| fault.to_string())
}

#[cfg(test)]
mod tests;
