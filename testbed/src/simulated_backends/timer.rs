//! The timers of the simulated backends.
use super::listener::ListenerKey;
use crate::endpoint_list::EndpointRow;
use crate::event_recorder::{BackendIndex, RelayIndex};
use thistlecroft::time::Duration;

/// A connection by its slab key, for as long as its serial number is the same.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionId {
    pub(super) key: usize,
    pub(super) serial: u64,
}

/// A backend in one of its incarnations.
#[derive(Clone, Copy, Debug)]
pub struct Incarnation {
    pub(super) backend: BackendIndex,
    pub(super) number: u32,
}

/// What a timer of the simulated backends is about.
#[derive(Clone, Debug)]
pub enum Timer {
    /// The set-up of a session is done.
    SetupDone(ConnectionId),
    /// A message is to be sent back.
    EchoDue(ConnectionId),
    /// A periodic pause begins, where the value is true, or ends.
    SetPaused(Incarnation, bool),
    /// A crashed backend restarts.
    Restart(Incarnation),
    /// A draining backend migrates its next session; the time is what is left for all of them.
    MigrateNext(Incarnation, Duration),
    /// A draining backend stops.
    Stop(Incarnation),
    /// A change of the endpoint list has reached the agent of a relay.
    Announce(RelayIndex, BackendIndex, EndpointRow),
    /// Idle watches get an empty line.
    WatchHeartbeat,
    /// Load reports are refreshed.
    Report,
    /// Connections are accepted again after descriptors ran out.
    ResumeAccepting(ListenerKey),
}
