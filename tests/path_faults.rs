//! What a model fleet shows of backends that fail by turns and of ways that are bad from one relay
//! only: dials wasted, and the load that healthy backends bear. Stepped clock, no simulator.
mod support;

use support::{Asked, Bench, arrival, deployment, ms, rows};
use thistlecroft::attempt::{AttemptOutcome, LoadReport};
use thistlecroft::deployment::{Deployment, Idempotency};
use thistlecroft::ids::{BackendId, SessionId};
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(100);
/// A dial that nobody answers, a probe likewise.
const UNANSWERED: Duration = Duration::from_millis(300);
/// Connections that fill one backend.
const FULL: f64 = 40.0;

/// How a way or a backend is at a moment, for one relay.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    Well,
    /// Takes dials and messages and answers none; probes pass.
    Hangs,
    /// Nothing that is sent comes through.
    Lost,
}

#[derive(Default)]
struct Tally {
    dials: usize,
    wasted: usize,
    refused: usize,
    /// Seconds of connections, and those spent where messages go unanswered.
    stood: f64,
    unserved: f64,
    worst_load: f64,
}

impl Tally {
    /// Parts of the dials, of the time and again of the dials, and the load of the fullest backend
    /// that was well.
    fn stays_under(&self, wasted: f64, unserved: f64, refused: f64, load: f64) {
        let (dials, time) = (self.dials as f64, self.unserved / self.stood);
        assert!(
            (self.wasted as f64) < wasted * dials,
            "{} of {dials} dials wasted",
            self.wasted
        );
        assert!(time < unserved, "{time:.3} of the time unserved");
        assert!(
            (self.refused as f64) < refused * dials,
            "{} of {dials} refused",
            self.refused
        );
        assert!(
            self.worst_load < load,
            "a healthy backend at {:.2}",
            self.worst_load
        );
    }
}

/// A dial that is out, or a connection: its relay, session, number and backend, and when it went
/// out or its client leaves.
type One = (usize, u32, u32, u32, Instant);

struct Play {
    relays: Vec<Bench>,
    chance: Rng,
    next: u32,
    out: Vec<One>,
    standing: Vec<One>,
    read: Vec<usize>,
}

impl Play {
    fn new(relays: u32, backends: u32) -> Play {
        let of = Deployment {
            groups_share_work: false,
            relay_count: relays,
            ..deployment(Idempotency::Idempotent)
        };
        let one = |me| {
            Bench::seeded(
                Deployment {
                    relay_index: me,
                    ..of.clone()
                },
                u64::from(me) + 1,
                &rows(backends),
            )
        };
        let (relays, read): (Vec<Bench>, _) =
            ((0..relays).map(one).collect(), vec![0; relays as usize]);
        Play {
            relays,
            chance: Rng::from_seed(3),
            next: 0,
            out: Vec::new(),
            standing: Vec::new(),
            read,
        }
    }

    fn now(&self) -> Instant {
        self.relays[0].now
    }

    /// Sessions arrive at that rate for so long, each standing for twenty seconds; `way`: of relay,
    /// backend and time.
    fn run(
        &mut self,
        length: Duration,
        a_second: f64,
        way: impl Fn(usize, u32, Duration) -> Way,
    ) -> Tally {
        let (start, mut tally) = (self.now(), Tally::default());
        let mut arrivals = 0.0;
        while self.now() < start + length {
            let since = self.now().duration_since(start);
            let mut held = [0.0; 64];
            self.standing
                .iter()
                .for_each(|&(.., at, _)| held[at as usize] += 1.0 / FULL);
            for me in 0..self.relays.len() {
                self.relays[me].pass(STEP);
                self.carry_out(me, since, &held, &way, &mut tally);
                let healthy = (0..64).filter(|&at| way(me, at, since) == Way::Well);
                tally.worst_load = healthy
                    .map(|at| held[at as usize])
                    .fold(tally.worst_load, f64::max);
            }
            arrivals += a_second * STEP.as_secs_f64();
            while arrivals >= 1.0 {
                arrivals -= 1.0;
                let me = self.chance.below(self.relays.len() as u64) as usize;
                self.relays[me].arrive(self.next, arrival(u64::from(self.next) + 1, 0, ms(3_200)));
                self.next += 1;
            }
            self.settle(since, &way, &mut tally);
        }
        tally
    }

    /// What the relay asked for since: dials go out, probes are answered or not, connections are
    /// sent away.
    fn carry_out(
        &mut self,
        me: usize,
        since: Duration,
        held: &[f64],
        way: &impl Fn(usize, u32, Duration) -> Way,
        tally: &mut Tally,
    ) {
        while let Some(&asked) = self.relays[me].book.asked.get(self.read[me]) {
            self.read[me] += 1;
            let relay = &mut self.relays[me];
            match asked {
                Asked::Dial(id, at, _) => {
                    tally.dials += 1;
                    let number = relay.dials(id).len() as u32 - 1;
                    self.out.push((me, id, number, at, relay.now));
                }
                Asked::Probe(at) if way(me, at, since) == Way::Lost => {
                    relay.relay.health_checked(
                        relay.now,
                        BackendId(at),
                        AttemptOutcome::TimedOut,
                        LoadReport::default(),
                    );
                }
                Asked::Probe(at) => {
                    relay.report(at, Some(held[at as usize] * FULL), Some(held[at as usize]))
                }
                Asked::Refuse(..) => tally.refused += 1,
                Asked::SendAway(id) => {
                    let of = |one: &One| (one.0, one.1) == (me, id);
                    let dial = self
                        .standing
                        .iter()
                        .find(|one| of(one))
                        .map_or(0, |one| one.2);
                    self.standing.retain(|one| !of(one));
                    relay.end(id, dial, AttemptOutcome::Cancelled, true);
                    // Its client comes again.
                    relay.arrive(self.next, arrival(u64::from(self.next) + 1, 0, ms(3_200)));
                    self.next += 1;
                }
                _ => {}
            }
        }
    }

    fn settle(
        &mut self,
        since: Duration,
        way: &impl Fn(usize, u32, Duration) -> Way,
        tally: &mut Tally,
    ) {
        let now = self.now();
        let mut still = Vec::new();
        for (me, id, dial, at, sent) in std::mem::take(&mut self.out) {
            let relay = &mut self.relays[me];
            if way(me, at, since) == Way::Well {
                relay.stand(id, dial);
                self.standing.push((me, id, dial, at, now + ms(20_000)));
            } else if now.duration_since(sent) >= UNANSWERED {
                tally.wasted += 1;
                relay.end(id, dial, AttemptOutcome::TimedOut, false);
            } else {
                still.push((me, id, dial, at, sent));
            }
        }
        self.out = still;
        let (over, standing): (Vec<_>, _) = self
            .standing
            .drain(..)
            .partition(|&(.., until)| until <= now);
        self.standing = standing;
        over.iter().for_each(|&(me, id, dial, ..)| {
            self.relays[me].end(id, dial, AttemptOutcome::Ok, true)
        });
        let whole = now.as_micros() % 1_000_000 < STEP.as_micros();
        let mut noted = std::collections::BTreeSet::new();
        for &(me, id, _, at, _) in &self.standing {
            tally.stood += STEP.as_secs_f64();
            if way(me, at, since) != Way::Well {
                tally.unserved += STEP.as_secs_f64();
            }
            // Once a second on one connection of each relay, and once more when messages are in
            // time again.
            if whole && noted.insert((me, at)) {
                let delay = if way(me, at, since) == Way::Well {
                    ms(5)
                } else {
                    ms(800)
                };
                let relay = &mut self.relays[me];
                relay
                    .relay
                    .latency_observed(relay.now, SessionId(id), delay, &mut relay.book);
            }
        }
    }
}

/// Four of twelve backends hang by turns of 8 s, three of them bad, each at times of its own;
/// probes pass all the while.
#[test]
fn backends_that_fail_by_turns_waste_few_dials_and_the_others_bear_it() {
    let mut play = Play::new(4, 12);
    let calm = play.run(ms(30_000), 11.0, |_, _, _| Way::Well);
    assert_eq!((calm.wasted, calm.refused), (0, 0));
    let hangs = |_: usize, at: u32, since: Duration| {
        let turn = (since.as_millis() + u64::from(at) * 1_700) % 8_000;
        if at < 4 && turn < 3_000 {
            Way::Hangs
        } else {
            Way::Well
        }
    };
    let turns = play.run(ms(40_000), 11.0, hangs);
    // By chance one dial in eight meets a bad turn (a third of the backends, three eighths of the
    // time).
    turns.stays_under(0.05, 0.105, 0.05, 0.85);
    // They are used again: a minute later the four bear their part.
    play.run(ms(60_000), 11.0, |_, _, _| Way::Well);
    let theirs = play.standing.iter().filter(|&&(.., at, _)| at < 4).count();
    assert!(
        theirs * 6 > play.standing.len(),
        "{theirs} of {} stand there",
        play.standing.len()
    );
}

/// Half of the backends can't be reached from two of four relays and serve the two others as ever.
#[test]
fn ways_that_are_bad_from_here_only_are_left_and_the_backends_serve_the_others() {
    let mut play = Play::new(4, 12);
    play.run(ms(30_000), 11.0, |_, _, _| Way::Well);
    let bad = |me: usize, at: u32, _: Duration| {
        if me < 2 && at < 6 {
            Way::Lost
        } else {
            Way::Well
        }
    };
    let days = play.run(ms(40_000), 11.0, bad);
    days.stays_under(0.03, 0.03, 1.0 / 12.0, 0.85);
    let from = |relays: std::ops::Range<usize>| {
        play.standing
            .iter()
            .filter(|&&(me, _, _, at, _)| relays.contains(&me) && at < 6)
            .count()
    };
    let (affected, others) = (from(0..2), from(2..4));
    assert!(
        affected == 0 && others > 20,
        "{affected} and {others} stand at the six"
    );
}
