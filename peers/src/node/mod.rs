//! One process among its peers, as a state machine. Each call does work that is bounded by the size
//! of the fleet, and none blocks.
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

use crate::gossip::Gossip;
use crate::identity::{Identity, MemberRecord};
use crate::members::MemberList;
use crate::shared_state::{Entry, SharedState};
use crate::snapshots::Snapshots;
use crate::wire::{MAX_DATAGRAM_BYTES, Seal};
use crate::{NodeConfig, ProtocolTiming};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use thistlecroft::random::Rng;
use thistlecroft::time::Instant;

/// The worst own health. All timeouts for others are multiplied by the own health plus one.
const MAX_HEALTH: u32 = 8;
/// How many members are asked to ping one that does not answer.
const INDIRECT_PROBE_HELPERS: usize = 3;
/// How many members each round of gossip goes to.
const GOSSIP_FANOUT: usize = 3;
/// The time between rounds of gossip, in probe intervals.
const GOSSIP_INTERVAL: f64 = 0.5;
/// The time between comparisons of the whole state with another member, in probe intervals.
const SYNC_INTERVAL: f64 = 20.0;
/// The time between attempts to reach a seed or a dead member, in probe intervals.
const CONTACT_INTERVAL: f64 = 5.0;
/// The most pings that are made for others at once.
const MAX_INDIRECT_PROBES: usize = 32;
/// The part of the send budget that only probes and their answers may use.
const RESERVED_SHARE: f64 = 0.25;
/// The bytes of a datagram for records and entries; the rest is left for its own fields.
const MAX_PAYLOAD_BYTES: usize = MAX_DATAGRAM_BYTES - 200;
/// The bytes that a record or an entry is estimated at, apart from its names and values.
const RECORD_OVERHEAD_BYTES: usize = 34;

/// The current probe of a member.
#[derive(Clone, Debug)]
struct Probe {
    number: u32,
    target: Identity,
    /// When others are asked to ping the target.
    indirect_at: Instant,
    ends: Instant,
    helpers: u32,
    nacks: u32,
    is_indirect: bool,
    is_answered: bool,
}

/// A ping made for another member.
#[derive(Clone, Debug)]
struct IndirectProbe {
    requester: Identity,
    requester_at: SocketAddr,
    /// The requester's number of the probe.
    probe: u32,
    until: Instant,
}

/// One process among its peers.
#[derive(Clone, Debug)]
pub struct Node {
    me: Identity,
    address: SocketAddr,
    seeds: Vec<SocketAddr>,
    seal: Seal,
    timing: ProtocolTiming,
    rate: u32,
    rng: Rng,
    incarnation: u32,
    serial: u64,
    health: u32,
    left: bool,
    members: MemberList,
    gossip: Gossip,
    shared_state: SharedState,
    snapshots: Snapshots,
    probe: Option<Probe>,
    indirect_probes: BTreeMap<u32, IndirectProbe>,
    last_probe_number: u32,
    /// The members to probe, the last one first. Shuffled anew when it is empty.
    probe_queue: Vec<Identity>,
    next_probe: Instant,
    next_gossip: Instant,
    next_sync: Instant,
    next_contact: Instant,
    /// Bytes that could be sent at `budget_refilled_at`.
    send_budget: f64,
    budget_refilled_at: Instant,
    last_tick: Instant,
    /// Sources of datagrams of another format, with the format.
    unknown_formats: Vec<(SocketAddr, u8)>,
    outgoing: Vec<(SocketAddr, Vec<u8>)>,
    events: Vec<Event>,
    /// Counters since the start.
    pub counts: NodeCounts,
}

impl Node {
    /// A process that has just started. Others reach it at `at`. It joins the fleet through the
    /// relays at `seeds`, of which its own address is ignored.
    pub fn new(
        me: Identity,
        address: SocketAddr,
        seeds: Vec<SocketAddr>,
        config: &NodeConfig,
        seed: u64,
        now: Instant,
    ) -> Node {
        let mut rng = Rng::from_seed(seed);
        // Relays that start together must not probe in lockstep.
        let first = now + config.timing.probe_interval * rng.unit_f64();
        Node {
            me,
            address,
            seeds: seeds.into_iter().filter(|seed| *seed != address).collect(),
            seal: Seal::new(&config.secret, &config.fleet),
            timing: config.timing,
            rate: config.max_bytes_per_second,
            rng,
            incarnation: 0,
            serial: 0,
            health: 0,
            left: false,
            members: MemberList::default(),
            gossip: Gossip::default(),
            shared_state: SharedState::new(config.timing.probe_interval),
            snapshots: Snapshots::default(),
            probe: None,
            indirect_probes: BTreeMap::new(),
            last_probe_number: 0,
            probe_queue: Vec::new(),
            next_probe: first,
            next_gossip: first,
            next_sync: first + config.timing.probe_interval * SYNC_INTERVAL,
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

/// The estimated size of a record on the wire.
fn member_bytes(record: &MemberRecord) -> usize {
    RECORD_OVERHEAD_BYTES
        + record.id.name.len()
        + record.accuser.as_ref().map_or(0, |id| id.name.len() + 11)
}

/// The estimated size of an entry on the wire.
fn entry_bytes(entry: &Entry) -> usize {
    RECORD_OVERHEAD_BYTES + entry.owner.name.len() + entry.subject.len() + entry.value.len()
}

fn change_health(health: &mut u32, by: i32) {
    *health = health.saturating_add_signed(by).min(MAX_HEALTH);
}
