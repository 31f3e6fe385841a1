//! The link from this process to one voter: the session, the pending request and changes, and what
//! the voter has confirmed.
use crate::message::{MAX_UPDATE_BYTES, MAX_UPDATE_SUBJECTS, Message, SessionToken, Update};
use crate::subject::Subject;
use compact_str::CompactString;
use std::collections::BTreeSet;
use thistlecroft::time::Instant;
use thistlecroft_peers::Identity;

/// The subjects that one request asks a voter to attach and detach.
#[derive(Clone, Debug, Default)]
pub(crate) struct Changes {
    pub(crate) detach: Vec<Subject>,
    pub(crate) attach: Vec<Subject>,
}

impl Changes {
    pub(crate) fn is_empty(&self) -> bool {
        self.detach.is_empty() && self.attach.is_empty()
    }

    /// Returns the encoded size of the subjects in bytes.
    pub(crate) fn bytes(&self) -> usize {
        let subjects = self.detach.iter().chain(&self.attach);
        subjects.map(|subject| encoded_bytes(subject)).sum()
    }

    /// Returns whether one message can carry this subject as well.
    pub(crate) fn has_room_for(&self, subject: &[u8]) -> bool {
        self.bytes() + encoded_bytes(subject) <= MAX_UPDATE_BYTES
            && self.detach.len() + self.attach.len() < MAX_UPDATE_SUBJECTS
    }
}

/// Returns the encoded size of a subject: its bytes and one for its length.
fn encoded_bytes(subject: &[u8]) -> usize {
    subject.len() + 1
}

/// A request that has not been answered yet.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) sequence: u32,
    /// When the request was sent. The holding time of what the answer confirms counts from here.
    pub(crate) sent_at: Instant,
    /// When the request times out.
    pub(crate) retry_at: Instant,
    pub(crate) changes: Changes,
}

/// This process's session and pending changes at one voter.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    /// The name of the voter.
    pub voter: CompactString,
    /// The voter's process that opened the session or last rejected its token. Another process with
    /// the voter's name does not know the session.
    pub process: Option<Identity>,
    pub session: Option<SessionToken>,
    pub request: Option<Request>,
    /// Subjects that the voter still has to attach or detach.
    pub pending: BTreeSet<Subject>,
    /// Subjects that the voter rejected. They are requested again with the next renewal.
    pub rejected: BTreeSet<Subject>,
    /// The number of requests that timed out since the voter's last answer.
    pub unanswered: u32,
    /// When the last request that the voter confirmed was sent.
    pub confirmed_at: Option<Instant>,
    /// The highest epoch that the voter has confirmed in this session.
    pub epoch: u64,
    /// When to send the next request that renews the session or carries a new epoch.
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

    /// Drops the session, which the voter no longer knows.
    pub(crate) fn forget_session(&mut self) {
        (self.session, self.confirmed_at, self.epoch) = (None, None, 0);
        self.rejected.clear();
    }

    /// Drops the request without an answer and makes its changes pending again.
    pub(crate) fn abandon_request(&mut self) {
        let Some(request) = self.request.take() else {
            return;
        };
        self.pending.extend(request.changes.detach);
        self.pending.extend(request.changes.attach);
    }
}

impl Request {
    /// Returns the message to send: in a session, or without one to open it.
    pub(crate) fn to_message(
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
