//! The configuration of the simulated backends, the commands that they take and their totals.
use super::faults::{AgentFault, BackendFault};
use crate::backend_model::BackendCapacity;
use crate::event_recorder::{BackendIndex, RelayIndex};
use thistlecroft::time::Duration;

/// One backend.
#[derive(Clone, Debug)]
pub struct BackendSpec {
    /// What it can serve.
    pub capacity: BackendCapacity,
    /// Its availability zone.
    pub zone: String,
    /// Its cell within the zone.
    pub cell: u16,
    /// It runs and is listed from the beginning; otherwise it starts, and warms up, by a command.
    pub initially_running: bool,
}

/// All backends of a run, with their set-up store and discovery agents.
#[derive(Clone, Debug)]
pub struct BackendPlan {
    /// The backends, in the order of their indices.
    pub backends: Vec<BackendSpec>,
    /// The number of relays, each of which has a discovery agent.
    pub relays: usize,
    /// The least and the greatest time after which an agent announces a change, drawn for each
    /// relay and change.
    pub announcement_delay: (Duration, Duration),
    /// The calls that the set-up store serves at once, and how long each takes; none where set-ups
    /// call no store.
    pub setup_store: Option<(usize, Duration)>,
    /// How often load reports are refreshed and recorded.
    pub report_interval: Duration,
    /// Backends report each session's load when it is established, and one session's changed load
    /// with each report.
    pub reports_load: bool,
    /// Seeds everything that is drawn.
    pub seed: u64,
}

/// What can be ordered while a run goes on.
#[derive(Clone, Debug)]
pub enum BackendCommand {
    /// Injects a fault in place of the present one.
    InjectFault(BackendIndex, BackendFault),
    /// Clears the present fault.
    ClearFault(BackendIndex),
    /// Ends the process at once; it restarts and warms up after that time, if one is given.
    Crash(BackendIndex, Option<Duration>),
    /// Rejects new sessions from now on, migrates its sessions evenly in the course of this time
    /// and then stops.
    Drain(BackendIndex, Duration),
    /// Starts a backend that does not run; it warms up.
    Start(BackendIndex),
    /// Injects a fault into the agent of a relay, or clears it where the last value is false.
    SetAgentFault(RelayIndex, AgentFault, bool),
}

/// How busy the thread of the simulated backends was.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackendTotals {
    /// The longest turn of the event loop.
    pub longest_turn: Duration,
    /// Time spent handling events.
    pub busy_time: Duration,
}
