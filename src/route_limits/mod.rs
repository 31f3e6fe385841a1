//! What is counted against limits: sessions at once; dials beyond each session's first, as a ration
//! of the whole relay over a window of time and as shares of an operator's routes over their last
//! sessions; and the time after which a set-up counts as long. Rows of one lane share it, also when
//! the file was read again in between. Who gets what is left is the decisions' affair.
use crate::deployment::{RetryBudget, Route};
use crate::time::{Duration, Instant};
use std::collections::{BTreeMap, VecDeque};

/// The sessions over which a route's share is counted, at least: a quiet hour must not pay for a
/// storm.
const LAST: f64 = 100.0;
/// And at most.
const MOST_LAST: f64 = 1e6;
/// Set-ups of late, by which a second copy is timed.
const SET_UPS: usize = 100;
/// Places kept apart of either count. What comes while so many lie within a window is put with the
/// newest, so that sessions pass out of the window early and dials late: fewer dials than allowed,
/// never more.
const PLACES: usize = 4_096;

/// Events of a window by their place in it, in microseconds or in sessions; the oldest first.
#[derive(Default)]
struct Counted {
    rows: VecDeque<(u64, u32)>,
    all: u32,
}

/// Sessions taken and dials beyond their first, within the last window.
#[derive(Default)]
struct Tally {
    sessions: Counted,
    dials: Counted,
    /// Dials that were granted and are not yet out.
    promised: u32,
}

/// What a window allows and what of it is gone, in dials.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    pub spent: f64,
    pub most: f64,
}

#[derive(Default)]
pub struct Lanes {
    /// Of the whole relay.
    ration: Option<RetryBudget>,
    all: Tally,
    /// Another process of this relay may have spent what is free of any window that began before.
    free_from: Instant,
    lanes: BTreeMap<u32, Lane>,
}

#[derive(Default)]
struct Lane {
    held: u32,
    /// Sessions so far: the clock of the two tallies.
    taken: u64,
    further: Tally,
    second: Tally,
    set_ups: VecDeque<Duration>,
}

/// What a dial beyond the first is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Extra {
    /// After the one before has failed.
    Further,
    /// A copy, beside the first.
    Second,
}

impl Counted {
    /// `late`: put together with others, it counts from the later place.
    fn add(&mut self, at: u64, late: bool) {
        self.all += 1;
        let full = self.rows.len() >= PLACES;
        match self
            .rows
            .back_mut()
            .filter(|(newest, _)| full || *newest == at)
        {
            Some((newest, count)) => {
                (*newest, *count) = (if late { at } else { *newest }, *count + 1)
            }
            None => self.rows.push_back((at, 1)),
        }
    }

    /// What passed out of the window or was put together with others stays: a later one is not to
    /// go in its place.
    fn take_back(&mut self, at: u64) {
        let place = self.rows.partition_point(|&(place, _)| place < at);
        if let Some((_, count)) = self
            .rows
            .get_mut(place)
            .filter(|row| row.0 == at && row.1 > 0)
        {
            *count -= 1;
            self.all -= 1;
        }
    }

    /// What came before that place has passed out of the window.
    fn drop_before(&mut self, place: u64) {
        while let Some(&(_, count)) = self.rows.front().filter(|&&(at, _)| at < place) {
            self.rows.pop_front();
            self.all -= count;
        }
    }
}

impl Tally {
    fn taken(&mut self, now: u64, window: u64) {
        self.sessions.add(now, false);
        self.pass(now, window);
    }

    /// On the window's edge a dial still counts and a session no more: right whichever way the edge
    /// is read.
    fn pass(&mut self, now: u64, window: u64) {
        self.sessions.drop_before((now + 1).saturating_sub(window));
        self.dials.drop_before(now.saturating_sub(window));
    }

    fn allowance(&mut self, now: u64, window: u64, free: f64, share: f64) -> Allowance {
        self.pass(now, window);
        let spent = f64::from(self.dials.all + self.promised);
        Allowance {
            spent,
            most: free + share * f64::from(self.sessions.all),
        }
    }
}

impl Lane {
    fn tally(&mut self, extra: Extra) -> &mut Tally {
        if extra == Extra::Further {
            &mut self.further
        } else {
            &mut self.second
        }
    }

    fn allowance(&mut self, extra: Extra, share: f64) -> Allowance {
        let taken = self.taken;
        self.tally(extra)
            .allowance(taken, sessions(share), 0.0, share)
    }
}

impl Lanes {
    /// The settings' ration, from now on.
    pub fn limit(&mut self, ration: Option<RetryBudget>) {
        self.ration = ration;
    }

    /// To the rules another process and this one are one relay: what is free is the other's, also
    /// for the window after its end.
    pub fn beside(&mut self, ended: Option<Instant>) {
        let window = self.ration.map_or(Duration::ZERO, |ration| ration.window);
        self.free_from = ended.map_or(Instant::from_micros(u64::MAX), |at| at + window);
    }

    /// A session is taken, which pays for further dials; one that this process only took over does
    /// not.
    pub fn taken(&mut self, now: Instant, row: &Route) {
        if let Some(ration) = self.ration {
            self.all.taken(now.as_micros(), ration.window.as_micros());
        }
        let lane = self.lanes.entry(row.limits_id).or_default();
        lane.taken += 1;
        for extra in [Extra::Further, Extra::Second] {
            if let Some(share) = share(row, extra) {
                let taken = lane.taken;
                lane.tally(extra).taken(taken, sessions(share));
            }
        }
    }

    /// A session comes; false where its route has no room for one more.
    pub fn enter(&mut self, row: &Route) -> bool {
        let lane = self.lanes.entry(row.limits_id).or_default();
        lane.held += 1;
        row.max_sessions.is_none_or(|most| lane.held <= most)
    }

    /// The session has ended.
    pub fn leave(&mut self, row: &Route) {
        self.lanes
            .entry(row.limits_id)
            .and_modify(|lane| lane.held = lane.held.saturating_sub(1));
    }

    /// What there is for a dial beyond the first, by whichever of its limits has least left; none
    /// without a limit.
    pub fn room(&mut self, now: Instant, row: &Route, extra: Extra) -> Option<Allowance> {
        let all = self.ration.map(|ration| {
            let free = if now >= self.free_from {
                ration.free
            } else {
                0.0
            };
            self.all.allowance(
                now.as_micros(),
                ration.window.as_micros(),
                free,
                ration.share,
            )
        });
        let lane = share(row, extra).map(|share| match self.lanes.get_mut(&row.limits_id) {
            Some(lane) => lane.allowance(extra, share),
            None => Allowance {
                spent: 0.0,
                most: 0.0,
            },
        });
        let left = |one: &Allowance| one.most - one.spent;
        all.into_iter()
            .chain(lane)
            .min_by(|a, b| left(a).total_cmp(&left(b)))
    }

    /// A further dial was granted that goes out later, or is not to go out any more.
    pub fn promise(&mut self, row: &Route, more: bool) {
        let lane = self.lanes.entry(row.limits_id).or_default();
        for promised in [&mut self.all.promised, &mut lane.further.promised] {
            *promised = if more {
                *promised + 1
            } else {
                promised.saturating_sub(1)
            };
        }
    }

    /// A dial beyond the first goes out, if there is room; then it counts.
    pub fn pay(&mut self, now: Instant, row: &Route, extra: Extra) -> bool {
        if self
            .room(now, row, extra)
            .is_some_and(|room| room.spent + 1.0 > room.most)
        {
            return false;
        }
        if self.ration.is_some() {
            self.all.dials.add(now.as_micros(), true);
        }
        if let Some(lane) = self
            .lanes
            .get_mut(&row.limits_id)
            .filter(|_| share(row, extra).is_some())
        {
            let taken = lane.taken;
            lane.tally(extra).dials.add(taken, true);
        }
        true
    }

    /// A dial that was paid for at that moment was never sent, and does not count.
    pub fn give_back(&mut self, paid: Instant) {
        self.all.dials.take_back(paid.as_micros());
    }

    pub fn took(&mut self, row: &Route, set_up: Duration) {
        if let Some(lane) = self
            .lanes
            .get_mut(&row.limits_id)
            .filter(|_| row.hedging.is_some())
        {
            lane.set_ups.push_back(set_up);
            lane.set_ups
                .drain(..lane.set_ups.len().saturating_sub(SET_UPS));
        }
    }

    /// How long a set-up takes that is slower than most of late; none where the route has no second
    /// copies.
    pub fn long(&self, row: &Route) -> Option<Duration> {
        let (copy, lane) = (row.hedging?, self.lanes.get(&row.limits_id)?);
        let mut set_ups: Vec<Duration> = lane.set_ups.iter().copied().collect();
        set_ups.sort_unstable();
        let place = (set_ups.len() as f64 * copy.quantile) as usize;
        let long = set_ups.get(place).or(set_ups.last());
        Some(long.map_or(copy.max_delay, |&long| {
            long.max(copy.min_delay).min(copy.max_delay)
        }))
    }
}

/// The last sessions over which a share is counted: as many as it takes for one dial, within
/// reason.
fn sessions(share: f64) -> u64 {
    (1.0 / share).ceil().clamp(LAST, MOST_LAST) as u64
}

/// The row's own limit, as a part of the sessions.
fn share(row: &Route, extra: Extra) -> Option<f64> {
    match extra {
        Extra::Further => row.retry_share,
        Extra::Second => row.hedging.map(|copy| copy.share),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::deployment::Hedging;
    use crate::random::Rng;

    const NOW: Instant = Instant::from_micros(1_000);

    fn row(lane: u32, most: Option<u32>, share: Option<f64>) -> Route {
        let (least, longest) = (Duration::from_millis(20), Duration::from_millis(200));
        let second = share.map(|share| Hedging {
            quantile: 0.9,
            min_delay: least,
            max_delay: longest,
            share,
        });
        Route {
            limits_id: lane,
            max_sessions: most,
            retry_share: share,
            hedging: second,
            ..Route::default()
        }
    }

    #[test]
    fn a_lane_holds_so_many_and_rows_of_one_lane_share_it() {
        let (mut lanes, wide, narrow) = (
            Lanes::default(),
            row(1, Some(3), None),
            row(1, Some(2), None),
        );
        assert!(
            [&wide, &wide, &wide]
                .into_iter()
                .all(|row| lanes.enter(row))
        );
        // The limit was lowered below what is held: none comes in before enough have left.
        assert!(!lanes.enter(&narrow));
        for (leave, room) in [(2, false), (2, true)] {
            (0..leave).for_each(|_| lanes.leave(&wide));
            assert_eq!(lanes.enter(&narrow), room, "after {leave} more left");
        }
        assert!(
            lanes.enter(&row(2, Some(1), None)),
            "another lane has its own"
        );
    }

    #[test]
    fn dials_are_a_part_of_the_sessions() {
        for (share, sessions) in [(0.1, 1_000), (0.5, 200), (0.01, 1_000)] {
            let (mut lanes, row) = (Lanes::default(), row(1, None, Some(share)));
            let (mut further, mut second) = (0, 0);
            for _ in 0..sessions {
                lanes.taken(NOW, &row);
                // Every one of them fails and is slow.
                further += u32::from(lanes.pay(NOW, &row, Extra::Further));
                second += u32::from(lanes.pay(NOW, &row, Extra::Second));
            }
            let most = share * f64::from(sessions);
            for count in [further, second].map(f64::from) {
                assert!(count <= most && count >= most - 1.0, "{count} of {most}");
            }
            // What a quiet time saved is bounded.
            (0..10_000).for_each(|_| lanes.taken(NOW, &row));
            let burst = (0..10_000)
                .filter(|_| lanes.pay(NOW, &row, Extra::Further))
                .count() as f64;
            assert!(burst <= (share * 100.0).max(1.0), "{burst}");
        }
        let (mut lanes, plain) = (Lanes::default(), row(0, None, None));
        lanes.taken(NOW, &plain);
        assert!((0..100).all(|_| lanes.pay(NOW, &plain, Extra::Further)));
    }

    #[test]
    fn what_is_long_follows_the_set_ups_between_its_bounds() {
        let (mut lanes, row) = (Lanes::default(), row(1, None, Some(0.1)));
        lanes.taken(NOW, &row);
        let long = |lanes: &Lanes| lanes.long(&row).map(|long| long.as_millis());
        assert_eq!(long(&lanes), Some(200), "nothing is known yet");
        for (took, expected) in [(5, 20), (50, 50), (900, 200), (30, 30)] {
            (0..100).for_each(|_| lanes.took(&row, Duration::from_millis(took)));
            assert_eq!(long(&lanes), Some(expected), "all took {took} ms");
        }
        (0..12).for_each(|_| lanes.took(&row, Duration::from_millis(100)));
        assert_eq!(long(&lanes), Some(100), "more than a tenth take so long");
        assert_eq!(lanes.long(&Route::default()), None);
    }

    #[test]
    fn the_ration_holds_at_the_windows_edge() {
        let ration = RetryBudget {
            free: 1.0,
            share: 0.5,
            window: Duration::from_millis(5_000),
        };
        let at = |ms: u64| Instant::from_micros(ms * 1_000);
        // When two sessions came, when dials went out, and if another may.
        let cases: [(u64, &[u64], u64, bool); 8] = [
            (0, &[], 0, true),
            (0, &[0, 0], 0, false),
            (0, &[0], 4_999, true),
            // The sessions have passed out of the window, the dial has not quite.
            (0, &[0], 5_000, false),
            (0, &[0], 5_001, true),
            (1_000, &[1_000, 2_000], 6_000, false),
            (1_000, &[1_000, 2_000], 6_001, false),
            (1_000, &[1_000, 2_000], 7_001, true),
        ];
        for (come, dials, when, may) in cases {
            let (mut lanes, row) = (Lanes::default(), Route::default());
            lanes.limit(Some(ration));
            (0..2).for_each(|_| lanes.taken(at(come), &row));
            dials
                .iter()
                .for_each(|&ms| assert!(lanes.pay(at(ms), &row, Extra::Further)));
            assert_eq!(
                lanes.pay(at(when), &row, Extra::Further),
                may,
                "{come} {dials:?} {when}"
            );
        }
    }

    /// Against a plain list of all that happened, read for each window that ends in a dial.
    #[test]
    fn no_window_holds_more_than_a_plain_count_allows() {
        for (seed, gap_us, free, share, window) in [
            (1, 4_000, 3.0, 0.15, 5_000),
            (2, 90_000, 0.0, 0.3, 5_000),
            (3, 400, 3.0, 0.15, 5_000),
        ] {
            let (mut lanes, row) = (Lanes::default(), Route::default());
            let ration = RetryBudget {
                free,
                share,
                window: Duration::from_millis(window),
            };
            lanes.limit(Some(ration));
            let (mut chance, mut now) = (Rng::from_seed(seed), 7);
            let (mut sessions, mut dials): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
            let (mut first_session, mut first_dial, mut least_left) = (0, 0, f64::MAX);
            for step in 0..40_000 {
                now += chance.below(gap_us);
                // Storms, in which each session asks again and again, and quiet times.
                if chance.below(4) > 0 {
                    lanes.taken(Instant::from_micros(now), &row);
                    sessions.push(now);
                }
                if step % 3_000 < 1_500
                    && lanes.pay(Instant::from_micros(now), &row, Extra::Further)
                {
                    dials.push(now);
                    let from = now.saturating_sub(window * 1_000);
                    first_session += sessions[first_session..]
                        .iter()
                        .take_while(|&&at| at <= from && from > 0)
                        .count();
                    first_dial += dials[first_dial..]
                        .iter()
                        .take_while(|&&at| at < from)
                        .count();
                    let most = free + share * (sessions.len() - first_session) as f64;
                    let left = most - (dials.len() - first_dial) as f64;
                    assert!(left >= 0.0, "seed {seed}: {left} left at {now}");
                    least_left = least_left.min(left);
                }
            }
            assert!(
                least_left < 1.0 && dials.len() > 300,
                "seed {seed}: {} dials",
                dials.len()
            );
            let kept = lanes
                .all
                .sessions
                .rows
                .len()
                .max(lanes.all.dials.rows.len());
            assert!(kept <= PLACES, "{kept} places");
        }
    }

    #[test]
    fn what_is_promised_never_sent_or_another_processs_counts_as_it_should() {
        let (mut lanes, row, ration) = (
            Lanes::default(),
            Route::default(),
            RetryBudget {
                free: 2.0,
                share: 0.0,
                window: Duration::from_millis(5_000),
            },
        );
        lanes.limit(Some(ration));
        lanes.promise(&row, true);
        assert!(
            lanes.pay(NOW, &row, Extra::Further) && !lanes.pay(NOW, &row, Extra::Further),
            "one is promised"
        );
        lanes.promise(&row, false);
        assert!(lanes.pay(NOW, &row, Extra::Further) && !lanes.pay(NOW, &row, Extra::Second));
        lanes.give_back(NOW);
        assert!(lanes.pay(NOW, &row, Extra::Second), "one was never sent");
        lanes.give_back(NOW - Duration::from_micros(1));
        assert!(
            !lanes.pay(NOW, &row, Extra::Further),
            "one that has passed out gives nothing of the others back"
        );
        let later = NOW + Duration::from_millis(6_000);
        lanes.beside(None);
        assert!(
            !lanes.pay(later, &row, Extra::Further),
            "what is free is the other process's"
        );
        lanes.beside(Some(later));
        for (after, may) in [(4_999, false), (5_000, true)] {
            assert_eq!(
                lanes.pay(later + Duration::from_millis(after), &row, Extra::Further),
                may,
                "{after} ms after its end"
            );
        }
    }
}
