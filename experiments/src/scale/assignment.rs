//! Which relay is to own a subject: a stand-in for the part above leases that assigns shards. Every
//! relay works it out from the members that it sees; only the lease decides who owns.
use super::layout::Layout;
use std::collections::BTreeSet;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_leases::Leases;
use thistlecroft_peers::{MemberState, Node};

/// How long a subject is wanted once it is assigned here: until it is released.
const FOR_LONG: Duration = Duration::from_millis(1_000 * 3_600 * 24);
/// Relays tried for a subject in a row, beyond which nobody is to own it.
const TRIES: u64 = 64;

/// What one member of the fleet is to own.
#[derive(Clone, Debug)]
pub struct Assignment {
    layout: Layout,
    subjects: usize,
    member: usize,
    /// Members seen at the last look.
    seen: BTreeSet<usize>,
    owned: BTreeSet<usize>,
}

fn mixed(value: u64) -> u64 {
    // The finalizer of SplitMix64: a fixed permutation of 64 bits.
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}

pub(super) fn subject_name(subject: usize) -> Vec<u8> {
    format!("shard-{subject}").into_bytes()
}

pub(super) fn subject_number(name: &[u8]) -> Option<usize> {
    std::str::from_utf8(name)
        .ok()?
        .strip_prefix("shard-")?
        .parse()
        .ok()
}

impl Assignment {
    /// A member that owns nothing yet.
    pub fn new(layout: Layout, subjects: usize, member: usize) -> Assignment {
        Assignment {
            layout,
            subjects,
            member,
            seen: BTreeSet::new(),
            owned: BTreeSet::new(),
        }
    }

    /// The relay that is tried for a subject: the first in turn, so that relays own equally many,
    /// then by a hash.
    fn candidate(&self, subject: usize, attempt: u64) -> usize {
        let relays = self.layout.relays;
        let relay = match attempt {
            0 => subject % relays,
            _ => (mixed(subject as u64 ^ attempt << 32) % relays as u64) as usize,
        };
        self.layout.voters + relay
    }

    fn owner(&self, subject: usize, seen: &BTreeSet<usize>) -> Option<usize> {
        (0..TRIES)
            .map(|attempt| self.candidate(subject, attempt))
            .find(|member| seen.contains(member))
    }

    /// Subjects whose first candidate is that relay.
    fn first_of(&self, member: usize) -> impl Iterator<Item = usize> + use<> {
        let (first, relays, subjects) = (
            member - self.layout.voters,
            self.layout.relays,
            self.subjects,
        );
        (first..subjects).step_by(relays)
    }

    fn assigned(&self, seen: &BTreeSet<usize>) -> BTreeSet<usize> {
        let relays = self.layout.voters..self.layout.size();
        let missing = relays.filter(|member| !seen.contains(member));
        let inherited = missing.flat_map(|member| self.first_of(member));
        let inherited = inherited.filter(|subject| self.owner(*subject, seen) == Some(self.member));
        self.first_of(self.member).chain(inherited).collect()
    }

    /// Acquires and releases what has changed with the members that are seen.
    pub fn apply(&mut self, node: &Node, leases: &mut Leases, now: Instant) {
        if self.member < self.layout.voters {
            return;
        }
        let live = node
            .members()
            .filter(|view| view.state <= MemberState::Suspect);
        let mut seen: BTreeSet<usize> = live
            .filter_map(|view| self.layout.member(&view.id.name))
            .collect();
        seen.insert(self.member);
        if seen == self.seen {
            return;
        }
        let assigned = self.assigned(&seen);
        for subject in assigned.difference(&self.owned) {
            // A relay wants more than it may only where hardly any other is left.
            let _ = leases.acquire(&subject_name(*subject), now + FOR_LONG, now);
        }
        for subject in self.owned.difference(&assigned) {
            leases.release(&subject_name(*subject), now);
        }
        (self.seen, self.owned) = (seen, assigned);
    }
}
