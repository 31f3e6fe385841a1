//! State that all sessions of a relay share.
use super::config_generations::ConfigGenerations;
use super::idle::IdleEntry;
use super::state::{SessionRoute, SingleUse};
use super::used_ids::UsedIds;
use crate::protocol::ProtocolSettings;
use std::collections::BTreeSet;
use thistlecroft::deployment::Idempotency;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_operator_config::RouteTable;

/// The state that a step of one session may read or change beside the session itself.
pub(super) struct Shared {
    pub(super) protocol_settings: ProtocolSettings,
    pub(super) routes: RouteTable,
    pub(super) generations: ConfigGenerations,
    /// The ids of the open sessions. A backend rejects a second session of the same id, which would
    /// count as a failure of the backend, so the relay answers the duplicate itself.
    pub(super) open_ids: BTreeSet<u64>,
    /// The ids of ended sessions that must not run again.
    pub(super) used_ids: UsedIds,
    /// The connections that hold a descriptor without being served.
    pub(super) idle: BTreeSet<IdleEntry>,
}

/// The error that there is no room to remember one more id.
#[derive(Clone, Copy, Debug)]
pub(super) struct NoRoomForId;

impl Shared {
    pub(super) fn new(
        protocol_settings: ProtocolSettings,
        routes: RouteTable,
        memory_bytes: usize,
    ) -> Shared {
        Shared {
            protocol_settings,
            routes,
            generations: ConfigGenerations::new(),
            open_ids: BTreeSet::new(),
            used_ids: UsedIds::new(memory_bytes),
            idle: BTreeSet::new(),
        }
    }

    /// Returns whether an idle connection other than this session's could be shed.
    pub(super) fn has_idle_other_than(&self, session: u32) -> bool {
        self.idle.iter().any(|entry| entry.session != session)
    }

    /// Reserves the entry that the id of a session of this idempotency needs once it has ended.
    /// Returns the entry, or none if the session may be repeated.
    ///
    /// # Errors
    /// There is no room for an entry.
    pub(super) fn reserve_single_use(
        &mut self,
        id: u64,
        idempotency: Idempotency,
        client_timeout: Duration,
        now: Instant,
    ) -> Result<Option<SingleUse>, NoRoomForId> {
        let single_use = SingleUse::new(idempotency, client_timeout, now);
        if single_use.is_some() && !self.used_ids.reserve(id, now) {
            return Err(NoRoomForId);
        }
        Ok(single_use)
    }

    /// Reserves the entry for a session that is adopted from the predecessor and runs already, also
    /// where there is no room: there are no more such sessions than descriptors.
    pub(super) fn reserve_adopted_single_use(
        &mut self,
        id: u64,
        idempotency: Idempotency,
        client_timeout: Duration,
        now: Instant,
    ) -> Option<SingleUse> {
        let mut single_use = SingleUse::new(idempotency, client_timeout, now)?;
        single_use.may_have_run = true;
        self.used_ids.reserve_adopted(id);
        Some(single_use)
    }

    /// Ends the reservation of a session's id: the id is refused for a while if it may have run.
    pub(super) fn close_single_use(
        &mut self,
        id: u64,
        single_use: Option<SingleUse>,
        now: Instant,
    ) {
        match single_use {
            Some(used) if used.may_have_run => {
                let until = used.refused_until.max(now + used.refused_for);
                self.used_ids.insert_reserved(id, until, now);
            }
            Some(_) => self.used_ids.release(id),
            None => {}
        }
    }

    /// Returns the route in this row of the route table, and counts a session for the current
    /// configuration generation.
    pub(super) fn bind_route(&mut self, row: usize) -> SessionRoute {
        SessionRoute {
            timeouts: self.routes.timeouts(row),
            idempotency: self.routes.rows()[row].idempotency,
            generation: self.generations.add_session(),
        }
    }
}
