//! What came of a run, in figures.
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_testbed::cluster_invariants::ClusterViolation;
use thistlecroft_testbed::event_recorder::{BackendIndex, Observation, RecordedEvent, RelayIndex};
use thistlecroft_testbed::invariant_checker::{AttemptTotals, CheckResult};
use thistlecroft_testbed::load_generator::{ListenerTotals, LoadTotals};
use thistlecroft_testbed::simulated_backends::BackendTotals;

/// Clients that came later than this after they were due, or a thread that worked for more than the
/// other part of its time: the tool was the bottleneck, and the run's delays say little.
const LATE: Duration = Duration::from_millis(20);
const BUSY: f64 = 0.8;

/// Milliseconds; all zero where nothing was measured.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Delays {
    pub count: u64,
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub p99_9: f64,
    pub most: f64,
}

impl Delays {
    /// Of microseconds.
    pub fn of(from: &Histogram<u32>) -> Delays {
        let ms = |us: u64| us as f64 / 1e3;
        if from.is_empty() {
            return Delays::default();
        }
        Delays {
            count: from.len(),
            p50: ms(from.value_at_quantile(0.5)),
            p90: ms(from.value_at_quantile(0.9)),
            p99: ms(from.value_at_quantile(0.99)),
            p99_9: ms(from.value_at_quantile(0.999)),
            most: ms(from.max()),
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListenerSummary {
    pub name: String,
    pub arrivals: u64,
    pub up: u64,
    pub busy: u64,
    pub failed: u64,
    pub lost: u64,
    /// Well-served seconds over those asked for.
    pub served: f64,
    pub set_up: Delays,
    pub lines: Delays,
    /// Dials of a session at most; further and second ones as parts of the sessions.
    #[serde(default)]
    pub most_dials: usize,
    #[serde(default)]
    pub further: f64,
    #[serde(default)]
    pub second: f64,
    #[serde(default)]
    pub longest_answer_ms: f64,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RelaySummary {
    pub cpu_s: f64,
    pub most_resident_mb: f64,
    pub last_resident_mb: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BreakText {
    pub rule: usize,
    pub at_s: f64,
    pub what: String,
    pub story: Vec<String>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Summary {
    pub scenario: String,
    pub way: String,
    /// Clients dialled boxes themselves: rules are counted, and owed by nobody.
    pub baseline: bool,
    pub seed: u64,
    /// False where the run was interrupted: its figures are of a part.
    pub complete: bool,
    pub length_s: f64,
    /// Breaks found, by rule.
    pub rules: [usize; 4],
    pub first_breaks: Vec<BreakText>,
    /// What all relays did together that they may not: how often, by its name, and the first.
    #[serde(default)]
    pub together: BTreeMap<String, (usize, String)>,
    pub crashes: usize,
    pub sessions: usize,
    pub answered: usize,
    pub excused: usize,
    pub up: u64,
    pub busy: u64,
    pub failed: u64,
    pub unanswered: u64,
    pub moved: u64,
    pub cut_off: u64,
    pub lost: u64,
    pub never_taken: usize,
    pub wrong_lines: u64,
    pub rude: u64,
    pub rude_answered: u64,
    /// Utility of well-served seconds over that of all seconds asked for.
    pub served: f64,
    pub set_up: Delays,
    pub lines: Delays,
    pub listeners: Vec<ListenerSummary>,
    pub dials: usize,
    pub dials_a_session: f64,
    pub most_dials: usize,
    pub most_standing: usize,
    /// Standard deviation over mean of the boxes' loads, the mean over the run.
    pub load_spread: f64,
    pub most_load: f64,
    /// The greatest part of a cold box's budget that was used; above 1 it falls over.
    pub cold_push: f64,
    pub relays: Vec<RelaySummary>,
    /// CPU time of all relays by lines passed up, in microseconds.
    pub cpu_us_a_line: f64,
    /// How late clients came after they were due.
    pub tool_late: Delays,
    pub tool_worst_turn_ms: f64,
    /// The part of its time that the busiest thread worked.
    pub tool_busy: f64,
    pub tool_was_late: bool,
}

/// What a summary is made of.
pub struct Findings<'a> {
    pub scenario: &'a str,
    pub way: &'a str,
    pub baseline: bool,
    pub seed: u64,
    pub complete: bool,
    pub length: Duration,
    pub crashes: usize,
    pub entries: &'a [RecordedEvent],
    pub ruling: &'a CheckResult,
    pub breaches: &'a [ClusterViolation],
    pub crowds: &'a [LoadTotals],
    pub yard: BackendTotals,
}

/// # Panics
/// Where there is no crowd.
pub fn sum_up(of: &Findings) -> Summary {
    let mut crowd = of.crowds[0].clone();
    of.crowds[1..].iter().for_each(|other| crowd.add(other));
    let total = |of: fn(&ListenerTotals) -> u64| crowd.listeners.iter().map(of).sum::<u64>();
    let utility = |of: fn(&ListenerTotals) -> f64| {
        crowd
            .listeners
            .iter()
            .map(|kind| kind.priority_weight * of(kind))
            .sum::<f64>()
    };
    let all = |of: fn(&ListenerTotals) -> &Histogram<u32>| {
        let mut sum = of(&crowd.listeners[0]).clone();
        for kind in &crowd.listeners[1..] {
            let _ = sum.add(of(kind));
        }
        sum
    };
    let lines = all(|kind| &kind.message_latency);
    let relays = relay_costs(of.entries);
    let cpu: f64 = relays.iter().map(|relay| relay.cpu_s).sum();
    let boxes = loads(of.entries);
    let seconds = of.length.as_secs_f64().max(1e-9);
    let threads = of
        .crowds
        .iter()
        .map(|crowd| crowd.busy_time)
        .chain([of.yard.busy_time]);
    let tool_busy = threads
        .map(|worked| worked.as_secs_f64() / seconds)
        .fold(0.0, f64::max);
    let worst_turn = crowd.longest_turn.max(of.yard.longest_turn);
    let tool_late = Delays::of(&crowd.connect_delay);
    let exhausted = of
        .entries
        .iter()
        .any(|entry| entry.observation == Observation::TestbedExhausted);
    Summary {
        scenario: of.scenario.into(),
        way: of.way.into(),
        baseline: of.baseline,
        seed: of.seed,
        complete: of.complete,
        length_s: seconds,
        rules: of.ruling.violation_counts,
        first_breaks: of
            .ruling
            .first_violations
            .iter()
            .flatten()
            .map(|first| BreakText {
                rule: first.rule,
                at_s: first.at.as_micros() as f64 / 1e6,
                what: first.description.clone(),
                story: first.timeline.clone(),
            })
            .collect(),
        together: together(of.breaches),
        crashes: of.crashes,
        sessions: of.ruling.sessions,
        answered: of.ruling.answered,
        excused: of.ruling.excused,
        up: total(|kind| kind.accepted),
        busy: total(|kind| kind.rejected),
        failed: total(|kind| kind.failed),
        unanswered: total(|kind| kind.unanswered),
        moved: total(|kind| kind.migrated),
        cut_off: total(|kind| kind.connections_lost),
        lost: total(|kind| kind.gave_up),
        never_taken: of
            .entries
            .iter()
            .filter(|entry| matches!(entry.observation, Observation::ConnectFailed { .. }))
            .count(),
        wrong_lines: crowd.mismatched_messages,
        rude: crowd.misbehaving,
        rude_answered: crowd.misbehaving_answered,
        served: utility(|kind| kind.served_seconds)
            / utility(|kind| kind.requested_seconds).max(1e-9),
        set_up: Delays::of(&all(|kind| &kind.setup_latency)),
        lines: Delays::of(&lines),
        listeners: crowd
            .listeners
            .iter()
            .enumerate()
            .map(|(place, kind)| {
                listener(
                    kind,
                    &of.ruling.listeners.get(place).cloned().unwrap_or_default(),
                )
            })
            .collect(),
        dials: of.ruling.attempts,
        dials_a_session: of.ruling.attempts as f64 / (of.ruling.sessions as f64).max(1.0),
        most_dials: of.ruling.max_attempts,
        most_standing: boxes.most_standing,
        load_spread: boxes.spread,
        most_load: boxes.most,
        cold_push: of.ruling.max_warm_up_budget_used,
        cpu_us_a_line: cpu * 1e6 / (lines.len() as f64).max(1.0),
        relays,
        tool_worst_turn_ms: worst_turn.as_micros() as f64 / 1e3,
        tool_was_late: exhausted
            || tool_late.p99 > LATE.as_micros() as f64 / 1e3
            || tool_busy > BUSY,
        tool_late,
        tool_busy,
    }
}

fn listener(kind: &ListenerTotals, dialled: &AttemptTotals) -> ListenerSummary {
    let part = |count: usize| count as f64 / (dialled.sessions as f64).max(1.0);
    ListenerSummary {
        most_dials: dialled.max_per_session,
        further: part(dialled.retries),
        second: part(dialled.hedged),
        longest_answer_ms: dialled.longest_answer_time.as_micros() as f64 / 1e3,
        name: kind.name.clone(),
        arrivals: kind.arrivals,
        up: kind.accepted,
        busy: kind.rejected,
        failed: kind.failed,
        lost: kind.gave_up,
        served: kind.served_seconds / kind.requested_seconds.max(1e-9),
        set_up: Delays::of(&kind.setup_latency),
        lines: Delays::of(&kind.message_latency),
    }
}

fn relay_costs(entries: &[RecordedEvent]) -> Vec<RelaySummary> {
    // CPU time begins anew with each process.
    let mut relays: BTreeMap<RelayIndex, (RelaySummary, f64)> = BTreeMap::new();
    for entry in entries {
        let Observation::RelayCost {
            relay,
            cpu_time: cpu,
            resident_bytes: resident,
        } = entry.observation
        else {
            continue;
        };
        let (sums, last) = relays.entry(relay).or_default();
        let (cpu, resident) = (cpu.as_secs_f64(), resident as f64 / f64::from(1 << 20));
        sums.cpu_s += if cpu >= *last { cpu - *last } else { cpu };
        *last = cpu;
        sums.most_resident_mb = sums.most_resident_mb.max(resident);
        sums.last_resident_mb = resident;
    }
    relays.into_values().map(|(sums, _)| sums).collect()
}

struct Loads {
    spread: f64,
    most: f64,
    most_standing: usize,
}

/// A run's reports, those of one round together: all boxes are noted at the same moment.
pub fn rounds(entries: &[RecordedEvent]) -> BTreeMap<Instant, Vec<(BackendIndex, f64, usize)>> {
    let mut rounds: BTreeMap<Instant, Vec<(BackendIndex, f64, usize)>> = BTreeMap::new();
    for entry in entries {
        if let Observation::BackendLoad {
            backend: at,
            load,
            sessions: held,
            ..
        } = entry.observation
        {
            rounds.entry(entry.at).or_default().push((at, load, held));
        }
    }
    rounds
}

fn loads(entries: &[RecordedEvent]) -> Loads {
    let rounds = rounds(entries);
    let (mut spreads, mut most, mut most_standing) = (Vec::new(), 0.0_f64, 0);
    for round in rounds.values() {
        let loads: Vec<f64> = round.iter().map(|(_, load, _)| *load).collect();
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        if mean > 0.01 {
            let squares =
                loads.iter().map(|load| (load - mean).powi(2)).sum::<f64>() / loads.len() as f64;
            spreads.push(squares.sqrt() / mean);
        }
        most = loads.iter().copied().fold(most, f64::max);
        most_standing = most_standing.max(round.iter().map(|(.., held)| held).sum());
    }
    Loads {
        spread: spreads.iter().sum::<f64>() / spreads.len().max(1) as f64,
        most,
        most_standing,
    }
}

fn together(breaches: &[ClusterViolation]) -> BTreeMap<String, (usize, String)> {
    let mut all: BTreeMap<String, (usize, String)> = BTreeMap::new();
    for breach in breaches {
        let at = breach.at.as_micros() as f64 / 1e6;
        let first = || (0, format!("at {at:.3} s {}", breach.description));
        all.entry(breach.invariant.name().into())
            .or_insert_with(first)
            .0 += 1;
    }
    all
}

impl Summary {
    pub fn kept(&self) -> bool {
        (self.rules == [0; 4] && self.together.is_empty() || self.baseline) && self.crashes == 0
    }

    /// `answered N of N, rules kept`, or what broke.
    pub fn line(&self) -> String {
        let owed = self.sessions - self.excused;
        let mut rules: Vec<String> = (1..)
            .zip(self.rules)
            .filter(|(_, count)| *count > 0)
            .map(|(rule, count)| format!("rule {rule} broken {count} times"))
            .collect();
        rules.extend(
            self.together.iter().map(|(rule, (count, first))| {
                format!("{rule}: broken {count} times, first: {first}")
            }),
        );
        if self.crashes > 0 {
            rules.push(format!("{} relays crashed", self.crashes));
        }
        let rules = if rules.is_empty() {
            "rules kept".into()
        } else {
            rules.join(", ")
        };
        let part = if self.complete { "" } else { " (interrupted)" };
        format!("answered {} of {owed}, {rules}{part}", self.answered)
    }

    /// What a person reads of it.
    pub fn page(&self) -> String {
        let delays = |delays: &Delays| {
            format!(
                "p50 {:.1}  p90 {:.1}  p99 {:.1}  p99.9 {:.1}  most {:.1} ms",
                delays.p50, delays.p90, delays.p99, delays.p99_9, delays.most
            )
        };
        let mut lines = vec![
            format!(
                "{} / {} / seed {}: {}",
                self.scenario,
                self.way,
                self.seed,
                self.line()
            ),
            format!(
                "  answers     up {}  busy {}  failed {}  none {}  moved {}  cut off {}  gave up {}",
                self.up,
                self.busy,
                self.failed,
                self.unanswered,
                self.moved,
                self.cut_off,
                self.lost
            ),
            format!("  served      {:.3} of the utility asked for", self.served),
            format!("  set-up      {}", delays(&self.set_up)),
            format!("  lines       {}", delays(&self.lines)),
            format!(
                "  dials       {:.3} a session, {} at most; cold budget used {:.2}",
                self.dials_a_session, self.most_dials, self.cold_push
            ),
            format!(
                "  boxes       {} standing at most, spread of load {:.2}, greatest load {:.2}",
                self.most_standing, self.load_spread, self.most_load
            ),
        ];
        for row in &self.listeners {
            lines.push(format!(
                "  {:<11} up {}  busy {}  failed {}  served {:.3}  dials {} at most, further {:.3}, second {:.3}; longest {:.0} ms",
                row.name, row.up, row.busy, row.failed, row.served, row.most_dials, row.further, row.second, row.longest_answer_ms
            ));
        }
        for (number, relay) in self.relays.iter().enumerate() {
            lines.push(format!(
                "  relay {number}     {:.2} s of CPU, {:.1} MB at most, {:.1} MB at the end",
                relay.cpu_s, relay.most_resident_mb, relay.last_resident_mb
            ));
        }
        lines.push(format!(
            "  the tool    came late by p99 {:.1} ms, worked {:.0}% of its time{}",
            self.tool_late.p99,
            self.tool_busy * 100.0,
            if self.tool_was_late {
                ": TOO LATE, delays say little"
            } else {
                ""
            }
        ));
        for first in &self.first_breaks {
            lines.push(format!(
                "  rule {} broke at {:.3} s: {}",
                first.rule, first.at_s, first.what
            ));
            lines.extend(first.story.iter().map(|line| format!("    {line}")));
        }
        lines.join("\n")
    }
}
