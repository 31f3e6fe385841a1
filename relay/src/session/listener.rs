//! The socket on which clients connect: whether connections are accepted, and how late.
use crate::io_context::IoContext;
use crate::sockets::ListenerSocket;
use crate::timers::Timer;
use std::net::TcpStream;
use thistlecroft::time::{Duration, Instant};

/// After an accept that failed for want of anything; to try at once would only spin.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, PartialEq, Eq)]
enum Accepting {
    Stopped,
    Started,
}

/// The clients' listening socket.
pub(super) struct ClientListener {
    socket: ListenerSocket,
    accepting: Accepting,
    /// Since when connections may have waited in the backlog.
    behind_since: Option<Instant>,
    /// Accepting pauses until a descriptor is free.
    is_saturated: bool,
}

impl ClientListener {
    /// Accepts nothing before [`ClientListener::start`].
    pub(super) fn new(socket: ListenerSocket) -> ClientListener {
        ClientListener {
            socket,
            accepting: Accepting::Stopped,
            behind_since: None,
            is_saturated: false,
        }
    }

    pub(super) fn start(&mut self) {
        self.accepting = Accepting::Started;
        self.socket.set_interest(true);
    }

    /// Whoever waits in the backlog is left to another process.
    pub(super) fn stop(&mut self) {
        self.accepting = Accepting::Stopped;
        self.socket.set_interest(false);
    }

    pub(super) fn is_accepting(&self) -> bool {
        self.accepting == Accepting::Started
    }

    pub(super) fn accept(&mut self) -> std::io::Result<TcpStream> {
        self.socket.accept()
    }

    /// Pauses for a moment; connections stay in the backlog.
    pub(super) fn pause(&mut self, io: &mut IoContext) {
        self.fell_behind(io.now);
        self.socket.set_interest(false);
        io.timers
            .set(io.now + ACCEPT_RETRY_INTERVAL, Timer::ResumeAccepting);
    }

    /// Pauses for a moment, or until a descriptor is free if that comes first.
    pub(super) fn pause_saturated(&mut self, io: &mut IoContext) {
        self.is_saturated = true;
        self.pause(io);
    }

    pub(super) fn is_saturated(&self) -> bool {
        self.is_saturated
    }

    /// Ends a pause.
    pub(super) fn resume(&mut self) {
        self.is_saturated = false;
        self.socket.set_interest(self.is_accepting());
    }

    /// The backlog is empty.
    pub(super) fn caught_up(&mut self) {
        self.behind_since = None;
    }

    /// Connections may stay in the backlog.
    pub(super) fn fell_behind(&mut self, now: Instant) {
        self.behind_since.get_or_insert(now);
    }

    /// Since when a connection accepted now may have waited: time in the backlog counts.
    pub(super) fn connected_since(&self, now: Instant) -> Instant {
        self.behind_since.unwrap_or(now)
    }
}
