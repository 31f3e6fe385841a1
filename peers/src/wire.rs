//! Datagrams and their encoding: one byte for the format, the content in `postcard`, and a keyed
//! hash.
use crate::identity::{Identity, MAX_NAME_BYTES, MemberRecord};
use crate::shared_state::Entry;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The number of the format, which is incremented with every change of [`Datagram`].
pub const FORMAT: u8 = 1;
/// The longest datagram, in bytes. Datagrams of this size pass every common link without
/// fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// The length of the truncated keyed hash in a datagram, in bytes.
const TAG_BYTES: usize = 16;

/// A datagram. The order of fields and variants defines the encoding.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender.
    pub from: Identity,
    /// The address at which the sender receives datagrams.
    pub address: SocketAddr,
    /// The sender's incarnation.
    pub incarnation: u32,
    /// The serial number, which grows with each datagram of a process. A receiver rejects one that
    /// it has seen.
    pub serial: u64,
    /// The purpose of the datagram.
    pub body: Body,
    /// Opinions about members.
    pub members: Vec<MemberRecord>,
    /// Entries of the shared state.
    pub entries: Vec<Entry>,
}

/// The purpose of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// Asks a process for a [`Body::Ack`].
    Ping {
        /// The sender's number of the probe.
        probe: u32,
        /// The process to ping.
        to: Identity,
    },
    /// Asks the receiver to ping a target.
    IndirectPing {
        /// The sender's number of the probe.
        probe: u32,
        /// The process to ping.
        target: Identity,
        /// The address of the target.
        address: SocketAddr,
    },
    /// The sender was pinged, or the target of an indirect ping has acknowledged it.
    Ack {
        /// The number of the probe.
        probe: u32,
    },
    /// The target of an indirect ping has not answered the helper either.
    Nack {
        /// The number of the probe.
        probe: u32,
    },
    /// The pinged address belongs to another process than the one named in the ping.
    WrongTarget {
        /// The number of the probe.
        probe: u32,
    },
    /// Nothing but the records and entries of the datagram.
    Gossip,
    /// Asks for a snapshot, unless the receiver has the same digest.
    SyncRequest {
        /// The digest of everything that the sender knows.
        digest: u64,
    },
    /// The sender has the same digest as the receiver sent in a [`Body::SyncRequest`].
    InSync,
    /// A part of a snapshot, in the records and entries of the datagram.
    Chunk {
        /// The sender's number of the snapshot.
        exchange: u32,
        /// The index of the chunk.
        index: u16,
        /// The number of chunks.
        chunk_count: u16,
        /// Whether the receiver is asked for its own snapshot.
        reply_requested: bool,
    },
    /// Asks for chunks that did not arrive.
    Missing {
        /// The receiver's number of the snapshot.
        exchange: u32,
        /// The indices of the chunks.
        indices: Vec<u16>,
    },
    /// A message of a protocol above membership.
    Message {
        /// The channel, which identifies the protocol.
        channel: u8,
        /// The encoded message.
        bytes: Vec<u8>,
    },
}

/// Why a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The bytes are too short or too long.
    Size,
    /// The datagram has this other format.
    Format(u8),
    /// The datagram belongs to another fleet or key, or was altered in transit.
    Foreign,
    /// The datagram is authentic but can't be decoded.
    Malformed,
}

/// Encodes and authenticates the datagrams of one fleet.
#[derive(Clone, Debug)]
pub struct DatagramCodec {
    key: [u8; 32],
}

impl DatagramCodec {
    /// Creates the codec of a fleet with this key and name.
    pub fn new(secret: &[u8], fleet: &str) -> DatagramCodec {
        let mut all = fleet.as_bytes().to_vec();
        all.push(0);
        all.extend_from_slice(secret);
        DatagramCodec {
            key: blake3::derive_key("thistlecroft peers, datagrams", &all),
        }
    }

    fn tag(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let hash = blake3::keyed_hash(&self.key, bytes);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
        tag
    }

    /// Encodes a datagram; `None` if it would be too long.
    pub fn encode(&self, datagram: &Datagram) -> Option<Vec<u8>> {
        let bytes = postcard::to_extend(datagram, vec![FORMAT]).ok()?;
        self.with_tag(bytes)
            .filter(|bytes| bytes.len() <= MAX_DATAGRAM_BYTES)
    }

    fn with_tag(&self, mut bytes: Vec<u8>) -> Option<Vec<u8>> {
        let tag = self.tag(&bytes);
        bytes.extend_from_slice(&tag);
        Some(bytes)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// The bytes are not a datagram of this fleet that can be read.
    pub fn decode(&self, bytes: &[u8]) -> Result<Datagram, Rejection> {
        if bytes.len() <= 1 + TAG_BYTES || bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(Rejection::Size);
        }
        let (content, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
        if content[0] != FORMAT {
            return Err(Rejection::Format(content[0]));
        }
        // The comparison takes constant time, so that its duration does not reveal how many bytes
        // match.
        let expected = self.tag(content);
        let difference = expected
            .iter()
            .zip(tag)
            .fold(0, |difference, (expected, actual)| {
                difference | (expected ^ actual)
            });
        if difference != 0 {
            return Err(Rejection::Foreign);
        }
        match postcard::take_from_bytes::<Datagram>(&content[1..]) {
            Ok((datagram, [])) if datagram.is_valid() => Ok(datagram),
            _ => Err(Rejection::Malformed),
        }
    }
}

impl Datagram {
    fn is_valid(&self) -> bool {
        let has_valid_name = |id: &Identity| !id.name.is_empty() && id.name.len() <= MAX_NAME_BYTES;
        has_valid_name(&self.from)
            && self.members.iter().all(|record| {
                has_valid_name(&record.id) && record.accuser.as_ref().is_none_or(has_valid_name)
            })
            && self
                .entries
                .iter()
                .all(|entry| has_valid_name(&entry.owner) && entry.is_valid())
    }
}

/// The serial numbers of a sender that count as seen: all up to `highest - 64`, and those marked in
/// `seen`, where bit `n` stands for `highest - n`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ReplayWindow {
    highest: u64,
    seen: u64,
}

impl ReplayWindow {
    /// Marks a serial number as seen. Returns false if it was seen before or is too old to tell.
    pub fn accept(&mut self, serial: u64) -> bool {
        if serial > self.highest {
            let step = serial - self.highest;
            self.seen = if step >= 64 { 0 } else { self.seen << step };
            self.seen |= 1;
            self.highest = serial;
            return true;
        }
        let distance = self.highest - serial;
        if distance >= 64 || self.seen >> distance & 1 == 1 {
            return false;
        }
        self.seen |= 1 << distance;
        true
    }
}
