//! What relays tell each other: rows `(kind, subject, owner, epoch, value, age)`. Merging commutes,
//! associates and repeats harmlessly: of one key the greater `(epoch, value)` stays, and of one row
//! the greater age, which every way it came bounds from below. Which keys a full table keeps
//! depends on the keys alone, so that bounded tables merge alike too.
use crate::identity::Identity;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thistlecroft::time::{Duration, Instant};

/// What rows may be about. The number is the wire's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A backend taken out by hand.
    Ban,
    /// A backend judged unwell.
    Ejection,
    /// A start of a backend, seen by evidence.
    Start,
    /// Part of a limit.
    Share,
    /// Work in hand.
    Work,
    /// An operator's own note.
    Note,
}

impl Kind {
    pub const ALL: [Kind; 6] = [
        Kind::Ban,
        Kind::Ejection,
        Kind::Start,
        Kind::Share,
        Kind::Work,
        Kind::Note,
    ];

    /// A row that its owner has not said again for so long is forgotten, in periods.
    fn life(self) -> f64 {
        match self {
            Kind::Ban => 600.0,
            Kind::Ejection | Kind::Start => 60.0,
            Kind::Share | Kind::Work | Kind::Note => 120.0,
        }
    }
}

pub const LONGEST_SUBJECT: usize = 48;
pub const LONGEST_VALUE: usize = 96;
/// Rows of one table, and of one owner: more than these cost every relay memory and datagrams.
pub const MOST_ROWS: usize = 4_096;
pub const MOST_OWN: usize = 1_024;

/// Of what row there is one at most.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    pub kind: Kind,
    pub subject: Vec<u8>,
    pub owner: Identity,
}

/// A row as it is passed on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FactRow {
    pub kind: Kind,
    pub subject: Vec<u8>,
    pub owner: Identity,
    pub epoch: u64,
    pub value: Vec<u8>,
    /// Milliseconds since its owner said it, at least.
    pub age_ms: u32,
}

impl FactRow {
    pub(crate) fn is_sound(&self) -> bool {
        self.subject.len() <= LONGEST_SUBJECT && self.value.len() <= LONGEST_VALUE
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Held {
    epoch: u64,
    value: Vec<u8>,
    /// Not later than this it was said, by this relay's clock.
    said: Instant,
}

/// A fact as it is read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fact<'a> {
    pub subject: &'a [u8],
    pub owner: &'a Identity,
    pub epoch: u64,
    pub value: &'a [u8],
    /// At least so long ago its owner said it: the times on the way are not counted.
    pub age: Duration,
}

#[derive(Clone, Debug)]
pub struct Facts {
    rows: BTreeMap<Key, Held>,
    period: Duration,
    /// Own sayings so far: an epoch is never used twice, also not for what was withdrawn and is
    /// said again, which others may still hold.
    said: u64,
    /// Rows that did not fit.
    pub refused: u64,
}

impl Facts {
    pub fn new(period: Duration) -> Facts {
        Facts {
            rows: BTreeMap::new(),
            period,
            said: 0,
            refused: 0,
        }
    }

    fn life(&self, kind: Kind) -> Duration {
        self.period * kind.life()
    }

    /// Takes a row in; if that changed anything but an age.
    pub fn merge(&mut self, row: &FactRow, now: Instant) -> bool {
        let age = Duration::from_millis(u64::from(row.age_ms));
        if age >= self.life(row.kind) {
            return false;
        }
        let said = now - age;
        let key = Key {
            kind: row.kind,
            subject: row.subject.clone(),
            owner: row.owner.clone(),
        };
        if let Some(held) = self.rows.get_mut(&key) {
            let (old, new) = ((held.epoch, &held.value), (row.epoch, &row.value));
            if new < old {
                return false;
            }
            if new == old {
                held.said = held.said.min(said);
                return false;
            }
            *held = Held {
                epoch: row.epoch,
                value: row.value.clone(),
                said,
            };
            return true;
        }
        self.rows.insert(
            key.clone(),
            Held {
                epoch: row.epoch,
                value: row.value.clone(),
                said,
            },
        );
        if self.rows.len() > MOST_ROWS {
            // The last in the order of keys, whichever came first.
            self.refused += 1;
            return self.rows.pop_last().is_some_and(|(last, _)| last != key);
        }
        true
    }

    /// Says a fact as its owner; false where the owner has too many, or it is too long.
    pub fn announce(
        &mut self,
        owner: &Identity,
        kind: Kind,
        subject: &[u8],
        value: &[u8],
        now: Instant,
    ) -> bool {
        let key = Key {
            kind,
            subject: subject.to_vec(),
            owner: owner.clone(),
        };
        let fresh = !self.rows.contains_key(&key);
        let epoch = self.said + 1;
        let row = FactRow {
            kind,
            subject: key.subject,
            owner: key.owner,
            epoch,
            value: value.to_vec(),
            age_ms: 0,
        };
        let own = self.rows.keys().filter(|key| key.owner == *owner).count();
        if !row.is_sound() || fresh && own >= MOST_OWN {
            self.refused += 1;
            return false;
        }
        self.said = epoch;
        self.merge(&row, now)
    }

    /// Rows of an owner that want saying again: a third of their life has passed.
    pub fn stale_of(&self, owner: &Identity, now: Instant) -> Vec<Key> {
        let old = |(key, held): &(&Key, &Held)| {
            key.owner == *owner
                && now.duration_since(held.said) >= self.life(key.kind) * (1.0 / 3.0)
        };
        self.rows
            .iter()
            .filter(old)
            .map(|(key, _)| key.clone())
            .collect()
    }

    /// Said again, with nothing changed but epoch and age.
    pub fn refresh(&mut self, key: &Key, now: Instant) {
        if let Some(held) = self.rows.get_mut(key) {
            self.said += 1;
            (held.epoch, held.said) = (self.said, now);
        }
    }

    /// Not said any more by its owner: forgotten here now, and elsewhere by age.
    pub fn withdraw(&mut self, owner: &Identity, kind: Kind, subject: &[u8]) -> bool {
        let key = Key {
            kind,
            subject: subject.to_vec(),
            owner: owner.clone(),
        };
        self.rows.remove(&key).is_some()
    }

    pub fn forget(&mut self, now: Instant) -> Vec<Key> {
        let over =
            |(key, held): &(&Key, &Held)| now.duration_since(held.said) >= self.life(key.kind);
        let gone: Vec<Key> = self
            .rows
            .iter()
            .filter(over)
            .map(|(key, _)| key.clone())
            .collect();
        gone.iter().for_each(|key| drop(self.rows.remove(key)));
        gone
    }

    pub fn row(&self, key: &Key, now: Instant) -> Option<FactRow> {
        let held = self.rows.get(key)?;
        Some(FactRow {
            kind: key.kind,
            subject: key.subject.clone(),
            owner: key.owner.clone(),
            epoch: held.epoch,
            value: held.value.clone(),
            age_ms: u32::try_from(now.duration_since(held.said).as_millis()).unwrap_or(u32::MAX),
        })
    }

    pub fn keys(&self) -> impl Iterator<Item = &Key> {
        self.rows.keys()
    }

    pub fn of_kind(&self, kind: Kind, now: Instant) -> impl Iterator<Item = Fact<'_>> {
        self.rows
            .iter()
            .filter(move |(key, _)| key.kind == kind)
            .map(move |(key, held)| Fact {
                subject: &key.subject,
                owner: &key.owner,
                epoch: held.epoch,
                value: &held.value,
                age: now.duration_since(held.said),
            })
    }

    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Of all rows, ages left out.
    pub(crate) fn digest(&self) -> u64 {
        self.rows.iter().fold(0, |sum, (key, held)| {
            let mut hasher = blake3::Hasher::new();
            hasher
                .update(&[key.kind as u8])
                .update(&key.subject)
                .update(key.owner.name.as_bytes());
            hasher
                .update(&key.owner.run.to_le_bytes())
                .update(&held.epoch.to_le_bytes())
                .update(&held.value);
            sum ^ crate::first_eight(hasher.finalize().as_bytes())
        })
    }
}
