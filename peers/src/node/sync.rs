//! Anti-entropy. At intervals, members compare digests of everything that they know and exchange
//! snapshots if these differ. Seeds and dead members are contacted again from time to time, so that
//! a fleet that was divided by a network partition merges again.
use super::{
    CONTACT_INTERVAL, MAX_INDIRECT_PROBES, MAX_PAYLOAD_BYTES, Node, Priority, SYNC_INTERVAL,
    entry_bytes, member_bytes,
};
use crate::gossip::Update;
use crate::identity::{Identity, MemberRecord, MemberState};
use crate::snapshots::ChunkContent;
use crate::wire::Body;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use thistlecroft::time::Instant;

/// The most seeds and dead members that are contacted at once.
const MAX_CONTACTS: usize = MAX_INDIRECT_PROBES;

/// Distributes records and entries over chunks that fit in a datagram each.
struct ChunkBuilder {
    chunks: Vec<ChunkContent>,
    bytes_left: usize,
}

impl ChunkBuilder {
    fn new() -> ChunkBuilder {
        ChunkBuilder {
            chunks: vec![ChunkContent::default()],
            bytes_left: MAX_PAYLOAD_BYTES,
        }
    }

    /// Returns the last chunk, or a new one if the last has no room for this many bytes.
    fn chunk_for(&mut self, bytes: usize) -> &mut ChunkContent {
        if bytes > self.bytes_left {
            self.chunks.push(ChunkContent::default());
            self.bytes_left = MAX_PAYLOAD_BYTES;
        }
        self.bytes_left -= bytes;
        self.chunks
            .last_mut()
            .expect("a builder starts with one chunk")
    }
}

impl Node {
    /// Contacts seeds and dead members: as many as there are seeds while no member is alive, and
    /// one at a time after that.
    pub(super) fn contact_seeds_and_dead_members(&mut self, now: Instant) {
        if now < self.next_contact {
            return;
        }
        let is_alone = self.addresses_in_state(MemberState::Alive).next().is_none();
        let intervals = if is_alone { 1.0 } else { CONTACT_INTERVAL };
        self.next_contact = now + self.timing.probe_interval * intervals;
        let mut addresses = self.unreached_addresses();
        let digest = self.digest();
        let count = if is_alone { self.seeds.len().max(1) } else { 1 };
        for _ in 0..count.min(MAX_CONTACTS) {
            if addresses.is_empty() {
                return;
            }
            let index = self.rng.below(addresses.len() as u64) as usize;
            let address = addresses.swap_remove(index);
            // A datagram to a dead member carries the opinion that the member is dead, so that the
            // member can refute it.
            let id = self.member_with_address(address).cloned();
            self.send(
                address,
                id.as_ref(),
                Body::SyncRequest { digest },
                Priority::Normal,
                now,
            );
        }
    }

    fn addresses_in_state(&self, state: MemberState) -> impl Iterator<Item = SocketAddr> {
        let members = self.members.members().map(|(_, member)| member);
        let in_state = members.filter(move |member| member.state == state);
        in_state.map(|member| member.address)
    }

    fn member_with_address(&self, address: SocketAddr) -> Option<&Identity> {
        let mut members = self.members.members();
        members
            .find(|(_, member)| member.address == address)
            .map(|(id, _)| id)
    }

    /// Returns the addresses of seeds and dead members at which no member is alive.
    fn unreached_addresses(&self) -> Vec<SocketAddr> {
        let alive: BTreeSet<SocketAddr> = self.addresses_in_state(MemberState::Alive).collect();
        let seeds = self.seeds.iter().copied();
        let mut addresses: Vec<SocketAddr> = seeds
            .chain(self.addresses_in_state(MemberState::Dead))
            .collect();
        addresses.retain(|address| !alive.contains(address));
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Once per sync interval, removes expired members and entries, refreshes this process's own
    /// entries, and compares digests with a random member.
    pub(super) fn sync_and_expire(&mut self, now: Instant) {
        if now < self.next_sync {
            return;
        }
        let jitter = 0.5 + self.rng.unit_f64();
        self.next_sync = now + self.timing.probe_interval * (SYNC_INTERVAL * jitter);
        let retention = self.timing.dead_retention();
        for id in self.members.remove_expired(retention, now) {
            self.gossip.remove(&Update::Member(id));
        }
        for key in self.shared_state.remove_expired(now) {
            self.gossip.remove(&Update::Entry(key.clone()));
            self.report_entry_changed(key);
        }
        for key in self.shared_state.entries_to_refresh(&self.identity, now) {
            self.shared_state.refresh(&key, now);
            self.gossip.add(Update::Entry(key));
        }
        let digest = self.digest();
        for id in self.random_members(1, MemberState::Alive, None) {
            let Some(address) = self.members.get(&id).map(|member| member.address) else {
                continue;
            };
            self.send(
                address,
                Some(&id),
                Body::SyncRequest { digest },
                Priority::Normal,
                now,
            );
        }
    }

    /// Returns a digest of everything that two members have to agree on.
    pub(super) fn digest(&self) -> u64 {
        let own = (&self.identity, self.incarnation, MemberState::Alive);
        let others = self
            .members
            .live()
            .map(|(id, member)| (id, member.incarnation, member.state));
        let members = std::iter::once(own)
            .chain(others)
            .fold(0, |digest, (id, incarnation, state)| {
                digest ^ member_digest(id, incarnation, state)
            });
        members ^ self.shared_state.digest()
    }

    /// Returns the record of this process itself.
    pub(super) fn own_record(&self) -> MemberRecord {
        MemberRecord {
            id: self.identity.clone(),
            address: self.address,
            incarnation: self.incarnation,
            state: MemberState::Alive,
            accuser: None,
        }
    }

    /// Sends a snapshot of everything that this process knows. With `reply_requested`, the receiver
    /// is asked for its own snapshot.
    pub(super) fn send_snapshot(
        &mut self,
        address: SocketAddr,
        to: &Identity,
        reply_requested: bool,
        now: Instant,
    ) {
        let chunks = self.snapshot(now);
        let chunk_count = chunks.len() as u16;
        let exchange = self.snapshots.keep_sent(to.clone(), chunks.clone());
        for (index, content) in (0..).zip(chunks) {
            let body = Body::Chunk {
                exchange,
                index,
                chunk_count,
                reply_requested,
            };
            let datagram = self.datagram(body, content.members, content.entries);
            self.transmit(address, &datagram, Priority::Normal, now);
        }
    }

    fn snapshot(&self, now: Instant) -> Vec<ChunkContent> {
        let mut builder = ChunkBuilder::new();
        let ids = self.members.members().map(|(id, _)| id);
        for record in ids.filter_map(|id| self.members.record(id)) {
            let chunk = builder.chunk_for(member_bytes(&record));
            chunk.members.push(record);
        }
        let keys = self.shared_state.keys();
        for entry in keys.filter_map(|key| self.shared_state.entry(key, now)) {
            let chunk = builder.chunk_for(entry_bytes(&entry));
            chunk.entries.push(entry);
        }
        builder.chunks
    }

    /// Sends those chunks of a snapshot again that did not arrive.
    pub(super) fn resend_chunks(
        &mut self,
        to: &Identity,
        address: SocketAddr,
        exchange: u32,
        indices: &[u16],
        now: Instant,
    ) {
        for &index in indices {
            let Some((content, chunk_count)) = self.snapshots.sent_chunk(to, exchange, index)
            else {
                continue;
            };
            let content = content.clone();
            let body = Body::Chunk {
                exchange,
                index,
                chunk_count,
                reply_requested: false,
            };
            let datagram = self.datagram(body, content.members, content.entries);
            self.transmit(address, &datagram, Priority::Normal, now);
        }
    }

    pub(super) fn request_missing_chunks(&mut self, now: Instant) {
        let timeout = self.timing.probe_interval;
        for missing in self.snapshots.take_missing(timeout, now) {
            if let Some(address) = self.members.get(&missing.from).map(|member| member.address) {
                let body = Body::Missing {
                    exchange: missing.exchange,
                    indices: missing.indices,
                };
                self.send(address, Some(&missing.from), body, Priority::Normal, now);
            }
        }
    }
}

fn member_digest(id: &Identity, incarnation: u32, state: MemberState) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(id.name.as_bytes());
    hasher.update(&id.run.to_le_bytes());
    hasher.update(&incarnation.to_le_bytes());
    hasher.update(&[state as u8]);
    crate::leading_u64(hasher.finalize().as_bytes())
}
