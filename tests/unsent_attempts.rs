//! Attempts that ended before their request was sent: no backend knows of them, so they must not
//! count as its load.
mod support;

use support::{Harness, IDEMPOTENT, arrival, deployment, endpoint, ms, ready_endpoints};
use thistlecroft::attempt::AttemptOutcome;
use thistlecroft::deployment::Deployment;
use thistlecroft::endpoint::EndpointState;

const BACKENDS: u32 = 12;
const LEAVING_SESSIONS: u32 = 1_000;

fn idle_fleet() -> Harness {
    let mut harness = Harness::new(deployment(IDEMPOTENT), &ready_endpoints(BACKENDS));
    (0..BACKENDS).for_each(|backend| harness.report(backend, Some(1.0), Some(0.1)));
    harness
}

/// Guards against clients that leave at once and make idle backends count as full for all others.
#[test]
fn sessions_that_left_before_their_request_was_sent_take_no_capacity() {
    let mut harness = idle_fleet();
    for id in 0..LEAVING_SESSIONS {
        assert!(harness.arrive(id, arrival(0, 0, ms(1_200))).is_some());
        harness.leave(id);
        harness.end(id, 0, AttemptOutcome::NotSent, false);
    }
    let other = harness.arrive(LEAVING_SESSIONS, arrival(0, 0, ms(1_200)));
    assert!(other.is_some(), "{:?}", harness.answers(LEAVING_SESSIONS));
}

/// The load of a request that was sent counts, though its client has left.
#[test]
fn sessions_that_left_after_their_request_was_sent_take_capacity() {
    let mut harness = idle_fleet();
    for id in 0..LEAVING_SESSIONS {
        harness.arrive(id, arrival(0, 0, ms(1_200)));
        harness.leave(id);
        harness.end(id, 0, AttemptOutcome::Cancelled, false);
    }
    assert_eq!(
        harness.arrive(LEAVING_SESSIONS, arrival(0, 0, ms(1_200))),
        None
    );
}

/// Guards against attempts that a drain recalls and that go on counting.
#[test]
fn attempts_recalled_before_their_request_was_sent_take_no_capacity() {
    let mut harness = idle_fleet();
    for id in 0..LEAVING_SESSIONS {
        assert!(harness.arrive(id, arrival(0, 0, ms(1_200))).is_some());
        harness.end(id, 0, AttemptOutcome::NotSent, false);
    }
    let other = harness.arrive(LEAVING_SESSIONS, arrival(0, 0, ms(1_200)));
    assert!(other.is_some(), "{:?}", harness.answers(LEAVING_SESSIONS));
}

/// Guards against a turn at a backend that is warming up which a client that left has used up.
#[test]
fn session_that_left_before_its_request_was_sent_returns_its_slow_start_turn() {
    let deployment = Deployment {
        reports_load: false,
        groups_share_work: false,
        ..deployment(IDEMPOTENT)
    };
    let mut harness = Harness::new(deployment, &ready_endpoints(4));
    (0..4).for_each(|id| harness.inherit(id, id));
    let started_at = Some(harness.now);
    harness.update(endpoint(4, EndpointState::Ready, started_at));
    let target = harness.arrive(10, arrival(0, 0, ms(1_200))).unwrap();
    assert_eq!(target.backend, 4, "an open turn goes before all others");
    harness.leave(10);
    harness.end(10, 0, AttemptOutcome::NotSent, false);
    let next = harness.arrive(11, arrival(0, 0, ms(1_200))).unwrap();
    assert_eq!(next.backend, 4, "the turn is open again");
    let after = harness.arrive(12, arrival(0, 0, ms(1_200))).unwrap();
    assert_ne!(after.backend, 4, "the turn is used");
}
