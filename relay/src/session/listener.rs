//! The clients' listening socket: pausing and resuming accepting, and how long connections may have
//! waited in its backlog.
use crate::io_context::IoContext;
use crate::sockets::ListenerSocket;
use crate::timers::Timer;
use std::net::TcpStream;
use thistlecroft::time::{Duration, Instant};

/// The pause after an accept failed because the system is out of descriptors or memory. Without a
/// pause the event loop would spin.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Whether connections are accepted.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Accepting {
    Stopped,
    Started,
}

/// The clients' listening socket.
pub(super) struct ClientListener {
    socket: ListenerSocket,
    accepting: Accepting,
    /// The time since which connections may have waited in the backlog; none if it is empty.
    backlog_since: Option<Instant>,
    /// Whether accepting is paused because no descriptor is free.
    awaits_descriptor: bool,
}

impl ClientListener {
    /// Wraps the listening socket. Nothing is accepted before [`ClientListener::start`].
    pub(super) fn new(socket: ListenerSocket) -> ClientListener {
        ClientListener {
            socket,
            accepting: Accepting::Stopped,
            backlog_since: None,
            awaits_descriptor: false,
        }
    }

    /// Starts accepting connections.
    pub(super) fn start(&mut self) {
        self.accepting = Accepting::Started;
        self.socket.set_interest(true);
    }

    /// Stops accepting. Connections in the backlog are left to another process.
    pub(super) fn stop(&mut self) {
        self.accepting = Accepting::Stopped;
        self.socket.set_interest(false);
    }

    /// Returns whether connections are accepted; also true while accepting is paused.
    pub(super) fn is_accepting(&self) -> bool {
        self.accepting == Accepting::Started
    }

    /// Accepts one connection from the backlog.
    ///
    /// # Errors
    /// The backlog is empty, or the system could not accept the connection.
    pub(super) fn accept(&mut self) -> std::io::Result<TcpStream> {
        self.socket.accept()
    }

    /// Pauses accepting for `ACCEPT_RETRY_INTERVAL`. Connections stay in the backlog.
    pub(super) fn pause(&mut self, io: &mut IoContext) {
        self.backlog_remains(io.now);
        self.socket.set_interest(false);
        io.timers
            .set(io.now + ACCEPT_RETRY_INTERVAL, Timer::ResumeAccepting);
    }

    /// Pauses accepting for `ACCEPT_RETRY_INTERVAL`, or until a descriptor is free if that is
    /// sooner.
    pub(super) fn pause_for_descriptor(&mut self, io: &mut IoContext) {
        self.awaits_descriptor = true;
        io.counters.accept_pauses += 1;
        log::debug!(
            "accepting is paused until a descriptor is free; {}, other_process={}",
            io.sockets.open_counts(),
            io.sockets.open_count_in_other_process()
        );
        self.pause(io);
    }

    /// Returns whether accepting is paused because no descriptor is free.
    pub(super) fn awaits_descriptor(&self) -> bool {
        self.awaits_descriptor
    }

    /// Ends a pause in accepting.
    pub(super) fn resume(&mut self) {
        self.awaits_descriptor = false;
        self.socket.set_interest(self.is_accepting());
    }

    /// Records that the backlog is empty.
    pub(super) fn backlog_emptied(&mut self) {
        self.backlog_since = None;
    }

    /// Records that connections may wait in the backlog from now on.
    pub(super) fn backlog_remains(&mut self, now: Instant) {
        self.backlog_since.get_or_insert(now);
    }

    /// Returns the earliest time at which a connection accepted now may have been established. Its
    /// time in the backlog counts towards the client's timeouts.
    pub(super) fn earliest_connect_time(&self, now: Instant) -> Instant {
        self.backlog_since.unwrap_or(now)
    }
}
