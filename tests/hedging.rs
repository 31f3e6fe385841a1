//! Hedged attempts: when they go out, and how a session with two attempts under way ends.
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

/// An event of a session with two attempts.
#[derive(Clone, Copy, Debug)]
enum Event {
    Ready(u32),
    Ends(u32, AttemptOutcome),
    ClientLeaves,
    Shutdown,
}
use Event::{ClientLeaves, Ends, Ready, Shutdown};

/// A sequence of events while two attempts are under way, and its expected outcome.
struct HedgeSequence {
    events: &'static [Event],
    /// Attempts that have to be cancelled.
    cancelled: &'static [u32],
    /// Number of final answers in the end.
    answers: usize,
}

const HEDGE_SEQUENCES: [HedgeSequence; 11] = [
    HedgeSequence {
        events: &[Ready(0), Ends(1, Cancelled), Ends(0, Ok)],
        cancelled: &[1],
        answers: 0,
    },
    HedgeSequence {
        events: &[Ready(1), Ends(0, Cancelled), Ends(1, Ok)],
        cancelled: &[0],
        answers: 0,
    },
    HedgeSequence {
        events: &[Ready(1), Ready(0), Ends(0, Cancelled), Ends(1, Ok)],
        cancelled: &[0],
        answers: 0,
    },
    HedgeSequence {
        events: &[Ends(0, Error), Ready(1), Ends(1, Ok)],
        cancelled: &[],
        answers: 0,
    },
    HedgeSequence {
        events: &[Ends(1, Saturated), Ready(0), Ends(0, Ok)],
        cancelled: &[],
        answers: 0,
    },
    HedgeSequence {
        events: &[Ends(1, Reset), Ends(0, TimedOut)],
        cancelled: &[],
        answers: 1,
    },
    HedgeSequence {
        events: &[Ends(0, Reset), Ends(1, TimedOut)],
        cancelled: &[],
        answers: 1,
    },
    HedgeSequence {
        events: &[
            Ends(0, Reset),
            Ends(0, Reset),
            Ends(1, TimedOut),
            Ends(1, TimedOut),
        ],
        cancelled: &[],
        answers: 1,
    },
    HedgeSequence {
        events: &[ClientLeaves, Ends(0, Cancelled), Ends(1, Cancelled)],
        cancelled: &[0, 1],
        answers: 0,
    },
    HedgeSequence {
        events: &[ClientLeaves, Ends(1, Cancelled), Ends(0, Cancelled)],
        cancelled: &[0, 1],
        answers: 0,
    },
    HedgeSequence {
        events: &[Shutdown, Ends(0, Cancelled), Ends(1, Cancelled)],
        cancelled: &[0, 1],
        answers: 1,
    },
];

#[test]
fn session_with_hedged_attempt_answered_once() {
    for sequence in HEDGE_SEQUENCES {
        let events = sequence.events;
        let mut harness = hedged_session();
        for event in events {
            match *event {
                Ready(attempt) => harness.establish(1, attempt),
                Ends(attempt, outcome) => harness.end(1, attempt, outcome, false),
                ClientLeaves => harness.leave(1),
                Shutdown => {
                    harness
                        .balancer
                        .shut_down(harness.now, ms(3_700), &mut harness.recorder);
                    harness.advance(ms(3_500));
                }
            }
        }
        for attempt in 0..2 {
            let expected = usize::from(sequence.cancelled.contains(&attempt));
            // At shutdown each step cancels the attempt again, which the driver ignores.
            let cancelled = harness.count(Action::Cancel(1, attempt)).min(1);
            assert_eq!(
                cancelled, expected,
                "{events:?}: whether attempt {attempt} is cancelled"
            );
        }
        assert_eq!(
            harness.answers(1).len(),
            sequence.answers,
            "{events:?}: number of answers"
        );
        assert_eq!(
            harness.count(Action::Release(1)),
            1,
            "{events:?}: the session is released once"
        );
        assert_eq!(
            harness.attempts(1).len(),
            2,
            "{events:?}: number of attempts"
        );
    }
}

/// Returns a harness whose session 1 has both of its two attempts under way, so that the session
/// ends when both fail.
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
        "the hedge goes to another backend than {first}: {attempts:?}"
    );
    harness
}

/// A deployment with its endpoints, and how many attempts a slow session makes there.
struct HedgeCase {
    name: &'static str,
    deployment: Deployment,
    endpoints: Vec<Endpoint>,
    attempts: usize,
}

/// Returns deployments that allow no hedge, named by what differs from one that does.
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
        ("attempts may not be cancelled", not_cancellable),
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

/// Returns endpoint lists that allow no hedge.
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

fn hedge_cases() -> Vec<HedgeCase> {
    let mut hedge_cases = vec![HedgeCase {
        name: "hedging allowed",
        deployment: with_hedging(IDEMPOTENT),
        endpoints: ready_endpoints(4),
        attempts: 2,
    }];
    for (name, deployment) in deployments_without_hedge() {
        hedge_cases.push(HedgeCase {
            name,
            deployment,
            endpoints: ready_endpoints(4),
            attempts: 1,
        });
    }
    for (name, endpoints) in endpoints_without_hedge() {
        hedge_cases.push(HedgeCase {
            name,
            deployment: with_hedging(IDEMPOTENT),
            endpoints,
            attempts: 1,
        });
    }
    hedge_cases
}

#[test]
fn slow_attempt_hedged_only_if_harmless() {
    for case in hedge_cases() {
        let name = case.name;
        let mut checked = 0;
        for seed in 0..20 {
            let mut harness = Harness::with_seed(case.deployment.clone(), seed, &case.endpoints);
            // If the backend that is warming up gets the first attempt, the warm one is free for
            // the hedge.
            if harness
                .arrive(1, arrival(5, 0, ms(4_000)))
                .is_some_and(|target| name.contains("warming up") && target.backend == 2)
            {
                continue;
            }
            harness.advance(ms(250));
            assert_eq!(
                harness.attempts(1).len(),
                case.attempts,
                "{name}: number of attempts"
            );
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
