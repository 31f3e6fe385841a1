//! The cluster invariants that are violated by relays that are each correct alone, or by a relay
//! that makes concurrent attempts.
use super::faulty_relay::RelayFault;
use super::scenario::Scenario;
use thistlecroft::time::Duration;
use thistlecroft_testbed::cluster_invariants::{
    ClusterInvariant, ClusterLimits, check_cluster_invariants,
};
use thistlecroft_testbed::event_recorder::{BackendIndex, Observation, RecordedEvent, RelayIndex};

/// Returns the violated invariants in chronological order, without successive repetitions.
fn violated_invariants(events: &[RecordedEvent], limits: &ClusterLimits) -> Vec<ClusterInvariant> {
    let mut invariants: Vec<ClusterInvariant> = check_cluster_invariants(events, limits)
        .iter()
        .map(|violation| violation.invariant)
        .collect();
    invariants.dedup();
    invariants
}

#[test]
fn individually_correct_relays_violate_limits_of_the_cluster() {
    let scenario = Scenario {
        relays: 2,
        arrivals_per_second: 30.0,
        ..Scenario::new(RelayFault::None)
    };
    let (result, mut events) = scenario.run();
    assert!(result.holds(), "{}", result.summary());
    let bans = ClusterLimits {
        ban_replication_time: Some(Duration::from_millis(300)),
        ..ClusterLimits::default()
    };
    assert_eq!(violated_invariants(&events, &bans), []);
    // Each relay alone stays within these limits.
    let sessions = ClusterLimits {
        max_sessions: Some((10, Duration::from_millis(200))),
        ..ClusterLimits::default()
    };
    assert_eq!(
        violated_invariants(&events, &sessions),
        [ClusterInvariant::SessionLimit]
    );
    let attempts = ClusterLimits {
        max_attempts_per_second: Some(15),
        ..ClusterLimits::default()
    };
    assert_eq!(
        violated_invariants(&events, &attempts),
        [ClusterInvariant::AttemptRate]
    );
    // The first relay confirms a ban that the second relay does not know.
    let middle = events[events.len() / 2].at;
    events.push(RecordedEvent {
        at: middle,
        observation: Observation::BackendBanned {
            relay: RelayIndex(0),
            backend: BackendIndex(1),
            banned: true,
        },
    });
    events.sort_by_key(|event| event.at);
    assert_eq!(
        violated_invariants(&events, &bans),
        [ClusterInvariant::BansReplicated]
    );
}

#[test]
fn session_established_by_concurrent_attempts_at_two_backends_is_a_violation() {
    let (_, events) = Scenario::new(RelayFault::ConcurrentAttempts).run();
    let violated = violated_invariants(&events, &ClusterLimits::default());
    assert!(violated.contains(&ClusterInvariant::OneBackendPerSession));
}
