//! Judges from recorded events whether relays kept the invariants of a cluster, besides those that
//! each keeps by itself.
//!
//! No I/O. The events are those of backends, clients and observers at the relays' admin ports,
//! never what the relays log of themselves.
mod bans;
mod invariant;
mod leases;
mod membership;
mod sessions;
mod totals;

pub use invariant::{ClusterInvariant, ClusterLimits, ClusterViolation};

use crate::event_recorder::RecordedEvent;

/// All violations in the order of time.
pub fn check_cluster_invariants(
    events: &[RecordedEvent],
    limits: &ClusterLimits,
) -> Vec<ClusterViolation> {
    let mut violations = leases::check(events);
    violations.extend(sessions::check(events, limits));
    violations.extend(totals::check(events, limits));
    violations.extend(bans::check(events, limits));
    violations.extend(membership::check(events, limits));
    violations.sort_by_key(|violation| violation.at);
    violations
}
