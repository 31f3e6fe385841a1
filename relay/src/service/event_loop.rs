//! The event loop: each turn polls, dispatches socket events and expired timers, and delivers the
//! collected events to the balancer.
use super::{LOG_TARGET, Service};
use crate::driver::Event;
use crate::health_check;
use crate::sockets::{SocketOwner, owner_of};
use crate::timers::Timer;
use polling::Events;
use std::io;
use std::num::NonZeroUsize;
use std::panic::{AssertUnwindSafe, catch_unwind};
use thistlecroft::ids::BackendId;

/// Most socket events in one turn; bounded so that they do not delay timers for long.
const MAX_SOCKET_EVENTS: NonZeroUsize = NonZeroUsize::new(512).expect("512 is not zero");
/// Most timers in one turn; bounded so that they do not delay socket events for long.
const MAX_TIMERS: usize = 512;
/// The predecessor and the successor are notified in the same turn when the number of open
/// descriptors has changed by this much since the last notification.
const DESCRIPTOR_COUNT_STEP: usize = 4;

/// The order in which the socket events of one turn are dispatched.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Priority {
    /// First, so that operators are answered whatever the load.
    Admin,
    /// Before the sessions, so that an attempt that becomes ready in the same turn is not used if
    /// its backend must not get new sessions any more, or its id is in use in the other process.
    Discovery,
    Other,
}

impl Priority {
    const IN_ORDER: [Priority; 3] = [Priority::Admin, Priority::Discovery, Priority::Other];

    fn of(key: usize) -> Priority {
        match owner_of(key) {
            Some(SocketOwner::AdminListener | SocketOwner::AdminConnection(_)) => Priority::Admin,
            Some(SocketOwner::Discovery | SocketOwner::Predecessor | SocketOwner::Successor) => {
                Priority::Discovery
            }
            _ => Priority::Other,
        }
    }
}

impl Service {
    /// Serves until the shutdown is complete.
    ///
    /// # Errors
    /// Returns an error if polling failed.
    pub fn run(mut self) -> io::Result<()> {
        let mut ready = Events::with_capacity(MAX_SOCKET_EVENTS);
        loop {
            self.run_balancer();
            self.send_descriptor_count(DESCRIPTOR_COUNT_STEP);
            self.send_id_notices();
            if self.is_shut_down() {
                log::info!(target: LOG_TARGET, "relay stopped; {}", self.io.counters);
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

    /// Waits for a socket event or the next timer; does not wait if events are already queued.
    fn poll(&mut self, ready: &mut Events) -> io::Result<()> {
        ready.clear();
        let wait = if self.io.events.is_empty() {
            self.io.timers.time_to_next(self.clock.now())
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
            let Some(timer) = self.io.timers.pop_expired(self.io.now) else {
                break;
            };
            self.catch_panic(|service| service.dispatch_timer(timer));
        }
    }

    /// Catches and counts a panic, so that one outside of any session, such as in discovery or a
    /// health check, does not end the process.
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
                health_check::handle_event(backend, key, address, io);
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
            Timer::HealthCheck(id, serial) => health_check::timer_fired(id, serial, io),
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
            Timer::SettingsInForce => self.apply_binding_settings(),
            Timer::OfferSessions => self.offer_sessions(),
            Timer::OfferTimeout(id) => self.handle_offer_timeout(id),
            Timer::Peers => self.wake_peers(),
            // This timer only wakes the loop, which checks in each turn whether the shutdown is
            // complete.
            Timer::Shutdown => {}
        }
    }

    pub(super) fn wake_peers(&mut self) {
        if let Some(peers) = &mut self.peers {
            peers.handle_timer(&mut self.io);
        }
    }
}
