//! `thistlecroft experiment scale`: measures a fleet of hollow relays and checks it against a
//! budget.
use crate::error::CommandError;
use crate::own_program::{own_program, own_relay};
use crate::shipped;
use clap::{Args, ValueEnum};
use std::path::{Path, PathBuf};
use thistlecroft_experiments::scale::{
    Budget, Fault, Outcome, Programs, ScaleConfig, run as run_fleet,
};

#[derive(Args)]
pub(crate) struct ScaleArgs {
    /// Number of hollow relays.
    #[arg(long, default_value_t = 100)]
    relays: usize,
    /// Number of subjects that the fleet owns; 66 per relay if not given.
    #[arg(long)]
    subjects: Option<usize>,
    /// Number of voters, each a process of its own.
    #[arg(long, default_value_t = 3)]
    voters: usize,
    /// Probe period in milliseconds.
    #[arg(long, default_value_t = 1_000)]
    period: u64,
    /// Term of a lease in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    term: u64,
    /// Maximum number of bytes per second that a relay sends.
    #[arg(long, default_value_t = 9_000)]
    rate: u32,
    /// Maximum number of bytes per second that a voter sends.
    #[arg(long, default_value_t = 262_144)]
    voter_rate: u32,
    /// Number of zones.
    #[arg(long, default_value_t = 5)]
    zones: usize,
    /// Number of zones in the first region, which `--fault region` cuts off from the others.
    #[arg(long, default_value_t = 3)]
    first_region: usize,
    /// Number of relays in a rack.
    #[arg(long, default_value_t = 20)]
    rack: usize,
    /// Fault to inject after the fleet has been measured without one.
    #[arg(long, value_enum, default_value_t = FaultName::Relay)]
    fault: FaultName,
    /// Seconds for which the fleet is measured before the fault.
    #[arg(long, default_value_t = 20)]
    calm: u64,
    /// Seconds for which the first region stays cut off after both sides have agreed on their
    /// members.
    #[arg(long, default_value_t = 60)]
    cut: u64,
    /// Share of datagrams that are lost, from 0 to 0.9; needs `--simulated`.
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    /// Seed of the run's random draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Run in this process over simulated links, instead of processes that use UDP on loopback.
    #[arg(long)]
    simulated: bool,
    /// Number of hollow relays in one process.
    #[arg(long, default_value_t = 40)]
    each_process: usize,
    /// Number of real relays that join the fleet of hollow relays.
    #[arg(long, default_value_t = 0)]
    real: usize,
    /// Limits that the figures must keep: a budget's file, or the shipped `budget-target`.
    #[arg(long, value_name = "FILE")]
    budget: Option<String>,
    /// Folder for the results: `scale.txt`, a table, and `scale.json`, all figures.
    #[arg(long, default_value = "found/scale")]
    out: PathBuf,
    /// Print no progress.
    #[arg(long)]
    quiet: bool,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum FaultName {
    /// No fault.
    None,
    /// One relay is killed.
    Relay,
    /// All relays of one rack are killed.
    Rack,
    /// All relays of one zone are killed, and the voter in it.
    Zone,
    /// One voter is killed.
    Voter,
    /// The first region is cut off and later connected again; needs `--simulated`.
    Region,
}

impl From<FaultName> for Fault {
    fn from(name: FaultName) -> Fault {
        match name {
            FaultName::None => Fault::None,
            FaultName::Relay => Fault::Relay,
            FaultName::Rack => Fault::Rack,
            FaultName::Zone => Fault::Zone,
            FaultName::Voter => Fault::Voter,
            FaultName::Region => Fault::Region,
        }
    }
}

/// Number of subjects per relay, unless `--subjects` gives the total.
const SUBJECTS_PER_RELAY: usize = 66;

impl ScaleArgs {
    pub(crate) fn config(&self) -> ScaleConfig {
        ScaleConfig {
            relays: self.relays,
            subjects: self
                .subjects
                .unwrap_or(self.relays.saturating_mul(SUBJECTS_PER_RELAY)),
            voters: self.voters,
            period_ms: self.period,
            term_ms: self.term,
            rate: self.rate,
            voter_rate: self.voter_rate,
            zones: self.zones,
            first_region_zones: self.first_region,
            relays_per_rack: self.rack,
            fault: self.fault.into(),
            calm_s: self.calm,
            cut_s: self.cut,
            loss: self.loss,
            seed: self.seed,
            simulated: self.simulated,
            relays_per_process: self.each_process,
            real_relays: self.real,
        }
    }

    pub(crate) fn print_progress(&self, line: &str) {
        if !self.quiet {
            eprintln!("{line}");
        }
    }

    fn read_budget(&self) -> Result<Option<Budget>, CommandError> {
        let Some(name) = &self.budget else {
            return Ok(None);
        };
        let invalid =
            |error: &dyn std::fmt::Display| CommandError::InvalidInput(format!("{name}: {error}"));
        let text = match shipped::budget_text(name) {
            Some(text) => text.to_string(),
            None => std::fs::read_to_string(name).map_err(|error| invalid(&error))?,
        };
        let budget = Budget::parse(&text).map_err(|error| invalid(&error))?;
        Ok(Some(budget))
    }
}

/// Returns the command lines that start the fleet's processes.
pub(crate) fn programs() -> Result<Programs, CommandError> {
    Ok(Programs {
        hollow: own_program(&["experiment", "hollow"])?,
        relay: own_relay()?,
    })
}

pub(crate) fn run(args: &ScaleArgs) -> Result<(), CommandError> {
    let config = args.config();
    config.validate().map_err(CommandError::invalid)?;
    let budget = args.read_budget()?;
    let mut progress = |line: &str| args.print_progress(line);
    let outcome = run_fleet(&config, &programs()?, &mut progress).map_err(CommandError::failed)?;
    let table = outcome.table();
    print!("{table}");
    save(&outcome, &table, &args.out)?;
    let violations = budget.map_or(Vec::new(), |budget| budget.check(&outcome));
    for violation in &violations {
        println!("over budget: {violation}");
    }
    match violations.len() {
        0 => Ok(()),
        count => Err(CommandError::Failed(format!(
            "{count} limits of the budget were not kept"
        ))),
    }
}

fn save(outcome: &Outcome, table: &str, folder: &Path) -> Result<(), CommandError> {
    let failed = |error: std::io::Error| {
        CommandError::Failed(format!(
            "results can't be written to {}: {error}",
            folder.display()
        ))
    };
    std::fs::create_dir_all(folder).map_err(failed)?;
    std::fs::write(folder.join("scale.txt"), table).map_err(failed)?;
    std::fs::write(folder.join("scale.json"), outcome.json()).map_err(failed)
}
