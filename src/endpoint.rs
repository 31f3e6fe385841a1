//! What service discovery reports about backends.
use crate::ids::{BackendId, CellId, ZoneId};
use crate::time::Instant;

/// Whether a backend takes new connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The backend takes new connections.
    Ready,
    /// The backend keeps the connections that it has and takes no new ones.
    Draining,
    /// The backend is not in the endpoint list.
    #[default]
    Removed,
}

/// What an update of the endpoint list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// Only the endpoints that changed.
    Delta,
    /// The complete list: an endpoint that it lacks is removed.
    Snapshot,
    /// A complete list from a cache, which may be long out of date.
    CachedSnapshot,
}

/// One backend as described by the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// The index of the backend in this process.
    pub backend: BackendId,
    /// A hash that is the same at every relay, in whatever order the relays learn of the backends.
    pub stable_hash: u64,
    /// The zone that the backend runs in.
    pub zone: ZoneId,
    /// The cell of the backend within its zone; `None` if the list does not tell it.
    pub cell: Option<CellId>,
    /// Whether the backend takes new connections.
    pub state: EndpointState,
    /// A weight that falls as the backend holds more connections; 1 if the list has no weight.
    pub weight: f64,
    /// When the backend's process started; `None` if that was long ago.
    pub started_at: Option<Instant>,
}
