//! Migration of connections off overloaded backends and back to the local zone.
mod support;

use support::{Harness, IDEMPOTENT, arrival, deployment, ms, ready_endpoints};
use thistlecroft::deployment::Deployment;

#[test]
fn crossing_connections_return_to_local_zone() {
    // Each case: the number of connections (half of them cross zones), the cost of crossing, the
    // load of the local zone, and whether any connection is migrated.
    let cases = [
        (40, 0.1, 0.1, true),
        (40, 0.0, 0.1, false),
        (40, 0.1, 0.5, false),
        (6, 0.1, 0.1, false),
    ];
    for (connections, cost, load, any_migrated) in cases {
        let deployment = Deployment {
            cross_zone_cost: cost,
            migration_cost: 0.01,
            ..deployment(IDEMPOTENT)
        };
        let mut harness = Harness::new(deployment, &ready_endpoints(8));
        (0..connections).for_each(|id| harness.inherit(id, id % 8));
        (0..8)
            .for_each(|backend| harness.report(backend, Some(f64::from(connections)), Some(load)));
        harness.advance(ms(3_000));
        let migrated = harness.migrations();
        assert_eq!(
            migrated > 0,
            any_migrated,
            "{connections} connections, cost {cost}, load {load}: {migrated} migrated"
        );
        assert!(
            migrated <= 7,
            "{connections} connections, cost {cost}, load {load}: {migrated} migrated, not one at a time"
        );
    }
}

#[test]
fn overloaded_backend_relieved_of_excess() {
    // Each case: the load, the latency of a message and how long the connections have been
    // established (both in milliseconds; no time if they were inherited at start), and how many of
    // ten connections are migrated.
    let cases = [
        (0.75, 10, Some(9_000), 0..=0),
        (0.85, 10, Some(9_000), 2..=4),
        (1.2, 10, Some(9_000), 4..=6),
        (1.2, 10, Some(1_000), 0..=0),
        // Guards against a rush that overloads a backend and cannot be undone for seconds.
        (1.2, 10, Some(2_200), 4..=6),
        // Guards against an overload at start from which no connection could be migrated.
        (1.2, 10, None, 4..=6),
        // Guards against work that stays piled up at a load just under 1.
        (0.85, 400, Some(9_000), 3..=5),
        // Late messages take precedence over a report of half the capacity.
        (0.5, 400, Some(9_000), 2..=5),
        (0.5, 40, Some(9_000), 0..=0),
    ];
    for (load, latency, established_for, expected) in cases {
        let mut harness = Harness::new(deployment(IDEMPOTENT), &ready_endpoints(1));
        for id in 0..10 {
            if established_for.is_some() {
                harness.arrive(id, arrival(u64::from(id) + 1, 0, ms(4_800)));
                harness.establish(id, 0);
            } else {
                harness.inherit(id, 0);
            }
        }
        harness.advance(ms(established_for.unwrap_or(0)));
        harness.report(0, Some(10.0), Some(load));
        harness.observe_latency(3, ms(latency));
        harness.advance(ms(600));
        assert!(
            expected.contains(&harness.migrations()),
            "load {load}, latency {latency} ms, established for {established_for:?} ms: {} migrated",
            harness.migrations()
        );
    }
}

#[test]
fn single_connections_of_many_relays_migrated_by_chance() {
    // 200 relays hold one connection each at a backend that has to shed a third of its load. With
    // rounding all of them would be migrated, or none.
    let migrated: usize = (0..200)
        .map(|relay_index| {
            let deployment = Deployment {
                relay_index,
                relay_count: 200,
                ..deployment(IDEMPOTENT)
            };
            let mut harness =
                Harness::with_seed(deployment, u64::from(relay_index), &ready_endpoints(1));
            harness.inherit(1, 0);
            harness.report(0, Some(200.0), Some(0.91));
            harness.advance(ms(600));
            harness.migrations()
        })
        .sum();
    assert!((40..100).contains(&migrated), "{migrated} of 200 migrated");
}
