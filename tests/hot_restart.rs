//! State that a successor takes over from its predecessor.
mod support;

use support::{Harness, IDEMPOTENT, deployment, ms, ready_endpoints};
use thistlecroft::deployment::Deployment;

/// Returns a harness with four backends that have reported and hold ten connections each, which
/// share no work.
fn four_backends() -> Harness {
    let mut harness = Harness::new(
        Deployment {
            groups_share_work: false,
            ..deployment(IDEMPOTENT)
        },
        &ready_endpoints(4),
    );
    (0..40).for_each(|id| harness.inherit(id, id % 4));
    harness.advance(ms(20_000));
    (0..4).for_each(|backend| harness.report(backend, Some(10.0), Some(0.4)));
    harness
}

#[test]
fn successor_restores_ejections_of_predecessor() {
    let mut predecessor = four_backends();
    (0..6).for_each(|_| predecessor.fail_health_check(0));
    let mut successor = Harness::new(
        Deployment {
            groups_share_work: false,
            ..deployment(IDEMPOTENT)
        },
        &ready_endpoints(4),
    );
    successor
        .balancer
        .restore(&predecessor.balancer.snapshot(), true);
    // The successor has either no report of its own, or later ones of all backends but the first.
    // In both cases the greater counts are kept.
    for has_reports in [false, true] {
        if has_reports {
            successor.advance(ms(30_000));
            (1..4).for_each(|backend| successor.report(backend, Some(10.0), Some(0.4)));
            successor
                .balancer
                .restore(&predecessor.balancer.snapshot(), true);
        }
        let statistics = |harness: &Harness| harness.balancer.snapshot().endpoints[0].1;
        assert_eq!(
            (
                statistics(&successor).ejections,
                statistics(&successor).pending_health_checks
            ),
            (
                statistics(&predecessor).ejections,
                statistics(&predecessor).pending_health_checks
            ),
            "successor has reports: {has_reports}"
        );
        assert!(statistics(&successor).pending_health_checks > 0);
    }
}
