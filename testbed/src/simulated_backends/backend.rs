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
    /// Nothing is read or written.
    pub(super) is_paused: bool,
    pub(super) is_draining: bool,
    pub(super) is_running: bool,
    /// Timers that were due during a pause.
    pub(super) postponed_timers: Vec<Timer>,
    /// The load report of the last interval.
    pub(super) report: String,
    /// Grows with each start and fault: timers of an earlier incarnation are ignored.
    pub(super) incarnation: u32,
    /// Unix time of its start; 0 for long ago.
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

    /// Its row in the endpoint list.
    pub(super) fn endpoint_row(&self, lifecycle: Lifecycle) -> EndpointRow {
        EndpointRow {
            address: self.listener.address,
            zone: self.spec.zone.clone(),
            cell: self.spec.cell,
            lifecycle,
            started_ms: self.started_at_ms,
        }
    }

    /// Changes how many times slower it runs; work up to now counts at the speed before.
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
    /// Changes that it learned of during a fault.
    pub(super) missed_changes: Vec<(BackendIndex, EndpointRow)>,
}
