//! One who promises. It knows to whom it promised what until when by its own clock, and the highest epoch that it heard of.
use crate::{Electorate, Terms, Why, Word};
use compact_str::CompactString;
use std::collections::{BTreeMap, BTreeSet};
use thistlecroft::units::{Moment, Span};
use thistlecroft_peers::Identity;

/// Promises at once; more would let strangers of the fleet fill its memory.
const MOST: usize = 1_024;
/// Until it knows what was known before, it asks so often.
const RECALL: Span = Span::from_ms(500);

#[derive(Clone, Debug)]
pub struct Voter {
    /// To whom, until when, and in which of its rounds.
    promises: BTreeMap<Vec<u8>, (Identity, Moment, u32)>,
    pub epoch: u64,
    /// It may have promised before its start, which it does not know; it is silent for a term from here.
    silent_from: Moment,
    /// It knows the highest epoch that a majority may have been given.
    pub established: bool,
    /// Another process votes in its place.
    pub yielded: bool,
    recalled_at: Option<Moment>,
    established_others: BTreeSet<CompactString>,
    others: BTreeSet<CompactString>,
    /// Which generation others were heard to go by.
    pub generations: BTreeMap<CompactString, u32>,
}

impl Voter {
    pub fn new(now: Moment) -> Voter {
        Voter {
            promises: BTreeMap::new(),
            epoch: 0,
            silent_from: now,
            established: false,
            yielded: false,
            recalled_at: None,
            established_others: BTreeSet::new(),
            others: BTreeSet::new(),
            generations: BTreeMap::new(),
        }
    }

    pub fn is_silent(&self, terms: &Terms, now: Moment) -> bool {
        now < self.silent_from + terms.term
    }

    /// Another process of this name was heard. One that has started asks to know, and the one that knew votes no more; the
    /// one that goes on is silent for a term from the last that it heard of the other.
    pub fn twin(&mut self, word: &Word, now: Moment) {
        match (self.established, word) {
            (true, Word::Recall { starts: true, .. }) => self.yielded = true,
            (true, _) => {}
            (false, _) => self.silent_from = now,
        }
    }

    pub fn asked(
        &mut self,
        from: &Identity,
        generation: u32,
        subject: &[u8],
        (round, epoch): (u32, u64),
        terms: &Terms,
        now: Moment,
    ) -> Result<u64, Why> {
        let here = terms.electorate.generation;
        self.generations.insert(from.name.clone(), generation);
        // Of a newer set this one has not been told; of an older one it must not help a majority that is none any more.
        if generation != here {
            return Err(Why::Generation { here });
        }
        self.epoch = self.epoch.max(epoch);
        if self.yielded || !self.established || self.is_silent(terms, now) {
            return Err(Why::Silent);
        }
        self.promises.retain(|_, (_, until, _)| *until > now);
        let mut latest = round;
        match self.promises.get(subject) {
            Some((by, ..)) if by != from => return Err(Why::Held { by: by.clone() }),
            Some((.., before)) => latest = round.max(*before),
            None if self.promises.len() >= MOST => return Err(Why::Silent),
            None => {}
        }
        self.promises.insert(subject.to_vec(), (from.clone(), now + terms.term, latest));
        Ok(self.epoch)
    }

    /// One that was under way for long must not free what its sender has asked for again since.
    pub fn released(&mut self, from: &Identity, subject: &[u8], round: u32) {
        if self.promises.get(subject).is_some_and(|(by, _, latest)| by == from && *latest <= round) {
            self.promises.remove(subject);
        }
    }

    /// `changes`: the voters are being changed, and how far that has come is asked for.
    pub fn recalls_at(&self, votes: bool, changes: bool, terms: &Terms) -> Option<Moment> {
        if changes {
            return Some(self.recalled_at.map_or(self.silent_from, |at| at + RECALL));
        }
        if !votes || self.yielded {
            return None;
        }
        let settled = self.silent_from + terms.term;
        match (self.established, self.recalled_at) {
            (true, _) => None,
            (false, None) => Some(self.silent_from),
            // At the end of its silence too, which may be all that it waited for.
            (false, Some(at)) if at < settled => Some((at + RECALL).min(settled)),
            (false, Some(at)) => Some(at + RECALL),
        }
    }

    pub fn recalled(&mut self, now: Moment) {
        self.recalled_at = Some(now);
    }

    pub fn remembered(&mut self, from: &Identity, established: bool, epoch: u64) {
        self.epoch = self.epoch.max(epoch);
        if established {
            self.established_others.insert(from.name.clone());
        }
        self.others.insert(from.name.clone());
    }

    /// It votes once its silence is over and it has heard enough to know the highest epoch: from so many that know it that
    /// one of them was in every majority it can have been part of itself, or, where all have forgotten, from all.
    pub fn settle(&mut self, me: &Identity, terms: &Terms, now: Moment) {
        if self.established || self.is_silent(terms, now) {
            return;
        }
        let enough = |set: &[CompactString]| {
            let others = set.iter().filter(|name| **name != me.name);
            let of =
                |heard: &BTreeSet<CompactString>| others.clone().filter(|name| heard.contains(*name)).count();
            let (all, majority) = (others.clone().count(), Electorate::majority(set));
            of(&self.others) == all || of(&self.established_others) + majority > set.len()
        };
        let sets = [&terms.electorate.voters, &terms.electorate.before];
        self.established = sets.iter().all(|set| set.is_empty() || enough(set));
    }
}
