//! A process of hollow relays: each a UDP socket with the membership and the leases of a relay, all
//! on one thread and loop.
use super::assignment::{Assignment, subject_number};
use super::config::ScaleConfig;
use super::meter::{Meter, Traffic};
use super::protocol::{Answer, Command, Status};
use super::witness::OwnershipWitness;
use polling::{Event, Events, Poller};
use rustix::time::{ClockId, clock_gettime};
use std::collections::BTreeSet;
use std::io::{self, BufRead, Write};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use thistlecroft::time::{Duration, Instant};
use thistlecroft_leases::Leases;
use thistlecroft_peers::wire::MAX_DATAGRAM_BYTES;
use thistlecroft_peers::{Event as PeerEvent, Identity, Node};

/// Datagrams of one socket read in a turn.
const DATAGRAMS: usize = 64;
/// Between two looks at what is owned and seen.
const LOOK_EVERY: Duration = Duration::from_millis(250);
const SECOND: Duration = Duration::from_millis(1_000);

/// One clock for all processes of the machine.
fn now() -> Instant {
    let time = clock_gettime(ClockId::Monotonic);
    Instant::from_micros(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
}

struct Hollow {
    member: usize,
    socket: UdpSocket,
    node: Node,
    leases: Leases,
    assignment: Assignment,
    meter: Meter,
    /// Members changed since the assignment was last worked out.
    changed: bool,
    due: Instant,
}

impl Hollow {
    fn new(
        config: &ScaleConfig,
        member: usize,
        socket: UdpSocket,
        seeds: Vec<SocketAddr>,
    ) -> io::Result<Hollow> {
        let layout = config.layout();
        let at = socket.local_addr()?;
        let run = config.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (member as u64 + 1) << 20;
        let me = Identity::new(&layout.name(member), run);
        let (role, start) = (layout.role(member), now());
        let node = Node::new(me.clone(), at, seeds, &config.peer_terms(role), run, start);
        Ok(Hollow {
            member,
            socket,
            node,
            leases: Leases::new(me, config.lease_config(role), start),
            assignment: Assignment::new(layout, config.subjects, member),
            meter: Meter::default(),
            changed: true,
            due: start,
        })
    }

    fn read(&mut self) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..DATAGRAMS {
            match self.socket.recv_from(&mut bytes) {
                Ok((length, source)) => self.node.receive(&bytes[..length], source, now()),
                Err(fault) if fault.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => break,
            }
        }
        self.turn();
    }

    fn wake(&mut self, at: Instant) {
        if self.node.due() <= at {
            self.node.tick(at);
        }
        if self.leases.due(at).is_some_and(|due| due <= at) {
            self.leases.tick(at);
        }
        self.turn();
    }

    /// What came goes to the leases, what both have to say goes out.
    fn turn(&mut self) {
        let at = now();
        for event in self.node.take_events() {
            match event {
                PeerEvent::MemberChanged { .. } => self.changed = true,
                PeerEvent::Message {
                    from,
                    channel,
                    bytes,
                } => self.leases.receive(&from, channel, &bytes, at),
                _ => {}
            }
        }
        for outgoing in self.leases.take_outgoing() {
            for id in outgoing.to.processes(&self.node) {
                self.node
                    .send_message(&id, outgoing.channel, outgoing.bytes.clone(), at);
            }
        }
        for (to, bytes) in self.node.take_datagrams() {
            // A datagram that can't be sent is one that is lost.
            let _ = self.socket.send_to(&bytes, to);
        }
        let leases = self.leases.due(at);
        // News makes an alarm that is long past due now.
        self.due = leases
            .map_or(self.node.due(), |due| due.min(self.node.due()))
            .max(at);
    }

    fn look(&mut self) {
        if self.changed {
            self.changed = false;
            self.assignment.apply(&self.node, &mut self.leases, now());
            self.turn();
        }
    }

    fn holdings(&self, at: Instant) -> impl Iterator<Item = (usize, u64)> + '_ {
        let held = self.leases.holdings(at);
        held.filter_map(|(subject, held)| Some((subject_number(subject)?, held.epoch)))
    }
}

/// Serves a run until it is told to stop or its standard input ends.
///
/// # Errors
/// One line: what the system did not give.
pub fn work() -> Result<(), String> {
    let poller = Arc::new(Poller::new().map_err(|fault| fault.to_string())?);
    let commands = read_commands(poller.clone());
    let mut worker = Worker {
        poller,
        config: None,
        bound: Vec::new(),
        hollows: Vec::new(),
        witness: OwnershipWitness::default(),
        late: Duration::ZERO,
        next_look: now(),
        next_second: now(),
    };
    let done = worker.serve(&commands);
    if let Err(why) = &done {
        tell(&Answer::Failed { why: why.clone() });
    }
    done
}

/// A thread of its own, since standard input can't be waited for beside sockets everywhere.
fn read_commands(poller: Arc<Poller>) -> Receiver<Command> {
    let (sender, receiver) = channel();
    std::thread::spawn(move || {
        for line in io::stdin().lock().lines().map_while(Result::ok) {
            let Ok(command) = serde_json::from_str(&line) else {
                break;
            };
            if sender.send(command).is_err() {
                break;
            }
            let _ = poller.notify();
        }
        drop(sender);
        let _ = poller.notify();
    });
    receiver
}

fn tell(answer: &Answer) {
    let line = serde_json::to_string(answer).expect("answers are plain values");
    let mut out = io::stdout().lock();
    // Nobody reads any more: the run has ended, and this process with the end of its input.
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}

struct Worker {
    poller: Arc<Poller>,
    config: Option<ScaleConfig>,
    bound: Vec<(usize, UdpSocket)>,
    hollows: Vec<Hollow>,
    witness: OwnershipWitness,
    late: Duration,
    next_look: Instant,
    next_second: Instant,
}

impl Worker {
    fn serve(&mut self, commands: &Receiver<Command>) -> Result<(), String> {
        let mut events = Events::new();
        loop {
            loop {
                match commands.try_recv() {
                    Ok(Command::Stop) => return self.end(),
                    Ok(command) => self.obey(command).map_err(|fault| fault.to_string())?,
                    Err(std::sync::mpsc::TryRecvError::Empty) => break,
                    Err(std::sync::mpsc::TryRecvError::Disconnected) => return Ok(()),
                }
            }
            let timeout =
                std::time::Duration::from_micros(self.due().duration_since(now()).as_micros());
            events.clear();
            self.poller
                .wait(&mut events, Some(timeout))
                .map_err(|fault| fault.to_string())?;
            let ready: BTreeSet<usize> = events.iter().map(|event| event.key).collect();
            for place in ready {
                self.read(place).map_err(|fault| fault.to_string())?;
            }
            self.wake();
        }
    }

    fn due(&self) -> Instant {
        let own = self.next_look.min(self.next_second);
        self.hollows
            .iter()
            .map(|hollow| hollow.due)
            .fold(own, Instant::min)
    }

    fn read(&mut self, member: usize) -> io::Result<()> {
        let Some(hollow) = self
            .hollows
            .iter_mut()
            .find(|hollow| hollow.member == member)
        else {
            return Ok(());
        };
        hollow.read();
        self.poller.modify(&hollow.socket, Event::readable(member))
    }

    fn wake(&mut self) {
        let at = now();
        for hollow in self.hollows.iter_mut().filter(|hollow| hollow.due <= at) {
            self.late = self.late.max(at.duration_since(hollow.due));
            hollow.wake(now());
        }
        if self.next_second <= at {
            self.next_second = self.next_second.max(at - SECOND) + SECOND;
            for hollow in &mut self.hollows {
                hollow.meter.second(&hollow.node.counts);
            }
        }
        if self.next_look <= at {
            self.next_look = at + LOOK_EVERY;
            self.look();
        }
    }

    fn look(&mut self) {
        if self.hollows.is_empty() {
            return;
        }
        let mut status = Status {
            living: self.hollows.len(),
            sees_least: usize::MAX,
            ..Status::default()
        };
        for hollow in &mut self.hollows {
            hollow.look();
            let sees = hollow.node.size();
            (status.sees_least, status.sees_most) =
                (status.sees_least.min(sees), status.sees_most.max(sees));
            let at = now();
            status.owned += hollow.holdings(at).count();
            self.witness.look(hollow.member, hollow.holdings(at), at);
        }
        status.late_us = self.late.as_micros();
        tell(&Answer::Status(status));
    }

    fn obey(&mut self, command: Command) -> io::Result<()> {
        match command {
            Command::Bind { config, members } => {
                for member in members {
                    let socket = UdpSocket::bind("127.0.0.1:0")?;
                    socket.set_nonblocking(true)?;
                    self.bound.push((member, socket));
                }
                self.config = Some(*config);
                let addresses = self.bound.iter().map(|(_, socket)| socket.local_addr());
                tell(&Answer::Bound {
                    addresses: addresses.collect::<io::Result<_>>()?,
                });
            }
            Command::Start { seeds } => {
                let Some(config) = &self.config else {
                    return Ok(());
                };
                for (member, socket) in self.bound.drain(..) {
                    // Dropped from the poller before its socket is closed, in `kill`.
                    unsafe { self.poller.add(&socket, Event::readable(member))? };
                    self.hollows
                        .push(Hollow::new(config, member, socket, seeds.clone())?);
                }
                (self.next_look, self.next_second) = (now(), now() + SECOND);
            }
            Command::Kill { members } => self.kill(&members)?,
            Command::Measure => {
                let traffic: Vec<(usize, Traffic)> = self
                    .hollows
                    .iter_mut()
                    .map(|hollow| (hollow.member, hollow.meter.take()))
                    .collect();
                tell(&Answer::Measured { traffic });
            }
            Command::Stop => {}
        }
        Ok(())
    }

    fn kill(&mut self, members: &[usize]) -> io::Result<()> {
        for hollow in self
            .hollows
            .iter()
            .filter(|hollow| members.contains(&hollow.member))
        {
            self.poller.delete(&hollow.socket)?;
        }
        self.hollows
            .retain(|hollow| !members.contains(&hollow.member));
        Ok(())
    }

    fn end(&mut self) -> Result<(), String> {
        let all: Vec<usize> = self.hollows.iter().map(|hollow| hollow.member).collect();
        self.kill(&all).map_err(|fault| fault.to_string())?;
        tell(&Answer::Ended {
            holdings: std::mem::take(&mut self.witness).into_holdings(),
        });
        Ok(())
    }
}
