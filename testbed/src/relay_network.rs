//! The network between relays, for their datagrams: one address a relay at which the others reach
//! it, and a fault for each directed pair. A relay's datagrams come from its own socket, so that
//! who speaks to whom is seen here.
use crate::clock::Stopwatch;
use crate::event_loop::{EventHandler, EventLoop, LoopContext};
use crate::event_recorder::{EventRecorder, Observation, RelayIndex};
use crate::link_fault::LinkFault;
use polling::{Event, PollMode};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::os::fd::AsFd;
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};

/// Datagrams read at once.
const DATAGRAMS: usize = 256;

/// Both ends of a relay's way to the others.
#[derive(Clone, Copy, Debug)]
pub struct PeerAddress {
    /// Where the others reach it: a socket of this network.
    pub public: SocketAddr,
    /// Where it listens itself.
    pub own: SocketAddr,
}

pub enum NetworkCommand {
    /// From whom to whom, and how; none is as at first.
    SetLinkFault(
        Vec<(RelayIndex, RelayIndex)>,
        Option<LinkFault>,
        &'static str,
    ),
}

/// What passed and what did not, over all links.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NetworkTotals {
    pub passed: u64,
    pub bytes: u64,
    pub lost: u64,
    /// From nobody that is known here.
    pub unknown_source: u64,
}

pub struct RelayNetwork {
    sockets: Vec<UdpSocket>,
    ways: Vec<PeerAddress>,
    by_source: BTreeMap<SocketAddr, usize>,
    link_faults: BTreeMap<(usize, usize), LinkFault>,
    /// What a link's rate still allows, and as of when.
    allowed: BTreeMap<(usize, usize), (f64, Instant)>,
    chance: Rng,
    sums: NetworkTotals,
}

pub struct Delivery {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

pub struct OpenedNetwork {
    pub event_loop: EventLoop<RelayNetwork>,
    pub addresses: Vec<PeerAddress>,
}

impl RelayNetwork {
    /// For so many relays.
    ///
    /// # Errors
    /// Where the system gives no socket or thread.
    pub fn open(
        relays: usize,
        seed: u64,
        clock: Stopwatch,
        tape: EventRecorder,
    ) -> io::Result<OpenedNetwork> {
        let mut sockets = Vec::new();
        let mut ways = Vec::new();
        // Held until all are found, so that no two are the same.
        let mut held = Vec::new();
        for number in 0..relays {
            let [.., high, low] = (number as u32 + 1).to_be_bytes();
            let ip = Ipv4Addr::new(127, 70 + (std::process::id() % 50) as u8, high, low);
            let (public, own) = (UdpSocket::bind((ip, 0))?, UdpSocket::bind((ip, 0))?);
            public.set_nonblocking(true)?;
            ways.push(PeerAddress {
                public: public.local_addr()?,
                own: own.local_addr()?,
            });
            sockets.push(public);
            held.push(own);
        }
        drop(held);
        let by_source = ways
            .iter()
            .enumerate()
            .map(|(number, way)| (way.own, number))
            .collect();
        let of = ways.clone();
        let stage = EventLoop::open("network", clock, tape, move |works| {
            for (number, socket) in sockets.iter().enumerate() {
                // SAFETY: the sockets live as long as the play, and the poller is dropped with it.
                unsafe {
                    works
                        .poller
                        .add_with_mode(socket, Event::readable(number), PollMode::Level)?
                };
            }
            Ok(RelayNetwork {
                sockets,
                ways: of,
                by_source,
                link_faults: BTreeMap::new(),
                allowed: BTreeMap::new(),
                chance: Rng::from_seed(seed),
                sums: NetworkTotals::default(),
            })
        })?;
        Ok(OpenedNetwork {
            event_loop: stage,
            addresses: ways,
        })
    }

    fn allows(&mut self, link: (usize, usize), rate: u64, bytes: usize, now: Instant) -> bool {
        if rate == 0 {
            return true;
        }
        let rate = rate as f64;
        let (left, at) = self.allowed.get(&link).copied().unwrap_or((rate, now));
        let left = (left + rate * now.duration_since(at).as_secs_f64()).min(rate);
        let fits = left >= bytes as f64;
        let left = if fits { left - bytes as f64 } else { left };
        self.allowed.insert(link, (left, now));
        fits
    }

    fn deliver(&mut self, one: &Delivery) {
        self.sums.passed += 1;
        self.sums.bytes += one.bytes.len() as u64;
        // A relay that does not run now does not hear it.
        let _ = self.sockets[one.from].send_to(&one.bytes, self.ways[one.to].own);
    }
}

impl EventHandler for RelayNetwork {
    type Timer = Delivery;
    type Command = NetworkCommand;
    type Totals = NetworkTotals;

    fn on_ready(&mut self, to: usize, _writable: bool, works: &mut LoopContext<Delivery>) {
        let mut bytes = [0; 2_048];
        for _ in 0..DATAGRAMS {
            let Some((length, source)) = self
                .sockets
                .get(to)
                .and_then(|socket| socket.recv_from(&mut bytes).ok())
            else {
                return;
            };
            // The next process of a relay sends from another port of its address.
            let by_address = || self.ways.iter().position(|way| way.own.ip() == source.ip());
            let Some(from) = self.by_source.get(&source).copied().or_else(by_address) else {
                self.sums.unknown_source += 1;
                continue;
            };
            let fault = self
                .link_faults
                .get(&(from, to))
                .copied()
                .unwrap_or_default();
            let allowed = self.allows((from, to), fault.bytes_per_second, length, works.now);
            let passes = if allowed {
                fault.passes(&mut self.chance)
            } else {
                Vec::new()
            };
            self.sums.lost += u64::from(passes.is_empty());
            for after in passes {
                let one = Delivery {
                    from,
                    to,
                    bytes: bytes[..length].to_vec(),
                };
                if after == Duration::ZERO {
                    self.deliver(&one);
                } else {
                    works.set_timer(works.now + after, one);
                }
            }
        }
    }

    fn on_timer(&mut self, one: Delivery, _works: &mut LoopContext<Delivery>) {
        self.deliver(&one);
    }

    fn on_command(&mut self, cue: NetworkCommand, works: &mut LoopContext<Delivery>) {
        let NetworkCommand::SetLinkFault(links, fault, name) = cue;
        for (from, to) in links {
            let link = (usize::from(from.0), usize::from(to.0));
            match fault {
                Some(fault) => drop(self.link_faults.insert(link, fault)),
                None => drop(self.link_faults.remove(&link)),
            }
            works.record(Observation::LinkFault {
                from,
                to,
                name,
                active: fault.is_some(),
            });
        }
    }

    fn into_totals(self, works: &LoopContext<Delivery>) -> NetworkTotals {
        for socket in &self.sockets {
            let _ = works.poller.delete(socket.as_fd());
        }
        self.sums
    }
}
