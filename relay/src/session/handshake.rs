//! The first stage: reading the client's first line.
use super::shared::{NoRoomForId, Shared};
use super::stage::Disposition::{self, Keep};
use super::stage::Stage;
use super::state::{Session, SessionMetadata};
use crate::discovery::registry::EndpointRegistry;
use crate::driver::Event;
use crate::io_context::IoContext;
use crate::line_buffer::LineTooLong;
use crate::protocol::{self, FirstLine, FirstLineError, OpenRequest};
use thistlecroft::deployment::Idempotency;
use thistlecroft::ids::RouteId;
use thistlecroft::time::Duration;

/// The time from the client's connecting until its request must have been read. The protocol allows
/// three seconds for an answer, and a silent connection holds a descriptor.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The least that is left of `FIRST_LINE_TIMEOUT` for a connection that waited long in the backlog,
/// so that its request can be read at all.
const MIN_FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(200);

/// A violation of the protocol by a client that has not been answered yet.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub(super) enum HandshakeError {
    /// The first line can't be parsed.
    #[error(transparent)]
    InvalidLine(#[from] FirstLineError),
    /// The first line exceeds the maximum length.
    #[error("first line is too long")]
    LineTooLong,
    /// Bytes follow the request.
    #[error("client sent data after its request")]
    TrailingData,
    /// The client sent bytes while its request was not answered.
    #[error("client sent data before its request was answered")]
    DataBeforeAnswer,
    /// Another open session has the same id.
    #[error("session id is in use by another open session")]
    DuplicateId,
    /// An earlier session of this id may have run and must not run again.
    #[error("session id was used by a request that must not be repeated")]
    RepeatedId,
    /// The client finished sending before the first line was complete.
    #[error("client finished sending before its first line was complete")]
    Truncated,
    /// The first line was not complete in time.
    #[error("first line was not complete in time")]
    TimedOut,
}

impl Session {
    /// Sets the timer that limits the time until the request is read.
    pub(super) fn start_handshake_timer(&mut self, io: &mut IoContext) {
        let remaining = FIRST_LINE_TIMEOUT - io.now.duration_since(self.phase_started);
        self.close_after(remaining.max(MIN_FIRST_LINE_TIMEOUT), io);
    }

    /// Reads first lines: any number of `PING`s, then a request.
    pub(super) fn read_first_lines(
        &mut self,
        shared: &mut Shared,
        registry: &EndpointRegistry,
        io: &mut IoContext,
    ) -> Disposition {
        loop {
            let first_line = match self.to_backend.next_line() {
                Ok(None) => return Keep,
                Ok(Some(line)) => protocol::parse_first_line(line, &shared.protocol_settings)
                    .map_err(HandshakeError::from),
                Err(LineTooLong) => Err(HandshakeError::LineTooLong),
            };
            match first_line {
                Ok(FirstLine::Ping) => {
                    io.counters.pings += 1;
                    self.to_backend.discard_lines(&mut io.buffers);
                    self.output.push_line(protocol::PONG_LINE);
                }
                Ok(FirstLine::Open(request)) => return self.open(request, shared, registry, io),
                Err(error) => return self.fail_handshake(error, io),
            }
        }
    }

    /// Opens a session: the balancer is to place it or, if it is inherited, an attempt to the
    /// backend named in the request is started.
    fn open(
        &mut self,
        mut request: Box<OpenRequest>,
        shared: &mut Shared,
        registry: &EndpointRegistry,
        io: &mut IoContext,
    ) -> Disposition {
        self.to_backend.discard_lines(&mut io.buffers);
        if self.to_backend.has_bytes() {
            return self.fail_handshake(HandshakeError::TrailingData, io);
        }
        if shared.used_ids.contains(request.id, io.now) {
            io.counters.repeated_ids += 1;
            return self.fail_handshake(HandshakeError::RepeatedId, io);
        }
        if !shared.open_ids.insert(request.id) {
            return self.fail_handshake(HandshakeError::DuplicateId, io);
        }
        self.open_id = Some(request.id);
        self.close_at = None;
        self.phase_started = io.now;
        if !io.claim_descriptor() && !shared.has_idle_other_than(self.id) {
            // There is no descriptor for an attempt. Rejecting the session now frees its own for
            // other clients.
            io.counters.turned_away += 1;
            return self.close_with(&protocol::rejection_line(None), io);
        }
        let listener = usize::from(request.arrival.route.0);
        let settings_timeout = shared.protocol_settings.client_timeouts[listener];
        let client_timeout = settings_timeout.max(request.arrival.timeout);
        self.assign_route(&mut request, shared);
        let route = self.route.as_ref();
        let idempotency = route.map_or(Idempotency::NonIdempotent, |route| route.idempotency);
        match shared.reserve_single_use(request.id, idempotency, client_timeout, io.now) {
            Ok(single_use) => self.single_use = single_use,
            Err(NoRoomForId) => {
                io.counters.turned_away += 1;
                return self.close_with(&protocol::rejection_line(None), io);
            }
        }
        let arrival = request.arrival;
        let is_inherited = request.inherited_backend.is_some();
        self.placement.request = Some(request);
        if is_inherited {
            self.stage = Stage::Inherited;
            return self.attempt_inherited(registry, io);
        }
        io.counters.sessions += 1;
        self.stage = Stage::Placing;
        io.events
            .push_back(Event::SessionArrived(self.session_id(), arrival));
        Keep
    }

    /// Assigns the request its row in the route table. Until then the route in the request is the
    /// index of its listener.
    fn assign_route(&mut self, request: &mut OpenRequest, shared: &mut Shared) {
        let listener = usize::from(request.arrival.route.0);
        let client_key = request.arrival.client_key;
        self.metadata = Some(Box::new(SessionMetadata {
            listener: shared.protocol_settings.listeners[listener].clone(),
            client_key,
            group: request.group,
            load: None,
            is_migration_due: false,
        }));
        let row = shared
            .routes
            .route_for(listener, client_key.unwrap_or_default(), request.group);
        let route = shared.bind_route(row);
        request.arrival.route = RouteId(row as u16);
        if let Some(timeout) = route.timeouts.handshake_timeout {
            request.arrival.timeout = request.arrival.timeout.min(timeout);
        }
        self.route = Some(route);
    }

    /// Answers a client that violated the protocol, and closes the session.
    pub(super) fn fail_handshake(
        &mut self,
        error: HandshakeError,
        io: &mut IoContext,
    ) -> Disposition {
        io.counters.bad_lines += 1;
        log::debug!("handshake failed; session={} error=\"{error}\"", self.id);
        self.to_backend.clear(&mut io.buffers);
        self.close_with(protocol::FAILED_LINE, io)
    }
}
