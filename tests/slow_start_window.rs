//! Cold backends under the sum of all relays, in virtual time: uneven traffic, several starts
//! together and apart, lists in time.
mod support;

use support::{Asked, Bench, arrival, deployment, ms, row};
use std::collections::BTreeMap;
use thistlecroft::attempt::AttemptOutcome;
use thistlecroft::deployment::{Deployment, Idempotency, SlowStart};
use thistlecroft::endpoint::{EndpointState, UpdateKind};
use thistlecroft::random::Rng;
use thistlecroft::time::Instant;

/// Connections that fill a warm backend, and how many seconds they stand on the mean.
const FULL: f64 = 60.0;
const LIFE: f64 = 60.0;
const START_SHARE: f64 = 0.25;
const WARM_UP: f64 = 12.0;
const FACTOR: f64 = 3.0;
const WINDOW: f64 = 3.0;

/// What the settings allow a backend of that age in one window, N.
fn allowed(age: f64) -> f64 {
    FACTOR * (START_SHARE + (1.0 - START_SHARE) * age / WARM_UP).min(1.0) * FULL / LIFE * WINDOW
}

/// The most that any window had, as a part of N and what chance may add to it, 2 x root of N + 2;
/// and what was used of N over the warm-up.
fn ramp(relays: u32, seed: u64, tells_loads: bool, groups: bool) -> (f64, f64) {
    // Clients that are turned away come again: far more sessions than there is room.
    let a_second = 60.0;
    let cold = SlowStart {
        initial_share: START_SHARE,
        warm_up: ms(12_000),
        overload_factor: FACTOR,
        window: ms(3_000),
    };
    let of = Deployment {
        slow_start: cold,
        relay_count: relays,
        may_check_health: tells_loads,
        reports_load: tells_loads,
        groups_share_work: groups,
        health_check_cost: 0.001,
        ..deployment(Idempotency::Idempotent)
    };
    let list: Vec<_> = (0..10)
        .map(|id| row(id, EndpointState::Ready, None))
        .collect();
    let mut fleet: Vec<Bench> = (0..relays)
        .map(|me| {
            Bench::seeded(
                Deployment {
                    relay_index: me,
                    ..of.clone()
                },
                seed * 1_000 + u64::from(me),
                &list,
            )
        })
        .collect();
    let mut chance = Rng::from_seed(seed);
    // Some relays get several times the mean.
    let weights: Vec<f64> = (0..relays)
        .map(|_| 0.3 + 3.0 * chance.unit_f64().powi(3))
        .collect();
    let all: f64 = weights.iter().sum();
    let pick = |chance: &mut Rng| {
        let mut x = chance.unit_f64() * all;
        weights
            .iter()
            .position(|w| {
                x -= w;
                x < 0.0
            })
            .unwrap_or(0)
    };
    // Ten warm ones at 0.7 of what they can hold.
    let mut id = 0u32;
    let mut open: Vec<(usize, u32, u32, f64)> = Vec::new();
    for at in 0..10 {
        for _ in 0..(FULL * 0.7) as u32 {
            let me = pick(&mut chance);
            fleet[me].inherit(id, at);
            open.push((me, id, at, -LIFE * (1.0 - chance.unit_f64()).ln()));
            id += 1;
        }
    }
    let start0 = fleet[0].now;
    let mut starts: BTreeMap<u32, Instant> = BTreeMap::new();
    let mut dials: Vec<(u32, Instant)> = Vec::new();
    let mut due = 0.0;
    for step in 0..440u32 {
        let now = fleet[0].now;
        // Three start together at 8 s, two more apart.
        for (when, who) in [(160, 10..13), (200, 13..14), (240, 14..15)] {
            if step == when {
                let rows: Vec<_> = who
                    .clone()
                    .map(|at| row(at, EndpointState::Ready, Some(now)))
                    .collect();
                who.for_each(|at| {
                    starts.insert(at, now);
                });
                fleet
                    .iter_mut()
                    .for_each(|one| one.relay.update_endpoints(UpdateKind::Delta, &rows));
            }
        }
        for one in &mut fleet {
            let before = one.book.asked.len();
            one.pass(ms(50));
            let probed: Vec<u32> = one.book.asked[before..]
                .iter()
                .filter_map(|a| {
                    if let Asked::Probe(at) = a {
                        Some(*at)
                    } else {
                        None
                    }
                })
                .collect();
            for at in probed {
                let held = open.iter().filter(|o| o.2 == at).count() as f64;
                one.report(at, Some(held), Some(held / FULL));
            }
        }
        let t = fleet[0].now.duration_since(start0).as_secs_f64();
        let gone: Vec<_> = open.extract_if(.., |o| o.3 <= t).collect();
        gone.into_iter()
            .for_each(|(me, id, ..)| fleet[me].end(id, 0, AttemptOutcome::Ok, true));
        due += a_second * 0.05;
        while due >= 1.0 {
            due -= 1.0;
            let me = pick(&mut chance);
            id += 1;
            if let Some((at, _)) =
                fleet[me].arrive(id, arrival(u64::from(id), 1 + chance.below(40), ms(3_000)))
            {
                let held = open.iter().filter(|o| o.2 == at).count() as f64;
                if !starts.contains_key(&at) && held >= FULL {
                    fleet[me].end(id, 0, AttemptOutcome::Saturated, false);
                    continue;
                }
                fleet[me].stand(id, 0);
                if starts.contains_key(&at) {
                    dials.push((at, fleet[me].now));
                }
                let t = fleet[0].now.duration_since(start0).as_secs_f64();
                open.push((me, id, at, t - LIFE * (1.0 - chance.unit_f64()).ln()));
            }
        }
    }
    let (mut worst, mut used) = (0.0f64, 0.0);
    for (&at, &start) in &starts {
        let ages = dials
            .iter()
            .filter(|dial| dial.0 == at)
            .map(|dial| dial.1.duration_since(start).as_secs_f64());
        let mine: Vec<f64> = ages.filter(|&age| age < WARM_UP).collect();
        for &from in &mine {
            let n = allowed(from + WINDOW / 2.0);
            let count = mine
                .iter()
                .filter(|&&age| age >= from && age < from + WINDOW)
                .count() as f64;
            worst = worst.max(count / (n + 2.0 * n.sqrt() + 2.0));
        }
        used +=
            mine.len() as f64 / (allowed(WARM_UP / 2.0) * WARM_UP / WINDOW) / starts.len() as f64;
    }
    (worst, used)
}

/// Where loads are told and groups share work the turns are larger, for an estimate that group
/// costs lower; these backends have none, and that case is not asked here.
#[test]
fn no_window_holds_more_than_is_allowed_and_chance() {
    // Relays, seeds of each of three deployments; the least that is used of N on the mean.
    for (relays, seeds, least) in [(3, 25, 0.3), (20, 25, 0.4), (30, 18, 0.4), (350, 2, 0.3)] {
        for (tells_loads, groups) in [(false, true), (false, false), (true, false)] {
            let seen: Vec<(f64, f64)> = (1..=seeds)
                .map(|seed| ramp(relays, seed, tells_loads, groups))
                .collect();
            let worst = seen.iter().map(|one| one.0).fold(0.0, f64::max);
            let used = seen.iter().map(|one| one.1).sum::<f64>() / seeds as f64;
            println!(
                "{relays} relays, loads {tells_loads}, groups {groups}: worst {worst:.2}, used {used:.2}"
            );
            assert!(
                worst <= 1.0,
                "{relays} {tells_loads} {groups}: {worst:.2} of what is allowed"
            );
            assert!(
                (least..=1.0).contains(&used),
                "{relays} {tells_loads} {groups}: {used:.2} used"
            );
        }
    }
}
