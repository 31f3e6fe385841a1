//! Decisions of a balancer for long-lived connections, free of I/O.
//!
//! [`balancer::Balancer`] decides where a session goes, when a failed attempt is retried, when a
//! client is rejected and when a connection is migrated. The embedding protocol reports events to
//! it and carries its decisions out as a [`driver::Driver`]. The caller provides the time and the
//! seed of the random numbers: the same events lead to the same decisions.
//!
//! | module | holds |
//! | --- | --- |
//! | [`balancer`] | the decisions |
//! | [`deployment`] | what a balancer is configured with |
//! | [`endpoint`] | what service discovery reports about backends |
//! | [`attempt`] | what is reported about sessions and their attempts |
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
