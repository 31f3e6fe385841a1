//! `thistlecroft experiment run`: a scenario under one or more variants, seed by seed.
use super::read_scenario;
use crate::error::CommandError;
use crate::interrupt::interrupt_flag;
use crate::own_program::own_relay;
use clap::{Args, ValueEnum};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use thistlecroft_experiments::run::{Look, Way, run as run_once};
use thistlecroft_experiments::scenario::{Baseline, Scenario};
use thistlecroft_experiments::summary::Summary;

#[derive(Args)]
pub(crate) struct RunArgs {
    scenario: String,
    /// The first seed; without it, the scenario's.
    #[arg(long)]
    seed: Option<u64>,
    /// How many seeds, each one higher than the one before.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Where results go: a folder for each way and seed.
    #[arg(long, default_value = "found/runs")]
    out: PathBuf,
    /// The program that is run as a relay; without it, this one.
    #[arg(long, value_name = "PROGRAM")]
    relay: Option<String>,
    /// Only these ways of the scenario (`relays` are its own), in place of all.
    #[arg(long = "way", value_name = "NAME")]
    ways: Vec<String>,
    /// In place of relays: clients connect to backends themselves.
    #[arg(long, value_enum)]
    baseline: Option<BaselineName>,
    /// Say nothing while it runs.
    #[arg(long)]
    quiet: bool,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum BaselineName {
    /// One backend after the other.
    Direct,
    Random,
    /// The backend with the fewest own connections.
    Least,
}

impl BaselineName {
    fn as_way(self) -> Way {
        let (name, baseline) = match self {
            BaselineName::Direct => ("direct", Baseline::Direct),
            BaselineName::Random => ("random", Baseline::Random),
            BaselineName::Least => ("least", Baseline::Least),
        };
        Way {
            name: name.into(),
            baseline: Some(baseline),
            relay: Vec::new(),
            chartered: false,
        }
    }
}

pub(crate) fn run(args: RunArgs) -> Result<(), CommandError> {
    let scenario = read_scenario(&args.scenario)?;
    let ways = selected_ways(&scenario, &args)?;
    let first_seed = args.seed.unwrap_or(scenario.seed);
    let experiment = Experiment {
        scenario: &scenario,
        out: &args.out,
        is_quiet: args.quiet,
        stop: interrupt_flag(),
    };
    let mut summaries = Vec::new();
    for way in &ways {
        for seed in first_seed..first_seed + args.seeds {
            summaries.push(experiment.run(way, seed)?);
        }
    }
    // A baseline keeps no rules and is no failure.
    let broken = summaries.iter().filter(|summary| !summary.kept()).count();
    if broken > 0 {
        return Err(CommandError::Failed(format!(
            "{broken} of {} runs broke a rule",
            summaries.len()
        )));
    }
    Ok(())
}

/// The ways that the command line asks for, in the scenario's order.
fn selected_ways(scenario: &Scenario, args: &RunArgs) -> Result<Vec<Way>, CommandError> {
    let relay = match &args.relay {
        Some(program) => vec![program.clone()],
        None => own_relay()?,
    };
    let mut ways = Way::all(scenario, &relay);
    let is_known = |name: &String| ways.iter().any(|way| way.name == *name);
    if let Some(name) = args.ways.iter().find(|name| !is_known(name)) {
        let known: Vec<&str> = ways.iter().map(|way| way.name.as_str()).collect();
        let known = known.join(", ");
        return Err(CommandError::InvalidInput(format!(
            "no way \"{name}\"; there are {known}"
        )));
    }
    if !args.ways.is_empty() {
        ways.retain(|way| args.ways.contains(&way.name));
    }
    Ok(match args.baseline {
        Some(baseline) => vec![baseline.as_way()],
        None => ways,
    })
}

/// What all runs of one command share.
struct Experiment<'a> {
    scenario: &'a Scenario,
    out: &'a Path,
    is_quiet: bool,
    stop: Arc<AtomicBool>,
}

impl Experiment<'_> {
    /// Runs the scenario once and prints its summary.
    fn run(&self, way: &Way, seed: u64) -> Result<Summary, CommandError> {
        let folder = self
            .out
            .join(&self.scenario.name)
            .join(&way.name)
            .join(format!("seed-{seed}"));
        self.print_progress(&format!(
            "{} / {} / seed {seed}",
            self.scenario.name, way.name
        ));
        let mut on_look = |look: &Look| self.print_progress(&progress_line(look));
        let outcome = run_once(self.scenario, way, seed, &folder, &self.stop, &mut on_look)
            .map_err(CommandError::failed)?;
        let report = folder.join("report.html");
        println!(
            "{}\n  report      {}",
            outcome.summary.page(),
            report.display()
        );
        if self.stop.load(Ordering::Relaxed) {
            return Err(CommandError::Interrupted(format!(
                "interrupted; what was seen is in {}",
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

fn progress_line(look: &Look) -> String {
    let news = if look.news.is_empty() {
        String::new()
    } else {
        format!("  << {}", look.news.join(", "))
    };
    format!(
        "{:5.0} of {:.0} s  standing {:>5}  up {:>6}  busy {:>5}  failed {:>4}  moved {:>5}{news}",
        look.at.as_secs_f64(),
        look.length.as_secs_f64(),
        look.standing,
        look.up,
        look.busy,
        look.failed,
        look.moved
    )
}
