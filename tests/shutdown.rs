//! Shutdown of a relay.
mod support;

use support::{Action, Harness, IDEMPOTENT, arrival, deployment, ms, ready_endpoints};
use thistlecroft::attempt::AttemptOutcome;

#[test]
fn shutdown_ends_all_sessions_in_steps() {
    // Each case: the number of established connections, and the time limit in milliseconds.
    for (established, timeout) in [(0, 3_700), (1, 3_700), (30, 3_700), (30, 1_900)] {
        let mut harness = Harness::new(deployment(IDEMPOTENT), &ready_endpoints(6));
        for id in 0..established {
            harness.arrive(id, arrival(u64::from(id), 0, ms(1_000)));
            harness.establish(id, 0);
        }
        // Session 100 has an attempt under way that could last longer than the shutdown. Session
        // 101 backs off.
        harness.arrive(100, arrival(100, 0, ms(60_000)));
        harness.arrive(101, arrival(101, 0, ms(60_000)));
        harness.end(101, 0, AttemptOutcome::Saturated, false);
        harness
            .balancer
            .shut_down(harness.now, ms(timeout), &mut harness.recorder);
        // No connection is migrated at first: another relay may just have been stopped too, so that
        // clients would find no relay to reconnect to.
        harness.advance(ms(timeout * 2 / 5));
        assert_eq!(harness.migrations(), 0);
        let attempt_timeout = harness
            .arrive(200, arrival(200, 0, ms(60_000)))
            .unwrap()
            .timeout;
        assert!(
            attempt_timeout < ms(timeout),
            "an attempt during a shutdown of {timeout} ms may take {attempt_timeout:?}"
        );
        harness.establish(200, 0);
        harness.advance(ms(timeout / 4));
        assert!(
            harness.migrations() <= established as usize / 2 + 3,
            "connections are migrated in steps"
        );
        harness.advance(ms(timeout * 3 / 10));
        assert_eq!(harness.migrations(), established as usize + 1);
        assert!(harness.recorder.actions.contains(&Action::Cancel(100, 0)));
        for action in harness.recorder.actions.clone() {
            if let Action::Cancel(id, attempt) = action {
                harness.end(id, attempt, AttemptOutcome::Cancelled, false);
            }
        }
        harness.advance(ms(timeout / 20));
        assert_eq!(
            (harness.answers(100).len(), harness.answers(101).len()),
            (1, 1)
        );
    }
}
