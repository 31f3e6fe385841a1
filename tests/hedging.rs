//! Hedged attempts: when they go out, and how a session ends that has two attempts under way.
mod support;

use support::{
    Action, Harness, IDEMPOTENT, NON_IDEMPOTENT, arrival, deployment, endpoint, keyed, ms,
    ready_endpoints, with_route,
};
use thistlecroft::attempt::AttemptOutcome::{
    self, Cancelled, Error, Ok, Reset, Saturated, TimedOut,
};
use thistlecroft::deployment::{DeduplicationScope, Deployment, Hedging, Idempotency};
use thistlecroft::endpoint::{Endpoint, EndpointState};
use thistlecroft::time::{Duration, Instant};

const HEDGING: Hedging = Hedging {
    quantile: 0.9,
    min_delay: Duration::from_millis(20),
    max_delay: Duration::from_millis(100),
    share: 1.0,
};

fn with_hedging(idempotency: Idempotency) -> Deployment {
    let deployment = Deployment {
        may_hedge: true,
        groups_share_work: false,
        ..deployment(idempotency)
    };
    with_route(|route| route.hedging = Some(HEDGING), deployment)
}

/// What happens to a session with two attempts.
#[derive(Clone, Copy, Debug)]
enum Event {
    Ready(u32),
    Ends(u32, AttemptOutcome),
    ClientLeaves,
    Shutdown,
}
use Event::{ClientLeaves, Ends, Ready, Shutdown};

/// Events while two attempts are under way, and what has to come of them.
struct Course {
    events: &'static [Event],
    /// The attempts that have to be cancelled.
    cancelled: &'static [u32],
    /// Final answers by the end.
    answers: usize,
}

const COURSES: [Course; 11] = [
    Course {
        events: &[Ready(0), Ends(1, Cancelled), Ends(0, Ok)],
        cancelled: &[1],
        answers: 0,
    },
    Course {
        events: &[Ready(1), Ends(0, Cancelled), Ends(1, Ok)],
        cancelled: &[0],
        answers: 0,
    },
    Course {
        events: &[Ready(1), Ready(0), Ends(0, Cancelled), Ends(1, Ok)],
        cancelled: &[0],
        answers: 0,
    },
    Course {
        events: &[Ends(0, Error), Ready(1), Ends(1, Ok)],
        cancelled: &[],
        answers: 0,
    },
    Course {
        events: &[Ends(1, Saturated), Ready(0), Ends(0, Ok)],
        cancelled: &[],
        answers: 0,
    },
    Course {
        events: &[Ends(1, Reset), Ends(0, TimedOut)],
        cancelled: &[],
        answers: 1,
    },
    Course {
        events: &[Ends(0, Reset), Ends(1, TimedOut)],
        cancelled: &[],
        answers: 1,
    },
    Course {
        events: &[
            Ends(0, Reset),
            Ends(0, Reset),
            Ends(1, TimedOut),
            Ends(1, TimedOut),
        ],
        cancelled: &[],
        answers: 1,
    },
    Course {
        events: &[ClientLeaves, Ends(0, Cancelled), Ends(1, Cancelled)],
        cancelled: &[0, 1],
        answers: 0,
    },
    Course {
        events: &[ClientLeaves, Ends(1, Cancelled), Ends(0, Cancelled)],
        cancelled: &[0, 1],
        answers: 0,
    },
    Course {
        events: &[Shutdown, Ends(0, Cancelled), Ends(1, Cancelled)],
        cancelled: &[0, 1],
        answers: 1,
    },
];

#[test]
fn slow_attempt_hedged_and_answered_once() {
    for course in COURSES {
        let events = course.events;
        let mut harness = hedged_session();
        for event in events {
            match *event {
                Ready(attempt) => harness.establish(1, attempt),
                Ends(attempt, outcome) => harness.end(1, attempt, outcome, false),
                ClientLeaves => harness.leave(1),
                Shutdown => {
                    harness
                        .balancer
                        .shut_down(harness.now, &mut harness.recorder);
                    harness.advance(ms(3_500));
                }
            }
        }
        for attempt in 0..2 {
            let expected = usize::from(course.cancelled.contains(&attempt));
            // At shutdown each step cancels it again, which is ignored.
            let cancelled = harness.count(Action::Cancel(1, attempt)).min(1);
            assert_eq!(cancelled, expected, "{events:?}: attempt {attempt}");
        }
        assert_eq!(harness.answers(1).len(), course.answers, "{events:?}");
        assert_eq!(harness.count(Action::Release(1)), 1, "{events:?}");
        assert_eq!(harness.attempts(1).len(), 2, "{events:?}");
    }
}

/// A session with both of its two attempts under way, so that a failure of both is the end.
fn hedged_session() -> Harness {
    let deployment = with_route(|route| route.max_attempts = 2, with_hedging(IDEMPOTENT));
    let mut harness = Harness::new(deployment, &ready_endpoints(4));
    let first = harness.arrive(1, arrival(5, 0, ms(4_000))).unwrap().backend;
    harness.advance(ms(99));
    assert_eq!(harness.attempts(1).len(), 1);
    harness.advance(ms(2));
    let attempts = harness.attempts(1);
    assert!(
        attempts.len() == 2 && attempts[1].backend != first,
        "{attempts:?}"
    );
    harness
}

/// A deployment and its endpoints, and how many attempts a slow session has there.
struct Case {
    name: &'static str,
    deployment: Deployment,
    endpoints: Vec<Endpoint>,
    attempts: usize,
}

/// Deployments that allow no hedge, by what differs from one that does.
fn deployments_without_hedge() -> Vec<(&'static str, Deployment)> {
    let hedging = || with_hedging(IDEMPOTENT);
    let one_attempt = Deployment {
        may_hedge: false,
        ..hedging()
    };
    let not_cancellable = Deployment {
        may_cancel: false,
        ..hedging()
    };
    let no_share = Hedging {
        share: 0.0,
        ..HEDGING
    };
    vec![
        ("one attempt at a time", one_attempt),
        ("none may be cancelled", not_cancellable),
        ("non-idempotent", with_hedging(NON_IDEMPOTENT)),
        ("keyed", with_hedging(keyed(DeduplicationScope::All))),
        (
            "the last attempt",
            with_route(|route| route.max_attempts = 1, hedging()),
        ),
        (
            "no share of hedges left",
            with_route(|route| route.hedging = Some(no_share), hedging()),
        ),
        (
            "a route without hedges",
            with_route(|route| route.hedging = None, hedging()),
        ),
    ]
}

/// Endpoint lists that allow no hedge.
fn endpoints_without_hedge() -> Vec<(&'static str, Vec<Endpoint>)> {
    let just_started = Some(Instant::from_micros(99_000_000));
    let two = |other: Endpoint| vec![endpoint(0, EndpointState::Ready, None), other];
    vec![
        ("one backend", ready_endpoints(1)),
        (
            "the other is warming up",
            two(endpoint(2, EndpointState::Ready, just_started)),
        ),
        (
            "the other is draining",
            two(endpoint(2, EndpointState::Draining, None)),
        ),
    ]
}

fn cases() -> Vec<Case> {
    let mut cases = vec![Case {
        name: "none of the below",
        deployment: with_hedging(IDEMPOTENT),
        endpoints: ready_endpoints(4),
        attempts: 2,
    }];
    for (name, deployment) in deployments_without_hedge() {
        cases.push(Case {
            name,
            deployment,
            endpoints: ready_endpoints(4),
            attempts: 1,
        });
    }
    for (name, endpoints) in endpoints_without_hedge() {
        cases.push(Case {
            name,
            deployment: with_hedging(IDEMPOTENT),
            endpoints,
            attempts: 1,
        });
    }
    cases
}

#[test]
fn hedge_only_where_harmless() {
    for case in cases() {
        let name = case.name;
        let mut checked = 0;
        for seed in 0..20 {
            let mut harness = Harness::with_seed(case.deployment.clone(), seed, &case.endpoints);
            // Where the one that warms up gets the first attempt, the warm one is left for the
            // hedge.
            if harness
                .arrive(1, arrival(5, 0, ms(4_000)))
                .is_some_and(|target| name.contains("warming up") && target.backend == 2)
            {
                continue;
            }
            harness.advance(ms(250));
            assert_eq!(harness.attempts(1).len(), case.attempts, "{name}");
            checked += 1;
        }
        assert!(checked > 0, "{name}: every seed was skipped");
    }
}

#[test]
fn hedge_not_sent_after_first_attempt_ready() {
    let mut harness = Harness::new(with_hedging(IDEMPOTENT), &ready_endpoints(4));
    harness.arrive(1, arrival(5, 0, ms(4_000)));
    harness.establish(1, 0);
    harness.advance(ms(1_000));
    assert_eq!(harness.attempts(1).len(), 1);
}
