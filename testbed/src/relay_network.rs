//! The network that forwards datagrams between relays, with faults for each directed link. Each
//! relay has a public address, to which the other relays send. The network identifies the sender of
//! a datagram by its source address.
use crate::clock::Stopwatch;
use crate::event_loop::{EventHandler, EventLoop, LoopContext};
use crate::event_recorder::{EventRecorder, Observation, RelayIndex};
use crate::link_fault::LinkFault;
use crate::loopback::free_datagram_address;
use polling::{Event, PollMode};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::os::fd::AsFd;
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};

const MAX_DATAGRAMS_PER_EVENT: usize = 256;
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// The addresses at which a relay gets datagrams.
#[derive(Clone, Copy, Debug)]
pub struct PeerAddress {
    /// The address to which other relays send: a socket of this network.
    pub public: SocketAddr,
    /// The address to which the relay binds its socket.
    pub bind: SocketAddr,
}

/// A command to the network during a run.
pub enum NetworkCommand {
    /// Sets the fault of these links (sender and receiver); `None` clears it. The last value is the
    /// name of the fault in recorded events.
    SetLinkFault(
        Vec<(RelayIndex, RelayIndex)>,
        Option<LinkFault>,
        &'static str,
    ),
}

/// Totals of the datagrams on all links.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NetworkTotals {
    /// Datagrams that were delivered, with duplicates.
    pub delivered: u64,
    /// Bytes of the delivered datagrams.
    pub bytes: u64,
    /// Datagrams that were lost.
    pub lost: u64,
    /// Datagrams from an address that belongs to no relay.
    pub unknown_source: u64,
}

/// A directed link, identified by the indices of its sender and receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Link {
    from: usize,
    to: usize,
}

/// The token bucket that limits the rate of a link; it holds at most one second's bytes.
struct RateAllowance {
    bytes: f64,
    updated_at: Instant,
}

/// The network between relays, as an event handler.
pub struct RelayNetwork {
    /// The public sockets, by relay index.
    sockets: Vec<UdpSocket>,
    addresses: Vec<PeerAddress>,
    /// The relay index of each address to which a relay binds its socket.
    relay_of_source: BTreeMap<SocketAddr, usize>,
    link_faults: BTreeMap<Link, LinkFault>,
    allowances: BTreeMap<Link, RateAllowance>,
    rng: Rng,
    totals: NetworkTotals,
}

/// A datagram to be delivered over a link.
pub struct Delivery {
    link: Link,
    bytes: Vec<u8>,
}

/// The network, running on its own thread, and the addresses of its relays.
pub struct OpenedNetwork {
    /// The event loop, which takes commands and returns the totals.
    pub event_loop: EventLoop<RelayNetwork>,
    /// The addresses of the relays, by relay index.
    pub addresses: Vec<PeerAddress>,
}

impl RelayNetwork {
    /// Opens a network for this number of relays.
    ///
    /// # Errors
    /// Returns an error if a socket, the poller or the thread can't be created.
    pub fn open(
        relays: usize,
        seed: u64,
        clock: Stopwatch,
        recorder: EventRecorder,
    ) -> io::Result<OpenedNetwork> {
        let mut sockets = Vec::new();
        let mut addresses = Vec::new();
        for index in 0..relays {
            let ip = loopback_address(index);
            let public = UdpSocket::bind((ip, 0))?;
            public.set_nonblocking(true)?;
            addresses.push(PeerAddress {
                public: public.local_addr()?,
                bind: free_datagram_address()?,
            });
            sockets.push(public);
        }
        let network = RelayNetwork {
            sockets,
            addresses: addresses.clone(),
            relay_of_source: (0..)
                .zip(&addresses)
                .map(|(index, address)| (address.bind, index))
                .collect(),
            link_faults: BTreeMap::new(),
            allowances: BTreeMap::new(),
            rng: Rng::from_seed(seed),
            totals: NetworkTotals::default(),
        };
        let event_loop = EventLoop::open("network", clock, recorder, move |context| {
            network.register_sockets(context)?;
            Ok(network)
        })?;
        Ok(OpenedNetwork {
            event_loop,
            addresses,
        })
    }

    fn register_sockets(&self, context: &LoopContext<Delivery>) -> io::Result<()> {
        for (index, socket) in self.sockets.iter().enumerate() {
            let event = Event::readable(index);
            // SAFETY: the sockets live as long as `self`, and are deleted from the poller before
            // they are closed, or closed with it.
            unsafe {
                context
                    .poller
                    .add_with_mode(socket, event, PollMode::Level)?;
            }
        }
        Ok(())
    }

    /// Returns the index of the relay that sends from this address.
    fn relay_of(&self, source: SocketAddr) -> Option<usize> {
        // The next process of a relay sends from another port of the same IP address.
        let by_ip = || {
            self.addresses
                .iter()
                .position(|address| address.bind.ip() == source.ip())
        };
        self.relay_of_source.get(&source).copied().or_else(by_ip)
    }

    /// Returns whether the rate of a link allows this number of bytes now, and if so subtracts them
    /// from its allowance.
    fn consume_allowance(&mut self, link: Link, rate: u64, bytes: usize, now: Instant) -> bool {
        if rate == 0 {
            return true;
        }
        let (rate, bytes) = (rate as f64, bytes as f64);
        let allowance = self.allowances.entry(link).or_insert(RateAllowance {
            bytes: rate,
            updated_at: now,
        });
        let elapsed = now.duration_since(allowance.updated_at).as_secs_f64();
        allowance.bytes = (allowance.bytes + rate * elapsed).min(rate);
        allowance.updated_at = now;
        let is_allowed = allowance.bytes >= bytes;
        if is_allowed {
            allowance.bytes -= bytes;
        }
        is_allowed
    }

    /// Delivers a datagram now or later, or loses it, as the fault of its link demands.
    fn on_datagram(&mut self, link: Link, bytes: &[u8], context: &mut LoopContext<Delivery>) {
        let fault = self.link_faults.get(&link).copied().unwrap_or_default();
        let rate = fault.bytes_per_second;
        let delays = if self.consume_allowance(link, rate, bytes.len(), context.now) {
            fault.delays(&mut self.rng)
        } else {
            Vec::new()
        };
        self.totals.lost += u64::from(delays.is_empty());
        for delay in delays {
            let delivery = Delivery {
                link,
                bytes: bytes.to_vec(),
            };
            if delay == Duration::ZERO {
                self.deliver(&delivery);
            } else {
                context.set_timer(context.now + delay, delivery);
            }
        }
    }

    fn deliver(&mut self, delivery: &Delivery) {
        self.totals.delivered += 1;
        self.totals.bytes += delivery.bytes.len() as u64;
        let Link { from, to } = delivery.link;
        // The error is ignored: a relay that isn't running doesn't get the datagram.
        let _ = self.sockets[from].send_to(&delivery.bytes, self.addresses[to].bind);
    }
}

impl EventHandler for RelayNetwork {
    type Timer = Delivery;
    type Command = NetworkCommand;
    type Totals = NetworkTotals;

    fn on_ready(&mut self, to: usize, _writable: bool, context: &mut LoopContext<Delivery>) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..MAX_DATAGRAMS_PER_EVENT {
            let Some((length, source)) = self
                .sockets
                .get(to)
                .and_then(|socket| socket.recv_from(&mut bytes).ok())
            else {
                return;
            };
            match self.relay_of(source) {
                Some(from) => self.on_datagram(Link { from, to }, &bytes[..length], context),
                None => self.totals.unknown_source += 1,
            }
        }
    }

    fn on_timer(&mut self, delivery: Delivery, _context: &mut LoopContext<Delivery>) {
        self.deliver(&delivery);
    }

    fn on_command(&mut self, command: NetworkCommand, context: &mut LoopContext<Delivery>) {
        let NetworkCommand::SetLinkFault(links, fault, name) = command;
        for (from, to) in links {
            let link = Link {
                from: usize::from(from.0),
                to: usize::from(to.0),
            };
            match fault {
                Some(fault) => drop(self.link_faults.insert(link, fault)),
                None => drop(self.link_faults.remove(&link)),
            }
            context.record(Observation::LinkFault {
                from,
                to,
                name,
                active: fault.is_some(),
            });
        }
    }

    fn into_totals(self, context: &LoopContext<Delivery>) -> NetworkTotals {
        for socket in &self.sockets {
            let _ = context.poller.delete(socket.as_fd());
        }
        self.totals
    }
}

/// Returns the loopback address for a relay, which in most cases differs from those of concurrent
/// runs.
fn loopback_address(index: usize) -> Ipv4Addr {
    let [.., high, low] = (index as u32 + 1).to_be_bytes();
    Ipv4Addr::new(127, 70 + (std::process::id() % 50) as u8, high, low)
}
