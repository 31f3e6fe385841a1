//! What only a fleet shows: many instances of the decisions on one stepped clock, and what the
//! backends see together.
mod support;

use support::{Asked, Bench, arrival, deployment, ms, row};
use thistlecroft::attempt::AttemptOutcome;
use thistlecroft::deployment::{Deployment, Idempotency, SlowStart};
use thistlecroft::endpoint::{EndpointState, UpdateKind};
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};

/// Relays that share nothing but time.
struct Fleet {
    relays: Vec<Bench>,
    chance: Rng,
    sessions: u32,
    /// Backend, when, of every dial.
    dials: Vec<(u32, Instant)>,
    refused: usize,
    probes: usize,
}

impl Fleet {
    fn new(relays: u32, backends: u32, of: &Deployment) -> Fleet {
        let list: Vec<_> = (0..backends)
            .map(|id| row(id, EndpointState::Ready, None))
            .collect();
        let one = |me| {
            Bench::seeded(
                Deployment {
                    relay_index: me,
                    relay_count: relays,
                    ..of.clone()
                },
                u64::from(me) + 1,
                &list,
            )
        };
        let relays = (0..relays).map(one).collect();
        Fleet {
            relays,
            chance: Rng::from_seed(5),
            sessions: 0,
            dials: Vec::new(),
            refused: 0,
            probes: 0,
        }
    }

    fn now(&self) -> Instant {
        self.relays[0].now
    }

    /// Backends answer the probes of all relays with so many connections and this load.
    fn pass(&mut self, span: Duration, load: impl Fn(u32) -> (f64, f64)) {
        for relay in &mut self.relays {
            let before = relay.book.asked.len();
            relay.pass(span);
            let probed: Vec<u32> = relay.book.asked[before..]
                .iter()
                .filter_map(|asked| {
                    if let Asked::Probe(at) = asked {
                        Some(*at)
                    } else {
                        None
                    }
                })
                .collect();
            self.probes += probed.len();
            for at in probed {
                let (held, load) = load(at);
                relay.report(at, Some(held), Some(load));
            }
        }
    }

    /// A session at a relay by chance; it stands at once where it is dialled.
    fn arrive(&mut self, group: u64) {
        let me = self.chance.below(self.relays.len() as u64) as usize;
        let (id, relay) = (self.sessions, &mut self.relays[me]);
        self.sessions += 1;
        if let Some((at, _)) = relay.arrive(id, arrival(u64::from(id) + 1, group, ms(1_200))) {
            self.dials.push((at, relay.now));
            relay.stand(id, 0);
        } else {
            assert_eq!(
                relay.answers(id).len(),
                1,
                "session {id} is answered at once"
            );
            self.refused += 1;
        }
    }

    /// For each dial its backend, when it was, and how many went there within this span from it.
    fn after_each(&self, span: Duration) -> Vec<(u32, Instant, usize)> {
        let count = |at: u32, from: Instant| {
            let within = |(other, when): &&(u32, Instant)| {
                *other == at && *when >= from && *when < from + span
            };
            self.dials.iter().filter(within).count()
        };
        self.dials
            .iter()
            .map(|&(at, from)| (at, from, count(at, from)))
            .collect()
    }
}

/// Seven of twelve backends are cold and the others full; most relays meet no session or one within
/// a window. By turns for as many relays as the budget holds connections, 0.17 of it were used.
#[test]
fn cold_backends_are_used_and_not_pushed_over_where_traffic_is_thin() {
    let cold = SlowStart {
        initial_share: 0.31,
        warm_up: ms(9_000),
        overload_factor: 3.0,
        window: ms(3_000),
    };
    for (relays, sessions_a_second, seed) in [(100, 20, 1), (100, 30, 2), (400, 30, 3), (10, 20, 4)]
    {
        let of = Deployment {
            slow_start: cold,
            ..deployment(Idempotency::Idempotent)
        };
        let mut fleet = Fleet::new(relays, 12, &of);
        fleet.chance = Rng::from_seed(seed);
        // A full backend holds 35 connections, of which each relay has its part, and one in fifty
        // leaves each second.
        let full = |at: u32| if at < 5 { (33.0, 0.95) } else { (0.0, 0.0) };
        let mut id = 1_000_000;
        for me in 0..relays as usize {
            for at in 0..(165 / relays).max(1) {
                fleet.relays[me].inherit(id, at % 5);
                id += 1;
            }
        }
        for _ in 0..20 {
            fleet.pass(ms(500), full);
            let leaves = fleet.chance.below(u64::from(relays)) as usize;
            let first = 1_000_000 + leaves as u32 * (165 / relays).max(1);
            fleet.relays[leaves].end(first, 0, AttemptOutcome::Ok, true);
        }
        let start = fleet.now();
        let back: Vec<_> = (5..12)
            .map(|at| row(at, EndpointState::Ready, Some(start)))
            .collect();
        for relay in &mut fleet.relays {
            relay.relay.update_endpoints(UpdateKind::Delta, &back);
        }
        fleet.dials.clear();
        for _ in 0..90 {
            fleet.pass(ms(100), full);
            for _ in 0..sessions_a_second / 10 {
                let group = fleet.chance.below(20) + 1;
                fleet.arrive(group);
            }
        }
        fleet.dials.retain(|(at, _)| *at >= 5);
        // What the rule allows over the warm-up, with connections that last fifty seconds.
        let allowed = 7.0 * 3.0 * 0.65 * 35.0 / 50.0 * 9.0;
        let used = fleet.dials.len() as f64 / allowed;
        assert!(
            used > 0.3,
            "{relays} relays, {sessions_a_second} a second: {used:.2} used"
        );
        for (at, from, count) in fleet.after_each(ms(3_000)) {
            // Filled no faster than over its warm-up, at its share half way through the window.
            let share = 0.31 + 0.69 * (from.duration_since(start).as_secs_f64() + 1.5) / 9.0;
            let limit = 3.0 * share * 35.0 / 9.0 * 3.0;
            assert!(
                (count as f64) < limit,
                "{relays} relays: backend {at} got {count} of {limit:.0}"
            );
        }
    }
}

/// All twelve backends start anew at once: whatever can't be placed is answered at once, and probes
/// stay at their price.
#[test]
fn where_all_backends_are_cold_all_sessions_are_answered_and_none_is_pushed_over() {
    let cold = SlowStart {
        initial_share: 0.31,
        warm_up: ms(9_000),
        overload_factor: 3.0,
        window: ms(3_000),
    };
    for relays in [2, 100, 400] {
        let mut fleet = Fleet::new(
            relays,
            12,
            &Deployment {
                slow_start: cold,
                health_check_cost: 0.0023,
                ..deployment(Idempotency::Idempotent)
            },
        );
        let start = fleet.now();
        let list: Vec<_> = (0..12)
            .map(|at| row(at, EndpointState::Ready, Some(start)))
            .collect();
        for relay in &mut fleet.relays {
            relay.relay.update_endpoints(UpdateKind::Snapshot, &list);
        }
        for _ in 0..90 {
            fleet.pass(ms(100), |_| (10.0, 0.3));
            (0..3).for_each(|_| {
                let group = fleet.chance.below(20) + 1;
                fleet.arrive(group);
            });
        }
        assert_eq!(fleet.dials.len() + fleet.refused, 270, "{relays} relays");
        for (at, from, count) in fleet.after_each(ms(3_000)) {
            // A full backend holds 33 of these connections.
            let share = 0.31 + 0.69 * (from.duration_since(start).as_secs_f64() + 1.5) / 9.0;
            let limit = 3.0 * share * 33.0 / 9.0 * 3.0;
            assert!(
                (count as f64) < limit,
                "{relays} relays: backend {at} got {count} of {limit:.0}"
            );
        }
        // One in five seconds each at least; more only as sessions pay for them, about two a
        // session.
        let most = relays as usize * 3 + 270 * 3;
        let least = relays as usize;
        assert!(
            (least..=most).contains(&fleet.probes),
            "{relays} relays: {} probes",
            fleet.probes
        );
    }
}
