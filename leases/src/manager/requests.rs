//! What goes out to voters: one request a voter at a time, subjects within the update rate,
//! renewals in time.
use super::{
    ATTEMPT, BURST, JITTER, Leases, RENEW_AFTER, RETRY_AFTER, SESSION_FORGOTTEN, UNANSWERED,
    UPDATE_OVERHEAD,
};
use crate::claim::Stage;
use crate::legacy::LegacyMessage;
use crate::link::Request;
use crate::message::{MAX_UPDATE_BYTES, MAX_UPDATE_SUBJECTS, Message, Outgoing, Subject, To};
use thistlecroft::time::{Duration, Instant};

impl Leases {
    pub(super) fn is_active(&self) -> bool {
        !self.claims.is_empty()
    }

    /// When the link has something to do; `None` while it waits for nothing.
    pub(super) fn link_due(&self, voter: usize) -> Option<Instant> {
        let link = &self.links[voter];
        if let Some(request) = &link.request {
            return Some(request.retry_at);
        }
        if !self.is_active() {
            return None;
        }
        let updates =
            (link.session.is_some() && !link.pending.is_empty()).then(|| self.allowed_again());
        Some(updates.map_or(link.next_renewal, |at| at.min(link.next_renewal)))
    }

    pub(super) fn allowed_again(&self) -> Instant {
        let missing = (-self.allowance).max(0.0) / f64::from(self.config.update_rate.max(1));
        self.allowed_at + Duration::from_micros((missing * 1e6).ceil() as u64)
    }

    pub(super) fn refill(&mut self, now: Instant) {
        let rate = f64::from(self.config.update_rate);
        let saved = self.allowance + rate * now.duration_since(self.allowed_at).as_secs_f64();
        (self.allowance, self.allowed_at) = (saved.min(rate * BURST), now);
    }

    pub(super) fn send_request(&mut self, voter: usize, now: Instant) {
        if self.links[voter].request.is_some() || !self.is_active() {
            return;
        }
        self.refill(now);
        let own = self.links[voter].voter == self.me.name;
        let may_update = self.links[voter].session.is_some() && (own || self.allowance >= 0.0);
        let (mut detach, mut attach, mut bytes) = (Vec::new(), Vec::new(), 0);
        if self.links[voter].next_renewal <= now {
            let refused = std::mem::take(&mut self.links[voter].refused);
            self.links[voter].pending.extend(refused);
        }
        if may_update {
            bytes = self.take_pending(voter, now, &mut detach, &mut attach);
        }
        let updates = !detach.is_empty() || !attach.is_empty();
        if !updates && self.links[voter].next_renewal > now {
            return;
        }
        if updates && !own {
            self.allowance -= (bytes + UPDATE_OVERHEAD) as f64;
            self.next_link = (voter + 1) % self.links.len();
        }
        self.sequence += 1;
        self.counts.requests += 1;
        let retry_at = now + self.config.term * RETRY_AFTER;
        let request = Request {
            sequence: self.sequence,
            sent_at: now,
            retry_at,
            detach,
            attach,
        };
        let link = &mut self.links[voter];
        let message = request.message(self.config.electorate.generation, link.session, self.epoch);
        let part = RENEW_AFTER * (1.0 - JITTER * self.chance.unit_f64());
        link.next_renewal = now + self.config.holding_time() * part;
        link.request = Some(request);
        let to = To::Voter(link.voter.clone());
        self.send(to, &message);
        if own {
            self.receive_as_voter(&self.me.clone(), message, now);
        }
    }

    /// As many subjects as one message takes.
    pub(super) fn take_pending(
        &mut self,
        voter: usize,
        now: Instant,
        detach: &mut Vec<Subject>,
        attach: &mut Vec<Subject>,
    ) -> usize {
        let mut bytes = 0;
        while let Some(subject) = self.links[voter].pending.first() {
            if bytes + subject.len() + 1 > MAX_UPDATE_BYTES
                || detach.len() + attach.len() >= MAX_UPDATE_SUBJECTS
            {
                break;
            }
            let Some(subject) = self.links[voter].pending.pop_first() else {
                break;
            };
            let Some(claim) = self.claims.get_mut(&subject) else {
                continue;
            };
            if claim.wants_attaching() {
                if claim.attached.contains(voter) {
                    continue;
                }
                if claim.refused.contains(voter) && claim.held(now).is_none() {
                    self.links[voter].refused.insert(subject);
                    continue;
                }
                claim.sent.insert(voter);
                if let Stage::Attaching { ends: ends @ None } = &mut claim.stage {
                    let at = now + self.config.term * ATTEMPT;
                    *ends = Some(at);
                    self.claims_due = self.claims_due.min(at);
                }
                bytes += subject.len() + 1;
                attach.push(subject);
            } else if claim.sent.contains(voter) {
                bytes += subject.len() + 1;
                detach.push(subject);
            }
        }
        bytes
    }

    pub(super) fn send(&mut self, to: To, message: &Message) {
        self.outgoing.push(Outgoing::message(to, message));
    }

    pub(super) fn retry(&mut self, voter: usize, now: Instant) {
        let forgotten = self.config.term * SESSION_FORGOTTEN;
        let link = &mut self.links[voter];
        link.give_up_request();
        link.unanswered += 1;
        self.counts.retries += 1;
        if link.unanswered >= UNANSWERED {
            let generation = self.config.electorate.generation;
            let bytes = LegacyMessage::Recall {
                generation,
                starts: false,
            }
            .encode();
            self.outgoing
                .push(Outgoing::legacy(To::Voter(link.voter.clone()), bytes));
        }
        // The voter has dropped it by now, and what was to be detached there is free.
        let link = &self.links[voter];
        if link.session.is_some()
            && link
                .confirmed_at
                .is_none_or(|at| now.duration_since(at) >= forgotten)
        {
            self.forget_session(voter);
        }
    }
}
