//! Queries of the state of a node.
use super::{Event, MemberView, Node};
use crate::identity::{Identity, MemberState};
use crate::members::Member;
use crate::shared_state::SharedState;
use std::net::SocketAddr;
use thistlecroft::time::Instant;

impl Node {
    /// Returns the identity of this process.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns the state that relays share by gossip.
    pub fn shared_state(&self) -> &SharedState {
        &self.shared_state
    }

    /// Returns the health of this process, where 0 is best. Timeouts of probes are multiplied by
    /// the health plus one.
    pub fn health(&self) -> u32 {
        self.health
    }

    /// Returns the incarnation of this process.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// Returns all other known members, including those that are dead or have left.
    pub fn members(&self) -> impl Iterator<Item = MemberView<'_>> {
        self.members.members().map(|(id, member)| MemberView {
            id,
            address: member.address,
            state: member.state,
            incarnation: member.incarnation,
            since: member.since,
            last_received: member.last_received,
        })
    }

    /// Returns the state of a member, if the member is known.
    pub fn state_of(&self, id: &Identity) -> Option<MemberState> {
        self.members.get(id).map(|member| member.state)
    }

    /// Returns the number of members that are suspect or dead and have no other run that is alive.
    /// The shared state may lack entries of this many relays.
    pub fn unreachable_count(&self) -> usize {
        let has_live_run = |name: &str| {
            self.members
                .members()
                .any(|(id, member)| id.name == name && member.state == MemberState::Alive)
        };
        let is_missing = |(id, member): &(&Identity, &Member)| {
            matches!(member.state, MemberState::Suspect | MemberState::Dead)
                && id.name != self.identity.name
                && !has_live_run(&id.name)
        };
        self.members.members().filter(is_missing).count()
    }

    /// Returns the number of live members, including this process and suspects.
    pub fn fleet_size(&self) -> usize {
        self.members.live_count() + 1
    }

    /// Returns when [`Node::tick`] has to be called next.
    pub fn due(&self) -> Instant {
        let mut due = self.next_probe.min(self.next_contact).min(self.next_sync);
        if !self.gossip.is_empty() {
            due = due.min(self.next_gossip);
        }
        if let Some(probe) = &self.probe {
            due = due.min(if probe.is_indirect {
                probe.deadline
            } else {
                probe.indirect_at
            });
        }
        let indirect_probes = self.indirect_probes.values().map(|indirect| indirect.until);
        let others = indirect_probes
            .chain(self.members.next_suspicion_expiry())
            .chain(self.snapshots.next_request());
        others.fold(due, Instant::min)
    }

    /// Takes the datagrams to send, with their destinations.
    pub fn take_datagrams(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }
}
