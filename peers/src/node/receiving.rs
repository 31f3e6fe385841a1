//! Handling of received datagrams.
use super::{Event, MAX_INDIRECT_PROBES, Node, Priority, change_health};
use crate::gossip::Update;
use crate::identity::{Identity, MemberRecord, MemberState};
use crate::members::MergeOutcome;
use crate::shared_state::{Entry, EntryKey};
use crate::wire::{Body, Datagram, Rejection};
use std::net::SocketAddr;
use thistlecroft::time::Instant;

/// How many pairs of a source address and an unknown format are remembered.
const MAX_UNKNOWN_FORMATS: usize = MAX_INDIRECT_PROBES;

impl Node {
    /// Handles a datagram. A datagram of another fleet is only counted, which costs no more than
    /// hashing it.
    pub fn receive(&mut self, bytes: &[u8], source: SocketAddr, now: Instant) {
        let datagram = match self.codec.decode(bytes) {
            Ok(datagram) => datagram,
            Err(rejection) => return self.count_rejection(rejection, source),
        };
        if datagram.from == self.identity {
            return;
        }
        let is_new = self
            .members
            .note_received(&datagram.from, datagram.serial, now);
        if !is_new {
            self.counts.repeated += 1;
            return;
        }
        self.counts.received += 1;
        self.counts.received_bytes += bytes.len() as u64;
        if !self.has_left {
            self.handle_datagram(datagram, now);
        }
    }

    fn handle_datagram(&mut self, datagram: Datagram, now: Instant) {
        let from = datagram.from;
        let is_leaving = datagram
            .members
            .iter()
            .any(|record| record.id == from && record.state == MemberState::Left);
        if !is_leaving {
            let sender = MemberRecord {
                id: from.clone(),
                address: datagram.address,
                incarnation: datagram.incarnation,
                state: MemberState::Alive,
                accuser: None,
            };
            self.merge(&sender, now);
        }
        // `receive` could not note the serial number of an unknown sender, which is known by now.
        self.members.note_received(&from, datagram.serial, now);
        for record in &datagram.members {
            self.merge(record, now);
        }
        for entry in &datagram.entries {
            self.merge_entry(entry, now);
        }
        self.handle_body(datagram.body, &from, datagram.address, now);
    }

    fn count_rejection(&mut self, rejection: Rejection, source: SocketAddr) {
        match rejection {
            Rejection::Size => self.counts.wrong_size += 1,
            Rejection::Foreign => self.counts.foreign += 1,
            Rejection::Malformed => self.counts.malformed += 1,
            Rejection::Format(format) => {
                self.counts.unknown_format += 1;
                self.report_unknown_format(source, format);
            }
        }
    }

    fn report_unknown_format(&mut self, source: SocketAddr, format: u8) {
        let is_reported = self.unknown_formats.contains(&(source, format));
        if is_reported || self.unknown_formats.len() >= MAX_UNKNOWN_FORMATS {
            return;
        }
        self.unknown_formats.push((source, format));
        self.events.push(Event::UnknownFormat {
            from: source,
            format,
        });
    }

    fn handle_body(&mut self, body: Body, from: &Identity, address: SocketAddr, now: Instant) {
        match body {
            Body::Ping { probe, to } if to == self.identity => {
                self.send(
                    address,
                    Some(from),
                    Body::Ack { probe },
                    Priority::Urgent,
                    now,
                );
            }
            Body::Ping { probe, .. } => {
                self.send(
                    address,
                    Some(from),
                    Body::WrongTarget { probe },
                    Priority::Urgent,
                    now,
                );
            }
            Body::IndirectPing {
                probe,
                target,
                address: target_at,
            } => self.start_indirect_probe((from, address), probe, (&target, target_at), now),
            Body::Ack { probe } => self.handle_ack(probe, now),
            Body::Nack { probe } => self.handle_nack(probe),
            Body::WrongTarget { probe } => self.handle_wrong_target(probe, from, address, now),
            Body::Gossip | Body::InSync => {}
            Body::SyncRequest { digest } if digest == self.digest() => {
                self.send(address, Some(from), Body::InSync, Priority::Normal, now);
            }
            Body::SyncRequest { .. } => self.send_snapshot(address, from, true, now),
            Body::Chunk {
                exchange,
                index,
                chunk_count,
                reply_requested,
            } => {
                let timeout = self.timing.probe_interval;
                let snapshots = &mut self.snapshots;
                let is_first =
                    snapshots.note_chunk(from, exchange, index, chunk_count, timeout, now);
                if is_first && reply_requested {
                    self.send_snapshot(address, from, false, now);
                }
            }
            Body::Missing { exchange, indices } => {
                self.resend_chunks(from, address, exchange, &indices, now);
            }
            Body::Message { channel, bytes } => {
                self.events.push(Event::Message {
                    from: from.clone(),
                    channel,
                    bytes,
                });
            }
        }
    }

    /// Merges an opinion about a member, and spreads it if it is new.
    pub(super) fn merge(&mut self, record: &MemberRecord, now: Instant) {
        if record.id == self.identity {
            return self.refute(record, now);
        }
        match self.members.merge(record, &self.timing, now) {
            MergeOutcome::Unchanged => {}
            MergeOutcome::Updated => self.gossip.add(Update::Member(record.id.clone())),
            MergeOutcome::StateChanged => {
                self.counts.suspected += u64::from(record.state == MemberState::Suspect);
                self.gossip.add(Update::Member(record.id.clone()));
                self.events.push(Event::MemberChanged {
                    id: record.id.clone(),
                    state: record.state,
                });
            }
        }
    }

    /// Refutes an opinion that this process is not alive, by raising its incarnation.
    fn refute(&mut self, record: &MemberRecord, now: Instant) {
        let is_outdated = record.incarnation < self.incarnation;
        if record.state == MemberState::Alive || is_outdated || self.has_left {
            return;
        }
        self.incarnation = record.incarnation + 1;
        self.counts.refuted += 1;
        change_health(&mut self.health, 1);
        self.events.push(Event::Refuted {
            incarnation: self.incarnation,
        });
        self.gossip.add(Update::Member(self.identity.clone()));
        self.next_gossip = now;
    }

    fn merge_entry(&mut self, entry: &Entry, now: Instant) {
        // This process is the authority on its own entries: others must not restore a withdrawn
        // one.
        if entry.owner == self.identity || !self.shared_state.merge(entry, now) {
            return;
        }
        let key = entry.key();
        self.gossip.add(Update::Entry(key.clone()));
        self.report_entry_changed(key);
    }

    pub(super) fn report_entry_changed(&mut self, key: EntryKey) {
        self.events.push(Event::EntryChanged {
            kind: key.kind,
            subject: key.subject,
            owner: key.owner,
        });
    }
}
