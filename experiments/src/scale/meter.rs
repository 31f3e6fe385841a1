//! Counts the bytes that a member sends and receives in each second, including the headers that
//! each datagram has on a network.
use super::layout::Role;
use serde::{Deserialize, Serialize};
use thistlecroft_peers::NodeCounts;

/// Size of the IPv4 and UDP headers of a datagram.
const HEADER_BYTES: u64 = 28;

/// The traffic of one member in one phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
    /// Bytes sent in the worst second.
    pub worst_sent: u64,
    /// Bytes received in the worst second.
    pub worst_received: u64,
    /// Datagrams not sent because of the rate limit.
    pub held_back: u64,
    /// Duration of the measurement in seconds.
    pub seconds: u64,
}

/// Measures the traffic of one member, from its counters once per second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Meter {
    last_counts: NodeCounts,
    phase: Traffic,
}

impl Meter {
    /// Adds the traffic of the last second. `counts` are the current counters of the member.
    pub(super) fn record_second(&mut self, counts: &NodeCounts) {
        let sent = wire_bytes(counts.sent_bytes, counts.sent)
            - wire_bytes(self.last_counts.sent_bytes, self.last_counts.sent);
        let received = wire_bytes(counts.received_bytes, counts.received)
            - wire_bytes(self.last_counts.received_bytes, self.last_counts.received);
        let phase = &mut self.phase;
        (phase.sent, phase.received) = (phase.sent + sent, phase.received + received);
        phase.worst_sent = phase.worst_sent.max(sent);
        phase.worst_received = phase.worst_received.max(received);
        phase.held_back += counts.rate_limited - self.last_counts.rate_limited;
        phase.seconds += 1;
        self.last_counts = *counts;
    }

    /// Returns the traffic of the phase and starts the next one.
    pub(super) fn take_phase(&mut self) -> Traffic {
        std::mem::take(&mut self.phase)
    }
}

/// Returns the bytes that datagrams with this total payload take on a network.
fn wire_bytes(payload: u64, datagrams: u64) -> u64 {
    payload + datagrams * HEADER_BYTES
}

/// The traffic of all members of one role in one phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct RoleTraffic {
    /// Bytes per second that a member sent, in the mean.
    pub sent_mean: f64,
    /// Bytes per second that a member received, in the mean.
    pub received_mean: f64,
    /// Bytes per second sent by the member that sent most in the phase.
    pub sent_of_worst: f64,
    /// Bytes per second received by the member that received most in the phase.
    pub received_of_worst: f64,
    /// The greatest number of bytes that any member sent in one second.
    pub sent_worst_second: u64,
    /// The greatest number of bytes that any member received in one second.
    pub received_worst_second: u64,
    /// Datagrams that the members did not send because of the rate limit.
    pub held_back: u64,
}

impl RoleTraffic {
    pub(super) fn new(members: &[(Role, Traffic)], role: Role) -> RoleTraffic {
        let mut sum = RoleTraffic::default();
        let own = || {
            members
                .iter()
                .filter(|(one, _)| *one == role)
                .map(|(_, traffic)| traffic)
        };
        let count = own().count().max(1) as f64;
        for traffic in own() {
            let seconds = traffic.seconds.max(1) as f64;
            let (sent, received) = (
                traffic.sent as f64 / seconds,
                traffic.received as f64 / seconds,
            );
            sum.sent_mean += sent / count;
            sum.received_mean += received / count;
            sum.sent_of_worst = sum.sent_of_worst.max(sent);
            sum.received_of_worst = sum.received_of_worst.max(received);
            sum.sent_worst_second = sum.sent_worst_second.max(traffic.worst_sent);
            sum.received_worst_second = sum.received_worst_second.max(traffic.worst_received);
            sum.held_back += traffic.held_back;
        }
        sum
    }
}
