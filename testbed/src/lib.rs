//! Stand-ins on loopback sockets for everything that a relay meets: boxes, discovery, a set-up
//! store and clients by the thousand, with named faults; and the referee, who reads what they saw
//! and says of each of the four rules whether it was kept. Boxes, discovery and store share a
//! thread (`yard`), clients have one or more of their own (`crowd`); relays are processes (`post`)
//! or whatever listens at an address.
//!
//! What the stand-ins work out (`model`, `traffic`, `listing`, `referee`) is free of I/O.
pub mod clock;
pub mod crowd;
pub mod link;
pub mod listing;
pub mod model;
pub mod net;
pub mod post;
pub mod referee;
pub mod rig;
pub mod simulated_network;
pub mod stage;
pub mod station;
pub mod tape;
pub mod together;
pub mod traffic;
mod wire;
pub mod witness;
pub mod yard;
