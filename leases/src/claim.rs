//! This process's claim to one subject: the voters that have attached the subject, the epoch, and
//! the time until which this process may act on the subject.
use crate::electorate::{Quorums, VoterSet};
use crate::message::RejectionReason;
use thistlecroft::time::Instant;

/// The right to act on a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// The fencing token. It grows with each new holding, so that others can reject an earlier
    /// holder.
    pub epoch: u64,
    /// When the right ends, by the holder's clock.
    pub until: Instant,
}

/// The state of this process's claim to a subject.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// This process may act on the subject.
    Held(HeldLease),
    /// The subject is requested but not held. The reason is that of the last rejection, if any.
    Wanted(Option<RejectionReason>),
    /// This process does not claim the subject.
    Unwanted,
}

/// The stage of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// A majority has to attach the subject before the deadline, which is set with the first
    /// request.
    Attaching { deadline: Option<Instant> },
    /// A majority (`quorum`) has attached the subject and the epoch is chosen. A majority of these
    /// voters has to confirm the epoch before the deadline.
    Confirming {
        epoch: u64,
        quorum: VoterSet,
        deadline: Instant,
    },
    /// This process holds the subject, unless [`Claim::until`] has passed.
    Holding { epoch: u64 },
    /// The attempt has failed: the subject is being detached at all voters, and the next attempt
    /// starts at this time.
    Waiting { until: Instant },
    /// The subject is no longer wanted. The claim is removed once all voters have detached the
    /// subject.
    Releasing,
}

/// The state of a voter as far as claims depend on it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VoterView {
    /// Until when the voter keeps this process's subjects attached; `None` before the voter's first
    /// confirmation in the session.
    pub(crate) valid_until: Option<Instant>,
    /// The highest epoch that the voter has confirmed in the current session.
    pub(crate) epoch: u64,
}

/// This process's claim to one subject.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub(crate) stage: Stage,
    /// Voters that have confirmed the attachment in the current session.
    pub(crate) attached: VoterSet,
    /// Voters that may have attached the subject: the request was sent, and the voter has neither
    /// rejected it nor confirmed a detachment since.
    pub(crate) sent: VoterSet,
    /// Voters that rejected the subject in this attempt.
    pub(crate) rejected: VoterSet,
    /// The number of consecutive attempts that failed because other processes tried at the same
    /// time.
    pub(crate) contended_attempts: u32,
    /// When the right to act on the subject ends or ended.
    pub(crate) until: Instant,
    /// Why a voter last rejected the subject.
    pub(crate) reason: Option<RejectionReason>,
    /// When this process no longer wants the subject.
    pub(crate) wanted_until: Instant,
}

impl Claim {
    pub(crate) fn new(wanted_until: Instant, now: Instant) -> Claim {
        Claim {
            stage: Stage::Attaching { deadline: None },
            attached: VoterSet::EMPTY,
            sent: VoterSet::EMPTY,
            rejected: VoterSet::EMPTY,
            contended_attempts: 0,
            until: now,
            reason: None,
            wanted_until,
        }
    }

    /// Returns the right to act on the subject if this process has it at `now`.
    pub(crate) fn held(&self, now: Instant) -> Option<HeldLease> {
        match self.stage {
            Stage::Holding { epoch } if now < self.until => Some(HeldLease {
                epoch,
                until: self.until,
            }),
            _ => None,
        }
    }

    pub(crate) fn state(&self, now: Instant) -> ClaimState {
        match (self.held(now), self.stage) {
            (Some(held), _) => ClaimState::Held(held),
            (None, Stage::Releasing) => ClaimState::Unwanted,
            (None, _) => ClaimState::Wanted(self.reason.clone()),
        }
    }

    /// Returns whether voters that have not attached the subject should attach it.
    pub(crate) fn wants_attaching(&self) -> bool {
        !matches!(self.stage, Stage::Waiting { .. } | Stage::Releasing)
    }

    /// Returns when the claim has to be checked even if no message arrives.
    pub(crate) fn due(&self) -> Instant {
        let stage_due = match self.stage {
            Stage::Attaching {
                deadline: Some(deadline),
            }
            | Stage::Confirming { deadline, .. } => deadline,
            Stage::Waiting { until } => until,
            Stage::Holding { .. } => self.until,
            Stage::Attaching { deadline: None } | Stage::Releasing => self.wanted_until,
        };
        match self.stage {
            Stage::Releasing => Instant::from_micros(u64::MAX),
            _ => stage_due.min(self.wanted_until),
        }
    }

    /// Notes that the voter no longer has the subject attached.
    pub(crate) fn forget_voter(&mut self, voter: usize) {
        self.attached.remove(voter);
        self.sent.remove(voter);
        self.rejected.remove(voter);
        if let Stage::Confirming { quorum, .. } = &mut self.stage {
            quorum.remove(voter);
        }
    }

    /// Ends a holding that has expired, or a confirmation whose deadline has passed. The next
    /// holding needs a new epoch, since another process may have held the subject meanwhile.
    pub(crate) fn expire(&mut self, now: Instant) {
        match self.stage {
            Stage::Holding { .. } if self.until <= now => {
                self.stage = Stage::Attaching { deadline: None }
            }
            Stage::Confirming { deadline, .. } if deadline <= now => {
                self.stage = Stage::Attaching { deadline: None }
            }
            _ => {}
        }
    }

    pub(crate) fn is_attached_by_majority(&self, quorums: &Quorums) -> bool {
        matches!(self.stage, Stage::Attaching { .. }) && quorums.are_reached_by(self.attached)
    }

    /// Advances the claim by what voters have confirmed. `view` takes the index of a voter.
    pub(crate) fn advance(
        &mut self,
        quorums: &Quorums,
        view: impl Fn(usize) -> VoterView,
        now: Instant,
    ) {
        let (epoch, confirmed_by) = match self.stage {
            Stage::Confirming { epoch, quorum, .. } => (epoch, self.attached.intersection(quorum)),
            Stage::Holding { epoch } => (epoch, self.attached),
            _ => return,
        };
        let valid_until = |voter: usize| {
            let view = view(voter);
            view.valid_until.filter(|_| view.epoch >= epoch)
        };
        let Some(until) = quorums
            .granted_until(confirmed_by, valid_until)
            .filter(|until| *until > now)
        else {
            return;
        };
        match self.stage {
            Stage::Holding { .. } => self.until = self.until.max(until),
            _ => {
                (self.stage, self.until) = (Stage::Holding { epoch }, until);
                (self.contended_attempts, self.reason) = (0, None);
            }
        }
    }

    /// Returns whether so many voters have rejected the subject that this attempt can't reach a
    /// majority.
    pub(crate) fn has_failed(&self, quorums: &Quorums, all: VoterSet) -> bool {
        matches!(self.stage, Stage::Attaching { .. })
            && !quorums.are_reached_by(all.difference(self.rejected))
    }
}
