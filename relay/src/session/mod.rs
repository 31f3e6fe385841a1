//! Sessions: one client connection each, from accept to close.
mod attempts;
mod backend;
mod client;
mod closing;
mod commands;
mod established;
mod handover;
mod handshake;
mod inherited;
mod latency;
mod listener;
mod placement;
mod shared;
mod stage;
mod state;
pub mod table;
