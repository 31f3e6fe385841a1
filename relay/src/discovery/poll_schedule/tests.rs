//! Tests of the poll schedule: of one relay by itself, and of fleets at a simulated agent.
use super::*;
use std::collections::BTreeSet;

/// A relay gives up on a request that the agent has not served within this.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_000);
/// For so long after the agent's return the simulation goes on.
const OBSERVED_SECONDS: f64 = 30.0;

/// The delay to a relay's next attempt, by its number and the time that the last one took.
type NextDelay<'a> = dyn FnMut(usize, Duration, &mut Rng) -> Duration + 'a;

/// What came of a fleet whose watches all broke at once.
struct FleetRecovery {
    /// Seconds after the agent's return at which each relay had a list, in order.
    recovered: Vec<f64>,
    attempts: u32,
}

impl FleetRecovery {
    /// Tenths of the fleet that had a list within so many seconds.
    fn tenths_within(&self, seconds: f64, relays: u64) -> usize {
        let recovered = self.recovered.iter().filter(|at| **at <= seconds);
        recovered.count() * 10 / relays as usize
    }
}

/// An agent rejects all attempts at once for some seconds, and then serves so many a second in
/// turn, also those that the relay has given up meanwhile.
fn simulate_fleet(
    down_seconds: f64,
    relays: u64,
    served_per_second: f64,
    next_delay: &mut NextDelay,
) -> FleetRecovery {
    let mut rngs: Vec<Rng> = (0..relays).map(Rng::from_seed).collect();
    // When each relay makes its next attempt, in microseconds.
    let mut due = BTreeSet::new();
    for (relay, rng) in rngs.iter_mut().enumerate() {
        due.insert((next_delay(relay, Duration::ZERO, rng).as_micros(), relay));
    }
    let (mut recovered, mut attempts) = (Vec::new(), 0);
    let mut agent_free_at = 0.0f64;
    while let Some((at, relay)) = due.pop_first() {
        let now = at as f64 / 1e6;
        if now >= down_seconds + OBSERVED_SECONDS {
            break;
        }
        attempts += 1;
        let mut spent = Duration::ZERO;
        if now >= down_seconds {
            agent_free_at = agent_free_at.max(now) + 1.0 / served_per_second;
            if agent_free_at - now < REQUEST_TIMEOUT.as_secs_f64() {
                recovered.push(agent_free_at - down_seconds);
                continue;
            }
            spent = REQUEST_TIMEOUT;
        }
        let delay = next_delay(relay, spent, &mut rngs[relay]);
        due.insert((at + (spent + delay).as_micros(), relay));
    }
    FleetRecovery {
        recovered,
        attempts,
    }
}

fn failure(kind: FailureKind, remaining: Duration) -> Failure {
    Failure {
        kind,
        longest_delay: UNREACHABLE_MAX_DELAY,
        remaining,
    }
}

#[test]
fn fleet_that_lost_its_watches_recovers() {
    // Relays, seconds in which discovery can serve them all; how many tenths of them hold a list
    // within six seconds of its return, and within twelve.
    let cases = [
        (2, 1.0, 10, 10),
        (100, 3.0, 10, 10),
        (350, 1.0, 10, 10),
        (350, 3.0, 10, 10),
        (1_000, 3.0, 10, 10),
        (350, 4.0, 9, 10),
        (350, 6.0, 3, 10),
        // More than it can serve to relays that may not wait for longer: the first in its queue
        // are served.
        (350, 8.0, 3, 3),
    ];
    for down in [0.0, 3.0, 20.0] {
        for (relays, seconds_for_all, least_by_six, least_by_twelve) in cases {
            let mut schedules = vec![PollSchedule::default(); relays as usize];
            let served_per_second = relays as f64 / seconds_for_all;
            let fleet =
                simulate_fleet(down, relays, served_per_second, &mut |relay, spent, rng| {
                    let remaining = ATTEMPT_INTERVAL - spent;
                    schedules[relay].next_delay(failure(FailureKind::Rejected, remaining), rng)
                });
            let by_six = fleet.tenths_within(6.0, relays);
            let by_twelve = fleet.tenths_within(12.0, relays);
            assert!(
                by_six >= least_by_six && by_twelve >= least_by_twelve,
                "{down} {relays} {seconds_for_all}: {by_six} {by_twelve}"
            );
            assert!(
                f64::from(fleet.attempts)
                    <= relays as f64 * (4.0 + (down + OBSERVED_SECONDS) / 3.0),
                "{relays}: {}",
                fleet.attempts
            );
        }
    }
    // The check can fail: delays that end at 0.8 s keep all but the first few out for good.
    let mut short_delay =
        |_: usize, _: Duration, rng: &mut Rng| UNREACHABLE_MAX_DELAY * (0.5 + 0.5 * rng.unit_f64());
    let fleet = simulate_fleet(0.0, 100, 20.0, &mut short_delay);
    assert!(
        fleet.recovered.len() < 50 && fleet.attempts > 500,
        "{} recovered, {} attempts",
        fleet.recovered.len(),
        fleet.attempts
    );
}

/// However many attempts failed before, in whatever order, and however long each took.
#[test]
fn next_attempt_after_any_failures_begins_within_its_interval() {
    let kinds = [
        FailureKind::Unreachable,
        FailureKind::Rejected,
        FailureKind::Interrupted,
    ];
    for (interval, silence_timeout) in [
        (ATTEMPT_INTERVAL, Duration::from_millis(2_500)),
        (ATTEMPT_INTERVAL_AFTER_MOVE, Duration::from_millis(800)),
    ] {
        for sequence in 0..3usize.pow(7) {
            let mut schedule = PollSchedule::default();
            let mut rng = Rng::from_seed(sequence as u64);
            // Each of the seven kinds, and the last of them a hundred times.
            for place in 0..107u32 {
                let kind = kinds[sequence / 3usize.pow(place.min(6)) % 3];
                let spent = silence_timeout * rng.unit_f64();
                let delay = schedule.next_delay(failure(kind, interval - spent), &mut rng);
                assert!(
                    spent + delay <= interval,
                    "{sequence} {place}: {spent:?} {delay:?}"
                );
            }
        }
    }
}

#[test]
fn delays_double_to_a_bound_and_start_over_with_a_list() {
    let mut rng = Rng::from_seed(7);
    for (kind, first, longest, usual_min_share) in [
        (
            FailureKind::Unreachable,
            UNREACHABLE_FIRST_DELAY,
            UNREACHABLE_MAX_DELAY,
            0.5,
        ),
        (
            FailureKind::Rejected,
            REJECTED_FIRST_DELAY,
            ATTEMPT_INTERVAL,
            REPEATED_REJECTION_MIN_SHARE,
        ),
    ] {
        let mut schedule = PollSchedule::default();
        for _ in 0..2 {
            assert!(!schedule.has_failed());
            let mut bound = first;
            for place in 0..70 {
                // Relays that were rejected once are spread evenly.
                let min_share = if kind == FailureKind::Rejected && place == 0 {
                    0.0
                } else {
                    usual_min_share
                };
                let delay = schedule.next_delay(failure(kind, ATTEMPT_INTERVAL), &mut rng);
                assert!(
                    delay >= bound * min_share && delay <= bound,
                    "{kind:?}: {delay:?} of {bound:?}"
                );
                bound = (bound * 2.0).min(longest);
            }
            assert!(schedule.has_failed());
            // However long nobody was there, no longer than the caller allows.
            let short = Duration::from_millis(60);
            let bounded = Failure {
                longest_delay: short,
                ..failure(FailureKind::Unreachable, ATTEMPT_INTERVAL)
            };
            assert!(schedule.next_delay(bounded, &mut rng) <= short);
            schedule.reset();
        }
    }
}
