//! The stages of a session, and what happens to it after each step.

/// The stage of a session, which decides how it handles an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The relay waits for the client's first line.
    Handshake,
    /// The balancer is placing the session; attempts to connect to backends may be under way.
    Placing,
    /// The session was open before this process started: its request names the backend that held
    /// it.
    Inherited,
    /// A backend has accepted the session; lines are relayed both ways.
    Established,
    /// The session is established and has been offered to the successor process: neither
    /// connection is read until the successor has answered.
    HandingOver,
    /// The relay's last line is being written.
    Closing,
    /// Everything is written; the relay waits for the client to close its side.
    Draining,
}

/// What happens to a session after one of its steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Disposition {
    /// The session continues.
    Keep,
    /// The session has ended: it is removed and its connections are closed.
    Remove,
}
