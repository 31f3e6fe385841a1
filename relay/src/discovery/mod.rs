//! Service discovery: the endpoint list, as the discovery agent sends it.
mod connection;
pub(crate) mod decoding;
mod error;
mod http;
mod poll_schedule;
pub(crate) mod registry;
pub(crate) mod watch;
