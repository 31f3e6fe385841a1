//! Identifiers of the sessions, backends and relays of a run.
use serde::{Serialize, Serializer};

/// The session id in the first line of a client's connection; each connection has a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

impl Serialize for SessionId {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(&format_args!("{:016x}", self.0))
    }
}

/// The index of a simulated backend in the plan of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct BackendIndex(pub u16);

/// The index of a relay among the relays of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct RelayIndex(pub u16);
