//! A simulated network: its links, its clock and what is scheduled on it.
use super::host::{Host, MemberChange};
use crate::link_fault::LinkFault;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_leases::{LeaseConfig, Leases};
use thistlecroft_peers::{Event, Identity, Node, NodeConfig};

/// Something that happens at a later simulated time.
enum ScheduledEvent {
    Datagram {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    Wake(usize),
}

/// Processes on a simulated clock.
pub struct SimulatedNetwork {
    /// The simulated time.
    pub now: Instant,
    /// The processes, by their numbers.
    pub hosts: Vec<Host>,
    /// By their times, and in the order in which they were scheduled.
    schedule: BTreeMap<(Instant, u64), ScheduledEvent>,
    serial: u64,
    /// What is drawn by the links.
    pub rng: Rng,
    /// The fault of links that have none of their own.
    pub default_link_fault: LinkFault,
    /// Faults of links, by the numbers of sender and receiver.
    pub link_faults: BTreeMap<(usize, usize), LinkFault>,
    terms: NodeConfig,
    lease_config: Option<LeaseConfig>,
    seeds: usize,
}

/// Datagrams that the socket of a paused process holds.
const MAX_INBOX_DATAGRAMS: usize = 256;
const PORT: u16 = 7_946;

fn address(number: usize) -> SocketAddr {
    let [.., high, low] = (number as u32 + 1).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 1, high, low), PORT))
}

impl SimulatedNetwork {
    /// A network without processes. The first `seeds` processes are the seeds of the membership;
    /// `seed` is what everything is drawn from.
    pub fn new(
        terms: NodeConfig,
        lease_config: Option<LeaseConfig>,
        seeds: usize,
        seed: u64,
    ) -> SimulatedNetwork {
        SimulatedNetwork {
            now: Instant::default(),
            hosts: Vec::new(),
            schedule: BTreeMap::new(),
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

    /// Sets the bytes that a process sends in a second, in all and for lease updates, for processes
    /// that are started from now on.
    pub fn set_rates(&mut self, rate: u32, update_rate: u32) {
        self.terms.max_bytes_per_second = rate;
        self.lease_config
            .iter_mut()
            .for_each(|config| config.update_rate = update_rate);
    }

    /// Starts a process whose clock has this speed; returns its number.
    pub fn start(&mut self, name: &str, speed: f64) -> usize {
        let number = self.hosts.len();
        self.hosts.push(self.process(name, number, speed));
        self.schedule_wake(number);
        number
    }

    /// Starts another process in the place of that one, at its address.
    pub fn restart(&mut self, number: usize) {
        let (name, speed) = (self.hosts[number].name.clone(), self.hosts[number].speed);
        self.hosts[number] = self.process(&name, number, speed);
        self.schedule_wake(number);
    }

    fn process(&self, name: &str, number: usize, speed: f64) -> Host {
        // Drawn from a copy, so that a start changes nothing of what the links draw.
        let mut rng = self.rng.clone();
        let draw =
            rng.below(u64::MAX) ^ self.serial.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ number as u64;
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
            is_paused: false,
            inbox: Vec::new(),
            alive: true,
            member_changes: Vec::new(),
            wake_at: None,
        }
    }

    /// Ends a process.
    pub fn kill(&mut self, number: usize) {
        (self.hosts[number].alive, self.hosts[number].wake_at) = (false, None);
    }

    /// Pauses a process.
    pub fn pause(&mut self, number: usize) {
        self.hosts[number].is_paused = true;
    }

    /// Resumes a process. It receives what waited before its timers run, as on sockets.
    pub fn resume(&mut self, number: usize) {
        self.hosts[number].is_paused = false;
        for (from, bytes) in std::mem::take(&mut self.hosts[number].inbox) {
            self.deliver(from, number, &bytes);
        }
        self.schedule_wake(number);
    }

    /// Cuts these off from those, in both directions.
    pub fn partition(&mut self, these: &[usize], those: &[usize]) {
        for &one in these {
            for &other in those {
                self.link_faults.insert((one, other), LinkFault::CUT);
                self.link_faults.insert((other, one), LinkFault::CUT);
            }
        }
    }

    /// Clears the faults of all links.
    pub fn heal_partitions(&mut self) {
        self.link_faults.clear();
    }

    /// Has this time pass.
    pub fn run_for(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.step(until) {}
        self.now = until;
    }

    /// Has time pass until the predicate holds, which is evaluated in each tenth of a period; how
    /// long it took, or none where it does not hold within that time.
    pub fn run_until(
        &mut self,
        within: Duration,
        predicate: impl Fn(&SimulatedNetwork) -> bool,
    ) -> Option<Duration> {
        let (began, step) = (self.now, self.terms.timing.probe_interval * 0.1);
        while !predicate(self) {
            if self.now.duration_since(began) >= within {
                return None;
            }
            self.run_for(step);
        }
        Some(self.now.duration_since(began))
    }

    /// Whether all processes that run see each other and nobody else.
    pub fn membership_is_consistent(&self) -> bool {
        let live = || self.hosts.iter().filter(|host| host.alive);
        let names: BTreeSet<String> = live().map(|host| host.name.clone()).collect();
        live().all(|host| host.sees_exactly(&names))
    }

    fn step(&mut self, until: Instant) -> bool {
        let Some(entry) = self
            .schedule
            .first_entry()
            .filter(|entry| entry.key().0 <= until)
        else {
            return false;
        };
        self.now = self.now.max(entry.key().0);
        match entry.remove() {
            ScheduledEvent::Datagram { from, to, bytes } => {
                if self.hosts[to].is_paused {
                    if self.hosts[to].inbox.len() < MAX_INBOX_DATAGRAMS {
                        self.hosts[to].inbox.push((from, bytes));
                    }
                } else {
                    self.deliver(from, to, &bytes);
                    self.schedule_wake(to);
                }
            }
            ScheduledEvent::Wake(number) => {
                let host = &mut self.hosts[number];
                if host.wake_at.is_some_and(|at| at <= self.now) {
                    host.wake_at = None;
                    if host.alive && !host.is_paused {
                        self.wake(number);
                        self.schedule_wake(number);
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
            self.exchange(to);
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
        self.exchange(number);
    }

    /// Has a process act now, rather than with its next wake.
    pub fn with_host(&mut self, number: usize, act: impl FnOnce(&mut Host, Instant)) {
        let own = self.hosts[number].clock(self.now);
        act(&mut self.hosts[number], own);
        self.exchange(number);
        self.schedule_wake(number);
    }

    /// Passes received messages on to the leases of a process, and sends what it has to send.
    fn exchange(&mut self, number: usize) {
        self.handle_events(number);
        self.send_lease_messages(number);
        self.send_datagrams(number);
    }

    fn handle_events(&mut self, number: usize) {
        let now = self.now;
        let host = &mut self.hosts[number];
        let own = host.clock(now);
        for event in host.node.take_events() {
            match event {
                Event::MemberChanged { id, state } => {
                    host.member_changes
                        .push(MemberChange { at: now, id, state });
                }
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
    }

    fn send_lease_messages(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        let own = host.clock(self.now);
        let Some(leases) = &mut host.leases else {
            return;
        };
        for outgoing in leases.take_outgoing() {
            for id in outgoing.to.processes(&host.node) {
                host.node
                    .send_message(&id, outgoing.channel, outgoing.bytes.clone(), own);
            }
        }
    }

    fn send_datagrams(&mut self, number: usize) {
        let now = self.now;
        for (to, bytes) in self.hosts[number].node.take_datagrams() {
            let Some(to) = self.number_of(to) else {
                continue;
            };
            let link_fault = self
                .link_faults
                .get(&(number, to))
                .copied()
                .unwrap_or(self.default_link_fault);
            for delay in link_fault.delays(&mut self.rng) {
                self.serial += 1;
                let event = ScheduledEvent::Datagram {
                    from: number,
                    to,
                    bytes: bytes.clone(),
                };
                self.schedule.insert((now + delay, self.serial), event);
            }
        }
    }

    fn number_of(&self, at: SocketAddr) -> Option<usize> {
        let SocketAddr::V4(at) = at else { return None };
        let [.., high, low] = at.ip().octets();
        let number = (usize::from(high) << 8 | usize::from(low)).checked_sub(1)?;
        (number < self.hosts.len()).then_some(number)
    }

    fn schedule_wake(&mut self, number: usize) {
        let now = self.now;
        let host = &mut self.hosts[number];
        if !host.alive || host.is_paused {
            return;
        }
        let own = host.clock(now);
        let due = host.leases.as_ref().and_then(|leases| leases.due(own));
        let due = due.map_or(host.node.due(), |due| due.min(host.node.due()));
        let at = host.simulated_time(due).max(now + Duration::from_micros(1));
        if host.wake_at != Some(at) {
            host.wake_at = Some(at);
            self.serial += 1;
            self.schedule
                .insert((at, self.serial), ScheduledEvent::Wake(number));
        }
    }
}
