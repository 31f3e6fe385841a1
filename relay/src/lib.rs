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

#[cfg(test)]
mod tests;
