//! Checks that an operator's ban at one relay holds at all relays.
use super::invariant::{ClusterInvariant, ClusterLimits, ClusterViolation, ORDER_TOLERANCE};
use crate::event_recorder::{BackendIndex, Observation, RecordedEvent};
use std::collections::BTreeMap;
use thistlecroft::time::Instant;

pub(super) fn check(events: &[RecordedEvent], limits: &ClusterLimits) -> Vec<ClusterViolation> {
    let Some(replication_time) = limits.ban_replication_time else {
        return Vec::new();
    };
    let mut banned_since: BTreeMap<BackendIndex, Instant> = BTreeMap::new();
    let mut violations = Vec::new();
    for RecordedEvent { at, observation } in events {
        match observation {
            Observation::BackendBanned {
                backend,
                banned: true,
                ..
            } => {
                banned_since.entry(*backend).or_insert(*at);
            }
            Observation::BackendBanned {
                backend,
                banned: false,
                ..
            } => {
                banned_since.remove(backend);
            }
            Observation::AttemptReceived {
                backend,
                first_byte_at,
                ..
            } => {
                let Some(since) = banned_since.get(backend) else {
                    continue;
                };
                if *first_byte_at <= *since + replication_time + ORDER_TOLERANCE {
                    continue;
                }
                let after = first_byte_at.duration_since(*since).as_millis();
                violations.push(ClusterViolation {
                    invariant: ClusterInvariant::BansReplicated,
                    at: *at,
                    description: format!(
                        "backend {} received an attempt {after} ms after its ban",
                        backend.0
                    ),
                });
            }
            _ => {}
        }
    }
    violations
}
