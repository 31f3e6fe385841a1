//! Tests of the limits on sessions and extra attempts.
use super::window::MAX_POSITIONS;
use super::*;
use crate::deployment::Hedging;
use crate::random::Rng;

const NOW: Instant = Instant::from_micros(1_000);

fn route(limits_id: u32, max_sessions: Option<u32>, share: Option<f64>) -> Route {
    let (min_delay, max_delay) = (Duration::from_millis(20), Duration::from_millis(200));
    let hedging = share.map(|share| Hedging {
        quantile: 0.9,
        min_delay,
        max_delay,
        share,
    });
    Route {
        limits_id,
        max_sessions,
        retry_share: share,
        hedging,
        ..Route::default()
    }
}

#[test]
fn open_sessions_of_rows_with_same_id_share_limit() {
    let (mut limits, three_allowed, two_allowed) = (
        RouteLimits::default(),
        route(1, Some(3), None),
        route(1, Some(2), None),
    );
    assert!(
        [&three_allowed, &three_allowed, &three_allowed]
            .into_iter()
            .all(|route| limits.open_session(route))
    );
    // The limit is now below the number of open sessions: no session may open before enough have
    // closed.
    assert!(!limits.open_session(&two_allowed));
    for (closed, opens) in [(2, false), (2, true)] {
        (0..closed).for_each(|_| limits.close_session(&three_allowed));
        assert_eq!(
            limits.open_session(&two_allowed),
            opens,
            "after {closed} more sessions have closed"
        );
    }
    assert!(
        limits.open_session(&route(2, Some(1), None)),
        "another limits_id has its own limit"
    );
}

#[test]
fn extra_attempts_of_failing_sessions_stay_within_share() {
    for (share, sessions) in [(0.1, 1_000), (0.5, 200), (0.01, 1_000)] {
        let (mut limits, route) = (RouteLimits::default(), route(1, None, Some(share)));
        let (mut retries, mut hedges) = (0, 0);
        for _ in 0..sessions {
            limits.record_arrival(NOW, &route);
            // Every session asks for a retry and for a hedge.
            retries += u32::from(limits.try_spend(NOW, &route, ExtraAttempt::Retry));
            hedges += u32::from(limits.try_spend(NOW, &route, ExtraAttempt::Hedge));
        }
        let max_attempts = share * f64::from(sessions);
        for count in [retries, hedges].map(f64::from) {
            assert!(
                count <= max_attempts && count >= max_attempts - 1.0,
                "{count} extra attempts, {max_attempts} allowed"
            );
        }
        // A quiet period allows only a bounded number of attempts afterwards.
        (0..10_000).for_each(|_| limits.record_arrival(NOW, &route));
        let burst = (0..10_000)
            .filter(|_| limits.try_spend(NOW, &route, ExtraAttempt::Retry))
            .count() as f64;
        assert!(
            burst <= (share * 100.0).max(1.0),
            "{burst} retries in a burst"
        );
    }
    let (mut limits, unlimited) = (RouteLimits::default(), route(0, None, None));
    limits.record_arrival(NOW, &unlimited);
    assert!((0..100).all(|_| limits.try_spend(NOW, &unlimited, ExtraAttempt::Retry)));
}

#[test]
fn hedge_delay_follows_connect_times_within_bounds() {
    let (mut limits, route) = (RouteLimits::default(), route(1, None, Some(0.1)));
    limits.record_arrival(NOW, &route);
    let delay = |limits: &RouteLimits| limits.hedge_delay(&route).map(|delay| delay.as_millis());
    assert_eq!(delay(&limits), Some(200), "no connect time is known yet");
    for (connect_time, expected) in [(5, 20), (50, 50), (900, 200), (30, 30)] {
        (0..100)
            .for_each(|_| limits.record_connect_time(&route, Duration::from_millis(connect_time)));
        assert_eq!(
            delay(&limits),
            Some(expected),
            "all attempts took {connect_time} ms"
        );
    }
    (0..12).for_each(|_| limits.record_connect_time(&route, Duration::from_millis(100)));
    assert_eq!(
        delay(&limits),
        Some(100),
        "more than a tenth of the attempts took 100 ms"
    );
    assert_eq!(limits.hedge_delay(&Route::default()), None);
}

#[test]
fn retry_budget_holds_at_window_edge() {
    let budget = RetryBudget {
        free: 1.0,
        share: 0.5,
        window: Duration::from_millis(5_000),
    };
    let at = |ms: u64| Instant::from_micros(ms * 1_000);
    // When two sessions arrive, when attempts go out, when another attempt is tried (all in
    // milliseconds), and whether it is allowed.
    let cases: [(u64, &[u64], u64, bool); 8] = [
        (0, &[], 0, true),
        (0, &[0, 0], 0, false),
        (0, &[0], 4_999, true),
        // The sessions have left the window, the attempt has not yet.
        (0, &[0], 5_000, false),
        (0, &[0], 5_001, true),
        (1_000, &[1_000, 2_000], 6_000, false),
        (1_000, &[1_000, 2_000], 6_001, false),
        (1_000, &[1_000, 2_000], 7_001, true),
    ];
    for (arrived_at, attempts, tried_at, is_allowed) in cases {
        let (mut limits, route) = (RouteLimits::default(), Route::default());
        limits.set_retry_budget(Some(budget));
        (0..2).for_each(|_| limits.record_arrival(at(arrived_at), &route));
        attempts
            .iter()
            .for_each(|&ms| assert!(limits.try_spend(at(ms), &route, ExtraAttempt::Retry)));
        assert_eq!(
            limits.try_spend(at(tried_at), &route, ExtraAttempt::Retry),
            is_allowed,
            "sessions at {arrived_at} ms, attempts at {attempts:?} ms, tried at {tried_at} ms"
        );
    }
}

/// Compares the limits with a plain list of all events, counted for each window that ends in an
/// attempt.
#[test]
fn retry_budget_matches_plain_count_in_every_window() {
    for (seed, gap_us, free, share, window) in [
        (1, 4_000, 3.0, 0.15, 5_000),
        (2, 90_000, 0.0, 0.3, 5_000),
        (3, 400, 3.0, 0.15, 5_000),
    ] {
        let (mut limits, route) = (RouteLimits::default(), Route::default());
        let budget = RetryBudget {
            free,
            share,
            window: Duration::from_millis(window),
        };
        limits.set_retry_budget(Some(budget));
        let (mut rng, mut now) = (Rng::from_seed(seed), 7);
        let (mut sessions, mut attempts): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
        let (mut first_session, mut first_attempt, mut least_remaining) = (0, 0, f64::MAX);
        for step in 0..40_000 {
            now += rng.below(gap_us);
            // Bursts, in which each session retries again and again, alternate with quiet periods.
            if rng.below(4) > 0 {
                limits.record_arrival(Instant::from_micros(now), &route);
                sessions.push(now);
            }
            if step % 3_000 < 1_500
                && limits.try_spend(Instant::from_micros(now), &route, ExtraAttempt::Retry)
            {
                attempts.push(now);
                let from = now.saturating_sub(window * 1_000);
                first_session += sessions[first_session..]
                    .iter()
                    .take_while(|&&at| at <= from && from > 0)
                    .count();
                first_attempt += attempts[first_attempt..]
                    .iter()
                    .take_while(|&&at| at < from)
                    .count();
                let max_attempts = free + share * (sessions.len() - first_session) as f64;
                let remaining = max_attempts - (attempts.len() - first_attempt) as f64;
                assert!(
                    remaining >= 0.0,
                    "seed {seed}: {remaining} attempts remaining at {now} us"
                );
                least_remaining = least_remaining.min(remaining);
            }
        }
        assert!(
            least_remaining < 1.0 && attempts.len() > 300,
            "seed {seed}: {} attempts",
            attempts.len()
        );
        let positions = limits
            .relay_window
            .sessions
            .positions
            .len()
            .max(limits.relay_window.attempts.positions.len());
        assert!(positions <= MAX_POSITIONS, "{positions} positions");
    }
}

#[test]
fn retry_budget_counts_reserved_refunded_and_predecessor() {
    let (mut limits, route, budget) = (
        RouteLimits::default(),
        Route::default(),
        RetryBudget {
            free: 2.0,
            share: 0.0,
            window: Duration::from_millis(5_000),
        },
    );
    limits.set_retry_budget(Some(budget));
    limits.reserve_retry(&route);
    assert!(
        limits.try_spend(NOW, &route, ExtraAttempt::Retry)
            && !limits.try_spend(NOW, &route, ExtraAttempt::Retry),
        "one of the two free retries is reserved"
    );
    limits.release_retry(&route);
    assert!(
        limits.try_spend(NOW, &route, ExtraAttempt::Retry)
            && !limits.try_spend(NOW, &route, ExtraAttempt::Hedge)
    );
    limits.refund(NOW);
    assert!(
        limits.try_spend(NOW, &route, ExtraAttempt::Hedge),
        "the refunded attempt is available again"
    );
    limits.refund(NOW - Duration::from_micros(1));
    assert!(
        !limits.try_spend(NOW, &route, ExtraAttempt::Retry),
        "a refund for a time without an attempt returns none"
    );
    let later = NOW + Duration::from_millis(6_000);
    limits.predecessor_started();
    assert!(
        !limits.try_spend(later, &route, ExtraAttempt::Retry),
        "the free part belongs to the predecessor"
    );
    limits.predecessor_ended(later);
    for (after, is_allowed) in [(4_999, false), (5_000, true)] {
        assert_eq!(
            limits.try_spend(
                later + Duration::from_millis(after),
                &route,
                ExtraAttempt::Retry
            ),
            is_allowed,
            "{after} ms after the predecessor's end"
        );
    }
}
