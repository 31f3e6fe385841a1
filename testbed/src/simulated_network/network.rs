//! The simulated network: its clock, processes, links and scheduled events.
use super::host::{Host, MemberChange};
use crate::link_fault::LinkFault;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_leases::{LeaseConfig, Leases};
use thistlecroft_peers::{Event, Identity, Node, NodeConfig};

/// An event at a later simulated time.
enum ScheduledEvent {
    Datagram {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    /// The timers of the process with this number are due.
    Wake(usize),
}

/// Simulated processes, connected by links, on a simulated clock.
pub struct SimulatedNetwork {
    /// The present simulated time.
    pub now: Instant,
    /// The processes, by number.
    pub hosts: Vec<Host>,
    /// The scheduled events, ordered by time and then by the order in which they were scheduled.
    schedule: BTreeMap<(Instant, u64), ScheduledEvent>,
    serial: u64,
    /// The random numbers for the links.
    pub rng: Rng,
    /// The fault of all links without an entry in `link_faults`.
    pub default_link_fault: LinkFault,
    /// The faults of single links, by the numbers of sender and receiver.
    pub link_faults: BTreeMap<(usize, usize), LinkFault>,
    /// The membership configuration of each process.
    config: NodeConfig,
    /// The lease configuration; `None` if the processes have no leases.
    lease_config: Option<LeaseConfig>,
    /// The number of processes that are seeds of the membership.
    seed_members: usize,
}

/// The maximum number of datagrams that wait for a paused process, as in the buffer of a socket;
/// further ones are lost.
const MAX_INBOX_DATAGRAMS: usize = 256;
const PORT: u16 = 7_946;

/// Returns the address of the process with this number.
fn address(number: usize) -> SocketAddr {
    let [.., high, low] = (number as u32 + 1).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 1, high, low), PORT))
}

impl SimulatedNetwork {
    /// Creates a network without processes. The first `seed_members` processes are the seeds of the
    /// membership; `seed` is the seed of the random numbers.
    pub fn new(
        config: NodeConfig,
        lease_config: Option<LeaseConfig>,
        seed_members: usize,
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
            config,
            lease_config,
            seed_members,
        }
    }

    /// Sets the limits in bytes per second for all that a process sends (`rate`) and for lease
    /// updates (`update_rate`). They apply to processes that are started from now on.
    pub fn set_rates(&mut self, rate: u32, update_rate: u32) {
        self.config.max_bytes_per_second = rate;
        self.lease_config
            .iter_mut()
            .for_each(|config| config.update_rate = update_rate);
    }

    /// Starts a process whose clock runs at this speed, and returns its number.
    pub fn start(&mut self, name: &str, speed: f64) -> usize {
        let number = self.hosts.len();
        self.hosts.push(self.new_host(name, number, speed));
        self.schedule_wake(number);
        number
    }

    /// Replaces a process by a new one with the same name, address and clock speed.
    pub fn restart(&mut self, number: usize) {
        let (name, speed) = (self.hosts[number].name.clone(), self.hosts[number].speed);
        self.hosts[number] = self.new_host(&name, number, speed);
        self.schedule_wake(number);
    }

    /// Creates the process with this number.
    fn new_host(&self, name: &str, number: usize, speed: f64) -> Host {
        // Drawn from a copy, so that a start doesn't change the random numbers of the links.
        let mut rng = self.rng.clone();
        let draw =
            rng.below(u64::MAX) ^ self.serial.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ number as u64;
        let offset = Duration::from_micros(1_000_000 + draw % 5_000_000);
        let me = Identity::new(name, draw | 1);
        // The present time of the process's own clock.
        let now =
            Instant::from_micros(offset.as_micros() + (self.now.as_micros() as f64 * speed) as u64);
        let seeds = (0..self.seed_members).map(address).collect();
        let node = Node::new(me.clone(), address(number), seeds, &self.config, draw, now);
        let leases = self
            .lease_config
            .clone()
            .map(|config| Leases::new(me, config, now));
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

    /// Kills a process.
    pub fn kill(&mut self, number: usize) {
        (self.hosts[number].alive, self.hosts[number].wake_at) = (false, None);
    }

    /// Pauses a process, whose timers stop and whose datagrams wait.
    pub fn pause(&mut self, number: usize) {
        self.hosts[number].is_paused = true;
    }

    /// Resumes a process. As on sockets, it receives waiting datagrams before its timers run.
    pub fn resume(&mut self, number: usize) {
        self.hosts[number].is_paused = false;
        for (from, bytes) in std::mem::take(&mut self.hosts[number].inbox) {
            self.deliver(from, number, &bytes);
        }
        self.schedule_wake(number);
    }

    /// Cuts all links between two groups of processes, in both directions.
    pub fn partition(&mut self, group: &[usize], other_group: &[usize]) {
        for &one in group {
            for &other in other_group {
                self.link_faults.insert((one, other), LinkFault::CUT);
                self.link_faults.insert((other, one), LinkFault::CUT);
            }
        }
    }

    /// Clears the faults of all links, except the default fault.
    pub fn heal_partitions(&mut self) {
        self.link_faults.clear();
    }

    /// Runs the network for this simulated time.
    pub fn run_for(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.step(until) {}
        self.now = until;
    }

    /// Runs the network until the predicate holds, and returns how long that took in simulated
    /// time. Returns `None` if the predicate doesn't hold within the time limit. The predicate is
    /// evaluated ten times per probe interval.
    pub fn run_until(
        &mut self,
        timeout: Duration,
        predicate: impl Fn(&SimulatedNetwork) -> bool,
    ) -> Option<Duration> {
        let (began, step) = (self.now, self.config.timing.probe_interval * 0.1);
        while !predicate(self) {
            if self.now.duration_since(began) >= timeout {
                return None;
            }
            self.run_for(step);
        }
        Some(self.now.duration_since(began))
    }

    /// Returns whether all live processes see exactly each other alive.
    pub fn membership_is_consistent(&self) -> bool {
        let live = || self.hosts.iter().filter(|host| host.alive);
        let names: BTreeSet<String> = live().map(|host| host.name.clone()).collect();
        live().all(|host| host.sees_exactly(&names))
    }

    /// Handles the next event up to this time; returns false if there is none.
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
            let local_time = host.clock(now);
            host.node.receive(bytes, address(from), local_time);
            self.process_output(to);
        }
    }

    fn wake(&mut self, number: usize) {
        let now = self.now;
        let host = &mut self.hosts[number];
        let local_time = host.clock(now);
        if host.node.due() <= local_time {
            host.node.tick(local_time);
        }
        if let Some(leases) = &mut host.leases
            && leases.due(local_time).is_some_and(|due| due <= local_time)
        {
            leases.tick(local_time);
        }
        self.process_output(number);
    }

    /// Calls a function with a process and the present time of its clock, and then sends what the
    /// process has to send.
    pub fn with_host(&mut self, number: usize, call: impl FnOnce(&mut Host, Instant)) {
        let local_time = self.hosts[number].clock(self.now);
        call(&mut self.hosts[number], local_time);
        self.process_output(number);
        self.schedule_wake(number);
    }

    /// Passes received messages to the leases of a process, and sends the lease messages and
    /// datagrams that the process has to send.
    fn process_output(&mut self, number: usize) {
        self.handle_events(number);
        self.send_lease_messages(number);
        self.send_datagrams(number);
    }

    fn handle_events(&mut self, number: usize) {
        let now = self.now;
        let host = &mut self.hosts[number];
        let local_time = host.clock(now);
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
                        leases.receive(&from, channel, &bytes, local_time);
                    }
                }
                _ => {}
            }
        }
    }

    fn send_lease_messages(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        let local_time = host.clock(self.now);
        let Some(leases) = &mut host.leases else {
            return;
        };
        for outgoing in leases.take_outgoing() {
            for id in outgoing.to.processes(&host.node) {
                host.node
                    .send_message(&id, outgoing.channel, outgoing.bytes.clone(), local_time);
            }
        }
    }

    fn send_datagrams(&mut self, number: usize) {
        let now = self.now;
        for (to, bytes) in self.hosts[number].node.take_datagrams() {
            let Some(to) = self.number_at(to) else {
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

    /// Returns the number of the process at this address.
    fn number_at(&self, at: SocketAddr) -> Option<usize> {
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
        let local_time = host.clock(now);
        let due = host
            .leases
            .as_ref()
            .and_then(|leases| leases.due(local_time));
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
