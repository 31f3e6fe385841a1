//! Migration off overloaded backends and back to the local zone.
mod support;

use support::{Harness, IDEMPOTENT, arrival, deployment, ms, ready_endpoints};
use thistlecroft::deployment::Deployment;

#[test]
fn crossing_connections_return_to_local_zone() {
    // Connections held (half of them cross), the cost of crossing, the load of the local zone, and
    // whether any are migrated.
    let cases = [
        (40, 0.1, 0.1, true),
        (40, 0.0, 0.1, false),
        (40, 0.1, 0.5, false),
        (6, 0.1, 0.1, false),
    ];
    for (held, cost, load, some) in cases {
        let priced = Deployment {
            cross_zone_cost: cost,
            migration_cost: 0.01,
            ..deployment(IDEMPOTENT)
        };
        let mut harness = Harness::new(priced, &ready_endpoints(8));
        (0..held).for_each(|id| harness.inherit(id, id % 8));
        (0..8).for_each(|backend| harness.report(backend, Some(f64::from(held)), Some(load)));
        harness.advance(ms(3_000));
        let migrated = harness.migrations();
        assert_eq!(migrated > 0, some, "{held} {cost} {load}: {migrated}");
        assert!(
            migrated <= 7,
            "{held} {cost} {load}: one at a time, {migrated}"
        );
    }
}

#[test]
fn overloaded_backend_relieved_of_excess() {
    // Load, latency of a message, how long the connections have stood in milliseconds (none where
    // they were inherited at start), and how many of ten are migrated.
    let cases = [
        (0.75, 10, Some(9_000), 0..=0),
        (0.85, 10, Some(9_000), 2..=4),
        (1.2, 10, Some(9_000), 4..=6),
        (1.2, 10, Some(1_000), 0..=0),
        // Guards against a rush that overloads a backend and could not be undone for seconds.
        (1.2, 10, Some(2_200), 4..=6),
        // Guards against an overload at start that no connection could be migrated from.
        (1.2, 10, None, 4..=6),
        // Guards against work that stays piled up behind a load just under one.
        (0.85, 400, Some(9_000), 3..=5),
        // Late messages are believed before a report of half the capacity.
        (0.5, 400, Some(9_000), 2..=5),
        (0.5, 40, Some(9_000), 0..=0),
    ];
    for (load, latency, stood, expected) in cases {
        let mut harness = Harness::new(deployment(IDEMPOTENT), &ready_endpoints(1));
        for id in 0..10 {
            if stood.is_some() {
                harness.arrive(id, arrival(u64::from(id) + 1, 0, ms(4_800)));
                harness.establish(id, 0);
            } else {
                harness.inherit(id, 0);
            }
        }
        harness.advance(ms(stood.unwrap_or(0)));
        harness.report(0, Some(10.0), Some(load));
        harness.observe_latency(3, ms(latency));
        harness.advance(ms(600));
        assert!(
            expected.contains(&harness.migrations()),
            "{load} {latency} {stood:?}: {}",
            harness.migrations()
        );
    }
}

#[test]
fn lone_connections_relieved_by_chance() {
    // 200 relays hold one connection each at a backend with a third too much. Rounding would migrate
    // all or none.
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
    assert!((40..100).contains(&migrated), "{migrated} of 200");
}
