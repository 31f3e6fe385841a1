//! Backends that operators have banned, kept for every process of this relay.
pub mod list;
pub mod store;
