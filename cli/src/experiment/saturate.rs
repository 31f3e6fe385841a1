//! `thistlecroft experiment saturate`: finds the rate at which the testbed itself becomes too slow.
use crate::error::CommandError;
use crate::interrupt::interrupt_flag;
use std::path::Path;
use thistlecroft_experiments::saturate::saturate;
use thistlecroft_experiments::summary::Summary;

/// Seconds for which each rate is held.
const STEP_SECONDS: f64 = 4.0;

pub(crate) fn run(out: &Path) -> Result<(), CommandError> {
    let stop = interrupt_flag();
    let steps = saturate(out, &stop, &mut print_step).map_err(CommandError::failed)?;
    let best = steps
        .iter()
        .filter(|(_, summary)| !summary.testbed_was_late)
        .map(|(rate, _)| *rate)
        .fold(0.0, f64::max);
    println!(
        "the testbed is fast enough up to {best:.0} set-ups per second, without a relay in between"
    );
    Ok(())
}

fn print_step(rate: f64, summary: &Summary) {
    let lateness = if summary.testbed_was_late {
        "  TOO SLOW"
    } else {
        ""
    };
    println!(
        "{rate:8.0} set-ups per second requested: {:8.0} done, connect delay p99 {:8.2} ms, busiest thread {:3.0}% busy{lateness}",
        summary.accepted as f64 / STEP_SECONDS,
        summary.testbed_connect_delay.p99,
        summary.testbed_busy_share * 100.0,
    );
}
