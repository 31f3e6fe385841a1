//! The properties of a deployment on which the invariants depend, and the result of a check.
use thistlecroft::deployment::Idempotency;
use thistlecroft::time::{Duration, Instant};

/// The properties of the deployment under test on which the invariants depend.
#[derive(Clone, Debug)]
pub struct DeploymentProperties {
    /// Which sessions may be attempted again, by listener.
    pub idempotency: Vec<Idempotency>,
    /// Whether hedged attempts are allowed, by listener; they are not for a listener without an
    /// entry.
    pub hedged: Vec<bool>,
    /// The time for which new sessions may still reach a backend after its drain or stop was
    /// announced.
    pub drain_grace: Duration,
    /// Zone and cell of each backend, by index. They decide which backends share idempotency keys.
    pub backend_locations: Vec<(String, u16)>,
}

/// One of the four invariants that every relay keeps by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Invariant {
    /// Each session receives one final answer in time, and an established one is served to its end.
    FinalAnswer,
    /// No session has its effect twice.
    SingleEffect,
    /// Draining, stopped and banned backends receive no new sessions.
    DrainsAndBans,
    /// No backend is overloaded while it warms up.
    WarmUpOverload,
}

impl Invariant {
    /// Returns the number of the invariant in results, from 1.
    pub(super) fn number(self) -> usize {
        match self {
            Invariant::FinalAnswer => 1,
            Invariant::SingleEffect => 2,
            Invariant::DrainsAndBans => 3,
            Invariant::WarmUpOverload => 4,
        }
    }
}

/// A violation of an invariant.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The number of the invariant, from 1.
    pub invariant: usize,
    /// When the invariant was violated.
    pub at: Instant,
    /// How the invariant was violated.
    pub description: String,
    /// Descriptions of the recorded events that led to the violation.
    pub timeline: Vec<String>,
}

/// The result of a check.
#[derive(Clone, Debug, Default)]
pub struct CheckResult {
    /// The first violation of each invariant.
    pub first_violations: [Option<Violation>; 4],
    /// The number of violations of each invariant.
    pub violation_counts: [usize; 4],
    /// The number of sessions checked.
    pub sessions: usize,
    /// The number of sessions that were answered.
    pub answered: usize,
    /// The number of sessions that were not answered and needed no answer: the client left, or its
    /// relay was killed or paused.
    pub excused: usize,
    /// The number of attempts at all backends.
    pub attempts: usize,
    /// The greatest number of attempts of one session.
    pub max_attempts: usize,
    /// The greatest share of a backend's warm-up budget that was used, as a fraction.
    pub max_warm_up_budget_used: f64,
    /// The attempts of each listener's sessions.
    pub listeners: Vec<AttemptTotals>,
}

/// The attempts of a listener's sessions.
#[derive(Clone, Debug, Default)]
pub struct AttemptTotals {
    /// The number of the listener's sessions.
    pub sessions: usize,
    /// The greatest number of attempts of one session.
    pub max_per_session: usize,
    /// The number of attempts that began after the previous attempt of the session had failed.
    pub retries: usize,
    /// The number of attempts that began while the previous attempt of the session had not failed.
    pub hedged: usize,
    /// The longest time from a request to its answer.
    pub longest_answer_time: Duration,
}

impl CheckResult {
    /// Returns whether no invariant was violated.
    pub fn holds(&self) -> bool {
        self.violation_counts == [0; 4]
    }

    /// Returns `rules kept`, or the numbers of the violated invariants and how often each was
    /// violated.
    pub fn summary(&self) -> String {
        if self.holds() {
            return "rules kept".into();
        }
        let violated: Vec<String> = (1..)
            .zip(self.violation_counts)
            .filter(|(_, count)| *count > 0)
            .map(|(number, count)| format!("rule {number} broken {count} times"))
            .collect();
        violated.join(", ")
    }
}
