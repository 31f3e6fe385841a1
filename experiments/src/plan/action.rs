//! What is done to a running testbed, and when.
use thistlecroft::time::{Duration, Instant};
use thistlecroft_testbed::event_recorder::{BackendIndex, RelayIndex};
use thistlecroft_testbed::link_fault::LinkFault;
use thistlecroft_testbed::load_generator::LoadCommand;
use thistlecroft_testbed::simulated_backends::BackendCommand;

/// One thing that is done to the testbed.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    Backends(BackendCommand),
    Load(LoadCommand),
    /// Killed outright, and started again after so long.
    Kill(RelayIndex, Option<Duration>),
    /// Shut down, and started again after so long.
    Stop(RelayIndex, Option<Duration>),
    /// Sent SIGHUP.
    Reload(RelayIndex),
    /// Given the next of the scenario's operator configurations.
    SwapOperatorConfig(RelayIndex),
    /// Replaced by a successor, beside which it shuts down.
    HotRestart(RelayIndex),
    Ban(RelayIndex, BackendIndex),
    Unban(RelayIndex, BackendIndex),
    Pause(RelayIndex),
    Resume(RelayIndex),
    /// One that has not run yet, or was shut down, starts.
    Start(RelayIndex),
    /// Shut down for good.
    Leave(RelayIndex),
    /// Links between relays get a fault, or lose it. The name is recorded.
    Links {
        links: Vec<Link>,
        fault: Option<LinkFault>,
        name: &'static str,
    },
}

/// One direction between two relays.
pub(crate) type Link = (RelayIndex, RelayIndex);

/// An action with its time.
#[derive(Clone, Debug)]
pub(crate) struct ScheduledAction {
    pub(crate) at: Instant,
    pub(crate) action: Action,
}

/// The actions of one fault, as they are gathered.
#[derive(Default)]
pub(super) struct Schedule(pub(super) Vec<ScheduledAction>);

impl Schedule {
    pub(super) fn add(&mut self, at: Instant, action: Action) {
        self.0.push(ScheduledAction { at, action });
    }
}
