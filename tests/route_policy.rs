//! What rows of routes make of the decisions, as tables of cases, with no simulator.
mod support;

use support::{Asked, Bench, arrival, deployment, ms, row, rows, with_row};
use thistlecroft::attempt::{Arrival, AttemptOutcome};
use thistlecroft::deployment::{
    DeduplicationScope, Deployment, Hedging, Idempotency, RetryBudget, Route,
};
use thistlecroft::endpoint::{Endpoint, EndpointState, UpdateKind};
use thistlecroft::ids::{RouteId, SessionId};
use thistlecroft::time::{Duration, Instant};

const COPY: Hedging = Hedging {
    quantile: 0.9,
    min_delay: Duration::from_millis(20),
    max_delay: Duration::from_millis(100),
    share: 1.0,
};

fn doubled(effect: Idempotency) -> Deployment {
    let deployment = Deployment {
        may_hedge: true,
        groups_share_work: false,
        ..deployment(effect)
    };
    with_row(|row| row.hedging = Some(COPY), deployment)
}

/// Final answers that a session was given.
fn answers(bench: &Bench, id: u32) -> Vec<Asked> {
    let of =
        |asked: &&Asked| matches!(asked, Asked::Refuse(at, _) | Asked::TearDown(at) if *at == id);
    bench.book.asked.iter().filter(of).copied().collect()
}

fn asked(bench: &Bench, what: Asked) -> usize {
    bench
        .book
        .asked
        .iter()
        .filter(|asked| **asked == what)
        .count()
}

#[test]
fn a_slow_dial_has_a_second_copy_and_one_answer_comes_of_both() {
    use AttemptOutcome::{Cancelled, Error, Reset, Saturated, TimedOut};
    #[derive(Clone, Copy, Debug)]
    enum Then {
        Up(u32),
        Ends(u32, AttemptOutcome),
        Leaves,
        Stops,
    }
    use Then::{Ends, Leaves, Stops, Up};
    // What happens while two are out, which dials have to be withdrawn, and how many answers and
    // releases there are by the end.
    let cases: &[(&[Then], &[u32], usize, usize)] = &[
        (
            &[Up(0), Ends(1, Cancelled), Ends(0, AttemptOutcome::Ok)],
            &[1],
            0,
            1,
        ),
        (
            &[Up(1), Ends(0, Cancelled), Ends(1, AttemptOutcome::Ok)],
            &[0],
            0,
            1,
        ),
        (
            &[
                Up(1),
                Up(0),
                Ends(0, Cancelled),
                Ends(1, AttemptOutcome::Ok),
            ],
            &[0],
            0,
            1,
        ),
        (
            &[Ends(0, Error), Up(1), Ends(1, AttemptOutcome::Ok)],
            &[],
            0,
            1,
        ),
        (
            &[Ends(1, Saturated), Up(0), Ends(0, AttemptOutcome::Ok)],
            &[],
            0,
            1,
        ),
        (&[Ends(1, Reset), Ends(0, TimedOut)], &[], 1, 1),
        (&[Ends(0, Reset), Ends(1, TimedOut)], &[], 1, 1),
        (
            &[
                Ends(0, Reset),
                Ends(0, Reset),
                Ends(1, TimedOut),
                Ends(1, TimedOut),
            ],
            &[],
            1,
            1,
        ),
        (
            &[Leaves, Ends(0, Cancelled), Ends(1, Cancelled)],
            &[0, 1],
            0,
            1,
        ),
        (
            &[Leaves, Ends(1, Cancelled), Ends(0, Cancelled)],
            &[0, 1],
            0,
            1,
        ),
        (
            &[Stops, Ends(0, Cancelled), Ends(1, Cancelled)],
            &[0, 1],
            1,
            1,
        ),
    ];
    for (course, withdrawn, answered, released) in cases {
        // Two dials are all that there are, so that a failure of both is the end.
        let deployment = with_row(|row| row.max_attempts = 2, doubled(Idempotency::Idempotent));
        let mut bench = Bench::new(deployment, &rows(4));
        let (first, _) = bench.arrive(1, arrival(5, 0, ms(4_000))).unwrap();
        bench.pass(ms(99));
        assert_eq!(bench.dials(1).len(), 1);
        bench.pass(ms(2));
        let dials = bench.dials(1);
        assert!(dials.len() == 2 && dials[1].0 != first, "{dials:?}");
        for then in *course {
            match *then {
                Up(dial) => bench.stand(1, dial),
                Ends(dial, verdict) => bench.end(1, dial, verdict, false),
                Leaves => bench.relay.session_left(SessionId(1), &mut bench.book),
                Stops => {
                    bench.relay.shut_down(bench.now, &mut bench.book);
                    bench.pass(ms(3_500));
                }
            }
        }
        for dial in 0..2 {
            let expected = usize::from(withdrawn.contains(&dial));
            // Told to stop it says so with each step, which is passed over.
            assert_eq!(
                asked(&bench, Asked::Withdraw(1, dial)).min(1),
                expected,
                "{course:?}: dial {dial}"
            );
        }
        assert_eq!(answers(&bench, 1).len(), *answered, "{course:?}");
        assert_eq!(asked(&bench, Asked::Release(1)), *released, "{course:?}");
        assert_eq!(bench.dials(1).len(), 2, "{course:?}");
    }
}

#[test]
fn no_second_copy_goes_out_where_one_might_do_harm() {
    let cold = Some(Instant::from_micros(99_000_000));
    let referenced = Idempotency::Keyed {
        scope: DeduplicationScope::All,
        window: ms(5_000),
    };
    let one_dial = Deployment {
        may_hedge: false,
        ..doubled(Idempotency::Idempotent)
    };
    let kept = Deployment {
        may_cancel: false,
        ..doubled(Idempotency::Idempotent)
    };
    let last = with_row(|row| row.max_attempts = 1, doubled(Idempotency::Idempotent));
    let few = with_row(
        |row| row.hedging = Some(Hedging { share: 0.0, ..COPY }),
        doubled(Idempotency::Idempotent),
    );
    let plain = with_row(|row| row.hedging = None, doubled(Idempotency::Idempotent));
    let able = || doubled(Idempotency::Idempotent);
    let two = |other: Endpoint| vec![row(0, EndpointState::Ready, None), other];
    let cases = [
        ("none of the below", able(), rows(4), 2),
        ("one dial at a time", one_dial, rows(4), 1),
        ("none may be given up", kept, rows(4), 1),
        ("once-only", doubled(Idempotency::NonIdempotent), rows(4), 1),
        ("referenced", doubled(referenced), rows(4), 1),
        ("the last dial", last, rows(4), 1),
        ("no share of them left", few, rows(4), 1),
        ("a route without them", plain, rows(4), 1),
        ("one backend", able(), rows(1), 1),
        (
            "the other is cold",
            able(),
            two(row(2, EndpointState::Ready, cold)),
            1,
        ),
        (
            "the other drains",
            able(),
            two(row(2, EndpointState::Draining, None)),
            1,
        ),
    ];
    for (name, deployment, list, expected) in cases {
        let mut seen = 0;
        for seed in 0..20 {
            let mut bench = Bench::seeded(deployment.clone(), seed, &list);
            // A cold one that has its turn for the first dial leaves the warm one for the second.
            if bench
                .arrive(1, arrival(5, 0, ms(4_000)))
                .is_some_and(|(at, _)| name.contains("cold") && at == 2)
            {
                continue;
            }
            bench.pass(ms(250));
            assert_eq!(bench.dials(1).len(), expected, "{name}");
            seen += 1;
        }
        assert!(seen > 0, "{name}: never met");
    }
    // Ended before: what comes of it is a further dial, not a second one.
    let mut bench = Bench::new(able(), &rows(4));
    bench.arrive(1, arrival(5, 0, ms(4_000)));
    bench.stand(1, 0);
    bench.pass(ms(1_000));
    assert_eq!(bench.dials(1).len(), 1);
}

#[test]
fn a_routes_share_of_further_dials_holds_while_everything_fails() {
    // The least and the most of 200 sessions that all fail, each allowed two further dials.
    let cases = [
        (None, 201, 400),
        (Some(0.5), 51, 100),
        (Some(0.1), 10, 20),
        (Some(0.0), 0, 0),
    ];
    for (share, least, most) in cases {
        let deployment = with_row(
            |row| row.retry_share = share,
            deployment(Idempotency::Idempotent),
        );
        let mut bench = Bench::new(deployment, &rows(30));
        let (mut further, mut unanswered) = (0, 0);
        for id in 0..200 {
            bench.arrive(id, arrival(u64::from(id) + 1, 0, ms(8_000)));
            let mut dial = 0;
            while bench.dials(id).len() > dial as usize && dial < 3 {
                bench.end(id, dial, AttemptOutcome::Saturated, false);
                bench.pass(ms(2_500));
                dial += 1;
            }
            further += bench.dials(id).len().saturating_sub(1);
            unanswered += usize::from(answers(&bench, id).len() != 1);
        }
        assert!((least..=most).contains(&further), "{share:?}: {further}");
        assert_eq!(unanswered, 0, "{share:?}: given up is answered at once");
    }
}

#[test]
fn a_route_holds_so_many_at_once_and_a_session_keeps_the_row_it_began_with() {
    let deployment = with_row(
        |row| (row.limits_id, row.max_sessions) = (1, Some(2)),
        deployment(Idempotency::Idempotent),
    );
    let wide = deployment.routes[0];
    let mut bench = Bench::new(deployment.clone(), &rows(4));
    for id in 0..4 {
        bench.arrive(id, arrival(u64::from(id) + 1, 0, ms(4_000)));
        assert_eq!(answers(&bench, id).len(), usize::from(id >= 2), "{id}");
    }
    // The new table has fewer at once, one dial, and another listener's row before it.
    let narrow = Route {
        max_sessions: Some(1),
        max_attempts: 1,
        ..wide
    };
    let routes = vec![
        Route {
            limits_id: 0,
            max_sessions: None,
            ..wide
        },
        narrow,
    ];
    bench.relay.reconfigure(Deployment {
        routes,
        ..deployment
    });
    let with = |id: u32, route| Arrival {
        route: RouteId(route),
        ..arrival(u64::from(id) + 1, 0, ms(8_000))
    };
    bench.arrive(10, with(10, 1));
    assert_eq!(
        answers(&bench, 10).len(),
        1,
        "two of the old are still there"
    );
    bench.arrive(11, with(11, 0));
    assert_eq!(answers(&bench, 11).len(), 0);
    // One that came before may still be dialled three times.
    for dial in 0..2 {
        bench.end(0, dial, AttemptOutcome::Saturated, false);
        bench.pass(ms(1_900));
    }
    assert!(bench.dials(0).len() >= 2, "{:?}", bench.dials(0));
    for id in [0, 1] {
        bench.relay.session_left(SessionId(id), &mut bench.book);
        (0..3).for_each(|dial| bench.end(id, dial, AttemptOutcome::Cancelled, false));
    }
    bench.arrive(12, with(12, 1));
    assert_eq!(
        (answers(&bench, 12).len(), bench.dials(12).len()),
        (0, 1),
        "room again"
    );
    bench.end(12, 0, AttemptOutcome::Saturated, false);
    bench.pass(ms(3_000));
    assert_eq!(
        (answers(&bench, 12).len(), bench.dials(12).len()),
        (1, 1),
        "one dial is all that the new row has"
    );
}

#[test]
fn delays_and_cool_downs_are_the_rows_own() {
    // Base, cap, and the longest delay that a second failure may have.
    for (base, cap, longest) in [
        (1_000, 30_000, 2_000),
        (100, 30_000, 200),
        (1_000, 500, 500),
    ] {
        let change = |row: &mut Route| {
            (row.backoff_base, row.backoff_cap, row.max_attempts) = (ms(base), ms(cap), 1)
        };
        let mut bench = Bench::new(
            with_row(change, deployment(Idempotency::Idempotent)),
            &rows(40),
        );
        let mut most = ms(0);
        for id in 0..300 {
            for turn in 0..2 {
                let id = id * 2 + turn;
                bench.arrive(id, arrival(u64::from(id / 2) + 1, 0, ms(4_000)));
                bench.end(id, 0, AttemptOutcome::Saturated, false);
            }
            let Some(Asked::Refuse(_, Some(wait))) = answers(&bench, id * 2 + 1).last().copied()
            else {
                panic!()
            };
            most = most.max(wait);
        }
        assert!(
            most <= ms(longest) && most > ms(longest / 2),
            "{base} {cap}: {most:?}"
        );
    }
    // A drop counts while it comes within the row's cool-down.
    for (cool_down, stood, counts) in [
        (5_000, 4_000, true),
        (5_000, 6_000, false),
        (1_000, 4_000, false),
    ] {
        let change = |row: &mut Route| {
            (row.stable_after, row.backoff_cap, row.max_attempts) = (ms(cool_down), ms(600_000), 1)
        };
        let mut most = ms(0);
        for seed in 0..60 {
            let mut bench = Bench::seeded(
                with_row(change, deployment(Idempotency::Idempotent)),
                seed,
                &rows(4),
            );
            bench.arrive(1, arrival(7, 0, ms(4_000)));
            bench.stand(1, 0);
            bench.pass(ms(stood));
            bench.end(1, 0, AttemptOutcome::Reset, true);
            bench.relay.update_endpoints(UpdateKind::Snapshot, &[]);
            bench.arrive(2, arrival(7, 0, ms(4_000)));
            let Some(Asked::Refuse(_, Some(wait))) = answers(&bench, 2).last().copied() else {
                panic!()
            };
            most = most.max(wait);
        }
        assert_eq!(most > ms(1_000), counts, "{cool_down} {stood}: {most:?}");
    }
}

/// Six free dials in a window, all sessions fail at once: who comes later finds less, the more
/// utility the more.
#[test]
fn the_first_half_of_a_ration_is_everyones_and_the_rest_goes_by_utility_and_time_left() {
    let ration = RetryBudget {
        free: 6.0,
        share: 0.0,
        window: ms(60_000),
    };
    // Utility of the session, part of its time that is gone, how many dials were granted before, if
    // one more is.
    let cases = [
        (1.0, 0, 2, true),
        (1.0, 0, 3, false),
        (1.0, 90, 2, true),
        (3.0, 0, 3, true),
        (3.0, 0, 4, false),
        (3.0, 50, 4, false),
        (5.0, 0, 4, true),
        (5.0, 1, 5, false),
        (5.0, 50, 4, false),
    ];
    for (utility, gone, before, granted) in cases {
        let deployment = deployment(Idempotency::Idempotent);
        let row = Route {
            backoff_base: Duration::ZERO,
            ..deployment.routes[0]
        };
        let routes = vec![
            Route {
                priority_weight: 5.0,
                ..row
            },
            Route {
                priority_weight: utility,
                ..row
            },
        ];
        let mut bench = Bench::new(
            Deployment {
                retry_budget: Some(ration),
                routes,
                ..deployment
            },
            &rows(200),
        );
        for id in 0..before {
            bench.arrive(
                id,
                Arrival {
                    route: RouteId(0),
                    ..arrival(u64::from(id) + 1, 0, ms(8_000))
                },
            );
            bench.end(id, 0, AttemptOutcome::Saturated, false);
            bench.pass(Duration::ZERO);
            assert_eq!(bench.dials(id).len(), 2, "the ones before: {before}");
        }
        bench.arrive(
            90,
            Arrival {
                route: RouteId(1),
                ..arrival(90, 0, ms(8_000))
            },
        );
        bench.pass(ms(80 * gone));
        bench.end(90, 0, AttemptOutcome::Saturated, false);
        bench.pass(Duration::ZERO);
        let what = format!("utility {utility}, {gone}% gone, {before} before");
        assert_eq!(bench.dials(90).len() == 2, granted, "{what}");
        // Who gets none is answered in the same moment, and told when to come back.
        let told = matches!(answers(&bench, 90)[..], [Asked::Refuse(_, Some(_))]);
        assert_eq!(told, !granted, "{what}");
    }
}

#[test]
fn connections_that_were_taken_over_pay_for_no_dials() {
    for (inherited, arrived, most) in [(0, 4, 2), (40, 4, 2), (40, 0, 0)] {
        let ration = Some(RetryBudget {
            free: 0.0,
            share: 0.5,
            window: ms(5_000),
        });
        let deployment = with_row(
            |row| row.backoff_base = Duration::ZERO,
            deployment(Idempotency::Idempotent),
        );
        let mut bench = Bench::new(
            Deployment {
                retry_budget: ration,
                ..deployment
            },
            &rows(60),
        );
        (0..inherited).for_each(|id| bench.inherit(1_000 + id, id % 60));
        let mut further = 0;
        for id in 0..arrived {
            bench.arrive(id, arrival(u64::from(id) + 1, 0, ms(8_000)));
        }
        for id in 0..arrived {
            bench.end(id, 0, AttemptOutcome::Saturated, false);
            bench.pass(Duration::ZERO);
            further += bench.dials(id).len().saturating_sub(1);
        }
        assert_eq!(further, most, "{inherited} taken over, {arrived} arrived");
    }
}
