//! Accepting clients, and shedding idle ones when file descriptors run out.
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

/// So that a rush of clients can't keep the established sessions waiting.
const MAX_ACCEPTS_PER_TURN: usize = 64;

/// Descriptors beyond the limit that serve to reject clients for want of one.
const DESCRIPTORS_FOR_REJECTIONS: usize = 8;

/// While descriptors are scarce, a silent connection may be shed after this; a usual client's first
/// line arrives long before.
const MIN_SILENCE_BEFORE_SHEDDING: Duration = Duration::from_millis(20);

impl Sessions {
    /// Accepts clients from now on.
    pub(crate) fn start_accepting(&mut self) {
        self.listener.start();
    }

    /// Accepts no more clients: those in the backlog are left to another process.
    pub(crate) fn stop_accepting(&mut self) {
        self.listener.stop();
    }

    /// Whether clients are accepted.
    pub(crate) fn is_accepting(&self) -> bool {
        self.listener.is_accepting()
    }

    /// Ends a pause in accepting.
    pub(crate) fn resume_accepting(&mut self) {
        self.listener.resume();
    }

    /// Accepts the connections that wait. Each is read at once, so that a client that means to be
    /// served is never among the idle ones that make room.
    pub(crate) fn accept(&mut self, registry: &EndpointRegistry, io: &mut IoContext) {
        if !self.listener.is_accepting() {
            return;
        }
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            if !self.can_accept(registry, io) {
                return self.listener.pause_saturated(io);
            }
            let id = self.next_id;
            let accepted = self
                .listener
                .accept()
                .and_then(|stream| io.sockets.adopt(SocketOwner::Client(id), stream));
            match accepted {
                Ok(client) => self.add_client(client, registry, io),
                Err(error) => match error.kind() {
                    ErrorKind::WouldBlock => return self.listener.caught_up(),
                    ErrorKind::ConnectionAborted
                    | ErrorKind::Interrupted
                    | ErrorKind::ConnectionReset => {}
                    _ => {
                        // No descriptor or memory is left.
                        io.counters.accept_failures += 1;
                        log::debug!("accept failed error=\"{error}\"");
                        return self.listener.pause(io);
                    }
                },
            }
        }
        self.listener.fell_behind(io.now);
    }

    /// Whether there is a descriptor for one more client, if need be by shedding an idle one or, to
    /// reject it, beyond the limit.
    fn can_accept(&mut self, registry: &EndpointRegistry, io: &mut IoContext) -> bool {
        let open = io.sockets.open_in_relay();
        open < self.shared.max_descriptors
            || self.shed_idle(MIN_SILENCE_BEFORE_SHEDDING, registry, io)
            || open < self.shared.max_descriptors + DESCRIPTORS_FOR_REJECTIONS
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
        let connected = self.listener.connected_since(io.now);
        let mut session = Session::new(id, client, connected, io.now);
        session.start_handshake_timer(io);
        self.sessions.insert(id, session);
        self.step(id, io, |session, shared, io| {
            session.client_event(shared, registry, io)
        });
    }

    /// Sheds idle connections until a descriptor is free, or none is left to shed: idle
    /// connections never keep an attempt from its descriptor.
    pub(super) fn make_room(&mut self, registry: &EndpointRegistry, io: &mut IoContext) {
        while io.sockets.open_in_relay() >= self.shared.max_descriptors
            && self.shed_idle(Duration::ZERO, registry, io)
        {}
    }

    /// Closes the connection that is needed least: one that has had its last line, else the one
    /// that has been silent for longest, if for at least this long. True where that made room.
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
            // A connection whose request came has left its place in the order; one that could not
            // be shed keeps it.
            if self.shared.idle.first() == Some(&entry) {
                return false;
            }
        }
        false
    }
}

impl Session {
    /// Makes room for others, unless a request has come meanwhile: what the client has sent since
    /// the turn began is read first.
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
            // Half a line, whose rest may be on its way: the client is given time to read this.
            return self.close_with(&rejection, io);
        }
        if io.now.duration_since(silent_since) < MIN_SILENCE_BEFORE_SHEDDING {
            // Accepted just now, the client may be sending at this very moment: then this is its
            // answer, though closing right after it may lose it.
            self.output.push_line(&rejection);
            let _ = self.output.write_to(&mut self.client);
        }
        Remove
    }
}
