//! Clients by the thousand on one thread. Each arrives when it is due whatever the others met (an
//! open loop), waits for its answer, sends a message in each interval and checks that it comes back
//! once and in order, and connects again when it is rejected, asked to migrate or disconnected.
//!
//! Times count from when a client was due, not from when this thread got round to it.
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
