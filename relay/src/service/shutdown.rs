//! The graceful shutdown, from the signal to the end of the process.
use super::{LOG_TARGET, Service};
use crate::admin::connections::AdminConnections;
use crate::driver::Event;
use crate::timers::Timer;
use thistlecroft::time::{Duration, Instant};

/// How long new connections are still accepted after the signal, if no other process accepts them.
const ACCEPT_AFTER_SIGNAL: Duration = Duration::from_millis(600);
/// Subtracted from the shutdown timeout, so that the process ends before the platform kills it.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(150);

/// A shutdown that has begun. Its time limit is that of the settings in force at the signal: the
/// platform counts from there, whatever settings are read later.
pub(super) struct Shutdown {
    started: Instant,
    /// The time from the signal after which the process ends in any case.
    time_limit: Duration,
}

impl Service {
    /// Begins the shutdown: announces it to the balancer and the peers, and hands over to the
    /// successor, if there is one.
    pub(super) fn begin_shutdown(&mut self) {
        let now = self.io.now;
        log::info!(target: LOG_TARGET, "relay told to stop; open_sessions={}", self.sessions.len());
        let settings = &self.configuration.settings;
        let time_limit = settings.shutdown_timeout - SHUTDOWN_MARGIN;
        self.shutdown = Some(Shutdown {
            started: now,
            time_limit,
        });
        self.io.events.push_back(Event::ShutDown { time_limit });
        if let Some(peers) = &mut self.peers {
            peers.leave(now);
        }
        // Clients that are already connecting may not have been accepted yet for lack of an endpoint
        // list. Without a successor, no other process would answer them.
        self.sessions.start_accepting();
        self.hand_over_to_successor();
        for wait in [ACCEPT_AFTER_SIGNAL, time_limit] {
            self.io.timers.set(now + wait, Timer::Shutdown);
        }
    }

    /// Accepts clients again if the successor was lost while a shutdown still expects new ones.
    pub(super) fn accept_without_successor(&mut self) {
        let shutdown = self.shutdown.as_ref();
        let elapsed = shutdown.map(|shutdown| self.io.now.duration_since(shutdown.started));
        if elapsed.is_some_and(|elapsed| elapsed < ACCEPT_AFTER_SIGNAL) {
            self.sessions.start_accepting();
        }
    }

    /// Returns whether a shutdown has begun.
    pub(super) fn is_shutting_down(&self) -> bool {
        self.shutdown.is_some()
    }

    /// Returns whether the shutdown is complete or has reached its time limit.
    pub(super) fn is_shut_down(&self) -> bool {
        let Some(shutdown) = &self.shutdown else {
            return false;
        };
        let elapsed = self.io.now.duration_since(shutdown.started);
        let still_accepts = self.sessions.is_accepting() && elapsed < ACCEPT_AFTER_SIGNAL;
        let admin_is_idle = self.admin.connections.iter().all(AdminConnections::is_idle);
        !still_accepts && self.sessions.is_empty() && admin_is_idle
            || elapsed >= shutdown.time_limit
    }
}
