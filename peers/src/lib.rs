//! Relays that know of one another. Membership by SWIM with Lifeguard's additions, and a table of
//! shared facts, as a machine that takes datagrams and time and gives datagrams and events: no
//! socket, clock or random source is here, and the same code runs on sockets, in simulated links by
//! the hundred, and under an explorer.
//!
//! What it says of a process is an opinion: fast, sometimes wrong, different on either side of a
//! split. It gives nobody the right to act in another's place; that is a lease
//! (`thistlecroft-leases`).
#[path = "snapshots.rs"]
mod chunks;
#[path = "shared_state.rs"]
pub mod facts;
pub mod gossip;
pub mod identity;
mod members;
mod node;
pub mod wire;

pub use facts::{Fact, Kind};
pub use identity::{Identity, MemberState};
pub use node::{Counts, Event, Node, View};

use thistlecroft::time::Duration;

/// What a fleet's relays have in common.
#[derive(Clone, Debug)]
pub struct Terms {
    pub fleet: String,
    /// Read from a file, the same for all of a fleet.
    pub secret: Vec<u8>,
    pub pace: Pace,
    /// Bytes a second that one relay sends at most, whatever the size of the fleet.
    pub rate: u32,
}

/// All times of membership, from one period.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// A relay probes one other in each.
    pub period: Duration,
}

impl Pace {
    /// A probe asks others after so long, and has failed at the period's end.
    pub fn answer_within(&self) -> Duration {
        self.period * 0.4
    }

    /// A suspicion's least and most time in a fleet of that size: with three more accusers, and
    /// with none.
    pub fn suspicion(&self, size: usize) -> (Duration, Duration) {
        let least = self.period * (SUSPICION * (size.max(10) as f64).log10());
        (least, least * SUSPICION_MOST)
    }

    /// How long rows of the dead are kept.
    pub fn dead_kept(&self) -> Duration {
        self.period * 600.0
    }

    /// Bound on the time until a relay that has stopped for good is *gone* for one that goes on,
    /// where no datagram is lost: its turn to be probed comes within two rounds, the probe takes a
    /// period, the suspicion its most; each stretched by the observer's own health.
    pub fn gone_within(&self, size: usize, health: u32) -> Duration {
        let round = self.period * (2.0 * size as f64 + 1.0);
        round * f64::from(health + 1) + self.suspicion(size).1 + self.period
    }
}

/// Periods of a suspicion at ten relays and below, and how many times that without further
/// accusers.
const SUSPICION: f64 = 4.0;
const SUSPICION_MOST: f64 = 3.0;

pub(crate) fn first_eight(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .take(8)
        .fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}
