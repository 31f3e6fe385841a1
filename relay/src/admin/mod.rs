//! The operators' admin port.
pub mod commands;
pub mod connections;
pub mod protocol;
