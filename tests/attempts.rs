//! The attempts of a session: retries, timeouts and the final answer.
mod support;

use support::{
    Action, Harness, IDEMPOTENT, NON_IDEMPOTENT, Target, arrival, deployment, keyed, ms,
    ready_endpoints, with_route,
};
use thistlecroft::attempt::AttemptOutcome;
use thistlecroft::deployment::{DeduplicationScope, Idempotency, Route};
use thistlecroft::ids::SessionId;
use thistlecroft::time::Duration;

#[test]
fn final_answer_follows_outcome_and_idempotency() {
    let rejected = true;
    let cases = [
        (IDEMPOTENT, AttemptOutcome::TimedOut, rejected),
        (IDEMPOTENT, AttemptOutcome::Reset, rejected),
        (IDEMPOTENT, AttemptOutcome::Saturated, rejected),
        (
            keyed(DeduplicationScope::All),
            AttemptOutcome::TimedOut,
            rejected,
        ),
        (
            keyed(DeduplicationScope::Zone),
            AttemptOutcome::TimedOut,
            !rejected,
        ),
        (
            keyed(DeduplicationScope::Cell),
            AttemptOutcome::Error,
            !rejected,
        ),
        (
            keyed(DeduplicationScope::Zone),
            AttemptOutcome::Unreachable,
            rejected,
        ),
        (NON_IDEMPOTENT, AttemptOutcome::TimedOut, !rejected),
        (NON_IDEMPOTENT, AttemptOutcome::Error, !rejected),
        (NON_IDEMPOTENT, AttemptOutcome::Reset, !rejected),
        (NON_IDEMPOTENT, AttemptOutcome::Cancelled, !rejected),
        (NON_IDEMPOTENT, AttemptOutcome::Saturated, rejected),
        (NON_IDEMPOTENT, AttemptOutcome::Unreachable, rejected),
        (NON_IDEMPOTENT, AttemptOutcome::NotSent, rejected),
    ];
    for (idempotency, outcome, is_rejected) in cases {
        let mut harness = Harness::new(
            with_route(|route| route.max_attempts = 1, deployment(idempotency)),
            &ready_endpoints(4),
        );
        harness.arrive(1, arrival(5, 0, ms(4_000)));
        harness.advance(ms(300));
        harness.end(1, 0, outcome, false);
        harness.end(1, 0, outcome, false);
        harness.advance(ms(10_000));
        let answers = harness.answers(1);
        assert_eq!(
            answers.len(),
            1,
            "{idempotency:?} {outcome:?}: answers {answers:?}"
        );
        assert_eq!(
            matches!(answers[0], Action::Reject(..)),
            is_rejected,
            "{idempotency:?} {outcome:?}: answered with {:?}",
            answers[0]
        );
    }
}

#[test]
fn failed_attempt_retried_only_if_repeat_is_safe() {
    // Each case: the idempotency, the outcome of the first attempt, whether a retry may follow, and
    // whether it has to stay in the zone of the first.
    let cases = [
        (IDEMPOTENT, AttemptOutcome::TimedOut, true, false),
        (NON_IDEMPOTENT, AttemptOutcome::Saturated, true, false),
        (NON_IDEMPOTENT, AttemptOutcome::TimedOut, false, false),
        (NON_IDEMPOTENT, AttemptOutcome::Reset, false, false),
        (
            keyed(DeduplicationScope::Zone),
            AttemptOutcome::TimedOut,
            true,
            true,
        ),
        (
            keyed(DeduplicationScope::Zone),
            AttemptOutcome::Saturated,
            true,
            false,
        ),
    ];
    for (idempotency, outcome, may_retry, same_zone) in cases {
        let mut zones_differed = false;
        for id in 1..40 {
            let mut harness = Harness::new(deployment(idempotency), &ready_endpoints(6));
            let first = harness
                .arrive(id, arrival(u64::from(id), u64::from(id), ms(60_000)))
                .unwrap()
                .backend;
            harness.advance(ms(100));
            harness.end(id, 0, outcome, false);
            harness.advance(ms(2_000));
            let attempts = harness.attempts(id);
            assert_eq!(
                attempts.len() > 1,
                may_retry,
                "{idempotency:?} {outcome:?}: attempts {attempts:?}"
            );
            assert_eq!(
                harness.answers(id).is_empty(),
                may_retry,
                "{idempotency:?} {outcome:?}: a session that is not retried is answered"
            );
            if let Some(second) = attempts.get(1) {
                zones_differed |= first % 2 != second.backend % 2;
            }
        }
        assert_eq!(
            zones_differed,
            may_retry && !same_zone,
            "{idempotency:?} {outcome:?}: whether any retry went to another zone"
        );
    }
}

#[test]
fn keyed_session_past_deduplication_window_fails() {
    let mut harness = Harness::new(
        deployment(keyed(DeduplicationScope::Cell)),
        &ready_endpoints(8),
    );
    harness.arrive(1, arrival(1, 0, ms(60_000)));
    harness.advance(ms(6_000));
    harness.end(1, 0, AttemptOutcome::TimedOut, false);
    harness.advance(ms(50_000));
    assert_eq!(
        (harness.attempts(1).len(), harness.answers(1)),
        (1, vec![Action::Fail(1)])
    );
}

#[test]
fn keyed_retry_stays_within_deduplication_window() {
    // Each case: the deduplication window, the connect timeout and how long the process is then
    // stalled (all in milliseconds), and how many attempts are made.
    let cases = [
        (5_000, 50, 0, 2),
        // The retry is due while the process is stalled. The process runs again only when the
        // window is over, or nearly.
        (5_000, 50, 6_000, 1),
        (5_000, 400, 4_700, 1),
        // The retry could become ready only after the window.
        (1_300, 400, 0, 1),
    ];
    for (window, connect_timeout_ms, stalled, attempts) in cases {
        let idempotency = Idempotency::Keyed {
            scope: DeduplicationScope::All,
            window: ms(window),
        };
        let change = |route: &mut Route| {
            (route.connect_timeout, route.backoff_base) = (ms(connect_timeout_ms), ms(100))
        };
        let mut harness = Harness::new(
            with_route(change, deployment(idempotency)),
            &ready_endpoints(8),
        );
        harness.arrive(1, arrival(1, 0, ms(20_000)));
        harness.advance(ms(1_000));
        harness.end(1, 0, AttemptOutcome::TimedOut, false);
        // No task runs while the process is stalled.
        harness.now = harness.now + ms(stalled);
        harness.advance(ms(1_000));
        assert_eq!(
            harness.attempts(1).len(),
            attempts,
            "window {window} ms, connect timeout {connect_timeout_ms} ms, stalled {stalled} ms"
        );
        assert_eq!(
            harness.answers(1).len(),
            2 - attempts,
            "window {window} ms, connect timeout {connect_timeout_ms} ms, stalled {stalled} ms"
        );
    }
}

#[test]
fn session_answered_once_before_timeout() {
    // Each case: the client's timeout in milliseconds, and the outcome of each attempt at the end
    // of its own timeout.
    for (timeout, outcome) in [
        (1_200, AttemptOutcome::TimedOut),
        (90, AttemptOutcome::Unreachable),
        (4_800, AttemptOutcome::Saturated),
    ] {
        let mut harness = Harness::new(deployment(IDEMPOTENT), &ready_endpoints(3));
        let start = harness.now;
        harness.arrive(1, arrival(9, 0, ms(timeout)));
        for attempt in 0..3 {
            let Some(&Target {
                timeout: attempt_timeout,
                ..
            }) = harness.attempts(1).get(attempt)
            else {
                break;
            };
            harness.advance(attempt_timeout);
            harness.end(1, attempt as u32, outcome, false);
            harness.advance(Duration::ZERO);
            while harness.answers(1).is_empty() && harness.attempts(1).len() == attempt + 1 {
                harness.advance(ms(1));
                assert!(
                    harness.now.duration_since(start) <= ms(timeout),
                    "{timeout} ms, {outcome:?}: not answered in time"
                );
            }
        }
        assert_eq!(
            harness.answers(1).len(),
            1,
            "{timeout} ms, {outcome:?}: number of answers"
        );
        assert!(
            harness.now.duration_since(start) <= ms(timeout),
            "{timeout} ms, {outcome:?}: answered late"
        );
    }
}

#[test]
fn stale_and_unknown_events_ignored() {
    let mut harness = Harness::new(deployment(IDEMPOTENT), &ready_endpoints(3));
    harness.arrive(1, arrival(1, 0, ms(1_200)));
    harness.end(77, 0, AttemptOutcome::Ok, true);
    harness.establish(77, 0);
    harness.establish(1, 4);
    harness.leave(77);
    harness.balancer.load_observed(SessionId(77), 3.0);
    harness.observe_latency(77, ms(9));
    harness.fail_health_check(55);
    assert!(harness.answers(1).is_empty());
    // The client leaves while its attempt is under way: the attempt is cancelled, and its end
    // releases the session without an answer.
    harness.leave(1);
    harness.leave(1);
    harness.end(1, 0, AttemptOutcome::Cancelled, true);
    harness.end(1, 0, AttemptOutcome::Cancelled, true);
    assert!(harness.answers(1).is_empty());
    assert_eq!(harness.count(Action::Cancel(1, 0)), 1);
    assert_eq!(harness.count(Action::Release(1)), 1);
}

#[test]
fn attempt_timeout_follows_slow_connects() {
    // Each case: how long attempts take in milliseconds, how they end if they fail, and whether
    // later ones may take longer.
    for (connect_time, outcome, is_longer) in [
        (20, None, false),
        (250, None, true),
        (300, Some(AttemptOutcome::TimedOut), true),
    ] {
        let mut harness = Harness::new(deployment(IDEMPOTENT), &ready_endpoints(6));
        for id in 1..40 {
            harness.arrive(id, arrival(0, 0, ms(60_000)));
            harness.advance(ms(connect_time));
            match outcome {
                Some(outcome) => harness.end(id, 0, outcome, true),
                None => harness.establish(id, 0),
            }
        }
        let attempt_timeout = harness
            .arrive(99, arrival(0, 0, ms(60_000)))
            .unwrap()
            .timeout;
        assert_eq!(
            attempt_timeout > ms(300),
            is_longer,
            "attempts took {connect_time} ms, {outcome:?}: timeout of the next {attempt_timeout:?}"
        );
    }
}
