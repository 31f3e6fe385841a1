//! The figures of a run that are compared.
use crate::summary::Summary;

/// A figure of a summary.
pub(super) struct Figure {
    pub(super) name: &'static str,
    /// A greater one is a better one.
    pub(super) more_is_better: bool,
    pub(super) value: fn(&Summary) -> f64,
}

const fn more(name: &'static str, value: fn(&Summary) -> f64) -> Figure {
    Figure {
        name,
        more_is_better: true,
        value,
    }
}

const fn less(name: &'static str, value: fn(&Summary) -> f64) -> Figure {
    Figure {
        name,
        more_is_better: false,
        value,
    }
}

/// In the order of the table.
pub(super) const FIGURES: &[Figure] = &[
    less("rules broken", |summary| {
        summary.rules.iter().sum::<usize>() as f64
    }),
    more("utility served", |summary| summary.served),
    more("answers up", |summary| summary.up as f64),
    less("answers busy", |summary| summary.busy as f64),
    less("answers failed or none", |summary| {
        (summary.failed + summary.unanswered) as f64
    }),
    less("cut off", |summary| summary.cut_off as f64),
    less("moved", |summary| summary.moved as f64),
    less("gave up", |summary| summary.lost as f64),
    less("set-up p50, ms", |summary| summary.set_up.p50),
    less("set-up p99, ms", |summary| summary.set_up.p99),
    less("set-up p99.9, ms", |summary| summary.set_up.p99_9),
    less("line p50, ms", |summary| summary.lines.p50),
    less("line p99, ms", |summary| summary.lines.p99),
    less("line p99.9, ms", |summary| summary.lines.p99_9),
    less("dials a session", |summary| summary.dials_a_session),
    less("spread of load", |summary| summary.load_spread),
    less("cold budget used", |summary| summary.cold_push),
    less("relays' CPU, s", |summary| {
        summary.relays.iter().map(|relay| relay.cpu_s).sum()
    }),
    less("most memory, MB", |summary| {
        summary
            .relays
            .iter()
            .map(|relay| relay.most_resident_mb)
            .fold(0.0, f64::max)
    }),
];
