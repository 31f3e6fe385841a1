//! Runs a small relay, either correct or with one fault, among the simulated backends and clients,
//! and tests what the checkers find in the recorded events.
mod cluster_invariants;
mod faulty_relay;
mod invariants;
mod scenario;
