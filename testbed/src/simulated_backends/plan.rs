//! The configuration of the simulated backends, the commands that control them and their totals.
use super::faults::{AgentFault, BackendFault};
use crate::backend_model::BackendCapacity;
use crate::event_recorder::{BackendIndex, RelayIndex};
use thistlecroft::time::Duration;

/// The configuration of one backend.
#[derive(Clone, Debug)]
pub struct BackendSpec {
    /// The load and sessions that the backend can serve.
    pub capacity: BackendCapacity,
    /// The backend's availability zone.
    pub zone: String,
    /// The backend's cell within the zone.
    pub cell: u16,
    /// Whether the backend runs and is listed from the beginning. Otherwise a command starts it,
    /// and it warms up.
    pub initially_running: bool,
}

/// The configuration of all backends of a run, their set-up store and the discovery agents.
#[derive(Clone, Debug)]
pub struct BackendPlan {
    /// The backends, in the order of their indices.
    pub backends: Vec<BackendSpec>,
    /// The number of relays, each of which has a discovery agent.
    pub relays: usize,
    /// The minimum and maximum delay until an agent announces a change; the delay is drawn for each
    /// relay and change.
    pub announcement_delay: (Duration, Duration),
    /// The number of calls that the set-up store serves concurrently and the duration of each;
    /// `None` if set-ups call no store.
    pub setup_store: Option<(usize, Duration)>,
    /// How often load reports are refreshed and recorded.
    pub report_interval: Duration,
    /// Whether backends report each session's load when it is established, and the changed load of
    /// one session with each load report.
    pub reports_load: bool,
    /// The seed of the random numbers.
    pub seed: u64,
}

/// A command to the simulated backends during a run.
#[derive(Clone, Debug)]
pub enum BackendCommand {
    /// Injects a fault, which replaces the present one.
    InjectFault(BackendIndex, BackendFault),
    /// Clears the present fault.
    ClearFault(BackendIndex),
    /// Stops the backend immediately. If a time is given, the backend restarts after it and warms
    /// up.
    Crash(BackendIndex, Option<Duration>),
    /// Drains the backend: it rejects new sessions, migrates its sessions one by one and stops
    /// after this time.
    Drain(BackendIndex, Duration),
    /// Starts a backend that is not running; it then warms up.
    Start(BackendIndex),
    /// Injects a fault into the agent of a relay, or clears it if the last value is false.
    SetAgentFault(RelayIndex, AgentFault, bool),
}

/// The load of the thread of the simulated backends.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackendTotals {
    /// The longest turn (iteration) of the event loop.
    pub longest_turn: Duration,
    /// The total time spent handling events.
    pub busy_time: Duration,
}
