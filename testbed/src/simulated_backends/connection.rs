//! A connection to a simulated backend or to a discovery agent, and its protocol state.
use crate::event_recorder::{BackendIndex, RelayIndex, SessionId};
use crate::line_socket::LineSocket;
use std::collections::VecDeque;
use thistlecroft::time::Instant;

/// The protocol state of a connection to a backend.
#[derive(Debug, PartialEq)]
pub(super) enum SessionState {
    AwaitingRequest,
    /// The request was read; the answer is not sent yet, or never will be because of a fault.
    SettingUp,
    Established,
    /// The last message was sent, and the peer has not closed the connection yet.
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
    /// Messages to be echoed, with the times at which they are due.
    pub(super) echoes: VecDeque<(Instant, String)>,
    /// When the latest echo is due; a later message is not echoed before it.
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
pub(super) struct AgentConnection {
    pub(super) relay: RelayIndex,
    /// Whether the relay has requested a watch, which was answered.
    pub(super) is_watching: bool,
    /// The generation of the list that was last sent.
    pub(super) sent_generation: Option<u64>,
}

impl AgentConnection {
    pub(super) fn new(relay: RelayIndex) -> AgentConnection {
        AgentConnection {
            relay,
            is_watching: false,
            sent_generation: None,
        }
    }
}

/// The purpose of a connection, with its state.
pub(super) enum Role {
    Backend(BackendConnection),
    Agent(AgentConnection),
    /// Occupies a place in the backlog of an unreachable backend.
    BacklogFiller(BackendIndex),
}

/// A connection of the simulated backends.
pub(super) struct Connection {
    pub(super) socket: LineSocket,
    pub(super) role: Role,
    /// Distinguishes the connection from earlier ones with the same slab key.
    pub(super) serial: u64,
}

impl Connection {
    /// Returns the state of a connection to a backend; `None` for other roles.
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
