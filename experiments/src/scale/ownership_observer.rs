//! Records which member was observed to own which subject and when, and finds subjects that two
//! members owned at the same time.
use serde::{Deserialize, Serialize};
use thistlecroft::time::Instant;

/// A time span in which a member was observed to own a subject under one epoch of its lease. Each
/// grant of a lease has an epoch of its own, so the member did not lose the lease between the first
/// and the last observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The subject.
    pub subject: usize,
    /// The member that held it.
    pub owner: usize,
    /// The epoch of the lease.
    pub epoch: u64,
    /// Time of the first observation, in microseconds.
    pub first_us: u64,
    /// Time of the last observation, in microseconds.
    pub last_us: u64,
}

/// Records which members hold which subjects. The times of all observations must be of one clock.
#[derive(Clone, Debug, Default)]
pub struct OwnershipObserver {
    /// For each subject: the latest holding of each member that was observed to hold it.
    latest: Vec<Vec<Holding>>,
    /// Holdings that were followed by another holding of the same subject by the same member.
    previous: Vec<Holding>,
}

impl OwnershipObserver {
    /// Records the subjects that `owner` holds at `now`, with their epochs.
    pub fn observe(
        &mut self,
        owner: usize,
        holdings: impl Iterator<Item = (usize, u64)>,
        now: Instant,
    ) {
        for (subject, epoch) in holdings {
            if subject >= self.latest.len() {
                self.latest.resize_with(subject + 1, Vec::new);
            }
            let new_holding = Holding {
                subject,
                owner,
                epoch,
                first_us: now.as_micros(),
                last_us: now.as_micros(),
            };
            match self.latest[subject]
                .iter_mut()
                .find(|known| known.owner == owner)
            {
                Some(known) if known.epoch == epoch => known.last_us = now.as_micros(),
                Some(known) => self.previous.push(std::mem::replace(known, new_holding)),
                None => self.latest[subject].push(new_holding),
            }
        }
    }

    /// Returns all observed holdings.
    pub fn into_holdings(self) -> Vec<Holding> {
        self.previous
            .into_iter()
            .chain(self.latest.into_iter().flatten())
            .collect()
    }
}

/// Counts consecutive holdings of one subject by two members that overlap in time.
pub(super) fn two_owners(holdings: &[Holding]) -> usize {
    let mut sorted = holdings.to_vec();
    sorted.sort_by_key(|one| (one.subject, one.first_us, one.owner));
    let overlap = |pair: &&[Holding]| {
        let (one, next) = (pair[0], pair[1]);
        one.subject == next.subject && one.owner != next.owner && next.first_us <= one.last_us
    };
    sorted.windows(2).filter(overlap).count()
}

/// Counts the holdings whose epoch is not above that of the previous holding of the subject.
pub(super) fn epochs_not_grown(holdings: &[Holding]) -> usize {
    let mut sorted = holdings.to_vec();
    sorted.sort_by_key(|one| (one.subject, one.first_us));
    let did_not_grow =
        |pair: &&[Holding]| pair[0].subject == pair[1].subject && pair[1].epoch <= pair[0].epoch;
    sorted.windows(2).filter(did_not_grow).count()
}

#[cfg(test)]
mod tests;
