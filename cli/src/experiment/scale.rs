//! `thistlecroft experiment scale`: fleets of hollow relays, measured and held to a budget.
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
    /// Hollow relays.
    #[arg(long, default_value_t = 100)]
    relays: usize,
    /// Subjects that the fleet owns; 66 a relay where it is not given.
    #[arg(long)]
    subjects: Option<usize>,
    /// Voters, processes of their own.
    #[arg(long, default_value_t = 3)]
    voters: usize,
    /// Milliseconds of a probe period, and of a lease.
    #[arg(long, default_value_t = 1_000)]
    period: u64,
    #[arg(long, default_value_t = 10_000)]
    term: u64,
    /// Bytes a second that a relay sends at most, and a voter.
    #[arg(long, default_value_t = 9_000)]
    rate: u32,
    #[arg(long, default_value_t = 262_144)]
    voter_rate: u32,
    #[arg(long, default_value_t = 5)]
    zones: usize,
    /// How many of the zones are the first region.
    #[arg(long, default_value_t = 3)]
    first_region: usize,
    /// Relays of one rack.
    #[arg(long, default_value_t = 20)]
    rack: usize,
    /// What is done to the fleet once it is calm.
    #[arg(long, value_enum, default_value_t = FaultName::Relay)]
    fault: FaultName,
    /// Seconds that calm is measured.
    #[arg(long, default_value_t = 20)]
    calm: u64,
    /// Seconds that a region is cut off once both sides have agreed.
    #[arg(long, default_value_t = 60)]
    cut: u64,
    /// Part of the datagrams that is lost, over simulated links.
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Over simulated links in this process, in place of UDP on loopback.
    #[arg(long)]
    simulated: bool,
    /// Hollow relays of one process.
    #[arg(long, default_value_t = 40)]
    each_process: usize,
    /// Real relays in the fleet beside the hollow ones.
    #[arg(long, default_value_t = 0)]
    real: usize,
    /// Limits to be kept: a file, or `budget-target`, the fleet that is coming.
    #[arg(long, value_name = "FILE")]
    budget: Option<String>,
    /// Where the table and the figures as JSON go.
    #[arg(long, default_value = "found/scale")]
    out: PathBuf,
    /// Say nothing while it runs.
    #[arg(long)]
    quiet: bool,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum FaultName {
    None,
    Relay,
    Rack,
    Zone,
    Voter,
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

/// Subjects of each relay, unless the command line gives their number.
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

/// The command lines of the fleet's processes.
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
    let failed =
        |error: std::io::Error| CommandError::Failed(format!("{}: {error}", folder.display()));
    std::fs::create_dir_all(folder).map_err(failed)?;
    std::fs::write(folder.join("scale.txt"), table).map_err(failed)?;
    std::fs::write(folder.join("scale.json"), outcome.json()).map_err(failed)
}
