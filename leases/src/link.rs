//! This process's session at one voter: the pending request and changes, and what the voter has
//! confirmed.
use crate::message::{MAX_UPDATE_BYTES, MAX_UPDATE_SUBJECTS, Message, SessionToken, Update};
use crate::subject::Subject;
use compact_str::CompactString;
use std::collections::BTreeSet;
use thistlecroft::time::Instant;
use thistlecroft_peers::Identity;

/// The changes that one request asks for.
#[derive(Clone, Debug, Default)]
pub(crate) struct Changes {
    pub(crate) detach: Vec<Subject>,
    pub(crate) attach: Vec<Subject>,
}

impl Changes {
    pub(crate) fn is_empty(&self) -> bool {
        self.detach.is_empty() && self.attach.is_empty()
    }

    /// The encoded size of the subjects.
    pub(crate) fn bytes(&self) -> usize {
        let subjects = self.detach.iter().chain(&self.attach);
        subjects.map(|subject| encoded_bytes(subject)).sum()
    }

    /// Whether one message can carry this subject as well.
    pub(crate) fn has_room_for(&self, subject: &[u8]) -> bool {
        self.bytes() + encoded_bytes(subject) <= MAX_UPDATE_BYTES
            && self.detach.len() + self.attach.len() < MAX_UPDATE_SUBJECTS
    }
}

/// A subject is encoded with one byte for its length.
fn encoded_bytes(subject: &[u8]) -> usize {
    subject.len() + 1
}

/// A request that is not answered yet.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) sequence: u32,
    /// What the answer confirms is valid from this time on.
    pub(crate) sent_at: Instant,
    pub(crate) retry_at: Instant,
    pub(crate) changes: Changes,
}

#[derive(Clone, Debug)]
pub(crate) struct Link {
    pub voter: CompactString,
    /// The process that answered last. Another one of that name does not know the session.
    pub process: Option<Identity>,
    pub session: Option<SessionToken>,
    pub request: Option<Request>,
    /// Subjects that the voter has to attach or detach.
    pub pending: BTreeSet<Subject>,
    /// Subjects that it rejected and others granted; requested again with the next renewal.
    pub rejected: BTreeSet<Subject>,
    /// Requests without an answer since the last one.
    pub unanswered: u32,
    /// When the last request that it confirmed was sent.
    pub confirmed_at: Option<Instant>,
    /// The highest epoch that it has confirmed.
    pub epoch: u64,
    /// When the session has to be renewed, or a new epoch sent.
    pub next_renewal: Instant,
}

impl Link {
    pub(crate) fn new(voter: CompactString, now: Instant) -> Link {
        Link {
            voter,
            process: None,
            session: None,
            request: None,
            pending: BTreeSet::new(),
            rejected: BTreeSet::new(),
            unanswered: 0,
            confirmed_at: None,
            epoch: 0,
            next_renewal: now,
        }
    }

    /// The voter does not know the session any more.
    pub(crate) fn forget_session(&mut self) {
        (self.session, self.confirmed_at, self.epoch) = (None, None, 0);
        self.rejected.clear();
    }

    /// Drops the request; its changes are pending again.
    pub(crate) fn give_up_request(&mut self) {
        let Some(request) = self.request.take() else {
            return;
        };
        self.pending.extend(request.changes.detach);
        self.pending.extend(request.changes.attach);
    }
}

impl Request {
    /// The request as it is sent in a session, or to open one.
    pub(crate) fn message(
        &self,
        generation: u32,
        session: Option<SessionToken>,
        epoch: u64,
    ) -> Message {
        let Changes { detach, attach } = self.changes.clone();
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
