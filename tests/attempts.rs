//! What the decisions owe their callers, as tables of cases, with no simulator.
mod support;

use support::{Asked, Bench, arrival, deployment, ms, row, rows, with_row};
use std::collections::BTreeSet;
use thistlecroft::attempt::AttemptOutcome;
use thistlecroft::deployment::{DeduplicationScope, Deployment, Idempotency, Route};
use thistlecroft::endpoint::{Endpoint, EndpointState, UpdateKind};
use thistlecroft::ids::{BackendId, SessionId};
use thistlecroft::time::{Duration, Instant};

const REPEATABLE: Idempotency = Idempotency::Idempotent;
const ONCE: Idempotency = Idempotency::NonIdempotent;

fn referenced(scope: DeduplicationScope) -> Idempotency {
    Idempotency::Keyed {
        scope,
        window: Duration::from_millis(5_000),
    }
}

#[test]
fn the_last_failed_dial_gets_the_answer_that_its_listener_allows() {
    let refused = true;
    let cases = [
        (REPEATABLE, AttemptOutcome::TimedOut, refused),
        (REPEATABLE, AttemptOutcome::Reset, refused),
        (REPEATABLE, AttemptOutcome::Saturated, refused),
        (
            referenced(DeduplicationScope::All),
            AttemptOutcome::TimedOut,
            refused,
        ),
        (
            referenced(DeduplicationScope::Zone),
            AttemptOutcome::TimedOut,
            !refused,
        ),
        (
            referenced(DeduplicationScope::Cell),
            AttemptOutcome::Error,
            !refused,
        ),
        (
            referenced(DeduplicationScope::Zone),
            AttemptOutcome::Unreachable,
            refused,
        ),
        (ONCE, AttemptOutcome::TimedOut, !refused),
        (ONCE, AttemptOutcome::Error, !refused),
        (ONCE, AttemptOutcome::Reset, !refused),
        (ONCE, AttemptOutcome::Cancelled, !refused),
        (ONCE, AttemptOutcome::Saturated, refused),
        (ONCE, AttemptOutcome::Unreachable, refused),
        (ONCE, AttemptOutcome::NotSent, refused),
    ];
    for (effect, verdict, may_refuse) in cases {
        let mut bench = Bench::new(
            with_row(|row| row.max_attempts = 1, deployment(effect)),
            &rows(4),
        );
        bench.arrive(1, arrival(5, 0, ms(4_000)));
        bench.pass(ms(300));
        bench.end(1, 0, verdict, false);
        bench.end(1, 0, verdict, false);
        bench.pass(ms(10_000));
        let answers = bench.answers(1);
        assert_eq!(answers.len(), 1, "{effect:?} {verdict:?}: {answers:?}");
        assert_eq!(
            matches!(answers[0], Asked::Refuse(..)),
            may_refuse,
            "{effect:?} {verdict:?}"
        );
    }
}

#[test]
fn a_further_dial_goes_only_where_it_can_do_no_harm() {
    // After the first dial's verdict: whether another dial may follow, and whether it must stay in
    // the first's zone.
    let cases = [
        (REPEATABLE, AttemptOutcome::TimedOut, true, false),
        (ONCE, AttemptOutcome::Saturated, true, false),
        (ONCE, AttemptOutcome::TimedOut, false, false),
        (ONCE, AttemptOutcome::Reset, false, false),
        (
            referenced(DeduplicationScope::Zone),
            AttemptOutcome::TimedOut,
            true,
            true,
        ),
        (
            referenced(DeduplicationScope::Zone),
            AttemptOutcome::Saturated,
            true,
            false,
        ),
    ];
    for (effect, verdict, may_dial, same_zone) in cases {
        let mut zones_differed = false;
        for id in 1..40 {
            let mut bench = Bench::new(deployment(effect), &rows(6));
            let (first, _) = bench
                .arrive(id, arrival(u64::from(id), u64::from(id), ms(60_000)))
                .unwrap();
            bench.pass(ms(100));
            bench.end(id, 0, verdict, false);
            bench.pass(ms(2_000));
            let dials = bench.dials(id);
            assert_eq!(dials.len() > 1, may_dial, "{effect:?} {verdict:?}");
            assert_eq!(
                bench.answers(id).is_empty(),
                may_dial,
                "{effect:?} {verdict:?}"
            );
            if let Some((second, _)) = dials.get(1) {
                zones_differed |= first % 2 != second % 2;
            }
        }
        assert_eq!(
            zones_differed,
            may_dial && !same_zone,
            "{effect:?} {verdict:?}"
        );
    }
}

#[test]
fn past_its_window_a_referenced_session_is_not_sent_again() {
    let mut bench = Bench::new(deployment(referenced(DeduplicationScope::Cell)), &rows(8));
    bench.arrive(1, arrival(1, 0, ms(60_000)));
    bench.pass(ms(6_000));
    bench.end(1, 0, AttemptOutcome::TimedOut, false);
    bench.pass(ms(50_000));
    assert_eq!(
        (bench.dials(1).len(), bench.answers(1)),
        (1, vec![Asked::TearDown(1)])
    );
}

#[test]
fn a_referenced_session_leaves_again_within_its_window_however_late_its_alarm_or_connection() {
    // The window, the time that a connection may take to come up, when the wait's alarm comes, and
    // the dials.
    let cases = [
        (5_000, 50, 0, 2),
        // Its alarm comes when the window is over, or nearly.
        (5_000, 50, 6_000, 1),
        (5_000, 400, 4_700, 1),
        // It could come up after the window.
        (1_300, 400, 0, 1),
    ];
    for (window, connect, stalled, dials) in cases {
        let effect = Idempotency::Keyed {
            scope: DeduplicationScope::All,
            window: ms(window),
        };
        let change =
            |row: &mut Route| (row.connect_timeout, row.backoff_base) = (ms(connect), ms(100));
        let mut bench = Bench::new(with_row(change, deployment(effect)), &rows(8));
        bench.arrive(1, arrival(1, 0, ms(20_000)));
        bench.pass(ms(1_000));
        bench.end(1, 0, AttemptOutcome::TimedOut, false);
        // As where the process stood still: nothing is woken meanwhile.
        bench.now = bench.now + ms(stalled);
        bench.pass(ms(1_000));
        assert_eq!(bench.dials(1).len(), dials, "{window} {connect} {stalled}");
        assert_eq!(
            bench.answers(1).len(),
            2 - dials,
            "{window} {connect} {stalled}"
        );
    }
}

#[test]
fn every_session_is_answered_once_and_in_time() {
    // Dial timeout, and the verdict that meets each dial once its time is up.
    for (timeout, verdict) in [
        (1_200, AttemptOutcome::TimedOut),
        (90, AttemptOutcome::Unreachable),
        (4_800, AttemptOutcome::Saturated),
    ] {
        let mut bench = Bench::new(deployment(REPEATABLE), &rows(3));
        let start = bench.now;
        bench.arrive(1, arrival(9, 0, ms(timeout)));
        for dial in 0..3 {
            let Some(&(_, given)) = bench.dials(1).get(dial) else {
                break;
            };
            bench.pass(given);
            bench.end(1, dial as u32, verdict, false);
            bench.pass(Duration::ZERO);
            while bench.answers(1).is_empty() && bench.dials(1).len() == dial + 1 {
                bench.pass(ms(1));
                assert!(
                    bench.now.duration_since(start) <= ms(timeout),
                    "{timeout} {verdict:?} still open"
                );
            }
        }
        assert_eq!(bench.answers(1).len(), 1, "{timeout} {verdict:?}");
        assert!(
            bench.now.duration_since(start) <= ms(timeout),
            "{timeout} {verdict:?} late"
        );
    }
}

#[test]
fn stale_and_unknown_events_are_passed_over() {
    let mut bench = Bench::new(deployment(REPEATABLE), &rows(3));
    bench.arrive(1, arrival(1, 0, ms(1_200)));
    bench.end(77, 0, AttemptOutcome::Ok, true);
    bench.stand(77, 0);
    bench.stand(1, 4);
    bench.relay.session_left(SessionId(77), &mut bench.book);
    bench.relay.load_observed(SessionId(77), 3.0);
    bench
        .relay
        .latency_observed(bench.now, SessionId(77), ms(9), &mut bench.book);
    bench.relay.health_checked(
        bench.now,
        BackendId(55),
        AttemptOutcome::TimedOut,
        Default::default(),
    );
    assert!(bench.answers(1).is_empty());
    // The client leaves while its dial is out: the dial is withdrawn and its verdict ends the
    // matter silently.
    bench.relay.session_left(SessionId(1), &mut bench.book);
    bench.relay.session_left(SessionId(1), &mut bench.book);
    bench.end(1, 0, AttemptOutcome::Cancelled, true);
    bench.end(1, 0, AttemptOutcome::Cancelled, true);
    assert!(bench.answers(1).is_empty());
    assert_eq!(
        bench
            .book
            .asked
            .iter()
            .filter(|asked| **asked == Asked::Withdraw(1, 0))
            .count(),
        1
    );
    assert_eq!(
        bench
            .book
            .asked
            .iter()
            .filter(|asked| **asked == Asked::Release(1))
            .count(),
        1
    );
}

#[test]
fn only_backends_that_the_list_holds_ready_are_dialled() {
    use EndpointState::{Draining, Ready, Removed};
    let line = |backend, standing| row(backend, standing, None);
    let cases: [(&str, UpdateKind, Vec<_>, &[u32]); 5] = [
        (
            "drains",
            UpdateKind::Delta,
            vec![line(0, Draining)],
            &[1, 2],
        ),
        (
            "gone",
            UpdateKind::Delta,
            vec![line(1, Removed), line(2, Removed)],
            &[0],
        ),
        (
            "missing from a complete list",
            UpdateKind::Snapshot,
            vec![line(2, Ready)],
            &[2],
        ),
        (
            "back after draining",
            UpdateKind::Delta,
            vec![line(0, Draining), line(0, Ready)],
            &[0, 1, 2],
        ),
        ("nothing left", UpdateKind::Snapshot, vec![], &[]),
    ];
    for (name, scope, list, expected) in cases {
        let mut bench = Bench::new(deployment(REPEATABLE), &rows(3));
        bench.relay.update_endpoints(scope, &list);
        let dialled: BTreeSet<u32> = (1..60)
            .filter_map(|id| Some(bench.arrive(id, arrival(0, 0, ms(4_800)))?.0))
            .collect();
        assert_eq!(dialled, expected.iter().copied().collect(), "{name}");
        let answered = (1..60).filter(|&id| !bench.answers(id).is_empty()).count();
        assert_eq!(answered, if expected.is_empty() { 59 } else { 0 }, "{name}");
    }
}

#[test]
fn discovery_that_failed_is_asked_again_in_time() {
    for failures in 1..8 {
        let within = ms(8_000);
        let asked = Deployment {
            poll_within: Some(within),
            ..deployment(REPEATABLE)
        };
        let mut bench = Bench::new(asked, &rows(3));
        let count = |bench: &Bench| {
            bench
                .book
                .asked
                .iter()
                .filter(|a| **a == Asked::Subscribe)
                .count()
        };
        for failure in 1..=failures {
            assert_eq!(count(&bench), failure);
            bench.relay.discovery_failed(bench.now, &mut bench.book);
            bench.pass(ms(4_000));
        }
        assert_eq!(count(&bench), failures + 1);
    }
}

#[test]
fn the_delay_grows_with_the_count_and_clears_after_a_cool_down() {
    // How long a connection stands, whether its end is a reset, and the most that the next refusal
    // may ask for.
    let cases = [
        (4_000, true, 16_000),
        (4_000, false, 8_000),
        (6_000, true, 1_000),
        (6_000, false, 1_000),
    ];
    for (stands, reset, most) in cases {
        let mut longest = Duration::ZERO;
        for key in 1..200 {
            let mut bench = Bench::new(
                with_row(|row| row.max_attempts = 1, deployment(REPEATABLE)),
                &rows(1),
            );
            for id in 1..=3 {
                bench.arrive(id, arrival(key, 0, ms(4_800)));
                bench.end(id, 0, AttemptOutcome::Saturated, false);
            }
            bench.arrive(4, arrival(key, 0, ms(4_800)));
            bench.stand(4, 0);
            bench.pass(ms(stands));
            bench.end(
                4,
                0,
                if reset {
                    AttemptOutcome::Reset
                } else {
                    AttemptOutcome::Ok
                },
                true,
            );
            bench.arrive(5, arrival(key, 0, ms(4_800)));
            bench.end(5, 0, AttemptOutcome::Saturated, false);
            let [Asked::Refuse(_, Some(wait))] = bench.answers(5)[..] else {
                panic!("not refused")
            };
            longest = longest.max(wait);
        }
        assert!(longest <= ms(most), "{stands} {reset}: {longest:?}");
        assert!(longest > ms(most) * 0.01, "{stands} {reset}: {longest:?}");
    }
}

#[test]
fn what_finds_no_room_is_refused_only_where_loads_are_shares() {
    // Every backend's report, and whether a session is still placed.
    let cases = [
        (None, Some(0.4), true),
        (None, Some(0.95), false),
        (Some(500.0), Some(0.95), false),
        // Connections alone don't say how much is too much: guards against refusing a whole
        // deployment.
        (Some(500.0), None, true),
        (None, None, true),
    ];
    for (connections, load, placed) in cases {
        let mut bench = Bench::new(deployment(REPEATABLE), &rows(4));
        (0..4).for_each(|backend| bench.report(backend, connections, load));
        bench.arrive(1, arrival(1, 3, ms(4_800)));
        assert_eq!(
            bench.answers(1).is_empty(),
            placed,
            "{connections:?} {load:?}"
        );
    }
}

#[test]
fn the_less_loaded_of_two_takes_the_session() {
    // Where a session without a group goes, and one of a group whose order begins with backend 1:
    // opening a group elsewhere must pay.
    for (loads, alone, grouped) in [([0.5, 0.1], 1, 1), ([0.1, 0.5], 0, 1), ([0.1, 0.95], 0, 0)] {
        for (group, expected) in [(0, alone), (4, grouped)] {
            let mut bench = Bench::new(deployment(REPEATABLE), &rows(2));
            (0..2).for_each(|backend| {
                bench.report(backend, Some(99.0), Some(loads[backend as usize]))
            });
            let (backend, _) = bench.arrive(1, arrival(1, group, ms(4_800))).unwrap();
            assert_eq!(backend, expected, "{loads:?} group {group}");
        }
    }
}

#[test]
fn relays_that_share_nothing_keep_a_group_together() {
    for group in 1..30 {
        let mut homes = BTreeSet::new();
        for me in 0..3 {
            let mut list = rows(12);
            list.rotate_left(me as usize * 5);
            let mut bench = Bench::new(
                Deployment {
                    relay_index: me,
                    relay_count: 3,
                    ..deployment(REPEATABLE)
                },
                &list,
            );
            (0..12).for_each(|backend| bench.report(backend, None, Some(0.2)));
            for id in 1..4 {
                homes.insert(
                    bench
                        .arrive(id, arrival(u64::from(id), group, ms(4_800)))
                        .unwrap()
                        .0,
                );
            }
        }
        assert!(homes.len() <= 2, "group {group}: {homes:?}");
    }
}

#[test]
fn the_own_zone_comes_first_where_crossing_costs() {
    // Zone 0 holds the even backends. The price, the load there, and whether a session may cross.
    for (price, load, crosses) in [(0.1, 0.2, false), (0.1, 0.7, true), (0.0, 0.2, true)] {
        let mut bench = Bench::new(
            Deployment {
                cross_zone_cost: price,
                ..deployment(REPEATABLE)
            },
            &rows(6),
        );
        (0..6).for_each(|backend| {
            bench.report(
                backend,
                None,
                Some(if backend % 2 == 0 { load } else { 0.2 }),
            )
        });
        let crossed =
            (1..12).any(|id| bench.arrive(id, arrival(0, 0, ms(4_800))).unwrap().0 % 2 == 1);
        assert_eq!(crossed, crosses, "{price} {load}");
    }
}

#[test]
fn a_failing_backend_is_ejected_unless_half_the_fleet_fails() {
    // How many of six fail every dial, and whether they are still dialled afterwards.
    for (failing, still_dialled) in [(1, false), (2, false), (6, true)] {
        let mut bench = Bench::new(
            with_row(|row| row.max_attempts = 1, deployment(REPEATABLE)),
            &rows(6),
        );
        for id in 1..80 {
            let (backend, _) = bench.arrive(id, arrival(0, 0, ms(4_800))).unwrap();
            if backend < failing {
                bench.end(id, 0, AttemptOutcome::Error, false);
            } else {
                bench.stand(id, 0);
            }
        }
        let dialled =
            (80..140).any(|id| bench.arrive(id, arrival(0, 0, ms(4_800))).unwrap().0 < failing);
        assert_eq!(dialled, still_dialled, "{failing} failing");
        // No time brings it back, a probe that it answers does, here the fourth at the latest.
        bench.pass(ms(40_000));
        let still = (80..140)
            .any(|id| bench.arrive(200 + id, arrival(0, 0, ms(4_800))).unwrap().0 < failing);
        assert_eq!(still, still_dialled, "{failing} failing: 40 s of silence");
        for _ in 0..4 {
            (0..failing).for_each(|at| bench.report(at, Some(1.0), Some(0.1)));
            bench.pass(ms(100));
        }
        let again =
            (140..220).any(|id| bench.arrive(id, arrival(0, 0, ms(4_800))).unwrap().0 < failing);
        assert!(again, "{failing} failing: tried again once it answers");
    }
}

#[test]
fn dials_wait_longer_where_set_ups_are_slow_everywhere() {
    for (took, verdict, longer) in [
        (20, None, false),
        (250, None, true),
        (300, Some(AttemptOutcome::TimedOut), true),
    ] {
        let mut bench = Bench::new(deployment(REPEATABLE), &rows(6));
        for id in 1..40 {
            bench.arrive(id, arrival(0, 0, ms(60_000)));
            bench.pass(ms(took));
            match verdict {
                Some(verdict) => bench.end(id, 0, verdict, true),
                None => bench.stand(id, 0),
            }
        }
        let (_, given) = bench.arrive(99, arrival(0, 0, ms(60_000))).unwrap();
        assert_eq!(given > ms(300), longer, "{took} {verdict:?}: {given:?}");
    }
}

#[test]
fn overdriven_backends_are_relieved_of_their_excess() {
    // Load, delay of a message, how long the connections have stood (None: handed over at start),
    // how many go of ten.
    let cases = [
        (0.75, 10, Some(9_000), 0..=0),
        (0.85, 10, Some(9_000), 2..=4),
        (1.2, 10, Some(9_000), 4..=6),
        (1.2, 10, Some(1_000), 0..=0),
        // Guards against a rush that overdrives a backend and may not be undone for a whole
        // cool-down.
        (1.2, 10, Some(2_200), 4..=6),
        // Guards against an overload at start that nobody may be moved from.
        (1.2, 10, None, 4..=6),
        // Guards against work that stays piled up behind a load just under one.
        (0.85, 400, Some(9_000), 3..=5),
        // Late at a load told as half: the messages are believed before the report.
        (0.5, 400, Some(9_000), 2..=5),
        (0.5, 40, Some(9_000), 0..=0),
    ];
    for (load, delay, stood, expected) in cases {
        let mut bench = Bench::new(deployment(REPEATABLE), &rows(1));
        for id in 0..10 {
            if stood.is_some() {
                bench.arrive(id, arrival(u64::from(id) + 1, 0, ms(4_800)));
                bench.stand(id, 0);
            } else {
                bench.inherit(id, 0);
            }
        }
        bench.pass(ms(stood.unwrap_or(0)));
        bench.report(0, Some(10.0), Some(load));
        bench
            .relay
            .latency_observed(bench.now, SessionId(3), ms(delay), &mut bench.book);
        bench.pass(ms(600));
        assert!(
            expected.contains(&bench.sent_away()),
            "{load} {delay} {stood:?}: {}",
            bench.sent_away()
        );
    }
}

/// Dials of all relays at one backend that has just started, as many sessions arriving everywhere
/// as wanted. Before that each relay has held so many connections for that long, and one in ten has
/// left by itself. Backends may tell of such a load, or of none.
fn cold_dials(relays: u32, held: u32, stood: Duration, load: Option<f64>) -> Vec<(u64, u32)> {
    let mut sent = Vec::new();
    for me in 0..relays {
        let alone = Deployment {
            relay_index: me,
            relay_count: relays,
            groups_share_work: false,
            ..deployment(REPEATABLE)
        };
        let mut bench = Bench::new(alone, &rows(4));
        (0..held).for_each(|id| bench.inherit(id, id % 4));
        bench.pass(stood);
        (0..held.div_ceil(10)).for_each(|id| bench.end(id, 0, AttemptOutcome::Ok, true));
        let each = f64::from(held * relays) / 4.0;
        if load.is_some() {
            (0..4).for_each(|backend| bench.report(backend, Some(each), load));
        }
        let start = bench.now;
        bench.relay.update_endpoints(
            UpdateKind::Delta,
            &[row(9, EndpointState::Ready, Some(start))],
        );
        for id in 0..500 {
            bench.pass(ms(20));
            if stood < ms(1_000) {
                // Others go on coming and leaving as fast.
                bench.inherit(50_000 + id, id % 4);
                bench.end(50_000 + id, 0, AttemptOutcome::Ok, true);
            }
            if bench
                .arrive(10_000 + id, arrival(0, 0, ms(4_800)))
                .is_some_and(|(at, _)| at == 9)
            {
                sent.push((bench.now.duration_since(start).as_micros(), me));
            }
            if load.is_none() {
                // What is held stays as it was.
                bench.end(10_000 + id, 0, AttemptOutcome::Ok, true);
            }
        }
    }
    sent.retain(|&(at, _)| at < 10_000_000);
    sent.sort_unstable();
    sent
}

#[test]
fn a_cold_backend_gets_a_budget_from_all_relays_together() {
    // Relays, connections that each holds, and how many relays may share a turn. Where nothing is
    // known of what a backend takes, a window holds one for each turn that it overlaps. Where
    // connections leave faster than that, it takes none faster than fills it over its warm-up.
    let long = ms(10_000);
    let told = Some(0.05);
    let cases = [
        (1, 0, 1, long, told),
        (3, 0, 1, long, told),
        (2, 40, 2, long, told),
        (2, 8, 2, ms(100), told),
        (200, 0, 1, long, told),
        (200, 10, 200, long, told),
        // Where nothing tells of loads a warm one can do at least what each holds.
        (200, 0, 1, long, None),
        (200, 10, 200, long, None),
    ];
    for (relays, held, sharing, stood, load) in cases {
        let sent = cold_dials(relays, held, stood, load);
        assert!(
            !sent.is_empty(),
            "{relays} {held}: the backend is used at all"
        );
        // One departure is taken as seen by each at first, in three warm-ups.
        let left =
            f64::from(held.div_ceil(10) + 1) / (f64::from(held) * stood.as_secs_f64() + 30.0);
        let leave = if stood < ms(1_000) {
            0.1
        } else {
            left.min(0.1)
        };
        let warm_rate = f64::from(held * relays) / 4.0 / load.unwrap_or(1.0) * leave;
        for &(from, _) in &sent {
            let window = sent
                .iter()
                .filter(|(at, _)| (from..from + 2_000_000).contains(at))
                .count();
            let share = 0.25 + 0.75 * (from + 2_000_000) as f64 / 10_000_000.0;
            let most = (4.0 * share * warm_rate * 2.0).max(2.0);
            assert!(
                window as f64 <= most,
                "{relays} {held}: {window} over {most} at {from}"
            );
            let turn: BTreeSet<u32> = sent
                .iter()
                .filter(|(at, _)| at / 2_000_000 == from / 2_000_000)
                .map(|(_, me)| *me)
                .collect();
            assert!(
                turn.len() <= sharing,
                "{relays} {held}: relays {turn:?} in one turn"
            );
        }
        if relays == 200 && held > 0 {
            let used: BTreeSet<u32> = sent.iter().map(|(_, me)| *me).collect();
            assert!(used.len() > 20, "turns go round: {}", used.len());
        }
    }
}

#[test]
fn first_backends_of_groups_spread_over_the_fleet() {
    // 200 relays that have heard nothing but one report send one session each, of so many groups:
    // where nothing is busy a group is on one backend, whatever relay asks, and no backend is first
    // for many of them.
    for groups in [60, 400] {
        let mut homes = vec![BTreeSet::new(); groups as usize];
        for me in 0..200 {
            let mut list = rows(60);
            list.rotate_left(me as usize % 60);
            let mut bench = Bench::new(
                Deployment {
                    relay_index: me,
                    relay_count: 200,
                    ..deployment(REPEATABLE)
                },
                &list,
            );
            bench.report(me % 60, Some(20.0), Some(0.3));
            for id in 0..2 {
                let group = (me * 2 + id) % groups;
                let at = bench
                    .arrive(id, arrival(0, u64::from(group) + 1, ms(4_800)))
                    .unwrap()
                    .0;
                homes[group as usize].insert(at);
            }
        }
        assert!(homes.iter().all(|homes| homes.len() == 1), "{homes:?}");
        let mut firsts = [0; 60];
        homes
            .iter()
            .flatten()
            .for_each(|&at| firsts[at as usize] += 1);
        assert!(
            firsts.iter().all(|&first| first <= groups / 60 * 3 + 4),
            "{firsts:?}"
        );
    }
}

#[test]
fn probes_are_paid_for_by_sessions() {
    // Connections that a relay holds, the price of a probe, and how many probes it may send in 20
    // seconds: never fewer than one in five seconds, nor more than each backend every two.
    for (held, price, probes) in [
        (0, 0.002, 4..=5),
        (3, 0.002, 5..=13),
        (60, 0.002, 50..=300),
        (3, 0.0, 50..=300),
    ] {
        let mut bench = Bench::new(
            Deployment {
                health_check_cost: price,
                ..deployment(REPEATABLE)
            },
            &rows(30),
        );
        (0..held).for_each(|id| bench.inherit(id, id % 30));
        bench.pass(ms(20_000));
        let sent = bench
            .book
            .asked
            .iter()
            .filter(|asked| matches!(asked, Asked::Probe(_)))
            .count();
        assert!(probes.contains(&sent), "{held} {price}: {sent}");
    }
}

#[test]
fn every_second_probe_asks_where_own_connections_stand() {
    // Where they stand, and how many of four hundred probes go there.
    // A relay with some at most of them asks all alike.
    let most: &[u32] = &[0, 1, 2, 3, 4, 5, 6, 7];
    for (held, expected) in [
        (&[][..], 0..=0),
        (&[3], 190..=260),
        (&[0, 3, 5], 220..=310),
        (most, 235..=300),
    ] {
        let mut bench = Bench::new(deployment(REPEATABLE), &rows(12));
        held.iter().for_each(|&at| bench.inherit(at, at));
        while bench
            .book
            .asked
            .iter()
            .filter(|asked| matches!(asked, Asked::Probe(_)))
            .count()
            < 400
        {
            bench.pass(ms(500));
        }
        let there = |asked: &&Asked| matches!(asked, Asked::Probe(at) if held.contains(at));
        let there = bench.book.asked.iter().filter(there).count();
        assert!(expected.contains(&there), "{held:?}: {there}");
    }
}

#[test]
fn a_rush_at_a_relay_just_started_is_not_judged_by_one_old_report() {
    // Whether the sessions find room, and how many probes the next second must bring.
    for (load, probes) in [(0.1, 2), (0.9, 3)] {
        let mut bench = Bench::new(
            Deployment {
                health_check_cost: 0.002,
                ..deployment(REPEATABLE)
            },
            &rows(4),
        );
        bench.pass(ms(300));
        for id in 0..12 {
            bench.arrive(id, arrival(u64::from(id), 0, ms(1_000)));
            bench.stand(id, 0);
        }
        (0..4).for_each(|at| bench.report(at, None, Some(load)));
        let before = bench.book.asked.len();
        for id in 20..30 {
            bench.arrive(id, arrival(u64::from(id), 0, ms(1_000)));
            bench.pass(ms(100));
        }
        let asked = &bench.book.asked[before..];
        let sent = asked
            .iter()
            .filter(|asked| matches!(asked, Asked::Probe(_)))
            .count();
        assert!((probes..=9).contains(&sent), "{load}: {sent}");
    }
}

#[test]
fn a_placement_counts_for_what_connections_weigh_here() {
    // Connections and load reported, and how many more are placed on it before the next report.
    for (connections, load, placed) in [(4.0, 0.4, 4), (8.0, 0.4, 8), (2.0, 0.75, 1)] {
        let mut bench = Bench::new(deployment(REPEATABLE), &rows(1));
        bench.report(0, Some(connections), Some(load));
        let served = |id: &u32| {
            bench
                .arrive(*id, arrival(u64::from(*id) + 1, 0, ms(1_000)))
                .is_some()
        };
        assert_eq!(
            (0..20).filter(served).count(),
            placed,
            "{connections} {load}"
        );
    }
}

#[test]
fn a_group_is_not_refused_on_a_guess_while_the_fleet_has_room() {
    // The load of the group's first backend, that of the others, and whether a group new to all
    // finds room.
    let home = |bench: &mut Bench| bench.arrive(1, arrival(1, 7, ms(1_000))).unwrap().0;
    for (first, others, served) in [
        (0.85, 0.2, true),
        (0.85, 0.4, true),
        (0.85, 0.55, false),
        (0.1, 0.7, true),
    ] {
        let mut bench = Bench::new(deployment(REPEATABLE), &rows(4));
        (0..4).for_each(|at| bench.report(at, Some(10.0), Some(0.1)));
        let home = home(&mut bench);
        bench.end(1, 0, AttemptOutcome::Cancelled, true);
        bench.pass(ms(1_100));
        (0..4).for_each(|at| {
            bench.report(
                at,
                Some(10.0),
                Some(if at == home { first } else { others }),
            )
        });
        assert_eq!(
            bench.arrive(9, arrival(9, 7, ms(1_000))).is_some(),
            served,
            "{first} {others}"
        );
    }
}

#[test]
fn an_old_report_gives_way_to_listed_weights() {
    // All weigh the same. Backend 1 was heard of 15 s ago, idle: where the list tells of loads it
    // counts as the mean by now, like backend 2, and not as idle.
    for (weight, idle_wins) in [(0.5, false), (1.0, true)] {
        let weighed = |backend| Endpoint {
            weight,
            ..row(backend, EndpointState::Ready, None)
        };
        let mut to_idle = 0;
        for id in 1..40 {
            let mut bench = Bench::seeded(
                deployment(REPEATABLE),
                id,
                &[weighed(0), weighed(1), weighed(2)],
            );
            bench.report(1, Some(30.0), Some(0.01));
            bench.pass(ms(15_000));
            bench.report(0, Some(30.0), Some(0.3));
            to_idle += u32::from(bench.arrive(1, arrival(0, 0, ms(4_800))).unwrap().0 == 1);
        }
        assert_eq!(to_idle > 20, idle_wins, "{weight}: {to_idle} of 39");
    }
}

#[test]
fn crossing_connections_come_home_where_a_relay_holds_many() {
    // Connections held (half of them cross), the price of crossing, the load of the own zone, and
    // whether any go.
    let cases = [
        (40, 0.1, 0.1, true),
        (40, 0.0, 0.1, false),
        (40, 0.1, 0.5, false),
        (6, 0.1, 0.1, false),
    ];
    for (held, price, load, some) in cases {
        let priced = Deployment {
            cross_zone_cost: price,
            migration_cost: 0.01,
            ..deployment(REPEATABLE)
        };
        let mut bench = Bench::new(priced, &rows(8));
        (0..held).for_each(|id| bench.inherit(id, id % 8));
        (0..8).for_each(|backend| bench.report(backend, Some(f64::from(held)), Some(load)));
        bench.pass(ms(3_000));
        let gone = bench.sent_away();
        assert_eq!(gone > 0, some, "{held} {price} {load}: {gone}");
        assert!(gone <= 7, "{held} {price} {load}: one at a time, {gone}");
    }
}

#[test]
fn lone_connections_of_many_relays_are_relieved_by_chance() {
    // Of 200 relays that hold one connection each at a backend with a third too much, rounding
    // would send away all or none.
    let gone: usize = (0..200)
        .map(|me| {
            let one = Deployment {
                relay_index: me,
                relay_count: 200,
                ..deployment(REPEATABLE)
            };
            let mut bench = Bench::seeded(one, u64::from(me), &rows(1));
            bench.inherit(1, 0);
            bench.report(0, Some(200.0), Some(0.91));
            bench.pass(ms(600));
            bench.sent_away()
        })
        .sum();
    assert!((40..100).contains(&gone), "{gone} of 200");
}

#[test]
fn listed_weights_tell_of_backends_unheard_from() {
    // The weight of backend 1, whose report is old news or missing, beside backend 0 at a load of
    // 0.3.
    for (heard, weight, expected) in [
        (false, 0.25, 0),
        (false, 4.0, 1),
        (true, 0.6, 0),
        (true, 2.0, 1),
    ] {
        let mut bench = Bench::new(deployment(REPEATABLE), &rows(2));
        (0..=u32::from(heard)).for_each(|backend| bench.report(backend, Some(30.0), Some(0.3)));
        bench.relay.update_endpoints(
            UpdateKind::Delta,
            &[Endpoint {
                weight,
                ..row(1, EndpointState::Ready, None)
            }],
        );
        let (backend, _) = bench.arrive(1, arrival(1, 0, ms(4_800))).unwrap();
        assert_eq!(backend, expected, "{heard} {weight}");
    }
}

#[test]
fn a_restart_under_the_same_id_is_cold_again() {
    let mut bench = Bench::new(deployment(REPEATABLE), &rows(1));
    let dialled = |bench: &mut Bench, from: u32| {
        (from..from + 20)
            .filter(|&id| bench.arrive(id, arrival(0, 0, ms(4_800))).is_some())
            .count()
    };
    assert_eq!(dialled(&mut bench, 0), 20);
    let restarted = row(0, EndpointState::Ready, Some(bench.now));
    bench
        .relay
        .update_endpoints(UpdateKind::Delta, &[restarted]);
    assert_eq!(dialled(&mut bench, 100), 1);
    bench.pass(ms(11_000));
    assert_eq!(dialled(&mut bench, 200), 20);
}

#[test]
fn the_same_events_make_the_same_decisions() {
    let run = || {
        let mut bench = Bench::new(deployment(REPEATABLE), &rows(7));
        for id in 0..200 {
            bench.arrive(id, arrival(u64::from(id % 9), u64::from(id % 4), ms(4_800)));
            bench.pass(ms(20));
            bench.end(
                id,
                0,
                if id % 3 == 0 {
                    AttemptOutcome::Error
                } else {
                    AttemptOutcome::Saturated
                },
                false,
            );
        }
        bench.pass(ms(5_000));
        bench.book.asked
    };
    assert_eq!(run(), run());
    assert!(Instant::from_micros(1).duration_since(Instant::from_micros(5)) == Duration::ZERO);
}

#[test]
fn silent_connections_are_sent_away_and_their_backend_is_struck() {
    // How long no line came back, and whether the client is sent away: a pause is over in less.
    for (waited, moved) in [(250, false), (750, false), (1_000, true), (5_000, true)] {
        let mut bench = Bench::new(deployment(REPEATABLE), &rows(4));
        let (backend, _) = bench.arrive(1, arrival(1, 0, ms(1_000))).unwrap();
        bench.stand(1, 0);
        bench
            .relay
            .response_overdue(bench.now, SessionId(1), ms(waited), &mut bench.book);
        assert_eq!(bench.sent_away(), usize::from(moved), "{waited} ms");
        // Said again, late or of a session that is gone, it moves nobody twice.
        bench
            .relay
            .response_overdue(bench.now, SessionId(1), ms(waited), &mut bench.book);
        bench
            .relay
            .response_overdue(bench.now, SessionId(9), ms(waited), &mut bench.book);
        assert_eq!(bench.sent_away(), usize::from(moved), "{waited} ms");
        // One more failure in a row ejects it.
        bench.relay.health_checked(
            bench.now,
            BackendId(backend),
            AttemptOutcome::TimedOut,
            Default::default(),
        );
        let again = (10..30).any(|id| {
            bench
                .arrive(id, arrival(u64::from(id), 0, ms(1_000)))
                .unwrap()
                .0
                == backend
        });
        assert_eq!(again, !moved, "{waited} ms");
    }
}

#[test]
fn a_backend_that_is_out_and_silent_is_left_by_all_at_once() {
    // Probes of it that failed, how long one line had none back, and how many of its three are sent
    // away.
    for (failed, waited, moved) in [
        (0, 250, 0),
        (1, 250, 0),
        (2, 250, 3),
        (0, 1_000, 1),
        (1, 1_000, 1),
    ] {
        let mut bench = Bench::new(deployment(REPEATABLE), &rows(4));
        for id in 0..12 {
            bench.inherit(id, id % 4);
        }
        for _ in 0..failed {
            bench.relay.health_checked(
                bench.now,
                BackendId(1),
                AttemptOutcome::TimedOut,
                Default::default(),
            );
        }
        bench
            .relay
            .response_overdue(bench.now, SessionId(5), ms(waited), &mut bench.book);
        assert_eq!(bench.sent_away(), moved, "{failed} {waited}");
        let elsewhere = |asked: &Asked| matches!(asked, Asked::SendAway(id) if id % 4 != 1);
        assert!(!bench.book.asked.iter().any(elsewhere), "{failed} {waited}");
    }
}

#[test]
fn told_to_stop_all_is_over_in_time_and_step_by_step() {
    for (standing, within) in [(0, 3_700), (1, 3_700), (30, 3_700), (30, 1_900)] {
        let deployment = Deployment {
            shutdown_timeout: ms(within),
            ..deployment(REPEATABLE)
        };
        let mut bench = Bench::new(deployment, &rows(6));
        for id in 0..standing {
            bench.arrive(id, arrival(u64::from(id), 0, ms(1_000)));
            bench.stand(id, 0);
        }
        // One waits on its dial for longer than there is, one is held for a further dial if it may
        // be.
        bench.arrive(100, arrival(100, 0, ms(60_000)));
        bench.arrive(101, arrival(101, 0, ms(60_000)));
        bench.end(101, 0, AttemptOutcome::Saturated, false);
        bench.relay.shut_down(bench.now, &mut bench.book);
        // Another relay may have just been stopped too: for the first part there may be nowhere to
        // come again.
        bench.pass(ms(within * 2 / 5));
        assert_eq!(bench.sent_away(), 0);
        let (_, wait) = bench.arrive(200, arrival(200, 0, ms(60_000))).unwrap();
        assert!(wait < ms(within), "{wait:?}");
        bench.stand(200, 0);
        bench.pass(ms(within / 4));
        assert!(
            bench.sent_away() <= standing as usize / 2 + 3,
            "not all at once"
        );
        bench.pass(ms(within * 3 / 10));
        assert_eq!(bench.sent_away(), standing as usize + 1);
        assert!(bench.book.asked.contains(&Asked::Withdraw(100, 0)));
        for asked in bench.book.asked.clone() {
            if let Asked::Withdraw(id, dial) = asked {
                bench.end(id, dial, AttemptOutcome::Cancelled, false);
            }
        }
        bench.pass(ms(within / 20));
        assert_eq!((bench.answers(100).len(), bench.answers(101).len()), (1, 1));
    }
}
