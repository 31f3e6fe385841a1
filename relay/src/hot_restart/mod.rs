//! Hot restart: a successor process takes over from this one, connections and all.
pub mod channel;
pub mod messages;
