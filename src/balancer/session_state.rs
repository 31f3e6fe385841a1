//! State that the balancer keeps for one session.
use crate::attempt::Arrival;
use crate::deployment::Route;
use crate::ids::BackendId;
use crate::time::Instant;
use std::sync::Arc;

/// One connection attempt, from its start to the end of the connection that it sets up.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    /// The attempt's number within the session, from 0.
    pub(super) number: u32,
    pub(super) backend: BackendId,
    pub(super) started_at: Instant,
}

/// The progress of a session.
#[derive(Clone, Copy, Default)]
pub(super) enum SessionState {
    /// The next attempt of the session is being decided on.
    #[default]
    New,
    /// The session waits for its retry, which is reserved within the retry limits.
    BackingOff,
    /// An attempt is under way.
    Connecting(Attempt),
    /// The session's connection is established.
    Established {
        attempt: Attempt,
        established_at: Instant,
    },
    /// The client has its answer, was migrated or has left. Only the end of an attempt is still to
    /// be reported.
    Closing,
    /// The session is released.
    Ended,
}

impl SessionState {
    /// Returns the backend that the session occupies.
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
    /// Failures so far. They are counted here only for a session without a client key.
    pub(super) failures: u32,
    /// The first attempt that may have run at a backend.
    pub(super) first_run: Option<Attempt>,
    /// The backend where the latest attempt failed, or where the one under way is being hedged.
    pub(super) last_backend: Option<BackendId>,
    /// A hedged attempt that is under way beside the one in `state`.
    pub(super) hedge: Option<Attempt>,
    /// Attempts under way whose end no longer matters to the session. Whether they were sent is still
    /// to be reported.
    pub(super) abandoned: Vec<Attempt>,
    /// The load of its connection as a share of a backend's capacity, if it has been observed.
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
            abandoned: Vec::new(),
            load: None,
        }
    }

    /// Removes and returns the abandoned attempt with this number.
    pub(super) fn take_abandoned(&mut self, number: u32) -> Option<Attempt> {
        let mut attempts = self.abandoned.iter();
        let index = attempts.position(|attempt| attempt.number == number)?;
        Some(self.abandoned.swap_remove(index))
    }
}
