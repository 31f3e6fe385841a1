//! Communication between relays: membership by SWIM with Lifeguard's extensions, and state that
//! relays share by gossip.
//!
//! A [`Node`] is a state machine: datagrams and time go in, datagrams and events come out. It has
//! no socket, clock or random source of its own, so the same code runs on sockets, in simulated
//! networks and in a model checker.
//!
//! The state of a member is an opinion: fast, sometimes wrong, and different on the two sides of a
//! network partition. It gives no process the right to act in another's place; that takes a lease
//! (`thistlecroft-leases`).
mod gossip;
pub mod identity;
mod members;
mod node;
pub mod shared_state;
mod snapshots;
mod timing;
pub mod wire;

pub use identity::{Identity, MemberState};
pub use node::{Event, MemberView, Node, NodeCounts};
pub use shared_state::{EntryKind, EntryView};
pub use timing::ProtocolTiming;

/// The configuration that all relays of a fleet have in common.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The name of the fleet. Datagrams of other fleets are dropped.
    pub fleet: String,
    /// The key that authenticates datagrams, the same at all relays of a fleet.
    pub secret: Vec<u8>,
    /// The times of the membership protocol.
    pub timing: ProtocolTiming,
    /// The most bytes per second that one relay sends, independent of the size of the fleet.
    pub max_bytes_per_second: u32,
}

/// Returns the first eight bytes of a hash as a big-endian number.
pub(crate) fn leading_u64(bytes: &[u8]) -> u64 {
    let first = bytes.iter().take(8);
    first.fold(0, |number, byte| number << 8 | u64::from(*byte))
}
