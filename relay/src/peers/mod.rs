//! Communication with peers: sockets and timers for the protocols of `thistlecroft-peers` and
//! `thistlecroft-leases`, which perform no I/O themselves.
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

/// Maximum number of datagrams read from a socket in one turn of the event loop.
const MAX_DATAGRAMS_PER_TURN: usize = 64;
/// After a change of address, the former socket is still read for this many probe intervals, since
/// peers learn of the change one after another.
const FORMER_SOCKET_PERIODS: f64 = 20.0;
/// Attaching and detaching subjects may take `peers.rate` divided by this.
const UPDATE_RATE_DIVISOR: u32 = 2;
/// Minimum delay of a timer.
const MIN_TIMER_DELAY: Duration = Duration::from_millis(1);

/// This relay as a member of its fleet.
pub(crate) struct Peers {
    socket: PeerSocket,
    /// The socket from before a change of address, and the time until which it is read.
    former_socket: Option<(PeerSocket, Instant)>,
    /// When to try again to bind the configured address while the predecessor holds it. Relays that
    /// have it among their seeds expect this relay there.
    rebind_at: Option<Instant>,
    node: Node,
    /// `None` if the operator configuration names no voters.
    leases: Option<Leases>,
    config: PeersConfig,
    /// When the earliest timer fires.
    timer_at: Option<Instant>,
    send_failures: u64,
    /// Read again within a turn of the event loop, since the turn's time is too early if the
    /// process was paused.
    clock: Clock,
    /// By subject, the time until which operators were told that this relay holds the lease.
    confirmed_until: BTreeMap<Vec<u8>, Instant>,
}

impl Peers {
    /// Binds the socket, and joins the fleet.
    ///
    /// # Errors
    /// Returns an error if the address is in use, or if the system can't provide a socket.
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
                "peers: the predecessor holds the address; configured={} advertised={advertised}",
                config.listen
            );
        }
        let me = Identity::new(name, random_u64()?);
        let node_config = NodeConfig {
            fleet: config.fleet.clone(),
            secret: key.clone(),
            timing: ProtocolTiming {
                probe_interval: config.probe_interval,
            },
            max_bytes_per_second: config.max_bytes_per_second,
        };
        let seeds = config.seeds.clone();
        let node = Node::new(
            me.clone(),
            advertised,
            seeds,
            &node_config,
            random_u64()?,
            now,
        );
        let has_voters = !config.voters.is_empty();
        let leases = has_voters.then(|| Leases::new(me.clone(), lease_config(config), now));
        log::info!(
            "peers: joining the fleet; relay={me} fleet={} advertised={advertised}",
            config.fleet
        );
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

    /// Applies a change of voters. Any other change needs a restart.
    ///
    /// # Errors
    /// Returns an error if the step from the present voters to the new ones is not allowed. Nothing
    /// has changed then.
    pub(crate) fn reconfigure(&mut self, config: &PeersConfig) -> Result<(), ChangeError> {
        let has_voters = !config.voters.is_empty();
        if let Some(leases) = &mut self.leases
            && has_voters
        {
            leases.change_config(lease_config(config), self.clock.now())?;
        }
        let with_new_voters = PeersConfig {
            voters: config.voters.clone(),
            previous_voters: config.previous_voters.clone(),
            generation: config.generation,
            ..self.config.clone()
        };
        let turns_leases_on_or_off = self.leases.is_some() != has_voters;
        if with_new_voters != *config || turns_leases_on_or_off {
            log::warn!("peers: only a change of voters is applied, other changes need a restart");
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

    /// Binds the configured address if the predecessor has released it, or else tries again later.
    fn rebind(&mut self, io: &mut IoContext) {
        match PeerSocket::bind(self.config.listen, &mut io.sockets) {
            Ok(socket) => {
                log::info!(
                    "peers: the configured address is bound; advertised={}",
                    self.config.advertise
                );
                let former = std::mem::replace(&mut self.socket, socket);
                let until = io.now + self.config.probe_interval * FORMER_SOCKET_PERIODS;
                self.former_socket = Some((former, until));
                self.rebind_at = None;
                self.node.change_address(self.config.advertise, io.now);
            }
            Err(_) => self.rebind_at = Some(io.now + self.config.probe_interval),
        }
    }

    /// Handles the events of the node, sends pending messages, and sets the next timer.
    fn send_and_schedule(&mut self, io: &mut IoContext) {
        // The clock is read after the datagrams. If the process was paused in this turn and a
        // request for a lease arrived meanwhile, a voter's promise dated from the start of the turn
        // would end before the holder's lease does.
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
            // A datagram that can't be sent is treated like one that the network loses.
            self.send_failures += u64::from(!self.socket.send(&bytes, to));
        }
    }

    fn handle_node_event(&mut self, event: Event, now: Instant) {
        match event {
            Event::MemberChanged { id, state } => log::info!(
                "peers: a peer changed its state; peer={id} state={}",
                state.as_str()
            ),
            Event::Refuted { incarnation } => {
                log::info!(
                    "peers: refuted a report that this relay is dead or suspect; incarnation={incarnation}"
                );
            }
            Event::UnknownFormat { from, format } => {
                log::warn!(
                    "peers: ignoring datagrams of an unknown format; format={format} from={from}"
                );
            }
            Event::Paused { duration } => {
                log::warn!(
                    "peers: this process was paused; duration_ms={}",
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

    /// Announces that this relay leaves the fleet, and releases its leases, except those that
    /// operators were told it still holds. Nothing is sent afterwards.
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

    /// Logs the number of peers in each state, and the counters of the protocol.
    pub(crate) fn log_member_counts(&self) {
        let count = |state| {
            let members = self.node.members();
            members.filter(|member| member.state == state).count()
        };
        log::info!(
            "peers: here={} suspected={} gone={} health={}; {:?}",
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
    for _ in 0..MAX_DATAGRAMS_PER_TURN {
        match socket.receive(&mut bytes) {
            Ok((length, source)) => node.receive(&bytes[..length], source, now),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            // No more datagrams, or a report that an earlier one reached nobody, which probes
            // detect.
            Err(_) => break,
        }
    }
}

/// Returns a random number that differs at each start, even with the same seed: it tells processes
/// of the same name apart.
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
