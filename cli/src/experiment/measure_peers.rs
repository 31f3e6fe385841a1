//! `thistlecroft experiment peers`: measures how fast relays learn of joined and failed peers, and
//! what that costs.
use crate::error::CommandError;
use crate::own_program::own_relay;
use clap::Args;
use std::path::PathBuf;
use thistlecroft::time::Duration;
use thistlecroft_experiments::membership::{self, Trial};

/// Smallest probe period. With a shorter one, the figures would mostly show how the processes
/// on a shared machine delay one another.
const MIN_PERIOD: Duration = Duration::from_millis(50);
/// Greatest share of datagrams that may be lost.
const MAX_LOSS: f64 = 0.9;
/// Bounds of a fleet's size, in relays.
const MIN_SIZE: usize = 2;
const MAX_SIZE: usize = 2_000;

#[derive(Args)]
pub(crate) struct MeasurePeersArgs {
    /// Fleet sizes, in relays, to measure over simulated links.
    #[arg(long, value_delimiter = ',', default_value = "12,48,200")]
    simulated: Vec<usize>,
    /// Fleet sizes, in relays, to measure as processes on this machine.
    #[arg(long, value_delimiter = ',')]
    processes: Vec<usize>,
    /// Shares of datagrams that are lost, from 0 to 0.9.
    #[arg(long, value_delimiter = ',', default_value = "0")]
    loss: Vec<f64>,
    /// Probe period, 50ms or more.
    #[arg(long, default_value = "200ms")]
    period: String,
    /// Number of seeds to run for each size and loss.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Folder for the files of the relays that run as processes.
    #[arg(long, default_value = "found")]
    out: PathBuf,
}

pub(crate) fn run(args: &MeasurePeersArgs) -> Result<(), CommandError> {
    let period = args.checked_period()?;
    args.check_ranges()?;
    let mut results = membership::run_simulated(&args.trials(&args.simulated, period));
    // Fleets of processes run one after the other, since they share the machine's cores.
    for trial in args.trials(&args.processes, period) {
        let measured = membership::run_with_processes(trial, &own_relay()?, &args.out)
            .map_err(CommandError::failed)?;
        results.push((trial, measured));
    }
    print!("{}", membership::table(&results));
    Ok(())
}

impl MeasurePeersArgs {
    fn checked_period(&self) -> Result<Duration, CommandError> {
        Duration::parse(&self.period)
            .filter(|period| *period >= MIN_PERIOD)
            .ok_or_else(|| CommandError::invalid("--period: a span of 50ms or more"))
    }

    fn check_ranges(&self) -> Result<(), CommandError> {
        if !self.loss.iter().all(|loss| (0.0..=MAX_LOSS).contains(loss)) {
            return Err(CommandError::invalid("--loss: parts between 0 and 0.9"));
        }
        let mut sizes = self.simulated.iter().chain(&self.processes);
        if !sizes.all(|size| (MIN_SIZE..=MAX_SIZE).contains(size)) {
            return Err(CommandError::invalid("sizes are between 2 and 2000"));
        }
        Ok(())
    }

    /// Returns a trial for every size, loss and seed, sorted in this order.
    fn trials(&self, sizes: &[usize], period: Duration) -> Vec<Trial> {
        let mut trials = Vec::new();
        for &size in sizes {
            for &loss in &self.loss {
                trials.extend((1..=self.seeds).map(|seed| Trial {
                    size,
                    loss,
                    seed,
                    period,
                }));
            }
        }
        trials
    }
}
