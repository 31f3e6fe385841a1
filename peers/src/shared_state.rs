//! State that relays share by gossip: a bounded, replicated table of entries with an owner and a
//! time to live.
//!
//! Merging is commutative, associative and idempotent. Of two entries with the same key, the one
//! with the greater `(epoch, value)` is kept; if these are equal, the greater age is kept. The age
//! of an entry is a lower bound, since the time in transit is not counted. Which entries a full
//! table keeps depends only on their keys, so that full tables converge as well.
use crate::identity::Identity;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thistlecroft::time::{Duration, Instant};

/// The kind of information in an entry. The order of the variants defines the encoding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum EntryKind {
    /// A backend that an operator has banned.
    Ban,
    /// A backend ejected as an outlier.
    Ejection,
    /// The observed start of a backend.
    Start,
    /// A relay's share of a shared quota.
    Share,
    /// Load in flight.
    Work,
    /// An operator's note.
    Note,
}

impl EntryKind {
    /// All kinds, in the order of the variants.
    pub const ALL: [EntryKind; 6] = [
        EntryKind::Ban,
        EntryKind::Ejection,
        EntryKind::Start,
        EntryKind::Share,
        EntryKind::Work,
        EntryKind::Note,
    ];

    /// Returns how long an entry is kept without a refresh by its owner, in probe intervals.
    fn time_to_live(self) -> f64 {
        match self {
            EntryKind::Ban => 600.0,
            EntryKind::Ejection | EntryKind::Start => 60.0,
            EntryKind::Share | EntryKind::Work | EntryKind::Note => 120.0,
        }
    }
}

/// The longest subject, in bytes.
pub const MAX_SUBJECT_BYTES: usize = 48;
/// The longest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 96;
/// The most entries of a table. Each entry costs every relay memory and datagrams.
pub const MAX_ENTRIES: usize = 4_096;
/// The most entries that one owner announces.
pub const MAX_OWN_ENTRIES: usize = 1_024;

/// The key that identifies an entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EntryKey {
    /// The kind of information.
    pub kind: EntryKind,
    /// The thing that the entry is about, such as a backend.
    pub subject: Vec<u8>,
    /// The process that announces the entry.
    pub owner: Identity,
}

/// An entry as relays exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The kind of information.
    pub kind: EntryKind,
    /// The thing that the entry is about, such as a backend.
    pub subject: Vec<u8>,
    /// The process that announces the entry.
    pub owner: Identity,
    /// The number of the announcement, which grows with each announcement of the owner.
    pub epoch: u64,
    /// The value.
    pub value: Vec<u8>,
    /// The least time that has passed since the owner announced the entry, in milliseconds.
    pub age_ms: u32,
}

impl Entry {
    /// Returns the key of this entry.
    pub(crate) fn key(&self) -> EntryKey {
        EntryKey {
            kind: self.kind,
            subject: self.subject.clone(),
            owner: self.owner.clone(),
        }
    }

    pub(crate) fn is_valid(&self) -> bool {
        self.subject.len() <= MAX_SUBJECT_BYTES && self.value.len() <= MAX_VALUE_BYTES
    }
}

/// An entry as the table keeps it under its key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct StoredEntry {
    epoch: u64,
    value: Vec<u8>,
    /// The latest time at which the owner can have announced the entry, by this relay's clock.
    announced: Instant,
}

/// An entry as callers read it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryView<'a> {
    /// The thing that the entry is about, such as a backend.
    pub subject: &'a [u8],
    /// The process that announced the entry.
    pub owner: &'a Identity,
    /// The number of the announcement, which grows with each announcement of the owner.
    pub epoch: u64,
    /// The value.
    pub value: &'a [u8],
    /// The least time that has passed since the owner announced the entry.
    pub age: Duration,
}

/// The table of entries.
#[derive(Clone, Debug)]
pub struct SharedState {
    entries: BTreeMap<EntryKey, StoredEntry>,
    probe_interval: Duration,
    /// The epoch of this relay's last announcement. No epoch is used twice, not even after an entry
    /// was withdrawn, since other relays may still have the old entry.
    last_epoch: u64,
    /// The number of entries rejected because the table was full, the owner had too many entries,
    /// or the entry was too long.
    pub rejected: u64,
}

impl SharedState {
    /// Creates an empty table. The time to live of entries is a multiple of the probe interval.
    pub fn new(probe_interval: Duration) -> SharedState {
        SharedState {
            entries: BTreeMap::new(),
            probe_interval,
            last_epoch: 0,
            rejected: 0,
        }
    }

    fn time_to_live(&self, kind: EntryKind) -> Duration {
        self.probe_interval * kind.time_to_live()
    }

    /// Merges an entry. Returns whether that changed more than the age of an entry.
    pub fn merge(&mut self, entry: &Entry, now: Instant) -> bool {
        let age = Duration::from_millis(u64::from(entry.age_ms));
        if age >= self.time_to_live(entry.kind) {
            return false;
        }
        let announced = now - age;
        let key = entry.key();
        if let Some(stored) = self.entries.get_mut(&key) {
            let (old, new) = ((stored.epoch, &stored.value), (entry.epoch, &entry.value));
            if new < old {
                return false;
            }
            if new == old {
                stored.announced = stored.announced.min(announced);
                return false;
            }
            *stored = StoredEntry {
                epoch: entry.epoch,
                value: entry.value.clone(),
                announced,
            };
            return true;
        }
        self.entries.insert(
            key.clone(),
            StoredEntry {
                epoch: entry.epoch,
                value: entry.value.clone(),
                announced,
            },
        );
        if self.entries.len() > MAX_ENTRIES {
            // The last entry in the order of keys is dropped, independent of the order of arrival.
            self.rejected += 1;
            return self.entries.pop_last().is_some_and(|(last, _)| last != key);
        }
        true
    }

    /// Announces an entry as its owner. Returns false if the entry was not accepted: the owner has
    /// too many entries, the entry is too long, or the table is full.
    pub fn announce(
        &mut self,
        owner: &Identity,
        kind: EntryKind,
        subject: &[u8],
        value: &[u8],
        now: Instant,
    ) -> bool {
        let key = EntryKey {
            kind,
            subject: subject.to_vec(),
            owner: owner.clone(),
        };
        let is_new = !self.entries.contains_key(&key);
        let epoch = self.last_epoch + 1;
        let entry = Entry {
            kind,
            subject: key.subject,
            owner: key.owner,
            epoch,
            value: value.to_vec(),
            age_ms: 0,
        };
        let own = self
            .entries
            .keys()
            .filter(|key| key.owner == *owner)
            .count();
        if !entry.is_valid() || is_new && own >= MAX_OWN_ENTRIES {
            self.rejected += 1;
            return false;
        }
        self.last_epoch = epoch;
        self.merge(&entry, now)
    }

    /// Returns the entries of an owner that are due for a refresh, which is after a third of their
    /// time to live.
    pub fn entries_to_refresh(&self, owner: &Identity, now: Instant) -> Vec<EntryKey> {
        let is_due = |(key, stored): &(&EntryKey, &StoredEntry)| {
            key.owner == *owner
                && now.duration_since(stored.announced) >= self.time_to_live(key.kind) * (1.0 / 3.0)
        };
        self.entries
            .iter()
            .filter(is_due)
            .map(|(key, _)| key.clone())
            .collect()
    }

    /// Announces an entry again with the same value.
    pub fn refresh(&mut self, key: &EntryKey, now: Instant) {
        if let Some(stored) = self.entries.get_mut(key) {
            self.last_epoch += 1;
            (stored.epoch, stored.announced) = (self.last_epoch, now);
        }
    }

    /// Removes an entry of this relay, and returns whether it existed. Other relays remove the
    /// entry when it expires.
    pub fn withdraw(&mut self, owner: &Identity, kind: EntryKind, subject: &[u8]) -> bool {
        let key = EntryKey {
            kind,
            subject: subject.to_vec(),
            owner: owner.clone(),
        };
        self.entries.remove(&key).is_some()
    }

    /// Removes expired entries and returns their keys.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<EntryKey> {
        let is_expired = |(key, stored): &(&EntryKey, &StoredEntry)| {
            now.duration_since(stored.announced) >= self.time_to_live(key.kind)
        };
        let expired: Vec<EntryKey> = self
            .entries
            .iter()
            .filter(is_expired)
            .map(|(key, _)| key.clone())
            .collect();
        expired
            .iter()
            .for_each(|key| drop(self.entries.remove(key)));
        expired
    }

    /// Returns an entry with its current age, as it is sent to others.
    pub fn entry(&self, key: &EntryKey, now: Instant) -> Option<Entry> {
        let stored = self.entries.get(key)?;
        Some(Entry {
            kind: key.kind,
            subject: key.subject.clone(),
            owner: key.owner.clone(),
            epoch: stored.epoch,
            value: stored.value.clone(),
            age_ms: u32::try_from(now.duration_since(stored.announced).as_millis())
                .unwrap_or(u32::MAX),
        })
    }

    /// Returns the keys of all entries.
    pub fn keys(&self) -> impl Iterator<Item = &EntryKey> {
        self.entries.keys()
    }

    /// Returns all entries of a kind.
    pub fn of_kind(&self, kind: EntryKind, now: Instant) -> impl Iterator<Item = EntryView<'_>> {
        self.entries
            .iter()
            .filter(move |(key, _)| key.kind == kind)
            .map(move |(key, stored)| EntryView {
                subject: &key.subject,
                owner: &key.owner,
                epoch: stored.epoch,
                value: &stored.value,
                age: now.duration_since(stored.announced),
            })
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns a digest of all entries without their ages.
    pub(crate) fn digest(&self) -> u64 {
        self.entries.iter().fold(0, |sum, (key, stored)| {
            let mut hasher = blake3::Hasher::new();
            hasher
                .update(&[key.kind as u8])
                .update(&key.subject)
                .update(key.owner.name.as_bytes());
            hasher
                .update(&key.owner.run.to_le_bytes())
                .update(&stored.epoch.to_le_bytes())
                .update(&stored.value);
            sum ^ crate::leading_u64(hasher.finalize().as_bytes())
        })
    }
}
