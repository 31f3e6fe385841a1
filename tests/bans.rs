//! Bans of backends by an operator.
mod support;

use support::{Action, Harness, IDEMPOTENT, arrival, deployment, endpoint, ms, ready_endpoints};
use thistlecroft::attempt::AttemptOutcome;
use thistlecroft::endpoint::{EndpointState, UpdateKind};
use thistlecroft::ids::BackendId;
use thistlecroft::time::Instant;

const BANNED: u32 = 1;

fn ban(harness: &mut Harness, is_banned: bool) {
    harness
        .balancer
        .set_banned(harness.now, BackendId(BANNED), is_banned);
}

/// Lets `count` sessions, numbered from `from`, arrive one after another and returns the backends
/// that they go to.
fn placed_at(harness: &mut Harness, from: u32, count: u32) -> Vec<u32> {
    let ids = from..from + count;
    ids.filter_map(|id| {
        let backend = harness
            .arrive(id, arrival(u64::from(id), 0, ms(1_000)))
            .map(|target| target.backend);
        harness.end(id, 0, AttemptOutcome::Cancelled, true);
        harness.advance(ms(200));
        backend
    })
    .collect()
}

/// Changes the endpoint list or the ban while a backend is banned.
type ChangeWhileBanned = fn(&mut Harness);

const CHANGES_WHILE_BANNED: [(&str, ChangeWhileBanned); 7] = [
    ("no change", |_| {}),
    ("listed as ready", |harness| {
        harness.update(endpoint(BANNED, EndpointState::Ready, None))
    }),
    ("a complete list", |harness| {
        harness
            .balancer
            .update_endpoints(UpdateKind::Snapshot, &ready_endpoints(3))
    }),
    ("a cached list", |harness| {
        harness
            .balancer
            .update_endpoints(UpdateKind::CachedSnapshot, &ready_endpoints(3))
    }),
    ("removed and back", |harness| {
        harness.update(endpoint(BANNED, EndpointState::Removed, None));
        harness.update(endpoint(BANNED, EndpointState::Ready, None));
    }),
    ("a later start", |harness| {
        harness.update(endpoint(BANNED, EndpointState::Ready, Some(harness.now)));
    }),
    ("a second ban", |harness| ban(harness, true)),
];

#[test]
fn ban_outlasts_endpoint_lists() {
    let harness = || Harness::new(deployment(IDEMPOTENT), &ready_endpoints(3));
    let listed_start = Some(Instant::from_micros(99_000_000));
    for (name, change) in CHANGES_WHILE_BANNED {
        let mut harness = harness();
        ban(&mut harness, true);
        change(&mut harness);
        assert!(
            !placed_at(&mut harness, 1, 60).contains(&BANNED),
            "{name}: no session goes to the banned backend"
        );
        assert!(
            !harness
                .recorder
                .actions
                .contains(&Action::CheckHealth(BANNED)),
            "{name}: the health of a banned backend is not checked"
        );
        // Lifting the ban once undoes any number of bans.
        ban(&mut harness, false);
        harness.update(endpoint(BANNED, EndpointState::Ready, listed_start));
        assert!(
            placed_at(&mut harness, 100, 60).contains(&BANNED),
            "{name}: sessions go to the backend again after its ban"
        );
    }
    // The backend is used again only when both the ban and the draining have ended, in whatever
    // order.
    for ban_first in [true, false] {
        let mut harness = harness();
        ban(&mut harness, true);
        harness.update(endpoint(BANNED, EndpointState::Draining, None));
        if ban_first {
            ban(&mut harness, false);
        } else {
            harness.update(endpoint(BANNED, EndpointState::Ready, None));
        }
        assert!(!placed_at(&mut harness, 1, 60).contains(&BANNED));
        ban(&mut harness, false);
        harness.update(endpoint(BANNED, EndpointState::Ready, None));
        assert!(placed_at(&mut harness, 100, 60).contains(&BANNED));
    }
}

#[test]
fn ban_during_attempt_retries_elsewhere() {
    for id in 1..30 {
        let mut harness = Harness::new(deployment(IDEMPOTENT), &ready_endpoints(3));
        let backend = harness
            .arrive(id, arrival(u64::from(id), 0, ms(20_000)))
            .unwrap()
            .backend;
        harness
            .balancer
            .set_banned(harness.now, BackendId(backend), true);
        harness.end(id, 0, AttemptOutcome::Saturated, false);
        // The backoff before the retry is drawn from one second.
        harness.advance(ms(1_000));
        let attempts = harness.attempts(id);
        assert!(
            attempts.len() == 2 && attempts[1].backend != backend,
            "one retry, at another backend than {backend}: {attempts:?}"
        );
    }
    // If the banned backend is the only one, the session is answered once.
    let mut harness = Harness::new(deployment(IDEMPOTENT), &ready_endpoints(1));
    harness.arrive(1, arrival(1, 0, ms(20_000)));
    harness.balancer.set_banned(harness.now, BackendId(0), true);
    harness.end(1, 0, AttemptOutcome::Saturated, false);
    harness.advance(ms(30_000));
    assert_eq!(
        (harness.attempts(1).len(), harness.answers(1).len()),
        (1, 1)
    );
}

#[test]
fn backend_after_ban_warms_up_and_forgets_failures() {
    // Each case: the start that was listed before the ban, the start that is listed after it, and
    // how long the backend warms up once the ban is lifted, in milliseconds.
    let (start_before_ban, start_during_ban) = (
        Some(Instant::from_micros(20_000_000)),
        Some(Instant::from_micros(104_000_000)),
    );
    let cases = [
        (None, None, 10_000),
        (start_before_ban, None, 10_000),
        (None, start_during_ban, 4_000),
        (start_before_ban, start_during_ban, 4_000),
    ];
    for (listed, listed_after, warm_up) in cases {
        let mut harness = Harness::new(
            deployment(IDEMPOTENT),
            &[endpoint(BANNED, EndpointState::Ready, listed)],
        );
        harness.report(BANNED, Some(10.0), Some(0.1));
        for id in 1..4 {
            harness.arrive(id, arrival(u64::from(id), 0, ms(50)));
            harness.end(id, 0, AttemptOutcome::TimedOut, true);
        }
        ban(&mut harness, true);
        harness.advance(ms(10_000));
        ban(&mut harness, false);
        if listed_after.is_some() {
            harness.update(endpoint(BANNED, EndpointState::Ready, listed_after));
        }
        // While the backend warms up it gets one session per turn of two seconds, whatever it held
        // before. It is not ejected: the first session goes there.
        let placed_of_eight = |harness: &mut Harness, from: u32| {
            (from..from + 8)
                .filter(|&id| {
                    harness
                        .arrive(id, arrival(u64::from(id), 0, ms(50)))
                        .is_some()
                })
                .count()
        };
        assert_eq!(
            placed_of_eight(&mut harness, 100),
            1,
            "listed {listed:?}, then {listed_after:?}"
        );
        harness.advance(ms(warm_up - 100));
        assert_eq!(
            placed_of_eight(&mut harness, 200),
            1,
            "listed {listed:?}, then {listed_after:?}: still warming up"
        );
        harness.advance(ms(200));
        assert_eq!(
            placed_of_eight(&mut harness, 300),
            8,
            "listed {listed:?}, then {listed_after:?}: warm"
        );
    }
}
