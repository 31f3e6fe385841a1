//! What is wanted here: attempts, holdings that run out, what is given back.
use super::{AGAIN_AFTER, ATTEMPT, FIRST_DELAY, JITTER, Leases, MAX_DOUBLINGS, NEVER};
use crate::claim::{Claim, Stage, VoterView};
use crate::electorate::VoterSet;
use crate::message::Subject;
use thistlecroft::time::{Duration, Instant};

impl Leases {
    /// Looks at each claim: rights that ran out, attempts that are over, subjects wanted no more.
    pub(super) fn check_claims(&mut self, now: Instant) {
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
                self.forget_released(&subject);
                continue;
            }
            match claim.stage {
                Stage::Waiting { .. } => {
                    (claim.stage, claim.refused) =
                        (Stage::Attaching { ends: None }, VoterSet::EMPTY);
                    self.queue_everywhere(&subject);
                }
                Stage::Attaching { ends: Some(ends) } if ends <= now => {
                    self.lose_attempt(&subject, now)
                }
                _ => claim.expire(now),
            }
        }
    }

    /// Detaches what was attached in vain, or those who ask at the same time would keep one another
    /// from it. What several ask for at once is tried again after a full-jitter delay, what
    /// somebody holds at a steady pace.
    pub(super) fn lose_attempt(&mut self, subject: &[u8], now: Instant) {
        let drawn = self.chance.unit_f64();
        let Some(claim) = self.claims.get_mut(subject) else {
            return;
        };
        let wait = if claim.attached.is_empty() {
            self.config.term * (AGAIN_AFTER * (1.0 - JITTER * drawn))
        } else {
            claim.lost += 1;
            let doublings = f64::from(1_u32 << claim.lost.min(MAX_DOUBLINGS));
            (self.config.term * FIRST_DELAY * doublings).min(self.config.term) * drawn
        };
        claim.stage = Stage::Waiting {
            until: now + wait.max(Duration::from_millis(1)),
        };
        self.queue_detach(subject);
    }

    /// From here on nothing counts as attached, whatever the voters still have to be told.
    pub(super) fn queue_detach(&mut self, subject: &[u8]) {
        let Some(claim) = self.claims.get_mut(subject) else {
            return;
        };
        claim.attached = VoterSet::EMPTY;
        for voter in claim.sent.iter() {
            self.links[voter].pending.insert(subject.to_vec());
        }
    }

    pub(super) fn queue_everywhere(&mut self, subject: &[u8]) {
        for link in &mut self.links {
            link.pending.insert(subject.to_vec());
        }
    }

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

    pub(super) fn forget_released(&mut self, subject: &[u8]) {
        let over = |claim: &Claim| claim.stage == Stage::Releasing && claim.sent.is_empty();
        if self.claims.get(subject).is_some_and(over) {
            self.claims.remove(subject);
        }
    }

    pub(super) fn advance_claims(&mut self, now: Instant) {
        let holding_time = self.config.holding_time();
        let views: Vec<VoterView> = self
            .links
            .iter()
            .map(|link| VoterView {
                stands_until: link.confirmed_at.map(|at| at + holding_time),
                epoch: link.epoch,
            })
            .collect();
        let all: VoterSet = (0..self.links.len()).collect();
        let (mut chosen, mut lost, mut due) = (None, Vec::new(), NEVER);
        for (subject, claim) in &mut self.claims {
            claim.expire(now);
            if claim.is_attached_by_majority(&self.quorums) {
                // One epoch for all that are attached now: above all that their voters knew.
                let epoch = *chosen.get_or_insert(self.epoch + 1);
                let ends = now + self.config.term * ATTEMPT;
                claim.stage = Stage::Confirming {
                    epoch,
                    quorum: claim.attached,
                    ends,
                };
            }
            if claim.is_lost(&self.quorums, all) {
                lost.push(subject.clone());
            }
            claim.advance(&self.quorums, |voter| views[voter], now);
            due = due.min(claim.due());
        }
        self.claims_due = due;
        for subject in lost {
            self.lose_attempt(&subject, now);
            let due = self.claims.get(&subject).map_or(NEVER, Claim::due);
            self.claims_due = self.claims_due.min(due);
        }
        if let Some(epoch) = chosen {
            self.epoch = epoch;
            self.links
                .iter_mut()
                .for_each(|link| link.next_renewal = now);
        }
    }
}
