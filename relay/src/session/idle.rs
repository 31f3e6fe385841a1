//! Which connections make room first when file descriptors run out.
use thistlecroft::time::Instant;

/// Whether an idle connection has had its answer; those that have come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum IdleKind {
    /// It has had its last line.
    Answered,
    /// Its request has not come, or its last line is still being written.
    Unanswered,
}

/// A connection that holds a descriptor without being served. The order is that in which such
/// connections make room: by kind, then the one that has been silent for longest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct IdleEntry {
    pub(super) kind: IdleKind,
    /// When the client last sent anything.
    pub(super) silent_since: Instant,
    pub(super) session: u32,
}
