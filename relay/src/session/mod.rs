//! Sessions: one client connection each, from its acceptance to its close.
//!
//! [`table::Sessions`] holds all sessions and dispatches each event, timer and action to the
//! session it concerns. How a session reacts depends on its [`stage::Stage`]; each stage has a
//! module:
//!
//! | module | stage or task |
//! | --- | --- |
//! | [`accept`], [`listener`] | accept connections; shed idle ones when descriptors run out |
//! | [`handshake`] | read the client's first line |
//! | [`placement`] | wait for a backend that accepts the session |
//! | [`attempts`] | attempt to connect to backends |
//! | [`inherited`] | return a session to its backend after a restart of the relay |
//! | [`established`] | relay lines both ways |
//! | [`handover`] | hand the session over to the successor process |
//! | [`closing`] | write the last line and wait for the client to close |
//!
//! [`client`] and [`backend`] handle the events of the two connections; [`actions`] carries out
//! what the balancer decides.
mod accept;
mod actions;
mod attempts;
mod backend;
mod client;
mod closing;
mod config_generations;
mod established;
mod handover;
mod handshake;
mod idle;
mod inherited;
mod listener;
mod offer_queue;
mod placement;
mod response_latency;
mod shared;
mod stage;
mod state;
pub(crate) mod table;
#[cfg(test)]
mod tests;
pub(crate) mod used_ids;
