//! The figures of a run that are compared between sizes.
use super::super::outcome::Outcome;

/// A named figure of an outcome; its value is `None` if it was not measured or not reached.
pub(super) struct Figure {
    pub(super) name: &'static str,
    pub(super) value: fn(&Outcome) -> Option<f64>,
}

const fn figure(name: &'static str, value: fn(&Outcome) -> Option<f64>) -> Figure {
    Figure { name, value }
}

/// All figures, in the order of the table's rows.
pub(super) const FIGURES: &[Figure] = &[
    figure("relay, calm, sent B/s", |outcome| {
        Some(outcome.phase("calm")?.relay.sent_mean)
    }),
    figure("relay, calm, received B/s", |outcome| {
        Some(outcome.phase("calm")?.relay.received_mean)
    }),
    figure("relay that sends most, calm, B/s", |outcome| {
        Some(outcome.phase("calm")?.relay.sent_of_worst)
    }),
    figure("voter, calm, sent B/s", |outcome| {
        Some(outcome.phase("calm")?.voter.sent_mean)
    }),
    figure("voter, calm, received B/s", |outcome| {
        Some(outcome.phase("calm")?.voter.received_mean)
    }),
    figure("start, s until all agree", |outcome| {
        outcome.phase("start")?.converged?.members_s
    }),
    figure("start, s until all is owned", |outcome| {
        outcome.phase("start")?.converged?.owned_s
    }),
    figure("start, relay's worst second, sent", |outcome| {
        Some(outcome.phase("start")?.relay.sent_worst_second as f64)
    }),
    figure("start, relay's worst second, received", |outcome| {
        Some(outcome.phase("start")?.relay.received_worst_second as f64)
    }),
    figure("start, voter's worst second, received", |outcome| {
        Some(outcome.phase("start")?.voter.received_worst_second as f64)
    }),
    figure("fault, s until all agree", |outcome| {
        outcome.phase("fault")?.converged?.members_s
    }),
    figure("fault, s until all is owned", |outcome| {
        outcome.phase("fault")?.converged?.owned_s
    }),
    figure("fault, relay, sent B/s", |outcome| {
        Some(outcome.phase("fault")?.relay.sent_mean)
    }),
    figure("fault, relay's worst second, sent", |outcome| {
        Some(outcome.phase("fault")?.relay.sent_worst_second as f64)
    }),
    figure("relay, calm, % of a core", |outcome| {
        Some(outcome.relay?.cpu_percent)
    }),
    figure("relay, worst phase, % of a core", |outcome| {
        Some(outcome.relay?.worst_cpu_percent)
    }),
    figure("relay, MB", |outcome| Some(outcome.relay?.memory_mb)),
    figure("voter, calm, % of a core", |outcome| {
        Some(outcome.voter?.cpu_percent)
    }),
    figure("voter, worst phase, % of a core", |outcome| {
        Some(outcome.voter?.worst_cpu_percent)
    }),
    figure("voter, MB", |outcome| Some(outcome.voter?.memory_mb)),
    figure("real relay, calm, sent B/s", |outcome| {
        Some(outcome.real_relays?.sent_mean)
    }),
    figure("real relay, answer to PEERS, bytes", |outcome| {
        Some(outcome.real_relays?.view_bytes as f64)
    }),
    figure("two owners at once", |outcome| {
        Some(outcome.two_owners as f64)
    }),
    figure("not owned at the end", |outcome| {
        Some(outcome.config.subjects.saturating_sub(outcome.owned_at_end) as f64)
    }),
];
