//! The table of client keys: bounded, aged, and as quick when it is full as when it is empty. What
//! a row says is the decisions' affair.
use crate::time::{Duration, Instant};
use std::collections::{BTreeMap, BTreeSet};

/// Against floods of new keys.
const HELD: usize = 20_000;
/// Several times the longest delay: an older count has no more to say.
const AGE: Duration = Duration::from_millis(120_000);

/// One client key, until it is old.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Client {
    pub failures: u32,
    /// When the connection that stands will have stood long enough to clear the count.
    pub clears_at: Option<Instant>,
}

#[derive(Default)]
pub struct Keys {
    rows: BTreeMap<u64, (Instant, Client)>,
    /// The same by when they were last touched, the stalest first.
    by_age: BTreeSet<(Instant, u64)>,
}

impl Keys {
    /// A key's row, touched now. In a full table the stalest makes room for a new one.
    pub fn touch(&mut self, key: u64, now: Instant) -> &mut Client {
        match self.rows.get(&key) {
            Some(&(touched, _)) => {
                self.by_age.remove(&(touched, key));
            }
            None if self.rows.len() >= HELD => {
                if let Some((_, stalest)) = self.by_age.pop_first() {
                    self.rows.remove(&stalest);
                }
            }
            None => {}
        }
        self.by_age.insert((now, key));
        let row = self.rows.entry(key).or_default();
        row.0 = now;
        &mut row.1
    }

    /// Rows that nobody has touched for too long go.
    pub fn forget_old(&mut self, now: Instant) {
        while let Some(&(touched, key)) = self
            .by_age
            .first()
            .filter(|(at, _)| now.duration_since(*at) >= AGE)
        {
            self.by_age.remove(&(touched, key));
            self.rows.remove(&key);
        }
    }

    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Instant {
        Instant::from_micros(ms * 1_000)
    }

    #[test]
    fn the_stalest_makes_room_and_old_rows_go() {
        let mut keys = Keys::default();
        for key in 0..HELD as u64 {
            keys.touch(key, at(key)).failures = 1;
        }
        // Touched again it is the youngest; the next oldest makes room for each new one.
        keys.touch(0, at(30_000)).failures += 1;
        for key in 0..10 {
            assert_eq!(keys.touch(1_000_000 + key, at(30_001)), &Client::default());
        }
        assert_eq!(keys.len(), HELD);
        assert_eq!(keys.touch(0, at(30_002)).failures, 2);
        assert_eq!(keys.touch(11, at(30_003)).failures, 1, "still there");
        assert_eq!(keys.touch(1, at(30_004)).failures, 0, "the stalest went");
        keys.forget_old(at(30_000) + AGE);
        assert_eq!(keys.len(), 13);
        keys.forget_old(at(30_005) + AGE);
        assert!(keys.is_empty() && keys.by_age.is_empty());
    }
}
