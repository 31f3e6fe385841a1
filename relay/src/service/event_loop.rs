//! The event loop: each turn polls, dispatches what is ready and what is due, and hands the events
//! gathered to the balancer.
use super::{LOG_TARGET, Service};
use crate::driver::Event;
use crate::sockets::{SocketOwner, owner_of};
use crate::timers::Timer;
use polling::Events;
use std::io;
use std::num::NonZeroUsize;
use std::panic::{AssertUnwindSafe, catch_unwind};
use thistlecroft::ids::BackendId;

/// Socket events in one turn; bounded, so that timers are never far behind.
const MAX_SOCKET_EVENTS: NonZeroUsize = NonZeroUsize::new(512).expect("512 is not zero");
/// Timers in one turn; bounded, so that socket events are never far behind.
const MAX_TIMERS: usize = 512;
/// Change of the open descriptors since the other process was notified, from which on it is
/// notified at once.
const DESCRIPTOR_COUNT_STEP: usize = 4;

/// The order in which the socket events of one turn are dispatched.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Priority {
    /// Operators are answered whatever the load.
    Admin,
    /// Before the sessions, so that no attempt that came up in the same turn goes to a backend
    /// that may take nothing new.
    Discovery,
    Other,
}

impl Priority {
    const IN_ORDER: [Priority; 3] = [Priority::Admin, Priority::Discovery, Priority::Other];

    fn of(key: usize) -> Priority {
        match owner_of(key) {
            Some(SocketOwner::AdminListener | SocketOwner::AdminConnection(_)) => Priority::Admin,
            Some(SocketOwner::Discovery) => Priority::Discovery,
            _ => Priority::Other,
        }
    }
}

impl Service {
    /// Serves until the shutdown is complete.
    ///
    /// # Errors
    /// The poller failed.
    pub fn run(mut self) -> io::Result<()> {
        let mut ready = Events::with_capacity(MAX_SOCKET_EVENTS);
        loop {
            self.run_balancer();
            self.send_descriptor_count(DESCRIPTOR_COUNT_STEP);
            if self.is_shut_down() {
                log::info!(target: LOG_TARGET, "stopped; {}", self.io.counters);
                return Ok(());
            }
            self.poll(&mut ready)?;
            self.io.now = self.clock.now();
            self.dispatch_socket_events(&ready);
            self.dispatch_timers();
            if !self.io.starved.is_empty() {
                self.sessions.resume_starved(&mut self.io);
            }
        }
    }

    /// Waits for a socket event, for the next timer, or not at all if events are queued already.
    fn poll(&mut self, ready: &mut Events) -> io::Result<()> {
        ready.clear();
        let wait = if self.io.events.is_empty() {
            self.io.timers.wait(self.clock.now())
        } else {
            Some(std::time::Duration::ZERO)
        };
        match self.poller.wait(ready, wait) {
            Err(error) if error.kind() != io::ErrorKind::Interrupted => Err(error),
            _ => Ok(()),
        }
    }

    fn dispatch_socket_events(&mut self, ready: &Events) {
        for priority in Priority::IN_ORDER {
            for event in ready
                .iter()
                .filter(|event| Priority::of(event.key) == priority)
            {
                self.catch_panic(|service| service.dispatch_socket_event(event.key));
            }
        }
    }

    fn dispatch_timers(&mut self) {
        for _ in 0..MAX_TIMERS {
            let Some(timer) = self.io.timers.due(self.io.now) else {
                break;
            };
            self.catch_panic(|service| service.dispatch_timer(timer));
        }
    }

    /// A panic outside of any session, in discovery or a health check, does not end the process
    /// either.
    fn catch_panic(&mut self, dispatch: impl FnOnce(&mut Service)) {
        if catch_unwind(AssertUnwindSafe(|| dispatch(self))).is_err() {
            self.io.counters.panics += 1;
        }
    }

    fn dispatch_socket_event(&mut self, key: usize) {
        let Some(owner) = owner_of(key) else { return };
        let (registry, io) = (&self.discovery.registry, &mut self.io);
        match owner {
            SocketOwner::Listener => self.sessions.accept(registry, io),
            SocketOwner::Client(id) => self.sessions.client_event(id, key, registry, io),
            SocketOwner::Attempt(id) => self.sessions.backend_event(id, key, registry, io),
            SocketOwner::HealthCheck(id) => {
                let backend = BackendId(id);
                let address = registry.address(backend);
                self.health_checks.handle_event(backend, key, address, io);
            }
            SocketOwner::Signals => self.handle_signals(),
            SocketOwner::Discovery => {
                self.discovery.handle_socket_event(key, io);
                self.accept_clients_when_ready();
            }
            SocketOwner::AdminListener => {
                if let Some(connections) = &mut self.admin.connections {
                    connections.accept(io);
                }
            }
            SocketOwner::AdminConnection(id) => {
                if let Some(connections) = &mut self.admin.connections {
                    connections.handle_socket_event(id, key, io);
                }
            }
            SocketOwner::SuccessorListener => self.accept_successor(),
            SocketOwner::Successor => self.handle_successor_event(key),
            SocketOwner::Predecessor => self.handle_predecessor_event(key),
            SocketOwner::Peers => {
                if let Some(peers) = &mut self.peers {
                    peers.handle_socket_event(io);
                }
            }
        }
    }

    fn dispatch_timer(&mut self, timer: Timer) {
        let (registry, io) = (&self.discovery.registry, &mut self.io);
        match timer {
            Timer::Balancer => io.events.push_back(Event::Wake),
            Timer::ResumeAccepting => self.sessions.resume_accepting(),
            Timer::Client(id) => self.sessions.close_timer_fired(id, io),
            Timer::Attempt(id, serial) => self.sessions.attempt_timer_fired(id, serial, io),
            Timer::ResponseOverdue(id) => self.sessions.response_timer_fired(id, io),
            Timer::IdleTimeout(id) => self.sessions.idle_timer_fired(id, io),
            Timer::RetryInherited(id) => self.sessions.retry_inherited(id, registry, io),
            Timer::HealthCheck(id, serial) => self.health_checks.timer_fired(id, serial, io),
            Timer::Discovery => self.discovery.handle_timer(io),
            Timer::StartAccepting => self.accept_clients_when_ready(),
            Timer::AdminConnection(id) => {
                if let Some(connections) = &mut self.admin.connections {
                    connections.handle_timeout(id, io);
                }
            }
            Timer::BanStore => {
                self.admin.refresh_bans(&mut self.discovery.registry, io);
                self.send_descriptor_count(1);
            }
            Timer::SettingsInForce => self.apply_pending_settings(),
            Timer::OfferSessions => self.offer_sessions(),
            Timer::OfferTimeout(id) => self.handle_offer_timeout(id),
            Timer::Peers => self.wake_peers(),
            // It only wakes the loop, which looks after each turn whether the shutdown is complete.
            Timer::Stop => {}
        }
    }

    pub(super) fn wake_peers(&mut self) {
        if let Some(peers) = &mut self.peers {
            peers.handle_timer(&mut self.io);
        }
    }
}
