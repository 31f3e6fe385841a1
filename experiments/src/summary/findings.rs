//! Computes the summary of a run from its recorded events and totals.
use super::load_rounds::LoadFigures;
use super::{Delays, ListenerSummary, RelaySummary, Summary, ViolationSummary};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_testbed::cluster_invariants::ClusterViolation;
use thistlecroft_testbed::event_recorder::{Observation, RecordedEvent, RelayIndex};
use thistlecroft_testbed::invariant_checker::{AttemptTotals, CheckResult};
use thistlecroft_testbed::load_generator::{ListenerTotals, LoadTotals};
use thistlecroft_testbed::simulated_backends::BackendTotals;

/// The testbed counts as the bottleneck if the 99th percentile of the time from when a client was
/// due until it connected is above this.
const MAX_CONNECT_DELAY_MS: f64 = 20.0;
/// The testbed counts as the bottleneck if one of its threads was busy for more than this share of
/// its time.
const MAX_BUSY_SHARE: f64 = 0.8;
const BYTES_PER_MB: f64 = (1 << 20) as f64;
const MICROS_PER_SECOND: f64 = 1e6;
/// The least divisor, which avoids divisions by zero.
const MIN_DIVISOR: f64 = 1e-9;

/// The results of a run from which its summary is computed.
pub(crate) struct Findings<'a> {
    pub(crate) scenario: &'a str,
    pub(crate) target: &'a str,
    pub(crate) is_baseline: bool,
    pub(crate) seed: u64,
    pub(crate) is_complete: bool,
    pub(crate) length: Duration,
    pub(crate) crashes: usize,
    pub(crate) events: &'a [RecordedEvent],
    pub(crate) check_result: &'a CheckResult,
    pub(crate) cluster_violations: &'a [ClusterViolation],
    /// The totals of each thread of the load generator, at least one.
    pub(crate) load_totals: &'a [LoadTotals],
    pub(crate) backend_totals: BackendTotals,
}

/// Computes the summary of a run.
pub(crate) fn summarize(findings: &Findings) -> Summary {
    let load = CombinedLoadTotals::new(findings.load_totals);
    let testbed = TestbedFigures::new(findings, &load.totals);
    let loads = LoadFigures::new(findings.events);
    let relays = relay_costs(findings.events);
    let cpu_s: f64 = relays.iter().map(|relay| relay.cpu_s).sum();
    let message_latency = load.histogram(|listener| &listener.message_latency);
    let check_result = findings.check_result;
    Summary {
        scenario: findings.scenario.into(),
        target: findings.target.into(),
        baseline: findings.is_baseline,
        seed: findings.seed,
        complete: findings.is_complete,
        length_s: seconds_of(findings.length),
        violation_counts: check_result.violation_counts,
        first_violations: first_violations(check_result),
        cluster_violations: cluster_violations(findings.cluster_violations),
        crashes: findings.crashes,
        sessions: check_result.sessions,
        answered: check_result.answered,
        excused: check_result.excused,
        accepted: load.sum(|listener| listener.accepted),
        rejected: load.sum(|listener| listener.rejected),
        failed: load.sum(|listener| listener.failed),
        unanswered: load.sum(|listener| listener.unanswered),
        migrated: load.sum(|listener| listener.migrated),
        connections_lost: load.sum(|listener| listener.connections_lost),
        gave_up: load.sum(|listener| listener.gave_up),
        failed_connects: failed_connects(findings.events),
        mismatched_messages: load.totals.mismatched_messages,
        misbehaving: load.totals.misbehaving,
        misbehaving_answered: load.totals.misbehaving_answered,
        served: load.weighted_sum(|listener| listener.served_seconds)
            / load
                .weighted_sum(|listener| listener.requested_seconds)
                .max(MIN_DIVISOR),
        setup_delays: Delays::new(&load.histogram(|listener| &listener.setup_latency)),
        message_delays: Delays::new(&message_latency),
        listeners: listener_summaries(&load.totals, check_result),
        attempts: check_result.attempts,
        attempts_per_session: check_result.attempts as f64
            / (check_result.sessions as f64).max(1.0),
        max_attempts: check_result.max_attempts,
        max_established: loads.max_sessions,
        load_spread: loads.mean_spread,
        max_load: loads.max_load,
        warm_up_budget_used: check_result.max_warm_up_budget_used,
        cpu_us_per_message: cpu_s * MICROS_PER_SECOND / (message_latency.len() as f64).max(1.0),
        relays,
        testbed_longest_turn_ms: testbed.longest_turn_ms,
        testbed_was_late: testbed.was_late,
        testbed_connect_delay: testbed.connect_delay,
        testbed_busy_share: testbed.busy_share,
    }
}

fn seconds_of(length: Duration) -> f64 {
    length.as_secs_f64().max(MIN_DIVISOR)
}

/// The sum of the totals of all threads of the load generator.
struct CombinedLoadTotals {
    totals: LoadTotals,
}

impl CombinedLoadTotals {
    fn new(by_thread: &[LoadTotals]) -> CombinedLoadTotals {
        let mut totals = by_thread[0].clone();
        for other in &by_thread[1..] {
            totals.add(other);
        }
        CombinedLoadTotals { totals }
    }

    fn sum(&self, count: fn(&ListenerTotals) -> u64) -> u64 {
        self.totals.listeners.iter().map(count).sum()
    }

    /// Returns the seconds of all listeners, each multiplied by the listener's weight, as one sum.
    fn weighted_sum(&self, seconds: fn(&ListenerTotals) -> f64) -> f64 {
        let listeners = self.totals.listeners.iter();
        listeners
            .map(|listener| listener.priority_weight * seconds(listener))
            .sum()
    }

    fn histogram(&self, of: fn(&ListenerTotals) -> &Histogram<u32>) -> Histogram<u32> {
        let mut sum = of(&self.totals.listeners[0]).clone();
        for listener in &self.totals.listeners[1..] {
            // Adding can't fail, because all histograms have the same bounds.
            let _ = sum.add(of(listener));
        }
        sum
    }
}

/// Figures that tell whether the testbed itself was fast enough.
struct TestbedFigures {
    longest_turn_ms: f64,
    busy_share: f64,
    connect_delay: Delays,
    was_late: bool,
}

impl TestbedFigures {
    fn new(findings: &Findings, load: &LoadTotals) -> TestbedFigures {
        let seconds = seconds_of(findings.length);
        let load_threads = findings.load_totals.iter().map(|totals| totals.busy_time);
        let busy_share = load_threads
            .chain([findings.backend_totals.busy_time])
            .map(|busy| busy.as_secs_f64() / seconds)
            .fold(0.0, f64::max);
        let longest_turn = load.longest_turn.max(findings.backend_totals.longest_turn);
        let connect_delay = Delays::new(&load.connect_delay);
        let is_exhausted = findings
            .events
            .iter()
            .any(|event| event.observation == Observation::TestbedExhausted);
        TestbedFigures {
            longest_turn_ms: longest_turn.as_micros() as f64 / 1e3,
            busy_share,
            was_late: is_exhausted
                || connect_delay.p99 > MAX_CONNECT_DELAY_MS
                || busy_share > MAX_BUSY_SHARE,
            connect_delay,
        }
    }
}

fn seconds_at(at: Instant) -> f64 {
    at.as_micros() as f64 / MICROS_PER_SECOND
}

fn first_violations(check_result: &CheckResult) -> Vec<ViolationSummary> {
    let first = check_result.first_violations.iter().flatten();
    first
        .map(|violation| ViolationSummary {
            invariant: violation.invariant,
            at_s: seconds_at(violation.at),
            description: violation.description.clone(),
            timeline: violation.timeline.clone(),
        })
        .collect()
}

/// Returns for each violated invariant the number of violations and a description of the first.
fn cluster_violations(violations: &[ClusterViolation]) -> BTreeMap<String, (usize, String)> {
    let mut by_invariant: BTreeMap<String, (usize, String)> = BTreeMap::new();
    for violation in violations {
        let first = || {
            let at_s = seconds_at(violation.at);
            (0, format!("at {at_s:.3} s {}", violation.description))
        };
        let name = violation.invariant.name().into();
        by_invariant.entry(name).or_insert_with(first).0 += 1;
    }
    by_invariant
}

fn failed_connects(events: &[RecordedEvent]) -> usize {
    let is_failed =
        |event: &&RecordedEvent| matches!(event.observation, Observation::ConnectFailed { .. });
    events.iter().filter(is_failed).count()
}

fn listener_summaries(load: &LoadTotals, check_result: &CheckResult) -> Vec<ListenerSummary> {
    let rows = load.listeners.iter().enumerate();
    rows.map(|(number, totals)| {
        let attempts = check_result
            .listeners
            .get(number)
            .cloned()
            .unwrap_or_default();
        listener_summary(totals, &attempts)
    })
    .collect()
}

fn listener_summary(totals: &ListenerTotals, attempts: &AttemptTotals) -> ListenerSummary {
    let per_session = |count: usize| count as f64 / (attempts.sessions as f64).max(1.0);
    ListenerSummary {
        max_attempts: attempts.max_per_session,
        retries_per_session: per_session(attempts.retries),
        hedged_per_session: per_session(attempts.hedged),
        longest_answer_ms: attempts.longest_answer_time.as_micros() as f64 / 1e3,
        name: totals.name.clone(),
        arrivals: totals.arrivals,
        accepted: totals.accepted,
        rejected: totals.rejected,
        failed: totals.failed,
        gave_up: totals.gave_up,
        served: totals.served_seconds / totals.requested_seconds.max(MIN_DIVISOR),
        setup_delays: Delays::new(&totals.setup_latency),
        message_delays: Delays::new(&totals.message_latency),
    }
}

/// The costs of a relay, and the CPU time of its current process at the last measurement.
#[derive(Default)]
struct RelayCosts {
    summary: RelaySummary,
    last_cpu_s: f64,
}

fn relay_costs(events: &[RecordedEvent]) -> Vec<RelaySummary> {
    let mut relays: BTreeMap<RelayIndex, RelayCosts> = BTreeMap::new();
    for event in events {
        if let Observation::RelayCost {
            relay,
            cpu_time,
            resident_bytes,
        } = event.observation
        {
            let costs = relays.entry(relay).or_default();
            costs.add(cpu_time.as_secs_f64(), resident_bytes as f64 / BYTES_PER_MB);
        }
    }
    let costs = relays.into_values();
    costs.map(|costs| costs.summary).collect()
}

impl RelayCosts {
    fn add(&mut self, cpu_s: f64, resident_mb: f64) {
        // The CPU time starts from zero with each process.
        let is_same_process = cpu_s >= self.last_cpu_s;
        self.summary.cpu_s += if is_same_process {
            cpu_s - self.last_cpu_s
        } else {
            cpu_s
        };
        self.last_cpu_s = cpu_s;
        self.summary.max_resident_mb = self.summary.max_resident_mb.max(resident_mb);
        self.summary.last_resident_mb = resident_mb;
    }
}
