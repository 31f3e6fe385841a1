//! A simulated network of many processes, which runs the same code for membership and leases as
//! relays do on sockets, but on a simulated clock. Each directed link can have a fault, each
//! process has a clock with its own speed, and processes can be started, paused and killed. No I/O.
mod host;
mod network;

pub use crate::link_fault::LinkFault;
pub use host::{Host, MemberChange};
pub use network::SimulatedNetwork;
