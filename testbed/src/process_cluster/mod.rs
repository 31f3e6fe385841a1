//! Relays as processes that know of one another, for tests: started, partitioned, paused, killed
//! and started again, and waited for until a condition holds, within a bound.
mod cluster;
mod error;
mod plan;

pub use cluster::ProcessCluster;
pub use error::ProcessClusterError;
pub use plan::ClusterPlan;
