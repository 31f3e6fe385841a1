//! This process's session at one voter: one request out at a time, what is still to be told, and
//! what the voter has confirmed.
use crate::message::{Message, SessionToken, Subject, Update};
use compact_str::CompactString;
use std::collections::BTreeSet;
use thistlecroft::time::Instant;
use thistlecroft_peers::Identity;

/// A request that was not answered yet.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub sequence: u32,
    /// When it was sent: what the answer confirms counts from here.
    pub sent_at: Instant,
    pub retry_at: Instant,
    pub detach: Vec<Subject>,
    pub attach: Vec<Subject>,
}

#[derive(Clone, Debug)]
pub(crate) struct Link {
    pub voter: CompactString,
    /// The process that answered last; another one of that name knows nothing of the session.
    pub process: Option<Identity>,
    pub session: Option<SessionToken>,
    pub request: Option<Request>,
    /// Subjects about which the voter is to be told something.
    pub pending: BTreeSet<Subject>,
    /// Subjects that it refused and others granted: asked for again with the next renewal.
    pub refused: BTreeSet<Subject>,
    /// Requests of late that were not answered.
    pub unanswered: u32,
    /// The sending time of the last request that it confirmed.
    pub confirmed_at: Option<Instant>,
    /// The highest epoch that it said it keeps.
    pub epoch: u64,
    /// It has to be told a new epoch, or that the session goes on.
    pub next_renewal: Instant,
}

impl Link {
    pub fn new(voter: CompactString, now: Instant) -> Link {
        Link {
            voter,
            process: None,
            session: None,
            request: None,
            pending: BTreeSet::new(),
            refused: BTreeSet::new(),
            unanswered: 0,
            confirmed_at: None,
            epoch: 0,
            next_renewal: now,
        }
    }

    /// The session is not known at the voter any more.
    pub fn forget_session(&mut self) {
        (self.session, self.confirmed_at, self.epoch) = (None, None, 0);
        self.refused.clear();
    }

    /// What was asked for has to be asked for again.
    pub fn give_up_request(&mut self) {
        let Some(request) = self.request.take() else {
            return;
        };
        self.pending.extend(request.detach);
        self.pending.extend(request.attach);
    }
}

impl Request {
    pub fn message(&self, generation: u32, session: Option<SessionToken>, epoch: u64) -> Message {
        let (attach, detach) = (self.attach.clone(), self.detach.clone());
        Message::Update(Update {
            generation,
            sequence: self.sequence,
            session,
            epoch,
            detach,
            attach,
        })
    }
}
