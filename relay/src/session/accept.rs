//! Accepting clients, and shedding idle connections when file descriptors run out.
use super::idle::IdleKind;
use super::shared::Shared;
use super::stage::Disposition::{self, Remove};
use super::stage::Stage;
use super::state::Session;
use super::table::Sessions;
use crate::discovery::registry::EndpointRegistry;
use crate::io_context::IoContext;
use crate::protocol;
use crate::sockets::{Connection, SocketOwner};
use std::io::ErrorKind;
use thistlecroft::time::{Duration, Instant};

/// Connections accepted in one turn of the event loop. The limit keeps a burst of new clients from
/// delaying the established sessions.
const MAX_ACCEPTS_PER_TURN: usize = 64;

/// The time for which a connection must have been silent before it is shed to accept another. A
/// normal client's first line arrives long before.
const MIN_SILENCE_BEFORE_SHEDDING: Duration = Duration::from_millis(20);

impl Sessions {
    /// Starts accepting clients.
    pub(crate) fn start_accepting(&mut self) {
        self.listener.start();
    }

    /// Stops accepting clients. Connections in the backlog are left to another process.
    pub(crate) fn stop_accepting(&mut self) {
        self.listener.stop();
    }

    /// Returns whether clients are accepted.
    pub(crate) fn is_accepting(&self) -> bool {
        self.listener.is_accepting()
    }

    /// Ends a pause in accepting.
    pub(crate) fn resume_accepting(&mut self) {
        self.listener.resume();
    }

    /// Accepts the connections that wait in the backlog. Each is read at once, so that a client
    /// that has already sent its request is never shed as idle.
    pub(crate) fn accept(&mut self, registry: &EndpointRegistry, io: &mut IoContext) {
        if !self.listener.is_accepting() {
            return;
        }
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            if !self.can_accept(registry, io) {
                return self.listener.pause_for_descriptor(io);
            }
            let id = self.next_id;
            let accepted = self
                .listener
                .accept()
                .and_then(|stream| io.sockets.adopt(SocketOwner::Client(id), stream));
            match accepted {
                Ok(client) => self.add_client(client, registry, io),
                Err(error) => match error.kind() {
                    ErrorKind::WouldBlock => return self.listener.backlog_emptied(),
                    ErrorKind::ConnectionAborted
                    | ErrorKind::Interrupted
                    | ErrorKind::ConnectionReset => {}
                    _ => {
                        // The system is out of descriptors or memory.
                        io.counters.accept_failures += 1;
                        log::debug!("accepting a client failed; error=\"{error}\"");
                        return self.listener.pause(io);
                    }
                },
            }
        }
        self.listener.backlog_remains(io.now);
    }

    /// Returns whether there is a descriptor for one more client. At the limit a connection of a
    /// health check is closed, else an idle connection is shed; if there is none, the descriptors
    /// for rejections are used.
    fn can_accept(&mut self, registry: &EndpointRegistry, io: &mut IoContext) -> bool {
        io.claim_descriptor()
            || self.shed_idle(MIN_SILENCE_BEFORE_SHEDDING, registry, io)
            || io.descriptors.has_free_for_rejection(&io.sockets)
    }

    fn add_client(
        &mut self,
        mut client: Connection,
        registry: &EndpointRegistry,
        io: &mut IoContext,
    ) {
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
        io.counters.connections += 1;
        client.set_interest(true, false);
        let connected = self.listener.earliest_connect_time(io.now);
        let mut session = Session::new(id, client, connected, io.now);
        session.start_handshake_timer(io);
        self.sessions.insert(id, session);
        self.step(id, io, |session, shared, io| {
            session.client_event(shared, registry, io)
        });
    }

    /// Sheds idle connections until a descriptor is free or no idle connection is left, so that
    /// idle connections never deprive an attempt of its descriptor.
    pub(super) fn shed_until_descriptor_free(
        &mut self,
        registry: &EndpointRegistry,
        io: &mut IoContext,
    ) {
        while !io.claim_descriptor() && self.shed_idle(Duration::ZERO, registry, io) {}
    }

    /// Closes one idle connection: an answered one first, else the one that has been silent for
    /// longest, provided that it was silent for at least `min_silence`. Returns whether a
    /// connection was closed.
    fn shed_idle(
        &mut self,
        min_silence: Duration,
        registry: &EndpointRegistry,
        io: &mut IoContext,
    ) -> bool {
        while let Some(&entry) = self.shared.idle.first() {
            let is_unanswered = entry.kind == IdleKind::Unanswered;
            if is_unanswered && io.now.duration_since(entry.silent_since) < min_silence {
                return false;
            }
            self.step(entry.session, io, |session, shared, io| {
                session.shed(entry.silent_since, shared, registry, io)
            });
            if !self.sessions.contains_key(&entry.session) {
                io.counters.shed += u64::from(is_unanswered);
                return true;
            }
            // A connection whose request has arrived meanwhile is no longer idle, so the next one
            // is tried. If the entry is still first, it could not be shed.
            if self.shared.idle.first() == Some(&entry) {
                return false;
            }
        }
        false
    }
}

impl Session {
    /// Closes an idle connection to free its descriptor. What the client has sent since the turn
    /// began is read first; if that completes its request, the connection is not shed.
    fn shed(
        &mut self,
        silent_since: Instant,
        shared: &mut Shared,
        registry: &EndpointRegistry,
        io: &mut IoContext,
    ) -> Disposition {
        if self.stage != Stage::Handshake {
            return Remove;
        }
        let disposition = self.client_event(shared, registry, io);
        if self.stage != Stage::Handshake {
            return disposition;
        }
        let rejection = protocol::rejection_line(None);
        if self.to_backend.has_writable() {
            // The rest of a partial line may be on its way, so the client is given time to read the
            // rejection.
            return self.close_with(&rejection, io);
        }
        if io.now.duration_since(silent_since) < MIN_SILENCE_BEFORE_SHEDDING {
            // A client accepted just now may be sending its request at this moment, so it is sent a
            // rejection, which the close right after may lose.
            self.output.push_line(&rejection);
            let _ = self.output.write_to(&mut self.client);
        }
        Remove
    }
}
