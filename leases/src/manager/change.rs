//! Changes of the voters, in two steps: through majorities of both the old and the new set.
use super::{ChangeError, Leases};
use crate::claim::Stage;
use crate::electorate::LeaseConfig;
use crate::link::Link;
use compact_str::CompactString;
use thistlecroft::time::Instant;

impl Leases {
    /// Replaces the configuration.
    ///
    /// # Errors
    /// The change is not a valid step: a majority before it and one after it could share no voter, or
    /// earlier grants could still be valid.
    pub fn change_config(&mut self, config: LeaseConfig, now: Instant) -> Result<(), ChangeError> {
        if self.config == config {
            return Ok(());
        }
        self.check_change(&config, now)?;
        let names: Vec<CompactString> = config.electorate.all_voters().cloned().collect();
        let position = |link: &Link| names.iter().position(|name| *name == link.voter);
        let new_indices: Vec<Option<usize>> = self.links.iter().map(position).collect();
        let mut old_links = std::mem::take(&mut self.links);
        self.links = names
            .into_iter()
            .map(
                |name| match old_links.iter().position(|link| link.voter == name) {
                    Some(index) => old_links.swap_remove(index),
                    None => Link::new(name, now),
                },
            )
            .collect();
        self.quorums = config.electorate.quorums();
        (self.config, self.settled_since, self.next_link) = (config, None, 0);
        for claim in self.claims.values_mut() {
            // Leases stay valid until they expire; unfinished attempts start again.
            (claim.attached, claim.sent) = (
                claim.attached.remapped(&new_indices),
                claim.sent.remapped(&new_indices),
            );
            claim.rejected = claim.rejected.remapped(&new_indices);
            if let Stage::Confirming { .. } = claim.stage {
                claim.stage = Stage::Attaching { deadline: None };
            }
        }
        for voter in 0..self.links.len() {
            self.queue_unattached(voter);
            self.links[voter].next_renewal = now;
        }
        self.refresh_settled(now);
        self.make_progress(now);
        Ok(())
    }

    pub(super) fn check_change(
        &self,
        config: &LeaseConfig,
        now: Instant,
    ) -> Result<(), ChangeError> {
        let (old, new) = (&self.config.electorate, &config.electorate);
        if config.term != self.config.term {
            return Err(ChangeError::TermChanged);
        }
        if new.generation != old.generation + 1 {
            return Err(ChangeError::WrongGeneration {
                expected: old.generation + 1,
                here: old.generation,
            });
        }
        let has_same_names = |names: &[CompactString], other_names: &[CompactString]| {
            names.len() == other_names.len() && names.iter().all(|name| other_names.contains(name))
        };
        let begins_change =
            old.previous_voters.is_empty() && has_same_names(&new.previous_voters, &old.voters);
        let ends_change = !old.previous_voters.is_empty()
            && new.previous_voters.is_empty()
            && has_same_names(&new.voters, &old.voters);
        match (begins_change, ends_change, old.previous_voters.is_empty()) {
            (false, false, true) => Err(ChangeError::VotersBeforeMissing {
                voters: old.voters.clone(),
            }),
            (false, false, false) => Err(ChangeError::VotersChanged {
                voters: old.voters.clone(),
            }),
            (_, true, _) if !self.is_settled(now) => Err(ChangeError::NotSettled),
            _ => Ok(()),
        }
    }

    /// Returns whether a majority of both sets has used this generation for a term, so that
    /// everything that a majority of the previous voters alone had granted has expired. Outside a
    /// change of voters, a majority that uses this generation is enough.
    pub fn is_settled(&self, now: Instant) -> bool {
        let is_joint = !self.config.electorate.previous_voters.is_empty();
        self.settled_since.is_some_and(|since| {
            !is_joint || now.duration_since(since) >= self.config.settling_time()
        })
    }

    /// Updates since when a majority of each set is known to use this generation.
    pub(super) fn refresh_settled(&mut self, now: Instant) {
        let generations = &self.voter.generations;
        let current_generation = self.config.electorate.generation;
        let is_own_name = |name: &str| *name == *self.identity.name;
        let settled = self.config.electorate.has_quorum(|name| {
            is_own_name(name)
                || generations
                    .get(name)
                    .is_some_and(|generation| *generation >= current_generation)
        });
        match (settled, self.settled_since) {
            (true, None) => self.settled_since = Some(now),
            (false, Some(_)) => self.settled_since = None,
            _ => {}
        }
    }
}
