//! A hollow relay: a UDP socket with the membership and the leases of a relay.
use super::super::assignment::{Assignment, subject_number};
use super::super::config::ScaleConfig;
use super::super::meter::Meter;
use super::now;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use thistlecroft::time::Instant;
use thistlecroft_leases::Leases;
use thistlecroft_peers::wire::MAX_DATAGRAM_BYTES;
use thistlecroft_peers::{Event as PeerEvent, Identity, Node};

/// The maximum number of datagrams that are read from one socket before the other sockets are read.
const MAX_DATAGRAMS_PER_TURN: usize = 64;

pub(super) struct HollowRelay {
    pub(super) member: usize,
    pub(super) socket: UdpSocket,
    pub(super) node: Node,
    leases: Leases,
    assignment: Assignment,
    pub(super) meter: Meter,
    /// Whether members have changed since the assignment was last computed.
    has_member_changes: bool,
    /// When a timer of the node or the leases is due next.
    pub(super) due: Instant,
}

impl HollowRelay {
    pub(super) fn new(
        config: &ScaleConfig,
        member: usize,
        socket: UdpSocket,
        seeds: Vec<SocketAddr>,
    ) -> io::Result<HollowRelay> {
        let layout = config.layout();
        let at = socket.local_addr()?;
        let incarnation_id =
            config.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (member as u64 + 1) << 20;
        let me = Identity::new(&layout.name(member), incarnation_id);
        let (role, start) = (layout.role(member), now());
        let node = Node::new(
            me.clone(),
            at,
            seeds,
            &config.node_config(role),
            incarnation_id,
            start,
        );
        Ok(HollowRelay {
            member,
            socket,
            node,
            leases: Leases::new(me, config.lease_config(role), start),
            assignment: Assignment::new(layout, config.subjects, member),
            meter: Meter::default(),
            has_member_changes: true,
            due: start,
        })
    }

    pub(super) fn read(&mut self) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            match self.socket.recv_from(&mut bytes) {
                Ok((length, source)) => self.node.receive(&bytes[..length], source, now()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => break,
            }
        }
        self.exchange();
    }

    pub(super) fn run_due(&mut self, at: Instant) {
        if self.node.due() <= at {
            self.node.tick(at);
        }
        if self.leases.due(at).is_some_and(|due| due <= at) {
            self.leases.tick(at);
        }
        self.exchange();
    }

    /// Passes received messages to the leases, and sends the messages of the leases and the node.
    fn exchange(&mut self) {
        let at = now();
        for event in self.node.take_events() {
            match event {
                PeerEvent::MemberChanged { .. } => self.has_member_changes = true,
                PeerEvent::Message {
                    from,
                    channel,
                    bytes,
                } => self.leases.receive(&from, channel, &bytes, at),
                _ => {}
            }
        }
        for outgoing in self.leases.take_outgoing() {
            for id in outgoing.to.processes(&self.node) {
                self.node
                    .send_message(&id, outgoing.channel, outgoing.bytes.clone(), at);
            }
        }
        for (to, bytes) in self.node.take_datagrams() {
            // A datagram that can't be sent counts as lost.
            let _ = self.socket.send_to(&bytes, to);
        }
        let leases = self.leases.due(at);
        // A message can set a timer to a time that has long passed: it counts as due now, not late.
        self.due = leases
            .map_or(self.node.due(), |due| due.min(self.node.due()))
            .max(at);
    }

    /// Updates the assignment if members have changed.
    pub(super) fn update_assignment(&mut self) {
        if self.has_member_changes {
            self.has_member_changes = false;
            self.assignment.apply(&self.node, &mut self.leases, now());
            self.exchange();
        }
    }

    /// Returns the subjects that the relay holds, with their epochs.
    pub(super) fn holdings(&self, at: Instant) -> impl Iterator<Item = (usize, u64)> + '_ {
        let held = self.leases.holdings(at);
        held.filter_map(|(subject, held)| Some((subject_number(subject)?, held.epoch)))
    }
}
