//! The table of sessions, which dispatches each event and timer to the session it concerns.
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

/// All sessions of this process, and the listener that accepts their clients.
pub(crate) struct Sessions {
    pub(super) sessions: BTreeMap<u32, Session>,
    /// The id of the next session.
    pub(super) next_id: u32,
    pub(super) listener: ClientListener,
    pub(super) offers: OfferQueue,
    pub(super) shared: Shared,
}

impl Sessions {
    /// Creates an empty table for a process with this memory limit. No client is accepted before
    /// [`Sessions::start_accepting`].
    pub(crate) fn new(
        listener: ListenerSocket,
        protocol_settings: ProtocolSettings,
        routes: RouteTable,
        memory_bytes: usize,
    ) -> Sessions {
        Sessions {
            sessions: BTreeMap::new(),
            next_id: 0,
            listener: ClientListener::new(listener),
            offers: OfferQueue::default(),
            shared: Shared::new(protocol_settings, routes, memory_bytes),
        }
    }

    /// Returns whether there are no sessions.
    pub(crate) fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// Returns the number of sessions, in all stages.
    pub(crate) fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Replaces the protocol settings and routes, for sessions that are opened from now on.
    pub(crate) fn reconfigure(&mut self, protocol_settings: ProtocolSettings, routes: RouteTable) {
        let is_changed = self.shared.protocol_settings.listeners != protocol_settings.listeners
            || self.shared.routes != routes;
        (self.shared.protocol_settings, self.shared.routes) = (protocol_settings, routes);
        if is_changed {
            self.shared.generations.advance();
        }
    }

    /// Returns the routes for new sessions.
    pub(crate) fn routes(&self) -> &RouteTable {
        &self.shared.routes
    }

    /// Returns the generation of the configuration in force.
    pub(crate) fn generation(&self) -> u32 {
        self.shared.generations.current()
    }

    /// Returns the number of sessions by configuration generation, as text for the log.
    pub(crate) fn sessions_by_generation(&self) -> String {
        self.shared.generations.to_string()
    }

    /// Runs one step of a session, for an event, a timer or an action, and then updates the idle
    /// connections and the readiness that the poller waits for. A panic in the step ends that
    /// session, not the process.
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
            session.fail_after_panic(io)
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
                session.note_attempts_under_way();
                let single_use = session.single_use.take();
                self.shared.close_single_use(open_id, single_use, io.now);
            }
            if let Some(route) = &session.route {
                self.shared.generations.remove_session(route.generation);
            }
        }
        // A descriptor is free again for a connection that waits in the backlog.
        if self.listener.awaits_descriptor() {
            self.listener.resume();
        }
    }

    /// Handles readiness of a client's socket. An event for a socket with another key is late and
    /// ignored.
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

    /// Handles readiness of the socket of an attempt, which has this key.
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

    /// Ends the attempt with this serial if it is overdue.
    pub(crate) fn attempt_timer_fired(&mut self, id: u32, serial: u32, io: &mut IoContext) {
        self.step(id, io, |session, _, io| {
            let is_overdue =
                |attempt: &Attempt| attempt.serial == serial && attempt.is_overdue(io.now);
            if session.promote_attempt(is_overdue) {
                session.end_attempt(FailureCause::TimedOut, io);
            }
            Keep
        });
    }

    /// Closes the session if its close time has passed.
    pub(crate) fn close_timer_fired(&mut self, id: u32, io: &mut IoContext) {
        self.step(id, io, |session, _, io| session.close_timer_fired(io));
    }

    /// Reports a client line that has waited too long for an answer.
    pub(crate) fn response_timer_fired(&mut self, id: u32, io: &mut IoContext) {
        self.step(id, io, |session, _, io| {
            session.response_timer_fired(io);
            Keep
        });
    }

    /// Migrates the session if no line has passed for as long as its route allows.
    pub(crate) fn idle_timer_fired(&mut self, id: u32, io: &mut IoContext) {
        self.step(id, io, |session, _, io| session.idle_timer_fired(io));
    }

    /// Attempts again to connect an inherited session to its backend.
    pub(crate) fn retry_inherited(
        &mut self,
        id: u32,
        registry: &EndpointRegistry,
        io: &mut IoContext,
    ) {
        self.step(id, io, |session, _, io| {
            session.attempt_inherited(registry, io)
        });
    }

    /// Lets sessions that stopped for want of a buffer read again, while the pool has free buffers.
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

    /// Runs a step that panics.
    #[cfg(test)]
    pub(crate) fn panic_in_step(&mut self, id: u32, io: &mut IoContext) {
        self.step(id, io, |_, _, _| panic!("panic requested by the test"));
    }
}
