//! A rolling release where no backend reports its load, against a model of backends that drop
//! connections they cannot hold. The result is the share of clients that are served.
mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use support::{Harness, IDEMPOTENT, arrival, deployment, endpoint, ms, ready_endpoints};
use thistlecroft::attempt::AttemptOutcome;
use thistlecroft::deployment::{Deployment, SlowStart};
use thistlecroft::endpoint::{EndpointState, UpdateKind};
use thistlecroft::ids::{BackendId, SessionId};
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(50);
/// Work that a warm backend does in a second, in average connections.
const CAPACITY: f64 = 100.0;
/// Cost of each group that a backend holds, in average connections.
const GROUP_COST: f64 = 3.0;
/// Work of setting up a connection, in average connections for one second.
const CONNECT_WORK: f64 = 1.0;
/// Backlog above which a backend drops its heaviest connection: the work of one second.
const MAX_BACKLOG: f64 = CAPACITY;
const WARM_UP_SECONDS: f64 = 24.0;
const INITIAL_SHARE: f64 = 0.2;
/// Mean time that a client stays connected before it leaves by itself. Another one takes its place.
const LIFETIME_SECONDS: f64 = 60.0;

struct Client {
    group: u64,
    load: f64,
    connection: Option<Connection>,
    returns_at: Instant,
}

#[derive(Clone, Copy)]
struct Connection {
    relay: usize,
    session: u32,
    backend: u32,
}

impl Client {
    fn is_at(&self, backend: u32) -> bool {
        self.connection
            .is_some_and(|connection| connection.backend == backend)
    }
}

struct SimulatedBackend {
    state: EndpointState,
    started_at: Option<Instant>,
    /// Work that has piled up, in average connections for one second.
    backlog: f64,
    stops_at: Option<Instant>,
}

impl SimulatedBackend {
    fn new(started_at: Option<Instant>) -> SimulatedBackend {
        SimulatedBackend {
            state: EndpointState::Ready,
            started_at,
            backlog: 0.0,
            stops_at: None,
        }
    }

    /// Returns the share of its capacity that the backend has now.
    fn capacity_share(&self, now: Instant) -> f64 {
        self.started_at.map_or(1.0, |started_at| {
            let age = now.duration_since(started_at).as_secs_f64();
            (INITIAL_SHARE + 0.8 * age / WARM_UP_SECONDS).min(1.0)
        })
    }
}

struct Simulation {
    relays: Vec<Harness>,
    clients: Vec<Client>,
    backends: BTreeMap<u32, SimulatedBackend>,
    rng: Rng,
    sessions: u32,
}

impl Simulation {
    fn new(relay_count: u32, backends: u32, clients: usize, seed: u64) -> Simulation {
        let slow_start = SlowStart {
            initial_share: INITIAL_SHARE,
            warm_up: ms(24_000),
            overload_factor: 3.0,
            window: ms(3_000),
        };
        let relay = |relay_index| {
            let deployment = Deployment {
                slow_start,
                may_check_health: false,
                reports_load: false,
                relay_count,
                relay_index,
                ..deployment(IDEMPOTENT)
            };
            let seed = seed * 1_000 + u64::from(relay_index);
            Harness::with_seed(deployment, seed, &ready_endpoints(backends))
        };
        let mut simulation = Simulation {
            relays: (0..relay_count).map(relay).collect(),
            clients: Vec::new(),
            backends: (0..backends)
                .map(|id| (id, SimulatedBackend::new(None)))
                .collect(),
            rng: Rng::from_seed(seed),
            sessions: 0,
        };
        simulation.add_clients(clients);
        simulation
    }

    /// Adds clients in groups of one to twenty with uneven loads. Before the release each group is
    /// held by one backend.
    fn add_clients(&mut self, clients: usize) {
        let backends = self.backends.len() as u64;
        let (mut group, mut remaining_members, mut backend) = (0, 0, 0);
        for _ in 0..clients {
            if remaining_members == 0 {
                group += 1;
                backend = self.rng.below(backends) as u32;
                remaining_members = 1 + (20.0 * self.rng.unit_f64().powi(3)) as u32;
            }
            remaining_members -= 1;
            let load = (0.2 + 0.5 / (0.05 + self.rng.unit_f64())).min(6.0) / 1.6;
            let relay = self.choose_relay();
            let session = self.next_session();
            let harness = &mut self.relays[relay];
            harness.balancer.session_inherited(
                harness.now,
                SessionId(session),
                BackendId(backend),
                arrival(u64::from(session) + 1, group, ms(3_200)),
                &mut harness.recorder,
            );
            self.clients.push(Client {
                group,
                load,
                connection: Some(Connection {
                    relay,
                    session,
                    backend,
                }),
                returns_at: harness.now,
            });
        }
    }

    fn choose_relay(&mut self) -> usize {
        self.rng.below(self.relays.len() as u64) as usize
    }

    fn next_session(&mut self) -> u32 {
        self.sessions += 1;
        self.sessions - 1
    }

    fn now(&self) -> Instant {
        self.relays[0].now
    }

    /// Returns the time at which a client that was dropped or rejected comes back.
    fn return_time(&mut self) -> Instant {
        self.now() + ms(120 + self.rng.below(750))
    }

    /// Starts the new backends and drains the old ones, which stop a few seconds later.
    fn replace(&mut self, old: Range<u32>, new: Range<u32>) {
        let now = self.now();
        for id in new.clone() {
            self.backends.insert(id, SimulatedBackend::new(Some(now)));
        }
        for id in old.clone() {
            let backend = self
                .backends
                .get_mut(&id)
                .expect("a replaced backend exists");
            backend.state = EndpointState::Draining;
            backend.stops_at = Some(now + ms(4_000));
        }
        let endpoints: Vec<_> = old
            .chain(new)
            .map(|id| endpoint(id, self.backends[&id].state, self.backends[&id].started_at))
            .collect();
        for relay in &mut self.relays {
            relay
                .balancer
                .update_endpoints(UpdateKind::Delta, &endpoints);
        }
    }

    /// Breaks a client's connection. The client comes back soon, through any relay.
    fn disconnect(&mut self, client: usize) {
        let Some(connection) = self.clients[client].connection.take() else {
            return;
        };
        let harness = &mut self.relays[connection.relay];
        harness.end(connection.session, 0, AttemptOutcome::Reset, true);
        self.clients[client].returns_at = self.return_time();
    }

    /// Takes one step and returns the share of the clients that are served in it.
    fn step(&mut self) -> f64 {
        self.relays.iter_mut().for_each(|relay| relay.advance(STEP));
        self.stop_backends();
        self.close_connections();
        let now = self.now();
        for client in 0..self.clients.len() {
            let Client {
                connection,
                returns_at,
                ..
            } = self.clients[client];
            if connection.is_none() && returns_at <= now {
                self.connect(client);
            }
        }
        self.process_work()
    }

    fn stop_backends(&mut self) {
        let now = self.now();
        let is_stopped =
            |backend: &SimulatedBackend| backend.stops_at.is_some_and(|stops_at| stops_at <= now);
        let stopped: Vec<u32> = self
            .backends
            .iter()
            .filter(|(_, backend)| is_stopped(backend))
            .map(|(&id, _)| id)
            .collect();
        for id in stopped {
            self.backends.remove(&id);
            for client in 0..self.clients.len() {
                if self.clients[client].is_at(id) {
                    self.disconnect(client);
                }
            }
        }
    }

    /// Ends the connections of some clients, which leave by themselves.
    fn close_connections(&mut self) {
        let now = self.now();
        for client in &mut self.clients {
            if let Some(connection) = client.connection
                && self.rng.unit_f64() < STEP.as_secs_f64() / LIFETIME_SECONDS
            {
                let harness = &mut self.relays[connection.relay];
                harness.end(connection.session, 0, AttemptOutcome::Ok, true);
                client.connection = None;
                client.returns_at = now + ms(120);
            }
        }
    }

    fn connect(&mut self, client: usize) {
        let relay = self.choose_relay();
        let session = self.next_session();
        let group = self.clients[client].group;
        let arrival = arrival(u64::from(client as u32) + 1, group, ms(3_200));
        let target = self.relays[relay].arrive(session, arrival);
        self.clients[client].returns_at = self.return_time();
        let Some(target) = target else { return };
        let Some(backend) = self.backends.get_mut(&target.backend) else {
            self.relays[relay].end(session, 0, AttemptOutcome::Unreachable, false);
            return;
        };
        backend.backlog += CONNECT_WORK;
        self.relays[relay].establish(session, 0);
        self.clients[client].connection = Some(Connection {
            relay,
            session,
            backend: target.backend,
        });
    }

    /// Lets the backends work for a step and drop connections they cannot hold. Returns the share
    /// of the clients that are served.
    fn process_work(&mut self) -> f64 {
        let now = self.now();
        let (mut served, mut dropped) = (0.0, Vec::new());
        for (&id, backend) in &mut self.backends {
            let held = || {
                self.clients
                    .iter()
                    .enumerate()
                    .filter(|(_, client)| client.is_at(id))
            };
            let groups: BTreeSet<u64> = held().map(|(_, client)| client.group).collect();
            let load: f64 = held().map(|(_, client)| client.load).sum();
            let capacity = CAPACITY * backend.capacity_share(now);
            let excess = load + GROUP_COST * groups.len() as f64 - capacity;
            backend.backlog = (backend.backlog + excess * STEP.as_secs_f64()).max(0.0);
            if backend.backlog < capacity * 0.1 {
                served += held().count() as f64;
            }
            if backend.backlog > MAX_BACKLOG {
                let heaviest = held().max_by(|a, b| a.1.load.total_cmp(&b.1.load));
                dropped.extend(heaviest.map(|(client, _)| client));
            }
        }
        for client in dropped {
            self.disconnect(client);
        }
        served / self.clients.len() as f64
    }

    /// Returns the mean share of the clients that are served over `steps` steps.
    fn run(&mut self, steps: usize) -> f64 {
        (0..steps).map(|_| self.step()).sum::<f64>() / steps as f64
    }
}

/// Six in ten backends are replaced within seven seconds. Those that stay can hold most of the
/// clients while groups are kept together. They cannot if groups spread over the fleet, or if
/// clients come back at once again and again.
#[test]
fn rolling_release_without_load_reports_keeps_clients_served() {
    let mut sum = 0.0;
    for seed in 1..=6 {
        let mut simulation = Simulation::new(200, 30, 900, seed);
        simulation.run(40);
        simulation.replace(0..9, 30..39);
        simulation.run(60);
        simulation.replace(9..18, 39..48);
        simulation.run(140);
        sum += simulation.run(160);
    }
    let mean = sum / 6.0;
    assert!(
        mean > 0.27,
        "share of clients served after the release: {mean:.3}"
    );
}
