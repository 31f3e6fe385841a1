//! The state of all simulated backends: how they are opened, and their connections.
use super::backend::{Agent, Backend};
use super::connection::{Connection, Role, SessionState};
use super::listener::{Listener, ListenerKey};
use super::plan::BackendPlan;
use super::timer::{Incarnation, Timer};
use crate::backend_model::SetupStore;
use crate::clock::Stopwatch;
use crate::endpoint_list::EndpointList;
use crate::event_loop::{EventLoop, LoopContext};
use crate::event_recorder::{BackendIndex, EventRecorder, Lifecycle, Observation};
use crate::line_socket::LineSocket;
use slab::Slab;
use std::io;
use std::net::{SocketAddr, TcpStream};
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};

/// How often each watch gets an empty line.
pub(super) const WATCH_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(2_000);

/// All backends of a run, their set-up store and the relays' discovery agents, as one event
/// handler.
pub struct SimulatedBackends {
    pub(super) backends: Vec<Backend>,
    /// The discovery agents, by relay index.
    pub(super) agents: Vec<Agent>,
    pub(super) connections: Slab<Connection>,
    /// The serial number of the last connection.
    pub(super) last_serial: u64,
    pub(super) setup_store: Option<SetupStore>,
    pub(super) rng: Rng,
    pub(super) announcement_delay: (Duration, Duration),
    pub(super) report_interval: Duration,
    pub(super) reports_load: bool,
    /// Whether it was recorded that descriptors ran out, which is done once.
    pub(super) has_recorded_exhaustion: bool,
}

/// The simulated backends, running on their own thread, and their addresses.
pub struct OpenedBackends {
    /// The event loop, which takes commands and returns the totals.
    pub event_loop: EventLoop<SimulatedBackends>,
    /// The addresses of the backends, by backend index.
    pub addresses: Vec<SocketAddr>,
    /// The addresses of the discovery agents, by relay index.
    pub agent_addresses: Vec<SocketAddr>,
}

impl SimulatedBackends {
    /// Opens listeners for backends and agents, and serves them on a thread of their own.
    ///
    /// # Errors
    /// Returns an error if a listener, the poller or the thread can't be created.
    pub fn open(
        plan: BackendPlan,
        clock: Stopwatch,
        recorder: EventRecorder,
    ) -> io::Result<OpenedBackends> {
        let listeners: Vec<Listener> = (0..plan.backends.len())
            .map(|index| Listener::open(ListenerKey::Backend(index)))
            .collect::<io::Result<_>>()?;
        let agent_listeners: Vec<Listener> = (0..plan.relays)
            .map(|index| Listener::open(ListenerKey::Agent(index)))
            .collect::<io::Result<_>>()?;
        let addresses = listeners.iter().map(|listener| listener.address).collect();
        let agent_addresses = agent_listeners
            .iter()
            .map(|listener| listener.address)
            .collect();
        let event_loop = EventLoop::open("backends", clock, recorder, move |context| {
            SimulatedBackends::new(plan, listeners, agent_listeners, context)
        })?;
        Ok(OpenedBackends {
            event_loop,
            addresses,
            agent_addresses,
        })
    }

    fn new(
        plan: BackendPlan,
        listeners: Vec<Listener>,
        agent_listeners: Vec<Listener>,
        context: &mut LoopContext<Timer>,
    ) -> io::Result<SimulatedBackends> {
        let mut list = EndpointList::default();
        let mut backends = Vec::new();
        for (index, (spec, listener)) in (0..).zip(plan.backends.into_iter().zip(listeners)) {
            let backend = Backend::new(spec, listener, context.now);
            if backend.is_running {
                let index = BackendIndex(index);
                backend.listener.register(&context.poller)?;
                list.put(index, backend.endpoint_row(Lifecycle::Ready));
                context.record(Observation::BackendStarted {
                    backend: index,
                    cold: false,
                });
            }
            backends.push(backend);
        }
        let mut agents = Vec::new();
        for listener in agent_listeners {
            listener.register(&context.poller)?;
            agents.push(Agent {
                listener,
                list: list.clone(),
                fault: None,
                missed_changes: Vec::new(),
            });
        }
        context.set_timer(
            context.now + WATCH_HEARTBEAT_INTERVAL,
            Timer::WatchHeartbeat,
        );
        context.set_timer(context.now + plan.report_interval, Timer::Report);
        Ok(SimulatedBackends {
            backends,
            agents,
            connections: Slab::new(),
            last_serial: 0,
            setup_store: plan
                .setup_store
                .map(|(concurrency, call_time)| SetupStore::new(concurrency, call_time)),
            rng: Rng::from_seed(plan.seed),
            announcement_delay: plan.announcement_delay,
            report_interval: plan.report_interval,
            reports_load: plan.reports_load,
            has_recorded_exhaustion: false,
        })
    }

    pub(super) fn backend(&mut self, index: BackendIndex) -> &mut Backend {
        &mut self.backends[usize::from(index.0)]
    }

    /// Returns the backend's present incarnation, for a timer that is ignored in a later one.
    pub(super) fn incarnation(&self, backend: BackendIndex) -> Incarnation {
        Incarnation {
            backend,
            number: self.backends[usize::from(backend.0)].incarnation,
        }
    }

    pub(super) fn is_current(&self, incarnation: Incarnation) -> bool {
        self.incarnation(incarnation.backend).number == incarnation.number
    }

    /// Registers an accepted connection with its role.
    pub(super) fn add_connection(
        &mut self,
        stream: TcpStream,
        role: Role,
        context: &mut LoopContext<Timer>,
    ) {
        self.last_serial += 1;
        let entry = self.connections.vacant_entry();
        match LineSocket::new(stream, &context.poller, entry.key()) {
            Ok(mut socket) => {
                socket.update_interest();
                entry.insert(Connection {
                    socket,
                    role,
                    serial: self.last_serial,
                });
            }
            Err(error) => log::warn!("simulated backends can't configure a connection: {error}"),
        }
    }

    /// Drops a connection, and subtracts an established session from its backend's load.
    pub(super) fn remove_connection(&mut self, key: usize, now: Instant) {
        let connection = self.connections.remove(key);
        if let Some(session) = connection.as_backend()
            && session.state == SessionState::Established
        {
            let (load, group) = (session.load, session.group);
            let model = &mut self.backend(session.backend).model;
            model.remove_session(now, load, group);
        }
    }

    /// Drops a connection so that its peer sees a reset.
    pub(super) fn reset_connection(&mut self, key: usize, now: Instant) {
        if let Some(connection) = self.connections.get(key) {
            connection.socket.reset_on_close();
            self.remove_connection(key, now);
        }
    }

    /// Returns the keys of all connections of a backend.
    pub(super) fn connections_of(&self, backend: BackendIndex) -> Vec<usize> {
        let belongs = |connection: &Connection| match &connection.role {
            Role::Backend(session) => session.backend == backend,
            Role::BacklogFiller(filled) => *filled == backend,
            Role::Agent(_) => false,
        };
        self.connections
            .iter()
            .filter(|(_, connection)| belongs(connection))
            .map(|(key, _)| key)
            .collect()
    }
}
