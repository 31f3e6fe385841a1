//! The endpoint list and its discovery.
mod support;

use std::collections::BTreeSet;
use support::{Action, Harness, IDEMPOTENT, arrival, deployment, endpoint, ms, ready_endpoints};
use thistlecroft::deployment::Deployment;
use thistlecroft::endpoint::{EndpointState, UpdateKind};

#[test]
fn endpoint_list_update_leaves_only_ready_backends_used() {
    use EndpointState::{Draining, Ready, Removed};
    let listed = |backend, state| endpoint(backend, state, None);
    let cases: [(&str, UpdateKind, Vec<_>, &[u32]); 5] = [
        (
            "draining",
            UpdateKind::Delta,
            vec![listed(0, Draining)],
            &[1, 2],
        ),
        (
            "removed",
            UpdateKind::Delta,
            vec![listed(1, Removed), listed(2, Removed)],
            &[0],
        ),
        (
            "missing from a complete list",
            UpdateKind::Snapshot,
            vec![listed(2, Ready)],
            &[2],
        ),
        (
            "back after draining",
            UpdateKind::Delta,
            vec![listed(0, Draining), listed(0, Ready)],
            &[0, 1, 2],
        ),
        ("an empty list", UpdateKind::Snapshot, vec![], &[]),
    ];
    for (name, kind, list, expected) in cases {
        let mut harness = Harness::new(deployment(IDEMPOTENT), &ready_endpoints(3));
        harness.balancer.update_endpoints(kind, &list);
        let used: BTreeSet<u32> = (1..60)
            .filter_map(|id| Some(harness.arrive(id, arrival(0, 0, ms(4_800)))?.backend))
            .collect();
        assert_eq!(
            used,
            expected.iter().copied().collect(),
            "{name}: backends used"
        );
        let answered = (1..60)
            .filter(|&id| !harness.answers(id).is_empty())
            .count();
        let expected_answers = if expected.is_empty() { 59 } else { 0 };
        assert_eq!(answered, expected_answers, "{name}: sessions answered");
    }
}

#[test]
fn discovery_failure_subscribes_again_in_time() {
    for failures in 1..8 {
        let deployment = Deployment {
            poll_within: Some(ms(8_000)),
            ..deployment(IDEMPOTENT)
        };
        let mut harness = Harness::new(deployment, &ready_endpoints(3));
        let subscriptions = |harness: &Harness| harness.count(Action::Subscribe);
        for failure in 1..=failures {
            assert_eq!(subscriptions(&harness), failure);
            harness
                .balancer
                .discovery_failed(harness.now, &mut harness.recorder);
            harness.advance(ms(4_000));
        }
        assert_eq!(subscriptions(&harness), failures + 1);
    }
}
