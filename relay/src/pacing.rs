//! When discovery is called again. Pure: chance and what happened go in, a span comes out.
use thistlecroft::units::{Chance, Span};

/// Nobody is there: an attempt costs it nothing, and drains are missed meanwhile.
const FIRST_PAUSE: Span = Span::from_ms(50);
const LONGEST_PAUSE: Span = Span::from_ms(800);
/// It is there and has no time. Each call that it takes in and can't serve in time is work lost, so that callers who
/// come back sooner than it can serve them all keep it from serving any.
const FIRST_SPREAD: Span = Span::from_ms(2_000);
const LONGEST_SPREAD: Span = Span::from_ms(16_000);

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
pub struct Pacing {
    absent: u32,
    turned_away: u32,
}

impl Pacing {
    /// A list has come.
    pub fn listed(&mut self) {
        *self = Pacing::default();
    }

    /// The first failure since a list came.
    pub fn is_first(&self) -> bool {
        self.absent == 0 && self.turned_away == 0
    }

    /// The span to the next call: nearly even while nobody is there, and then no longer than `most`, since what the agent
    /// has at its return counts as told; full jitter over a doubling one where it has no time.
    pub fn pause(&mut self, how: How, most: Span, chance: &mut Chance) -> Span {
        let double =
            |first: Span, count: u32, longest: Span| (first * f64::from(1u32 << count.min(16))).min(longest);
        match how {
            How::Absent => {
                let pause = double(FIRST_PAUSE, self.absent, LONGEST_PAUSE).min(most);
                self.absent = self.absent.saturating_add(1);
                pause * (0.5 + 0.5 * chance.float())
            }
            How::TurnedAway => {
                let spread = double(FIRST_SPREAD, self.turned_away, LONGEST_SPREAD);
                self.turned_away = self.turned_away.saturating_add(1);
                spread * chance.float()
            }
            // It may well be there still, and have told of a drain since: once, before it counts as without time.
            How::Lost => FIRST_PAUSE.min(most) * (0.5 + 0.5 * chance.float()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeSet;

    /// Watches that all broke at once call a discovery that serves so many calls a second in turn, also those whose
    /// caller has given up after two seconds. How many hold a watch again after 30 s, and how often it was called.
    fn play(relays: u64, a_second: f64, pause: &mut dyn FnMut(usize, &mut Chance) -> Span) -> (usize, u32) {
        let (mut calls, mut back, mut count) = (BTreeSet::new(), 0, 0);
        let mut chances: Vec<Chance> = (0..relays).map(Chance::from_seed).collect();
        for (id, chance) in chances.iter_mut().enumerate() {
            calls.insert((pause(id, chance).us(), id));
        }
        let mut free_at = 0.0f64;
        while let Some((at, id)) = calls.pop_first().filter(|(at, _)| *at < 30_000_000) {
            count += 1;
            free_at = free_at.max(at as f64 / 1e6) + 1.0 / a_second;
            if free_at - at as f64 / 1e6 < 2.0 {
                back += 1;
            } else {
                let wait = 2_000_000 + pause(id, &mut chances[id]).us();
                calls.insert((at + wait, id));
            }
        }
        (back, count)
    }

    #[test]
    fn a_fleet_that_lost_its_watches_gets_them_back() {
        for (relays, a_second) in [(2, 1.0), (100, 20.0), (1_000, 200.0)] {
            let mut each = vec![Pacing::default(); relays as usize];
            let (back, calls) = play(relays, a_second, &mut |id, chance| {
                each[id].pause(How::TurnedAway, LONGEST_PAUSE, chance)
            });
            assert!(back * 10 >= relays as usize * 9, "{relays}: {back} back");
            assert!(u64::from(calls) <= relays * 5, "{relays}: {calls} calls");
        }
        // The check can fail: pauses that end at 0.8 s keep all but the first few out for good.
        let short = |_: usize, chance: &mut Chance| LONGEST_PAUSE * (0.5 + 0.5 * chance.float());
        let (back, calls) = play(100, 20.0, &mut { short });
        assert!(back < 50 && calls > 500, "{back} back, {calls} calls");
    }

    #[test]
    fn pauses_double_to_a_bound_and_begin_anew_with_a_list() {
        let mut chance = Chance::from_seed(7);
        for (how, first, longest, least) in [
            (How::Absent, FIRST_PAUSE, LONGEST_PAUSE, 0.5),
            (How::TurnedAway, FIRST_SPREAD, LONGEST_SPREAD, 0.0),
        ] {
            let mut pacing = Pacing::default();
            for _ in 0..2 {
                assert!(pacing.is_first());
                let mut bound = first;
                for _ in 0..70 {
                    let pause = pacing.pause(how, LONGEST_PAUSE, &mut chance);
                    assert!(pause >= bound * least && pause <= bound, "{how:?}: {pause:?} of {bound:?}");
                    bound = (bound * 2.0).min(longest);
                }
                assert!(!pacing.is_first());
                // However long nobody was there, not longer than the caller can bear.
                let short = Span::from_ms(60);
                assert!(pacing.pause(How::Absent, short, &mut chance) <= short);
                pacing.listed();
            }
        }
    }
}
