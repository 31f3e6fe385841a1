//! Who votes, and what counts as a majority.
use compact_str::CompactString;
use thistlecroft::time::{Duration, Instant};

/// How far a clock's speed may be from true, as a fraction.
pub const MAX_CLOCK_DRIFT: f64 = 0.01;

/// The named voters. A change of voters goes through a joint step in which majorities of the old
/// set and of the new one are both needed; each step raises `generation`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Electorate {
    /// The number of this configuration.
    pub generation: u32,
    /// The names of the voters.
    pub voters: Vec<CompactString>,
    /// During a change, the voters until now, whose majority is needed as well; otherwise empty.
    pub previous_voters: Vec<CompactString>,
}

impl Electorate {
    /// The least number of voters that are a majority of this set.
    pub fn majority(voters: &[CompactString]) -> usize {
        voters.len() / 2 + 1
    }

    /// Every voter of both sets, once.
    pub fn all(&self) -> impl Iterator<Item = &CompactString> {
        self.voters.iter().chain(
            self.previous_voters
                .iter()
                .filter(|name| !self.voters.contains(name)),
        )
    }

    /// Whether the voters that agree are a majority of each set.
    pub fn carries(&self, agrees: impl Fn(&str) -> bool) -> bool {
        let has_majority = |set: &[CompactString]| {
            set.iter().filter(|name| agrees(name)).count() >= Electorate::majority(set)
        };
        !self.voters.is_empty()
            && has_majority(&self.voters)
            && (self.previous_voters.is_empty() || has_majority(&self.previous_voters))
    }

    /// The same sets by index in `all`.
    pub(crate) fn quorums(&self) -> Quorums {
        let position = |name: &CompactString| self.all().position(|one| one == name);
        let set = |names: &[CompactString]| names.iter().filter_map(position).collect();
        let mut sets: Vec<VoterSet> = vec![set(&self.voters)];
        if !self.previous_voters.is_empty() {
            sets.push(set(&self.previous_voters));
        }
        Quorums { sets }
    }
}

/// The duration of leases, and who grants them. The same at all processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// The processes that grant leases.
    pub electorate: Electorate,
    /// How long a voter keeps what it granted, counted from when it received the request.
    pub term: Duration,
    /// The bytes per second that this process spends on attaching and detaching subjects. Renewals
    /// do not count.
    pub update_rate: u32,
}

impl LeaseConfig {
    /// How long a holder may act, counted from when it sent the request.
    pub fn holding_time(&self) -> Duration {
        self.term * ((1.0 - MAX_CLOCK_DRIFT) / (1.0 + MAX_CLOCK_DRIFT))
    }

    /// After this time on this process's clock, everything that any voter granted before has
    /// expired by the voter's clock.
    pub fn settling_time(&self) -> Duration {
        self.term * ((1.0 + MAX_CLOCK_DRIFT) / (1.0 - MAX_CLOCK_DRIFT))
    }
}

/// Voters by their index in the electorate.
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
    pub(crate) fn and(self, other: VoterSet) -> VoterSet {
        VoterSet(self.0 & other.0)
    }

    #[must_use]
    pub(crate) fn without(self, other: VoterSet) -> VoterSet {
        VoterSet(self.0 & !other.0)
    }

    pub(crate) fn iter(self) -> impl Iterator<Item = usize> {
        (0..u32::BITS as usize).filter(move |voter| self.contains(*voter))
    }

    /// The same voters after a change of electorate; `to[old]` is a voter's new index.
    #[must_use]
    pub(crate) fn moved(self, to: &[Option<usize>]) -> VoterSet {
        self.iter()
            .filter_map(|voter| to.get(voter).copied().flatten())
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
    pub(crate) fn carries(&self, agreeing: VoterSet) -> bool {
        self.sets
            .iter()
            .all(|set| agreeing.and(*set).count() > set.count() / 2)
    }

    /// Until when a majority of each set keeps its grant, given the time for each of `granted`.
    pub(crate) fn carried_until(
        &self,
        granted: VoterSet,
        until: impl Fn(usize) -> Option<Instant>,
    ) -> Option<Instant> {
        let of_set = |set: &VoterSet| {
            let mut times: Vec<Instant> = granted.and(*set).iter().filter_map(&until).collect();
            times.sort_unstable_by(|one, other| other.cmp(one));
            times.get(set.count() / 2).copied()
        };
        self.sets.iter().map(of_set).min().flatten()
    }
}
