//! The budget of descriptors of a relay: which sockets may be opened, and up to which count.
//!
//! | holder | may open a socket |
//! | --- | --- |
//! | sessions: clients and attempts | while the count is below the session limit |
//! | clients that are only rejected | [`DESCRIPTORS_FOR_REJECTIONS`] beyond it |
//! | health checks | up to [`DESCRIPTORS_FOR_HEALTH_CHECKS`], which do not count; more while the count is below the session limit, and these are closed when a session needs a descriptor |
//! | admin port, peers | from a reserve of their own, subtracted before |
//! | discovery, listeners, signals, the poller, files, the log | from [`RESERVED_DESCRIPTORS`] |
use crate::sockets::{SocketKind, Sockets};

/// Descriptors that sessions never take. They are for discovery, signals, listeners, the poller,
/// the log, rejections and a few health checks.
pub(crate) const RESERVED_DESCRIPTORS: usize = 40;

/// Descriptors beyond the session limit, used to reject clients when the limit is reached.
const DESCRIPTORS_FOR_REJECTIONS: usize = 8;

/// Health checks that sessions leave alone, so that a relay at its limit still learns the load of
/// its backends.
const DESCRIPTORS_FOR_HEALTH_CHECKS: usize = 8;

/// The budget of descriptors of a relay. The processes of a hot restart share it.
pub(crate) struct DescriptorBudget {
    session_limit: usize,
}

impl DescriptorBudget {
    /// Creates the budget for a relay that may have this many descriptors open, without those of
    /// the admin port and of the link to other relays.
    pub(crate) fn new(descriptors: usize) -> DescriptorBudget {
        DescriptorBudget {
            session_limit: descriptors.saturating_sub(RESERVED_DESCRIPTORS),
        }
    }

    /// Returns the count of descriptors up to which sessions are served.
    pub(crate) fn session_limit(&self) -> usize {
        self.session_limit
    }

    /// Returns whether a session may open a socket.
    pub(crate) fn has_free(&self, sockets: &Sockets) -> bool {
        counted(sockets) < self.session_limit
    }

    /// Returns whether a client may be accepted that can only be rejected.
    pub(crate) fn has_free_for_rejection(&self, sockets: &Sockets) -> bool {
        counted(sockets) < self.session_limit + DESCRIPTORS_FOR_REJECTIONS
    }

    /// Returns whether this process may take over this many sockets of the other process, which
    /// closes its own for them.
    pub(crate) fn has_free_for_adoption(&self, sockets: &Sockets, count: usize) -> bool {
        let counted_here = counted(sockets) - sockets.open_count_in_other_process();
        counted_here + count <= self.session_limit
    }

    /// Returns whether a health check may open a connection.
    pub(crate) fn has_free_for_health_check(&self, sockets: &Sockets) -> bool {
        health_checks(sockets) < DESCRIPTORS_FOR_HEALTH_CHECKS || self.has_free(sockets)
    }

    /// Returns whether closing the connection of a health check frees a descriptor for a session.
    pub(crate) fn counts_health_checks(&self, sockets: &Sockets) -> bool {
        health_checks(sockets) > DESCRIPTORS_FOR_HEALTH_CHECKS
    }
}

fn health_checks(sockets: &Sockets) -> usize {
    sockets.open_counts().get(SocketKind::HealthCheck)
}

/// Returns the number of open sockets that count towards the session limit.
fn counted(sockets: &Sockets) -> usize {
    let uncounted = health_checks(sockets).min(DESCRIPTORS_FOR_HEALTH_CHECKS);
    sockets.open_count_in_relay() - uncounted
}
