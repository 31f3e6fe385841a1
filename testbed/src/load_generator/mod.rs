//! Thousands of clients on one thread, in an open loop: each arrives when it is due, no matter how
//! the clients before it were served. A client waits for its answer, sends a message in each
//! interval and checks that each is echoed once and in order. It connects again when it is
//! rejected, asked to migrate or disconnected.
//!
//! Times are measured from when a client was due, not from when this thread handled it.
mod client;
mod connecting;
mod generator;
mod handler;
mod misbehaving;
mod plan;
mod protocol;
mod sessions;
mod totals;

pub use generator::LoadGenerator;
pub use plan::{
    ALL_CLIENTS_GONE, ClientDistribution, LoadCommand, LoadPlan, Misbehavior, RelayEndpoint,
};
pub use totals::{ListenerTotals, LoadTotals};
