//! The figures that are compared.
use crate::summary::Summary;

/// A figure of a summary.
pub(super) struct Figure {
    pub(super) name: &'static str,
    /// Whether a greater value is better.
    pub(super) more_is_better: bool,
    pub(super) value: fn(&Summary) -> f64,
}

/// Returns a figure of which greater values are better.
const fn more(name: &'static str, value: fn(&Summary) -> f64) -> Figure {
    Figure {
        name,
        more_is_better: true,
        value,
    }
}

/// Returns a figure of which smaller values are better.
const fn less(name: &'static str, value: fn(&Summary) -> f64) -> Figure {
    Figure {
        name,
        more_is_better: false,
        value,
    }
}

/// The compared figures, in the order of the table.
pub(super) const FIGURES: &[Figure] = &[
    less("rule violations", |summary| {
        summary.violation_counts.iter().sum::<usize>() as f64
    }),
    more("utility served", |summary| summary.served),
    more("sessions accepted", |summary| summary.accepted as f64),
    less("sessions rejected", |summary| summary.rejected as f64),
    less("failed or unanswered", |summary| {
        (summary.failed + summary.unanswered) as f64
    }),
    less("connections lost", |summary| {
        summary.connections_lost as f64
    }),
    less("sessions migrated", |summary| summary.migrated as f64),
    less("clients that gave up", |summary| summary.gave_up as f64),
    less("set-up p50, ms", |summary| summary.setup_delays.p50),
    less("set-up p99, ms", |summary| summary.setup_delays.p99),
    less("set-up p99.9, ms", |summary| summary.setup_delays.p99_9),
    less("line p50, ms", |summary| summary.message_delays.p50),
    less("line p99, ms", |summary| summary.message_delays.p99),
    less("line p99.9, ms", |summary| summary.message_delays.p99_9),
    less("attempts/session", |summary| summary.attempts_per_session),
    less("load spread", |summary| summary.load_spread),
    less("warm-up budget used", |summary| summary.warm_up_budget_used),
    less("relays' CPU, s", |summary| {
        summary.relays.iter().map(|relay| relay.cpu_s).sum()
    }),
    less("maximum memory, MB", |summary| {
        summary
            .relays
            .iter()
            .map(|relay| relay.max_resident_mb)
            .fold(0.0, f64::max)
    }),
];
