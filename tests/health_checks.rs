//! How often health checks are sent, and to which backends.
mod support;

use support::{Harness, IDEMPOTENT, arrival, deployment, ms, ready_endpoints};
use thistlecroft::deployment::Deployment;

#[test]
fn health_checks_earned_by_sessions() {
    // Each case: the connections that a relay holds, the cost of a health check, and how many it
    // may send in 20 seconds. It always sends at least one in five seconds, and at most one to each
    // backend every two seconds.
    for (connections, cost, expected) in [
        (0, 0.002, 4..=5),
        (3, 0.002, 5..=13),
        (60, 0.002, 50..=300),
        (3, 0.0, 50..=300),
    ] {
        let mut harness = Harness::new(
            Deployment {
                health_check_cost: cost,
                ..deployment(IDEMPOTENT)
            },
            &ready_endpoints(30),
        );
        (0..connections).for_each(|id| harness.inherit(id, id % 30));
        harness.advance(ms(20_000));
        let sent = harness.health_checks_since(0).len();
        assert!(
            expected.contains(&sent),
            "{connections} connections, cost {cost}: {sent} sent"
        );
    }
}

#[test]
fn health_checks_prefer_own_connections() {
    // Each case: the backends at which this relay has connections, and how many of four hundred
    // health checks go there. A relay with connections at most backends checks all of them alike.
    let most_backends: &[u32] = &[0, 1, 2, 3, 4, 5, 6, 7];
    for (backends_with_connections, expected) in [
        (&[][..], 0..=0),
        (&[3], 190..=260),
        (&[0, 3, 5], 220..=310),
        (most_backends, 235..=300),
    ] {
        let mut harness = Harness::new(deployment(IDEMPOTENT), &ready_endpoints(12));
        backends_with_connections
            .iter()
            .for_each(|&backend| harness.inherit(backend, backend));
        while harness.health_checks_since(0).len() < 400 {
            harness.advance(ms(500));
        }
        let checked = harness.health_checks_since(0);
        let checks_there = checked
            .iter()
            .filter(|backend| backends_with_connections.contains(backend))
            .count();
        assert!(
            expected.contains(&checks_there),
            "connections at {backends_with_connections:?}: {checks_there} health checks there"
        );
    }
}

#[test]
fn health_checks_hurried_by_rush_after_start() {
    // Each case: the reported load, and how many health checks the next second must bring at least.
    for (load, least) in [(0.1, 2), (0.9, 3)] {
        let mut harness = Harness::new(
            Deployment {
                health_check_cost: 0.002,
                ..deployment(IDEMPOTENT)
            },
            &ready_endpoints(4),
        );
        harness.advance(ms(300));
        for id in 0..12 {
            harness.arrive(id, arrival(u64::from(id), 0, ms(1_000)));
            harness.establish(id, 0);
        }
        (0..4).for_each(|backend| harness.report(backend, None, Some(load)));
        let before = harness.recorder.actions.len();
        for id in 20..30 {
            harness.arrive(id, arrival(u64::from(id), 0, ms(1_000)));
            harness.advance(ms(100));
        }
        let sent = harness.health_checks_since(before).len();
        assert!((least..=9).contains(&sent), "load {load}: {sent} sent");
    }
}
