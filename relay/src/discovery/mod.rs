//! Service discovery: the watch on the endpoint list that the discovery agent sends.
mod connection;
pub(crate) mod decoding;
mod error;
mod http;
mod poll_schedule;
pub(crate) mod registry;
pub(crate) mod watch;
