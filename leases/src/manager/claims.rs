//! This process's claims: attempts, holdings and releases.
use super::{
    ATTEMPT_TIMEOUT_TERMS, AcquireError, BACKOFF_BASE_TERMS, HELD_RETRY_TERMS, JITTER, Leases,
    MAX_BACKOFF_DOUBLINGS, MAX_CLAIMS, NEVER,
};
use crate::claim::{Claim, Stage, VoterView};
use crate::electorate::VoterSet;
use crate::subject::{MAX_SUBJECT_BYTES, Subject};
use thistlecroft::time::{Duration, Instant};

impl Leases {
    /// Claims a subject: requests the lease and renews it until `until` or its release.
    ///
    /// # Errors
    /// The subject is too long, or this process has too many claims.
    pub fn acquire(
        &mut self,
        subject: &[u8],
        until: Instant,
        now: Instant,
    ) -> Result<(), AcquireError> {
        if subject.len() > MAX_SUBJECT_BYTES {
            return Err(AcquireError::SubjectTooLong);
        }
        let has_capacity = self.claims.len() < MAX_CLAIMS;
        match self.claims.get_mut(subject) {
            Some(claim) if claim.stage == Stage::Releasing => {
                // Not all voters know of the release yet, but this is a new holding.
                claim.stage = Stage::Attaching { deadline: None };
                claim.wanted_until = until;
                (claim.contended_attempts, claim.reason) = (0, None);
            }
            Some(claim) => {
                claim.wanted_until = claim.wanted_until.max(until);
                return Ok(());
            }
            None if !has_capacity => return Err(AcquireError::TooManyClaims),
            None => {
                let claim = Claim::new(until, now);
                self.claims.insert(subject.to_vec(), claim);
            }
        }
        self.queue_at_all_voters(subject);
        self.claims_due = self.claims_due.min(now);
        Ok(())
    }

    /// Releases a subject, on which this process may not act any more. Detachments are sent to the
    /// voters until they confirm them.
    pub fn release(&mut self, subject: &[u8], now: Instant) {
        let Some(claim) = self.claims.get_mut(subject) else {
            return;
        };
        claim.stage = Stage::Releasing;
        self.queue_detach(subject);
        self.remove_if_released(subject);
        self.claims_due = self.claims_due.min(now);
    }

    /// Handles claims that are due: expired leases, attempts that timed out or may start again, and
    /// subjects that are no longer wanted.
    pub(super) fn process_due_claims(&mut self, now: Instant) {
        let subjects: Vec<Subject> = self
            .claims
            .iter()
            .filter(|(_, claim)| claim.due() <= now)
            .map(|(subject, _)| subject.clone())
            .collect();
        for subject in subjects {
            let Some(claim) = self.claims.get_mut(&subject) else {
                continue;
            };
            if claim.wanted_until <= now {
                claim.stage = Stage::Releasing;
                self.queue_detach(&subject);
                self.remove_if_released(&subject);
                continue;
            }
            match claim.stage {
                Stage::Waiting { .. } => {
                    (claim.stage, claim.rejected) =
                        (Stage::Attaching { deadline: None }, VoterSet::EMPTY);
                    self.queue_at_all_voters(&subject);
                }
                Stage::Attaching {
                    deadline: Some(deadline),
                } if deadline <= now => self.fail_attempt(&subject, now),
                _ => claim.expire(now),
            }
        }
    }

    /// Ends an attempt without a majority and schedules the next one. Voters that attached the
    /// subject detach it, or processes that try at the same time would block one another. If any
    /// voter had attached it, other processes probably try as well, so the delay is an exponential
    /// backoff with full jitter; otherwise another process holds the subject, and the delay is
    /// constant but for jitter.
    pub(super) fn fail_attempt(&mut self, subject: &[u8], now: Instant) {
        let random = self.rng.unit_f64();
        let Some(claim) = self.claims.get_mut(subject) else {
            return;
        };
        let delay = if claim.attached.is_empty() {
            self.config.term * (HELD_RETRY_TERMS * (1.0 - JITTER * random))
        } else {
            claim.contended_attempts += 1;
            let doublings = f64::from(1_u32 << claim.contended_attempts.min(MAX_BACKOFF_DOUBLINGS));
            (self.config.term * BACKOFF_BASE_TERMS * doublings).min(self.config.term) * random
        };
        claim.stage = Stage::Waiting {
            until: now + delay.max(Duration::from_millis(1)),
        };
        self.queue_detach(subject);
    }

    /// Queues the detachment at all voters that may have attached the subject. It counts as
    /// attached nowhere from now on.
    pub(super) fn queue_detach(&mut self, subject: &[u8]) {
        let Some(claim) = self.claims.get_mut(subject) else {
            return;
        };
        claim.attached = VoterSet::EMPTY;
        for voter in claim.sent.iter() {
            self.links[voter].pending.insert(subject.to_vec());
        }
    }

    /// Queues the subject for the next request to every voter.
    pub(super) fn queue_at_all_voters(&mut self, subject: &[u8]) {
        for link in &mut self.links {
            link.pending.insert(subject.to_vec());
        }
    }

    /// Queues all wanted subjects that this voter has not attached.
    pub(super) fn queue_unattached(&mut self, voter: usize) {
        let unattached = |(_, claim): &(&Subject, &Claim)| {
            claim.wants_attaching() && !claim.attached.contains(voter)
        };
        let subjects = self
            .claims
            .iter()
            .filter(unattached)
            .map(|(subject, _)| subject.clone());
        self.links[voter].pending.extend(subjects);
    }

    /// Removes a claim that is released and detached at all voters.
    pub(super) fn remove_if_released(&mut self, subject: &[u8]) {
        let is_released = |claim: &Claim| claim.stage == Stage::Releasing && claim.sent.is_empty();
        if self.claims.get(subject).is_some_and(is_released) {
            self.claims.remove(subject);
        }
    }

    /// Advances all claims by what voters have confirmed.
    pub(super) fn advance_claims(&mut self, now: Instant) {
        let holding_time = self.config.holding_time();
        let views: Vec<VoterView> = self
            .links
            .iter()
            .map(|link| VoterView {
                valid_until: link.confirmed_at.map(|at| at + holding_time),
                epoch: link.epoch,
            })
            .collect();
        let all: VoterSet = (0..self.links.len()).collect();
        let (mut chosen_epoch, mut failed, mut due) = (None, Vec::new(), NEVER);
        for (subject, claim) in &mut self.claims {
            claim.expire(now);
            if claim.is_attached_by_majority(&self.quorums) {
                // One new epoch for all claims that have a majority now, above every known epoch.
                let epoch = *chosen_epoch.get_or_insert(self.epoch + 1);
                let deadline = now + self.config.term * ATTEMPT_TIMEOUT_TERMS;
                claim.stage = Stage::Confirming {
                    epoch,
                    quorum: claim.attached,
                    deadline,
                };
            }
            if claim.has_failed(&self.quorums, all) {
                failed.push(subject.clone());
            }
            claim.advance(&self.quorums, |voter| views[voter], now);
            due = due.min(claim.due());
        }
        self.claims_due = due;
        for subject in failed {
            self.fail_attempt(&subject, now);
            let due = self.claims.get(&subject).map_or(NEVER, Claim::due);
            self.claims_due = self.claims_due.min(due);
        }
        if let Some(epoch) = chosen_epoch {
            self.epoch = epoch;
            self.links
                .iter_mut()
                .for_each(|link| link.next_renewal = now);
        }
    }
}
