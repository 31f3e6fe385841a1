//! The reports of a node to its caller: events, counters and views of members.
use crate::identity::{Identity, MemberState};
use crate::shared_state::EntryKind;
use std::net::SocketAddr;
use thistlecroft::time::{Duration, Instant};

/// A change that a caller may act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member has changed its state.
    MemberChanged {
        /// The member.
        id: Identity,
        /// The new state of the member.
        state: MemberState,
    },
    /// Other processes regarded this one as suspect or dead, and it has refuted that.
    Refuted {
        /// The new incarnation of this process.
        incarnation: u32,
    },
    /// An entry of the shared state is new, has changed, or has expired.
    EntryChanged {
        /// The kind of the entry.
        kind: EntryKind,
        /// The subject of the entry.
        subject: Vec<u8>,
        /// The process that announced the entry.
        owner: Identity,
    },
    /// A message for a protocol above membership.
    Message {
        /// The sender.
        from: Identity,
        /// The channel, which identifies the protocol.
        channel: u8,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// Datagrams of another format arrive; reported once per address and format.
    UnknownFormat {
        /// The source address.
        from: SocketAddr,
        /// The number of the format.
        format: u8,
    },
    /// This process was paused, for example by its host.
    Paused {
        /// The duration of the pause.
        duration: Duration,
    },
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeCounts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams accepted.
    pub received: u64,
    /// Bytes of the datagrams accepted.
    pub received_bytes: u64,
    /// Rejected datagrams whose size is impossible.
    pub wrong_size: u64,
    /// Rejected datagrams of another format.
    pub unknown_format: u64,
    /// Rejected datagrams of another fleet or key, and altered ones.
    pub foreign: u64,
    /// Rejected datagrams that are authentic but can't be decoded.
    pub malformed: u64,
    /// Rejected datagrams that arrived before.
    pub repeated: u64,
    /// Datagrams not sent because of the rate limit, or because they were too long.
    pub rate_limited: u64,
    /// Probes started.
    pub probes: u64,
    /// Probes without an answer.
    pub probes_failed: u64,
    /// Members that became suspect.
    pub suspected: u64,
    /// Opinions about this process that it refuted.
    pub refuted: u64,
}

/// A member as this process sees it.
#[derive(Clone, Debug)]
pub struct MemberView<'a> {
    /// The member.
    pub id: &'a Identity,
    /// The address at which the member receives datagrams.
    pub address: SocketAddr,
    /// The state of the member.
    pub state: MemberState,
    /// The incarnation of the member.
    pub incarnation: u32,
    /// Since when the member has this state.
    pub since: Instant,
    /// When the last datagram of the member arrived.
    pub last_received: Option<Instant>,
}
