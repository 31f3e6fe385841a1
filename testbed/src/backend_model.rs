//! What a box can do and what is asked of it, and the store that every set-up calls. No I/O: the
//! yard tells it what happens and when.
use std::collections::{BTreeMap, VecDeque};
use thistlecroft::time::{Duration, Instant};

/// How a box that has just started is weak, and what pushes it over.
#[derive(Clone, Copy, Debug)]
pub struct WarmUp {
    /// What it can do at its start, as a part of its capacity.
    pub initial_share: f64,
    /// Its share rises evenly to the whole over this time.
    pub duration: Duration,
    /// It falls over when sent more than this multiple of what it can do...
    pub overload_factor: f64,
    /// ...within any such time...
    pub overload_window: Duration,
    /// ...where what it can do is its capacity, taken anew once in each such time.
    pub turnover_time: Duration,
}

/// A kind of box.
#[derive(Clone, Copy, Debug)]
pub struct BackendCapacity {
    /// The load that fills it.
    pub full_load: f64,
    /// Connections that it holds at most.
    pub max_sessions: usize,
    /// Own work of a set-up, besides the store's.
    pub setup_time: Duration,
    /// What a group costs each box that holds any of it, in load.
    pub group_load: f64,
    pub warm_up: WarmUp,
}

/// Piled-up work counts up to this: nobody waits for longer.
const MOST_PILED: f64 = 30.0;

/// The work of one box from its start to its end.
pub struct BackendModel {
    make: BackendCapacity,
    cold_since: Option<Instant>,
    own: f64,
    held: usize,
    groups: BTreeMap<u64, u32>,
    piled: f64,
    reckoned: Instant,
    sent: VecDeque<(Instant, f64)>,
    pub worst_push: f64,
    /// How many times slower than its make it runs.
    pub slowness: f64,
}

impl BackendModel {
    pub fn start(make: BackendCapacity, now: Instant, cold: bool) -> BackendModel {
        BackendModel {
            make,
            cold_since: cold.then_some(now),
            own: 0.0,
            held: 0,
            groups: BTreeMap::new(),
            piled: 0.0,
            reckoned: now,
            sent: VecDeque::new(),
            worst_push: 0.0,
            slowness: 1.0,
        }
    }

    /// What it can do, as a part of its capacity.
    pub fn share(&self, now: Instant) -> f64 {
        let Some(since) = self.cold_since else {
            return 1.0;
        };
        let cold = &self.make.warm_up;
        let part = (now.duration_since(since).as_secs_f64()
            / cold.duration.as_secs_f64().max(1e-6))
        .min(1.0);
        cold.initial_share + (1.0 - cold.initial_share) * part
    }

    pub fn held(&self) -> usize {
        self.held
    }

    pub fn is_full(&self) -> bool {
        self.held >= self.make.max_sessions
    }

    /// Load asked over what it can do now.
    pub fn load(&self, now: Instant) -> f64 {
        let asked = self.own + self.make.group_load * self.groups.len() as f64;
        asked * self.slowness / (self.make.full_load * self.share(now)).max(1e-9)
    }

    /// A dial came, whatever is made of it; true if that pushed the box over. The largest one
    /// within the window is let pass, since a single connection may be larger than the budget of a
    /// small box.
    pub fn sent(&mut self, now: Instant, load: f64) -> bool {
        let cold = self.make.warm_up;
        let share = self.share(now);
        if share >= 1.0 {
            return false;
        }
        self.sent.push_back((now, load));
        while self
            .sent
            .front()
            .is_some_and(|&(at, _)| now.duration_since(at) > cold.overload_window)
        {
            self.sent.pop_front();
        }
        let sum: f64 = self.sent.iter().map(|&(_, load)| load).sum();
        let largest = self.sent.iter().map(|&(_, load)| load).fold(0.0, f64::max);
        let a_second = self.make.full_load * share / cold.turnover_time.as_secs_f64().max(1e-6);
        let pushed = (sum - largest)
            / (cold.overload_factor * a_second * cold.overload_window.as_secs_f64()).max(1e-9);
        self.worst_push = self.worst_push.max(pushed);
        pushed > 1.0
    }

    pub fn take(&mut self, now: Instant, load: f64, group: Option<u64>) {
        self.reckon(now);
        self.own += load;
        self.held += 1;
        if let Some(group) = group {
            *self.groups.entry(group).or_default() += 1;
        }
    }

    pub fn leave(&mut self, now: Instant, load: f64, group: Option<u64>) {
        self.reckon(now);
        self.own = (self.own - load).max(0.0);
        self.held = self.held.saturating_sub(1);
        if let Some(group) = group
            && let Some(count) = self.groups.get_mut(&group)
        {
            *count -= 1;
            if *count == 0 {
                self.groups.remove(&group);
            }
        }
    }

    /// Work that could not be done piles up and is worked off.
    fn reckon(&mut self, now: Instant) {
        let passed = now.duration_since(self.reckoned).as_secs_f64();
        self.piled = (self.piled + passed * (self.load(now) - 1.0)).clamp(0.0, MOST_PILED);
        self.reckoned = now;
    }

    /// How long a message takes here now.
    pub fn delay(&mut self, now: Instant) -> Duration {
        self.reckon(now);
        Duration::from_millis(1_000) * self.piled
    }

    /// Own work of a set-up now: slower the more is asked, and while cold.
    pub fn setup(&mut self, now: Instant) -> Duration {
        let delay = self.delay(now);
        let busy = 1.0 + self.load(now).min(4.0);
        delay + self.make.setup_time * (self.slowness * busy / self.share(now).max(0.05))
    }
}

/// What every set-up calls: so many calls in work at once, each for so long; the others wait their
/// turn.
pub struct SetupStore {
    each: Duration,
    free_at: Vec<Instant>,
}

impl SetupStore {
    /// `lanes` at least one.
    pub fn new(lanes: usize, each: Duration) -> SetupStore {
        SetupStore {
            each,
            free_at: vec![Instant::default(); lanes.max(1)],
        }
    }

    /// When a call made now is answered.
    pub fn call(&mut self, now: Instant) -> Instant {
        let first = self.free_at.iter_mut().min().expect("one lane at least");
        *first = now.max(*first) + self.each;
        *first
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MAKE: BackendCapacity = BackendCapacity {
        full_load: 18.0,
        max_sessions: 100,
        setup_time: Duration::from_millis(2),
        group_load: 1.5,
        warm_up: WarmUp {
            initial_share: 0.3,
            duration: Duration::from_millis(9_000),
            overload_factor: 3.0,
            overload_window: Duration::from_millis(3_000),
            turnover_time: Duration::from_millis(9_000),
        },
    };

    fn at(ms: u64) -> Instant {
        Instant::from_micros(ms * 1_000)
    }

    #[test]
    fn a_cold_box_falls_when_pushed_and_only_then() {
        // Connections of load 1, their distance in milliseconds, cold or not, and whether it falls:
        // at its start it can do 0.6 a second, and 5.4 within three seconds is the most that it
        // bears.
        let cases = [
            (6, 100, true, false),
            (8, 100, true, true),
            (40, 100, false, false),
            (60, 1_500, true, false),
            (3, 0, true, false),
        ];
        for (count, distance, cold, falls) in cases {
            let mut work = BackendModel::start(MAKE, at(0), cold);
            let fell = (0..count).any(|number| work.sent(at(number * distance), 1.0));
            assert_eq!(fell, falls, "{count} each {distance} ms, cold: {cold}");
        }
        // One alone may be larger than the budget.
        assert!(!BackendModel::start(MAKE, at(0), true).sent(at(0), 50.0));
    }

    #[test]
    fn load_and_piled_up_work_follow_what_is_asked() {
        let mut work = BackendModel::start(MAKE, at(0), false);
        for number in 0..18 {
            work.take(at(0), 1.0, Some(number % 2));
        }
        // Eighteen connections and two groups of one and a half.
        assert!((work.load(at(0)) - 21.0 / 18.0).abs() < 1e-9);
        assert_eq!(work.delay(at(0)), Duration::ZERO);
        let late = work.delay(at(6_000));
        assert!((late.as_secs_f64() - 1.0).abs() < 0.01, "{late:?}");
        for number in 0..18 {
            work.leave(at(6_000), 1.0, Some(number % 2));
        }
        assert_eq!((work.held(), work.load(at(6_000))), (0, 0.0));
        assert_eq!(work.delay(at(8_000)), Duration::ZERO);
        work.slowness = 8.0;
        work.take(at(8_000), 9.0, None);
        assert!((work.load(at(8_000)) - 4.0).abs() < 1e-9);
    }

    #[test]
    fn the_store_serves_in_turn() {
        let mut store = SetupStore::new(2, Duration::from_millis(10));
        let answered: Vec<u64> = (0..5).map(|_| store.call(at(0)).as_millis()).collect();
        assert_eq!(answered, [10, 10, 20, 20, 30]);
        assert_eq!(store.call(at(100)), at(110));
    }
}
