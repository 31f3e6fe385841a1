//! A node: one process among its peers, as a state machine. No call blocks, and the work of each is
//! bounded by the size of the fleet and of the shared state.
mod commands;
mod events;
mod probing;
mod queries;
mod receiving;
mod sending;
mod sync;
mod ticking;

pub use events::{Event, MemberView, NodeCounts};

use sending::Priority;

use crate::gossip::GossipQueue;
use crate::identity::{Identity, MemberRecord};
use crate::members::MemberList;
use crate::shared_state::{Entry, SharedState};
use crate::snapshots::Snapshots;
use crate::wire::{DatagramCodec, MAX_DATAGRAM_BYTES};
use crate::{NodeConfig, ProtocolTiming};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use thistlecroft::random::Rng;
use thistlecroft::time::Instant;

/// The worst health of this process. Timeouts of probes are multiplied by the health plus one.
const MAX_HEALTH: u32 = 8;
/// How many members are asked to ping a member that does not answer.
const INDIRECT_PROBE_HELPERS: usize = 3;
/// How many members gossip is sent to in each round.
const GOSSIP_FANOUT: usize = 3;
/// The time between rounds of gossip, in probe intervals.
const GOSSIP_INTERVAL: f64 = 0.5;
/// The time between comparisons of the whole state with another member, in probe intervals.
const SYNC_INTERVAL: f64 = 20.0;
/// The time between attempts to reach a seed or a dead member, in probe intervals.
const CONTACT_INTERVAL: f64 = 5.0;
/// The most pings for other members that are pending at once.
const MAX_INDIRECT_PROBES: usize = 32;
/// The share of the send budget that is reserved for urgent datagrams: probes, their answers and
/// messages of other protocols.
const RESERVED_SHARE: f64 = 0.25;
/// The most bytes of records and entries in a datagram. The remaining bytes are for its own fields.
const MAX_PAYLOAD_BYTES: usize = MAX_DATAGRAM_BYTES - 200;
/// The estimated bytes of a record or an entry without its names, subject and value.
const RECORD_OVERHEAD_BYTES: usize = 34;

/// The current probe of a member.
#[derive(Clone, Debug)]
struct Probe {
    number: u32,
    target: Identity,
    /// When other members are asked to ping the target.
    indirect_at: Instant,
    /// When the probe fails.
    deadline: Instant,
    /// The number of members that were asked to ping the target.
    helper_count: u32,
    /// The number of them that got no answer from the target either.
    nack_count: u32,
    /// Whether other members were asked to ping the target.
    is_indirect: bool,
    is_answered: bool,
}

/// A ping that this process makes for another member.
#[derive(Clone, Debug)]
struct IndirectProbe {
    requester: Identity,
    requester_at: SocketAddr,
    /// The requester's number of the probe.
    probe: u32,
    /// When the requester is notified that the target has not answered.
    until: Instant,
}

/// One process among its peers.
#[derive(Clone, Debug)]
pub struct Node {
    identity: Identity,
    address: SocketAddr,
    seeds: Vec<SocketAddr>,
    codec: DatagramCodec,
    timing: ProtocolTiming,
    max_bytes_per_second: u32,
    rng: Rng,
    incarnation: u32,
    /// The serial number of the last datagram sent.
    serial: u64,
    /// 0 is best, [`MAX_HEALTH`] worst.
    health: u32,
    /// Whether this process has announced its shutdown.
    has_left: bool,
    members: MemberList,
    gossip: GossipQueue,
    shared_state: SharedState,
    snapshots: Snapshots,
    probe: Option<Probe>,
    indirect_probes: BTreeMap<u32, IndirectProbe>,
    last_probe_number: u32,
    /// The members still to probe in this round; the next one is at the end. When the queue is
    /// empty, it is filled with all live members in random order.
    probe_queue: Vec<Identity>,
    next_probe: Instant,
    next_gossip: Instant,
    next_sync: Instant,
    next_contact: Instant,
    /// The bytes that could be sent at `budget_refilled_at`.
    send_budget: f64,
    budget_refilled_at: Instant,
    last_tick: Instant,
    /// The source addresses of datagrams of another format, with the format.
    unknown_formats: Vec<(SocketAddr, u8)>,
    outgoing: Vec<(SocketAddr, Vec<u8>)>,
    events: Vec<Event>,
    /// Counters since the start.
    pub counts: NodeCounts,
}

impl Node {
    /// Creates the node of a process that has just started and that others reach at `address`. It
    /// joins the fleet through the relays at `seeds`, among which its own address is ignored.
    /// `seed` seeds the random numbers.
    pub fn new(
        identity: Identity,
        address: SocketAddr,
        seeds: Vec<SocketAddr>,
        config: &NodeConfig,
        seed: u64,
        now: Instant,
    ) -> Node {
        let mut rng = Rng::from_seed(seed);
        // A random delay, so that relays that start together do not probe at the same moments.
        let first_round = now + config.timing.probe_interval * rng.unit_f64();
        Node {
            identity,
            address,
            seeds: seeds.into_iter().filter(|seed| *seed != address).collect(),
            codec: DatagramCodec::new(&config.secret, &config.fleet),
            timing: config.timing,
            max_bytes_per_second: config.max_bytes_per_second,
            rng,
            incarnation: 0,
            serial: 0,
            health: 0,
            has_left: false,
            members: MemberList::default(),
            gossip: GossipQueue::default(),
            shared_state: SharedState::new(config.timing.probe_interval),
            snapshots: Snapshots::default(),
            probe: None,
            indirect_probes: BTreeMap::new(),
            last_probe_number: 0,
            probe_queue: Vec::new(),
            next_probe: first_round,
            next_gossip: first_round,
            next_sync: first_round + config.timing.probe_interval * SYNC_INTERVAL,
            next_contact: now,
            send_budget: f64::from(config.max_bytes_per_second),
            budget_refilled_at: now,
            last_tick: now,
            unknown_formats: Vec::new(),
            outgoing: Vec::new(),
            events: Vec::new(),
            counts: NodeCounts::default(),
        }
    }
}

/// Returns the estimated size of an encoded record in bytes.
fn member_bytes(record: &MemberRecord) -> usize {
    RECORD_OVERHEAD_BYTES
        + record.id.name.len()
        + record.accuser.as_ref().map_or(0, |id| id.name.len() + 11)
}

/// Returns the estimated size of an encoded entry in bytes.
fn entry_bytes(entry: &Entry) -> usize {
    RECORD_OVERHEAD_BYTES + entry.owner.name.len() + entry.subject.len() + entry.value.len()
}

/// Changes a health value by this amount, within 0 and [`MAX_HEALTH`].
fn change_health(health: &mut u32, by: i32) {
    *health = health.saturating_add_signed(by).min(MAX_HEALTH);
}
