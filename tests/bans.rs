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

/// The backends to which so many sessions go that arrive one after another.
fn place(harness: &mut Harness, from: u32, count: u32) -> Vec<u32> {
    let ids = from..from + count;
    ids.filter_map(|id| {
        let at = harness
            .arrive(id, arrival(u64::from(id), 0, ms(1_000)))
            .map(|target| target.backend);
        harness.end(id, 0, AttemptOutcome::Cancelled, true);
        harness.advance(ms(200));
        at
    })
    .collect()
}

#[test]
fn ban_outlasts_endpoint_lists() {
    let harness = || Harness::new(deployment(IDEMPOTENT), &ready_endpoints(3));
    let later = Some(Instant::from_micros(99_000_000));
    type Meanwhile = fn(&mut Harness);
    let cases: [(&str, Meanwhile); 7] = [
        ("nothing", |_| {}),
        ("named ready", |harness| {
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
        ("another start", |harness| {
            harness.update(endpoint(BANNED, EndpointState::Ready, Some(harness.now)));
        }),
        ("a second ban", |harness| ban(harness, true)),
    ];
    for (name, meanwhile) in cases {
        let mut harness = harness();
        ban(&mut harness, true);
        meanwhile(&mut harness);
        assert!(!place(&mut harness, 1, 60).contains(&BANNED), "{name}");
        assert!(
            !harness
                .recorder
                .actions
                .contains(&Action::CheckHealth(BANNED)),
            "{name}: its health is not checked either"
        );
        // One lift undoes any number of bans.
        ban(&mut harness, false);
        harness.update(endpoint(BANNED, EndpointState::Ready, later));
        assert!(place(&mut harness, 100, 60).contains(&BANNED), "{name}");
    }
    // A ban and draining both have to end, in whatever order.
    for ban_first in [true, false] {
        let mut harness = harness();
        ban(&mut harness, true);
        harness.update(endpoint(BANNED, EndpointState::Draining, None));
        if ban_first {
            ban(&mut harness, false);
        } else {
            harness.update(endpoint(BANNED, EndpointState::Ready, None));
        }
        assert!(!place(&mut harness, 1, 60).contains(&BANNED));
        ban(&mut harness, false);
        harness.update(endpoint(BANNED, EndpointState::Ready, None));
        assert!(place(&mut harness, 100, 60).contains(&BANNED));
    }
}

#[test]
fn ban_during_attempt_retries_elsewhere() {
    for id in 1..30 {
        let mut harness = Harness::new(deployment(IDEMPOTENT), &ready_endpoints(3));
        let at = harness
            .arrive(id, arrival(u64::from(id), 0, ms(20_000)))
            .unwrap()
            .backend;
        harness
            .balancer
            .set_banned(harness.now, BackendId(at), true);
        harness.end(id, 0, AttemptOutcome::Saturated, false);
        // The backoff before the retry is drawn from one second.
        harness.advance(ms(1_000));
        let attempts = harness.attempts(id);
        assert!(
            attempts.len() == 2 && attempts[1].backend != at,
            "{attempts:?}"
        );
    }
    // Where it was the only backend the session is answered once.
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
fn lifted_ban_warms_up_and_forgets_failures() {
    // When it was listed to have started before the ban, when by the list after it, and for how long
    // it warms up once the ban is lifted, in milliseconds.
    let (before, during) = (
        Some(Instant::from_micros(20_000_000)),
        Some(Instant::from_micros(104_000_000)),
    );
    let cases = [
        (None, None, 10_000),
        (before, None, 10_000),
        (None, during, 4_000),
        (before, during, 4_000),
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
        // While it warms up it gets one session a turn of two seconds, whatever stood there before.
        // It is not ejected: the first session goes there.
        let count = |harness: &mut Harness, from: u32| {
            (from..from + 8)
                .filter(|&id| {
                    harness
                        .arrive(id, arrival(u64::from(id), 0, ms(50)))
                        .is_some()
                })
                .count()
        };
        assert_eq!(count(&mut harness, 100), 1, "{listed:?} {listed_after:?}");
        harness.advance(ms(warm_up - 100));
        assert_eq!(
            count(&mut harness, 200),
            1,
            "{listed:?} {listed_after:?}: still warming up"
        );
        harness.advance(ms(200));
        assert_eq!(
            count(&mut harness, 300),
            8,
            "{listed:?} {listed_after:?}: warm"
        );
    }
}
