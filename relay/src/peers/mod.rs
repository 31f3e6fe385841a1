//! The other relays: sockets and timers for `thistlecroft-peers` and `thistlecroft-leases`, which
//! decide without I/O.
mod commands;
mod socket;
mod view;

use crate::io_context::IoContext;
use crate::sockets::Sockets;
use crate::startup_config::PeersWithKey;
use crate::timers::{Clock, Timer};
use socket::{BoundSocket, PeerSocket};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use thistlecroft::time::{Duration, Instant};
use thistlecroft_leases::{ChangeError, Electorate, LeaseConfig, Leases};
use thistlecroft_operator_config::PeersConfig;
use thistlecroft_peers::wire::MAX_DATAGRAM_BYTES;
use thistlecroft_peers::{Event, Identity, MemberState, Node, NodeConfig, ProtocolTiming};

pub(crate) use commands::PeerCommandError;
pub(crate) use socket::AddressConflict;

/// Datagrams read from one socket in one turn.
const MAX_DATAGRAMS: usize = 64;
/// For so many periods after a change of address the former socket is read as well: the other relays
/// learn of the change one after the other.
const FORMER_SOCKET_PERIODS: f64 = 20.0;
/// The part of `peers.rate` that attaching and detaching subjects may take: one in so many.
const UPDATE_RATE_DIVISOR: u32 = 2;
/// Timers are at least so far ahead.
const MIN_TIMER_DELAY: Duration = Duration::from_millis(1);

/// This relay's part among the others.
pub(crate) struct Peers {
    socket: PeerSocket,
    /// The one before a change of address, and until when it is read.
    former_socket: Option<(PeerSocket, Instant)>,
    /// When to try for the configured address again, which the predecessor has: seeds lead there.
    rebind_at: Option<Instant>,
    node: Node,
    /// None where the operator configuration names no voters.
    leases: Option<Leases>,
    config: PeersConfig,
    /// The earliest timer that is set.
    timer_at: Option<Instant>,
    send_failures: u64,
    /// Read again within a turn, whose own time is too early once the process was paused.
    clock: Clock,
    /// Until when operators were answered that a lease is held here.
    confirmed_until: BTreeMap<Vec<u8>, Instant>,
}

impl Peers {
    /// # Errors
    /// The address is taken, or the system gives no socket.
    pub(crate) fn start(
        name: &str,
        PeersWithKey { config, key }: &PeersWithKey,
        on_conflict: AddressConflict,
        sockets: &mut Sockets,
        clock: Clock,
    ) -> io::Result<Peers> {
        let now = clock.now();
        let BoundSocket {
            socket,
            advertised,
            is_configured_address,
        } = PeerSocket::bind_configured(config, on_conflict, sockets)?;
        if !is_configured_address {
            log::info!(
                "peers: the predecessor has address={}; advertised={advertised} until it has ended",
                config.listen
            );
        }
        let me = Identity::new(name, random_u64()?);
        let terms = NodeConfig {
            fleet: config.fleet.clone(),
            secret: key.clone(),
            timing: ProtocolTiming {
                probe_interval: config.probe_interval,
            },
            max_bytes_per_second: config.max_bytes_per_second,
        };
        let seeds = config.seeds.clone();
        let node = Node::new(me.clone(), advertised, seeds, &terms, random_u64()?, now);
        let has_voters = !config.voters.is_empty();
        let leases = has_voters.then(|| Leases::new(me.clone(), lease_config(config), now));
        log::info!("peers: {me} of fleet {} at {advertised}", config.fleet);
        Ok(Peers {
            socket,
            former_socket: None,
            rebind_at: (!is_configured_address).then_some(now + config.probe_interval),
            node,
            leases,
            config: config.clone(),
            timer_at: None,
            send_failures: 0,
            clock,
            confirmed_until: BTreeMap::new(),
        })
    }

    /// Takes up a change of voters; any other change needs a restart.
    ///
    /// # Errors
    /// The step from one set of voters to the other is not allowed. Nothing has changed.
    pub(crate) fn reconfigure(&mut self, config: &PeersConfig) -> Result<(), ChangeError> {
        let has_voters = !config.voters.is_empty();
        if let Some(leases) = &mut self.leases
            && has_voters
        {
            leases.change(lease_config(config), self.clock.now())?;
        }
        let with_new_voters = PeersConfig {
            voters: config.voters.clone(),
            previous_voters: config.previous_voters.clone(),
            generation: config.generation,
            ..self.config.clone()
        };
        let turns_leases_on_or_off = self.leases.is_some() != has_voters;
        if with_new_voters != *config || turns_leases_on_or_off {
            log::warn!("changes of peers but for a change of voters need a restart");
        }
        if !turns_leases_on_or_off {
            self.config = with_new_voters;
        }
        Ok(())
    }

    pub(crate) fn handle_socket_event(&mut self, io: &mut IoContext) {
        let former = self.former_socket.iter().map(|(socket, _)| socket);
        for socket in std::iter::once(&self.socket).chain(former) {
            receive_datagrams(socket, &mut self.node, io.now);
        }
        self.send_and_schedule(io);
    }

    pub(crate) fn handle_timer(&mut self, io: &mut IoContext) {
        let now = io.now;
        self.timer_at.take_if(|at| *at <= now);
        if self.rebind_at.is_some_and(|at| at <= now) {
            self.rebind(io);
        }
        self.former_socket.take_if(|(_, until)| *until <= now);
        if self.node.due() <= now {
            self.node.tick(now);
        }
        if let Some(leases) = &mut self.leases
            && leases.due(now).is_some_and(|due| due <= now)
        {
            leases.tick(now);
        }
        self.send_and_schedule(io);
    }

    /// Takes the configured address once the predecessor has ended.
    fn rebind(&mut self, io: &mut IoContext) {
        match PeerSocket::bind(self.config.listen, &mut io.sockets) {
            Ok(socket) => {
                log::info!("peers: at {} from now on", self.config.advertise);
                let former = std::mem::replace(&mut self.socket, socket);
                let until = io.now + self.config.probe_interval * FORMER_SOCKET_PERIODS;
                self.former_socket = Some((former, until));
                self.rebind_at = None;
                self.node.move_to(self.config.advertise, io.now);
            }
            Err(_) => self.rebind_at = Some(io.now + self.config.probe_interval),
        }
    }

    /// Handles what the node has made of the datagrams, sends what is to be sent, and sets the next
    /// timer.
    fn send_and_schedule(&mut self, io: &mut IoContext) {
        // Read after the datagrams were: a voter's promise dated from a turn in which the process
        // was paused, for a request that came meanwhile, would end before the holder's right does.
        let now = self.clock.now();
        for event in self.node.take_events() {
            self.handle_node_event(event, now);
        }
        self.queue_lease_messages(now);
        self.send_datagrams();
        self.schedule(now, io);
    }

    fn schedule(&mut self, now: Instant, io: &mut IoContext) {
        let due = [
            self.leases.as_ref().and_then(|leases| leases.due(now)),
            self.rebind_at,
            self.former_socket.as_ref().map(|(_, until)| *until),
        ];
        let earliest = due
            .into_iter()
            .flatten()
            .fold(self.node.due(), Instant::min)
            .max(now + MIN_TIMER_DELAY);
        if self.timer_at.is_none_or(|at| earliest < at) {
            self.timer_at = Some(earliest);
            io.timers.set(earliest, Timer::Peers);
        }
    }

    fn queue_lease_messages(&mut self, now: Instant) {
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

    fn send_datagrams(&mut self) {
        for (to, bytes) in self.node.take_datagrams() {
            // A datagram that can't be sent is one that is lost.
            self.send_failures += u64::from(!self.socket.send(&bytes, to));
        }
    }

    fn handle_node_event(&mut self, event: Event, now: Instant) {
        match event {
            Event::MemberChanged { id, state } => log::info!("peers: {id} is {}", state.as_str()),
            Event::Refuted { incarnation } => {
                log::info!(
                    "peers: refuted that this relay is dead or suspect; incarnation={incarnation}"
                );
            }
            Event::UnknownFormat { from, format } => {
                log::warn!("peers: datagrams of format {format} from {from} are not read");
            }
            Event::Paused { duration } => {
                log::warn!(
                    "peers: this process stood still for {} ms",
                    duration.as_millis()
                );
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

    /// Announces that this relay leaves, and releases the leases that no operator was answered to be
    /// held here. Nothing is sent after.
    pub(crate) fn leave(&mut self, now: Instant) {
        if let Some(leases) = &mut self.leases {
            let confirmed_until = &self.confirmed_until;
            leases.leave(|subject| {
                let until = confirmed_until.get(subject);
                until.is_some_and(|until| *until > now)
            });
        }
        self.queue_lease_messages(now);
        self.node.leave(now);
        self.send_datagrams();
        self.socket.stop_receiving();
        self.former_socket = None;
        self.rebind_at = None;
    }

    /// Logs how many of the others are in which state.
    pub(crate) fn log_member_counts(&self) {
        let count = |state| {
            let members = self.node.members();
            members.filter(|member| member.state == state).count()
        };
        log::info!(
            "peers: {} here, {} suspected, {} gone; health {}; {:?}",
            count(MemberState::Alive),
            count(MemberState::Suspect),
            count(MemberState::Dead),
            self.node.health(),
            self.node.counts
        );
    }
}

fn receive_datagrams(socket: &PeerSocket, node: &mut Node, now: Instant) {
    let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
    for _ in 0..MAX_DATAGRAMS {
        match socket.receive(&mut bytes) {
            Ok((length, source)) => node.receive(&bytes[..length], source, now),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            // Nothing more, or an earlier datagram reached nobody, which health checks find out.
            Err(_) => break,
        }
    }
}

/// Drawn anew at each start, whatever the seed: that is how two processes are told apart.
fn random_u64() -> io::Result<u64> {
    getrandom::u64().map_err(io::Error::other)
}

fn lease_config(config: &PeersConfig) -> LeaseConfig {
    let names = |names: &[String]| names.iter().map(|name| name.as_str().into()).collect();
    LeaseConfig {
        electorate: Electorate {
            generation: config.generation,
            voters: names(&config.voters),
            previous_voters: names(&config.previous_voters),
        },
        term: config.lease_duration,
        update_rate: config.max_bytes_per_second / UPDATE_RATE_DIVISOR,
    }
}
