//! Actions on a running testbed, with their times.
use thistlecroft::time::{Duration, Instant};
use thistlecroft_testbed::event_recorder::{BackendIndex, RelayIndex};
use thistlecroft_testbed::link_fault::LinkFault;
use thistlecroft_testbed::load_generator::LoadCommand;
use thistlecroft_testbed::simulated_backends::BackendCommand;

/// An action on a part of the testbed.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    /// Sends a command to the simulated backends.
    Backends(BackendCommand),
    /// Sends a command to the load generator.
    Load(LoadCommand),
    /// Kills a relay and starts it again after the given time, if any.
    Kill(RelayIndex, Option<Duration>),
    /// Shuts a relay down and starts it again after the given time, if any.
    Stop(RelayIndex, Option<Duration>),
    /// Sends SIGHUP to a relay.
    Reload(RelayIndex),
    /// Gives a relay the next of the scenario's operator configurations.
    SwapOperatorConfig(RelayIndex),
    /// Starts a successor of a relay's process, and asks that process to shut down.
    HotRestart(RelayIndex),
    Ban(RelayIndex, BackendIndex),
    Unban(RelayIndex, BackendIndex),
    Pause(RelayIndex),
    Resume(RelayIndex),
    /// Starts a relay that has not run yet or was shut down.
    Start(RelayIndex),
    /// Shuts a relay down and does not start it again.
    Leave(RelayIndex),
    /// Sets or clears the fault of links between relays. The name is recorded.
    Links {
        links: Vec<Link>,
        fault: Option<LinkFault>,
        name: &'static str,
    },
}

/// One direction of the connection between two relays: sender and receiver.
pub(crate) type Link = (RelayIndex, RelayIndex);

/// An action with its time.
#[derive(Clone, Debug)]
pub(crate) struct ScheduledAction {
    pub(crate) at: Instant,
    pub(crate) action: Action,
}

/// The actions of one fault, in the order in which they are added.
#[derive(Default)]
pub(super) struct Schedule(pub(super) Vec<ScheduledAction>);

impl Schedule {
    pub(super) fn add(&mut self, at: Instant, action: Action) {
        self.0.push(ScheduledAction { at, action });
    }
}
