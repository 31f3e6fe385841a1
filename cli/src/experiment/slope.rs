//! `thistlecroft experiment slope`: runs scale tests at several sizes and fits a straight line to
//! each figure.
use super::scale::{ScaleArgs, programs};
use crate::error::CommandError;
use clap::{Args, ValueEnum};
use thistlecroft_experiments::scale::{Variable, slope_table, slopes, sweep};

/// The quantity that varies from size to size.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum VariableName {
    /// Number of relays.
    Relays,
    /// Number of subjects per relay.
    Subjects,
    /// Number of voters.
    Voters,
}

impl From<VariableName> for Variable {
    fn from(name: VariableName) -> Variable {
        match name {
            VariableName::Relays => Variable::Relays,
            VariableName::Subjects => Variable::Subjects,
            VariableName::Voters => Variable::Voters,
        }
    }
}

#[derive(Args)]
pub(crate) struct SlopeArgs {
    /// Quantity to vary; subjects are counted per relay.
    #[arg(long, value_enum, default_value_t = VariableName::Relays)]
    over: VariableName,
    /// Sizes to run, two or more.
    #[arg(long, value_delimiter = ',', default_value = "25,50,100,200")]
    at: Vec<usize>,
    /// Number of runs at each size, each with its own seed.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    #[command(flatten)]
    scale: ScaleArgs,
}

pub(crate) fn run(args: &SlopeArgs) -> Result<(), CommandError> {
    if args.at.len() < 2 || args.seeds == 0 {
        return Err(CommandError::invalid(
            "--at: two sizes or more; --seeds: one or more",
        ));
    }
    let config = args.scale.config();
    let variable = args.over.into();
    let mut progress = |line: &str| args.scale.print_progress(line);
    let outcomes = sweep(
        &config,
        variable,
        &args.at,
        args.seeds,
        &programs()?,
        &mut progress,
    )
    .map_err(CommandError::failed)?;
    let slopes = slopes(&outcomes);
    print!("{}", slope_table(&config, variable, args.seeds, &slopes));
    Ok(())
}
