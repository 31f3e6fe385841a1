//! The operators' admin port.
pub(crate) mod commands;
pub(crate) mod connections;
mod error;
pub(crate) mod protocol;
