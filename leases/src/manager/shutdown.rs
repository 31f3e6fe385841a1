//! The graceful shutdown of a process.
use super::{Leases, NEVER};
use crate::message::{MAX_UPDATE_BYTES, MAX_UPDATE_SUBJECTS, Message, SessionToken};
use crate::outgoing::Recipients;
use crate::subject::Subject;

impl Leases {
    /// Releases all leases of this process and stops voting. A lease for which `is_announced` holds
    /// is left to expire: others know that this process holds it and may still act on that, so a
    /// new holder now would mean that two processes act at once.
    pub fn leave(&mut self, is_announced: impl Fn(&[u8]) -> bool) {
        let announced = self.claims.keys().filter(|subject| is_announced(subject));
        let keep: Vec<Subject> = announced.cloned().collect();
        let bytes: usize = keep.iter().map(|subject| subject.len() + 1).sum();
        // Sessions whose kept subjects do not fit in one message are left to expire as a whole.
        if bytes <= MAX_UPDATE_BYTES && keep.len() <= MAX_UPDATE_SUBJECTS {
            for voter in 0..self.links.len() {
                if let Some(session) = self.links[voter].session {
                    self.send_close(voter, session, keep.clone());
                }
            }
        }
        self.claims.clear();
        self.links.iter_mut().for_each(|link| link.pending.clear());
        self.voter.retired = true;
        self.claims_due = NEVER;
    }

    fn send_close(&mut self, voter: usize, session: SessionToken, keep: Vec<Subject>) {
        self.sequence += 1;
        let close = Message::Close {
            sequence: self.sequence,
            session,
            keep,
        };
        self.send(Recipients::Voter(self.links[voter].voter.clone()), &close);
    }
}
