//! Simulated backends with their set-up store, and the relays' discovery agents, on one thread.
//! Backends implement the whole protocol, and named faults can be injected into them.
mod accept;
mod backend;
mod connection;
mod discovery_agent;
mod discovery_protocol;
mod faults;
mod handler;
mod lifecycle;
mod listener;
mod plan;
mod protocol;
mod reports;
mod sessions;
mod state;
mod timer;

pub use faults::{AgentFault, BackendFault};
pub use plan::{BackendCommand, BackendPlan, BackendSpec, BackendTotals};
pub use state::{OpenedBackends, SimulatedBackends};
