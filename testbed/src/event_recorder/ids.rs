//! Who takes part in a run: sessions, backends and relays.
use serde::{Serialize, Serializer};

/// The id in a session's first line: each connection of a client has a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

impl Serialize for SessionId {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(&format_args!("{:016x}", self.0))
    }
}

/// A simulated backend, by its place in the plan of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct BackendIndex(pub u16);

/// A relay, by its place among the relays of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct RelayIndex(pub u16);
