//! A change of the voters, by joint majorities.
use super::{ChangeError, Leases};
use crate::claim::Stage;
use crate::electorate::LeaseConfig;
use crate::link::Link;
use compact_str::CompactString;
use thistlecroft::time::Instant;

impl Leases {
    /// # Errors
    /// Unless it is a step that can't leave two majorities that do not meet.
    pub fn change(&mut self, config: LeaseConfig, now: Instant) -> Result<(), ChangeError> {
        if self.config == config {
            return Ok(());
        }
        self.check_change(&config, now)?;
        let names: Vec<CompactString> = config.electorate.all().cloned().collect();
        let position = |link: &Link| names.iter().position(|name| *name == link.voter);
        let moved: Vec<Option<usize>> = self.links.iter().map(position).collect();
        let mut before = std::mem::take(&mut self.links);
        self.links = names
            .into_iter()
            .map(
                |name| match before.iter().position(|link| link.voter == name) {
                    Some(place) => before.swap_remove(place),
                    None => Link::new(name, now),
                },
            )
            .collect();
        self.quorums = config.electorate.quorums();
        (self.config, self.settled_since, self.next_link) = (config, None, 0);
        for claim in self.claims.values_mut() {
            // What is held stays so until its time; what is not is asked for anew.
            (claim.attached, claim.sent) = (claim.attached.moved(&moved), claim.sent.moved(&moved));
            claim.refused = claim.refused.moved(&moved);
            if let Stage::Confirming { .. } = claim.stage {
                claim.stage = Stage::Attaching { ends: None };
            }
        }
        for voter in 0..self.links.len() {
            self.queue_unattached(voter);
            self.links[voter].next_renewal = now;
        }
        self.refresh_settled(now);
        self.proceed(now);
        Ok(())
    }

    pub(super) fn check_change(
        &self,
        config: &LeaseConfig,
        now: Instant,
    ) -> Result<(), ChangeError> {
        let (was, is) = (&self.config.electorate, &config.electorate);
        if config.term != self.config.term {
            return Err(ChangeError::TermChanged);
        }
        if is.generation != was.generation + 1 {
            return Err(ChangeError::WrongGeneration {
                expected: was.generation + 1,
                here: was.generation,
            });
        }
        let same = |one: &[CompactString], other: &[CompactString]| {
            one.len() == other.len() && one.iter().all(|name| other.contains(name))
        };
        let begins = was.before.is_empty() && same(&is.before, &was.voters);
        let ends = !was.before.is_empty() && is.before.is_empty() && same(&is.voters, &was.voters);
        match (begins, ends, was.before.is_empty()) {
            (false, false, true) => Err(ChangeError::VotersBeforeMissing {
                voters: was.voters.clone(),
            }),
            (false, false, false) => Err(ChangeError::VotersChanged {
                voters: was.voters.clone(),
            }),
            (_, true, _) if !self.is_settled(now) => Err(ChangeError::NotSettled),
            _ => Ok(()),
        }
    }

    /// Whether a majority of the sets before and after was heard to go by this generation, a term
    /// ago: what a majority of the set before alone had granted is over by then.
    pub fn is_settled(&self, now: Instant) -> bool {
        let joint = !self.config.electorate.before.is_empty();
        self.settled_since
            .is_some_and(|since| !joint || now.duration_since(since) >= self.config.settling_time())
    }

    pub(super) fn refresh_settled(&mut self, now: Instant) {
        let (heard, of) = (&self.voter.generations, self.config.electorate.generation);
        let own = |name: &str| *name == *self.me.name;
        let settled = self
            .config
            .electorate
            .carries(|name| own(name) || heard.get(name).is_some_and(|one| *one >= of));
        match (settled, self.settled_since) {
            (true, None) => self.settled_since = Some(now),
            (false, Some(_)) => self.settled_since = None,
            _ => {}
        }
    }
}
