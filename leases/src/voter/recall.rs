//! The start of a voter: before it votes, it asks other processes for the highest epoch.
use super::Voter;
use crate::electorate::{Electorate, LeaseConfig};
use compact_str::CompactString;
use std::collections::BTreeSet;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_peers::Identity;

/// The time between two recalls, which ask other processes for the highest epoch.
const RECALL_INTERVAL: Duration = Duration::from_millis(500);

impl Voter {
    /// Handles the presence of another process with this process's name. An established voter stops
    /// voting if the other process is starting, so that the other one can vote. A voter that is not
    /// established yet waits for a term after the last message of the other process.
    pub(crate) fn note_duplicate(&mut self, starting: bool, now: Instant) {
        match (self.established, starting) {
            (true, true) => self.retired = true,
            (true, false) => {}
            (false, _) => self.silent_from = now,
        }
    }

    /// Returns when to ask other processes for their generations next, during a change of voters.
    pub(crate) fn next_generation_query(&self) -> Instant {
        let last = self.last_recall;
        last.map_or(self.silent_from, |last| last + RECALL_INTERVAL)
    }

    /// Returns when to ask other processes for the highest epoch next; `None` once it is known.
    pub(crate) fn next_recall(&self, config: &LeaseConfig) -> Option<Instant> {
        if self.established || self.retired {
            return None;
        }
        let Some(last) = self.last_recall else {
            return Some(self.silent_from);
        };
        let next = last + RECALL_INTERVAL;
        let silent_until = self.silent_from + config.term;
        // The next recall comes no later than the end of the silence, when the voter may become
        // established.
        Some(if last < silent_until {
            next.min(silent_until)
        } else {
            next
        })
    }

    /// Returns the share of all processes to ask this time, as its index and the number of shares.
    /// Each process is asked once per term.
    pub(crate) fn recall_share(&mut self, config: &LeaseConfig, now: Instant) -> (usize, usize) {
        self.last_recall = Some(now);
        let count = (config.term.as_micros() / RECALL_INTERVAL.as_micros()).max(1) as usize;
        self.recall_count += 1;
        ((self.recall_count - 1) % count, count)
    }

    /// Handles the answer to a recall.
    pub(crate) fn note_remembered(&mut self, from: &Identity, established: bool, epoch: u64) {
        self.epoch = self.epoch.max(epoch);
        if established {
            self.established_answers.insert(from.name.clone());
        }
        self.recall_answers.insert(from.name.clone());
    }

    /// Marks the voter as established once its silence is over and it is certain to know the
    /// highest epoch. That is so when all other voters have answered, or when so many established
    /// voters have answered that every majority includes one of them.
    pub(crate) fn try_establish(
        &mut self,
        identity: &Identity,
        config: &LeaseConfig,
        now: Instant,
    ) {
        if self.established || self.is_silent(config, now) {
            return;
        }
        let is_certain = |set: &[CompactString]| {
            let others = set.iter().filter(|name| **name != identity.name);
            let count_in = |answered: &BTreeSet<CompactString>| {
                others
                    .clone()
                    .filter(|name| answered.contains(*name))
                    .count()
            };
            let (all, majority) = (others.clone().count(), Electorate::majority(set));
            count_in(&self.recall_answers) == all
                || count_in(&self.established_answers) + majority > set.len()
        };
        let sets = [
            &config.electorate.voters,
            &config.electorate.previous_voters,
        ];
        self.established = sets.iter().all(|set| set.is_empty() || is_certain(set));
    }
}
