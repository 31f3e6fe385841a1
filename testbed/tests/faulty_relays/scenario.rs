//! A run of small relays among simulated backends and clients.
use super::faulty_relay::{FaultyRelay, RelayFault};
use std::sync::Arc;
use std::thread;
use thistlecroft::deployment::Idempotency;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_testbed::backend_model::{BackendCapacity, WarmUp};
use thistlecroft_testbed::clock::Stopwatch;
use thistlecroft_testbed::event_recorder::{
    Observation, RecordedEvent, RelayIndex, event_recorder,
};
use thistlecroft_testbed::invariant_checker::{
    CheckResult, DeploymentProperties, check_invariants,
};
use thistlecroft_testbed::load_generator::{
    ALL_CLIENTS_GONE, ClientDistribution, LoadCommand, LoadGenerator, LoadPlan, RelayEndpoint,
};
use thistlecroft_testbed::simulated_backends::{
    BackendCommand, BackendPlan, BackendSpec, OpenedBackends, SimulatedBackends,
};
use thistlecroft_testbed::traffic::{ClientProfile, Traffic, draw_arrivals};

/// The time within which all clients must be gone after the end of the traffic.
const CLIENTS_GONE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(20);
/// The time from the start of the run to the start of the traffic, in microseconds.
const LEAD_TIME_MICROSECONDS: u64 = 100_000;
const BACKENDS: usize = 3;

/// A run in which all relays have the same fault.
pub(crate) struct Scenario {
    pub(crate) fault: RelayFault,
    pub(crate) idempotency: Idempotency,
    /// The zones, to which the backends belong in turn.
    pub(crate) zones: &'static [&'static str],
    /// The commands to the backends, each with its time in milliseconds after the start of the
    /// traffic.
    pub(crate) commands: Vec<(u64, BackendCommand)>,
    pub(crate) relays: usize,
    pub(crate) arrivals_per_second: f64,
    pub(crate) duration_ms: u64,
}

impl Scenario {
    /// Returns a short run of one relay with the given fault.
    pub(crate) fn new(fault: RelayFault) -> Scenario {
        Scenario {
            fault,
            idempotency: Idempotency::Idempotent,
            zones: &["a"],
            commands: Vec::new(),
            relays: 1,
            arrivals_per_second: 20.0,
            duration_ms: 2_500,
        }
    }

    /// Runs the scenario; returns the result of the invariant checker and the recorded events.
    pub(crate) fn run(&self) -> (CheckResult, Vec<RecordedEvent>) {
        let (recorder, mut log) = event_recorder();
        let clock = Stopwatch::start();
        let backend_plan = self.backend_plan();
        let deployment = self.deployment(&backend_plan);
        let backends = SimulatedBackends::open(backend_plan, clock, recorder.clone()).unwrap();
        let begin = Instant::from_micros(clock.now().as_micros() + LEAD_TIME_MICROSECONDS);
        let end = begin + Duration::from_millis(self.duration_ms);
        let (endpoints, relays) = self.start_relays(&backends);
        let load_plan = self.load_plan(begin, end, endpoints);
        let clients = LoadGenerator::open(load_plan, clock, recorder).unwrap();
        let mut commands = self.commands.clone();
        commands.sort_by_key(|(at, _)| *at);
        for (at, command) in commands {
            sleep_until(clock, begin + Duration::from_millis(at));
            backends.event_loop.command(command);
        }
        sleep_until(clock, end);
        clients.command(LoadCommand::Finish);
        let are_clients_gone = |observation: &Observation| matches!(observation, Observation::Note { text } if text == ALL_CLIENTS_GONE);
        assert!(
            log.wait_for(CLIENTS_GONE_TIMEOUT, are_clients_gone),
            "clients are still connected after the timeout"
        );
        clients.close();
        backends.event_loop.close();
        relays.iter().for_each(|relay| relay.stop());
        let events = log.into_sorted();
        (check_invariants(&events, &deployment), events)
    }

    fn backend_plan(&self) -> BackendPlan {
        let capacity = BackendCapacity {
            full_load: 40.0,
            max_sessions: 200,
            setup_time: Duration::from_millis(1),
            group_load: 0.0,
            warm_up: WarmUp {
                initial_share: 0.3,
                duration: Duration::from_millis(9_000),
                overload_factor: 3.0,
                overload_window: Duration::from_millis(3_000),
                turnover_time: Duration::from_millis(9_000),
            },
        };
        let backend = |index: usize| BackendSpec {
            capacity,
            zone: self.zones[index % self.zones.len()].into(),
            cell: 0,
            initially_running: true,
        };
        BackendPlan {
            backends: (0..BACKENDS).map(backend).collect(),
            relays: self.relays,
            announcement_delay: (Duration::ZERO, Duration::from_millis(10)),
            setup_store: None,
            report_interval: Duration::from_millis(200),
            reports_load: true,
            seed: 1,
        }
    }

    fn deployment(&self, plan: &BackendPlan) -> DeploymentProperties {
        let location = |backend: &BackendSpec| (backend.zone.clone(), backend.cell);
        DeploymentProperties {
            idempotency: vec![self.idempotency],
            hedged: vec![false],
            drain_grace: Duration::from_millis(500),
            backend_locations: plan.backends.iter().map(location).collect(),
        }
    }

    fn start_relays(
        &self,
        backends: &OpenedBackends,
    ) -> (Vec<RelayEndpoint>, Vec<Arc<FaultyRelay>>) {
        let mut endpoints = Vec::new();
        let mut relays = Vec::new();
        for (index, agent) in (0..).zip(&backends.agent_addresses) {
            let (address, relay) =
                FaultyRelay::start(self.fault, *agent, backends.addresses.clone());
            endpoints.push(RelayEndpoint {
                address,
                relay: Some(RelayIndex(index)),
                enabled: true,
            });
            relays.push(relay);
        }
        (endpoints, relays)
    }

    fn load_plan(&self, begin: Instant, end: Instant, endpoints: Vec<RelayEndpoint>) -> LoadPlan {
        let profile = ClientProfile {
            name: "k".into(),
            share: 1.0,
            answer_timeout: Duration::from_millis(600),
            handshake_target: Duration::from_millis(200),
            message_target: Duration::from_millis(50),
            load: (0.5, 1.0),
            mean_lifetime: Duration::from_millis(1_500),
            priority_weight: 1.0,
        };
        let traffic = Traffic {
            profiles: vec![profile],
            rate: vec![(begin, self.arrivals_per_second)],
            bursts: Vec::new(),
            keys: 50,
            groups: None,
            retries: 0,
            retry_after_share: 1.0,
            backoff: Duration::from_millis(50),
            reconnect_delay: (Duration::from_millis(50), Duration::from_millis(100)),
            impatient_share: 0.0,
            message_interval: Duration::from_millis(300),
        };
        LoadPlan {
            arrivals: (1..).zip(draw_arrivals(&traffic, end, 3)).collect(),
            traffic,
            end,
            endpoints,
            distribution: ClientDistribution::RoundRobin,
            seed: 2,
        }
    }
}

/// Sleeps until the scheduled time of a command. The sleep does not wait for a condition.
fn sleep_until(clock: Stopwatch, at: Instant) {
    thread::sleep(std::time::Duration::from_micros(
        at.duration_since(clock.now()).as_micros(),
    ));
}
