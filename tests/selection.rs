//! Selection of the backend for an attempt.
mod support;

use support::{Harness, IDEMPOTENT, arrival, deployment, endpoint, ms, ready_endpoints};
use thistlecroft::attempt::{Arrival, AttemptOutcome};
use thistlecroft::deployment::{Deployment, Route};
use thistlecroft::endpoint::{Endpoint, EndpointState};
use thistlecroft::ids::{RouteId, SessionId};
use thistlecroft::time::{Duration, Instant};

#[test]
fn saturated_fleet_rejects_only_with_capacity_shares() {
    // Each case: the connections and the load that every backend reports, and whether a session is
    // still placed.
    let cases = [
        (None, Some(0.4), true),
        (None, Some(0.95), false),
        (Some(500.0), Some(0.95), false),
        // Connections alone do not say how many are too many. Guards against rejecting all
        // sessions.
        (Some(500.0), None, true),
        (None, None, true),
    ];
    for (connections, load, placed) in cases {
        let mut harness = Harness::new(deployment(IDEMPOTENT), &ready_endpoints(4));
        (0..4).for_each(|backend| harness.report(backend, connections, load));
        harness.arrive(1, arrival(1, 3, ms(4_800)));
        assert_eq!(
            harness.answers(1).is_empty(),
            placed,
            "reported connections {connections:?}, load {load:?}"
        );
    }
}

#[test]
fn session_with_two_backends_goes_to_less_loaded() {
    // Each case: the reported loads, where a session without a group goes, and where a session of a
    // group goes whose order begins with backend 1. A group is opened elsewhere only if the
    // difference in load is worth it.
    for (loads, without_group, with_group) in
        [([0.5, 0.1], 1, 1), ([0.1, 0.5], 0, 1), ([0.1, 0.95], 0, 0)]
    {
        for (group, expected) in [(0, without_group), (4, with_group)] {
            let mut harness = Harness::new(deployment(IDEMPOTENT), &ready_endpoints(2));
            (0..2).for_each(|backend| {
                harness.report(backend, Some(99.0), Some(loads[backend as usize]))
            });
            let backend = harness
                .arrive(1, arrival(1, group, ms(4_800)))
                .unwrap()
                .backend;
            assert_eq!(backend, expected, "loads {loads:?}, group {group}");
        }
    }
}

#[test]
fn session_prefers_local_zone_if_crossing_costs() {
    // Each case: the cost of crossing zones, the load of the local zone (the even backends), and
    // whether sessions cross.
    for (cost, load, crosses) in [(0.1, 0.2, false), (0.1, 0.7, true), (0.0, 0.2, true)] {
        let mut harness = Harness::new(
            Deployment {
                cross_zone_cost: cost,
                ..deployment(IDEMPOTENT)
            },
            &ready_endpoints(6),
        );
        (0..6).for_each(|backend| {
            harness.report(
                backend,
                None,
                Some(if backend % 2 == 0 { load } else { 0.2 }),
            )
        });
        let crossed = (1..12).any(|id| {
            harness
                .arrive(id, arrival(0, 0, ms(4_800)))
                .unwrap()
                .backend
                % 2
                == 1
        });
        assert_eq!(
            crossed, crosses,
            "cost of crossing {cost}, load of the local zone {load}"
        );
    }
}

#[test]
fn placement_counts_as_average_connection() {
    // Each case: the reported connections and load, and how many more sessions are placed before
    // the next report.
    for (connections, load, placed) in [(4.0, 0.4, 4), (8.0, 0.4, 8), (2.0, 0.75, 1)] {
        let mut harness = Harness::new(deployment(IDEMPOTENT), &ready_endpoints(1));
        harness.report(0, Some(connections), Some(load));
        let is_placed = |id: &u32| {
            harness
                .arrive(*id, arrival(u64::from(*id) + 1, 0, ms(1_000)))
                .is_some()
        };
        assert_eq!(
            (0..20).filter(is_placed).count(),
            placed,
            "reported connections {connections}, load {load}"
        );
    }
}

#[test]
fn old_report_yields_to_listed_weights() {
    // All backends have the same weight, and backend 1 reported 15 s ago that it was idle. If
    // listed weights reflect loads, it counts as average by now, like backend 2, and not as idle.
    for (weight, idle_wins) in [(0.5, false), (1.0, true)] {
        let endpoint_with_weight = |backend| Endpoint {
            weight,
            ..endpoint(backend, EndpointState::Ready, None)
        };
        let mut at_backend_1 = 0;
        for id in 1..40 {
            let mut harness = Harness::with_seed(
                deployment(IDEMPOTENT),
                id,
                &[
                    endpoint_with_weight(0),
                    endpoint_with_weight(1),
                    endpoint_with_weight(2),
                ],
            );
            harness.report(1, Some(30.0), Some(0.01));
            harness.advance(ms(15_000));
            harness.report(0, Some(30.0), Some(0.3));
            at_backend_1 +=
                u32::from(harness.arrive(1, arrival(0, 0, ms(4_800))).unwrap().backend == 1);
        }
        assert_eq!(
            at_backend_1 > 20,
            idle_wins,
            "weight {weight}: {at_backend_1} of 39 sessions go to backend 1"
        );
    }
}

#[test]
fn listed_weight_adjusts_estimated_load() {
    // Each case: whether backend 1 has reported, its weight afterwards, and which backend is
    // selected. Backend 0 has a load of 0.3.
    for (has_reported, weight, expected) in [
        (false, 0.25, 0),
        (false, 4.0, 1),
        (true, 0.6, 0),
        (true, 2.0, 1),
    ] {
        let mut harness = Harness::new(deployment(IDEMPOTENT), &ready_endpoints(2));
        (0..=u32::from(has_reported))
            .for_each(|backend| harness.report(backend, Some(30.0), Some(0.3)));
        harness.update(Endpoint {
            weight,
            ..endpoint(1, EndpointState::Ready, None)
        });
        let backend = harness.arrive(1, arrival(1, 0, ms(4_800))).unwrap().backend;
        assert_eq!(
            backend, expected,
            "has reported {has_reported}, weight {weight}"
        );
    }
}

/// One of two routes has three times the priority weight of the other and a quarter of its load.
#[test]
fn scarce_capacity_goes_to_route_of_best_value() {
    // Each case: the load of all backends, and whether sessions of the route with the higher and of
    // the one with the lower value are placed.
    for (load, high_value_placed, low_value_placed) in [
        (0.40, true, true),
        (0.62, true, true),
        (0.72, true, false),
        (0.85, false, false),
    ] {
        let base_deployment = Deployment {
            groups_share_work: false,
            ..deployment(IDEMPOTENT)
        };
        let route = base_deployment.routes[0];
        let routes = vec![
            Route {
                priority_weight: 3.0,
                ..route
            },
            Route {
                priority_weight: 1.0,
                ..route
            },
        ];
        let mut harness = Harness::new(
            Deployment {
                routes,
                ..base_deployment
            },
            &ready_endpoints(6),
        );
        let session = |id: u32| Arrival {
            route: RouteId((id % 2) as u16),
            ..arrival(u64::from(id) + 1, 0, ms(4_800))
        };
        for id in 0..40 {
            harness.arrive(id, session(id));
            harness.establish(id, 0);
            harness
                .balancer
                .load_observed(SessionId(id), if id % 2 == 0 { 1.0 } else { 4.0 });
        }
        harness.advance(ms(20_000));
        (0..6).for_each(|backend| harness.report(backend, Some(1_000.0), Some(load)));
        for (id, placed) in [(100, high_value_placed), (101, low_value_placed)] {
            let attempted = harness.arrive(id, session(id)).is_some();
            assert_eq!(attempted, placed, "load {load}, route {}", id % 2);
            assert_eq!(
                harness.answers(id).is_empty(),
                placed,
                "a session that finds no capacity is answered at once"
            );
        }
    }
}

/// If reports come only with the ends of attempts, the backends that have reported are those that
/// failed or dropped a connection. They say nothing about the others.
#[test]
fn backend_without_report_used_if_health_checks_not_allowed() {
    // Each case: whether health checks may be sent, how many of ten backends have reported a high
    // load, and whether sessions are placed at one of the others.
    for (may_check_health, reported, placed) in [
        (true, 1, false),
        (true, 10, false),
        (false, 1, true),
        (false, 9, true),
        (false, 10, false),
    ] {
        let mut harness = Harness::new(
            Deployment {
                groups_share_work: false,
                may_check_health,
                ..deployment(IDEMPOTENT)
            },
            &ready_endpoints(10),
        );
        (0..reported).for_each(|backend| harness.report(backend, None, Some(0.95)));
        for id in 0..20 {
            let backend = harness
                .arrive(id, arrival(0, 0, ms(4_800)))
                .map(|target| target.backend);
            assert_eq!(
                backend.is_some(),
                placed,
                "health checks {may_check_health}, {reported} reported"
            );
            assert!(
                backend.is_none_or(|backend| backend >= reported),
                "health checks {may_check_health}, {reported} reported: {backend:?}"
            );
        }
    }
}

#[test]
fn same_events_lead_to_same_decisions() {
    let run = || {
        let mut harness = Harness::new(deployment(IDEMPOTENT), &ready_endpoints(7));
        for id in 0..200 {
            harness.arrive(id, arrival(u64::from(id % 9), u64::from(id % 4), ms(4_800)));
            harness.advance(ms(20));
            harness.end(
                id,
                0,
                if id % 3 == 0 {
                    AttemptOutcome::Error
                } else {
                    AttemptOutcome::Saturated
                },
                false,
            );
        }
        harness.advance(ms(5_000));
        harness.recorder.actions
    };
    assert_eq!(run(), run());
    assert!(Instant::from_micros(1).duration_since(Instant::from_micros(5)) == Duration::ZERO);
}
