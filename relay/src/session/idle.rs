//! The order in which idle connections are shed when file descriptors run out.
use thistlecroft::time::Instant;

/// Whether an idle connection has been answered. Answered connections are shed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum IdleKind {
    /// The relay has written its last line to the client.
    Answered,
    /// The client's request has not arrived, or the relay's last line is still being written.
    Unanswered,
}

/// A connection that holds a descriptor without being served. Entries sort in the order in which
/// they are shed: by kind, then by how long the client has been silent, longest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct IdleEntry {
    pub(super) kind: IdleKind,
    /// When the client last sent anything, or connected if it has sent nothing.
    pub(super) silent_since: Instant,
    pub(super) session: u32,
}
