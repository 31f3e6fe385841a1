//! Snapshots of everything that a relay knows, exchanged in chunks of one datagram each. Each chunk
//! can be merged by itself. Chunks that do not arrive are requested again.
use crate::identity::{Identity, MemberRecord};
use crate::shared_state::Entry;
use std::collections::{BTreeMap, BTreeSet};
use thistlecroft::time::{Duration, Instant};

/// The most exchanges that are kept in each direction. The first in the order of keys is dropped to
/// make room for a new one.
const MAX_EXCHANGES: usize = 4;
/// How many times the missing chunks of an exchange are requested.
const MAX_REQUESTS: u32 = 5;
/// The most missing chunks that are named in one datagram.
const MAX_NAMED_CHUNKS: usize = 64;
/// How long a finished exchange is remembered, as a multiple of the timeout for missing chunks.
const RETENTION_TIMEOUTS: f64 = 8.0;

/// The content of one chunk.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChunkContent {
    pub(crate) members: Vec<MemberRecord>,
    pub(crate) entries: Vec<Entry>,
}

/// Chunks to request again from one process.
pub(crate) struct MissingChunks {
    pub(crate) from: Identity,
    pub(crate) exchange: u32,
    pub(crate) indices: Vec<u16>,
}

/// A snapshot that was sent, kept in case chunks are requested again.
#[derive(Clone, Debug)]
struct SentSnapshot {
    to: Identity,
    chunks: Vec<ChunkContent>,
}

/// A snapshot of which at least one chunk has arrived.
#[derive(Clone, Debug)]
struct IncomingSnapshot {
    /// The indices of the chunks that have not arrived.
    missing: BTreeSet<u16>,
    /// When the missing chunks are requested next; for a finished exchange, the time from which its
    /// age counts.
    request_at: Instant,
    /// The number of times that missing chunks were requested.
    requests: u32,
}

impl IncomingSnapshot {
    fn is_finished(&self) -> bool {
        self.missing.is_empty() || self.requests >= MAX_REQUESTS
    }
}

/// The exchanges of snapshots that are in progress or were finished recently.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshots {
    sent: BTreeMap<u32, SentSnapshot>,
    incoming: BTreeMap<(Identity, u32), IncomingSnapshot>,
    last_exchange: u32,
}

impl Snapshots {
    /// Keeps the chunks of a snapshot in case some are requested again. Returns the number of the
    /// exchange.
    pub(crate) fn keep_sent(&mut self, to: Identity, chunks: Vec<ChunkContent>) -> u32 {
        self.last_exchange = self.last_exchange.wrapping_add(1);
        while self.sent.len() >= MAX_EXCHANGES {
            self.sent.pop_first();
        }
        self.sent
            .insert(self.last_exchange, SentSnapshot { to, chunks });
        self.last_exchange
    }

    /// Returns a chunk that was sent to this process before, and the number of chunks of its
    /// snapshot.
    pub(crate) fn sent_chunk(
        &self,
        to: &Identity,
        exchange: u32,
        index: u16,
    ) -> Option<(&ChunkContent, u16)> {
        let sent = self.sent.get(&exchange).filter(|sent| sent.to == *to)?;
        let chunk = sent.chunks.get(usize::from(index))?;
        Some((chunk, sent.chunks.len() as u16))
    }

    /// Notes a chunk that arrived. Returns whether it is the first one of its exchange.
    pub(crate) fn note_chunk(
        &mut self,
        from: &Identity,
        exchange: u32,
        index: u16,
        chunk_count: u16,
        timeout: Duration,
        now: Instant,
    ) -> bool {
        let key = (from.clone(), exchange);
        let is_first = !self.incoming.contains_key(&key);
        if is_first {
            while self.incoming.len() >= MAX_EXCHANGES {
                self.incoming.pop_first();
            }
        }
        let incoming = self
            .incoming
            .entry(key)
            .or_insert_with(|| IncomingSnapshot {
                missing: (0..chunk_count).collect(),
                request_at: now + timeout,
                requests: 0,
            });
        incoming.missing.remove(&index);
        incoming.request_at = now + timeout;
        is_first
    }

    /// Returns the chunks to request again now. A finished exchange is remembered for a while, so
    /// that a late chunk does not start it again.
    pub(crate) fn take_missing(&mut self, timeout: Duration, now: Instant) -> Vec<MissingChunks> {
        let mut requests = Vec::new();
        self.incoming.retain(|(from, exchange), incoming| {
            if incoming.request_at > now {
                return true;
            }
            if incoming.is_finished() {
                let age = now.duration_since(incoming.request_at);
                return age < timeout * RETENTION_TIMEOUTS;
            }
            incoming.requests += 1;
            incoming.request_at = now + timeout;
            let missing = incoming.missing.iter().copied();
            requests.push(MissingChunks {
                from: from.clone(),
                exchange: *exchange,
                indices: missing.take(MAX_NAMED_CHUNKS).collect(),
            });
            true
        });
        requests
    }

    /// Returns when missing chunks have to be requested next.
    pub(crate) fn next_request(&self) -> Option<Instant> {
        let unfinished = self
            .incoming
            .values()
            .filter(|incoming| !incoming.is_finished());
        unfinished.map(|incoming| incoming.request_at).min()
    }
}
