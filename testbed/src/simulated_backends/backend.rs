//! The state of one simulated backend, and of one relay's discovery agent.
use super::faults::{AgentFault, BackendFault};
use super::listener::Listener;
use super::plan::BackendSpec;
use super::protocol::EMPTY_REPORT;
use super::timer::Timer;
use crate::backend_model::BackendModel;
use crate::endpoint_list::{EndpointList, EndpointRow};
use crate::event_recorder::{BackendIndex, Lifecycle};
use thistlecroft::time::Instant;

/// A simulated backend.
pub(super) struct Backend {
    pub(super) spec: BackendSpec,
    pub(super) listener: Listener,
    pub(super) model: BackendModel,
    pub(super) fault: Option<BackendFault>,
    /// Whether a fault keeps the backend from reading and writing.
    pub(super) is_paused: bool,
    pub(super) is_draining: bool,
    pub(super) is_running: bool,
    /// Timers that came due during a pause; they fire when it ends.
    pub(super) postponed_timers: Vec<Timer>,
    /// The most recent load report, as sent to relays.
    pub(super) report: String,
    /// Incremented when the backend stops and when a fault is injected or cleared, so that timers
    /// set before are ignored.
    pub(super) incarnation: u32,
    /// Unix time of the last start in milliseconds; 0 if it ran from the beginning.
    pub(super) started_at_ms: u64,
}

impl Backend {
    pub(super) fn new(spec: BackendSpec, mut listener: Listener, now: Instant) -> Backend {
        if !spec.initially_running {
            listener.socket = None;
        }
        Backend {
            model: BackendModel::start(spec.capacity, now, false),
            is_running: spec.initially_running,
            spec,
            listener,
            fault: None,
            is_paused: false,
            is_draining: false,
            postponed_timers: Vec::new(),
            report: EMPTY_REPORT.into(),
            incarnation: 0,
            started_at_ms: 0,
        }
    }

    /// Returns the backend's row of the endpoint list.
    pub(super) fn endpoint_row(&self, lifecycle: Lifecycle) -> EndpointRow {
        EndpointRow {
            address: self.listener.address,
            zone: self.spec.zone.clone(),
            cell: self.spec.cell,
            lifecycle,
            started_ms: self.started_at_ms,
        }
    }

    /// Sets how many times slower the backend runs. Work up to now is counted at the former speed.
    pub(super) fn set_slowness(&mut self, slowness: f64, now: Instant) {
        self.model.message_delay(now);
        self.model.slowness = slowness;
    }
}

/// The discovery agent of one relay.
pub(super) struct Agent {
    pub(super) listener: Listener,
    pub(super) list: EndpointList,
    pub(super) fault: Option<AgentFault>,
    /// Changes of the list that came during a fault and are not yet applied.
    pub(super) missed_changes: Vec<(BackendIndex, EndpointRow)>,
}
