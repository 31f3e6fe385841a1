//! The start of a voter: it recalls the highest epoch from other processes before it votes.
use super::Voter;
use crate::electorate::{Electorate, LeaseConfig};
use compact_str::CompactString;
use std::collections::BTreeSet;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_peers::Identity;

/// How often a voter asks for the highest epoch until it knows it.
const RECALL_INTERVAL: Duration = Duration::from_millis(500);

impl Voter {
    /// Handles the presence of another process of this name. When that one is starting, an
    /// established voter stops voting in its favour. One that is not established yet waits for a
    /// term after the last message of the other.
    pub(crate) fn note_duplicate(&mut self, starting: bool, now: Instant) {
        match (self.established, starting) {
            (true, true) => self.retired = true,
            (true, false) => {}
            (false, _) => self.silent_from = now,
        }
    }

    /// When to ask other processes for their generations next, while the voters are changing.
    pub(crate) fn next_generation_query(&self) -> Instant {
        let last = self.last_recall;
        last.map_or(self.silent_from, |last| last + RECALL_INTERVAL)
    }

    /// When to ask other processes for the highest epoch next; `None` once it is known.
    pub(crate) fn next_recall(&self, config: &LeaseConfig) -> Option<Instant> {
        if self.established || self.retired {
            return None;
        }
        let Some(last) = self.last_recall else {
            return Some(self.silent_from);
        };
        let next = last + RECALL_INTERVAL;
        let silent_until = self.silent_from + config.term;
        // The end of the silence may be all that it waits for.
        Some(if last < silent_until {
            next.min(silent_until)
        } else {
            next
        })
    }

    /// The share of all processes to ask this time, as an index and the number of shares. Each is
    /// asked once in a term.
    pub(crate) fn recall_share(&mut self, config: &LeaseConfig, now: Instant) -> (usize, usize) {
        self.last_recall = Some(now);
        let of = (config.term.as_micros() / RECALL_INTERVAL.as_micros()).max(1) as usize;
        self.recall_count += 1;
        ((self.recall_count - 1) % of, of)
    }

    /// Handles the answer to a recall.
    pub(crate) fn note_remembered(&mut self, from: &Identity, established: bool, epoch: u64) {
        self.epoch = self.epoch.max(epoch);
        if established {
            self.established_others.insert(from.name.clone());
        }
        self.others.insert(from.name.clone());
    }

    /// Starts to vote once the silence is over and the highest epoch is certain: when so many
    /// established voters have answered that every majority that this one can have been part of
    /// includes one of them, or when all other voters have answered.
    pub(crate) fn settle(&mut self, me: &Identity, config: &LeaseConfig, now: Instant) {
        if self.established || self.is_silent(config, now) {
            return;
        }
        let is_certain = |set: &[CompactString]| {
            let others = set.iter().filter(|name| **name != me.name);
            let count_in = |answered: &BTreeSet<CompactString>| {
                others
                    .clone()
                    .filter(|name| answered.contains(*name))
                    .count()
            };
            let (all, majority) = (others.clone().count(), Electorate::majority(set));
            count_in(&self.others) == all
                || count_in(&self.established_others) + majority > set.len()
        };
        let sets = [
            &config.electorate.voters,
            &config.electorate.previous_voters,
        ];
        self.established = sets.iter().all(|set| set.is_empty() || is_certain(set));
    }
}
