//! Sessions: one client connection each, from accept to close.
mod accept;
mod actions;
mod attempts;
mod backend;
mod client;
mod closing;
mod established;
mod handover;
mod handshake;
mod inherited;
mod latency;
mod placement;
mod shared;
mod stage;
mod state;
pub mod table;
