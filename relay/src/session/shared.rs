//! What all sessions share.
use crate::protocol::Names;
use std::collections::{BTreeMap, BTreeSet};
use thistlecroft::time::Instant;
use thistlecroft_operator_config::RouteTable;

/// What a session needs to know of the whole.
pub(super) struct Shared {
    pub(super) names: Names,
    pub(super) routing: RouteTable,
    /// How often routes have been read, and sessions by the reading that they go by.
    pub(super) generation: u32,
    pub(super) generations: BTreeMap<u32, usize>,
    /// Descriptors that sessions may take together.
    pub(super) most_sockets: usize,
    /// Ids of sessions that are open: a backend turns a second one of the same id away, and the
    /// blame would fall on it.
    pub(super) claimed: BTreeSet<u64>,
    /// Sessions that hold a descriptor for nothing: first those that have had their last word, then
    /// the others, the longest silent first.
    pub(super) idle: BTreeSet<Idle>,
}

/// Not parted yet, silent since, and whose.
pub(super) type Idle = (bool, Instant, u32);

impl Shared {
    pub(super) fn enter(&mut self) -> u32 {
        *self.generations.entry(self.generation).or_default() += 1;
        self.generation
    }

    pub(super) fn forget(&mut self, generation: u32) {
        let Some(count) = self.generations.get_mut(&generation) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.generations.remove(&generation);
            if generation != self.generation {
                log::debug!(generation; "the last session by generation {generation} of the charter has ended");
            }
        }
    }
}
