//! The admin port, at which operators send commands to a running relay.
pub(crate) mod commands;
pub(crate) mod connections;
mod error;
pub(crate) mod protocol;
