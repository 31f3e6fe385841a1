//! Backends taken out by hand and put back, as tables of cases.
mod support;

use support::{Asked, Bench, arrival, deployment, ms, row, rows};
use thistlecroft::attempt::AttemptOutcome;
use thistlecroft::deployment::Idempotency;
use thistlecroft::endpoint::{EndpointState, UpdateKind};
use thistlecroft::ids::BackendId;
use thistlecroft::time::Instant;

const OUT: u32 = 1;

fn ban(bench: &mut Bench, out: bool) {
    bench.relay.set_banned(bench.now, BackendId(OUT), out);
}

/// Where so many sessions go that come one after another.
fn places(bench: &mut Bench, from: u32, count: u32) -> Vec<u32> {
    let ids = from..from + count;
    ids.filter_map(|id| {
        let at = bench
            .arrive(id, arrival(u64::from(id), 0, ms(1_000)))
            .map(|(at, _)| at);
        bench.end(id, 0, AttemptOutcome::Cancelled, true);
        bench.pass(ms(200));
        at
    })
    .collect()
}

#[test]
fn no_list_puts_a_banned_backend_back() {
    let bench = || Bench::new(deployment(Idempotency::Idempotent), &rows(3));
    let later = Some(Instant::from_micros(99_000_000));
    type Meanwhile = fn(&mut Bench);
    let cases: [(&str, Meanwhile); 7] = [
        ("nothing", |_| {}),
        ("named ready", |bench| {
            bench
                .relay
                .update_endpoints(UpdateKind::Delta, &[row(OUT, EndpointState::Ready, None)])
        }),
        ("a whole list", |bench| {
            bench.relay.update_endpoints(UpdateKind::Snapshot, &rows(3))
        }),
        ("a cached list", |bench| {
            bench
                .relay
                .update_endpoints(UpdateKind::CachedSnapshot, &rows(3))
        }),
        ("gone and back", |bench| {
            bench
                .relay
                .update_endpoints(UpdateKind::Delta, &[row(OUT, EndpointState::Removed, None)]);
            bench
                .relay
                .update_endpoints(UpdateKind::Delta, &[row(OUT, EndpointState::Ready, None)]);
        }),
        ("another start", |bench| {
            bench.relay.update_endpoints(
                UpdateKind::Delta,
                &[row(OUT, EndpointState::Ready, Some(bench.now))],
            );
        }),
        ("out a second time", |bench| ban(bench, true)),
    ];
    for (name, meanwhile) in cases {
        let mut bench = bench();
        ban(&mut bench, true);
        meanwhile(&mut bench);
        assert!(!places(&mut bench, 1, 60).contains(&OUT), "{name}");
        assert!(
            !bench.book.asked.contains(&Asked::Probe(OUT)),
            "{name}: it is not probed either"
        );
        // One call back undoes whatever number of calls out.
        ban(&mut bench, false);
        bench
            .relay
            .update_endpoints(UpdateKind::Delta, &[row(OUT, EndpointState::Ready, later)]);
        assert!(places(&mut bench, 100, 60).contains(&OUT), "{name}");
    }
    // Both have to be lifted, a ban and a drain, in whatever order.
    for ban_first in [true, false] {
        let mut bench = bench();
        ban(&mut bench, true);
        bench.relay.update_endpoints(
            UpdateKind::Delta,
            &[row(OUT, EndpointState::Draining, None)],
        );
        if ban_first {
            ban(&mut bench, false);
        } else {
            bench
                .relay
                .update_endpoints(UpdateKind::Delta, &[row(OUT, EndpointState::Ready, None)]);
        }
        assert!(!places(&mut bench, 1, 60).contains(&OUT));
        ban(&mut bench, false);
        bench
            .relay
            .update_endpoints(UpdateKind::Delta, &[row(OUT, EndpointState::Ready, None)]);
        assert!(places(&mut bench, 100, 60).contains(&OUT));
    }
}

#[test]
fn a_dial_that_is_out_ends_and_its_retry_goes_elsewhere() {
    for id in 1..30 {
        let mut bench = Bench::new(deployment(Idempotency::Idempotent), &rows(3));
        let (at, _) = bench
            .arrive(id, arrival(u64::from(id), 0, ms(20_000)))
            .unwrap();
        bench.relay.set_banned(bench.now, BackendId(at), true);
        bench.end(id, 0, AttemptOutcome::Saturated, false);
        // The wait before the retry is drawn from a second.
        bench.pass(ms(1_000));
        let dials = bench.dials(id);
        assert!(dials.len() == 2 && dials[1].0 != at, "{dials:?}");
    }
    // Where it was the only one the session is answered, and once.
    let mut bench = Bench::new(deployment(Idempotency::Idempotent), &rows(1));
    bench.arrive(1, arrival(1, 0, ms(20_000)));
    bench.relay.set_banned(bench.now, BackendId(0), true);
    bench.end(1, 0, AttemptOutcome::Saturated, false);
    bench.pass(ms(30_000));
    assert_eq!((bench.dials(1).len(), bench.answers(1).len()), (1, 1));
}

#[test]
fn put_back_it_is_cold_and_its_failures_are_forgotten() {
    // How it was listed before the ban, what the list says after it, and for how long it is cold
    // from the call back.
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
    for (listed, told, cold_for) in cases {
        let of = deployment(Idempotency::Idempotent);
        let mut bench = Bench::new(of, &[row(OUT, EndpointState::Ready, listed)]);
        bench.report(OUT, Some(10.0), Some(0.1));
        for id in 1..4 {
            bench.arrive(id, arrival(u64::from(id), 0, ms(50)));
            bench.end(id, 0, AttemptOutcome::TimedOut, true);
        }
        ban(&mut bench, true);
        bench.pass(ms(10_000));
        ban(&mut bench, false);
        if told.is_some() {
            bench
                .relay
                .update_endpoints(UpdateKind::Delta, &[row(OUT, EndpointState::Ready, told)]);
        }
        // Cold: one session a turn of two seconds, whatever stood there before. Not ejected: the
        // first goes there.
        let count = |bench: &mut Bench, from: u32| {
            (from..from + 8)
                .filter(|&id| {
                    bench
                        .arrive(id, arrival(u64::from(id), 0, ms(50)))
                        .is_some()
                })
                .count()
        };
        assert_eq!(count(&mut bench, 100), 1, "{listed:?} {told:?}");
        bench.pass(ms(cold_for - 100));
        assert_eq!(count(&mut bench, 200), 1, "{listed:?} {told:?}: still cold");
        bench.pass(ms(200));
        assert_eq!(count(&mut bench, 300), 8, "{listed:?} {told:?}: warm");
    }
}
