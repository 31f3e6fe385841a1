//! What an operator's routes allow: sessions at once, further dials and second copies as a part of the sessions, and the
//! time after which a set-up counts as long. Rows of one lane share it, also when the file was read again in between.
use crate::deployment::Route;
use crate::units::Span;
use std::collections::{BTreeMap, VecDeque};

/// Sessions whose unspent share of dials still counts: a quiet hour must not pay for a storm.
const SAVED: f64 = 100.0;
/// Set-ups of late, by which a second copy is timed.
const SET_UPS: usize = 100;

#[derive(Default)]
pub struct Lanes(BTreeMap<u32, Lane>);

#[derive(Default)]
struct Lane {
    held: u32,
    /// Dials that the sessions so far allow for and that are not yet sent.
    further: f64,
    second: f64,
    set_ups: VecDeque<Span>,
}

impl Lanes {
    /// A session comes; false where its route has no room for one more.
    pub fn enter(&mut self, row: &Route) -> bool {
        let lane = self.0.entry(row.lane).or_default();
        let save = |saved: f64, share: f64| (saved + share).min((share * SAVED).max(1.0));
        lane.further = save(lane.further, row.further_share.unwrap_or_default());
        lane.second = save(lane.second, row.second.map_or(0.0, |copy| copy.share));
        lane.held += 1;
        row.most.is_none_or(|most| lane.held <= most)
    }

    /// The session has ended.
    pub fn leave(&mut self, row: &Route) {
        self.0.entry(row.lane).and_modify(|lane| lane.held = lane.held.saturating_sub(1));
    }

    /// If a further dial is allowed; then it is paid for.
    pub fn pay_further(&mut self, row: &Route) -> bool {
        row.further_share.is_none() || self.0.get_mut(&row.lane).is_some_and(|lane| pay(&mut lane.further))
    }

    /// The same for a second copy, while the first dial is out.
    pub fn pay_second(&mut self, row: &Route) -> bool {
        row.second.is_some() && self.0.get_mut(&row.lane).is_some_and(|lane| pay(&mut lane.second))
    }

    /// What was paid for a second copy that found nowhere to go.
    pub fn give_back_second(&mut self, row: &Route) {
        self.0.entry(row.lane).and_modify(|lane| lane.second += 1.0);
    }

    pub fn took(&mut self, row: &Route, set_up: Span) {
        if let Some(lane) = self.0.get_mut(&row.lane).filter(|_| row.second.is_some()) {
            lane.set_ups.push_back(set_up);
            lane.set_ups.drain(..lane.set_ups.len().saturating_sub(SET_UPS));
        }
    }

    /// How long a set-up takes that is slower than most of late; none where the route has no second copies.
    pub fn long(&self, row: &Route) -> Option<Span> {
        let (copy, lane) = (row.second?, self.0.get(&row.lane)?);
        let mut set_ups: Vec<Span> = lane.set_ups.iter().copied().collect();
        set_ups.sort_unstable();
        let place = (set_ups.len() as f64 * copy.quantile) as usize;
        let long = set_ups.get(place).or(set_ups.last());
        Some(long.map_or(copy.most, |&long| long.max(copy.least).min(copy.most)))
    }
}

fn pay(saved: &mut f64) -> bool {
    let can = *saved >= 1.0;
    *saved -= if can { 1.0 } else { 0.0 };
    can
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::deployment::SecondCopy;

    fn row(lane: u32, most: Option<u32>, share: Option<f64>) -> Route {
        let (least, longest) = (Span::from_ms(20), Span::from_ms(200));
        let second = share.map(|share| SecondCopy { quantile: 0.9, least, most: longest, share });
        Route { lane, most, further_share: share, second, ..Route::default() }
    }

    #[test]
    fn a_lane_holds_so_many_and_rows_of_one_lane_share_it() {
        let (mut lanes, wide, narrow) = (Lanes::default(), row(1, Some(3), None), row(1, Some(2), None));
        assert!([&wide, &wide, &wide].into_iter().all(|row| lanes.enter(row)));
        // The limit was lowered below what is held: none comes in before enough have left.
        assert!(!lanes.enter(&narrow));
        for (leave, room) in [(2, false), (2, true)] {
            (0..leave).for_each(|_| lanes.leave(&wide));
            assert_eq!(lanes.enter(&narrow), room, "after {leave} more left");
        }
        assert!(lanes.enter(&row(2, Some(1), None)), "another lane has its own");
    }

    #[test]
    fn dials_are_a_part_of_the_sessions() {
        for (share, sessions) in [(0.1, 1_000), (0.5, 200), (0.01, 1_000)] {
            let (mut lanes, row) = (Lanes::default(), row(1, None, Some(share)));
            let (mut further, mut second) = (0, 0);
            for _ in 0..sessions {
                lanes.enter(&row);
                // Every one of them fails and is slow.
                further += u32::from(lanes.pay_further(&row));
                second += u32::from(lanes.pay_second(&row));
            }
            let most = share * f64::from(sessions);
            for count in [further, second].map(f64::from) {
                assert!(count <= most && count >= most - 1.0, "{count} of {most}");
            }
            // What a quiet time saved is bounded.
            (0..10_000).for_each(|_| assert!(lanes.enter(&row)));
            let burst = (0..10_000).filter(|_| lanes.pay_further(&row)).count() as f64;
            assert!(burst <= (share * 100.0).max(1.0), "{burst}");
        }
        let (mut lanes, plain) = (Lanes::default(), row(0, None, None));
        lanes.enter(&plain);
        assert!((0..100).all(|_| lanes.pay_further(&plain)) && !lanes.pay_second(&plain));
    }

    #[test]
    fn what_is_long_follows_the_set_ups_between_its_bounds() {
        let (mut lanes, row) = (Lanes::default(), row(1, None, Some(0.1)));
        lanes.enter(&row);
        let long = |lanes: &Lanes| lanes.long(&row).map(|long| long.us() / 1_000);
        assert_eq!(long(&lanes), Some(200), "nothing is known yet");
        for (took, expected) in [(5, 20), (50, 50), (900, 200), (30, 30)] {
            (0..100).for_each(|_| lanes.took(&row, Span::from_ms(took)));
            assert_eq!(long(&lanes), Some(expected), "all took {took} ms");
        }
        (0..12).for_each(|_| lanes.took(&row, Span::from_ms(100)));
        assert_eq!(long(&lanes), Some(100), "more than a tenth take so long");
        assert_eq!(lanes.long(&Route::default()), None);
    }
}
