//! The first stage: the client's first line is read.
use super::shared::Shared;
use super::stage::Disposition::{self, Keep};
use super::stage::Stage;
use super::state::{Session, SessionMetadata};
use crate::discovery::registry::EndpointRegistry;
use crate::driver::Event;
use crate::io_context::IoContext;
use crate::line_buffer::LineTooLong;
use crate::protocol::{self, FirstLine, FirstLineError, OpenRequest};
use thistlecroft::ids::RouteId;
use thistlecroft::time::Duration;

/// From connecting until the request has been read. The protocol allows three seconds for an
/// answer, and a silent connection holds a descriptor.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// A connection accepted late has at least this, to be read at all.
const MIN_FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(200);

/// A violation of the protocol by a client that has no answer yet.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub(super) enum HandshakeError {
    /// The first line can't be read.
    #[error(transparent)]
    InvalidLine(#[from] FirstLineError),
    /// The first line has no end.
    #[error("line too long")]
    LineTooLong,
    /// Bytes follow the request.
    #[error("data after the request")]
    TrailingData,
    /// Bytes came while the client was to wait for its answer.
    #[error("data before the answer")]
    DataBeforeAnswer,
    /// Another session has the same id.
    #[error("session id already in use")]
    DuplicateId,
    /// The client ended its sending within the line.
    #[error("connection ended within the line")]
    Truncated,
    /// The line was not whole in time.
    #[error("line not complete in time")]
    TimedOut,
}

impl Session {
    /// Limits the time until the request is read.
    pub(super) fn start_handshake_timer(&mut self, io: &mut IoContext) {
        let remaining = FIRST_LINE_TIMEOUT - io.now.duration_since(self.phase_started);
        self.close_after(remaining.max(MIN_FIRST_LINE_TIMEOUT), io);
    }

    /// Reads first lines: any number of pings, then a request.
    pub(super) fn read_first_lines(
        &mut self,
        shared: &mut Shared,
        registry: &EndpointRegistry,
        io: &mut IoContext,
    ) -> Disposition {
        loop {
            let first_line = match self.to_backend.next_line() {
                Ok(None) => return Keep,
                Ok(Some(line)) => {
                    protocol::parse_first_line(line, &shared.names).map_err(HandshakeError::from)
                }
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

    /// Opens a session: it is handed to the balancer or, if inherited, to the backend that it
    /// names.
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
        if !shared.open_ids.insert(request.id) {
            return self.fail_handshake(HandshakeError::DuplicateId, io);
        }
        self.open_id = Some(request.id);
        self.close_at = None;
        self.phase_started = io.now;
        if io.sockets.open_in_relay() >= shared.max_descriptors && !shared.has_idle_besides(self.id)
        {
            // There is no descriptor for an attempt. Rejecting now leaves some for accepting
            // others.
            io.counters.turned_away += 1;
            return self.close_with(&protocol::rejection_line(None), io);
        }
        self.choose_route(&mut request, shared);
        let arrival = request.arrival;
        let is_inherited = request.at.is_some();
        self.placement.request = Some(request);
        if is_inherited {
            self.stage = Stage::Inherited;
            return self.attempt_inherited(shared, registry, io);
        }
        io.counters.sessions += 1;
        self.stage = Stage::Placing;
        io.events
            .push_back(Event::SessionArrived(self.session_id(), arrival));
        Keep
    }

    /// Finds the row of the routes that the request takes. Until then the request's route is the
    /// index of its listener.
    fn choose_route(&mut self, request: &mut OpenRequest, shared: &mut Shared) {
        let listener = usize::from(request.arrival.route.0);
        let key = request.arrival.client_key;
        self.metadata = Some(Box::new(SessionMetadata {
            listener: shared.names.listeners[listener].clone(),
            key,
            group: request.group,
            load: None,
            is_migration_due: false,
        }));
        let row = shared
            .routes
            .route_for(listener, key.unwrap_or_default(), request.group);
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
        log::debug!("handshake failed session={} error=\"{error}\"", self.id);
        self.to_backend.clear(&mut io.buffers);
        self.close_with(protocol::FAILED_LINE, io)
    }
}
