//! Stand-ins on loopback sockets for everything that a relay meets: boxes, discovery, a set-up
//! store and clients by the thousand, with named faults; and the referee, who reads what they saw
//! and says of each of the four rules whether it was kept. Boxes, discovery and store share a
//! thread (`yard`), clients have one or more of their own (`crowd`); relays are processes (`post`)
//! or whatever listens at an address.
//!
//! What the stand-ins work out (`model`, `traffic`, `listing`, `referee`) is free of I/O.
pub mod backend_model;
pub mod clock;
pub mod cluster_invariants;
pub mod endpoint_list;
pub mod event_loop;
pub mod event_recorder;
pub mod invariant_checker;
mod line_socket;
pub mod link_fault;
pub mod load_generator;
pub mod process_cluster;
pub mod relay_network;
pub mod relay_observer;
pub mod relay_process;
pub mod simulated_backends;
pub mod simulated_network;
pub mod socket_holder;
pub mod traffic;
