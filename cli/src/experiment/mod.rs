//! `thistlecroft experiment`: runs experiments, compares them and reports their results.
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
    /// Run a scenario: a file, or one that is shipped with the command.
    Run(run::RunArgs),
    /// Compare the figures of two runs, or of two folders of runs, side by side.
    Compare { first: PathBuf, second: PathBuf },
    /// Count what the relays of a fleet did in total, from their logs at level debug.
    Count {
        /// Folder with the relays' logs (`.log`).
        folder: PathBuf,
        /// Length of the spans in which events are counted, in seconds.
        #[arg(long, default_value_t = 2.0)]
        span: f64,
    },
    /// List the scenarios and budgets that are shipped with the command.
    List,
    /// Print the figures of all runs in a folder, and write an `index.html` there with links to
    /// their reports.
    Report { folder: PathBuf },
    /// Find the rate at which the testbed itself becomes too slow on this machine.
    Saturate {
        /// Folder for the results.
        #[arg(long, default_value = "found/saturate")]
        out: PathBuf,
    },
    /// Print a shipped scenario or budget, as a start for a scenario of one's own.
    Show { scenario: String },
    /// Measure a fleet of hollow relays, which have peers and leases but no clients: the cost of
    /// its control traffic, the time until its members agree and own all subjects, and whether it
    /// keeps a budget.
    Scale(Box<scale::ScaleArgs>),
    /// Run `scale` at several sizes and seeds, and fit a straight line to each figure.
    Slope(Box<slope::SlopeArgs>),
    /// Run hollow relays as a process of `scale`, which controls it over standard input and
    /// output.
    #[command(hide = true)]
    Hollow,
    /// Measure how fast relays learn of joined and failed peers and what that costs, over simulated
    /// links and as processes on this machine.
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

/// Reads the shipped scenario with this name, or else the file.
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
