//! When discovery is called again. Pure: chance and what happened go in, a span comes out.
use thistlecroft::random::Rng;
use thistlecroft::time::Duration;

/// Nobody is there: an attempt costs it nothing, and drains are missed meanwhile.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// It is there and has no time. Each call that it takes in and can't serve in time is work lost, so
/// that callers who come back sooner than it can serve them all keep it from serving any.
const FIRST_SPREAD: Duration = Duration::from_millis(2_000);
/// From the beginning of one call to that of the next, at most, whatever has become of it: what
/// discovery has counts as told six seconds after it can be reached again. A second is left for the
/// answer.
pub const CALLED_WITHIN: Duration = Duration::from_millis(5_000);
/// The same for an address that SIGHUP has named, whose list counts as told after four.
pub const NEXT_CALLED_WITHIN: Duration = Duration::from_millis(3_000);

/// The least pause of callers that were turned away twice or more, as a part of the longest: the
/// mean is what keeps a fleet from calling faster than discovery can serve, and only the least can
/// raise it.
const SPACED: f64 = 0.6;

/// How a call came to nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    /// No connection, or not a word on it.
    Absent,
    /// It answered with something else than a list, or broke off what it had taken on.
    TurnedAway,
    /// A watch that had been good broke.
    Lost,
}

/// The failures in a row of one address.
#[derive(Clone, Copy, Default)]
pub struct PollSchedule {
    absent: u32,
    turned_away: u32,
}

impl PollSchedule {
    /// A list has come.
    pub fn listed(&mut self) {
        *self = PollSchedule::default();
    }

    /// The first failure since a list came.
    pub fn is_first(&self) -> bool {
        self.absent == 0 && self.turned_away == 0
    }

    /// The span to the next call: nearly even while nobody is there, and then no longer than
    /// `most`, since what the agent has at its return counts as told; jitter over a doubling one
    /// where it has no time. A call that took long leaves less: `left` is what is left of the time
    /// within which the next one begins.
    pub fn pause(
        &mut self,
        how: How,
        most: Duration,
        left: Duration,
        chance: &mut Rng,
    ) -> Duration {
        let double = |first: Duration, count: u32, longest: Duration| {
            (first * f64::from(1u32 << count.min(16))).min(longest)
        };
        match how {
            How::Absent => {
                let pause = double(FIRST_PAUSE, self.absent, LONGEST_PAUSE).min(most);
                self.absent = self.absent.saturating_add(1);
                pause.min(left) * (0.5 + 0.5 * chance.unit_f64())
            }
            How::TurnedAway => {
                let spread = double(FIRST_SPREAD, self.turned_away, CALLED_WITHIN).min(left);
                // AdminConnections that met once are spread evenly; from then on each keeps its distance.
                let least = if self.turned_away == 0 { 0.0 } else { SPACED };
                self.turned_away = self.turned_away.saturating_add(1);
                spread * (least + (1.0 - least) * chance.unit_f64())
            }
            // It may well be there still, and have told of a drain since: once, before it counts as
            // without time.
            How::Lost => FIRST_PAUSE.min(most) * (0.5 + 0.5 * chance.unit_f64()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeSet;

    const TIME_OUT: Duration = Duration::from_millis(2_000);

    /// Watches that all broke at once call a discovery that turns all away for some seconds, at
    /// once, and then serves so many calls a second in turn, also those whose caller has given up
    /// meanwhile. Seconds after its return when each relay held a list, in order, within thirty;
    /// and how often it was called.
    fn play(down: f64, relays: u64, a_second: f64, pause: &mut Pause) -> (Vec<f64>, u32) {
        let (mut calls, mut back, mut count) = (BTreeSet::new(), Vec::new(), 0);
        let mut chances: Vec<Rng> = (0..relays).map(Rng::from_seed).collect();
        for (id, chance) in chances.iter_mut().enumerate() {
            calls.insert((pause(id, Duration::ZERO, chance).as_micros(), id));
        }
        let mut free_at = 0.0f64;
        while let Some((at, id)) = calls
            .pop_first()
            .filter(|(at, _)| *at as f64 / 1e6 < down + 30.0)
        {
            count += 1;
            let now = at as f64 / 1e6;
            let mut spent = Duration::ZERO;
            if now >= down {
                free_at = free_at.max(now) + 1.0 / a_second;
                if free_at - now < TIME_OUT.as_secs_f64() {
                    back.push(free_at - down);
                    continue;
                }
                spent = TIME_OUT;
            }
            calls.insert((
                at + (spent + pause(id, spent, &mut chances[id])).as_micros(),
                id,
            ));
        }
        (back, count)
    }

    type Pause<'a> = dyn FnMut(usize, Duration, &mut Rng) -> Duration + 'a;

    #[test]
    fn a_fleet_that_lost_its_watches_gets_them_back() {
        // Relays, seconds in which discovery can serve them all; how many in ten hold a list within
        // six seconds of its return, and within twelve.
        let cases = [
            (2, 1.0, 10, 10),
            (100, 3.0, 10, 10),
            (350, 1.0, 10, 10),
            (350, 3.0, 10, 10),
            (1_000, 3.0, 10, 10),
            (350, 4.0, 9, 10),
            (350, 6.0, 3, 10),
            // More than it can take from callers that may not wait for longer: the first in its
            // queue are served.
            (350, 8.0, 3, 3),
        ];
        for down in [0.0, 3.0, 20.0] {
            for (relays, all_in, soon, later) in cases {
                let mut each = vec![PollSchedule::default(); relays as usize];
                let a_second = relays as f64 / all_in;
                let (back, calls) = play(down, relays, a_second, &mut |id, spent, chance| {
                    each[id].pause(
                        How::TurnedAway,
                        LONGEST_PAUSE,
                        CALLED_WITHIN - spent,
                        chance,
                    )
                });
                let within = |most: f64| {
                    back.iter().filter(|at| **at <= most).count() * 10 / relays as usize
                };
                let (by_six, by_twelve) = (within(6.0), within(12.0));
                assert!(
                    by_six >= soon && by_twelve >= later,
                    "{down} {relays} {all_in}: {by_six} {by_twelve}"
                );
                assert!(
                    f64::from(calls) <= relays as f64 * (4.0 + (down + 30.0) / 3.0),
                    "{relays}: {calls}"
                );
            }
        }
        // The check can fail: pauses that end at 0.8 s keep all but the first few out for good.
        let short = |_: usize, _: Duration, chance: &mut Rng| {
            LONGEST_PAUSE * (0.5 + 0.5 * chance.unit_f64())
        };
        let (back, calls) = play(0.0, 100, 20.0, &mut { short });
        assert!(
            back.len() < 50 && calls > 500,
            "{} back, {calls} calls",
            back.len()
        );
    }

    /// However many calls came to nothing before, in whatever order, and however long each took.
    #[test]
    fn the_next_call_begins_within_the_bound_after_any_sequence_of_failures() {
        let kinds = [How::Absent, How::TurnedAway, How::Lost];
        for (within, patience) in [
            (CALLED_WITHIN, Duration::from_millis(2_500)),
            (NEXT_CALLED_WITHIN, Duration::from_millis(800)),
        ] {
            for sequence in 0..3usize.pow(7) {
                let (mut pacing, mut chance) =
                    (PollSchedule::default(), Rng::from_seed(sequence as u64));
                // The seven, and the last of them a hundred times.
                for place in 0..107u32 {
                    let how = kinds[sequence / 3usize.pow(place.min(6)) % 3];
                    let spent = patience * chance.unit_f64();
                    let pause = pacing.pause(how, LONGEST_PAUSE, within - spent, &mut chance);
                    assert!(
                        spent + pause <= within,
                        "{sequence} {place}: {spent:?} {pause:?}"
                    );
                }
            }
        }
    }

    #[test]
    fn pauses_double_to_a_bound_and_begin_anew_with_a_list() {
        let mut chance = Rng::from_seed(7);
        for (how, first, longest, least) in [
            (How::Absent, FIRST_PAUSE, LONGEST_PAUSE, 0.5),
            (How::TurnedAway, FIRST_SPREAD, CALLED_WITHIN, SPACED),
        ] {
            let mut pacing = PollSchedule::default();
            for _ in 0..2 {
                assert!(pacing.is_first());
                let mut bound = first;
                for place in 0..70 {
                    // Those that were turned away once are spread evenly.
                    let least = if how == How::TurnedAway && place == 0 {
                        0.0
                    } else {
                        least
                    };
                    let pause = pacing.pause(how, LONGEST_PAUSE, CALLED_WITHIN, &mut chance);
                    assert!(
                        pause >= bound * least && pause <= bound,
                        "{how:?}: {pause:?} of {bound:?}"
                    );
                    bound = (bound * 2.0).min(longest);
                }
                assert!(!pacing.is_first());
                // However long nobody was there, not longer than the caller can bear.
                let short = Duration::from_millis(60);
                assert!(pacing.pause(How::Absent, short, CALLED_WITHIN, &mut chance) <= short);
                pacing.listed();
            }
        }
    }
}
