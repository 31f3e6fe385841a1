//! Sessions: one client connection each, from its acceptance to its close.
//!
//! [`table::Sessions`] holds them and hands each event, timer and action to the session that it is
//! about. What a session then does depends on its [`stage::Stage`], and stands in the module of
//! that stage:
//!
//! | module | stage or task |
//! | --- | --- |
//! | [`listener`] | connections are accepted; idle ones are shed when descriptors run out |
//! | [`handshake`] | the first line is read |
//! | [`placement`] | the balancer is to find a backend |
//! | [`attempts`] | connections to backends are attempted |
//! | [`inherited`] | a session from before the start returns to its backend |
//! | [`established`] | lines are relayed both ways |
//! | [`handover`] | the session is handed over to the successor process |
//! | [`closing`] | the last line is written, and the client's end awaited |
//!
//! [`client`] and [`backend`] take up the events of the two connections, [`actions`] carries out
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
