//! Sending of datagrams. Gossip is added where it fits, and a token bucket limits the bytes per
//! second.
use super::{MAX_PAYLOAD_BYTES, Node, RESERVED_SHARE, entry_bytes, member_bytes};
use crate::gossip::Update;
use crate::identity::{Identity, MemberRecord, MemberState};
use crate::shared_state::Entry;
use crate::wire::{Body, Datagram, MAX_DATAGRAM_BYTES};
use std::net::SocketAddr;
use thistlecroft::time::Instant;

/// The estimated bytes of the index of a chunk.
const CHUNK_INDEX_BYTES: usize = 3;

/// Whether a datagram may use the reserved share of the send budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Priority {
    /// Probes, their answers and messages of other protocols.
    Urgent,
    /// Gossip and snapshots.
    Normal,
}

/// The records and entries that one datagram carries.
struct Payload {
    members: Vec<MemberRecord>,
    entries: Vec<Entry>,
    /// The updates from the gossip queue that the datagram carries.
    updates: Vec<Update>,
    bytes_left: usize,
}

/// The record or entry that an update is about.
enum UpdateContent {
    Member(MemberRecord),
    Entry(Entry),
}

impl Payload {
    fn for_body(body: &Body) -> Payload {
        let body_bytes = match body {
            Body::Message { bytes, .. } => bytes.len(),
            Body::Missing { indices, .. } => indices.len() * CHUNK_INDEX_BYTES,
            _ => 0,
        };
        Payload {
            members: Vec::new(),
            entries: Vec::new(),
            updates: Vec::new(),
            bytes_left: MAX_PAYLOAD_BYTES.saturating_sub(body_bytes),
        }
    }

    /// Adds an update if it fits, and returns whether it did.
    fn try_add(&mut self, update: &Update, content: UpdateContent) -> bool {
        let bytes = match &content {
            UpdateContent::Member(record) => member_bytes(record),
            UpdateContent::Entry(entry) => entry_bytes(entry),
        };
        if bytes > self.bytes_left {
            return false;
        }
        self.bytes_left -= bytes;
        match content {
            UpdateContent::Member(record) => self.members.push(record),
            UpdateContent::Entry(entry) => self.entries.push(entry),
        }
        self.updates.push(update.clone());
        true
    }
}

impl Node {
    /// Creates a datagram of this process, with the next serial number.
    pub(super) fn datagram(
        &mut self,
        body: Body,
        members: Vec<MemberRecord>,
        entries: Vec<Entry>,
    ) -> Datagram {
        self.serial += 1;
        Datagram {
            from: self.identity.clone(),
            address: self.address,
            incarnation: self.incarnation,
            serial: self.serial,
            body,
            members,
            entries,
        }
    }

    /// Sends a datagram with as much gossip as fits. If this process does not regard the receiver
    /// `to` as alive, the first record is that opinion, so that the receiver can refute it. Returns
    /// false if the datagram is too long or the rate limit is reached.
    pub(super) fn send(
        &mut self,
        address: SocketAddr,
        to: Option<&Identity>,
        body: Body,
        priority: Priority,
        now: Instant,
    ) -> bool {
        let mut payload = Payload::for_body(&body);
        let receiver = to.and_then(|id| self.members.record(id));
        if let Some(record) = receiver.filter(|record| record.state != MemberState::Alive) {
            let bytes = member_bytes(&record);
            payload.bytes_left = payload.bytes_left.saturating_sub(bytes);
            payload.members.push(record);
        }
        self.refill_budget(now);
        // Close to the rate limit, datagrams carry no gossip, to save the budget for probes and
        // their answers.
        if self.send_budget > self.reserved_budget() + MAX_DATAGRAM_BYTES as f64 {
            self.add_gossip(&mut payload, now);
        }
        let datagram = self.datagram(body, payload.members, payload.entries);
        let is_sent = self.transmit(address, &datagram, priority, now);
        if is_sent {
            let size = self.fleet_size();
            self.gossip.note_sent(&payload.updates, size);
        }
        is_sent
    }

    fn add_gossip(&self, payload: &mut Payload, now: Instant) {
        for update in self.gossip.iter() {
            let Some(content) = self.content_of(update, now) else {
                continue;
            };
            if !payload.try_add(update, content) {
                return;
            }
        }
    }

    fn content_of(&self, update: &Update, now: Instant) -> Option<UpdateContent> {
        match update {
            Update::Member(id) if *id == self.identity => {
                Some(UpdateContent::Member(self.own_record()))
            }
            Update::Member(id) => self.members.record(id).map(UpdateContent::Member),
            Update::Entry(key) => {
                let entry = self.shared_state.entry(key, now);
                entry.map(UpdateContent::Entry)
            }
        }
    }

    /// Returns the bytes of the send budget that only urgent datagrams may use.
    fn reserved_budget(&self) -> f64 {
        f64::from(self.max_bytes_per_second) * RESERVED_SHARE
    }

    fn refill_budget(&mut self, now: Instant) {
        let rate = f64::from(self.max_bytes_per_second);
        let elapsed = now.duration_since(self.budget_refilled_at);
        self.send_budget = (self.send_budget + rate * elapsed.as_secs_f64()).min(rate);
        self.budget_refilled_at = now;
    }

    /// Sends a datagram as it is. Returns false if it is too long, the rate limit is reached, or
    /// this process has announced its shutdown.
    pub(super) fn transmit(
        &mut self,
        address: SocketAddr,
        datagram: &Datagram,
        priority: Priority,
        now: Instant,
    ) -> bool {
        if self.has_left {
            return false;
        }
        let Some(bytes) = self.codec.encode(datagram) else {
            self.counts.rate_limited += 1;
            return false;
        };
        self.refill_budget(now);
        let reserved = match priority {
            Priority::Urgent => 0.0,
            Priority::Normal => self.reserved_budget(),
        };
        if self.send_budget < bytes.len() as f64 + reserved {
            self.counts.rate_limited += 1;
            return false;
        }
        self.send_budget -= bytes.len() as f64;
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.outgoing.push((address, bytes));
        true
    }
}
