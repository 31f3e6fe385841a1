//! Computes the series of a report from the recorded events and totals of a run.
use super::chart::{BLUE, GREEN, ORANGE, PURPLE, RED, Series, Stroke, color};
use crate::summary::rounds;
use hdrhistogram::Histogram;
use plotters::style::BLACK;
use std::collections::BTreeMap;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_testbed::event_recorder::{Answer, Observation, RecordedEvent, RelayIndex};
use thistlecroft_testbed::load_generator::LoadTotals;

/// The length of the intervals in which answers are counted.
const ANSWER_STEP: Duration = Duration::from_millis(500);
const BYTES_PER_MB: f64 = (1 << 20) as f64;
/// The number of points of a quantile curve for each power of ten.
const POINTS_PER_DECADE: i32 = 20;
const DECADES: i32 = 3;

type Points = Vec<(f64, f64)>;

pub(super) fn seconds(at: Instant) -> f64 {
    at.as_micros() as f64 / 1e6
}

/// Returns the load of each backend over time, and the mean of all backends.
pub(super) fn backend_loads(events: &[RecordedEvent]) -> Vec<Series> {
    let mut by_backend: BTreeMap<u16, Points> = BTreeMap::new();
    let mut mean = Vec::new();
    for (at, round) in rounds(events) {
        let at = seconds(at);
        for backend in &round.0 {
            let points = by_backend.entry(backend.backend.0).or_default();
            points.push((at, backend.load));
        }
        mean.push((at, round.mean_load()));
    }
    let backends = by_backend.into_iter().map(|(number, points)| Series {
        name: String::new(),
        color: color(usize::from(number)),
        points,
        stroke: Stroke::Faint,
    });
    let mean = Series {
        name: "mean of all".into(),
        color: BLACK,
        points: mean,
        stroke: Stroke::Thick,
    };
    backends.chain([mean]).collect()
}

/// The outcomes of sessions that are drawn, in the order of the legend.
#[derive(Clone, Copy)]
enum AnswerKind {
    Accepted,
    Rejected,
    FailedOrUnanswered,
    Migrated,
    ConnectionLost,
}

impl AnswerKind {
    const ALL: [AnswerKind; 5] = [
        AnswerKind::Accepted,
        AnswerKind::Rejected,
        AnswerKind::FailedOrUnanswered,
        AnswerKind::Migrated,
        AnswerKind::ConnectionLost,
    ];

    fn of(observation: &Observation) -> Option<AnswerKind> {
        Some(match observation {
            Observation::Answered { answer, .. } => match answer {
                Answer::Accepted => AnswerKind::Accepted,
                Answer::Rejected(_) => AnswerKind::Rejected,
                Answer::Failed => AnswerKind::FailedOrUnanswered,
            },
            Observation::AnswerTimedOut { .. } | Observation::ClosedUnanswered { .. } => {
                AnswerKind::FailedOrUnanswered
            }
            Observation::Migrated { .. } => AnswerKind::Migrated,
            Observation::ConnectionLost { .. } => AnswerKind::ConnectionLost,
            _ => return None,
        })
    }

    fn series(self, points: Points) -> Series {
        let (name, color) = match self {
            AnswerKind::Accepted => ("accepted", GREEN),
            AnswerKind::Rejected => ("rejected", ORANGE),
            AnswerKind::FailedOrUnanswered => ("failed or unanswered", RED),
            AnswerKind::Migrated => ("migrated", BLUE),
            AnswerKind::ConnectionLost => ("connections lost", PURPLE),
        };
        Series {
            name: name.into(),
            color,
            points,
            stroke: Stroke::Thick,
        }
    }
}

/// Returns the answers per second over time, one series for each kind.
pub(super) fn answers(events: &[RecordedEvent], end: Instant) -> Vec<Series> {
    let step_of = |at: Instant| (at.as_micros() / ANSWER_STEP.as_micros()) as usize;
    let steps = step_of(end) + 1;
    let mut counts = vec![[0_u32; AnswerKind::ALL.len()]; steps];
    for event in events {
        if let Some(kind) = AnswerKind::of(&event.observation) {
            counts[step_of(event.at).min(steps - 1)][kind as usize] += 1;
        }
    }
    let step_s = ANSWER_STEP.as_secs_f64();
    let points = |kind: AnswerKind| {
        let rates = counts
            .iter()
            .map(|row| f64::from(row[kind as usize]) / step_s);
        let rates = rates.enumerate();
        rates
            .map(|(step, rate)| (step as f64 * step_s, rate))
            .collect()
    };
    let kinds = AnswerKind::ALL.into_iter();
    kinds.map(|kind| kind.series(points(kind))).collect()
}

/// The costs of the relays over time, one series for each relay.
pub(super) struct RelayCosts {
    /// CPU use in percent of a core.
    pub(super) cpu: Vec<Series>,
    /// Resident memory in megabytes.
    pub(super) memory: Vec<Series>,
}

pub(super) fn relay_costs(events: &[RecordedEvent]) -> RelayCosts {
    let mut last: BTreeMap<RelayIndex, (f64, f64)> = BTreeMap::new();
    let mut cpu: BTreeMap<RelayIndex, Points> = BTreeMap::new();
    let mut memory: BTreeMap<RelayIndex, Points> = BTreeMap::new();
    for event in events {
        let Observation::RelayCost {
            relay,
            cpu_time,
            resident_bytes,
        } = event.observation
        else {
            continue;
        };
        let (at, used) = (seconds(event.at), cpu_time.as_secs_f64());
        // The CPU time starts from zero with each process.
        if let Some((last_at, last_used)) = last.insert(relay, (at, used))
            && used >= last_used
            && at > last_at
        {
            let percent = (used - last_used) / (at - last_at) * 100.0;
            cpu.entry(relay).or_default().push((at, percent));
        }
        let resident_mb = resident_bytes as f64 / BYTES_PER_MB;
        memory.entry(relay).or_default().push((at, resident_mb));
    }
    RelayCosts {
        cpu: relay_series(cpu),
        memory: relay_series(memory),
    }
}

fn relay_series(by_relay: BTreeMap<RelayIndex, Points>) -> Vec<Series> {
    by_relay
        .into_iter()
        .map(|(relay, points)| Series {
            name: format!("relay {}", relay.0),
            color: color(usize::from(relay.0)),
            points,
            stroke: Stroke::Thick,
        })
        .collect()
}

/// Returns quantile curves of the delays of set-ups and of messages for each listener.
pub(super) fn delays(totals: &LoadTotals) -> Vec<Series> {
    let mut series = Vec::new();
    for (number, listener) in totals.listeners.iter().enumerate() {
        for (what, histogram, stroke) in [
            ("set-up", &listener.setup_latency, Stroke::Thick),
            ("lines", &listener.message_latency, Stroke::Thin),
        ] {
            if !histogram.is_empty() {
                series.push(Series {
                    name: format!("{} {what}", listener.name),
                    color: color(number),
                    points: quantile_points(histogram),
                    stroke,
                });
            }
        }
    }
    series
}

/// Returns the points (n, delay in milliseconds) where one in n delays is longer.
fn quantile_points(micros: &Histogram<u32>) -> Points {
    (0..=POINTS_PER_DECADE * DECADES)
        .map(|step| {
            let n = 10f64.powf(f64::from(step) / f64::from(POINTS_PER_DECADE));
            let delay = micros.value_at_quantile(1.0 - 1.0 / n);
            (n, delay as f64 / 1e3)
        })
        .collect()
}
