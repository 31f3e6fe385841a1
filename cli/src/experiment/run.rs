//! `thistlecroft experiment run`: runs a scenario with one or more seeds, as it is and in its
//! variants.
use super::read_scenario;
use crate::error::CommandError;
use crate::interrupt::interrupt_flag;
use crate::own_program::own_relay;
use clap::{Args, ValueEnum};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use thistlecroft_experiments::run::{Progress, RunTarget, run as run_once};
use thistlecroft_experiments::scenario::{Baseline, Scenario};
use thistlecroft_experiments::summary::Summary;

#[derive(Args)]
pub(crate) struct RunArgs {
    /// A scenario's file, or its name if it is shipped with the command.
    scenario: String,
    /// The first seed; the scenario's own if not given.
    #[arg(long)]
    seed: Option<u64>,
    /// Number of consecutive seeds to run.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Folder for the results; each way and seed gets a folder of its own below it.
    #[arg(long, default_value = "found/runs")]
    out: PathBuf,
    /// Program to run as a relay; this one if not given.
    #[arg(long, value_name = "PROGRAM")]
    relay: Option<String>,
    /// Run only this way: `relays` for the scenario as it is, or one of its variants. May be
    /// repeated; all ways run if not given.
    #[arg(long = "way", value_name = "NAME")]
    ways: Vec<String>,
    /// Run without relays: clients connect to backends themselves, which they pick by this rule.
    #[arg(long, value_enum)]
    baseline: Option<BaselineName>,
    /// Print no progress.
    #[arg(long)]
    quiet: bool,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum BaselineName {
    /// The backends in turn.
    Direct,
    /// A backend at random.
    Random,
    /// The backend with the fewest connections of the clients.
    Least,
}

impl BaselineName {
    fn as_target(self) -> RunTarget {
        match self {
            BaselineName::Direct => RunTarget::of_baseline("direct", Baseline::Direct),
            BaselineName::Random => RunTarget::of_baseline("random", Baseline::Random),
            BaselineName::Least => RunTarget::of_baseline("least", Baseline::Least),
        }
    }
}

pub(crate) fn run(args: RunArgs) -> Result<(), CommandError> {
    let scenario = read_scenario(&args.scenario)?;
    let targets = selected_targets(&scenario, &args)?;
    let first_seed = args.seed.unwrap_or(scenario.seed);
    let experiment = Experiment {
        scenario: &scenario,
        out: &args.out,
        is_quiet: args.quiet,
        stop: interrupt_flag(),
    };
    let mut summaries = Vec::new();
    for target in &targets {
        for seed in first_seed..first_seed + args.seeds {
            summaries.push(experiment.run(target, seed)?);
        }
    }
    // `passed` leaves out the rules of a baseline, which isn't expected to keep them.
    let failed_runs = summaries.iter().filter(|summary| !summary.passed()).count();
    if failed_runs > 0 {
        return Err(CommandError::Failed(format!(
            "{failed_runs} of {} runs broke a rule or had a relay failure",
            summaries.len()
        )));
    }
    Ok(())
}

/// Returns the targets that the command line selects, in the scenario's order.
fn selected_targets(scenario: &Scenario, args: &RunArgs) -> Result<Vec<RunTarget>, CommandError> {
    let relay = match &args.relay {
        Some(program) => vec![program.clone()],
        None => own_relay()?,
    };
    let mut targets = RunTarget::all(scenario, &relay);
    let is_known = |name: &String| targets.iter().any(|target| target.name == *name);
    if let Some(name) = args.ways.iter().find(|name| !is_known(name)) {
        let known: Vec<&str> = targets.iter().map(|target| target.name.as_str()).collect();
        let known = known.join(", ");
        return Err(CommandError::InvalidInput(format!(
            "no way \"{name}\"; there are {known}"
        )));
    }
    if !args.ways.is_empty() {
        targets.retain(|target| args.ways.contains(&target.name));
    }
    Ok(match args.baseline {
        Some(baseline) => vec![baseline.as_target()],
        None => targets,
    })
}

/// The scenario and options that all runs of one command share.
struct Experiment<'a> {
    scenario: &'a Scenario,
    out: &'a Path,
    is_quiet: bool,
    stop: Arc<AtomicBool>,
}

impl Experiment<'_> {
    /// Runs the scenario once and prints the run's summary.
    fn run(&self, target: &RunTarget, seed: u64) -> Result<Summary, CommandError> {
        let folder = self
            .out
            .join(&self.scenario.name)
            .join(&target.name)
            .join(format!("seed-{seed}"));
        self.print_progress(&format!(
            "{} / {} / seed {seed}",
            self.scenario.name, target.name
        ));
        let mut on_progress = |progress: &Progress| self.print_progress(&progress_line(progress));
        let outcome = run_once(
            self.scenario,
            target,
            seed,
            &folder,
            &self.stop,
            &mut on_progress,
        )
        .map_err(CommandError::failed)?;
        let report = folder.join("report.html");
        println!(
            "{}\n  report      {}",
            outcome.summary.report_text(),
            report.display()
        );
        if self.stop.load(Ordering::Relaxed) {
            return Err(CommandError::Interrupted(format!(
                "interrupted; the results so far are in {}",
                self.out.display()
            )));
        }
        Ok(outcome.summary)
    }

    fn print_progress(&self, line: &str) {
        if !self.is_quiet {
            eprintln!("{line}");
        }
    }
}

fn progress_line(progress: &Progress) -> String {
    let new_faults = progress.new_faults_suffix();
    format!(
        "{:5.0} of {:.0} s  established {:>5}  accepted {:>6}  rejected {:>5}  failed {:>4}  migrated {:>5}{new_faults}",
        progress.elapsed.as_secs_f64(),
        progress.length.as_secs_f64(),
        progress.established,
        progress.accepted,
        progress.rejected,
        progress.failed,
        progress.migrated
    )
}
