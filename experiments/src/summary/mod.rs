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
    #[serde(rename = "up")]
    pub accepted: u64,
    /// Sessions rejected with a promise of no effect.
    #[serde(rename = "busy")]
    pub rejected: u64,
    /// Sessions failed without such a promise.
    pub failed: u64,
    /// Clients that gave up.
    #[serde(rename = "lost")]
    pub gave_up: u64,
    /// Well-served seconds over those asked for.
    pub served: f64,
    /// From when a client was due until its session was accepted.
    #[serde(rename = "set_up")]
    pub setup_delays: Delays,
    /// From a line to its return.
    #[serde(rename = "lines")]
    pub message_delays: Delays,
    /// Attempts of one session at most.
    #[serde(default, rename = "most_dials")]
    pub max_attempts: usize,
    /// Retries as a part of the sessions.
    #[serde(default, rename = "further")]
    pub retries_per_session: f64,
    /// Hedged attempts as a part of the sessions.
    #[serde(default, rename = "second")]
    pub hedged_per_session: f64,
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
    #[serde(rename = "most_resident_mb")]
    pub max_resident_mb: f64,
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
    #[serde(rename = "what")]
    pub description: String,
    /// The events that led to it.
    #[serde(rename = "story")]
    pub timeline: Vec<String>,
}

/// The results of a run, as `summary.json` holds them: fields have the names of their keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Summary {
    /// The scenario's name.
    pub scenario: String,
    /// What was run: the scenario's own relays, a variant or a baseline.
    #[serde(rename = "way")]
    pub target: String,
    /// Clients connected to backends themselves: rules are counted, and owed by nobody.
    pub baseline: bool,
    /// The seed.
    pub seed: u64,
    /// False where the run was interrupted: its figures are of a part.
    pub complete: bool,
    /// The run's length in seconds.
    pub length_s: f64,
    /// Violations, by rule.
    #[serde(rename = "rules")]
    pub violation_counts: [usize; 4],
    /// The first violation of each rule.
    #[serde(rename = "first_breaks")]
    pub first_violations: Vec<ViolationSummary>,
    /// What all relays did together that they may not: how often, by its name, and the first.
    #[serde(default, rename = "together")]
    pub cluster_violations: BTreeMap<String, (usize, String)>,
    /// Relays that crashed or did not end in time.
    pub crashes: usize,
    /// Sessions that asked for an answer.
    pub sessions: usize,
    /// Sessions that got one.
    pub answered: usize,
    /// Sessions that are owed none.
    pub excused: usize,
    /// Sessions accepted.
    #[serde(rename = "up")]
    pub accepted: u64,
    /// Sessions rejected with a promise of no effect.
    #[serde(rename = "busy")]
    pub rejected: u64,
    /// Sessions failed without such a promise.
    pub failed: u64,
    /// Sessions without an answer.
    pub unanswered: u64,
    /// Sessions asked to migrate.
    #[serde(rename = "moved")]
    pub migrated: u64,
    /// Established sessions that broke.
    #[serde(rename = "cut_off")]
    pub connections_lost: u64,
    /// Clients that gave up.
    #[serde(rename = "lost")]
    pub gave_up: u64,
    /// Connections that no relay took.
    #[serde(rename = "never_taken")]
    pub failed_connects: usize,
    /// Lines that came back wrong or out of order.
    #[serde(rename = "wrong_lines")]
    pub mismatched_messages: u64,
    /// Misbehaving clients.
    #[serde(rename = "rude")]
    pub misbehaving: u64,
    /// Misbehaving clients that got their answer or end.
    #[serde(rename = "rude_answered")]
    pub misbehaving_answered: u64,
    /// The worth of well-served seconds over that of all seconds asked for.
    pub served: f64,
    /// From when a client was due until its session was accepted.
    #[serde(rename = "set_up")]
    pub setup_delays: Delays,
    /// From a line to its return.
    #[serde(rename = "lines")]
    pub message_delays: Delays,
    /// By listener.
    pub listeners: Vec<ListenerSummary>,
    /// Connection attempts.
    #[serde(rename = "dials")]
    pub attempts: usize,
    /// Connection attempts over sessions.
    #[serde(rename = "dials_a_session")]
    pub attempts_per_session: f64,
    /// Attempts of one session at most.
    #[serde(rename = "most_dials")]
    pub max_attempts: usize,
    /// Established sessions at most.
    #[serde(rename = "most_standing")]
    pub max_established: usize,
    /// Standard deviation over mean of the backends' loads, the mean over the run.
    pub load_spread: f64,
    /// The greatest load of a backend over its capacity.
    #[serde(rename = "most_load")]
    pub max_load: f64,
    /// The greatest used part of a backend's warm-up budget; above 1 it is overloaded.
    #[serde(rename = "cold_push")]
    pub warm_up_budget_used: f64,
    /// By relay.
    pub relays: Vec<RelaySummary>,
    /// CPU time of all relays by lines passed up, in microseconds.
    #[serde(rename = "cpu_us_a_line")]
    pub cpu_us_per_message: f64,
    /// How late clients came after they were due.
    #[serde(rename = "tool_late")]
    pub testbed_connect_delay: Delays,
    /// The longest turn of a testbed's thread.
    #[serde(rename = "tool_worst_turn_ms")]
    pub testbed_longest_turn_ms: f64,
    /// The part of its time that the busiest thread worked.
    #[serde(rename = "tool_busy")]
    pub testbed_busy_share: f64,
    /// The testbed was the bottleneck: delays say little.
    #[serde(rename = "tool_was_late")]
    pub testbed_was_late: bool,
}

impl Summary {
    /// Whether all rules were kept and no relay crashed. A baseline owes no rules.
    pub fn passed(&self) -> bool {
        let rules_kept = self.violation_counts == [0; 4] && self.cluster_violations.is_empty();
        (rules_kept || self.baseline) && self.crashes == 0
    }
}
