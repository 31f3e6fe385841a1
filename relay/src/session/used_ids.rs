//! The ids of requests that must not be repeated: each may run once, also if its client has left and
//! comes again with the same id, to this process or to the other one of a hot restart.
use std::collections::{BTreeMap, BTreeSet};
use thistlecroft::time::{Duration, Instant};

/// What happened to an id that must not be repeated, for the other process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum IdNotice {
    /// A session of this id is open.
    Opened(u64),
    /// The session has ended and can't have run.
    Released(u64),
    /// The session has ended, and the id is refused for this time.
    Used(u64, Duration),
}

/// The ids of ended sessions that may have run and must not run again, each until a repeat is no
/// longer expected. Their number is bounded: once there is no room, sessions that would need an
/// entry are rejected, and no id is forgotten before its time.
pub(super) struct UsedIds {
    until: BTreeMap<u64, Instant>,
    /// The ids in the order in which they are forgotten.
    by_time: BTreeSet<(Instant, u64)>,
    /// The ids of sessions that are open in the other process.
    elsewhere: BTreeSet<u64>,
    /// What the other process has not been told yet; none while no other process asks for it.
    notices: Option<Vec<IdNotice>>,
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
            elsewhere: BTreeSet::new(),
            notices: None,
            reserved: 0,
            capacity: memory_bytes / MEMORY_DIVISOR / ENTRY_BYTES,
        }
    }

    /// Returns whether a request with this id may have run and must not run again.
    pub(super) fn contains(&mut self, id: u64, now: Instant) -> bool {
        self.forget_expired(now);
        self.until.contains_key(&id) || self.is_open_elsewhere(id)
    }

    /// Returns whether a session of this id is open in the other process.
    pub(super) fn is_open_elsewhere(&self, id: u64) -> bool {
        self.elsewhere.contains(&id)
    }

    /// Reserves an entry for an open session. Returns false if there is no room.
    pub(super) fn reserve(&mut self, id: u64, now: Instant) -> bool {
        self.forget_expired(now);
        let has_room = self.until.len() + self.reserved < self.capacity;
        if has_room {
            self.reserved += 1;
            self.notify(IdNotice::Opened(id));
        }
        has_room
    }

    /// Reserves an entry for a session that is taken over from the other process and runs already,
    /// whether or not there is room.
    pub(super) fn reserve_adopted(&mut self, id: u64) {
        self.reserved += 1;
        self.elsewhere.remove(&id);
        self.notify(IdNotice::Opened(id));
    }

    /// Releases the reserved entry of a session that the other process has taken over.
    pub(super) fn release_handed_over(&mut self) {
        self.reserved -= 1;
    }

    /// Releases the reserved entry of a session that can't have run.
    pub(super) fn release(&mut self, id: u64) {
        self.reserved -= 1;
        self.notify(IdNotice::Released(id));
    }

    /// Uses the reserved entry of a session that may have run: its id must not run again until this
    /// time.
    pub(super) fn insert_reserved(&mut self, id: u64, until: Instant, now: Instant) {
        self.reserved -= 1;
        self.notify(IdNotice::Used(id, until.duration_since(now)));
        self.insert(id, until);
    }

    /// Begins to note what the other process has to be told, and returns all that it needs to know
    /// now, given the ids of the open sessions that have an entry.
    pub(super) fn start_sharing(
        &mut self,
        open: impl Iterator<Item = u64>,
        now: Instant,
    ) -> Vec<IdNotice> {
        self.forget_expired(now);
        self.notices = Some(Vec::new());
        let used = self.until.iter();
        let used = used.map(|(&id, until)| IdNotice::Used(id, until.duration_since(now)));
        let open = open.chain(self.elsewhere.iter().copied());
        open.map(IdNotice::Opened).chain(used).collect()
    }

    /// Returns what the other process has not been told yet.
    pub(super) fn take_notices(&mut self) -> Vec<IdNotice> {
        self.notices
            .as_mut()
            .map(std::mem::take)
            .unwrap_or_default()
    }

    /// Takes in what the other process has noticed.
    pub(super) fn apply(&mut self, notice: IdNotice, now: Instant) {
        match notice {
            IdNotice::Opened(id) => {
                self.elsewhere.insert(id);
            }
            IdNotice::Released(id) => {
                self.elsewhere.remove(&id);
            }
            IdNotice::Used(id, refused_for) => {
                self.elsewhere.remove(&id);
                self.insert(id, now + refused_for);
            }
        }
    }

    /// Stops noting what the other process has to be told.
    pub(super) fn stop_sharing(&mut self) {
        self.notices = None;
    }

    /// Handles the end of the other process: its open sessions may have run, and their clients may
    /// repeat them for as long as clients wait at most.
    pub(super) fn end_elsewhere(&mut self, longest_wait: Duration, now: Instant) {
        for id in std::mem::take(&mut self.elsewhere) {
            self.insert(id, now + longest_wait);
        }
    }

    fn notify(&mut self, notice: IdNotice) {
        if let Some(notices) = &mut self.notices {
            notices.push(notice);
        }
    }

    fn insert(&mut self, id: u64, until: Instant) {
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
