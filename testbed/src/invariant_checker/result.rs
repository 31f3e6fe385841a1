//! What the platform demands, and what a check of a run against it has found.
use thistlecroft::deployment::Idempotency;
use thistlecroft::time::{Duration, Instant};

/// The platform's figures by which a run is judged.
#[derive(Clone, Debug)]
pub struct PlatformRules {
    /// What sessions may be attempted again, by listener.
    pub idempotency: Vec<Idempotency>,
    /// Whether hedged requests are allowed, by listener; they are not where nothing is stated.
    pub hedged: Vec<bool>,
    /// New sessions may reach a backend for so long after its draining or end was announced.
    pub drain_grace: Duration,
    /// Zone and cell of each backend, for the scope of idempotency keys.
    pub backend_locations: Vec<(String, u16)>,
}

/// One of the four invariants that every relay keeps by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Invariant {
    /// Each session has one final answer in time, and an established one is served to its end.
    FinalAnswer,
    /// No session has an effect twice.
    SingleEffect,
    /// Draining and banned backends get no new sessions.
    DrainsAndBans,
    /// No backend is overloaded while it warms up.
    WarmUpOverload,
}

impl Invariant {
    /// Its number in results, from 1.
    pub(super) fn number(self) -> usize {
        match self {
            Invariant::FinalAnswer => 1,
            Invariant::SingleEffect => 2,
            Invariant::DrainsAndBans => 3,
            Invariant::WarmUpOverload => 4,
        }
    }
}

/// A violated invariant.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The number of the invariant, from 1.
    pub invariant: usize,
    /// When it was violated.
    pub at: Instant,
    /// How it was violated.
    pub description: String,
    /// The recorded events that led to it, one a line.
    pub timeline: Vec<String>,
}

/// What a check has found.
#[derive(Clone, Debug, Default)]
pub struct CheckResult {
    /// The first violation of each invariant.
    pub first_violations: [Option<Violation>; 4],
    /// The number of violations of each invariant.
    pub violation_counts: [usize; 4],
    /// Sessions that were judged.
    pub sessions: usize,
    /// Sessions that had an answer.
    pub answered: usize,
    /// Sessions without an answer that nobody owes one: the client left, or its relay was killed.
    pub excused: usize,
    /// Attempts at all backends.
    pub attempts: usize,
    /// The greatest number of attempts of one session.
    pub max_attempts: usize,
    /// The greatest used part of what a backend can take while it warms up.
    pub max_warm_up_budget_used: f64,
    /// Attempts by listener.
    pub listeners: Vec<AttemptTotals>,
}

/// The attempts of a listener's sessions.
#[derive(Clone, Debug, Default)]
pub struct AttemptTotals {
    /// Sessions of the listener.
    pub sessions: usize,
    /// The greatest number of attempts of one session.
    pub max_per_session: usize,
    /// Attempts that began after the one before had ended.
    pub retries: usize,
    /// Attempts that began while the one before was under way.
    pub hedged: usize,
    /// The longest time to an answer.
    pub longest_answer_time: Duration,
}

impl CheckResult {
    /// Whether all invariants hold.
    pub fn holds(&self) -> bool {
        self.violation_counts == [0; 4]
    }

    /// `rules kept`, or which are broken and how often.
    pub fn summary(&self) -> String {
        if self.holds() {
            return "rules kept".into();
        }
        let broken: Vec<String> = (1..)
            .zip(self.violation_counts)
            .filter(|(_, count)| *count > 0)
            .map(|(rule, count)| format!("rule {rule} broken {count} times"))
            .collect();
        broken.join(", ")
    }
}
