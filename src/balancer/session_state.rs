//! What the balancer keeps of one session.
use crate::attempt::Arrival;
use crate::deployment::Route;
use crate::ids::BackendId;
use crate::time::Instant;
use std::sync::Arc;

/// One connection attempt, from its start to the end of the connection that it sets up.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    /// Its number within the session, from 0.
    pub(super) number: u32,
    pub(super) backend: BackendId,
    pub(super) started_at: Instant,
}

/// How far a session is.
#[derive(Clone, Copy, Default)]
pub(super) enum SessionState {
    /// It has arrived, and its next attempt is being decided on.
    #[default]
    New,
    /// It waits for its retry, which is reserved with the limits.
    BackingOff,
    /// An attempt is under way.
    Connecting(Attempt),
    /// A connection stands.
    Established { attempt: Attempt, since: Instant },
    /// The client has its answer, was migrated or has left; only the end of an attempt is still to
    /// be reported.
    Closing,
    /// It is released.
    Ended,
}

impl SessionState {
    /// The backend that the session occupies.
    pub(super) fn backend(self) -> Option<BackendId> {
        match self {
            SessionState::Connecting(attempt) | SessionState::Established { attempt, .. } => {
                Some(attempt.backend)
            }
            _ => None,
        }
    }
}

/// One session, from its arrival until it is released.
pub(super) struct Session {
    pub(super) arrival: Arrival,
    /// The row of the route table as it was when the session arrived.
    pub(super) route: Arc<Route>,
    /// When the client stops waiting for its answer.
    pub(super) deadline: Instant,
    pub(super) state: SessionState,
    pub(super) attempts_started: u32,
    /// Failures of a session without a client key.
    pub(super) failures: u32,
    /// The first attempt that may have run at a backend.
    pub(super) first_run: Option<Attempt>,
    /// Where the latest attempt failed, or where the one under way is hedged.
    pub(super) last_backend: Option<BackendId>,
    /// An attempt under way beside the one of the state.
    pub(super) hedge: Option<Attempt>,
    /// The load of its connection, where it is observed.
    pub(super) load: Option<f64>,
}

impl Session {
    pub(super) fn new(arrival: Arrival, route: Arc<Route>, now: Instant) -> Session {
        Session {
            arrival,
            route,
            deadline: now + arrival.timeout,
            state: SessionState::New,
            attempts_started: 0,
            failures: 0,
            first_run: None,
            last_backend: None,
            hedge: None,
            load: None,
        }
    }
}
