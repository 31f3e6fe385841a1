//! Datagrams: what is in one, how it is written (a byte for the format, `postcard`, a keyed hash)
//! and what is refused.
use crate::facts::FactRow;
use crate::identity::{Identity, LONGEST_NAME, Row};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Raised with every change of `Datagram`.
pub const FORMAT: u8 = 1;
/// The longest datagram, in bytes, so that no link on the way has to cut it.
pub const MOST: usize = 1_200;
/// Of the keyed hash so many bytes are sent.
const TAG: usize = 16;

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Datagram {
    pub from: Identity,
    /// Where the sender is reached.
    pub at: SocketAddr,
    pub incarnation: u32,
    /// Grows with each datagram of a process; one that was seen is refused.
    pub serial: u64,
    pub body: Body,
    pub rows: Vec<Row>,
    pub facts: Vec<FactRow>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    Ping {
        probe: u32,
        to: Identity,
    },
    /// Ping that one for me.
    PingFor {
        probe: u32,
        target: Identity,
        at: SocketAddr,
    },
    Ack {
        probe: u32,
    },
    /// The one who was asked to ping has had no answer either.
    Nack {
        probe: u32,
    },
    /// The process that was pinged is not here any more; another one is.
    NotMe {
        probe: u32,
    },
    /// Only what rides on it.
    Gossip,
    /// Asks for all that is known if it is not this; the answer comes in pieces, or as `Same`.
    SyncRequest {
        digest: u64,
    },
    InSync,
    /// A part of all that is known. `back`: the receiver is asked for its own.
    Chunk {
        exchange: u32,
        number: u16,
        of: u16,
        back: bool,
    },
    /// These did not come.
    Missing {
        exchange: u32,
        numbers: Vec<u16>,
    },
    /// For the parts above membership: a channel and its bytes.
    Message {
        channel: u8,
        bytes: Vec<u8>,
    },
}

/// Why a datagram is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Too short or too long to be one.
    Size,
    /// Of another format.
    Format(u8),
    /// Of another fleet, with another key, or changed on its way.
    Foreign,
    /// Sealed well and not to be understood.
    Malformed,
}

/// The key and the fleet's name.
#[derive(Clone, Debug)]
pub struct Seal {
    key: [u8; 32],
}

impl Seal {
    pub fn new(secret: &[u8], fleet: &str) -> Seal {
        let mut all = fleet.as_bytes().to_vec();
        all.push(0);
        all.extend_from_slice(secret);
        Seal {
            key: blake3::derive_key("thistlecroft peers, datagrams", &all),
        }
    }

    fn tag(&self, bytes: &[u8]) -> [u8; TAG] {
        let hash = blake3::keyed_hash(&self.key, bytes);
        let mut tag = [0; TAG];
        tag.copy_from_slice(&hash.as_bytes()[..TAG]);
        tag
    }

    /// None where it would be longer than a datagram may be.
    pub fn close(&self, datagram: &Datagram) -> Option<Vec<u8>> {
        let bytes = postcard::to_extend(datagram, vec![FORMAT]).ok()?;
        self.sealed(bytes).filter(|bytes| bytes.len() <= MOST)
    }

    fn sealed(&self, mut bytes: Vec<u8>) -> Option<Vec<u8>> {
        let tag = self.tag(&bytes);
        bytes.extend_from_slice(&tag);
        Some(bytes)
    }

    /// # Errors
    /// Why these bytes are no datagram of this fleet.
    pub fn open(&self, bytes: &[u8]) -> Result<Datagram, Rejection> {
        if bytes.len() <= 1 + TAG || bytes.len() > MOST {
            return Err(Rejection::Size);
        }
        let (text, tag) = bytes.split_at(bytes.len() - TAG);
        if text[0] != FORMAT {
            return Err(Rejection::Format(text[0]));
        }
        // In constant time, as the crate compares whole hashes: how much was right is not told by
        // how long it took.
        let (own, said) = (self.tag(text), tag);
        if own
            .iter()
            .zip(said)
            .fold(0, |differs, (one, other)| differs | (one ^ other))
            != 0
        {
            return Err(Rejection::Foreign);
        }
        match postcard::take_from_bytes::<Datagram>(&text[1..]) {
            Ok((datagram, [])) if datagram.is_sound() => Ok(datagram),
            _ => Err(Rejection::Malformed),
        }
    }
}

impl Datagram {
    fn is_sound(&self) -> bool {
        let named = |id: &Identity| !id.name.is_empty() && id.name.len() <= LONGEST_NAME;
        named(&self.from)
            && self
                .rows
                .iter()
                .all(|row| named(&row.id) && row.accuser.as_ref().is_none_or(named))
            && self
                .facts
                .iter()
                .all(|fact| named(&fact.owner) && fact.is_sound())
    }
}

/// Which serials of a sender were seen: all below `top - 64`, and those marked.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ReplayWindow {
    top: u64,
    seen: u64,
}

impl ReplayWindow {
    /// False for one that was seen, or is too old to tell.
    pub fn accept(&mut self, serial: u64) -> bool {
        if serial > self.top {
            let step = serial - self.top;
            self.seen = if step >= 64 { 0 } else { self.seen << step };
            self.seen |= 1;
            self.top = serial;
            return true;
        }
        let behind = self.top - serial;
        if behind >= 64 || self.seen >> behind & 1 == 1 {
            return false;
        }
        self.seen |= 1 << behind;
        true
    }
}
