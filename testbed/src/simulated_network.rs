//! Membership and leases of many processes over simulated links: the same code as on sockets, on a
//! clock that is stepped. Each directed pair has its own link fault; each process its own clock,
//! off by a part; processes pause, die and start. No I/O.
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_leases::{LeaseConfig, Leases};
use thistlecroft_peers::{Event, Identity, MemberState, Node, NodeConfig};

pub use crate::link_fault::LinkFault;

/// A process of the network.
pub struct Host {
    pub name: String,
    pub node: Node,
    pub leases: Option<Leases>,
    /// Its clock's speed, 1 being true, and what it showed at true time zero.
    speed: f64,
    offset: Duration,
    paused: bool,
    /// What came while it stood still.
    inbox: Vec<(usize, Vec<u8>)>,
    pub alive: bool,
    /// When others were seen to stand otherwise, in true time.
    pub member_changes: Vec<(Instant, Identity, MemberState)>,
    /// The time for which a wake is set.
    wakes: Option<Instant>,
}

impl Host {
    /// Its own clock at a true moment.
    pub fn clock(&self, now: Instant) -> Instant {
        Instant::from_micros(self.offset.as_micros() + (now.as_micros() as f64 * self.speed) as u64)
    }

    fn true_time(&self, own: Instant) -> Instant {
        let passed = own.as_micros().saturating_sub(self.offset.as_micros());
        Instant::from_micros((passed as f64 / self.speed).ceil() as u64)
    }

    /// If it sees exactly these here.
    pub fn sees_exactly(&self, names: &BTreeSet<String>) -> bool {
        let here = self
            .node
            .members()
            .filter(|view| view.state == MemberState::Alive);
        let mut here: BTreeSet<String> = here.map(|view| view.id.name.to_string()).collect();
        here.insert(self.name.clone());
        here == *names
    }
}

enum Flight {
    Datagram {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    Wake(usize),
}

pub struct SimulatedNetwork {
    pub now: Instant,
    pub hosts: Vec<Host>,
    flights: BTreeMap<(Instant, u64), Flight>,
    serial: u64,
    pub rng: Rng,
    /// What holds where nothing else is said.
    pub default_link_fault: LinkFault,
    pub link_faults: BTreeMap<(usize, usize), LinkFault>,
    terms: NodeConfig,
    lease_config: Option<LeaseConfig>,
    seeds: usize,
}

fn address(number: usize) -> SocketAddr {
    let [.., high, low] = (number as u32 + 1).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 1, high, low), 7_946))
}

impl SimulatedNetwork {
    /// `seeds`: the first so many processes are named to all as seeds.
    pub fn new(
        terms: NodeConfig,
        lease_config: Option<LeaseConfig>,
        seeds: usize,
        seed: u64,
    ) -> SimulatedNetwork {
        SimulatedNetwork {
            now: Instant::default(),
            hosts: Vec::new(),
            flights: BTreeMap::new(),
            serial: 0,
            rng: Rng::from_seed(seed),
            default_link_fault: LinkFault {
                delay: Duration::from_micros(200),
                jitter: Duration::from_micros(200),
                ..LinkFault::default()
            },
            link_faults: BTreeMap::new(),
            terms,
            lease_config,
            seeds,
        }
    }

    /// Bytes a second, in all and for attaching subjects, of processes that are started from now
    /// on.
    pub fn set_rates(&mut self, rate: u32, update_rate: u32) {
        self.terms.max_bytes_per_second = rate;
        self.lease_config
            .iter_mut()
            .for_each(|config| config.update_rate = update_rate);
    }

    /// Starts a process; its number. `speed`: its clock's.
    pub fn start(&mut self, name: &str, speed: f64) -> usize {
        let number = self.hosts.len();
        self.hosts.push(self.process(name, number, speed));
        self.set_wake(number);
        number
    }

    /// Another process in the place of that one, at its address.
    pub fn restart(&mut self, number: usize) {
        let (name, speed) = (self.hosts[number].name.clone(), self.hosts[number].speed);
        self.hosts[number] = self.process(&name, number, speed);
        self.set_wake(number);
    }

    fn process(&self, name: &str, number: usize, speed: f64) -> Host {
        // Drawn from the network's own course, which is the same for the same seed and acts.
        let mut chance = self.rng.clone();
        let draw = chance.below(u64::MAX)
            ^ self.serial.wrapping_mul(0x9e37_79b9_7f4a_7c15)
            ^ number as u64;
        let offset = Duration::from_micros(1_000_000 + draw % 5_000_000);
        let me = Identity::new(name, draw | 1);
        let own =
            Instant::from_micros(offset.as_micros() + (self.now.as_micros() as f64 * speed) as u64);
        let seeds = (0..self.seeds).map(address).collect();
        let node = Node::new(me.clone(), address(number), seeds, &self.terms, draw, own);
        let leases = self
            .lease_config
            .clone()
            .map(|config| Leases::new(me, config, own));
        Host {
            name: name.into(),
            node,
            leases,
            speed,
            offset,
            paused: false,
            inbox: Vec::new(),
            alive: true,
            member_changes: Vec::new(),
            wakes: None,
        }
    }

    pub fn kill(&mut self, number: usize) {
        (self.hosts[number].alive, self.hosts[number].wakes) = (false, None);
    }

    pub fn pause(&mut self, number: usize) {
        self.hosts[number].paused = true;
    }

    /// What waited is heard before its timers run, as on sockets.
    pub fn resume(&mut self, number: usize) {
        self.hosts[number].paused = false;
        for (from, bytes) in std::mem::take(&mut self.hosts[number].inbox) {
            self.deliver(from, number, &bytes);
        }
        self.set_wake(number);
    }

    /// Both directions between every one of these and every one of those.
    pub fn partition(&mut self, these: &[usize], those: &[usize]) {
        for &one in these {
            for &other in those {
                self.link_faults.insert((one, other), LinkFault::CUT);
                self.link_faults.insert((other, one), LinkFault::CUT);
            }
        }
    }

    pub fn heal_partitions(&mut self) {
        self.link_faults.clear();
    }

    pub fn run_for(&mut self, span: Duration) {
        let until = self.now + span;
        while self.step(until) {}
        self.now = until;
    }

    /// Until that is so, looked at each tenth of a period; when it was, or none within the span.
    pub fn run_until(
        &mut self,
        within: Duration,
        so: impl Fn(&SimulatedNetwork) -> bool,
    ) -> Option<Duration> {
        let (began, step) = (self.now, self.terms.timing.probe_interval * 0.1);
        while !so(self) {
            if self.now.duration_since(began) >= within {
                return None;
            }
            self.run_for(step);
        }
        Some(self.now.duration_since(began))
    }

    /// If all that run see each other and nobody else.
    pub fn membership_is_consistent(&self) -> bool {
        let live = || self.hosts.iter().filter(|host| host.alive);
        let names: BTreeSet<String> = live().map(|host| host.name.clone()).collect();
        live().all(|host| host.sees_exactly(&names))
    }

    fn step(&mut self, until: Instant) -> bool {
        let Some(entry) = self
            .flights
            .first_entry()
            .filter(|entry| entry.key().0 <= until)
        else {
            return false;
        };
        self.now = self.now.max(entry.key().0);
        match entry.remove() {
            Flight::Datagram { from, to, bytes } => {
                if self.hosts[to].paused {
                    // As much as a socket holds.
                    if self.hosts[to].inbox.len() < 256 {
                        self.hosts[to].inbox.push((from, bytes));
                    }
                } else {
                    self.deliver(from, to, &bytes);
                    self.set_wake(to);
                }
            }
            Flight::Wake(number) => {
                let host = &mut self.hosts[number];
                if host.wakes.is_some_and(|at| at <= self.now) {
                    host.wakes = None;
                    if host.alive && !host.paused {
                        self.wake(number);
                        self.set_wake(number);
                    }
                }
            }
        }
        true
    }

    fn deliver(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let now = self.now;
        let host = &mut self.hosts[to];
        if host.alive {
            let own = host.clock(now);
            host.node.receive(bytes, address(from), own);
            self.turn(to);
        }
    }

    fn wake(&mut self, number: usize) {
        let now = self.now;
        let host = &mut self.hosts[number];
        let own = host.clock(now);
        if host.node.due() <= own {
            host.node.tick(own);
        }
        if let Some(leases) = &mut host.leases
            && leases.due(own).is_some_and(|due| due <= own)
        {
            leases.tick(own);
        }
        self.turn(number);
    }

    /// Acts of a process that is not to be left waiting for its next wake.
    pub fn act(&mut self, number: usize, act: impl FnOnce(&mut Host, Instant)) {
        let own = self.hosts[number].clock(self.now);
        act(&mut self.hosts[number], own);
        self.turn(number);
        self.set_wake(number);
    }

    /// What a process has to say goes out; what it was told for its leases is heard by them.
    fn turn(&mut self, number: usize) {
        let now = self.now;
        let host = &mut self.hosts[number];
        let own = host.clock(now);
        for event in host.node.take_events() {
            match event {
                Event::MemberChanged { id, state } => host.member_changes.push((now, id, state)),
                Event::Message {
                    from,
                    channel,
                    bytes,
                } => {
                    if let Some(leases) = &mut host.leases {
                        leases.receive(&from, channel, &bytes, own);
                    }
                }
                _ => {}
            }
        }
        if let Some(leases) = &mut host.leases {
            for outgoing in leases.take_outgoing() {
                for id in outgoing.to.processes(&host.node) {
                    host.node
                        .send_message(&id, outgoing.channel, outgoing.bytes.clone(), own);
                }
            }
        }
        for (to, bytes) in host.node.take_datagrams() {
            let Some(to) = self.number_of(to) else {
                continue;
            };
            let link_fault = self
                .link_faults
                .get(&(number, to))
                .copied()
                .unwrap_or(self.default_link_fault);
            for after in link_fault.passes(&mut self.rng) {
                self.serial += 1;
                let flight = Flight::Datagram {
                    from: number,
                    to,
                    bytes: bytes.clone(),
                };
                self.flights.insert((now + after, self.serial), flight);
            }
        }
    }

    fn number_of(&self, at: SocketAddr) -> Option<usize> {
        let SocketAddr::V4(at) = at else { return None };
        let [.., high, low] = at.ip().octets();
        let number = (usize::from(high) << 8 | usize::from(low)).checked_sub(1)?;
        (number < self.hosts.len()).then_some(number)
    }

    fn set_wake(&mut self, number: usize) {
        let now = self.now;
        let host = &mut self.hosts[number];
        if !host.alive || host.paused {
            return;
        }
        let own = host.clock(now);
        let due = host.leases.as_ref().and_then(|leases| leases.due(own));
        let due = due.map_or(host.node.due(), |due| due.min(host.node.due()));
        let at = host.true_time(due).max(now + Duration::from_micros(1));
        if host.wakes != Some(at) {
            host.wakes = Some(at);
            self.serial += 1;
            self.flights.insert((at, self.serial), Flight::Wake(number));
        }
    }
}
