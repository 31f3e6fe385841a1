//! Scale tests: fleets of hollow relays, each the membership and the leases of a relay and nothing
//! else, over simulated links or as UDP sockets of some processes on loopback. Measures what a
//! relay and a voter send, receive and cost in calm and in the worst second, how long a fleet takes
//! to agree and to own its subjects after a fault, and whether two ever own one subject at once.
mod assignment;
mod budget;
mod config;
mod meter;
mod outcome;
mod processes;
mod protocol;
mod real;
mod simulated;
mod slope;
mod witness;
mod worker;

pub use assignment::Assignment;
pub use budget::{Budget, Violation};
pub use config::{Fault, Layout, Role, ScaleConfig};
pub use meter::{Meter, RoleTraffic, Traffic};
pub use outcome::{Convergence, Cost, Outcome, Phase};
pub use real::RealFigures;
pub use slope::{Line, Slope, Variable, slopes, sweep, table as slope_table};
pub use witness::{Holding, OwnershipWitness};
pub use worker::work;

/// What happens while a run goes on, for whoever watches.
pub type Progress<'a> = &'a mut dyn FnMut(&str);

/// What is run as processes, with its arguments.
#[derive(Clone, Debug, Default)]
pub struct Programs {
    /// Serves `work`.
    pub hollow: Vec<String>,
    pub relay: Vec<String>,
}

/// Runs it as the configuration says.
///
/// # Errors
/// One line: what could not be set up.
pub fn run(
    config: &ScaleConfig,
    programs: &Programs,
    progress: Progress<'_>,
) -> Result<Outcome, String> {
    config.validate()?;
    if config.simulated {
        Ok(simulated::run(config, progress))
    } else {
        config.check_machine()?;
        processes::run(config, programs, progress)
    }
}
