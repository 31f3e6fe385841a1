//! The numbers of open sockets, by what they are for.
use super::SocketOwner;
use std::cell::Cell;
use std::fmt;

/// What an open socket counts as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SocketKind {
    Client,
    Attempt,
    HealthCheck,
    /// The admin port, discovery, listeners and the channels between processes.
    Other,
}

impl SocketKind {
    pub(super) fn of(owner: SocketOwner) -> SocketKind {
        match owner {
            SocketOwner::Client(_) => SocketKind::Client,
            SocketOwner::Attempt(_) => SocketKind::Attempt,
            SocketOwner::HealthCheck(_) => SocketKind::HealthCheck,
            _ => SocketKind::Other,
        }
    }
}

/// The numbers of open sockets of this process. Displayed as `name=value` for the log.
#[derive(Default)]
pub(crate) struct OpenCounts {
    clients: Cell<usize>,
    attempts: Cell<usize>,
    health_checks: Cell<usize>,
    others: Cell<usize>,
}

impl OpenCounts {
    fn count(&self, kind: SocketKind) -> &Cell<usize> {
        match kind {
            SocketKind::Client => &self.clients,
            SocketKind::Attempt => &self.attempts,
            SocketKind::HealthCheck => &self.health_checks,
            SocketKind::Other => &self.others,
        }
    }

    pub(super) fn opened(&self, kind: SocketKind) {
        let count = self.count(kind);
        count.set(count.get() + 1);
    }

    pub(super) fn closed(&self, kind: SocketKind) {
        let count = self.count(kind);
        count.set(count.get() - 1);
    }

    /// Returns the number of open sockets of this kind.
    pub(crate) fn get(&self, kind: SocketKind) -> usize {
        self.count(kind).get()
    }

    /// Returns the number of all open sockets.
    pub(crate) fn total(&self) -> usize {
        let counts = [
            &self.clients,
            &self.attempts,
            &self.health_checks,
            &self.others,
        ];
        counts.into_iter().map(Cell::get).sum()
    }
}

impl fmt::Display for OpenCounts {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "clients={} attempts={} health_checks={} others={}",
            self.clients.get(),
            self.attempts.get(),
            self.health_checks.get(),
            self.others.get()
        )
    }
}
