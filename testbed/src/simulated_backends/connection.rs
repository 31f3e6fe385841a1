//! A connection to a simulated backend or to a discovery agent, and how far its exchange is.
use crate::event_recorder::{BackendIndex, RelayIndex, SessionId};
use crate::line_socket::LineSocket;
use std::collections::VecDeque;
use thistlecroft::time::Instant;

/// How far the exchange on a connection to a backend is.
#[derive(Debug, PartialEq)]
pub(super) enum SessionState {
    AwaitingRequest,
    /// The answer is being worked on, or never comes.
    SettingUp,
    Established,
    /// The last message was sent; the other side has not closed yet.
    Closing,
}

/// A connection to a backend.
pub(super) struct BackendConnection {
    pub(super) backend: BackendIndex,
    pub(super) state: SessionState,
    pub(super) session: SessionId,
    pub(super) load: f64,
    pub(super) group: Option<u64>,
    /// When the first byte of the request was read.
    pub(super) first_byte_at: Option<Instant>,
    /// Messages to be sent back, and when.
    pub(super) echoes: VecDeque<(Instant, String)>,
    /// When the last of them is sent back.
    pub(super) last_echo_due: Instant,
}

impl BackendConnection {
    pub(super) fn new(backend: BackendIndex, now: Instant) -> BackendConnection {
        BackendConnection {
            backend,
            state: SessionState::AwaitingRequest,
            session: SessionId(0),
            load: 0.0,
            group: None,
            first_byte_at: None,
            echoes: VecDeque::new(),
            last_echo_due: now,
        }
    }
}

/// A relay's connection to its discovery agent.
pub(super) struct WatchConnection {
    pub(super) relay: RelayIndex,
    /// A watch was requested and answered.
    pub(super) is_watching: bool,
    /// The version of the list that was last sent.
    pub(super) sent_version: Option<u64>,
}

impl WatchConnection {
    pub(super) fn new(relay: RelayIndex) -> WatchConnection {
        WatchConnection {
            relay,
            is_watching: false,
            sent_version: None,
        }
    }
}

/// What a connection is for.
pub(super) enum Role {
    Backend(BackendConnection),
    Agent(WatchConnection),
    /// Fills the backlog of an unreachable backend.
    BacklogFiller(BackendIndex),
}

/// A connection of the simulated backends.
pub(super) struct Connection {
    pub(super) socket: LineSocket,
    pub(super) role: Role,
    /// Tells it from an earlier connection of the same slab key.
    pub(super) serial: u64,
}

impl Connection {
    /// None where it is no connection to a backend.
    pub(super) fn as_backend(&self) -> Option<&BackendConnection> {
        match &self.role {
            Role::Backend(connection) => Some(connection),
            Role::Agent(_) | Role::BacklogFiller(_) => None,
        }
    }

    pub(super) fn is_established_at(&self, backend: BackendIndex) -> bool {
        self.as_backend().is_some_and(|connection| {
            connection.backend == backend && connection.state == SessionState::Established
        })
    }
}
