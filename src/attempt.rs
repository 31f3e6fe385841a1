//! What the embedding protocol reports of sessions and of their connection attempts.
use crate::ids::RouteId;
use crate::time::Duration;

/// A session as it asks for a backend.
#[derive(Clone, Copy, Debug, Default)]
pub struct Arrival {
    /// The row of the route table that it goes by.
    pub route: RouteId,
    /// Identifies the client, so that its failures are counted over its sessions.
    pub client_key: Option<u64>,
    /// Sessions of one group share work on the backend that holds them.
    pub group: Option<u64>,
    /// How long the client waits for its answer.
    pub timeout: Duration,
}

/// How an attempt, or the connection that it set up, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The connection was closed in order.
    Ok,
    /// The backend answered with an error.
    Error,
    /// The backend refused for want of capacity; nothing ran.
    Saturated,
    /// No answer came in time.
    TimedOut,
    /// No connection came up; nothing ran.
    Unreachable,
    /// The connection broke.
    Reset,
    /// It was cancelled here.
    Cancelled,
    /// It ended before anything was written; nothing ran.
    NotSent,
}

impl AttemptOutcome {
    /// Whether the backend may have acted on the request.
    pub fn may_have_run(self) -> bool {
        !matches!(
            self,
            AttemptOutcome::Saturated | AttemptOutcome::Unreachable | AttemptOutcome::NotSent
        )
    }
}

/// What a backend reports of its load, as far as it does.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Connections that it holds.
    pub connections: Option<f64>,
    /// The load asked of it over its capacity.
    pub load: Option<f64>,
}

/// The end of an attempt, or of the connection that it set up.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The attempt's number within its session, from 0.
    pub attempt: u32,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The client has its final answer by this end, or had it before.
    pub is_answered: bool,
    /// The load report that came with the end.
    pub report: LoadReport,
}
