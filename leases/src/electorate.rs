//! Who votes, and what counts as a majority.
use compact_str::CompactString;
use thistlecroft::time::{Duration, Instant};

/// How far a clock's speed may be from true, as a fraction.
pub const DRIFT: f64 = 0.01;

/// The named voters. A change of voters goes through a joint step in which majorities of the old
/// set and of the new one are both needed; each step raises `generation`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Electorate {
    pub generation: u32,
    pub voters: Vec<CompactString>,
    /// The set before, whose majority is needed as well; empty outside of a change.
    pub before: Vec<CompactString>,
}

impl Electorate {
    pub fn majority(of: &[CompactString]) -> usize {
        of.len() / 2 + 1
    }

    /// Every voter of both sets, once.
    pub fn all(&self) -> impl Iterator<Item = &CompactString> {
        self.voters.iter().chain(
            self.before
                .iter()
                .filter(|name| !self.voters.contains(name)),
        )
    }

    /// Whether those for whom `yes` holds are a majority of each set.
    pub fn carries(&self, yes: impl Fn(&str) -> bool) -> bool {
        let enough = |set: &[CompactString]| {
            set.iter().filter(|name| yes(name)).count() >= Electorate::majority(set)
        };
        !self.voters.is_empty()
            && enough(&self.voters)
            && (self.before.is_empty() || enough(&self.before))
    }

    /// The same sets by position in `all`.
    pub fn quorums(&self) -> Quorums {
        let position = |name: &CompactString| self.all().position(|one| one == name);
        let set = |names: &[CompactString]| names.iter().filter_map(position).collect();
        let mut sets: Vec<VoterSet> = vec![set(&self.voters)];
        if !self.before.is_empty() {
            sets.push(set(&self.before));
        }
        Quorums { sets }
    }
}

/// A lease's length and who grants it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    pub electorate: Electorate,
    /// How long a voter stands by what it granted, counted from when it received the request.
    pub term: Duration,
    /// Bytes a second that this process spends on attaching and detaching subjects. Renewals do not
    /// count.
    pub update_rate: u32,
}

impl LeaseConfig {
    /// How long a holder may act, counted from when it sent the request.
    pub fn holding_time(&self) -> Duration {
        self.term * ((1.0 - DRIFT) / (1.0 + DRIFT))
    }

    /// After so long by this process's clock, what any voter granted before is over by its own.
    pub fn settling_time(&self) -> Duration {
        self.term * ((1.0 + DRIFT) / (1.0 - DRIFT))
    }
}

/// Voters by their position in the electorate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct VoterSet(u32);

impl VoterSet {
    pub const EMPTY: VoterSet = VoterSet(0);

    pub fn contains(self, voter: usize) -> bool {
        self.0 >> voter & 1 == 1
    }

    pub fn insert(&mut self, voter: usize) {
        self.0 |= 1 << voter;
    }

    pub fn remove(&mut self, voter: usize) {
        self.0 &= !(1 << voter);
    }

    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    pub fn count(self) -> usize {
        self.0.count_ones() as usize
    }

    #[must_use]
    pub fn and(self, other: VoterSet) -> VoterSet {
        VoterSet(self.0 & other.0)
    }

    #[must_use]
    pub fn without(self, other: VoterSet) -> VoterSet {
        VoterSet(self.0 & !other.0)
    }

    pub fn iter(self) -> impl Iterator<Item = usize> {
        (0..u32::BITS as usize).filter(move |voter| self.contains(*voter))
    }

    /// The same voters after a change of electorate; `to[old]` is a voter's new position.
    #[must_use]
    pub fn moved(self, to: &[Option<usize>]) -> VoterSet {
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

/// The sets whose majorities are needed.
#[derive(Clone, Debug)]
pub struct Quorums {
    sets: Vec<VoterSet>,
}

impl Quorums {
    pub fn carries(&self, yes: VoterSet) -> bool {
        self.sets
            .iter()
            .all(|set| yes.and(*set).count() > set.count() / 2)
    }

    /// Until when a majority of each set stands by its grant, where `until` says it for each of
    /// `granted`.
    pub fn carried_until(
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
