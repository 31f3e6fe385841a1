//! What the sessions of a relay share.
use super::config_generations::ConfigGenerations;
use super::idle::IdleEntry;
use super::state::SessionRoute;
use crate::protocol::ProtocolSettings;
use std::collections::BTreeSet;
use thistlecroft_operator_config::RouteTable;

/// What a session needs to know of the whole.
pub(super) struct Shared {
    pub(super) names: ProtocolSettings,
    pub(super) routes: RouteTable,
    pub(super) generations: ConfigGenerations,
    /// Descriptors that sessions may take together.
    pub(super) max_descriptors: usize,
    /// Ids of the sessions that are open: a backend rejects a second one of the same id, and would
    /// be blamed for it.
    pub(super) open_ids: BTreeSet<u64>,
    /// Connections that hold a descriptor without being served.
    pub(super) idle: BTreeSet<IdleEntry>,
}

impl Shared {
    pub(super) fn new(
        names: ProtocolSettings,
        routes: RouteTable,
        max_descriptors: usize,
    ) -> Shared {
        Shared {
            names,
            routes,
            generations: ConfigGenerations::new(),
            max_descriptors,
            open_ids: BTreeSet::new(),
            idle: BTreeSet::new(),
        }
    }

    /// Whether a connection other than this session's could make room.
    pub(super) fn has_idle_besides(&self, session: u32) -> bool {
        self.idle.iter().any(|entry| entry.session != session)
    }

    /// Counts a session in that takes this row of the routes.
    pub(super) fn bind_route(&mut self, row: usize) -> SessionRoute {
        SessionRoute {
            timeouts: self.routes.timeouts(row),
            generation: self.generations.add_session(),
        }
    }
}
