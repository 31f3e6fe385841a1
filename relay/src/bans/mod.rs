//! Bans of backends by operators, stored for every process of this relay.
pub(crate) mod list;
pub(crate) mod store;
