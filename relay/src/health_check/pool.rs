//! The connections for health checks of all backends.
use super::connection::{CheckState, HealthCheck};
use crate::buffers::BufferPool;
use std::collections::BTreeMap;
use thistlecroft::ids::BackendId;
use thistlecroft::time::Duration;

/// Timeout of a health check as a multiple of the connect timeout: one for establishing the
/// connection, and one for the answer.
const CONNECT_TIMEOUTS_PER_CHECK: f64 = 2.0;

/// The connections for health checks, at most one for each backend, and their timeouts.
pub(crate) struct HealthCheckPool {
    pub(super) checks: BTreeMap<BackendId, HealthCheck>,
    serial: u32,
    pub(super) timeout: Duration,
    pub(super) idle_timeout: Duration,
}

impl HealthCheckPool {
    /// Creates an empty pool. Connections are closed after being idle for `idle_timeout`.
    pub(crate) fn new(connect_timeout: Duration, idle_timeout: Duration) -> HealthCheckPool {
        HealthCheckPool {
            checks: BTreeMap::new(),
            serial: 0,
            timeout: connect_timeout * CONNECT_TIMEOUTS_PER_CHECK,
            idle_timeout,
        }
    }

    /// Sets the timeouts of later checks.
    pub(crate) fn set_timeouts(&mut self, connect_timeout: Duration, idle_timeout: Duration) {
        self.timeout = connect_timeout * CONNECT_TIMEOUTS_PER_CHECK;
        self.idle_timeout = idle_timeout;
    }

    pub(super) fn next_serial(&mut self) -> u32 {
        self.serial = self.serial.wrapping_add(1);
        self.serial
    }

    /// Closes the connection that has been idle for longest. Returns whether there was one.
    pub(crate) fn close_idle(&mut self, buffers: &mut BufferPool) -> bool {
        let is_idle = |check: &HealthCheck| check.state == CheckState::Idle;
        self.close_first(is_idle, buffers)
    }

    /// Closes the connection that has been idle for longest, else the one of the oldest check under
    /// way. Nothing is reported of that check, which says nothing about its backend. Returns whether
    /// there was a connection.
    pub(crate) fn close_any(&mut self, buffers: &mut BufferPool) -> bool {
        self.close_first(|_| true, buffers)
    }

    fn close_first(
        &mut self,
        is_candidate: impl Fn(&HealthCheck) -> bool,
        buffers: &mut BufferPool,
    ) -> bool {
        let candidates = self.checks.iter().filter(|(_, check)| is_candidate(check));
        let first = candidates.min_by_key(|(_, check)| (check.state, check.started));
        let Some(id) = first.map(|(&id, _)| id) else {
            return false;
        };
        if let Some(mut check) = self.checks.remove(&id) {
            check.release_buffer(buffers);
        }
        true
    }
}
