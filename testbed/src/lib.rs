//! The testbed of relays: simulated backends, discovery agents and clients on loopback sockets, and
//! checkers of the events that they observe.
//!
//! The simulated backends, with their set-up store and the discovery agents, share a thread
//! ([`simulated_backends`]), the clients have one or more threads of their own
//! ([`load_generator`]), and relays are processes ([`relay_process`], [`process_cluster`]).
//! [`relay_network`] forwards datagrams between relays, and [`relay_observer`] polls their admin
//! ports. Each thread records what it observes ([`event_recorder`]); [`invariant_checker`] and
//! [`cluster_invariants`] check the recorded events.
//!
//! The models and checkers ([`backend_model`], [`traffic`], [`endpoint_list`], [`link_fault`],
//! [`simulated_network`], both checkers) do no I/O.
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
pub mod loopback;
pub mod process_cluster;
pub mod relay_network;
pub mod relay_observer;
pub mod relay_process;
pub mod simulated_backends;
pub mod simulated_network;
pub mod socket_holder;
pub mod traffic;
