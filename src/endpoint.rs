//! What service discovery tells of backends.
use crate::ids::{BackendId, CellId, ZoneId};
use crate::time::Instant;

/// Whether a backend takes new connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes new connections.
    Ready,
    /// It keeps the connections that it has and takes no new ones.
    Draining,
    /// It is not in the endpoint list.
    #[default]
    Removed,
}

/// How an update of the endpoint list is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// Only the endpoints that changed.
    Delta,
    /// The complete list: an endpoint that it lacks is removed.
    Snapshot,
    /// A complete list that was cached, perhaps long out of date.
    CachedSnapshot,
}

/// One backend as the endpoint list has it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// The index that stands for the backend in this process.
    pub backend: BackendId,
    /// The same number at every relay, in whatever order they learn of the backends.
    pub stable_hash: u64,
    /// The zone that it runs in.
    pub zone: ZoneId,
    /// The cell within the zone.
    pub cell: CellId,
    /// Whether it takes new connections.
    pub state: EndpointState,
    /// Falls as connections held there grow; 1 where the list does not tell.
    pub weight: f64,
    /// When the process started; none where that was long ago.
    pub started_at: Option<Instant>,
}
