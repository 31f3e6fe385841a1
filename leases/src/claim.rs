//! The claim of this process to one subject: the voters that have it attached, its epoch, and until
//! when this process may act on it.
use crate::electorate::{Quorums, VoterSet};
use crate::message::RejectionReason;
use thistlecroft::time::Instant;

/// The right to act on a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// The fencing token: grows with each new holding, so that others can reject an older holder.
    pub epoch: u64,
    /// When the right ends, by the holder's clock.
    pub until: Instant,
}

/// What has become of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// This process may act on the subject.
    Held(Held),
    /// It is requested, and was rejected for this reason, if at all.
    Wanted(Option<RejectionReason>),
    /// This process does not claim the subject.
    Unwanted,
}

/// The progress of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// A majority has to attach it before this time, which is set with the first request.
    Attaching { ends: Option<Instant> },
    /// A majority has attached it; the epoch is chosen and a majority of the same voters has to
    /// confirm it.
    Confirming {
        epoch: u64,
        quorum: VoterSet,
        ends: Instant,
    },
    /// This process holds the subject, unless the right has expired.
    Holding { epoch: u64 },
    /// The attempt has failed: it is detached everywhere, and the next one starts at this time.
    Waiting { until: Instant },
    /// It is not wanted any more, and is removed once it is detached everywhere.
    Releasing,
}

/// What a claim needs to know of a voter.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VoterView {
    /// Until when it keeps what is attached there.
    pub(crate) valid_until: Option<Instant>,
    /// The highest epoch that it has confirmed in the current session.
    pub(crate) epoch: u64,
}

/// The claim to one subject.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub(crate) stage: Stage,
    /// Voters that have confirmed the attachment in the current session.
    pub(crate) attached: VoterSet,
    /// Voters that may have it attached: the request is sent, and neither a rejection nor a
    /// detachment confirmed since.
    pub(crate) sent: VoterSet,
    /// Voters that rejected it in this attempt.
    pub(crate) rejected: VoterSet,
    /// Consecutive attempts that failed against processes that tried at the same time.
    pub(crate) contended_attempts: u32,
    /// When the right to act ends, or ended.
    pub(crate) until: Instant,
    /// Why a voter last rejected it.
    pub(crate) reason: Option<RejectionReason>,
    /// When this process loses interest in the subject.
    pub(crate) wanted_until: Instant,
}

impl Claim {
    pub(crate) fn new(wanted_until: Instant, now: Instant) -> Claim {
        Claim {
            stage: Stage::Attaching { ends: None },
            attached: VoterSet::EMPTY,
            sent: VoterSet::EMPTY,
            rejected: VoterSet::EMPTY,
            contended_attempts: 0,
            until: now,
            reason: None,
            wanted_until,
        }
    }

    /// The right to act at this moment.
    pub(crate) fn held(&self, now: Instant) -> Option<Held> {
        match self.stage {
            Stage::Holding { epoch } if now < self.until => Some(Held {
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

    /// Whether voters that have not attached it should.
    pub(crate) fn wants_attaching(&self) -> bool {
        !matches!(self.stage, Stage::Waiting { .. } | Stage::Releasing)
    }

    /// When the claim has to be checked, even if no message arrives.
    pub(crate) fn due(&self) -> Instant {
        let own = match self.stage {
            Stage::Attaching { ends: Some(ends) } | Stage::Confirming { ends, .. } => ends,
            Stage::Waiting { until } => until,
            Stage::Holding { .. } => self.until,
            Stage::Attaching { ends: None } | Stage::Releasing => self.wanted_until,
        };
        match self.stage {
            Stage::Releasing => Instant::from_micros(u64::MAX),
            _ => own.min(self.wanted_until),
        }
    }

    /// The voter does not have the subject attached any more.
    pub(crate) fn forget_voter(&mut self, voter: usize) {
        self.attached.remove(voter);
        self.sent.remove(voter);
        self.rejected.remove(voter);
        if let Stage::Confirming { quorum, .. } = &mut self.stage {
            quorum.remove(voter);
        }
    }

    /// Ends a right that has expired. It does not come back with the same epoch, since another
    /// process may have held the subject meanwhile.
    pub(crate) fn expire(&mut self, now: Instant) {
        match self.stage {
            Stage::Holding { .. } if self.until <= now => {
                self.stage = Stage::Attaching { ends: None }
            }
            Stage::Confirming { ends, .. } if ends <= now => {
                self.stage = Stage::Attaching { ends: None }
            }
            _ => {}
        }
    }

    pub(crate) fn is_attached_by_majority(&self, quorums: &Quorums) -> bool {
        matches!(self.stage, Stage::Attaching { .. }) && quorums.carries(self.attached)
    }

    /// Moves the claim on by what voters have confirmed; `view` is given the index of a voter.
    pub(crate) fn advance(
        &mut self,
        quorums: &Quorums,
        view: impl Fn(usize) -> VoterView,
        now: Instant,
    ) {
        let (epoch, confirmed_by) = match self.stage {
            Stage::Confirming { epoch, quorum, .. } => (epoch, self.attached.and(quorum)),
            Stage::Holding { epoch } => (epoch, self.attached),
            _ => return,
        };
        let valid_until = |voter: usize| {
            let view = view(voter);
            view.valid_until.filter(|_| view.epoch >= epoch)
        };
        let Some(until) = quorums
            .carried_until(confirmed_by, valid_until)
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

    /// Whether a majority is out of reach in this attempt.
    pub(crate) fn has_failed(&self, quorums: &Quorums, all: VoterSet) -> bool {
        matches!(self.stage, Stage::Attaching { .. })
            && !quorums.carries(all.without(self.rejected))
    }
}
