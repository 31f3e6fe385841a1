//! Decisions of a balancer for long-lived connections, free of I/O.
//!
//! [`balancer::Balancer`] decides where a session goes, when a failed attempt is retried, when a
//! client is rejected and when a connection is migrated. The embedding protocol reports events to
//! it and carries its decisions out as a [`driver::Driver`]. Time and the seed of its random numbers
//! are handed in: the same events make the same decisions.
//!
//! | module | holds |
//! | --- | --- |
//! | [`balancer`] | the decisions |
//! | [`deployment`] | what a balancer is configured with |
//! | [`endpoint`] | what service discovery tells of backends |
//! | [`attempt`] | what is reported of sessions and of their attempts |
//! | [`driver`] | what the balancer asks of the embedding protocol |
//! | [`snapshot`] | what is passed on at a hot restart |
//! | [`ids`], [`time`], [`random`] | basic types |
pub mod attempt;
pub mod balancer;
pub mod deployment;
pub mod driver;
pub mod endpoint;
mod failure_counts;
pub mod ids;
pub mod random;
mod route_limits;
pub mod snapshot;
pub mod time;
