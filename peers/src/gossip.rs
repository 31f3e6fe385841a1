//! The queue of updates to spread by gossip. The number of times that an update is sent grows with
//! the logarithm of the fleet's size. The updates that were sent least often are sent first.
use crate::identity::Identity;
use crate::shared_state::EntryKey;
use std::collections::{BTreeMap, BTreeSet};

/// The member or entry that an update is about. The content is looked up when the update is sent,
/// so that it is always current.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Update {
    Member(Identity),
    Entry(EntryKey),
}

/// How many times an update is sent, as a multiple of the binary logarithm of the fleet's size.
const RETRANSMIT_FACTOR: u32 = 3;

/// The sort key of an update in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    times_sent: u32,
    /// Decreases with each insertion, so that of the updates sent equally often, those inserted
    /// last are sent first.
    reverse_serial: u64,
}

/// The updates to spread, in the order in which to send them.
#[derive(Clone, Debug, Default)]
pub(crate) struct GossipQueue {
    queue: BTreeSet<(Position, Update)>,
    positions: BTreeMap<Update, Position>,
    serial: u64,
}

/// Returns how many times one relay sends an update in a fleet of this size.
fn max_transmissions(size: usize) -> u32 {
    RETRANSMIT_FACTOR * (usize::BITS - size.leading_zeros()).max(1)
}

impl GossipQueue {
    /// Queues an update as one that has not been sent yet.
    pub(crate) fn add(&mut self, update: Update) {
        self.remove(&update);
        self.insert(0, update);
    }

    pub(crate) fn remove(&mut self, update: &Update) {
        if let Some(position) = self.positions.remove(update) {
            self.queue.remove(&(position, update.clone()));
        }
    }

    fn insert(&mut self, times_sent: u32, update: Update) {
        self.serial += 1;
        let position = Position {
            times_sent,
            reverse_serial: u64::MAX - self.serial,
        };
        self.positions.insert(update.clone(), position);
        self.queue.insert((position, update));
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns all updates, in the order in which to send them.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Update> {
        self.queue.iter().map(|(_, update)| update)
    }

    /// Counts a transmission of these updates and drops those that were sent often enough.
    pub(crate) fn note_sent(&mut self, updates: &[Update], size: usize) {
        for update in updates {
            let Some(&Position { times_sent, .. }) = self.positions.get(update) else {
                continue;
            };
            self.remove(update);
            if times_sent + 1 < max_transmissions(size) {
                self.insert(times_sent + 1, update.clone());
            }
        }
    }
}
