//! One subject that this process wants: at which voters it is attached, with which epoch, and until
//! when it may be acted on.
use crate::electorate::{Quorums, VoterSet};
use crate::message::Reason;
use thistlecroft::time::Instant;

/// The right to act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// Grows with each new holding; whoever keeps state for a holder refuses an older one.
    pub epoch: u64,
    /// Not at or after this moment of the holder's clock.
    pub until: Instant,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    Held(Held),
    /// Asked for; what the last refusal said, where there was one.
    Wanted(Option<Reason>),
    Unwanted,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It is to be attached at a majority. The attempt ends at that time, counted from when it was
    /// first sent.
    Attaching {
        ends: Option<Instant>,
    },
    /// These have attached it; the epoch is chosen and has to be kept by a majority of them.
    Confirming {
        epoch: u64,
        quorum: VoterSet,
        ends: Instant,
    },
    Holding {
        epoch: u64,
    },
    /// The attempt was lost: detached everywhere, and tried again at that time.
    Waiting {
        until: Instant,
    },
    /// It is wanted no more, and is forgotten once it is detached everywhere.
    Releasing,
}

/// What is known of a voter when a claim is looked at.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VoterView {
    /// Until when it stands by what is attached there.
    pub stands_until: Option<Instant>,
    /// The highest epoch that it said it keeps, in the session in force.
    pub epoch: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub stage: Stage,
    /// Voters that said it is attached, in their session in force.
    pub attached: VoterSet,
    /// Voters that were asked to attach it and have not said since that they did not, or that it is
    /// detached.
    pub sent: VoterSet,
    /// Voters that refused it in this attempt.
    pub refused: VoterSet,
    /// Attempts lost in a row to others who tried at the same time.
    pub lost: u32,
    pub until: Instant,
    pub reason: Option<Reason>,
    pub wanted_until: Instant,
}

impl Claim {
    pub fn new(wanted_until: Instant, now: Instant) -> Claim {
        Claim {
            stage: Stage::Attaching { ends: None },
            attached: VoterSet::EMPTY,
            sent: VoterSet::EMPTY,
            refused: VoterSet::EMPTY,
            lost: 0,
            until: now,
            reason: None,
            wanted_until,
        }
    }

    pub fn held(&self, now: Instant) -> Option<Held> {
        match self.stage {
            Stage::Holding { epoch } if now < self.until => Some(Held {
                epoch,
                until: self.until,
            }),
            _ => None,
        }
    }

    pub fn state(&self, now: Instant) -> State {
        match (self.held(now), self.stage) {
            (Some(held), _) => State::Held(held),
            (None, Stage::Releasing) => State::Unwanted,
            (None, _) => State::Wanted(self.reason.clone()),
        }
    }

    /// If it is to be attached where it is not yet.
    pub fn wants_attaching(&self) -> bool {
        !matches!(self.stage, Stage::Waiting { .. } | Stage::Releasing)
    }

    /// When something has to be done about it whatever comes.
    pub fn due(&self) -> Instant {
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

    /// A voter has forgotten it, or never had it.
    pub fn forget_voter(&mut self, voter: usize) {
        self.attached.remove(voter);
        self.sent.remove(voter);
        self.refused.remove(voter);
        if let Stage::Confirming { quorum, .. } = &mut self.stage {
            quorum.remove(voter);
        }
    }

    /// The right that ran out is not taken up again with its epoch: another may have held it
    /// meanwhile.
    pub fn expire(&mut self, now: Instant) {
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

    pub fn is_attached_by_majority(&self, quorums: &Quorums) -> bool {
        matches!(self.stage, Stage::Attaching { .. }) && quorums.carries(self.attached)
    }

    /// Takes up what voters have confirmed; `view` says it for a voter by its position.
    pub fn advance(&mut self, quorums: &Quorums, view: impl Fn(usize) -> VoterView, now: Instant) {
        let (epoch, by) = match self.stage {
            Stage::Confirming { epoch, quorum, .. } => (epoch, self.attached.and(quorum)),
            Stage::Holding { epoch } => (epoch, self.attached),
            _ => return,
        };
        let stands = |voter: usize| {
            let view = view(voter);
            view.stands_until.filter(|_| view.epoch >= epoch)
        };
        let Some(until) = quorums
            .carried_until(by, stands)
            .filter(|until| *until > now)
        else {
            return;
        };
        match self.stage {
            Stage::Holding { .. } => self.until = self.until.max(until),
            _ => {
                (self.stage, self.until) = (Stage::Holding { epoch }, until);
                (self.lost, self.reason) = (0, None);
            }
        }
    }

    /// If a majority can't be had in this attempt any more.
    pub fn is_lost(&self, quorums: &Quorums, all: VoterSet) -> bool {
        matches!(self.stage, Stage::Attaching { .. }) && !quorums.carries(all.without(self.refused))
    }
}
