//! Relays as processes that know of one another, for tests: started, cut off, healed, paused,
//! killed and started again, and waited for until a stated condition holds, within a bound.
use crate::backend_model::{BackendCapacity, WarmUp};
use crate::clock::{Stopwatch, to_std};
use crate::event_recorder::{EventLog, EventRecorder, Observation, RelayIndex, event_recorder};
use crate::link_fault::LinkFault;
use crate::relay_network::{NetworkCommand, OpenedNetwork, RelayNetwork};
use crate::relay_observer::{RelayObserver, parse_members_seen};
use crate::relay_process::{
    FleetConfig, ListenerConfig, PeersConfig, RelayOptions, RelayProcess, free_address,
};
use crate::simulated_backends::{BackendPlan, BackendSpec, OpenedBackends, SimulatedBackends};
use crate::socket_holder::send_admin_command;
use crate::traffic::scattered_id;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Instant;
use thistlecroft::deployment::Idempotency;
use thistlecroft::time::Duration;

/// Between two looks at what is waited for.
const LOOK: std::time::Duration = std::time::Duration::from_millis(20);
const CALL: Duration = Duration::from_millis(1_000);

pub struct ClusterPlan {
    /// The program and its arguments.
    pub program: Vec<String>,
    pub config: FleetConfig,
    pub backends: BackendPlan,
    pub period: Duration,
    pub lease: Duration,
    pub voters: usize,
    pub seed: u64,
    /// For configurations, charters and logs.
    pub folder: PathBuf,
}

impl ClusterPlan {
    /// One box and so many small relays of that program that may talk, of which the first so many
    /// vote.
    pub fn small(
        program: Vec<String>,
        relays: usize,
        voters: usize,
        (period, lease): (Duration, Duration),
        folder: PathBuf,
    ) -> ClusterPlan {
        let ms = Duration::from_millis;
        let cold = WarmUp {
            initial_share: 0.3,
            duration: ms(9_000),
            overload_factor: 3.0,
            overload_window: ms(3_000),
            turnover_time: ms(10_000),
        };
        let make = BackendCapacity {
            full_load: 100.0,
            max_sessions: 100,
            setup_time: ms(2),
            group_load: 0.0,
            warm_up: cold,
        };
        let ground = BackendPlan {
            backends: vec![BackendSpec {
                capacity: make,
                zone: "a".into(),
                cell: 0,
                initially_running: true,
            }],
            relays,
            announcement_delay: (ms(100), ms(200)),
            setup_store: None,
            report_interval: ms(500),
            reports_load: false,
            seed: 1,
        };
        let listener = ListenerConfig {
            name: "view".into(),
            answer_timeout: ms(2_000),
            handshake_target: ms(500),
            message_target: ms(60),
            idempotency: Idempotency::Idempotent,
            priority_weight: 1.0,
        };
        let terms = FleetConfig {
            zones: vec!["a".into()],
            listeners: vec![listener],
            connect_timeout: ms(250),
            max_attempts: 3,
            max_retry_after: Some(ms(2_000)),
            health_checks: true,
            groups: false,
            reports_load: false,
            warm_up_initial_share: 0.3,
            warm_up: ms(9_000),
            warm_up_overload_factor: 3.0,
            warm_up_overload_window: ms(3_000),
            memory_mb: 64,
            sockets: 512,
            hedging: false,
            peers: true,
        };
        ClusterPlan {
            program,
            config: terms,
            backends: ground,
            period,
            lease,
            voters,
            seed: 7,
            folder,
        }
    }
}

/// Dropped, all its relays are killed.
pub struct ProcessCluster {
    pub clock: Stopwatch,
    pub recorder: EventRecorder,
    pub events: EventLog,
    pub backends: OpenedBackends,
    pub network: OpenedNetwork,
    plan: ClusterPlan,
    peers: PeersConfig,
    posts: Vec<Option<RelayProcess>>,
    doors: Vec<SocketAddr>,
    listens: Vec<SocketAddr>,
    starts: u64,
}

impl ProcessCluster {
    /// Everything but the relays.
    ///
    /// # Errors
    /// One line: what could not be set up.
    pub fn open(plan: ClusterPlan) -> Result<ProcessCluster, String> {
        let said = |fault: std::io::Error| fault.to_string();
        let (tape, reel) = event_recorder();
        let clock = Stopwatch::start();
        let count = plan.backends.relays;
        let yard =
            SimulatedBackends::open(plan.backends.clone(), clock, tape.clone()).map_err(said)?;
        let net = RelayNetwork::open(count, plan.seed, clock, tape.clone()).map_err(said)?;
        std::fs::create_dir_all(&plan.folder).map_err(said)?;
        let key_file = plan.folder.join("peers.key");
        std::fs::write(&key_file, "a key for the rig alone\n").map_err(said)?;
        let peers = PeersConfig {
            period: plan.period,
            lease: plan.lease,
            voters: plan.voters,
            key_file,
        };
        let addresses = |from: usize| {
            (from..from + count)
                .map(free_address)
                .collect::<Result<Vec<_>, _>>()
        };
        let (listens, doors) = (addresses(0).map_err(said)?, addresses(count).map_err(said)?);
        let posts = (0..count).map(|_| None).collect();
        Ok(ProcessCluster {
            clock,
            recorder: tape,
            events: reel,
            backends: yard,
            network: net,
            plan,
            peers,
            posts,
            doors,
            listens,
            starts: 0,
        })
    }

    fn note(&self, seen: Observation) {
        self.recorder.record(self.clock.now(), seen);
    }

    /// All of these at once, each while the others are starting too.
    ///
    /// # Errors
    /// As `start`, the first that is not ready.
    pub fn start_all(&mut self, numbers: &[usize]) -> Result<(), String> {
        for &number in numbers {
            let charter = self.operator_config(number);
            self.spawn(number, charter)?;
        }
        for &number in numbers {
            self.posts[number]
                .as_mut()
                .map_or(Ok(()), RelayProcess::wait_ready)?;
            self.note(Observation::RelayStarted {
                relay: RelayIndex(number as u16),
            });
        }
        Ok(())
    }

    /// # Errors
    /// What the relay said, or that it is not ready.
    pub fn start(&mut self, number: usize) -> Result<(), String> {
        let charter = self.operator_config(number);
        self.start_with(number, charter)
    }

    /// The same by another charter.
    ///
    /// # Errors
    /// As `start`.
    pub fn start_with(&mut self, number: usize, charter: String) -> Result<(), String> {
        self.spawn(number, charter)?;
        let ready = self.posts[number]
            .as_mut()
            .map_or(Ok(()), RelayProcess::wait_ready);
        if ready.is_err() {
            self.posts[number] = None;
        }
        ready?;
        self.note(Observation::RelayStarted {
            relay: RelayIndex(number as u16),
        });
        Ok(())
    }

    fn spawn(&mut self, number: usize, charter: String) -> Result<(), String> {
        self.starts += 1;
        let orders = RelayOptions {
            name: format!("relay-{number}"),
            index: number,
            relays: self.posts.len(),
            zone: 0,
            listen: self.listens[number],
            discovery: self.backends.agent_addresses[number],
            seed: scattered_id(
                self.plan
                    .seed
                    .wrapping_add(self.starts * 1_000 + number as u64),
            ),
            cached_endpoints: None,
            operator_config: Some(charter),
            admin: Some(self.doors[number]),
            socket_holder: None,
        };
        let post = RelayProcess::spawn(
            &self.plan.program,
            &self.plan.config,
            &orders,
            &self.plan.folder,
        )?;
        self.posts[number] = Some(post);
        Ok(())
    }

    /// The charter of a relay, to be changed.
    pub fn operator_config(&self, number: usize) -> String {
        self.peers
            .table(&self.network.addresses[number], &self.network.addresses)
    }

    /// # Errors
    /// Where the file can't be written.
    pub fn replace_operator_config(&self, number: usize, text: &str) -> std::io::Result<()> {
        self.posts[number]
            .as_ref()
            .map_or(Ok(()), |post| post.replace_operator_config(text))
    }

    pub fn kill(&mut self, number: usize) {
        if let Some(mut post) = self.posts[number].take() {
            self.note(Observation::RelayKilled {
                relay: RelayIndex(number as u16),
            });
            post.kill();
        }
    }

    pub fn set_paused(&mut self, number: usize, on: bool) {
        let Some(post) = &self.posts[number] else {
            return;
        };
        self.note(Observation::RelayPaused {
            relay: RelayIndex(number as u16),
            paused: on,
        });
        post.set_paused(on);
    }

    /// Told to stop; if it ended well within that time.
    pub fn stop(&mut self, number: usize, within: Duration) -> bool {
        let Some(mut post) = self.posts[number].take() else {
            return false;
        };
        self.note(Observation::RelayStopRequested {
            relay: RelayIndex(number as u16),
        });
        post.request_stop();
        let ended = post
            .wait_for_exit(within)
            .is_some_and(|status| status.success());
        self.note(Observation::RelayStopped {
            relay: RelayIndex(number as u16),
        });
        ended
    }

    /// Each directed pair between these and those, one direction only.
    pub fn set_link_fault(&self, from: &[usize], to: &[usize], fault: Option<LinkFault>) {
        let no = |number: usize| RelayIndex(number as u16);
        let pairs = from
            .iter()
            .flat_map(|one| to.iter().map(move |other| (no(*one), no(*other))));
        let links = pairs.filter(|(one, other)| one != other).collect();
        self.network
            .event_loop
            .command(NetworkCommand::SetLinkFault(links, fault, "bent"));
    }

    /// Both directions.
    pub fn partition(&self, these: &[usize], those: &[usize]) {
        self.set_link_fault(these, those, Some(LinkFault::CUT));
        self.set_link_fault(those, these, Some(LinkFault::CUT));
    }

    pub fn heal_partitions(&self) {
        let all: Vec<usize> = (0..self.posts.len()).collect();
        self.set_link_fault(&all, &all, None);
    }

    pub fn admin_address(&self, number: usize) -> SocketAddr {
        self.doors[number]
    }

    pub fn observe(&self, number: usize, lease: Option<&'static str>) -> RelayObserver {
        RelayObserver::open(
            RelayIndex(number as u16),
            self.doors[number],
            lease,
            self.clock,
            self.recorder.clone(),
        )
    }

    /// What a relay's door answers; none where nobody does.
    pub fn admin_command(&self, number: usize, line: &str) -> Option<String> {
        send_admin_command(self.doors[number], line, CALL).ok()
    }

    /// What `PEERS` says there.
    pub fn membership(&self, number: usize) -> Option<serde_json::Value> {
        serde_json::from_str(self.admin_command(number, "PEERS")?.strip_prefix("200 ")?).ok()
    }

    /// If a relay sees exactly these here.
    pub fn sees_exactly(&self, number: usize, these: &[usize]) -> bool {
        let names: BTreeSet<String> = these.iter().map(|one| format!("relay-{one}")).collect();
        let here = self
            .admin_command(number, "PEERS")
            .as_deref()
            .and_then(parse_members_seen);
        here.is_some_and(|here| here.into_iter().collect::<BTreeSet<_>>() == names)
    }

    /// If each of these sees these and nobody else.
    pub fn membership_is_consistent(&self, these: &[usize]) -> bool {
        these.iter().all(|number| self.sees_exactly(*number, these))
    }

    /// Until that is so; how long it took, or none within the bound.
    pub fn wait_until(
        &self,
        within: Duration,
        so: impl Fn(&ProcessCluster) -> bool,
    ) -> Option<Duration> {
        let began = Instant::now();
        loop {
            if so(self) {
                return Some(crate::clock::from_std(began.elapsed()));
            }
            if began.elapsed() > to_std(within) {
                return None;
            }
            std::thread::sleep(LOOK);
        }
    }

    /// CPU time so far.
    pub fn cpu_time(&self, number: usize) -> Option<Duration> {
        self.posts[number]
            .as_ref()
            .and_then(RelayProcess::cost)
            .map(|(cpu, _)| cpu)
    }

    /// Bytes of memory resident.
    pub fn resident_bytes(&self, number: usize) -> Option<u64> {
        self.posts[number]
            .as_ref()
            .and_then(RelayProcess::cost)
            .map(|(_, memory)| memory)
    }

    pub fn log(&self, number: usize) -> String {
        std::fs::read_to_string(self.plan.folder.join(format!("relay-{number}.log")))
            .unwrap_or_default()
    }
}
