//! Bytes of a process by the second, with the headers that each datagram has on a network.
use super::layout::Role;
use serde::{Deserialize, Serialize};
use thistlecroft_peers::NodeCounts;

/// IPv4 and UDP.
const HEADER_BYTES: u64 = 28;

/// What one process sent and received in one phase, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Traffic {
    /// All bytes sent.
    pub sent: u64,
    /// All bytes received.
    pub received: u64,
    /// Bytes sent in the worst second.
    pub worst_sent: u64,
    /// Bytes received in the worst second.
    pub worst_received: u64,
    /// Not sent, for the rate.
    pub held_back: u64,
    /// Seconds measured.
    pub seconds: u64,
}

/// Measures the traffic of one process, once a second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Meter {
    before: NodeCounts,
    phase: Traffic,
}

impl Meter {
    /// A second has gone by.
    pub(super) fn second(&mut self, counts: &NodeCounts) {
        let sent =
            bytes(counts.sent_bytes, counts.sent) - bytes(self.before.sent_bytes, self.before.sent);
        let received = bytes(counts.received_bytes, counts.received)
            - bytes(self.before.received_bytes, self.before.received);
        let phase = &mut self.phase;
        (phase.sent, phase.received) = (phase.sent + sent, phase.received + received);
        phase.worst_sent = phase.worst_sent.max(sent);
        phase.worst_received = phase.worst_received.max(received);
        phase.held_back += counts.rate_limited - self.before.rate_limited;
        phase.seconds += 1;
        self.before = *counts;
    }

    /// Ends the phase and begins another.
    pub(super) fn take(&mut self) -> Traffic {
        std::mem::take(&mut self.phase)
    }
}

fn bytes(payload: u64, datagrams: u64) -> u64 {
    payload + datagrams * HEADER_BYTES
}

/// Of all processes of one role: bytes a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct RoleTraffic {
    /// Sent, in the mean.
    pub sent_mean: f64,
    /// Received, in the mean.
    pub received_mean: f64,
    /// Of the process that sent, or received, most in the phase.
    pub sent_of_worst: f64,
    /// Of the process that received most in the phase.
    pub received_of_worst: f64,
    /// The worst second of any process.
    pub sent_worst_second: u64,
    /// The worst second of any process, received.
    pub received_worst_second: u64,
    /// Datagrams not sent, for the rate.
    pub held_back: u64,
}

impl RoleTraffic {
    pub(super) fn new(all: &[(Role, Traffic)], role: Role) -> RoleTraffic {
        let mut sum = RoleTraffic::default();
        let own = || {
            all.iter()
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
