//! The ids of requests that must not be repeated: each may run once, also if its client has left and
//! comes again with the same id.
use std::collections::{BTreeMap, BTreeSet};
use thistlecroft::time::Instant;

/// The ids of ended sessions that may have run and must not run again, each until a repeat is no
/// longer expected. Their number is bounded: once there is no room, sessions that would need an
/// entry are rejected, and no id is forgotten before its time.
pub(super) struct UsedIds {
    until: BTreeMap<u64, Instant>,
    /// The ids in the order in which they are forgotten.
    by_time: BTreeSet<(Instant, u64)>,
    /// The number of ids that open sessions may still need an entry for.
    reserved: usize,
    capacity: usize,
}

/// An upper estimate of the memory of one entry in both collections, in bytes.
const ENTRY_BYTES: usize = 96;

/// The share of the memory limit that the entries may take.
const MEMORY_DIVISOR: usize = 16;

impl UsedIds {
    /// Creates an empty set for a process with this memory limit in bytes.
    pub(super) fn new(memory_bytes: usize) -> UsedIds {
        UsedIds {
            until: BTreeMap::new(),
            by_time: BTreeSet::new(),
            reserved: 0,
            capacity: memory_bytes / MEMORY_DIVISOR / ENTRY_BYTES,
        }
    }

    /// Returns whether a request with this id may have run and must not run again.
    pub(super) fn contains(&mut self, id: u64, now: Instant) -> bool {
        self.forget_expired(now);
        self.until.contains_key(&id)
    }

    /// Reserves an entry for an open session. Returns false if there is no room.
    pub(super) fn reserve(&mut self, now: Instant) -> bool {
        self.forget_expired(now);
        let has_room = self.until.len() + self.reserved < self.capacity;
        self.reserved += usize::from(has_room);
        has_room
    }

    /// Reserves an entry for a session that runs already, whether or not there is room.
    pub(super) fn reserve_beyond_capacity(&mut self) {
        self.reserved += 1;
    }

    /// Releases the reserved entry of a session that can't have run.
    pub(super) fn release(&mut self) {
        self.reserved -= 1;
    }

    /// Uses the reserved entry of a session that may have run: its id must not run again until this
    /// time.
    pub(super) fn insert_reserved(&mut self, id: u64, until: Instant) {
        self.reserved -= 1;
        if let Some(earlier) = self.until.insert(id, until) {
            self.by_time.remove(&(earlier, id));
        }
        self.by_time.insert((until, id));
    }

    fn forget_expired(&mut self, now: Instant) {
        while let Some(&(until, id)) = self.by_time.first().filter(|(until, _)| *until <= now) {
            self.by_time.remove(&(until, id));
            self.until.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
