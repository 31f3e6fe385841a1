//! Runs of a small relay, correct or with one fault, among the simulated backends and clients, and
//! what the checkers find in them.
mod cluster_invariants;
mod faulty_relay;
mod invariants;
mod scenario;
