//! Faults that can be injected into a simulated backend or into a relay's discovery agent.
use thistlecroft::time::Duration;

/// A fault that can be injected into a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendFault {
    /// The machine is unreachable: no connection succeeds, and open ones carry nothing. When the
    /// fault is cleared, the backend restarts and warms up.
    Unreachable,
    /// The process is paused: connections succeed, but nothing is read or written.
    Frozen,
    /// Accepts connections but answers no attempt; established sessions are served.
    Unresponsive,
    /// Runs this many times slower.
    Slow(f64),
    /// Is paused once in each period (the first duration) for the second duration.
    PeriodicPause(Duration, Duration),
    /// Answers this share of the attempts with an error immediately.
    ErrorRate(f64),
    /// Resets connections as soon as they are accepted.
    ResetOnAccept,
    /// Resets an attempt's connection once the first line is read.
    ResetOnRequest,
    /// Sends half an answer and nothing after it.
    PartialAnswer,
    /// Never closes its side of a session that the client has closed.
    NeverCloses,
    /// Accepts a session and resets its connection immediately.
    ResetAfterSetup,
}

impl BackendFault {
    /// Returns the fault's name in scenarios and recorded events.
    pub fn name(self) -> &'static str {
        match self {
            BackendFault::Unreachable => "silent",
            BackendFault::Frozen => "freeze",
            BackendFault::Unresponsive => "mute",
            BackendFault::Slow(_) => "slow",
            BackendFault::PeriodicPause(..) => "pauses",
            BackendFault::ErrorRate(_) => "errors",
            BackendFault::ResetOnAccept => "reset-before",
            BackendFault::ResetOnRequest => "reset-after",
            BackendFault::PartialAnswer => "half-answer",
            BackendFault::NeverCloses => "never-closes",
            BackendFault::ResetAfterSetup => "drops-young",
        }
    }
}

/// A fault that can be injected into the discovery agent of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentFault {
    /// Keeps connections open but writes nothing.
    Silent,
    /// Resets open connections, and new ones when a request arrives.
    Unavailable,
    /// Keeps sending empty lines but announces no changes.
    Stale,
    /// Loses its state, so that generations start anew. The fault ends immediately.
    StateLost,
    /// Writes one line that is not an endpoint list. The fault ends immediately.
    Malformed,
}

impl AgentFault {
    /// Returns the fault's name in scenarios and recorded events.
    pub fn name(self) -> &'static str {
        match self {
            AgentFault::Silent => "discovery-silent",
            AgentFault::Unavailable => "discovery-down",
            AgentFault::Stale => "discovery-stale",
            AgentFault::StateLost => "discovery-restart",
            AgentFault::Malformed => "discovery-malformed",
        }
    }
}
