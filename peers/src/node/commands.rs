//! Commands that callers give to a node.
use super::{INDIRECT_PROBE_HELPERS, Node, Priority};
use crate::gossip::Update;
use crate::identity::{Identity, MemberState};
use crate::shared_state::{EntryKey, EntryKind};
use crate::wire::Body;
use std::net::SocketAddr;
use thistlecroft::time::Instant;

/// How many members a shutdown is announced to. They spread it by gossip.
const LEAVE_FANOUT: usize = INDIRECT_PROBE_HELPERS * 4;

impl Node {
    /// Announces an entry of the shared state, or a new value of one, to the fleet. Returns false
    /// if the entry is too long, this process has too many entries, or the table is full.
    pub fn announce(
        &mut self,
        kind: EntryKind,
        subject: &[u8],
        value: &[u8],
        now: Instant,
    ) -> bool {
        let state = &mut self.shared_state;
        let is_accepted = state.announce(&self.identity, kind, subject, value, now);
        if is_accepted {
            self.gossip.add(Update::Entry(EntryKey {
                kind,
                subject: subject.to_vec(),
                owner: self.identity.clone(),
            }));
        }
        is_accepted
    }

    /// Withdraws an entry. This process forgets the entry at once. Other processes forget it when
    /// it expires, since it is no longer refreshed.
    pub fn withdraw(&mut self, kind: EntryKind, subject: &[u8]) {
        self.shared_state.withdraw(&self.identity, kind, subject);
    }

    /// Sends a message of a protocol above membership to one process. Returns false if the process
    /// is not known, the message does not fit in a datagram, or the rate limit is reached.
    pub fn send_message(
        &mut self,
        to: &Identity,
        channel: u8,
        bytes: Vec<u8>,
        now: Instant,
    ) -> bool {
        let Some(address) = self.members.get(to).map(|member| member.address) else {
            return false;
        };
        self.send(
            address,
            Some(to),
            Body::Message { channel, bytes },
            Priority::Urgent,
            now,
        )
    }

    /// Changes the address of this process. Raises the incarnation, without which other processes
    /// would not accept a new address.
    pub fn change_address(&mut self, address: SocketAddr, now: Instant) {
        self.address = address;
        self.seeds.retain(|seed| *seed != address);
        self.incarnation += 1;
        self.gossip.add(Update::Member(self.identity.clone()));
        self.next_gossip = now;
    }

    /// Announces a graceful shutdown. This node sends nothing afterwards.
    pub fn leave(&mut self, now: Instant) {
        if self.has_left {
            return;
        }
        let mut record = self.own_record();
        record.state = MemberState::Left;
        let live = self.members.live();
        let mut recipients: Vec<SocketAddr> = live.map(|(_, member)| member.address).collect();
        while recipients.len() > LEAVE_FANOUT {
            let index = self.rng.below(recipients.len() as u64) as usize;
            recipients.swap_remove(index);
        }
        for address in recipients {
            let datagram = self.datagram(Body::Gossip, vec![record.clone()], Vec::new());
            self.transmit(address, &datagram, Priority::Urgent, now);
        }
        self.has_left = true;
    }
}
