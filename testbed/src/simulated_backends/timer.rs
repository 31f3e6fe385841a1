//! The timers of the simulated backends.
use super::listener::ListenerKey;
use crate::endpoint_list::EndpointRow;
use crate::event_recorder::{BackendIndex, RelayIndex};
use thistlecroft::time::Duration;

/// Identifies a connection: a reused slab key has another serial number.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionId {
    pub(super) key: usize,
    pub(super) serial: u64,
}

/// Identifies a backend in one of its incarnations.
#[derive(Clone, Copy, Debug)]
pub struct Incarnation {
    pub(super) backend: BackendIndex,
    pub(super) number: u32,
}

/// A timer of the simulated backends, named after what is due.
#[derive(Clone, Debug)]
pub enum Timer {
    /// The set-up of a session is done.
    SetupDone(ConnectionId),
    /// A message is due to be echoed.
    EchoDue(ConnectionId),
    /// A periodic pause begins if the value is true, and ends otherwise.
    SetPaused(Incarnation, bool),
    /// A crashed backend restarts.
    Restart(Incarnation),
    /// A draining backend migrates its next session; the duration is the time left for all
    /// remaining migrations.
    MigrateNext(Incarnation, Duration),
    /// A draining backend stops.
    Stop(Incarnation),
    /// A change of the endpoint list has reached the agent of a relay.
    Announce(RelayIndex, BackendIndex, EndpointRow),
    /// Watches get an empty line.
    WatchHeartbeat,
    /// Load reports are refreshed.
    Report,
    /// A listener accepts connections again after descriptors ran out.
    ResumeAccepting(ListenerKey),
}
