//! Backends that operators have banned, kept for every process of this relay.
pub(crate) mod list;
pub(crate) mod store;
