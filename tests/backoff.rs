//! Backoff of clients, and of relays from overloaded backends.
mod support;

use support::{Action, Harness, IDEMPOTENT, arrival, deployment, ms, ready_endpoints, with_route};
use thistlecroft::attempt::AttemptOutcome;
use thistlecroft::deployment::{Deployment, Route};
use thistlecroft::endpoint::UpdateKind;
use thistlecroft::time::Duration;

/// Returns the longest backoff, over many clients, of a session that is rejected after three earlier
/// rejections and a connection that ended at this age and in this way.
fn longest_backoff_after_connection(age: Duration, outcome: AttemptOutcome) -> Duration {
    let mut longest = Duration::ZERO;
    for client_key in 1..200 {
        let mut harness = Harness::new(
            with_route(|route| route.max_attempts = 1, deployment(IDEMPOTENT)),
            &ready_endpoints(1),
        );
        for id in 1..=3 {
            harness.arrive(id, arrival(client_key, 0, ms(4_800)));
            harness.end(id, 0, AttemptOutcome::Saturated, false);
        }
        harness.arrive(4, arrival(client_key, 0, ms(4_800)));
        harness.establish(4, 0);
        harness.advance(age);
        harness.end(4, 0, outcome, true);
        harness.arrive(5, arrival(client_key, 0, ms(4_800)));
        harness.end(5, 0, AttemptOutcome::Saturated, false);
        let [Action::Reject(_, Some(backoff))] = harness.answers(5)[..] else {
            panic!("the session after the connection is not rejected")
        };
        longest = longest.max(backoff);
    }
    longest
}

#[test]
fn backoff_grows_until_connection_is_stable() {
    // Each case: the age at which a connection ends, how it ends, and the upper bound of the backoff
    // of the next rejection (times in milliseconds).
    let cases = [
        (4_000, AttemptOutcome::Reset, 16_000),
        (4_000, AttemptOutcome::Ok, 8_000),
        (6_000, AttemptOutcome::Reset, 1_000),
        (6_000, AttemptOutcome::Ok, 1_000),
    ];
    for (age, outcome, max_backoff) in cases {
        let longest = longest_backoff_after_connection(ms(age), outcome);
        assert!(
            longest <= ms(max_backoff),
            "connection ended with {outcome:?} after {age} ms: longest backoff {longest:?}"
        );
        assert!(
            longest > ms(max_backoff) * 0.01,
            "connection ended with {outcome:?} after {age} ms: longest backoff {longest:?}"
        );
    }
}

/// Returns the longest backoff, over many clients, after the second failure of a client. Both times
/// are in milliseconds.
fn longest_second_backoff(backoff_base: u64, backoff_cap: u64) -> Duration {
    let change = |route: &mut Route| {
        (route.backoff_base, route.backoff_cap, route.max_attempts) =
            (ms(backoff_base), ms(backoff_cap), 1)
    };
    let mut harness = Harness::new(
        with_route(change, deployment(IDEMPOTENT)),
        &ready_endpoints(40),
    );
    let mut longest = ms(0);
    for client in 0..300 {
        let (first_session, second_session) = (client * 2, client * 2 + 1);
        for id in [first_session, second_session] {
            harness.arrive(id, arrival(u64::from(client) + 1, 0, ms(4_000)));
            harness.end(id, 0, AttemptOutcome::Saturated, false);
        }
        let Some(Action::Reject(_, Some(backoff))) =
            harness.answers(second_session).last().copied()
        else {
            panic!("the second session of a client is not rejected")
        };
        longest = longest.max(backoff);
    }
    longest
}

/// Returns the longest backoff, over many seeds, of a rejection that follows the reset of a
/// connection of this age. Both times are in milliseconds.
fn longest_backoff_after_reset(stable_after: u64, age: u64) -> Duration {
    let change = |route: &mut Route| {
        (route.stable_after, route.backoff_cap, route.max_attempts) =
            (ms(stable_after), ms(600_000), 1)
    };
    let mut longest = ms(0);
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
        let Some(Action::Reject(_, Some(backoff))) = harness.answers(2).last().copied() else {
            panic!("the session after the reset is not rejected")
        };
        longest = longest.max(backoff);
    }
    longest
}

#[test]
fn backoff_and_stability_follow_route() {
    // Each case: the base and the cap of the backoff, and the upper bound of the backoff after a
    // second failure (all in milliseconds).
    for (backoff_base, backoff_cap, max_backoff) in [
        (1_000, 30_000, 2_000),
        (100, 30_000, 200),
        (1_000, 500, 500),
    ] {
        let longest = longest_second_backoff(backoff_base, backoff_cap);
        assert!(
            longest <= ms(max_backoff) && longest > ms(max_backoff / 2),
            "base {backoff_base} ms, cap {backoff_cap} ms: longest backoff {longest:?}"
        );
    }
    // A reset counts as a failure until the connection is as old as the `stable_after` of its
    // route. Each case: `stable_after` and the age of the connection (in milliseconds), and whether
    // the reset counts.
    for (stable_after, age, is_failure) in [
        (5_000, 4_000, true),
        (5_000, 6_000, false),
        (1_000, 4_000, false),
    ] {
        let longest = longest_backoff_after_reset(stable_after, age);
        assert_eq!(
            longest > ms(1_000),
            is_failure,
            "stable after {stable_after} ms, reset at {age} ms: longest backoff {longest:?}"
        );
    }
}

/// How a backend shows that it is overloaded, and what the relays know of its load.
#[derive(Clone, Copy)]
struct Overload {
    /// Whether backends report their load.
    reports_load: bool,
    relay_count: u32,
    /// How attempts or connections at the backend end.
    outcome: AttemptOutcome,
    /// How many attempts or connections end in this way.
    end_count: u32,
}

impl Overload {
    fn harness(self, seed: u64) -> Harness {
        let deployment = Deployment {
            may_check_health: false,
            reports_load: self.reports_load,
            relay_count: self.relay_count,
            ..deployment(IDEMPOTENT)
        };
        Harness::with_seed(deployment, seed, &ready_endpoints(6))
    }

    /// Lets all backends report a low load, if they report loads.
    fn report_low_load(self, harness: &mut Harness) {
        if self.reports_load {
            // Placements since the last report are multiplied by the number of relays, so they have
            // to be older than the lag of reports.
            harness.advance(ms(1_100));
            (0..6).for_each(|backend| harness.report(backend, Some(1.0), Some(0.1)));
        }
    }

    /// Overloads the backend of a group and returns how many milliseconds pass until a session of
    /// the group is placed there again.
    fn wait_ms(self, seed: u64) -> u32 {
        let mut harness = self.harness(seed);
        let session_of_group = |id: u32| arrival(u64::from(id), 5, ms(1_200));
        self.report_low_load(&mut harness);
        let home_backend = harness.arrive(1, session_of_group(1)).unwrap().backend;
        // The backend holds other connections, so that it does not count as restarted.
        (100..104).for_each(|id| harness.inherit(id, home_backend));
        for index in 0..self.end_count {
            harness.inherit(200 + index, home_backend);
            match self.outcome {
                AttemptOutcome::Saturated => harness.end(1, 0, self.outcome, false),
                _ => harness.end(200 + index, 0, self.outcome, true),
            }
        }
        self.report_low_load(&mut harness);
        let mut rejected = 0;
        while harness
            .arrive(300 + rejected, session_of_group(300 + rejected))
            .is_none_or(|target| target.backend != home_backend)
        {
            assert!(
                harness.attempts(300 + rejected).is_empty(),
                "a session of the group is placed at another backend"
            );
            rejected += 1;
            harness.advance(ms(100));
            assert!(
                rejected <= 400,
                "{} relays, {:?}: the backend is not tried again",
                self.relay_count,
                self.outcome
            );
        }
        rejected * 100
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
    for (reports_load, relay_count, outcome, end_count, upper_bound, lower_bound) in cases {
        let overload = Overload {
            reports_load,
            relay_count,
            outcome,
            end_count,
        };
        let longest = (0..40).fold(0, |longest, seed| longest.max(overload.wait_ms(seed)));
        // Sessions arrive every 100 ms, so that the wait is known only to that precision.
        let range = lower_bound..=upper_bound + 100;
        assert!(
            range.contains(&longest),
            "loads reported {reports_load}, {relay_count} relays, {outcome:?} {end_count} times: \
             longest wait {longest} ms"
        );
    }
}
