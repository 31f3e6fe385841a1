//! Relays as processes that know of one another, for tests: started, cut off, healed, paused,
//! killed and started again, and waited for until a stated condition holds, within a bound.
use crate::backend_model::{BackendCapacity, WarmUp};
use crate::clock::{Stopwatch, duration};
use crate::event_recorder::{EventLog, EventRecorder, Observation, RelayNumber, event_recorder};
use crate::link_fault::LinkFault;
use crate::relay_network::{NetworkCommand, OpenedNetwork, RelayNetwork};
use crate::relay_observer::{RelayObserver, seen_here};
use crate::relay_process::{
    FleetConfig, ListenerConfig, PeersConfig, RelayOptions, RelayProcess, free_address,
};
use crate::simulated_backends::{BackendPlan, BackendSpec, OpenedBackends, SimulatedBackends};
use crate::socket_holder::call;
use crate::traffic::scattered;
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
    pub terms: FleetConfig,
    pub ground: BackendPlan,
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
            start_share: 0.3,
            warm_up: ms(9_000),
            factor: 3.0,
            window: ms(3_000),
            turnover: ms(10_000),
        };
        let make = BackendCapacity {
            capacity: 100.0,
            most: 100,
            setup: ms(2),
            group_fee: 0.0,
            cold,
        };
        let ground = BackendPlan {
            boxes: vec![BackendSpec {
                make,
                zone: "a".into(),
                cell: 0,
                present: true,
            }],
            relays,
            notice: (ms(100), ms(200)),
            store: None,
            report_every: ms(500),
            tells_load: false,
            seed: 1,
        };
        let listener = ListenerConfig {
            name: "view".into(),
            wait: ms(2_000),
            handshake_target: ms(500),
            message_target: ms(60),
            effect: Idempotency::Idempotent,
            utility: 1.0,
        };
        let terms = FleetConfig {
            zones: vec!["a".into()],
            listeners: vec![listener],
            connect_time: ms(250),
            most_dials: 3,
            longest_retry_after: Some(ms(2_000)),
            probes: true,
            groups: false,
            tells_load: false,
            cold_start_share: 0.3,
            warm_up: ms(9_000),
            cold_factor: 3.0,
            cold_window: ms(3_000),
            memory_mb: 64,
            sockets: 512,
            two_dials: false,
            peers: true,
        };
        ClusterPlan {
            program,
            terms,
            ground,
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
    pub tape: EventRecorder,
    pub reel: EventLog,
    pub yard: OpenedBackends,
    pub net: OpenedNetwork,
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
        let count = plan.ground.relays;
        let yard =
            SimulatedBackends::open(plan.ground.clone(), clock, tape.clone()).map_err(said)?;
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
            tape,
            reel,
            yard,
            net,
            plan,
            peers,
            posts,
            doors,
            listens,
            starts: 0,
        })
    }

    fn note(&self, seen: Observation) {
        self.tape.note(self.clock.now(), seen);
    }

    /// All of these at once, each while the others are starting too.
    ///
    /// # Errors
    /// As `start`, the first that is not ready.
    pub fn start_all(&mut self, numbers: &[usize]) -> Result<(), String> {
        for &number in numbers {
            let charter = self.charter(number);
            self.spawn(number, charter)?;
        }
        for &number in numbers {
            self.posts[number]
                .as_mut()
                .map_or(Ok(()), RelayProcess::wait_ready)?;
            self.note(Observation::RelayStarted {
                relay: RelayNumber(number as u16),
            });
        }
        Ok(())
    }

    /// # Errors
    /// What the relay said, or that it is not ready.
    pub fn start(&mut self, number: usize) -> Result<(), String> {
        let charter = self.charter(number);
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
            relay: RelayNumber(number as u16),
        });
        Ok(())
    }

    fn spawn(&mut self, number: usize, charter: String) -> Result<(), String> {
        self.starts += 1;
        let orders = RelayOptions {
            name: format!("relay-{number}"),
            number,
            relays: self.posts.len(),
            zone: 0,
            listen: self.listens[number],
            discovery: self.yard.agents[number],
            seed: scattered(
                self.plan
                    .seed
                    .wrapping_add(self.starts * 1_000 + number as u64),
            ),
            known: None,
            charter: Some(charter),
            admin: Some(self.doors[number]),
            station: None,
        };
        let post = RelayProcess::spawn(
            &self.plan.program,
            &self.plan.terms,
            &orders,
            &self.plan.folder,
        )?;
        self.posts[number] = Some(post);
        Ok(())
    }

    /// The charter of a relay, to be changed.
    pub fn charter(&self, number: usize) -> String {
        self.peers.table(&self.net.ways[number], &self.net.ways)
    }

    /// # Errors
    /// Where the file can't be written.
    pub fn recharter(&self, number: usize, text: &str) -> std::io::Result<()> {
        self.posts[number]
            .as_ref()
            .map_or(Ok(()), |post| post.recharter(text))
    }

    pub fn kill(&mut self, number: usize) {
        if let Some(mut post) = self.posts[number].take() {
            self.note(Observation::RelayKilled {
                relay: RelayNumber(number as u16),
            });
            post.kill();
        }
    }

    pub fn pause(&mut self, number: usize, on: bool) {
        let Some(post) = &self.posts[number] else {
            return;
        };
        self.note(Observation::RelayStill {
            relay: RelayNumber(number as u16),
            on,
        });
        post.still(on);
    }

    /// Told to stop; if it ended well within that time.
    pub fn stop(&mut self, number: usize, within: Duration) -> bool {
        let Some(mut post) = self.posts[number].take() else {
            return false;
        };
        self.note(Observation::RelayToldToStop {
            relay: RelayNumber(number as u16),
        });
        post.tell_to_stop();
        let ended = post.wait(within).is_some_and(|status| status.success());
        self.note(Observation::RelayStopped {
            relay: RelayNumber(number as u16),
        });
        ended
    }

    /// Each directed pair between these and those, one direction only.
    pub fn fault_links(&self, from: &[usize], to: &[usize], fault: Option<LinkFault>) {
        let no = |number: usize| RelayNumber(number as u16);
        let pairs = from
            .iter()
            .flat_map(|one| to.iter().map(move |other| (no(*one), no(*other))));
        let links = pairs.filter(|(one, other)| one != other).collect();
        self.net
            .stage
            .command(NetworkCommand::LinkFault(links, fault, "bent"));
    }

    /// Both directions.
    pub fn cut(&self, these: &[usize], those: &[usize]) {
        self.fault_links(these, those, Some(LinkFault::CUT));
        self.fault_links(those, these, Some(LinkFault::CUT));
    }

    pub fn heal(&self) {
        let all: Vec<usize> = (0..self.posts.len()).collect();
        self.fault_links(&all, &all, None);
    }

    pub fn door(&self, number: usize) -> SocketAddr {
        self.doors[number]
    }

    pub fn witness(&self, number: usize, lease: Option<&'static str>) -> RelayObserver {
        RelayObserver::open(
            RelayNumber(number as u16),
            self.doors[number],
            lease,
            self.clock,
            self.tape.clone(),
        )
    }

    /// What a relay's door answers; none where nobody does.
    pub fn ask(&self, number: usize, line: &str) -> Option<String> {
        call(self.doors[number], line, CALL).ok()
    }

    /// What `PEERS` says there.
    pub fn view(&self, number: usize) -> Option<serde_json::Value> {
        serde_json::from_str(self.ask(number, "PEERS")?.strip_prefix("200 ")?).ok()
    }

    /// If a relay sees exactly these here.
    pub fn sees(&self, number: usize, these: &[usize]) -> bool {
        let names: BTreeSet<String> = these.iter().map(|one| format!("relay-{one}")).collect();
        let here = self.ask(number, "PEERS").as_deref().and_then(seen_here);
        here.is_some_and(|here| here.into_iter().collect::<BTreeSet<_>>() == names)
    }

    /// If each of these sees these and nobody else.
    pub fn agree(&self, these: &[usize]) -> bool {
        these.iter().all(|number| self.sees(*number, these))
    }

    /// Until that is so; how long it took, or none within the bound.
    pub fn wait(&self, within: Duration, so: impl Fn(&ProcessCluster) -> bool) -> Option<Duration> {
        let began = Instant::now();
        loop {
            if so(self) {
                return Some(crate::clock::span(began.elapsed()));
            }
            if began.elapsed() > duration(within) {
                return None;
            }
            std::thread::sleep(LOOK);
        }
    }

    /// CPU time so far.
    pub fn cpu(&self, number: usize) -> Option<Duration> {
        self.posts[number]
            .as_ref()
            .and_then(RelayProcess::cost)
            .map(|(cpu, _)| cpu)
    }

    /// Bytes of memory resident.
    pub fn memory(&self, number: usize) -> Option<u64> {
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
