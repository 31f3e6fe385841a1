//! Graceful shutdown: from the signal to the end of the process.
use super::{LOG_TARGET, ListenerOrigin, Service};
use crate::admin::connections::AdminConnections;
use crate::driver::Event;
use crate::timers::Timer;
use thistlecroft::time::Duration;

/// New connections are accepted for so long after the signal.
const ACCEPT_AFTER_SIGNAL: Duration = Duration::from_millis(600);
/// Taken off the shutdown timeout, so that the process has ended before it is killed.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(150);

impl Service {
    /// Announces the shutdown to the balancer, the peers and the successor.
    pub(super) fn begin_shutdown(&mut self) {
        let now = self.io.now;
        log::info!(target: LOG_TARGET, "told to stop, {} sessions", self.sessions.len());
        self.shutdown_started = Some(now);
        self.io.events.push_back(Event::ShutDown);
        if let Some(peers) = &mut self.peers {
            peers.leave(now);
        }
        match self.listener_origin {
            ListenerOrigin::Inherited => {
                self.sessions.stop_accepting();
                self.hand_over_to_successor();
            }
            // Clients that are already connecting may come before the first endpoint list; no
            // other process would answer them.
            ListenerOrigin::Bound => self.sessions.start_accepting(),
        }
        for wait in [ACCEPT_AFTER_SIGNAL, self.time_to_end()] {
            self.io.timers.set(now + wait, Timer::Stop);
        }
    }

    fn time_to_end(&self) -> Duration {
        self.shutdown_timeout - SHUTDOWN_MARGIN
    }

    /// True once the shutdown is complete, or has taken as long as it may.
    pub(super) fn is_shut_down(&self) -> bool {
        let Some(started) = self.shutdown_started else {
            return false;
        };
        let elapsed = self.io.now.duration_since(started);
        let still_accepts =
            self.listener_origin == ListenerOrigin::Bound && elapsed < ACCEPT_AFTER_SIGNAL;
        let admin_is_idle = self.admin.connections.iter().all(AdminConnections::is_idle);
        !still_accepts && self.sessions.is_empty() && admin_is_idle || elapsed >= self.time_to_end()
    }
}
