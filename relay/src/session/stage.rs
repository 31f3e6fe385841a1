//! The stages of a session's life.

/// The stage that a session is in, which decides what an event means to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The client's first line is awaited.
    Handshake,
    /// The balancer has yet to place the session; attempts to connect to backends may be under way.
    Placing,
    /// The session was open before this process started: it names its backend itself.
    Inherited,
    /// A backend has accepted the session; lines are relayed both ways.
    Established,
    /// Established, and offered to the successor process: nobody reads until that has answered.
    HandingOver,
    /// The relay's last line is being written.
    Closing,
    /// Everything is written; only the client's end of the connection is awaited.
    Draining,
}

/// What becomes of a session after one of its steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Disposition {
    /// It continues.
    Keep,
    /// It is over: its connections are closed.
    Remove,
}
