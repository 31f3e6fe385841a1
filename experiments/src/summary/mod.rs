//! The summary of a run: its results as figures.
mod delays;
mod findings;
mod load_rounds;
mod text;

pub use delays::Delays;
pub(crate) use findings::{Findings, summarize};
pub(crate) use load_rounds::{Round, rounds};

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The figures of one listener.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListenerSummary {
    /// The listener's name.
    pub name: String,
    /// The number of clients that arrived.
    pub arrivals: u64,
    /// The number of accepted sessions.
    #[serde(rename = "up")]
    pub accepted: u64,
    /// The number of sessions that were rejected with a promise of no effect.
    #[serde(rename = "busy")]
    pub rejected: u64,
    /// The number of sessions that failed without such a promise.
    pub failed: u64,
    /// The number of clients that gave up.
    #[serde(rename = "lost")]
    pub gave_up: u64,
    /// Well-served seconds divided by requested seconds.
    pub served: f64,
    /// The time from when a client was due until its session was accepted.
    #[serde(rename = "set_up")]
    pub setup_delays: Delays,
    /// The time from sending a message to receiving its echo.
    #[serde(rename = "lines")]
    pub message_delays: Delays,
    /// The maximum number of attempts of one session.
    #[serde(default, rename = "most_dials")]
    pub max_attempts: usize,
    /// The number of retries divided by the number of sessions.
    #[serde(default, rename = "further")]
    pub retries_per_session: f64,
    /// The number of hedged attempts divided by the number of sessions.
    #[serde(default, rename = "second")]
    pub hedged_per_session: f64,
    /// The longest time to an answer, in milliseconds.
    #[serde(default)]
    pub longest_answer_ms: f64,
}

/// The costs of one relay, over all its processes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RelaySummary {
    /// The CPU time in seconds.
    pub cpu_s: f64,
    /// The maximum resident memory in megabytes.
    #[serde(rename = "most_resident_mb")]
    pub max_resident_mb: f64,
    /// The last measured resident memory in megabytes.
    pub last_resident_mb: f64,
}

/// The first violation of an invariant.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ViolationSummary {
    /// The invariant's number, from 1.
    #[serde(rename = "rule")]
    pub invariant: usize,
    /// The time of the violation in seconds since the run began.
    pub at_s: f64,
    /// A description of the violation.
    #[serde(rename = "what")]
    pub description: String,
    /// Descriptions of the events that led to the violation.
    #[serde(rename = "story")]
    pub timeline: Vec<String>,
}

/// The summary of a run, as it is written to `summary.json`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Summary {
    /// The scenario's name.
    pub scenario: String,
    /// The name of the target: the scenario's own relays, a variant or a baseline.
    #[serde(rename = "way")]
    pub target: String,
    /// Whether the target was a baseline. Violations are then counted but don't fail the run.
    pub baseline: bool,
    /// The seed of the run.
    pub seed: u64,
    /// False if the run was interrupted, so that the figures cover only a part of it.
    pub complete: bool,
    /// The run's length in seconds.
    pub length_s: f64,
    /// The number of violations of each invariant that binds a single relay.
    #[serde(rename = "rules")]
    pub violation_counts: [usize; 4],
    /// The first violation of each of these invariants.
    #[serde(rename = "first_breaks")]
    pub first_violations: Vec<ViolationSummary>,
    /// For each violated invariant of the relays together: its name, the number of violations, and
    /// a description of the first.
    #[serde(default, rename = "together")]
    pub cluster_violations: BTreeMap<String, (usize, String)>,
    /// The number of failures of relays: crashes, late shutdowns, and starts or admin commands that
    /// failed.
    pub crashes: usize,
    /// The number of sessions that requested an answer.
    pub sessions: usize,
    /// The number of sessions that got an answer.
    pub answered: usize,
    /// The number of sessions for which no answer is required.
    pub excused: usize,
    /// The number of accepted sessions.
    #[serde(rename = "up")]
    pub accepted: u64,
    /// The number of sessions that were rejected with a promise of no effect.
    #[serde(rename = "busy")]
    pub rejected: u64,
    /// The number of sessions that failed without such a promise.
    pub failed: u64,
    /// The number of sessions without an answer.
    pub unanswered: u64,
    /// The number of sessions that were asked to migrate.
    #[serde(rename = "moved")]
    pub migrated: u64,
    /// The number of established sessions whose connection was lost.
    #[serde(rename = "cut_off")]
    pub connections_lost: u64,
    /// The number of clients that gave up.
    #[serde(rename = "lost")]
    pub gave_up: u64,
    /// The number of clients' connections that were not accepted, or were reset before the client
    /// had written its whole request.
    #[serde(rename = "never_taken")]
    pub failed_connects: usize,
    /// The number of lines that clients received in place of the echo of their next message.
    #[serde(rename = "wrong_lines")]
    pub mismatched_messages: u64,
    /// The number of misbehaving clients.
    #[serde(rename = "rude")]
    pub misbehaving: u64,
    /// The number of misbehaving clients that got an answer or whose connection was closed.
    #[serde(rename = "rude_answered")]
    pub misbehaving_answered: u64,
    /// Well-served seconds divided by requested seconds, both weighted by listener.
    pub served: f64,
    /// The time from when a client was due until its session was accepted.
    #[serde(rename = "set_up")]
    pub setup_delays: Delays,
    /// The time from sending a message to receiving its echo.
    #[serde(rename = "lines")]
    pub message_delays: Delays,
    /// The figures of each listener.
    pub listeners: Vec<ListenerSummary>,
    /// The number of connection attempts to backends.
    #[serde(rename = "dials")]
    pub attempts: usize,
    /// The number of attempts divided by the number of sessions.
    #[serde(rename = "dials_a_session")]
    pub attempts_per_session: f64,
    /// The maximum number of attempts of one session.
    #[serde(rename = "most_dials")]
    pub max_attempts: usize,
    /// The maximum number of sessions that were established at one time.
    #[serde(rename = "most_standing")]
    pub max_established: usize,
    /// The standard deviation of the backends' loads divided by their mean, averaged over the run.
    pub load_spread: f64,
    /// The greatest load of a backend, divided by its capacity.
    #[serde(rename = "most_load")]
    pub max_load: f64,
    /// The greatest share of a warm-up budget that was used; a backend is overloaded above 1.
    #[serde(rename = "cold_push")]
    pub warm_up_budget_used: f64,
    /// The costs of each relay.
    pub relays: Vec<RelaySummary>,
    /// The CPU time of all relays divided by the number of echoed messages, in microseconds.
    #[serde(rename = "cpu_us_a_line")]
    pub cpu_us_per_message: f64,
    /// The time from when clients were due until they connected.
    #[serde(rename = "tool_late")]
    pub testbed_connect_delay: Delays,
    /// The longest turn of a testbed thread's event loop, in milliseconds.
    #[serde(rename = "tool_worst_turn_ms")]
    pub testbed_longest_turn_ms: f64,
    /// The share of its time for which the busiest testbed thread was busy, from 0 to 1.
    #[serde(rename = "tool_busy")]
    pub testbed_busy_share: f64,
    /// Whether the testbed was the bottleneck, so that measured delays are unreliable.
    #[serde(rename = "tool_was_late")]
    pub testbed_was_late: bool,
}

impl Summary {
    /// Returns true if no invariant was violated and no relay failed. Violations by a baseline
    /// don't count.
    pub fn passed(&self) -> bool {
        let invariants_kept = self.violation_counts == [0; 4] && self.cluster_violations.is_empty();
        (invariants_kept || self.baseline) && self.crashes == 0
    }
}
