//! Who was seen to own what and when, and whether two did at once.
use serde::{Deserialize, Serialize};
use thistlecroft::time::Instant;

/// One holding of a subject, as its owner was seen with it: from the first look to the last. The
/// epoch is one holding's alone, so in between it was not lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The subject.
    pub subject: usize,
    /// The member that held it.
    pub owner: usize,
    /// The epoch of the lease.
    pub epoch: u64,
    /// When it was first seen, in microseconds.
    pub first_us: u64,
    /// When it was last seen, in microseconds.
    pub last_us: u64,
}

/// Looks at what processes hold, by one clock.
#[derive(Clone, Debug, Default)]
pub struct OwnershipObserver {
    /// By subject: the last holding of each that was seen with it.
    last: Vec<Vec<Holding>>,
    past: Vec<Holding>,
}

impl OwnershipObserver {
    /// Takes in what a process holds now.
    pub fn look(
        &mut self,
        owner: usize,
        holdings: impl Iterator<Item = (usize, u64)>,
        now: Instant,
    ) {
        for (subject, epoch) in holdings {
            if subject >= self.last.len() {
                self.last.resize_with(subject + 1, Vec::new);
            }
            let fresh = Holding {
                subject,
                owner,
                epoch,
                first_us: now.as_micros(),
                last_us: now.as_micros(),
            };
            match self.last[subject]
                .iter_mut()
                .find(|known| known.owner == owner)
            {
                Some(known) if known.epoch == epoch => known.last_us = now.as_micros(),
                Some(known) => self.past.push(std::mem::replace(known, fresh)),
                None => self.last[subject].push(fresh),
            }
        }
    }

    /// All holdings seen.
    pub fn into_holdings(self) -> Vec<Holding> {
        self.past
            .into_iter()
            .chain(self.last.into_iter().flatten())
            .collect()
    }
}

/// Pairs of holdings of one subject by two owners that overlap.
pub(super) fn two_owners(holdings: &[Holding]) -> usize {
    let mut sorted = holdings.to_vec();
    sorted.sort_by_key(|one| (one.subject, one.first_us, one.owner));
    let overlap = |pair: &&[Holding]| {
        let (one, next) = (pair[0], pair[1]);
        one.subject == next.subject && one.owner != next.owner && next.first_us <= one.last_us
    };
    sorted.windows(2).filter(overlap).count()
}

/// Holdings whose epoch is not above that of the one before.
pub(super) fn epochs_not_grown(holdings: &[Holding]) -> usize {
    let mut sorted = holdings.to_vec();
    sorted.sort_by_key(|one| (one.subject, one.first_us));
    let fell =
        |pair: &&[Holding]| pair[0].subject == pair[1].subject && pair[1].epoch <= pair[0].epoch;
    sorted.windows(2).filter(fell).count()
}

#[cfg(test)]
mod tests;
