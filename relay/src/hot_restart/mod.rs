//! Hot restart: a successor process takes over from this one, connections and all.
pub(crate) mod channel;
pub(crate) mod messages;
pub(crate) mod state;
