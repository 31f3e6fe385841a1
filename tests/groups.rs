//! Placement of groups that share work.
mod support;

use std::collections::BTreeSet;
use support::{Harness, IDEMPOTENT, arrival, deployment, ms, ready_endpoints};
use thistlecroft::attempt::AttemptOutcome;
use thistlecroft::deployment::Deployment;

#[test]
fn group_kept_together_by_all_relays() {
    for group in 1..30 {
        let mut homes = BTreeSet::new();
        for relay_index in 0..3 {
            let mut list = ready_endpoints(12);
            list.rotate_left(relay_index as usize * 5);
            let mut harness = Harness::new(
                Deployment {
                    relay_index,
                    relay_count: 3,
                    ..deployment(IDEMPOTENT)
                },
                &list,
            );
            (0..12).for_each(|backend| harness.report(backend, None, Some(0.2)));
            for id in 1..4 {
                homes.insert(
                    harness
                        .arrive(id, arrival(u64::from(id), group, ms(4_800)))
                        .unwrap()
                        .backend,
                );
            }
        }
        assert!(homes.len() <= 2, "group {group} is placed at {homes:?}");
    }
}

#[test]
fn group_homes_spread_over_fleet() {
    // Each of 200 relays knows one report and places two sessions, of `groups` groups in all. While
    // no backend is hot, a group is at one backend, whatever relay places its sessions, and no
    // backend is the first one of many groups.
    for groups in [60, 400] {
        let mut homes = vec![BTreeSet::new(); groups as usize];
        for relay_index in 0..200 {
            let mut list = ready_endpoints(60);
            list.rotate_left(relay_index as usize % 60);
            let mut harness = Harness::new(
                Deployment {
                    relay_index,
                    relay_count: 200,
                    ..deployment(IDEMPOTENT)
                },
                &list,
            );
            harness.report(relay_index % 60, Some(20.0), Some(0.3));
            for id in 0..2 {
                let group = (relay_index * 2 + id) % groups;
                let backend = harness
                    .arrive(id, arrival(0, u64::from(group) + 1, ms(4_800)))
                    .unwrap()
                    .backend;
                homes[group as usize].insert(backend);
            }
        }
        assert!(
            homes.iter().all(|homes| homes.len() == 1),
            "backends of each of {groups} groups: {homes:?}"
        );
        let mut firsts = [0; 60];
        homes
            .iter()
            .flatten()
            .for_each(|&backend| firsts[backend as usize] += 1);
        assert!(
            firsts.iter().all(|&first| first <= groups / 60 * 3 + 4),
            "number of the {groups} groups at each backend: {firsts:?}"
        );
    }
}

#[test]
fn group_not_rejected_while_fleet_has_capacity() {
    let home = |harness: &mut Harness| harness.arrive(1, arrival(1, 7, ms(1_000))).unwrap().backend;
    // Each case: the load of the first backend in the group's order, that of the others, and
    // whether a session of the group is placed.
    for (first, others, placed) in [
        (0.85, 0.2, true),
        (0.85, 0.4, true),
        (0.85, 0.55, false),
        (0.1, 0.7, true),
    ] {
        let mut harness = Harness::new(deployment(IDEMPOTENT), &ready_endpoints(4));
        (0..4).for_each(|backend| harness.report(backend, Some(10.0), Some(0.1)));
        let home = home(&mut harness);
        harness.end(1, 0, AttemptOutcome::Cancelled, true);
        harness.advance(ms(1_100));
        (0..4).for_each(|backend| {
            harness.report(
                backend,
                Some(10.0),
                Some(if backend == home { first } else { others }),
            )
        });
        assert_eq!(
            harness.arrive(9, arrival(9, 7, ms(1_000))).is_some(),
            placed,
            "load of the first {first}, of the others {others}"
        );
    }
}

/// Returns the backends at which 24 relays each place the first session of one group.
fn first_backends(base_deployment: &Deployment, one_reported: bool) -> Vec<u32> {
    let first = |seed: u64| {
        let mut harness = Harness::with_seed(
            Deployment {
                relay_count: 24,
                ..base_deployment.clone()
            },
            seed,
            &ready_endpoints(90),
        );
        if one_reported {
            harness.report(5, Some(10.0), Some(0.4));
        }
        harness
            .arrive(0, arrival(1, 77, ms(4_800)))
            .map(|target| target.backend)
    };
    (1..=24).filter_map(first).collect()
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
    for (may_check_health, reports_load, one_reported, kept_together) in cases {
        let base_deployment = Deployment {
            may_check_health,
            reports_load,
            ..deployment(IDEMPOTENT)
        };
        let mut backends = first_backends(&base_deployment, one_reported);
        assert_eq!(backends.len(), 24);
        backends.sort_unstable();
        let shares: Vec<usize> = backends
            .chunk_by(|one, other| one == other)
            .map(<[u32]>::len)
            .collect();
        let (used, fullest) = (shares.len(), shares.iter().max().copied().unwrap_or(0));
        let case = format!(
            "checks {may_check_health}, loads {reports_load}, one reported {one_reported}: {backends:?}"
        );
        if kept_together {
            assert_eq!(used, 1, "{case}");
        } else {
            // The group has one session of 21, and so counts for a twenty-first of a full fleet: 7
            // of 90 backends at a load of 0.6 each, plus the first one.
            assert!((5..=8).contains(&used), "{case}");
            assert!(fullest <= 9, "{case}");
        }
    }
}
