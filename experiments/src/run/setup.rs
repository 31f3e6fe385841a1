//! Sets up the testbed of a run and starts the relays.
use super::director::Director;
use super::managed_relay::ManagedRelay;
use super::progress::BackendProgress;
use super::{Progress, RunError, RunTarget, testbed_error};
use crate::plan::{Plan, client_distribution};
use crate::scenario::Scenario;
use crate::timeline::PLAN_BEGIN_NOTE;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use thistlecroft::time::Instant;
use thistlecroft_testbed::clock::Stopwatch;
use thistlecroft_testbed::endpoint_list::{EndpointList, EndpointRow};
use thistlecroft_testbed::event_loop::EventLoop;
use thistlecroft_testbed::event_recorder::{
    BackendIndex, EventRecorder, Lifecycle, Observation, RelayIndex, event_recorder,
};
use thistlecroft_testbed::load_generator::{LoadGenerator, LoadPlan, RelayEndpoint};
use thistlecroft_testbed::loopback::free_address;
use thistlecroft_testbed::relay_network::{OpenedNetwork, RelayNetwork};
use thistlecroft_testbed::relay_process::{PeersConfig, RelayOptions, RelayProcess};
use thistlecroft_testbed::simulated_backends::{OpenedBackends, SimulatedBackends};
use thistlecroft_testbed::socket_holder::SocketHolder;
use thistlecroft_testbed::traffic::scattered_id;

/// The distance between the relay seeds of runs with consecutive seeds, so that no two relays share
/// one.
const SEEDS_PER_RUN: u64 = 1_000;

impl<'a> Director<'a> {
    /// Sets up the testbed and starts the relays, before the first client arrives.
    pub(super) fn open(
        scenario: &'a Scenario,
        plan: &'a Plan,
        target: &RunTarget,
        folder: &'a Path,
    ) -> Result<Director<'a>, RunError> {
        let (recorder, log) = event_recorder();
        let clock = Stopwatch::start();
        let backends = SimulatedBackends::open(plan.backends.clone(), clock, recorder.clone())
            .map_err(setup_error("backends"))?;
        let setup = Setup {
            scenario,
            plan,
            target,
            folder,
            clock,
            recorder: &recorder,
            backends: &backends,
        };
        let network = setup.open_network()?;
        let relays = setup.start_relays(network.as_ref())?;
        let endpoints = setup.endpoints(&relays);
        // The plan begins after the relays have started, so that their start delays no client.
        let begin = clock.now();
        let load_generators = setup.open_load_generators(&endpoints, begin)?;
        let text = PLAN_BEGIN_NOTE.into();
        recorder.record(begin, Observation::Note { text });
        let mut director = Director {
            plan,
            scenario,
            folder,
            clock,
            recorder,
            log,
            backends,
            load_generators,
            relays,
            network,
            observers: Vec::new(),
            follow_ups: BTreeMap::new(),
            follow_up_serial: 0,
            crashes: 0,
            events_seen: 0,
            progress: initial_progress(plan),
        };
        director.open_observers();
        Ok(director)
    }

    fn open_observers(&mut self) {
        if self.network.is_none() {
            return;
        }
        let mut observers = Vec::new();
        for (number, relay) in (0..).zip(&self.relays) {
            if let Some(admin) = relay.options.admin {
                observers.push(self.observe(RelayIndex(number), admin));
            }
        }
        self.observers = observers;
    }
}

fn setup_error(part: &'static str) -> impl Fn(std::io::Error) -> RunError {
    move |source| RunError::Setup { part, source }
}

fn initial_progress(plan: &Plan) -> Progress {
    let backends = plan.backends.backends.iter();
    Progress {
        length: plan.end.duration_since(Instant::default()),
        backends: backends
            .map(|backend| {
                backend
                    .initially_running
                    .then_some(BackendProgress::default())
            })
            .collect(),
        ..Progress::default()
    }
}

/// The context of all steps of the set-up.
struct Setup<'a> {
    scenario: &'a Scenario,
    plan: &'a Plan,
    target: &'a RunTarget,
    folder: &'a Path,
    clock: Stopwatch,
    recorder: &'a EventRecorder,
    backends: &'a OpenedBackends,
}

/// The sockets that the platform holds for a relay with an admin port.
struct HeldSockets {
    listen: SocketAddr,
    admin: SocketAddr,
    holder: Arc<SocketHolder>,
}

impl Setup<'_> {
    /// Opens the network between relays if they are peers.
    fn open_network(&self) -> Result<Option<OpenedNetwork>, RunError> {
        let relays = &self.scenario.relays;
        if !relays.peers || self.target.baseline.is_some() {
            return Ok(None);
        }
        let (seed, recorder) = (self.plan.seed, self.recorder.clone());
        let network = RelayNetwork::open(relays.count, seed, self.clock, recorder)
            .map_err(setup_error("links"))?;
        let path = self.key_file();
        let key = format!("key of the run {seed:016x}\n");
        std::fs::write(&path, key).map_err(|source| RunError::Results { path, source })?;
        Ok(Some(network))
    }

    fn key_file(&self) -> PathBuf {
        self.folder.join("peers.key")
    }

    fn start_relays(&self, network: Option<&OpenedNetwork>) -> Result<Vec<ManagedRelay>, RunError> {
        if self.target.baseline.is_some() {
            return Ok(Vec::new());
        }
        (0..self.plan.backends.relays)
            .map(|number| self.start_relay(number, network))
            .collect()
    }

    fn start_relay(
        &self,
        number: usize,
        network: Option<&OpenedNetwork>,
    ) -> Result<ManagedRelay, RunError> {
        let peers_table =
            network.map_or(String::new(), |network| self.peers_table(number, network));
        let options = self.relay_options(number, network.is_some(), &peers_table)?;
        let relays = &self.scenario.relays;
        let starts_now = number < relays.count - relays.initially_stopped;
        let mut process = None;
        if starts_now {
            let program = &self.target.relay;
            let started =
                RelayProcess::start(program, &self.plan.fleet_config, &options, self.folder);
            process = Some(started.map_err(testbed_error)?);
            let relay = RelayIndex(number as u16);
            self.recorder
                .record(self.clock.now(), Observation::RelayStarted { relay });
        }
        Ok(ManagedRelay {
            process,
            options,
            program: self.target.relay.clone(),
            stop_deadline: None,
            restart_after: None,
            starts: 1,
            operator_config: 0,
            peers_table,
            predecessors: Vec::new(),
        })
    }

    fn peers_table(&self, number: usize, network: &OpenedNetwork) -> String {
        let relays = &self.scenario.relays;
        let key_file = self.key_file();
        let config = PeersConfig {
            period: relays.probe_period.0,
            lease: relays.lease_duration.0,
            voters: relays.voters,
            key_file: key_file.canonicalize().unwrap_or(key_file),
        };
        config.toml_table(&network.addresses[number], &network.addresses)
    }

    fn relay_options(
        &self,
        number: usize,
        has_peers: bool,
        peers_table: &str,
    ) -> Result<RelayOptions, RunError> {
        let (scenario, plan) = (self.scenario, self.plan);
        let mut listen = free_address().map_err(RunError::NoAddress)?;
        let cached_endpoints = scenario
            .relays
            .preload_endpoints
            .then(|| self.initial_endpoints());
        let mut admin = None;
        let mut socket_holder = None;
        if scenario.relays.operators {
            let held = self.hold_sockets(number, listen);
            let held = held.map_err(|source| RunError::RelaySockets {
                relay: number,
                source,
            })?;
            listen = held.listen;
            admin = Some(held.admin);
            socket_holder = Some(held.holder);
        }
        if has_peers && admin.is_none() {
            let address = free_address();
            admin = Some(address.map_err(RunError::NoAdminAddress)?);
        }
        let operator_config = scenario.relays.operator_configs.first();
        let operator_config = operator_config.filter(|_| self.target.has_operator_config);
        let operator_config = (operator_config.is_some() || has_peers)
            .then(|| operator_config.cloned().unwrap_or_default() + peers_table);
        let seed = plan.seed.wrapping_mul(SEEDS_PER_RUN) + number as u64;
        Ok(RelayOptions {
            name: format!("relay-{number}"),
            index: number,
            relays: plan.backends.relays,
            zone: number % scenario.fleet.zones.len(),
            listen,
            operator_config,
            discovery: self.backends.agent_addresses[number],
            seed: scattered_id(seed),
            cached_endpoints,
            admin,
            socket_holder,
        })
    }

    fn hold_sockets(&self, number: usize, address: SocketAddr) -> std::io::Result<HeldSockets> {
        let folder = self.folder.join(format!("relay-{number}.shared"));
        let holder = SocketHolder::open(address, &folder)?;
        let admin = free_address()?;
        Ok(HeldSockets {
            listen: holder.address()?,
            admin,
            holder: Arc::new(holder),
        })
    }

    /// Returns the endpoint list of the backends that run from the start.
    fn initial_endpoints(&self) -> serde_json::Value {
        let mut list = EndpointList::default();
        let backends = self.plan.backends.backends.iter();
        for (number, (spec, address)) in (0..).zip(backends.zip(&self.backends.addresses)) {
            if spec.initially_running {
                let row = EndpointRow {
                    address: *address,
                    zone: spec.zone.clone(),
                    cell: spec.cell,
                    lifecycle: Lifecycle::Ready,
                    started_ms: 0,
                };
                list.put(BackendIndex(number), row);
            }
        }
        serde_json::from_str(&list.json_since(None).0).unwrap_or_default()
    }

    /// Returns the endpoints to which clients connect: the relays, or the backends for a baseline.
    fn endpoints(&self, relays: &[ManagedRelay]) -> Vec<RelayEndpoint> {
        if self.target.baseline.is_none() {
            let relays = (0..).zip(relays);
            return relays
                .map(|(number, relay)| RelayEndpoint {
                    address: relay.options.listen,
                    relay: Some(RelayIndex(number)),
                    enabled: relay.process.is_some(),
                })
                .collect();
        }
        let backends = self.backends.addresses.iter();
        backends
            .zip(&self.plan.backends.backends)
            .map(|(address, spec)| RelayEndpoint {
                address: *address,
                relay: None,
                enabled: spec.initially_running,
            })
            .collect()
    }

    fn open_load_generators(
        &self,
        endpoints: &[RelayEndpoint],
        begin: Instant,
    ) -> Result<Vec<EventLoop<LoadGenerator>>, RunError> {
        (0..self.scenario.traffic.threads)
            .map(|thread| {
                let load_plan = self.load_plan(thread, endpoints, begin);
                LoadGenerator::open(load_plan, self.clock, self.recorder.clone())
                    .map_err(setup_error("clients"))
            })
            .collect()
    }

    /// Returns one thread's share of the clients, with their times on the run's clock.
    fn load_plan(&self, thread: usize, endpoints: &[RelayEndpoint], begin: Instant) -> LoadPlan {
        let threads = self.scenario.traffic.threads;
        let run_time = |plan_time: Instant| begin + plan_time.duration_since(Instant::default());
        let arrivals = self.plan.arrivals.iter().enumerate();
        let own_arrivals = arrivals.filter(|(number, _)| number % threads == thread);
        LoadPlan {
            traffic: self.plan.traffic.clone(),
            arrivals: own_arrivals
                .map(|(number, arrival)| {
                    let mut arrival = arrival.clone();
                    arrival.due = run_time(arrival.due);
                    (number as u64 + 1, arrival)
                })
                .collect(),
            end: run_time(self.plan.end),
            endpoints: endpoints.to_vec(),
            distribution: client_distribution(self.target.baseline),
            seed: self.plan.seed.wrapping_add(thread as u64),
        }
    }
}
