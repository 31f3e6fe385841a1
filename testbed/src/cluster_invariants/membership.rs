//! Checks that each running relay sees exactly the running relays alive at the end.
use super::invariant::{ClusterInvariant, ClusterLimits, ClusterViolation};
use crate::event_recorder::{Observation, RecordedEvent, RelayIndex};
use std::collections::{BTreeMap, BTreeSet};
use thistlecroft::time::Instant;

/// Checks the last answer of each running relay.
pub(super) fn check(events: &[RecordedEvent], limits: &ClusterLimits) -> Vec<ClusterViolation> {
    if !limits.requires_consistent_membership {
        return Vec::new();
    }
    let mut running: BTreeSet<RelayIndex> = BTreeSet::new();
    let mut last_seen: BTreeMap<RelayIndex, (Instant, &[String])> = BTreeMap::new();
    for RecordedEvent { at, observation } in events {
        match observation {
            Observation::RelayStarted { relay } => {
                running.insert(*relay);
            }
            Observation::RelayKilled { relay } | Observation::RelayStopped { relay } => {
                running.remove(relay);
            }
            Observation::MembersSeen { relay, members } => {
                last_seen.insert(*relay, (*at, members));
            }
            _ => {}
        }
    }
    let expected: BTreeSet<String> = running
        .iter()
        .map(|relay| format!("relay-{}", relay.0))
        .collect();
    let violation = |relay: &RelayIndex| {
        let (at, members) = *last_seen.get(relay)?;
        let seen: BTreeSet<String> = members.iter().cloned().collect();
        (seen != expected).then(|| ClusterViolation {
            invariant: ClusterInvariant::ConsistentMembership,
            at,
            description: format!(
                "relay {} sees {} of the {} running relays at the end",
                relay.0,
                seen.intersection(&expected).count(),
                expected.len()
            ),
        })
    };
    running.iter().filter_map(violation).collect()
}
