//! What a relay makes of its own evidence where reports, lists and paths tell otherwise; tables of
//! cases, no simulator.
mod support;

use support::{Asked, Bench, arrival, deployment, ms, row, rows};
use thistlecroft::attempt::{Arrival, AttemptOutcome, LoadReport};
use thistlecroft::deployment::{Deployment, Idempotency, Route};
use thistlecroft::endpoint::{EndpointState, UpdateKind};
use thistlecroft::ids::{BackendId, RouteId, SessionId};

/// Four backends, ten connections at each, all heard of; nothing is shared between connections.
fn settled() -> Bench {
    let mut bench = Bench::new(
        Deployment {
            groups_share_work: false,
            ..deployment(Idempotency::Idempotent)
        },
        &rows(4),
    );
    (0..40).for_each(|id| bench.inherit(id, id % 4));
    bench.pass(ms(20_000));
    (0..4).for_each(|at| bench.report(at, Some(10.0), Some(0.4)));
    bench
}

fn note(bench: &mut Bench, backend: u32, delay: u64) {
    // Whichever still stands there says so.
    for id in (backend..40).step_by(4) {
        bench
            .relay
            .latency_observed(bench.now, SessionId(id), ms(delay), &mut bench.book);
    }
}

/// Messages at backend 0 take so long, and it reports this load meanwhile.
fn late_for_four_seconds(bench: &mut Bench, delay: u64, told: f64) {
    for _ in 0..4 {
        note(bench, 0, delay);
        bench.report(0, Some(1.0), Some(told));
        bench.pass(ms(1_000));
    }
    note(bench, 0, delay);
}

/// How many of these sessions go to that backend.
fn placed_at(bench: &mut Bench, backend: u32, ids: std::ops::Range<u32>) -> usize {
    let placed = ids.filter(|&id| {
        bench
            .arrive(id, arrival(0, 0, ms(4_800)))
            .is_some_and(|(at, _)| at == backend)
    });
    placed.count()
}

/// The backend with number 0 tells of hardly any load.
#[test]
fn a_backend_whose_messages_are_late_is_not_the_lightest_whatever_it_reports() {
    // Delay of its messages (the shortest target is 50 ms), and if it is drawn.
    for (delay, drawn) in [(5, true), (8, true), (30, false), (2_000, false)] {
        let mut bench = settled();
        late_for_four_seconds(&mut bench, delay, 0.02);
        assert_eq!(placed_at(&mut bench, 0, 100..112) > 0, drawn, "{delay} ms");
    }
}

/// Connections have come and gone for long: half of what stands leaves within fourteen seconds.
#[test]
fn a_report_that_was_not_true_is_believed_again_once_messages_are_in_time() {
    // What the report told while messages were late, if one in time is noted, the seconds after,
    // and if it is drawn.
    let cases = [
        (0.02, false, 3, false),
        // It told of its load: what it tells now, it is believed.
        (1.50, false, 3, true),
        (0.02, true, 0, true),
        // Nobody stands there to tell; what overdrove it has left with time.
        (0.02, false, 60, true),
    ];
    for (told, in_time, after, drawn) in cases {
        let mut bench = settled();
        late_for_four_seconds(&mut bench, 500, told);
        if in_time {
            note(&mut bench, 0, 5);
        }
        // Others come and go by themselves meanwhile, three a second.
        for id in 1_000..1_000 + after * 3 {
            bench.pass(ms(if id % 3 == 0 { 400 } else { 300 }));
            if let Some((at, _)) = bench.arrive(id, arrival(0, 0, ms(4_800))) {
                assert!(drawn || at != 0, "session {id}");
                bench.stand(id, 0);
                bench.end(id, 0, AttemptOutcome::Ok, true);
            }
        }
        (1..4).for_each(|at| bench.report(at, Some(10.0), Some(0.4)));
        bench.report(0, Some(1.0), Some(0.02));
        let what = format!("told {told}, in time {in_time}, {after} s after");
        assert_eq!(placed_at(&mut bench, 0, 900..912) > 0, drawn, "{what}");
    }
}

#[test]
fn what_is_late_and_cannot_be_heard_is_left_at_once_and_one_sign_alone_is_not_enough() {
    // Delay noted, probes that fail, and how many of ten are sent away within the next second.
    let cases = [
        (800, 1, 10..=10),
        (800, 2, 10..=10),
        (10, 1, 0..=0),
        (10, 2, 0..=0),
        (800, 0, 2..=6),
    ];
    for (delay, failed, expected) in cases {
        let mut bench = settled();
        for _ in 0..failed {
            bench.relay.health_checked(
                bench.now,
                BackendId(0),
                AttemptOutcome::TimedOut,
                LoadReport::default(),
            );
        }
        note(&mut bench, 0, delay);
        bench.pass(ms(600));
        let left = bench.sent_away();
        assert!(
            expected.contains(&left),
            "{delay} ms, {failed} failed: {left}"
        );
        let others = |asked: &&Asked| matches!(asked, Asked::SendAway(id) if id % 4 != 0);
        assert_eq!(
            bench.book.asked.iter().filter(others).count(),
            0,
            "others stay"
        );
    }
}

/// Two listeners: one is worth three a second and asks for a quarter of the load of the other,
/// which is worth one.
#[test]
fn what_room_is_left_goes_to_whoever_makes_most_of_it() {
    // The load of all backends, and if either is placed.
    for (load, rich, poor) in [
        (0.40, true, true),
        (0.62, true, true),
        (0.72, true, false),
        (0.85, false, false),
    ] {
        let plain = Deployment {
            groups_share_work: false,
            ..deployment(Idempotency::Idempotent)
        };
        let row = plain.routes[0];
        let routes = vec![
            Route {
                priority_weight: 3.0,
                ..row
            },
            Route {
                priority_weight: 1.0,
                ..row
            },
        ];
        let mut bench = Bench::new(Deployment { routes, ..plain }, &rows(6));
        let of = |id: u32| Arrival {
            route: RouteId((id % 2) as u16),
            ..arrival(u64::from(id) + 1, 0, ms(4_800))
        };
        for id in 0..40 {
            bench.arrive(id, of(id));
            bench.stand(id, 0);
            bench
                .relay
                .load_observed(SessionId(id), if id % 2 == 0 { 1.0 } else { 4.0 });
        }
        bench.pass(ms(20_000));
        (0..6).for_each(|at| bench.report(at, Some(1_000.0), Some(load)));
        for (id, placed) in [(100, rich), (101, poor)] {
            let dialled = bench.arrive(id, of(id)).is_some();
            assert_eq!(dialled, placed, "load {load}, listener {}", id % 2);
            assert_eq!(
                bench.answers(id).is_empty(),
                placed,
                "who finds no room is answered at once"
            );
        }
    }
}

/// Four relays, of which this is one; backend 0 takes many where it is warm and few where it may be
/// cold.
#[test]
fn a_backend_that_broke_all_that_stood_there_is_cold_whether_or_not_a_list_tells() {
    let all = || (0..40).step_by(4);
    // What ended and how, what a list tells afterwards, and if the backend counts as cold.
    type Told = Option<Option<u64>>;
    let cases: [(&str, Vec<u32>, AttemptOutcome, Told, bool); 7] = [
        (
            "all broke",
            all().collect(),
            AttemptOutcome::Reset,
            None,
            true,
        ),
        (
            "all broke, an older start is told",
            all().collect(),
            AttemptOutcome::Reset,
            Some(Some(60_000)),
            true,
        ),
        (
            "all broke, the list says it never started",
            all().collect(),
            AttemptOutcome::Reset,
            Some(None),
            true,
        ),
        (
            "one lived through",
            all().skip(1).collect(),
            AttemptOutcome::Reset,
            None,
            false,
        ),
        (
            "one broke, nine left before",
            vec![36],
            AttemptOutcome::Reset,
            None,
            false,
        ),
        (
            "all left by themselves",
            all().collect(),
            AttemptOutcome::Ok,
            None,
            false,
        ),
        (
            "a newer start is told and long over",
            all().collect(),
            AttemptOutcome::Reset,
            Some(Some(1)),
            true,
        ),
    ];
    for (what, ended, verdict, told, cold) in cases {
        let plain = Deployment {
            groups_share_work: false,
            relay_count: 4,
            ..deployment(Idempotency::Idempotent)
        };
        let mut bench = Bench::new(plain, &rows(4));
        (0..40).for_each(|id| bench.inherit(id, id % 4));
        bench.pass(ms(20_000));
        if ended.len() == 1 {
            (0..36)
                .step_by(4)
                .for_each(|id| bench.end(id, 0, AttemptOutcome::Ok, true));
        }
        ended
            .into_iter()
            .for_each(|id| bench.end(id, 0, verdict, true));
        if let Some(ago) = told {
            let start = ago.map(|ms_ago| bench.now - ms(ms_ago));
            bench
                .relay
                .update_endpoints(UpdateKind::Delta, &[row(0, EndpointState::Ready, start)]);
        }
        bench.pass(ms(100));
        (1..4).for_each(|at| bench.report(at, Some(40.0), Some(0.55)));
        bench.report(0, Some(0.0), Some(0.0));
        let placed = placed_at(&mut bench, 0, 100..108);
        assert_eq!(placed < 3, cold, "{what}: {placed} of 8 placed there");
    }
}

#[test]
fn a_report_of_more_than_a_backend_can_do_is_not_believed_while_messages_are_in_time() {
    // If notes are sent, the load that it reports, the delay noted, own connections there, and if
    // it is drawn while the others are nearly full.
    let cases = [
        (true, 3.0, 5, true, true),
        (true, 0.9, 5, true, false),
        (true, 3.0, 400, true, false),
        (true, 3.0, 5, false, false),
        (false, 3.0, 5, true, false),
    ];
    for (notes, load, delay, own, drawn) in cases {
        let plain = Deployment {
            groups_share_work: false,
            observes_latency: notes,
            ..deployment(Idempotency::Idempotent)
        };
        let mut bench = Bench::new(plain, &rows(4));
        (0..40)
            .filter(|id| own || id % 4 != 0)
            .for_each(|id| bench.inherit(id, id % 4));
        bench.pass(ms(20_000));
        for _ in 0..3 {
            note(&mut bench, 0, delay);
            (1..4).for_each(|at| bench.report(at, Some(100.0), Some(0.75)));
            bench.report(0, Some(100.0), Some(load));
            bench.pass(ms(100));
        }
        let what = format!("notes {notes}, load {load}, delay {delay}, own connections {own}");
        assert_eq!(placed_at(&mut bench, 0, 100..106) > 0, drawn, "{what}");
    }
}

/// Where reports come with the ends of dials alone, those that told were the ones that failed
/// somebody.
#[test]
fn what_a_few_tell_is_no_word_of_the_others_where_none_may_be_asked() {
    // If backends may be asked, how many of ten have told of a high load, and if a session is
    // placed, at one of the others.
    for (may_probe, told, placed) in [
        (true, 1, false),
        (true, 10, false),
        (false, 1, true),
        (false, 9, true),
        (false, 10, false),
    ] {
        let mut bench = Bench::new(
            Deployment {
                groups_share_work: false,
                may_check_health: may_probe,
                ..deployment(Idempotency::Idempotent)
            },
            &rows(10),
        );
        (0..told).for_each(|at| bench.report(at, None, Some(0.95)));
        for id in 0..20 {
            let at = bench.arrive(id, arrival(0, 0, ms(4_800))).map(|(at, _)| at);
            assert_eq!(at.is_some(), placed, "{may_probe} {told}");
            assert!(at.is_none_or(|at| at >= told), "{may_probe} {told}: {at:?}");
        }
    }
}

#[test]
fn the_next_process_knows_who_failed_how_often() {
    let mut before = settled();
    (0..6).for_each(|_| {
        before.relay.health_checked(
            before.now,
            BackendId(0),
            AttemptOutcome::TimedOut,
            LoadReport::default(),
        )
    });
    let mut next = Bench::new(
        Deployment {
            groups_share_work: false,
            ..deployment(Idempotency::Idempotent)
        },
        &rows(4),
    );
    next.relay.restore(&before.relay.snapshot(), true);
    // It has heard of nothing itself, or of all more recently; either way the greater count holds.
    for heard in [false, true] {
        if heard {
            next.pass(ms(30_000));
            (1..4).for_each(|at| next.report(at, Some(10.0), Some(0.4)));
            next.relay.restore(&before.relay.snapshot(), true);
        }
        let of = |bench: &Bench| bench.relay.snapshot().endpoints[0].1;
        assert_eq!(
            (of(&next).ejections, of(&next).pending_health_checks),
            (of(&before).ejections, of(&before).pending_health_checks),
            "{heard}"
        );
        assert!(of(&next).pending_health_checks > 0);
    }
}

/// Where none tells of loads, a backend that drops what stands there or turns a dial away is left
/// alone, the longer the more relays there are and the oftener it does so, and its group is refused
/// meanwhile; where they do it goes by the reports.
#[test]
fn a_backend_that_drops_what_it_cannot_hold_is_left_alone_where_none_tells_loads() {
    // Whether backends tell of loads, relays, what the backend does, how often; the most and the
    // least of the longest wait.
    let cases = [
        (false, 1, AttemptOutcome::Reset, 1, 1_000, 500),
        (false, 1, AttemptOutcome::Saturated, 1, 1_000, 500),
        (false, 4, AttemptOutcome::Reset, 1, 4_000, 2_000),
        (false, 4, AttemptOutcome::Reset, 3, 16_000, 8_000),
        (false, 300, AttemptOutcome::Reset, 1, 30_000, 15_000),
        (false, 300, AttemptOutcome::Ok, 1, 0, 0),
        (true, 300, AttemptOutcome::Reset, 1, 0, 0),
    ];
    for (tells_loads, relays, verdict, times, most, least) in cases {
        let mut longest = 0;
        for seed in 0..40 {
            let of = Deployment {
                may_check_health: false,
                reports_load: tells_loads,
                relay_count: relays,
                ..deployment(Idempotency::Idempotent)
            };
            let mut bench = Bench::seeded(of, seed, &rows(6));
            let of = |id: u32| arrival(u64::from(id), 5, ms(1_200));
            let report_room = |bench: &mut Bench| {
                // What was placed since the last report counts for all relays.
                bench.pass(ms(1_100));
                (0..6).for_each(|at| bench.report(at, Some(1.0), Some(0.1)));
            };
            if tells_loads {
                report_room(&mut bench);
            }
            let (home, _) = bench.arrive(1, of(1)).unwrap();
            // Others stand there, so that it did not go down.
            (100..104).for_each(|id| bench.inherit(id, home));
            for id in 0..times {
                bench.inherit(200 + id, home);
                match verdict {
                    AttemptOutcome::Saturated => bench.end(1, 0, verdict, false),
                    _ => bench.end(200 + id, 0, verdict, true),
                }
            }
            if tells_loads {
                report_room(&mut bench);
            }
            let mut waited = 0;
            while bench
                .arrive(300 + waited, of(300 + waited))
                .is_none_or(|(at, _)| at != home)
            {
                assert!(
                    bench.dials(300 + waited).is_empty(),
                    "its group goes nowhere else"
                );
                waited += 1;
                bench.pass(ms(100));
                assert!(waited <= 400, "{relays} {verdict:?}: never tried again");
            }
            longest = longest.max(waited * 100);
        }
        let range = least..=most + 100;
        assert!(
            range.contains(&longest),
            "{tells_loads} {relays} {verdict:?} {times}: {longest} ms"
        );
    }
}

/// The backends at which 24 relays that know nothing of one another place the first session of one
/// group.
fn first_backends(site: &Deployment, heard: bool) -> Vec<u32> {
    let first = |seed: u64| {
        let mut bench = Bench::seeded(
            Deployment {
                relay_count: 24,
                ..site.clone()
            },
            seed,
            &rows(90),
        );
        if heard {
            bench.report(5, Some(10.0), Some(0.4));
        }
        bench.arrive(0, arrival(1, 77, ms(4_800))).map(|(at, _)| at)
    };
    (1..=24).filter_map(first).collect()
}

#[test]
fn a_group_takes_as_many_backends_as_its_share_of_a_full_fleet_where_nothing_can_be_heard() {
    // Probes allowed, loads told, one backend heard of, and if the group keeps to the first of its
    // order.
    let cases = [
        (true, true, false, true),
        (false, false, false, true),
        (false, true, true, true),
        (false, true, false, false),
    ];
    for (may_probe, tells_loads, heard, together) in cases {
        let site = Deployment {
            may_check_health: may_probe,
            reports_load: tells_loads,
            ..deployment(Idempotency::Idempotent)
        };
        let mut at = first_backends(&site, heard);
        assert_eq!(at.len(), 24);
        at.sort_unstable();
        let shares: Vec<usize> = at
            .chunk_by(|one, other| one == other)
            .map(<[u32]>::len)
            .collect();
        let (used, fullest) = (shares.len(), shares.iter().max().copied().unwrap_or(0));
        let what = format!("probes {may_probe}, loads {tells_loads}, heard {heard}: {at:?}");
        if together {
            assert_eq!(used, 1, "{what}");
        } else {
            // One session of 21 asks for a twenty-first of a full fleet: 7 of 90 at 0.6 each, and
            // its first.
            assert!((5..=8).contains(&used), "{what}");
            assert!(fullest <= 9, "{what}");
        }
    }
}
