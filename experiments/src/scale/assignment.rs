//! Assigns subjects to relays. It simulates the layer above leases that assigns shards: every relay
//! computes the assignment from the members that it sees, but only the lease decides which relay
//! owns a subject.
use super::layout::Layout;
use std::collections::BTreeSet;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_leases::Leases;
use thistlecroft_peers::{MemberState, Node};

/// How long an assigned subject is claimed: longer than any run, so in effect until its release.
const CLAIM_TIME: Duration = Duration::from_millis(1_000 * 3_600 * 24);
/// Relays that are considered for a subject; if none of them is alive, no relay claims it.
const MAX_CANDIDATES: u64 = 64;

/// The subjects that one member of the fleet should own.
#[derive(Clone, Debug)]
pub struct Assignment {
    layout: Layout,
    subjects: usize,
    member: usize,
    /// Live members when the assignment was last computed.
    seen: BTreeSet<usize>,
    /// Subjects that this member claims.
    claimed: BTreeSet<usize>,
}

fn mix_bits(value: u64) -> u64 {
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
    /// Creates the assignment of `member`, which claims no subject yet.
    pub fn new(layout: Layout, subjects: usize, member: usize) -> Assignment {
        Assignment {
            layout,
            subjects,
            member,
            seen: BTreeSet::new(),
            claimed: BTreeSet::new(),
        }
    }

    /// Returns the candidate of this rank for a subject. The first candidates are chosen
    /// round-robin, so that all relays own equally many subjects, and the others by a hash.
    fn candidate(&self, subject: usize, rank: u64) -> usize {
        let relays = self.layout.relays;
        let relay = match rank {
            0 => subject % relays,
            _ => (mix_bits(subject as u64 ^ rank << 32) % relays as u64) as usize,
        };
        self.layout.voters + relay
    }

    fn intended_owner(&self, subject: usize, seen: &BTreeSet<usize>) -> Option<usize> {
        (0..MAX_CANDIDATES)
            .map(|rank| self.candidate(subject, rank))
            .find(|member| seen.contains(member))
    }

    /// Returns the subjects whose first candidate is `member`.
    fn first_choice_subjects(&self, member: usize) -> impl Iterator<Item = usize> + use<> {
        let (first, relays, subjects) = (
            member - self.layout.voters,
            self.layout.relays,
            self.subjects,
        );
        (first..subjects).step_by(relays)
    }

    fn assigned_subjects(&self, seen: &BTreeSet<usize>) -> BTreeSet<usize> {
        let relays = self.layout.voters..self.layout.size();
        let missing = relays.filter(|member| !seen.contains(member));
        let inherited = missing.flat_map(|member| self.first_choice_subjects(member));
        let inherited =
            inherited.filter(|subject| self.intended_owner(*subject, seen) == Some(self.member));
        self.first_choice_subjects(self.member)
            .chain(inherited)
            .collect()
    }

    /// Claims and releases subjects as the assignment changes with the live members.
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
        let assigned = self.assigned_subjects(&seen);
        for subject in assigned.difference(&self.claimed) {
            // An error means that this member has too many claims, because hardly any other relay is
            // alive.
            let _ = leases.acquire(&subject_name(*subject), now + CLAIM_TIME, now);
        }
        for subject in self.claimed.difference(&assigned) {
            leases.release(&subject_name(*subject), now);
        }
        (self.seen, self.claimed) = (seen, assigned);
    }
}
