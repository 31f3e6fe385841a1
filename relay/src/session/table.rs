//! The table of sessions: hands each event and timer to the session that it is about.
use super::listener::ClientListener;
use super::offer_queue::OfferQueue;
use super::shared::Shared;
use super::stage::Disposition::{self, Keep, Remove};
use super::state::Session;
use crate::attempt::{Attempt, FailureCause};
use crate::discovery::registry::EndpointRegistry;
use crate::io_context::IoContext;
use crate::protocol::ProtocolSettings;
use crate::sockets::ListenerSocket;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use thistlecroft_operator_config::RouteTable;

/// Descriptors that sessions never take: discovery, health checks, signals, listeners, the poller,
/// the log.
pub(crate) const RESERVED_DESCRIPTORS: usize = 40;

/// All sessions of this process, and the listener from which they come.
pub(crate) struct Sessions {
    pub(super) sessions: BTreeMap<u32, Session>,
    /// The id of the next session.
    pub(super) next_id: u32,
    pub(super) listener: ClientListener,
    pub(super) offers: OfferQueue,
    pub(super) shared: Shared,
}

impl Sessions {
    /// No client is accepted before [`Sessions::open_door`]. `descriptors` is what the process may
    /// have open in all.
    pub(crate) fn new(
        listener: ListenerSocket,
        names: ProtocolSettings,
        routes: RouteTable,
        descriptors: usize,
    ) -> Sessions {
        let max_descriptors = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        Sessions {
            sessions: BTreeMap::new(),
            next_id: 0,
            listener: ClientListener::new(listener),
            offers: OfferQueue::default(),
            shared: Shared::new(names, routes, max_descriptors),
        }
    }

    /// Whether there is no session.
    pub(crate) fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// How many sessions there are, in whatever stage.
    pub(crate) fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Other names and routes, for the sessions that come from now on.
    pub(crate) fn reconfigure(&mut self, names: ProtocolSettings, routes: RouteTable) {
        let is_changed =
            self.shared.names.listeners != names.listeners || self.shared.routes != routes;
        (self.shared.names, self.shared.routes) = (names, routes);
        if is_changed {
            self.shared.generations.advance();
        }
    }

    /// The routes of the sessions that come now.
    pub(crate) fn routes(&self) -> &RouteTable {
        &self.shared.routes
    }

    /// The number of the configuration that is in force.
    pub(crate) fn generation(&self) -> u32 {
        self.shared.generations.current()
    }

    /// How many sessions belong to which generation of the configuration, for the log.
    pub(crate) fn sessions_by_generation(&self) -> String {
        self.shared.generations.to_string()
    }

    /// Runs one step of a session, for an event, a timer or an action, and updates what the
    /// poller waits for afterwards. A panic costs the session that met it, not the process.
    pub(super) fn step(
        &mut self,
        id: u32,
        io: &mut IoContext,
        step: impl FnOnce(&mut Session, &mut Shared, &mut IoContext) -> Disposition,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let idle_before = session.idle_entry();
        let result = catch_unwind(AssertUnwindSafe(|| step(session, &mut self.shared, io)));
        let disposition = result.unwrap_or_else(|_| {
            io.counters.panics += 1;
            session.fail(io)
        });
        let idle_after = session.idle_entry().filter(|_| disposition == Keep);
        if let Some(entry) = idle_before {
            self.shared.idle.remove(&entry);
        }
        if let Some(entry) = idle_after {
            self.shared.idle.insert(entry);
        }
        match disposition {
            Keep => session.update_interests(),
            Remove => self.remove(id, io),
        }
    }

    fn remove(&mut self, id: u32, io: &mut IoContext) {
        if let Some(mut session) = self.sessions.remove(&id) {
            session.to_backend.clear(&mut io.buffers);
            session.to_client.clear(&mut io.buffers);
            session.drop_hedge(&mut io.buffers);
            if let Some(open_id) = session.open_id {
                self.shared.open_ids.remove(&open_id);
            }
            if let Some(route) = &session.route {
                self.shared.generations.remove_session(route.generation);
            }
        }
        // A connection in the backlog is answered as soon as there is a descriptor for it.
        if self.listener.is_saturated() {
            self.listener.resume();
        }
    }

    /// The client's socket with this key is ready.
    pub(crate) fn client_event(
        &mut self,
        id: u32,
        key: usize,
        registry: &EndpointRegistry,
        io: &mut IoContext,
    ) {
        self.step(id, io, |session, shared, io| {
            if session.client.has_key(key) {
                session.client_event(shared, registry, io)
            } else {
                Keep
            }
        });
    }

    /// The socket of an attempt with this key is ready.
    pub(crate) fn backend_event(
        &mut self,
        id: u32,
        key: usize,
        registry: &EndpointRegistry,
        io: &mut IoContext,
    ) {
        self.step(id, io, |session, shared, io| {
            if session.promote_attempt(|attempt| attempt.connection.has_key(key)) {
                session.backend_event(shared, registry, io)
            } else {
                Keep
            }
        });
    }

    /// The attempt with this serial may have taken too long.
    pub(crate) fn attempt_timer_fired(&mut self, id: u32, serial: u32, io: &mut IoContext) {
        self.step(id, io, |session, _, io| {
            let is_late =
                |attempt: &Attempt| attempt.serial == serial && attempt.is_overdue(io.now);
            if session.promote_attempt(is_late) {
                session.end_attempt(FailureCause::TimedOut, io);
            }
            Keep
        });
    }

    /// The client's first line is late, or its end after the relay's last line is.
    pub(crate) fn close_timer_fired(&mut self, id: u32, io: &mut IoContext) {
        self.step(id, io, |session, _, io| session.close_timer_fired(io));
    }

    /// A line of the client may have waited too long for an answer.
    pub(crate) fn response_timer_fired(&mut self, id: u32, io: &mut IoContext) {
        self.step(id, io, |session, _, io| {
            session.response_timer_fired(io);
            Keep
        });
    }

    /// No line may have passed for as long as the route allows.
    pub(crate) fn idle_timer_fired(&mut self, id: u32, io: &mut IoContext) {
        self.step(id, io, |session, _, io| session.idle_timer_fired(io));
    }

    /// An inherited session is to try its backend again.
    pub(crate) fn retry_inherited(
        &mut self,
        id: u32,
        registry: &EndpointRegistry,
        io: &mut IoContext,
    ) {
        self.step(id, io, |session, shared, io| {
            session.attempt_inherited(shared, registry, io)
        });
    }

    /// Sessions that stopped for want of a buffer read on.
    pub(crate) fn resume_starved(&mut self, io: &mut IoContext) {
        for _ in 0..io.starved.len() {
            if !io.buffers.has_available() {
                return;
            }
            let Some(id) = io.starved.pop_front() else {
                return;
            };
            self.step(id, io, |session, _, _| {
                session.is_starved = false;
                Keep
            });
        }
    }

    /// A step that panics.
    #[cfg(test)]
    pub(crate) fn panic_in_step(&mut self, id: u32, io: &mut IoContext) {
        self.step(id, io, |_, _, _| panic!("a fault in a step, for the test"));
    }
}
