//! State that all sessions of a relay share.
use super::config_generations::ConfigGenerations;
use super::idle::IdleEntry;
use super::state::SessionRoute;
use crate::protocol::ProtocolSettings;
use std::collections::BTreeSet;
use thistlecroft_operator_config::RouteTable;

/// The state that a step of one session may read or change beside the session itself.
pub(super) struct Shared {
    pub(super) protocol_settings: ProtocolSettings,
    pub(super) routes: RouteTable,
    pub(super) generations: ConfigGenerations,
    /// The ids of the open sessions. A backend rejects a second session of the same id, which would
    /// count as a failure of the backend, so the relay answers the duplicate itself.
    pub(super) open_ids: BTreeSet<u64>,
    /// The connections that hold a descriptor without being served.
    pub(super) idle: BTreeSet<IdleEntry>,
}

impl Shared {
    pub(super) fn new(protocol_settings: ProtocolSettings, routes: RouteTable) -> Shared {
        Shared {
            protocol_settings,
            routes,
            generations: ConfigGenerations::new(),
            open_ids: BTreeSet::new(),
            idle: BTreeSet::new(),
        }
    }

    /// Returns whether an idle connection other than this session's could be shed.
    pub(super) fn has_idle_other_than(&self, session: u32) -> bool {
        self.idle.iter().any(|entry| entry.session != session)
    }

    /// Returns the route in this row of the route table, and counts a session for the current
    /// configuration generation.
    pub(super) fn bind_route(&mut self, row: usize) -> SessionRoute {
        SessionRoute {
            timeouts: self.routes.timeouts(row),
            generation: self.generations.add_session(),
        }
    }
}
