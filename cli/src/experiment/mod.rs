//! `thistlecroft experiment`: runs, comparisons, lists and reports.
mod measure_peers;
mod report;
mod run;
mod saturate;
mod scale;
mod slope;

use crate::error::CommandError;
use crate::shipped;
use clap::Subcommand;
use std::path::{Path, PathBuf};
use thistlecroft_experiments::compare::{self, Side};
use thistlecroft_experiments::count::Counts;
use thistlecroft_experiments::scenario::Scenario;

#[derive(Subcommand)]
pub(crate) enum ExperimentVerb {
    /// Run a scenario: a file, or one that comes with the command.
    Run(run::RunArgs),
    /// Put two runs, or folders of runs, side by side.
    Compare { first: PathBuf, second: PathBuf },
    /// Count what the relays of a fleet did together, from a folder of their logs at debug.
    Count {
        folder: PathBuf,
        /// Seconds that are counted together.
        #[arg(long, default_value_t = 2.0)]
        span: f64,
    },
    /// List the scenarios that come with the command.
    List,
    /// Print the figures of all runs in a folder, and write `index.html` there that leads to each.
    Report { folder: PathBuf },
    /// Find the rate at which the testbed itself is too slow here.
    Saturate {
        #[arg(long, default_value = "found/saturate")]
        out: PathBuf,
    },
    /// Print a scenario that comes with the command, to begin one's own with.
    Show { scenario: String },
    /// Measure fleets of hollow relays: what control sends and costs, how fast they agree and own,
    /// and a budget kept.
    Scale(Box<scale::ScaleArgs>),
    /// Run `scale` at several sizes and seeds, and put a straight line through each figure.
    Slope(Box<slope::SlopeArgs>),
    /// A process of hollow relays, for `scale`: speaks on standard input and output.
    #[command(hide = true)]
    Hollow,
    /// Measure how fast relays know of one another and what it costs: over simulated links, and as
    /// processes here.
    Peers(measure_peers::MeasurePeersArgs),
}

pub(crate) fn run(verb: ExperimentVerb) -> Result<(), CommandError> {
    match verb {
        ExperimentVerb::Run(args) => run::run(args),
        ExperimentVerb::Compare { first, second } => print_comparison(&first, &second),
        ExperimentVerb::Count { folder, span } => print_counts(&folder, span),
        ExperimentVerb::List => print_list(),
        ExperimentVerb::Report { folder } => report::run(&folder),
        ExperimentVerb::Saturate { out } => saturate::run(&out),
        ExperimentVerb::Show { scenario } => print_shipped(&scenario),
        ExperimentVerb::Scale(args) => scale::run(&args),
        ExperimentVerb::Slope(args) => slope::run(&args),
        ExperimentVerb::Hollow => {
            thistlecroft_experiments::scale::run_worker().map_err(CommandError::failed)
        }
        ExperimentVerb::Peers(args) => measure_peers::run(&args),
    }
}

/// Reads a shipped scenario, or a file.
fn read_scenario(name: &str) -> Result<Scenario, CommandError> {
    if let Some(text) = shipped::scenario_text(name) {
        return Scenario::parse(name, text).map_err(CommandError::failed);
    }
    if !Path::new(name).exists() && !name.contains(['/', '.']) {
        return Err(CommandError::InvalidInput(format!(
            "{name}: neither a file nor one of `thistlecroft experiment list`"
        )));
    }
    Scenario::read(name).map_err(CommandError::invalid)
}

fn print_list() -> Result<(), CommandError> {
    for (name, _) in shipped::SCENARIOS {
        println!("{name:<16} {}", read_scenario(name)?.about);
    }
    for budget in shipped::BUDGETS {
        println!("{:<16} {}", budget.name, budget.about);
    }
    Ok(())
}

fn print_shipped(name: &str) -> Result<(), CommandError> {
    let Some(text) = shipped::scenario_text(name).or_else(|| shipped::budget_text(name)) else {
        return Err(CommandError::InvalidInput(format!(
            "{name}: not one of `thistlecroft experiment list`"
        )));
    };
    print!("{text}");
    Ok(())
}

fn print_comparison(first: &Path, second: &Path) -> Result<(), CommandError> {
    let first_runs = compare::read(first).map_err(CommandError::invalid)?;
    let second_runs = compare::read(second).map_err(CommandError::invalid)?;
    let first = Side {
        name: &first.to_string_lossy(),
        runs: &first_runs,
    };
    let second = Side {
        name: &second.to_string_lossy(),
        runs: &second_runs,
    };
    println!("{}", compare::table(first, second));
    Ok(())
}

fn print_counts(folder: &Path, span: f64) -> Result<(), CommandError> {
    let counts = Counts::read(folder, span).map_err(CommandError::invalid)?;
    print!("{}", counts.table());
    Ok(())
}
