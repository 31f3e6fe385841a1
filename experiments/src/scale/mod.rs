//! Scale tests: fleets of hollow relays, each the membership and the leases of a relay and nothing
//! else, over simulated links or as UDP sockets of some processes on loopback. Measures what a
//! relay and a voter send, receive and cost in calm and in the worst second, how long a fleet takes
//! to agree and to own its subjects after a fault, and whether two ever own one subject at once.
mod assignment;
mod budget;
mod config;
mod error;
mod layout;
mod meter;
mod outcome;
mod outcome_table;
mod ownership_observer;
mod processes;
mod protocol;
mod real_relays;
mod simulated;
mod slope;
mod worker;

pub use assignment::Assignment;
pub use budget::{Budget, BudgetError, BudgetViolation};
pub use config::{Fault, InvalidOption, ScaleConfig};
pub use error::{MachineError, ScaleError};
pub use layout::{Layout, Role};
pub use meter::{RoleTraffic, Traffic};
pub use outcome::{Convergence, Cost, Outcome, Phase};
pub use ownership_observer::{Holding, OwnershipObserver};
pub use real_relays::RealFigures;
pub use slope::{Line, Slope, Variable, slopes, sweep, table as slope_table};
pub use worker::run_worker;

/// What happens while a run goes on, for whoever watches.
pub type Progress<'a> = &'a mut dyn FnMut(&str);

/// What is run as processes, with its arguments.
#[derive(Clone, Debug, Default)]
pub struct Programs {
    /// Serves `run_worker`.
    pub hollow: Vec<String>,
    /// Serves as a relay.
    pub relay: Vec<String>,
}

/// Runs it as the configuration says.
///
/// # Errors
/// What could not be set up.
pub fn run(
    config: &ScaleConfig,
    programs: &Programs,
    progress: Progress<'_>,
) -> Result<Outcome, ScaleError> {
    config.validate()?;
    if config.simulated {
        Ok(simulated::run(config, progress))
    } else {
        config.check_machine()?;
        processes::run(config, programs, progress)
    }
}
