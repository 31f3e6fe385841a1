//! `thistlecroft lab scale`: fleets of hollow relays, measured and held to a budget.
use crate::End;
use crate::experiments::{own_program, own_relay};
use crate::shipped;
use clap::{Args, ValueEnum};
use std::path::{Path, PathBuf};
use thistlecroft_experiments::scale::{
    Budget, Fault, Outcome, Programs, ScaleConfig, Variable, run, slope_table, slopes, sweep,
};

#[derive(Args)]
pub struct ScaleArgs {
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

/// Subjects of a relay in the fleet that is coming.
const SUBJECTS_EACH: usize = 66;

impl ScaleArgs {
    fn config(&self) -> ScaleConfig {
        let fault = match self.fault {
            FaultName::None => Fault::None,
            FaultName::Relay => Fault::Relay,
            FaultName::Rack => Fault::Rack,
            FaultName::Zone => Fault::Zone,
            FaultName::Voter => Fault::Voter,
            FaultName::Region => Fault::Region,
        };
        ScaleConfig {
            relays: self.relays,
            subjects: self
                .subjects
                .unwrap_or(self.relays.saturating_mul(SUBJECTS_EACH)),
            voters: self.voters,
            period_ms: self.period,
            term_ms: self.term,
            rate: self.rate,
            voter_rate: self.voter_rate,
            zones: self.zones,
            first_region: self.first_region,
            rack: self.rack,
            fault,
            calm_s: self.calm,
            cut_s: self.cut,
            loss: self.loss,
            seed: self.seed,
            simulated: self.simulated,
            each_process: self.each_process,
            real: self.real,
        }
    }

    fn budget(&self) -> Result<Option<Budget>, End> {
        let Some(name) = &self.budget else {
            return Ok(None);
        };
        let text = match shipped::budget(name) {
            Some(text) => text.to_string(),
            None => std::fs::read_to_string(name)
                .map_err(|fault| End::Wrong(format!("{name}: {fault}")))?,
        };
        Budget::parse(&text)
            .map(Some)
            .map_err(|fault| End::Wrong(format!("{name}: {fault}")))
    }
}

fn programs() -> Result<Programs, End> {
    Ok(Programs {
        hollow: own_program(&["lab", "hollow"])?,
        relay: own_relay()?,
    })
}

pub fn scale(args: &ScaleArgs) -> Result<(), End> {
    let config = args.config();
    config.validate().map_err(End::Wrong)?;
    let budget = args.budget()?;
    let mut progress = |line: &str| {
        if !args.quiet {
            eprintln!("{line}");
        }
    };
    let outcome = run(&config, &programs()?, &mut progress).map_err(End::Failed)?;
    let table = outcome.table();
    print!("{table}");
    save(&outcome, &table, &args.out).map_err(End::Failed)?;
    let violations = budget.map_or(Vec::new(), |budget| budget.check(&outcome));
    for violation in &violations {
        println!("over budget: {violation}");
    }
    match violations.len() {
        0 => Ok(()),
        some => Err(End::Failed(format!(
            "{some} limits of the budget were not kept"
        ))),
    }
}

/// What is varied.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum VariableName {
    Relays,
    Subjects,
    Voters,
}

#[derive(Args)]
pub struct SlopeArgs {
    /// What is varied; subjects are those of each relay.
    #[arg(long, value_enum, default_value_t = VariableName::Relays)]
    over: VariableName,
    /// Its sizes.
    #[arg(long, value_delimiter = ',', default_value = "25,50,100,200")]
    at: Vec<usize>,
    /// Runs at each size, each of a seed of its own.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    #[command(flatten)]
    scale: ScaleArgs,
}

pub fn slope(args: &SlopeArgs) -> Result<(), End> {
    if args.at.len() < 2 || args.seeds == 0 {
        return Err(End::Wrong(
            "--at: two sizes or more; --seeds: one or more".into(),
        ));
    }
    let (config, quiet) = (args.scale.config(), args.scale.quiet);
    let variable = match args.over {
        VariableName::Relays => Variable::Relays,
        VariableName::Subjects => Variable::Subjects,
        VariableName::Voters => Variable::Voters,
    };
    let mut progress = |line: &str| {
        if !quiet {
            eprintln!("{line}");
        }
    };
    let all = sweep(
        &config,
        variable,
        &args.at,
        args.seeds,
        &programs()?,
        &mut progress,
    )
    .map_err(End::Failed)?;
    print!(
        "{}",
        slope_table(&config, variable, args.seeds, &slopes(&all))
    );
    Ok(())
}

fn save(outcome: &Outcome, table: &str, out: &Path) -> Result<(), String> {
    let at = |fault: std::io::Error| format!("{}: {fault}", out.display());
    std::fs::create_dir_all(out).map_err(at)?;
    std::fs::write(out.join("scale.txt"), table).map_err(at)?;
    std::fs::write(out.join("scale.json"), outcome.json()).map_err(at)
}
