//! Limits on sessions and retries, of single routes and of the whole relay.
mod support;

use support::{
    Action, Harness, IDEMPOTENT, arrival, deployment, ms, ready_endpoints, with_retry_budget,
    with_route,
};
use thistlecroft::attempt::{Arrival, AttemptOutcome};
use thistlecroft::deployment::{Deployment, RetryBudget, Route};
use thistlecroft::ids::RouteId;
use thistlecroft::time::Duration;

/// Returns an arrival of a route, from a client of its own.
fn arrival_of(route: RouteId, id: u32) -> Arrival {
    Arrival {
        route,
        ..arrival(u64::from(id) + 1, 0, ms(8_000))
    }
}

#[test]
fn retry_share_holds_while_all_attempts_fail() {
    // Each case: the retry share, and the bounds of the retries of 200 sessions that all fail. Each
    // session may retry twice.
    let cases = [
        (None, 201, 400),
        (Some(0.5), 51, 100),
        (Some(0.1), 10, 20),
        (Some(0.0), 0, 0),
    ];
    for (share, least, most) in cases {
        let deployment = with_route(|route| route.retry_share = share, deployment(IDEMPOTENT));
        let mut harness = Harness::new(deployment, &ready_endpoints(30));
        let (mut retries, mut unanswered) = (0, 0);
        for id in 0..200 {
            harness.arrive(id, arrival(u64::from(id) + 1, 0, ms(8_000)));
            let mut attempt = 0;
            while harness.attempts(id).len() > attempt as usize && attempt < 3 {
                harness.end(id, attempt, AttemptOutcome::Saturated, false);
                harness.advance(ms(2_500));
                attempt += 1;
            }
            retries += harness.attempts(id).len().saturating_sub(1);
            unanswered += usize::from(harness.answers(id).len() != 1);
        }
        assert!(
            (least..=most).contains(&retries),
            "retry share {share:?}: {retries} retries"
        );
        assert_eq!(
            unanswered, 0,
            "retry share {share:?}: a session without a retry is answered at once"
        );
    }
}

#[test]
fn max_sessions_and_route_kept_across_reconfigure() {
    let deployment = with_route(
        |route| (route.limits_id, route.max_sessions) = (1, Some(2)),
        deployment(IDEMPOTENT),
    );
    let old_route = deployment.routes[0];
    let mut harness = Harness::new(deployment.clone(), &ready_endpoints(4));
    for id in 0..4 {
        harness.arrive(id, arrival(u64::from(id) + 1, 0, ms(4_000)));
        assert_eq!(
            harness.answers(id).len(),
            usize::from(id >= 2),
            "session {id}"
        );
    }
    // In the new table the route allows fewer sessions and one attempt, and it comes after another
    // row.
    let new_route = Route {
        max_sessions: Some(1),
        max_attempts: 1,
        ..old_route
    };
    let unlimited = Route {
        limits_id: 0,
        max_sessions: None,
        ..old_route
    };
    harness.balancer.reconfigure(Deployment {
        routes: vec![unlimited, new_route],
        ..deployment
    });
    harness.arrive(10, arrival_of(RouteId(1), 10));
    assert_eq!(
        harness.answers(10).len(),
        1,
        "two of the old sessions are still open"
    );
    harness.arrive(11, arrival_of(RouteId(0), 11));
    assert_eq!(harness.answers(11).len(), 0);
    // A session that arrived before still has three attempts.
    for attempt in 0..2 {
        harness.end(0, attempt, AttemptOutcome::Saturated, false);
        harness.advance(ms(1_900));
    }
    assert!(harness.attempts(0).len() >= 2, "{:?}", harness.attempts(0));
    for id in [0, 1] {
        harness.leave(id);
        (0..3).for_each(|attempt| harness.end(id, attempt, AttemptOutcome::Cancelled, false));
    }
    harness.arrive(12, arrival_of(RouteId(1), 12));
    assert_eq!(
        (harness.answers(12).len(), harness.attempts(12).len()),
        (0, 1),
        "the number of sessions is within the limit again"
    );
    harness.end(12, 0, AttemptOutcome::Saturated, false);
    harness.advance(ms(3_000));
    assert_eq!(
        (harness.answers(12).len(), harness.attempts(12).len()),
        (1, 1),
        "the new row allows one attempt"
    );
}

/// Returns a deployment with one route of the highest weight and one of this weight, both without
/// retry delay. Six retries are free in a window.
fn deployment_with_two_weights(weight: f64) -> Deployment {
    let deployment = with_retry_budget(
        RetryBudget {
            free: 6.0,
            share: 0.0,
            window: ms(60_000),
        },
        deployment(IDEMPOTENT),
    );
    let route = |priority_weight| Route {
        backoff_base: Duration::ZERO,
        priority_weight,
        ..deployment.routes[0]
    };
    Deployment {
        routes: vec![route(5.0), route(weight)],
        ..deployment
    }
}

/// All sessions fail at once. The second half of the budget goes to the sessions of higher value.
#[test]
fn second_half_of_retry_budget_granted_by_session_value() {
    // Each case: the session's priority weight, the percentage of its time that has passed, how
    // many retries were granted before, and whether it is granted one.
    let cases = [
        (1.0, 0, 2, true),
        (1.0, 0, 3, false),
        (1.0, 90, 2, true),
        (3.0, 0, 3, true),
        (3.0, 0, 4, false),
        (3.0, 50, 4, false),
        (5.0, 0, 4, true),
        (5.0, 1, 5, false),
        (5.0, 50, 4, false),
    ];
    for (weight, passed_percent, granted_before, granted) in cases {
        let mut harness = Harness::new(deployment_with_two_weights(weight), &ready_endpoints(200));
        for id in 0..granted_before {
            harness.arrive(id, arrival_of(RouteId(0), id));
            harness.end(id, 0, AttemptOutcome::Saturated, false);
            harness.advance(Duration::ZERO);
            assert_eq!(
                harness.attempts(id).len(),
                2,
                "each of the {granted_before} earlier sessions is granted a retry"
            );
        }
        harness.arrive(90, arrival_of(RouteId(1), 90));
        harness.advance(ms(80 * passed_percent));
        harness.end(90, 0, AttemptOutcome::Saturated, false);
        harness.advance(Duration::ZERO);
        let case = format!(
            "weight {weight}, {passed_percent}% of the time passed, {granted_before} granted before"
        );
        assert_eq!(harness.attempts(90).len() == 2, granted, "{case}");
        // A session without a retry is answered at once, with a `Retry-After`.
        let rejected = matches!(harness.answers(90)[..], [Action::Reject(_, Some(_))]);
        assert_eq!(rejected, !granted, "{case}");
    }
}

#[test]
fn inherited_connections_allow_no_retries() {
    for (inherited, arrived, expected) in [(0, 4, 2), (40, 4, 2), (40, 0, 0)] {
        let budget = RetryBudget {
            free: 0.0,
            share: 0.5,
            window: ms(5_000),
        };
        let deployment = with_route(
            |route| route.backoff_base = Duration::ZERO,
            with_retry_budget(budget, deployment(IDEMPOTENT)),
        );
        let mut harness = Harness::new(deployment, &ready_endpoints(60));
        (0..inherited).for_each(|id| harness.inherit(1_000 + id, id % 60));
        let mut retries = 0;
        for id in 0..arrived {
            harness.arrive(id, arrival(u64::from(id) + 1, 0, ms(8_000)));
        }
        for id in 0..arrived {
            harness.end(id, 0, AttemptOutcome::Saturated, false);
            harness.advance(Duration::ZERO);
            retries += harness.attempts(id).len().saturating_sub(1);
        }
        assert_eq!(
            retries, expected,
            "{inherited} inherited, {arrived} arrived"
        );
    }
}
