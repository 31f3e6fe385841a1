//! Checks by recorded events whether the relays of a cluster kept the invariants that they can only
//! keep together. [`crate::invariant_checker`] checks those that concern each relay alone.
//!
//! The checkers do no I/O. They rely on the events that backends, clients and observers at the
//! relays' admin ports recorded, and never on the relays' own logs.
mod bans;
mod invariant;
mod leases;
mod membership;
mod sessions;
mod totals;

pub use invariant::{ClusterInvariant, ClusterLimits, ClusterViolation};

use crate::event_recorder::RecordedEvent;

/// Returns all violations in chronological order.
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
