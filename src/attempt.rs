//! What the embedding protocol reports about sessions and their connection attempts.
use crate::ids::RouteId;
use crate::time::Duration;

/// A session that asks for a backend.
#[derive(Clone, Copy, Debug, Default)]
pub struct Arrival {
    /// The row of the route table that applies to the session.
    pub route: RouteId,
    /// Key of the client, whose failures are counted over all of its sessions.
    pub client_key: Option<u64>,
    /// The group of the session. Sessions of one group share work on the backend that holds them.
    pub group: Option<u64>,
    /// How long the client waits for its answer.
    pub timeout: Duration,
}

/// How an attempt, the connection that it set up, or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The connection was closed in order, or the health check was answered.
    Ok,
    /// The backend answered with an error.
    Error,
    /// The backend refused the attempt for lack of capacity; the request did not run.
    Saturated,
    /// No answer came in time.
    TimedOut,
    /// No connection was set up; the request did not run.
    Unreachable,
    /// The connection broke.
    Reset,
    /// The relay cancelled the attempt.
    Cancelled,
    /// The attempt ended before anything was written; the request did not run.
    NotSent,
}

impl AttemptOutcome {
    /// Returns whether the backend may have acted on the request.
    pub fn may_have_run(self) -> bool {
        !matches!(
            self,
            AttemptOutcome::Saturated | AttemptOutcome::Unreachable | AttemptOutcome::NotSent
        )
    }
}

/// The load that a backend reports. Either value may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of connections that the backend holds.
    pub connections: Option<f64>,
    /// The load asked of the backend, as a share of its capacity.
    pub load: Option<f64>,
}

/// The end of an attempt, or of the connection that it set up.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The attempt's number within its session, from 0.
    pub attempt: u32,
    /// How the attempt or the connection ended.
    pub outcome: AttemptOutcome,
    /// Whether the client received its final answer with this end or before it.
    pub is_answered: bool,
    /// The load report that came with the end.
    pub report: LoadReport,
}
