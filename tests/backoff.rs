//! Backoff of clients, and of relays from overloaded backends.
mod support;

use support::{Action, Harness, IDEMPOTENT, arrival, deployment, ms, ready_endpoints, with_route};
use thistlecroft::attempt::AttemptOutcome;
use thistlecroft::deployment::{Deployment, Route};
use thistlecroft::endpoint::UpdateKind;
use thistlecroft::time::Duration;

#[test]
fn backoff_grows_until_connection_is_stable() {
    // Each case: the age at which a connection ends, whether it ends by a reset, and the longest
    // backoff of the next rejection (times in milliseconds).
    let cases = [
        (4_000, true, 16_000),
        (4_000, false, 8_000),
        (6_000, true, 1_000),
        (6_000, false, 1_000),
    ];
    for (age, reset, most) in cases {
        let mut longest = Duration::ZERO;
        for key in 1..200 {
            let mut harness = Harness::new(
                with_route(|route| route.max_attempts = 1, deployment(IDEMPOTENT)),
                &ready_endpoints(1),
            );
            for id in 1..=3 {
                harness.arrive(id, arrival(key, 0, ms(4_800)));
                harness.end(id, 0, AttemptOutcome::Saturated, false);
            }
            harness.arrive(4, arrival(key, 0, ms(4_800)));
            harness.establish(4, 0);
            harness.advance(ms(age));
            harness.end(
                4,
                0,
                if reset {
                    AttemptOutcome::Reset
                } else {
                    AttemptOutcome::Ok
                },
                true,
            );
            harness.arrive(5, arrival(key, 0, ms(4_800)));
            harness.end(5, 0, AttemptOutcome::Saturated, false);
            let [Action::Reject(_, Some(wait))] = harness.answers(5)[..] else {
                panic!("the session is not rejected")
            };
            longest = longest.max(wait);
        }
        assert!(
            longest <= ms(most),
            "connection ended after {age} ms, reset {reset}: longest backoff {longest:?}"
        );
        assert!(
            longest > ms(most) * 0.01,
            "connection ended after {age} ms, reset {reset}: longest backoff {longest:?}"
        );
    }
}

#[test]
fn backoff_and_stability_follow_route() {
    // Each case: the base and the cap of the backoff, and the longest backoff after a second
    // failure (all in milliseconds).
    for (base, cap, longest) in [
        (1_000, 30_000, 2_000),
        (100, 30_000, 200),
        (1_000, 500, 500),
    ] {
        let change = |route: &mut Route| {
            (route.backoff_base, route.backoff_cap, route.max_attempts) = (ms(base), ms(cap), 1)
        };
        let mut harness = Harness::new(
            with_route(change, deployment(IDEMPOTENT)),
            &ready_endpoints(40),
        );
        let mut most = ms(0);
        for id in 0..300 {
            for turn in 0..2 {
                let id = id * 2 + turn;
                harness.arrive(id, arrival(u64::from(id / 2) + 1, 0, ms(4_000)));
                harness.end(id, 0, AttemptOutcome::Saturated, false);
            }
            let Some(Action::Reject(_, Some(wait))) = harness.answers(id * 2 + 1).last().copied()
            else {
                panic!("the second session of a client is not rejected")
            };
            most = most.max(wait);
        }
        assert!(
            most <= ms(longest) && most > ms(longest / 2),
            "base {base} ms, cap {cap} ms: longest backoff {most:?}"
        );
    }
    // A reset counts as a failure until the connection is as old as the `stable_after` of its
    // route. Each case: `stable_after` and the age of the connection (in milliseconds), and whether
    // it counts.
    for (stable_after, age, counts) in [
        (5_000, 4_000, true),
        (5_000, 6_000, false),
        (1_000, 4_000, false),
    ] {
        let change = |route: &mut Route| {
            (route.stable_after, route.backoff_cap, route.max_attempts) =
                (ms(stable_after), ms(600_000), 1)
        };
        let mut most = ms(0);
        for seed in 0..60 {
            let mut harness = Harness::with_seed(
                with_route(change, deployment(IDEMPOTENT)),
                seed,
                &ready_endpoints(4),
            );
            harness.arrive(1, arrival(7, 0, ms(4_000)));
            harness.establish(1, 0);
            harness.advance(ms(age));
            harness.end(1, 0, AttemptOutcome::Reset, true);
            harness.balancer.update_endpoints(UpdateKind::Snapshot, &[]);
            harness.arrive(2, arrival(7, 0, ms(4_000)));
            let Some(Action::Reject(_, Some(wait))) = harness.answers(2).last().copied() else {
                panic!("the session after the reset is not rejected")
            };
            most = most.max(wait);
        }
        assert_eq!(most > ms(1_000), counts, "{stable_after} {age}: {most:?}");
    }
}

/// Without load reports, relays back off from a backend that drops connections or refuses an
/// attempt. The wait grows with the number of relays and with each repetition, and sessions of
/// groups that are held there are rejected meanwhile. If loads are reported, they decide instead.
#[test]
fn overloaded_backend_avoided_without_load_reports() {
    // Each case: whether loads are reported, the number of relays, how attempts or connections at
    // the backend end and how often, and the upper and lower bound of the longest wait in
    // milliseconds.
    let cases = [
        (false, 1, AttemptOutcome::Reset, 1, 1_000, 500),
        (false, 1, AttemptOutcome::Saturated, 1, 1_000, 500),
        (false, 4, AttemptOutcome::Reset, 1, 4_000, 2_000),
        (false, 4, AttemptOutcome::Reset, 3, 16_000, 8_000),
        (false, 300, AttemptOutcome::Reset, 1, 30_000, 15_000),
        (false, 300, AttemptOutcome::Ok, 1, 0, 0),
        (true, 300, AttemptOutcome::Reset, 1, 0, 0),
    ];
    for (reports_load, relays, outcome, times, most, least) in cases {
        let mut longest = 0;
        for seed in 0..40 {
            let deployment = Deployment {
                may_check_health: false,
                reports_load,
                relay_count: relays,
                ..deployment(IDEMPOTENT)
            };
            let mut harness = Harness::with_seed(deployment, seed, &ready_endpoints(6));
            let session = |id: u32| arrival(u64::from(id), 5, ms(1_200));
            let report_low_load = |harness: &mut Harness| {
                // Placements since the last report are multiplied by the number of relays, so they
                // have to be older than the lag of reports.
                harness.advance(ms(1_100));
                (0..6).for_each(|backend| harness.report(backend, Some(1.0), Some(0.1)));
            };
            if reports_load {
                report_low_load(&mut harness);
            }
            let home = harness.arrive(1, session(1)).unwrap().backend;
            // The backend holds other connections, so that it does not count as restarted.
            (100..104).for_each(|id| harness.inherit(id, home));
            for id in 0..times {
                harness.inherit(200 + id, home);
                match outcome {
                    AttemptOutcome::Saturated => harness.end(1, 0, outcome, false),
                    _ => harness.end(200 + id, 0, outcome, true),
                }
            }
            if reports_load {
                report_low_load(&mut harness);
            }
            let mut waited = 0;
            while harness
                .arrive(300 + waited, session(300 + waited))
                .is_none_or(|target| target.backend != home)
            {
                assert!(
                    harness.attempts(300 + waited).is_empty(),
                    "the group goes to no other backend"
                );
                waited += 1;
                harness.advance(ms(100));
                assert!(waited <= 400, "{relays} {outcome:?}: not tried again");
            }
            longest = longest.max(waited * 100);
        }
        let range = least..=most + 100;
        assert!(
            range.contains(&longest),
            "loads {reports_load}, {relays} relays, {outcome:?} {times} times: {longest} ms"
        );
    }
}
