//! The results of a run, in figures.
mod delays;
mod findings;
mod load_rounds;
mod text;

pub use delays::Delays;
pub(crate) use findings::{Findings, summarize};
pub(crate) use load_rounds::{Round, rounds};

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The sessions of one listener.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListenerSummary {
    /// The listener's name.
    pub name: String,
    /// Clients that came.
    pub arrivals: u64,
    /// Sessions accepted.
    pub up: u64,
    /// Sessions rejected with a promise of no effect.
    pub busy: u64,
    /// Sessions failed without such a promise.
    pub failed: u64,
    /// Clients that gave up.
    pub lost: u64,
    /// Well-served seconds over those asked for.
    pub served: f64,
    /// From when a client was due until its session was accepted.
    pub set_up: Delays,
    /// From a line to its return.
    pub lines: Delays,
    /// Attempts of one session at most.
    #[serde(default)]
    pub most_dials: usize,
    /// Retries as a part of the sessions.
    #[serde(default)]
    pub further: f64,
    /// Hedged attempts as a part of the sessions.
    #[serde(default)]
    pub second: f64,
    /// The longest time to an answer.
    #[serde(default)]
    pub longest_answer_ms: f64,
}

/// What one relay cost, over all its processes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RelaySummary {
    /// CPU time in seconds.
    pub cpu_s: f64,
    /// Resident memory at most.
    pub most_resident_mb: f64,
    /// Resident memory as measured last.
    pub last_resident_mb: f64,
}

/// The first violation of a rule.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ViolationSummary {
    /// The rule's number, from 1.
    pub rule: usize,
    /// Seconds since the run began.
    pub at_s: f64,
    /// What happened.
    pub what: String,
    /// The events that led to it.
    pub story: Vec<String>,
}

/// The results of a run, as `summary.json` holds them: fields have the names of their keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Summary {
    /// The scenario's name.
    pub scenario: String,
    /// What was run: the scenario's own relays, a variant or a baseline.
    pub way: String,
    /// Clients connected to backends themselves: rules are counted, and owed by nobody.
    pub baseline: bool,
    /// The seed.
    pub seed: u64,
    /// False where the run was interrupted: its figures are of a part.
    pub complete: bool,
    /// The run's length in seconds.
    pub length_s: f64,
    /// Violations, by rule.
    pub rules: [usize; 4],
    /// The first violation of each rule.
    pub first_breaks: Vec<ViolationSummary>,
    /// What all relays did together that they may not: how often, by its name, and the first.
    #[serde(default)]
    pub together: BTreeMap<String, (usize, String)>,
    /// Relays that crashed or did not end in time.
    pub crashes: usize,
    /// Sessions that asked for an answer.
    pub sessions: usize,
    /// Sessions that got one.
    pub answered: usize,
    /// Sessions that are owed none.
    pub excused: usize,
    /// Sessions accepted.
    pub up: u64,
    /// Sessions rejected with a promise of no effect.
    pub busy: u64,
    /// Sessions failed without such a promise.
    pub failed: u64,
    /// Sessions without an answer.
    pub unanswered: u64,
    /// Sessions asked to migrate.
    pub moved: u64,
    /// Established sessions that broke.
    pub cut_off: u64,
    /// Clients that gave up.
    pub lost: u64,
    /// Connections that no relay took.
    pub never_taken: usize,
    /// Lines that came back wrong or out of order.
    pub wrong_lines: u64,
    /// Misbehaving clients.
    pub rude: u64,
    /// Misbehaving clients that got their answer or end.
    pub rude_answered: u64,
    /// The worth of well-served seconds over that of all seconds asked for.
    pub served: f64,
    /// From when a client was due until its session was accepted.
    pub set_up: Delays,
    /// From a line to its return.
    pub lines: Delays,
    /// By listener.
    pub listeners: Vec<ListenerSummary>,
    /// Connection attempts.
    pub dials: usize,
    /// Connection attempts over sessions.
    pub dials_a_session: f64,
    /// Attempts of one session at most.
    pub most_dials: usize,
    /// Established sessions at most.
    pub most_standing: usize,
    /// Standard deviation over mean of the backends' loads, the mean over the run.
    pub load_spread: f64,
    /// The greatest load of a backend over its capacity.
    pub most_load: f64,
    /// The greatest used part of a backend's warm-up budget; above 1 it is overloaded.
    pub cold_push: f64,
    /// By relay.
    pub relays: Vec<RelaySummary>,
    /// CPU time of all relays by lines passed up, in microseconds.
    pub cpu_us_a_line: f64,
    /// How late clients came after they were due.
    pub tool_late: Delays,
    /// The longest turn of a testbed's thread.
    pub tool_worst_turn_ms: f64,
    /// The part of its time that the busiest thread worked.
    pub tool_busy: f64,
    /// The testbed was the bottleneck: delays say little.
    pub tool_was_late: bool,
}

impl Summary {
    /// Whether all rules were kept and no relay crashed. A baseline owes no rules.
    pub fn kept(&self) -> bool {
        let rules_kept = self.rules == [0; 4] && self.together.is_empty();
        (rules_kept || self.baseline) && self.crashes == 0
    }
}
