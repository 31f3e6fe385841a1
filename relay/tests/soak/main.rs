//! A soak: clients of many kinds, changes of the settings and upgrades in an order that follows from
//! a seed, judged by what backends, clients and the system saw.
//!
//! The default run is short. `THISTLECROFT_SOAK_SECONDS` sets another length and
//! `THISTLECROFT_SOAK_SEED` another seed:
//!
//! ```text
//! THISTLECROFT_SOAK_SECONDS=900 cargo test -p thistlecroft-relay --test soak
//! ```
mod clients;
#[path = "../helper/mod.rs"]
mod helper;

use clients::{ClientKind, Clients};
use helper::host::{Host, RelayProcess, new_program};
use helper::*;
use std::collections::BTreeMap;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};
use thistlecroft::random::Rng;

const DEFAULT_SECONDS: u64 = 45;
const DEFAULT_SEED: u64 = 20_261_206;
const SOCKETS: usize = 256;
const MEMORY_MB: usize = 32;
/// The pause between two clients: some tens of requests a second.
const CLIENT_INTERVAL: Duration = Duration::from_millis(30);
/// The deadline of the listeners, for which an id is refused at least.
const REFUSED_FOR: Duration = Duration::from_millis(1_500);
/// Clients between two changes of the settings or upgrades.
const CLIENTS_PER_OPERATION: u64 = 120;

/// Settings that SIGHUP brings in turn: the last listener is kept, dropped, or safe to repeat.
const SETTINGS_CHANGES: [(&str, &str); 3] = [
    ("\"maxDials\": 3", "\"maxDials\": 2"),
    ("\"name\": \"safe\"", "\"name\": \"other\""),
    ("\"mayCancel\": true", "\"mayCancel\": false"),
];

fn variable(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |value| value.parse().expect("a whole number"))
}

/// The relay's processes, of which the last one serves, and the stand-ins around them.
struct Soak {
    host: Host,
    rng: Rng,
    processes: Vec<RelayProcess>,
    /// The lines that backends which may run a request have received, each with its time.
    received: Receiver<(Instant, String)>,
    _watches: Received,
    /// When each once-only id last came to a backend.
    came_at: BTreeMap<u64, Instant>,
    operations: Vec<String>,
}

impl Soak {
    fn start(seed: u64) -> Soak {
        let behaviors = [
            BackendBehavior::Echo,
            BackendBehavior::EchoWithLowLoad,
            BackendBehavior::EchoWithLowLoad,
            BackendBehavior::CloseImmediately,
            BackendBehavior::Reply("BUSY\r\n"),
        ];
        let (addresses, mut received): (Vec<_>, Vec<_>) =
            behaviors.map(start_backend).into_iter().unzip();
        // The last backend runs nothing: what it refused may be sent again.
        received.pop();
        let list = chunk(&ready_backends(&addresses));
        let scripts = (0..10_000).map(|_| WatchScript {
            pieces: vec![RESPONSE_HEAD.into(), list.clone()],
            ends: false,
        });
        let (discovery, _watches) = start_discovery(scripts.collect());
        let mut host = Host::with_discovery(&format!("soak-{seed}"), discovery);
        host.socket_limit = SOCKETS;
        let mut soak = Soak {
            host,
            rng: Rng::from_seed(seed),
            processes: Vec::new(),
            received: with_times(received),
            _watches,
            came_at: BTreeMap::new(),
            operations: Vec::new(),
        };
        soak.start_process();
        soak
    }

    fn start_process(&mut self) {
        let memory = format!("\"memory_mb\":{MEMORY_MB}");
        let changes = [
            ("\"memory_mb\":64", memory.as_str()),
            ("\"probes\": false", "\"probes\": true"),
            THREE_ATTEMPTS,
        ];
        let process = self.host.start_with(new_program(), &changes);
        self.processes.push(process);
    }

    /// Changes the settings of the serving process, or replaces it.
    fn operate(&mut self) {
        let choice = self.rng.below(2 * SETTINGS_CHANGES.len() as u64) as usize;
        if let Some(change) = SETTINGS_CHANGES.get(choice) {
            self.operations.push(format!("SIGHUP {}", change.1));
            self.host.reload(self.processes.last().unwrap(), &[*change]);
            return;
        }
        self.operations.push("upgrade".into());
        self.start_process();
        let old = self.processes.len() - 2;
        self.processes[old].relay.signal("TERM");
    }

    /// Checks what each process uses, and drops those that have ended.
    fn check_processes(&mut self) {
        let mut descriptors = 0;
        self.processes.retain_mut(|process| {
            let Some(status) = process.relay.child.try_wait().unwrap() else {
                let peak = process.relay.peak_memory_mb();
                assert!(peak <= MEMORY_MB, "{peak} MB of {MEMORY_MB}");
                descriptors += process.relay.open_descriptors();
                return true;
            };
            assert!(status.success(), "{status}");
            false
        });
        assert!(!self.processes.is_empty(), "no process serves");
        assert!(descriptors <= SOCKETS, "{descriptors} descriptors");
    }

    /// Takes in what the backends received, and checks that no once-only id came twice while its
    /// client could still repeat it.
    fn check_backends(&mut self) {
        let is_once_only = |line: &str| line.starts_with("OPEN") && line.contains("c=once");
        let lines = self.received.try_iter();
        for (at, line) in lines.filter(|(_, line)| is_once_only(line)) {
            let id = u64::from_str_radix(&line[5..21], 16).unwrap();
            let before = self.came_at.insert(id, at);
            let is_repeat = before.is_some_and(|before| at < before + REFUSED_FOR);
            let last = self.operations.last();
            assert!(!is_repeat, "{line:?} came again, after {last:?}");
        }
    }
}

/// Notes the time at which each line was received.
fn with_times(backends: Vec<Received>) -> Receiver<(Instant, String)> {
    let (sender, received) = channel();
    for lines in backends {
        let sender = sender.clone();
        thread::spawn(move || {
            for line in lines {
                let _ = sender.send((Instant::now(), line));
            }
        });
    }
    received
}

#[test]
fn soak_of_clients_settings_and_upgrades_keeps_every_rule() {
    let seed = variable("THISTLECROFT_SOAK_SEED", DEFAULT_SEED);
    let length = Duration::from_secs(variable("THISTLECROFT_SOAK_SECONDS", DEFAULT_SECONDS));
    let mut soak = Soak::start(seed);
    let mut clients = Clients::new(soak.host.client_address());
    let start = Instant::now();
    let mut count = 0;
    while start.elapsed() < length {
        let kind = ClientKind::choose(&mut soak.rng);
        clients.start(kind, &mut soak.rng);
        count += 1;
        if count % CLIENTS_PER_OPERATION == 0 {
            soak.operate();
        }
        soak.check_processes();
        soak.check_backends();
        clients.check();
        thread::sleep(CLIENT_INTERVAL);
    }
    clients.finish();
    soak.check_backends();
    let operations = soak.operations.len();
    println!(
        "seed {seed}: {count} clients, {operations} operations; {}",
        clients.summary()
    );
    assert!(clients.has_every_answer(), "{}", clients.summary());
}
