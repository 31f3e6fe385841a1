//! Tests of the poll schedule, for a single relay and for fleets at a simulated agent.
use super::*;
use std::collections::BTreeSet;

/// A relay gives up a request that the agent has not served within this time.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long the simulation continues after the agent's return.
const OBSERVED_SECONDS: f64 = 30.0;

/// Returns the delay before a relay's next attempt, given the relay's index and the time that its
/// last attempt took.
type NextDelay<'a> = dyn FnMut(usize, Duration, &mut Rng) -> Duration + 'a;

/// How a fleet recovered after all its watches failed at the same time.
struct FleetRecovery {
    /// When each relay received a list, in seconds after the agent's return and in ascending order.
    recovered: Vec<f64>,
    attempts: u32,
}

impl FleetRecovery {
    /// Returns how many tenths of the fleet had a list within this many seconds.
    fn tenths_within(&self, seconds: f64, relays: u64) -> usize {
        let recovered = self.recovered.iter().filter(|at| **at <= seconds);
        recovered.count() * 10 / relays as usize
    }
}

/// Simulates a fleet at an agent that rejects all attempts immediately for `down_seconds`, and then
/// serves requests one after another, even those that their relay has given up in the meantime.
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
        max_delay: UNREACHABLE_MAX_DELAY,
        remaining,
    }
}

#[test]
fn fleet_after_losing_all_watches_recovers_in_time() {
    // The number of relays, the seconds that the agent takes to serve them all, and the minimum
    // tenths of them that have a list within six and within twelve seconds of the agent's return.
    let cases = [
        (2, 1.0, 10, 10),
        (100, 3.0, 10, 10),
        (350, 1.0, 10, 10),
        (350, 3.0, 10, 10),
        (1_000, 3.0, 10, 10),
        (350, 4.0, 9, 10),
        (350, 6.0, 3, 10),
        // Relays must retry sooner than the agent can serve them all, so only the first in its
        // queue are served.
        (350, 8.0, 3, 3),
    ];
    for down in [0.0, 3.0, 20.0] {
        for (relays, seconds_for_all, min_by_six, min_by_twelve) in cases {
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
                by_six >= min_by_six && by_twelve >= min_by_twelve,
                "down={down} relays={relays} seconds={seconds_for_all}: tenths={by_six},{by_twelve}"
            );
            assert!(
                f64::from(fleet.attempts)
                    <= relays as f64 * (4.0 + (down + OBSERVED_SECONDS) / 3.0),
                "relays={relays}: {} attempts",
                fleet.attempts
            );
        }
    }
    // Shows that the simulation can fail: with delays of at most 0.8 s, most relays never get a
    // list.
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

/// Holds for any number and order of earlier failures, and for any duration of each attempt.
#[test]
fn next_attempt_after_any_failures_starts_within_its_interval() {
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
            // Seven failures, whose kinds the sequence encodes; the last kind then repeats a
            // hundred times.
            for attempt in 0..107u32 {
                let kind = kinds[sequence / 3usize.pow(attempt.min(6)) % 3];
                let spent = silence_timeout * rng.unit_f64();
                let delay = schedule.next_delay(failure(kind, interval - spent), &mut rng);
                assert!(
                    spent + delay <= interval,
                    "sequence={sequence} attempt={attempt}: spent={spent:?} delay={delay:?}"
                );
            }
        }
    }
}

#[test]
fn delay_after_failures_doubles_to_its_maximum_and_restarts_after_a_list() {
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
            for attempt in 0..70 {
                // The first rejection has no minimum delay, so that relays are spread evenly.
                let min_share = if kind == FailureKind::Rejected && attempt == 0 {
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
            // However often the agent was unreachable, the caller's maximum holds.
            let short = Duration::from_millis(60);
            let bounded = Failure {
                max_delay: short,
                ..failure(FailureKind::Unreachable, ATTEMPT_INTERVAL)
            };
            assert!(schedule.next_delay(bounded, &mut rng) <= short);
            schedule.reset();
        }
    }
}
