//! Membership and leases of many processes over simulated links: the same code as on sockets, on a
//! simulated clock. Each directed link has its own fault, each process a clock of its own speed;
//! processes start, pause and end. No I/O.
mod host;
mod network;

pub use crate::link_fault::LinkFault;
pub use host::{Host, MemberChange};
pub use network::SimulatedNetwork;
