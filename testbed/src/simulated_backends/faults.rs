//! Faults that can be injected into a simulated backend or into a relay's discovery agent.
use thistlecroft::time::Duration;

/// What may be wrong with a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendFault {
    /// The machine is gone from the network: no connection succeeds and open ones are silent. Once
    /// the fault is cleared it has restarted and warms up.
    Unreachable,
    /// The process is paused: connections succeed, but nothing is read or written.
    Frozen,
    /// Takes connection attempts and answers none; established sessions are served.
    Unresponsive,
    /// Runs this many times slower.
    Slow(f64),
    /// Is paused for the second duration once in each of the first.
    PeriodicPause(Duration, Duration),
    /// Answers this part of the attempts with an error at once.
    ErrorRate(f64),
    /// Resets connections as soon as they are accepted.
    ResetOnAccept,
    /// Resets attempts once their first line is read.
    ResetOnRequest,
    /// Sends half an answer and nothing after it.
    PartialAnswer,
    /// Never closes its side of a session that the client has closed.
    NeverCloses,
    /// Accepts a session and resets it at once.
    ResetAfterSetup,
}

impl BackendFault {
    /// The fault's name in scenarios and recorded events.
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

/// What may be wrong with the agent that tells a relay of the backends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentFault {
    /// Open watches stay open and nothing is written.
    Silent,
    /// Watches are reset and new ones refused.
    Unavailable,
    /// Goes on with empty lines and announces no change.
    Stale,
    /// Loses its state, so that versions start anew. The fault is over at once.
    StateLost,
    /// Writes one line that is no endpoint list. The fault is over at once.
    Malformed,
}

impl AgentFault {
    /// The fault's name in scenarios and recorded events.
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
