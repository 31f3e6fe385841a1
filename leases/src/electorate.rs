//! The voters, and what counts as a majority of them.
use compact_str::CompactString;
use thistlecroft::time::{Duration, Instant};

/// The most that the speed of a clock may deviate from true time, as a fraction.
pub const MAX_CLOCK_DRIFT: f64 = 0.01;

/// The named voters. A change of voters goes through a joint step in which majorities of the old
/// set and of the new one are both needed; each step raises `generation`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Electorate {
    /// The number of this configuration.
    pub generation: u32,
    /// The names of the voters.
    pub voters: Vec<CompactString>,
    /// The names of the previous voters during a change of voters, when a majority of them is
    /// needed as well; otherwise empty.
    pub previous_voters: Vec<CompactString>,
}

impl Electorate {
    /// Returns the least number of voters that is a majority of this set.
    pub fn majority(voters: &[CompactString]) -> usize {
        voters.len() / 2 + 1
    }

    /// Returns the voters of both sets, each once.
    pub fn all_voters(&self) -> impl Iterator<Item = &CompactString> {
        self.voters.iter().chain(
            self.previous_voters
                .iter()
                .filter(|name| !self.voters.contains(name)),
        )
    }

    /// Returns whether the voters for which `agrees` holds are a majority of each set.
    pub fn has_quorum(&self, agrees: impl Fn(&str) -> bool) -> bool {
        let has_majority = |set: &[CompactString]| {
            set.iter().filter(|name| agrees(name)).count() >= Electorate::majority(set)
        };
        !self.voters.is_empty()
            && has_majority(&self.voters)
            && (self.previous_voters.is_empty() || has_majority(&self.previous_voters))
    }

    /// Returns the same sets, with voters by their index in [`Electorate::all_voters`].
    pub(crate) fn quorums(&self) -> Quorums {
        let position = |name: &CompactString| self.all_voters().position(|voter| voter == name);
        let set = |names: &[CompactString]| names.iter().filter_map(position).collect();
        let mut sets: Vec<VoterSet> = vec![set(&self.voters)];
        if !self.previous_voters.is_empty() {
            sets.push(set(&self.previous_voters));
        }
        Quorums { sets }
    }
}

/// The duration of leases and the processes that grant them, the same at all processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// The processes that grant leases.
    pub electorate: Electorate,
    /// How long a voter keeps what it granted, counted from the receipt of the request.
    pub term: Duration,
    /// The most bytes per second that this process sends to attach and detach subjects. Renewals do
    /// not count.
    pub update_rate: u32,
}

impl LeaseConfig {
    /// Returns how long a holder may act, counted from the sending of its request.
    pub fn holding_time(&self) -> Duration {
        self.term * ((1.0 - MAX_CLOCK_DRIFT) / (1.0 + MAX_CLOCK_DRIFT))
    }

    /// Returns the time on this process's clock after which everything that any voter had granted
    /// before has expired by the voter's clock.
    pub fn settling_time(&self) -> Duration {
        self.term * ((1.0 + MAX_CLOCK_DRIFT) / (1.0 - MAX_CLOCK_DRIFT))
    }
}

/// A set of voters by their index in the electorate, as a bit mask.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct VoterSet(u32);

impl VoterSet {
    pub(crate) const EMPTY: VoterSet = VoterSet(0);

    pub(crate) fn contains(self, voter: usize) -> bool {
        self.0 >> voter & 1 == 1
    }

    pub(crate) fn insert(&mut self, voter: usize) {
        self.0 |= 1 << voter;
    }

    pub(crate) fn remove(&mut self, voter: usize) {
        self.0 &= !(1 << voter);
    }

    pub(crate) fn is_empty(self) -> bool {
        self.0 == 0
    }

    pub(crate) fn count(self) -> usize {
        self.0.count_ones() as usize
    }

    #[must_use]
    pub(crate) fn intersection(self, other: VoterSet) -> VoterSet {
        VoterSet(self.0 & other.0)
    }

    #[must_use]
    pub(crate) fn difference(self, other: VoterSet) -> VoterSet {
        VoterSet(self.0 & !other.0)
    }

    pub(crate) fn iter(self) -> impl Iterator<Item = usize> {
        (0..u32::BITS as usize).filter(move |voter| self.contains(*voter))
    }

    /// Returns the same voters after a change of the electorate. `new_indices[old]` is the new
    /// index of a voter, or `None` if it no longer votes.
    #[must_use]
    pub(crate) fn remapped(self, new_indices: &[Option<usize>]) -> VoterSet {
        self.iter()
            .filter_map(|voter| new_indices.get(voter).copied().flatten())
            .collect()
    }
}

impl FromIterator<usize> for VoterSet {
    fn from_iter<T: IntoIterator<Item = usize>>(voters: T) -> VoterSet {
        let mut set = VoterSet::EMPTY;
        voters.into_iter().for_each(|voter| set.insert(voter));
        set
    }
}

/// The sets of voters whose majorities are all needed.
#[derive(Clone, Debug)]
pub(crate) struct Quorums {
    sets: Vec<VoterSet>,
}

impl Quorums {
    /// Returns whether the agreeing voters are a majority of each set.
    pub(crate) fn are_reached_by(&self, agreeing: VoterSet) -> bool {
        self.sets
            .iter()
            .all(|set| agreeing.intersection(*set).count() > set.count() / 2)
    }

    /// Returns until when a majority of each set keeps its grant. `until` returns that time for one
    /// of the voters in `granted`; the result is `None` without such majorities.
    pub(crate) fn granted_until(
        &self,
        granted: VoterSet,
        until: impl Fn(usize) -> Option<Instant>,
    ) -> Option<Instant> {
        let granted_by_majority_until = |set: &VoterSet| {
            let mut times: Vec<Instant> = granted
                .intersection(*set)
                .iter()
                .filter_map(&until)
                .collect();
            times.sort_unstable_by(|time, other| other.cmp(time));
            times.get(set.count() / 2).copied()
        };
        self.sets
            .iter()
            .map(granted_by_majority_until)
            .min()
            .flatten()
    }
}
