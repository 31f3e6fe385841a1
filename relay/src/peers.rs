//! The other relays: datagrams and timers for `thistlecroft-peers` and `thistlecroft-leases`, which
//! decide. One socket, on the one loop; a bounded number of datagrams in a turn.
use crate::admin::protocol::AdminCommand;
use crate::io_context::IoContext;
use crate::sockets::{Registration, SocketOwner, Sockets};
use crate::timers::{Clock, Timer};
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::AsRawFd;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_leases::{Electorate, LeaseConfig, Leases, Reason, State};
use thistlecroft_operator_config::PeersConfig;
use thistlecroft_peers::wire::MAX_DATAGRAM_BYTES;
use thistlecroft_peers::{
    EntryKind, Event, Identity, MemberState, Node, NodeConfig, ProtocolTiming,
};

/// Datagrams read in one turn.
const DATAGRAMS: usize = 64;
/// The address before is read for so many periods more.
const FORMER: f64 = 20.0;
/// A lease that nobody has asked after for so many terms is given back.
const ASKED_AFTER: f64 = 3.0;

pub struct Peers {
    link: Link,
    /// The one before, still read for a while: others learn of the change by and by.
    former: Option<(Link, Instant)>,
    /// The address is the process's before, and is taken as soon as that has ended: seeds lead
    /// there.
    wanted_at: Option<Instant>,
    node: Node,
    leases: Option<Leases>,
    peering: PeersConfig,
    /// The next alarm that is set.
    alarm: Option<Instant>,
    send_failures: u64,
    /// A lease is looked at by the moment of its saying: in a turn in which the process stood still
    /// the turn's own is too early.
    clock: Clock,
    /// Until when somebody at the door was told that a lease is held here.
    told: BTreeMap<Vec<u8>, Instant>,
}

struct Link {
    watched: Registration,
    socket: UdpSocket,
}

impl Link {
    fn open(at: SocketAddr, sockets: &mut Sockets) -> io::Result<Link> {
        let socket = UdpSocket::bind(at)?;
        socket.set_nonblocking(true)?;
        let mut watched = sockets.watched(SocketOwner::Peers, socket.as_raw_fd());
        watched.want(true, false);
        Ok(Link { watched, socket })
    }
}

impl Peers {
    /// # Errors
    /// The address is taken, or the system gives no socket.
    pub fn start(
        name: &str,
        peering: &PeersConfig,
        key: &[u8],
        beside: bool,
        sockets: &mut Sockets,
        clock: Clock,
    ) -> io::Result<Peers> {
        let now = clock.now();
        let (link, advertise, wanted_at) = match Link::open(peering.listen, sockets) {
            Ok(link) => (link, peering.advertise, None),
            // Another process of this relay may have it; others learn where this one is.
            Err(fault) if beside && fault.kind() == ErrorKind::AddrInUse => {
                let link = Link::open(SocketAddr::new(peering.listen.ip(), 0), sockets)?;
                let at = SocketAddr::new(peering.advertise.ip(), link.socket.local_addr()?.port());
                log::info!(
                    "peers: {} is the process's before, {at} until it has ended",
                    peering.listen
                );
                (link, at, Some(now + peering.probe_interval))
            }
            Err(fault) => return Err(fault),
        };
        // Drawn anew at each start, whatever the seed: that is how two processes are told apart.
        let mut run = [0; 16];
        getrandom::fill(&mut run).map_err(io::Error::other)?;
        let [run, seed] =
            [0, 8].map(|at| u64::from_le_bytes(run[at..at + 8].try_into().expect("eight")));
        let me = Identity::new(name, run);
        let terms = NodeConfig {
            fleet: peering.fleet.clone(),
            secret: key.to_vec(),
            timing: ProtocolTiming {
                probe_interval: peering.probe_interval,
            },
            max_bytes_per_second: peering.max_bytes_per_second,
        };
        let node = Node::new(
            me.clone(),
            advertise,
            peering.seeds.clone(),
            &terms,
            seed,
            now,
        );
        let leases = (!peering.voters.is_empty())
            .then(|| Leases::new(me.clone(), lease_config(peering), now));
        log::info!("peers: {me} of fleet {} at {advertise}", peering.fleet);
        let (peering, former, alarm, send_failures) = (peering.clone(), None, None, 0);
        let told = BTreeMap::new();
        Ok(Peers {
            link,
            former,
            wanted_at,
            node,
            leases,
            peering,
            alarm,
            send_failures,
            clock,
            told,
        })
    }

    /// # Errors
    /// One line: a step from one set of voters to another that is not allowed.
    pub fn resettle(&mut self, peering: &PeersConfig) -> Result<(), String> {
        if let Some(leases) = &mut self.leases
            && !peering.voters.is_empty()
        {
            leases
                .change(lease_config(peering), self.clock.now())
                .map_err(|fault| fault.to_string())?;
        }
        let voters = (
            peering.voters.clone(),
            peering.previous_voters.clone(),
            peering.generation,
        );
        let mut known = self.peering.clone();
        (known.voters, known.previous_voters, known.generation) = voters;
        let switched = self.leases.is_some() == peering.voters.is_empty();
        if known != *peering || switched {
            log::warn!("changes of peers but for a change of voters need a restart");
        }
        if !switched {
            self.peering = known;
        }
        Ok(())
    }

    pub fn event(&mut self, works: &mut IoContext) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        let links = std::iter::once(&self.link).chain(self.former.iter().map(|(link, _)| link));
        for link in links {
            for _ in 0..DATAGRAMS {
                match link.socket.recv_from(&mut bytes) {
                    Ok((length, source)) => self.node.receive(&bytes[..length], source, works.now),
                    Err(fault) if fault.kind() == ErrorKind::Interrupted => {}
                    // Nothing more, or an earlier datagram met nobody, which the probes find out.
                    Err(_) => break,
                }
            }
        }
        self.turn(works);
    }

    pub fn wake(&mut self, works: &mut IoContext) {
        let now = works.now;
        if self.alarm.is_some_and(|at| at <= now) {
            self.alarm = None;
        }
        if self.wanted_at.is_some_and(|at| at <= now) {
            self.take_address(works);
        }
        if self.former.as_ref().is_some_and(|(_, until)| *until <= now) {
            self.former = None;
        }
        if self.node.due() <= now {
            self.node.tick(now);
        }
        if let Some(leases) = &mut self.leases
            && leases.due(now).is_some_and(|due| due <= now)
        {
            leases.tick(now);
        }
        self.turn(works);
    }

    fn take_address(&mut self, works: &mut IoContext) {
        match Link::open(self.peering.listen, &mut works.sockets) {
            Ok(link) => {
                log::info!("peers: at {} from now on", self.peering.advertise);
                let before = std::mem::replace(&mut self.link, link);
                self.former = Some((before, works.now + self.peering.probe_interval * FORMER));
                self.wanted_at = None;
                self.node.move_to(self.peering.advertise, works.now);
            }
            Err(_) => self.wanted_at = Some(works.now + self.peering.probe_interval),
        }
    }

    /// What they have to say goes out, and the next alarm is set.
    fn turn(&mut self, works: &mut IoContext) {
        // Read after what came was: a voter's promise dated from a turn in which the process stood
        // still, for an asking that came meanwhile, would end before the holder's right does.
        let now = self.clock.now();
        for event in self.node.take_events() {
            self.told(event, now);
        }
        self.send_leases(now);
        self.send();
        let due = self.leases.as_ref().and_then(|leases| leases.due(now));
        let own = [
            due,
            self.wanted_at,
            self.former.as_ref().map(|(_, until)| *until),
        ];
        let due = own
            .into_iter()
            .flatten()
            .fold(self.node.due(), Instant::min)
            .max(now + Duration::from_millis(1));
        if self.alarm.is_none_or(|at| due < at) {
            self.alarm = Some(due);
            works.alarms.set(due, Timer::Peers);
        }
    }

    fn send_leases(&mut self, now: Instant) {
        let Some(leases) = &mut self.leases else {
            return;
        };
        for outgoing in leases.take_outgoing() {
            for id in outgoing.to.processes(&self.node) {
                self.node
                    .send_message(&id, outgoing.channel, outgoing.bytes.clone(), now);
            }
        }
    }

    fn send(&mut self) {
        for (to, bytes) in self.node.take_datagrams() {
            // A datagram that can't be sent is one that is lost.
            self.send_failures += u64::from(self.link.socket.send_to(&bytes, to).is_err());
        }
    }

    fn told(&mut self, event: Event, now: Instant) {
        match event {
            Event::MemberChanged { id, state } => log::info!("peers: {id} is {}", state.as_str()),
            Event::Refuted { incarnation } => {
                log::info!(
                    "peers: others thought this relay gone or going; says otherwise ({incarnation})"
                );
            }
            Event::UnknownFormat { from, format } => {
                log::warn!("peers: datagrams of format {format} from {from} are not read");
            }
            Event::Paused { duration: by } => {
                log::warn!("peers: this process stood still for {} ms", by.as_millis());
            }
            Event::Message {
                from,
                channel,
                bytes,
            } => {
                if let Some(leases) = &mut self.leases {
                    leases.receive(&from, channel, &bytes, now);
                }
            }
            Event::EntryChanged { .. } => {}
        }
    }

    /// Gives back what it holds and has told nobody of, and says that it leaves; nothing is sent
    /// after.
    pub fn leave(&mut self, now: Instant) {
        if let Some(leases) = &mut self.leases {
            leases.leave(|subject| self.told.get(subject).is_some_and(|until| *until > now));
        }
        self.send_leases(now);
        self.node.leave(now);
        self.send();
        self.link.watched.want(false, false);
        (self.former, self.wanted_at) = (None, None);
    }

    /// The answer to an operator's call. A lease is looked at here and now, at the act of saying
    /// it.
    pub fn answer(&mut self, call: &AdminCommand, works: &mut IoContext) -> Result<String, String> {
        let now = works.now;
        let done = match call {
            AdminCommand::Peers => Ok(self.view(now).to_string()),
            AdminCommand::Note(subject, value) => {
                match self
                    .node
                    .announce(EntryKind::Note, subject.as_bytes(), value.as_bytes(), now)
                {
                    true => Ok("told".into()),
                    false => Err("too long, or too many notes of this relay".into()),
                }
            }
            AdminCommand::Notes => Ok(self.notes(now).to_string()),
            AdminCommand::Lease(subject) => self.lease(subject, self.clock.now()),
            AdminCommand::Release(subject) => match &mut self.leases {
                Some(leases) => {
                    leases.release(subject.as_bytes(), now);
                    self.told.remove(subject.as_bytes());
                    Ok("released".into())
                }
                None => Err(NO_VOTERS.into()),
            },
            AdminCommand::Ready | AdminCommand::Disable(_) | AdminCommand::Enable(_) => {
                Err("not for peers".into())
            }
        };
        self.turn(works);
        done
    }

    fn lease(&mut self, subject: &str, now: Instant) -> Result<String, String> {
        let term = self.peering.lease_duration;
        let leases = self.leases.as_mut().ok_or(NO_VOTERS)?;
        let until = now + term * ASKED_AFTER;
        leases
            .acquire(subject.as_bytes(), until, now)
            .map_err(|fault| fault.to_string())?;
        match leases.state(subject.as_bytes(), now) {
            State::Held(held) => {
                // Only what may still bind is kept: as many as may be wanted at once, at most.
                self.told.retain(|_, until| *until > now);
                self.told.insert(subject.as_bytes().to_vec(), held.until);
                Ok(format!(
                    "held {} {}",
                    held.epoch,
                    held.until.duration_since(now).as_millis()
                ))
            }
            State::Wanted(Some(reason)) => Err(refusal(&reason)),
            State::Wanted(None) | State::Unwanted => Err("asked for".into()),
        }
    }

    fn notes(&self, now: Instant) -> serde_json::Value {
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let notes = self.node.shared_state().of_kind(EntryKind::Note, now).map(|fact| {
            json!({"subject": text(fact.subject), "value": text(fact.value), "owner": fact.owner.to_string(),
                "epoch": fact.epoch, "age_ms": fact.age.as_millis()})
        });
        json!({"unheard": self.node.unreachable(), "notes": notes.collect::<Vec<_>>()})
    }

    /// One line for people and programs.
    fn view(&self, now: Instant) -> serde_json::Value {
        let ago = |at: Instant| now.duration_since(at).as_millis();
        let peers = self.node.members().map(|view| {
            json!({"id": view.id.to_string(), "name": view.id.name.as_str(), "at": view.at.to_string(),
                "standing": view.state.as_str(), "incarnation": view.incarnation, "since_ms": ago(view.since),
                "heard_ms": view.last_received.map(ago)})
        });
        let counts = &self.node.counts;
        let leases = self.leases.as_ref().map(|leases| {
            let (electorate, of) = (&leases.config().electorate, leases.counts());
            let held = leases.subjects().filter_map(|subject| {
                let held = leases.held(subject, now)?;
                Some(
                    json!({"subject": String::from_utf8_lossy(subject), "epoch": held.epoch,
                    "left_ms": held.until.duration_since(now).as_millis()}),
                )
            });
            json!({"vote": leases.vote(now).as_str(), "generation": electorate.generation,
                "settled": leases.is_settled(now), "held": held.collect::<Vec<_>>(), "counts": {
                    "requests": of.requests, "retries": of.retries, "refusals": of.rejections,
                    "sessions_lost": of.sessions_lost, "older_protocol": of.older_protocol,
                    "voter_subjects": of.voter_subjects, "voter_sessions": of.voter_sessions,
                    "voter_full": of.voter_full}})
        });
        json!({"me": self.node.me().to_string(), "name": self.node.me().name.as_str(), "health": self.node.health(),
            "unheard": self.node.unreachable(), "facts": self.node.shared_state().len(), "peers": peers.collect::<Vec<_>>(),
            "leases": leases, "counts": {
                "sent": counts.sent, "sent_bytes": counts.sent_bytes, "heard": counts.received,
                "heard_bytes": counts.received_bytes, "odd_size": counts.wrong_size,
                "other_format": counts.unknown_format, "foreign": counts.foreign, "malformed": counts.malformed,
                "repeated": counts.repeated, "held_back": counts.rate_limited, "probes": counts.probes,
                "probes_failed": counts.probes_failed, "suspected": counts.suspected,
                "refuted": counts.refuted, "send_failures": self.send_failures}})
    }

    pub fn log(&self) {
        let stand = |standing| {
            self.node
                .members()
                .filter(|view| view.state == standing)
                .count()
        };
        log::info!(
            "peers: {} here, {} suspected, {} gone; health {}; {:?}",
            stand(MemberState::Alive),
            stand(MemberState::Suspect),
            stand(MemberState::Dead),
            self.node.health(),
            self.node.counts
        );
    }
}

const NO_VOTERS: &str = "there are no leases (peers.voters in the charter)";

/// The part of `peers.rate` that attaching and detaching subjects may take.
const UPDATE_SHARE: u32 = 2;

fn lease_config(peering: &PeersConfig) -> LeaseConfig {
    let names = |names: &[String]| names.iter().map(|name| name.as_str().into()).collect();
    let electorate = Electorate {
        generation: peering.generation,
        voters: names(&peering.voters),
        previous_voters: names(&peering.previous_voters),
    };
    LeaseConfig {
        electorate,
        term: peering.lease_duration,
        update_rate: peering.max_bytes_per_second / UPDATE_SHARE,
    }
}

fn refusal(reason: &Reason) -> String {
    match reason {
        Reason::Held { by } => format!("held by {by}"),
        Reason::HeldByAnother => "held by another relay".into(),
        Reason::Silent => "voters are silent after their start".into(),
        Reason::Generation { here } => format!("voters go by generation {here}"),
        Reason::AtCapacity => "voters hold as many leases as they may".into(),
        Reason::UnknownSession => "asked for anew: voters have restarted".into(),
        Reason::OlderProtocol => "voters speak an older lease protocol: upgrade them".into(),
    }
}
