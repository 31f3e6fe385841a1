//! Hot restart: a successor process takes over the sessions and connections of this one.
pub(crate) mod channel;
pub(crate) mod messages;
pub(crate) mod state;
