//! Scale tests with fleets of hollow relays. A hollow relay has the membership and the leases of a
//! relay and nothing else. The fleet runs over simulated links in one process, or over UDP on
//! loopback with many hollow relays in each process. A test measures what a relay and a voter send,
//! receive and cost while the fleet is calm and in the worst second, how long the fleet takes after
//! a fault to agree on its members and to own all subjects, and whether two members ever own a
//! subject at the same time.
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

/// Receives lines that tell a user about the progress of a run.
pub type Progress<'a> = &'a mut dyn FnMut(&str);

/// The commands of the fleet's processes, each a program with its arguments.
#[derive(Clone, Debug, Default)]
pub struct Programs {
    /// Starts a process of hollow relays, which calls [`run_worker`].
    pub hollow: Vec<String>,
    /// Starts a real relay.
    pub relay: Vec<String>,
}

/// Runs the scale test that `config` describes.
///
/// # Errors
/// Returns an error if an option is out of its range, if the fleet can't be started on this
/// machine, or if one of its processes fails.
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
