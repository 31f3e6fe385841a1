//! Placement of groups that share work.
mod support;

use std::collections::BTreeSet;
use support::{Harness, IDEMPOTENT, arrival, deployment, ms, ready_endpoints};
use thistlecroft::attempt::AttemptOutcome;
use thistlecroft::deployment::Deployment;

#[test]
fn group_kept_together_by_all_relays() {
    for group in 1..30 {
        let mut backends = BTreeSet::new();
        for relay_index in 0..3 {
            let mut endpoints = ready_endpoints(12);
            endpoints.rotate_left(relay_index as usize * 5);
            let mut harness = Harness::new(
                Deployment {
                    relay_index,
                    relay_count: 3,
                    ..deployment(IDEMPOTENT)
                },
                &endpoints,
            );
            (0..12).for_each(|backend| harness.report(backend, None, Some(0.2)));
            for id in 1..4 {
                backends.insert(
                    harness
                        .arrive(id, arrival(u64::from(id), group, ms(4_800)))
                        .unwrap()
                        .backend,
                );
            }
        }
        assert!(
            backends.len() <= 2,
            "group {group} is placed at backends {backends:?}"
        );
    }
}

/// Returns the backends of each group after 200 relays, each of which knows one report, have placed
/// two sessions each.
fn backends_of_groups(group_count: u32) -> Vec<BTreeSet<u32>> {
    let mut backends_of_groups = vec![BTreeSet::new(); group_count as usize];
    for relay_index in 0..200 {
        let mut endpoints = ready_endpoints(60);
        endpoints.rotate_left(relay_index as usize % 60);
        let mut harness = Harness::new(
            Deployment {
                relay_index,
                relay_count: 200,
                ..deployment(IDEMPOTENT)
            },
            &endpoints,
        );
        harness.report(relay_index % 60, Some(20.0), Some(0.3));
        for id in 0..2 {
            let group = (relay_index * 2 + id) % group_count;
            let backend = harness
                .arrive(id, arrival(0, u64::from(group) + 1, ms(4_800)))
                .unwrap()
                .backend;
            backends_of_groups[group as usize].insert(backend);
        }
    }
    backends_of_groups
}

#[test]
fn group_homes_spread_over_fleet() {
    // While no backend is hot, a group is at one backend, whatever relay places its sessions, and
    // no backend has many of the groups.
    for group_count in [60, 400] {
        let backends_of_groups = backends_of_groups(group_count);
        assert!(
            backends_of_groups
                .iter()
                .all(|backends| backends.len() == 1),
            "backends of each of {group_count} groups: {backends_of_groups:?}"
        );
        let mut groups_at_backend = [0; 60];
        backends_of_groups
            .iter()
            .flatten()
            .for_each(|&backend| groups_at_backend[backend as usize] += 1);
        assert!(
            groups_at_backend
                .iter()
                .all(|&groups| groups <= group_count / 60 * 3 + 4),
            "number of the {group_count} groups at each backend: {groups_at_backend:?}"
        );
    }
}

#[test]
fn group_not_rejected_while_fleet_has_capacity() {
    // Each case: the load of the first backend in the group's order, that of the others, and
    // whether a session of the group is placed.
    for (first_load, other_load, is_placed) in [
        (0.85, 0.2, true),
        (0.85, 0.4, true),
        (0.85, 0.55, false),
        (0.1, 0.7, true),
    ] {
        let mut harness = Harness::new(deployment(IDEMPOTENT), &ready_endpoints(4));
        (0..4).for_each(|backend| harness.report(backend, Some(10.0), Some(0.1)));
        let first_backend = harness.arrive(1, arrival(1, 7, ms(1_000))).unwrap().backend;
        harness.end(1, 0, AttemptOutcome::Cancelled, true);
        harness.advance(ms(1_100));
        for backend in 0..4 {
            let load = if backend == first_backend {
                first_load
            } else {
                other_load
            };
            harness.report(backend, Some(10.0), Some(load));
        }
        assert_eq!(
            harness.arrive(9, arrival(9, 7, ms(1_000))).is_some(),
            is_placed,
            "load of the first backend {first_load}, of the others {other_load}"
        );
    }
}

/// Returns the backends at which 24 relays each place the first session of one group. The load of a
/// single backend is known if `one_has_reported`.
fn first_backends(base_deployment: &Deployment, one_has_reported: bool) -> Vec<u32> {
    let first_backend = |seed: u64| {
        let mut harness = Harness::with_seed(
            Deployment {
                relay_count: 24,
                ..base_deployment.clone()
            },
            seed,
            &ready_endpoints(90),
        );
        if one_has_reported {
            harness.report(5, Some(10.0), Some(0.4));
        }
        harness
            .arrive(0, arrival(1, 77, ms(4_800)))
            .map(|target| target.backend)
    };
    (1..=24).filter_map(first_backend).collect()
}

#[test]
fn group_spread_by_share_if_load_is_unavailable() {
    // Each case: whether health checks may be sent, whether loads are reported, whether one backend
    // has reported, and whether the group keeps to the first backend of its order.
    let cases = [
        (true, true, false, true),
        (false, false, false, true),
        (false, true, true, true),
        (false, true, false, false),
    ];
    for (may_check_health, reports_load, one_has_reported, is_kept_together) in cases {
        let base_deployment = Deployment {
            may_check_health,
            reports_load,
            ..deployment(IDEMPOTENT)
        };
        let mut backends = first_backends(&base_deployment, one_has_reported);
        assert_eq!(backends.len(), 24);
        backends.sort_unstable();
        let relays_at_backend: Vec<usize> = backends
            .chunk_by(|backend, next| backend == next)
            .map(<[u32]>::len)
            .collect();
        let used_backends = relays_at_backend.len();
        let most_relays = relays_at_backend.iter().max().copied().unwrap_or(0);
        let case = format!(
            "health checks allowed {may_check_health}, loads reported {reports_load}, \
             one backend has reported {one_has_reported}: group placed at {backends:?}"
        );
        if is_kept_together {
            assert_eq!(used_backends, 1, "{case}");
        } else {
            // The group has one session of 21, and so counts for a twenty-first of a full fleet: 7
            // of 90 backends at a load of 0.6 each, plus the first one.
            assert!((5..=8).contains(&used_backends), "{case}");
            assert!(most_relays <= 9, "{case}");
        }
    }
}
