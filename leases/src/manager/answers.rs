//! Received messages: answers of voters, requests to this process as a voter, and messages of the
//! legacy protocol.
use super::{LEGACY_CHECK_AFTER_REQUESTS, Leases};
use crate::claim::{Claim, Stage};
use crate::legacy::{self, LegacyMessage};
use crate::link::Link;
use crate::message::{CHANNEL, Message, RejectionReason, SessionToken, Updated};
use crate::outgoing::Recipients;
use crate::subject::Subject;
use thistlecroft::time::Instant;
use thistlecroft_peers::Identity;

impl Leases {
    /// Handles the bytes of a message from another process. Channels of other protocols are
    /// ignored.
    pub fn receive(&mut self, from: &Identity, channel: u8, bytes: &[u8], now: Instant) {
        match channel {
            CHANNEL => {
                if let Some(message) = Message::decode(bytes) {
                    self.receive_message(from, message, now);
                }
            }
            legacy::CHANNEL => {
                if let Some(message) = LegacyMessage::decode(bytes) {
                    self.receive_legacy(from, &message, now);
                }
            }
            _ => {}
        }
    }

    /// Handles a message from another process.
    pub fn receive_message(&mut self, from: &Identity, message: Message, now: Instant) {
        // The other process of this name may have granted leases that this one does not know.
        if self.is_duplicate(from) {
            let starting = matches!(message, Message::Recall { starting: true, .. });
            self.voter.note_duplicate(starting, now);
        }
        match message {
            Message::Update(_) | Message::Close { .. } => self.receive_as_voter(from, message, now),
            Message::Updated(_) | Message::Rejected { .. } => {
                self.receive_answer(from, message, now);
                self.make_progress(now);
            }
            Message::Recall { generation, .. } => {
                self.voter.generations.insert(from.name.clone(), generation);
                let answer = Message::Remembered {
                    generation: self.config.electorate.generation,
                    established: self.voter.established,
                    epoch: self.voter.epoch.max(self.epoch),
                };
                self.send(Recipients::Process(from.clone()), &answer);
            }
            Message::Remembered {
                generation,
                established,
                epoch,
            } => {
                self.voter.generations.insert(from.name.clone(), generation);
                self.receive_remembered(from, established, epoch, now);
            }
        }
        self.refresh_settled(now);
    }

    /// Returns whether `from` is another process with this process's name.
    pub(super) fn is_duplicate(&self, from: &Identity) -> bool {
        from.name == self.identity.name && from.run != self.identity.run
    }

    pub(super) fn receive_remembered(
        &mut self,
        from: &Identity,
        established: bool,
        epoch: u64,
        now: Instant,
    ) {
        self.voter.note_remembered(from, established, epoch);
        self.voter.try_establish(&self.identity, &self.config, now);
    }

    /// Handles a request as a voter, whether from another process or from this one.
    pub(super) fn receive_as_voter(&mut self, from: &Identity, message: Message, now: Instant) {
        let answer = match message {
            Message::Update(update) if self.is_voter() => {
                self.voter.handle_update(from, update, &self.config, now)
            }
            Message::Update(update) => {
                let generation = self.config.electorate.generation;
                let reason = RejectionReason::Generation { here: generation };
                Some(Message::Rejected {
                    generation,
                    sequence: update.sequence,
                    reason,
                })
            }
            Message::Close {
                sequence,
                session,
                keep,
            } => {
                self.voter.close_session(from, sequence, session, &keep);
                None
            }
            _ => None,
        };
        let Some(answer) = answer else { return };
        if *from == self.identity {
            self.own_answers.push_back(answer);
        } else {
            self.send(Recipients::Process(from.clone()), &answer);
        }
    }

    /// Handles the answer of a voter.
    pub(super) fn receive_answer(&mut self, from: &Identity, message: Message, now: Instant) {
        let Some(voter) = self.links.iter().position(|link| link.voter == from.name) else {
            return;
        };
        self.advance_claims(now);
        match message {
            Message::Updated(updated) => {
                self.voter
                    .generations
                    .insert(from.name.clone(), updated.generation);
                self.receive_updated(voter, from, updated, now);
            }
            Message::Rejected {
                generation,
                sequence,
                reason,
            } => {
                self.voter.generations.insert(from.name.clone(), generation);
                self.receive_rejected(voter, from, sequence, reason, now);
            }
            _ => {}
        }
    }

    pub(super) fn receive_updated(
        &mut self,
        voter: usize,
        from: &Identity,
        updated: Updated,
        now: Instant,
    ) {
        let Some(request) = self.links[voter]
            .request
            .take_if(|request| request.sequence == updated.sequence)
        else {
            return;
        };
        let link = &self.links[voter];
        if link.process.as_ref() != Some(from) || link.session != Some(updated.session) {
            self.begin_session(voter, from, updated.session);
        }
        let link = &mut self.links[voter];
        (link.confirmed_at, link.epoch, link.unanswered) =
            (Some(request.sent_at), updated.epoch, 0);
        self.epoch = self.epoch.max(updated.epoch);
        for subject in &request.changes.detach {
            self.note_detached(voter, subject);
        }
        let mut rejected = updated.rejected.into_iter().peekable();
        for (index, subject) in (0..).zip(request.changes.attach) {
            let reason = rejected
                .next_if(|(rejected_index, _)| *rejected_index == index)
                .map(|(_, reason)| reason);
            self.note_attached(voter, subject, reason, now);
        }
    }

    /// Starts a new session at a voter, to which nothing is attached yet.
    pub(super) fn begin_session(&mut self, voter: usize, from: &Identity, session: SessionToken) {
        self.forget_session(voter);
        let link = &mut self.links[voter];
        (link.process, link.session) = (Some(from.clone()), Some(session));
    }

    /// Drops the session at a voter with everything that was attached to it.
    pub(super) fn forget_session(&mut self, voter: usize) {
        if self.links[voter].session.is_some() {
            self.counts.sessions_lost += 1;
        }
        self.links[voter].forget_session();
        let mut released = Vec::new();
        for (subject, claim) in &mut self.claims {
            claim.forget_voter(voter);
            if claim.stage == Stage::Releasing && claim.sent.is_empty() {
                released.push(subject.clone());
            }
        }
        released
            .iter()
            .for_each(|subject| drop(self.claims.remove(subject)));
        self.queue_unattached(voter);
    }

    /// Notes that a voter has confirmed a detachment.
    pub(super) fn note_detached(&mut self, voter: usize, subject: &Subject) {
        let Some(claim) = self.claims.get_mut(subject) else {
            return;
        };
        claim.forget_voter(voter);
        if claim.wants_attaching() {
            self.links[voter].pending.insert(subject.clone());
        }
        self.remove_if_released(subject);
    }

    /// Notes that a voter has attached a subject, or why it has rejected it.
    pub(super) fn note_attached(
        &mut self,
        voter: usize,
        subject: Subject,
        rejected: Option<RejectionReason>,
        now: Instant,
    ) {
        let Some(claim) = self.claims.get_mut(&subject) else {
            return;
        };
        let link = &mut self.links[voter];
        let Some(reason) = rejected else {
            // A subject that was released or whose attempt failed meanwhile is detached first, even
            // if it is requested again later.
            if claim.wants_attaching() {
                claim.attached.insert(voter);
            } else {
                link.pending.insert(subject);
            }
            return;
        };
        self.counts.rejections += 1;
        claim.sent.remove(voter);
        if claim.wants_attaching() {
            claim.rejected.insert(voter);
            if claim.held(now).is_none() {
                claim.reason = Some(reason);
            }
            link.rejected.insert(subject);
        } else {
            self.remove_if_released(&subject);
        }
    }

    pub(super) fn receive_rejected(
        &mut self,
        voter: usize,
        from: &Identity,
        sequence: u32,
        reason: RejectionReason,
        now: Instant,
    ) {
        let link = &mut self.links[voter];
        let Some(request) = link
            .request
            .as_ref()
            .filter(|request| request.sequence == sequence)
        else {
            return;
        };
        link.unanswered = 0;
        self.counts.rejections += 1;
        if reason == RejectionReason::UnknownSession {
            (link.process, link.next_renewal) = (Some(from.clone()), now);
            link.abandon_request();
            self.forget_session(voter);
            return;
        }
        // The request is kept until it times out, since another process with the voter's name may
        // still grant it.
        let requested = request.changes.attach.clone();
        let set_reason = |claim: &mut Claim| {
            if !matches!(claim.stage, Stage::Holding { .. }) {
                claim.reason = Some(reason.clone());
            }
        };
        if requested.is_empty() {
            self.claims.values_mut().for_each(set_reason);
        } else {
            for subject in &requested {
                self.claims
                    .get_mut(subject)
                    .into_iter()
                    .for_each(set_reason);
            }
        }
    }

    /// Handles a message of the legacy protocol, in which nothing is granted and no grant accepted.
    pub(super) fn receive_legacy(
        &mut self,
        from: &Identity,
        message: &LegacyMessage,
        now: Instant,
    ) {
        self.counts.older_protocol += 1;
        if self.is_duplicate(from) {
            let starting = matches!(message, LegacyMessage::Recall { starting: true, .. });
            self.voter.note_duplicate(starting, now);
        }
        if let Some(rejection) = message.rejection() {
            self.send_legacy(Recipients::Process(from.clone()), &rejection);
        }
        match message {
            LegacyMessage::Recall { .. } => {
                let answer = LegacyMessage::Remembered {
                    generation: self.config.electorate.generation,
                    established: self.voter.established,
                    epoch: self.voter.epoch.max(self.epoch),
                };
                self.send_legacy(Recipients::Process(from.clone()), &answer);
            }
            LegacyMessage::Request { epoch, .. } => self.voter.epoch = self.voter.epoch.max(*epoch),
            LegacyMessage::Remembered {
                established, epoch, ..
            } => {
                self.receive_remembered(from, *established, *epoch, now);
                self.note_older_voter(from);
            }
            _ => {}
        }
    }

    /// Sets [`RejectionReason::OlderProtocol`] as the reason of claims without one, if the voter
    /// answers only in the legacy protocol.
    pub(super) fn note_older_voter(&mut self, from: &Identity) {
        let is_unanswered =
            |link: &Link| link.voter == from.name && link.unanswered >= LEGACY_CHECK_AFTER_REQUESTS;
        if self.links.iter().any(is_unanswered) {
            for claim in self.claims.values_mut() {
                if claim.reason.is_none() {
                    claim.reason = Some(RejectionReason::OlderProtocol);
                }
            }
        }
    }
}
