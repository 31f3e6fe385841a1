//! A cluster of relay processes that exchange messages, for tests: it starts, partitions, pauses,
//! kills and restarts relays, and waits with a time limit until a condition holds.
mod cluster;
mod error;
mod plan;

pub use cluster::ProcessCluster;
pub use error::ProcessClusterError;
pub use plan::ClusterPlan;
