//! Requests to voters. Each voter has at most one pending request; attachments and detachments stay
//! within the update rate, and renewals are sent in time.
use super::{
    ATTEMPT_TIMEOUT_TERMS, BURST_SECONDS, JITTER, LEGACY_CHECK_AFTER_REQUESTS, Leases,
    RENEWAL_FRACTION, REQUEST_TIMEOUT_TERMS, SESSION_TIMEOUT_TERMS, UPDATE_OVERHEAD_BYTES,
};
use crate::claim::Stage;
use crate::legacy::LegacyMessage;
use crate::link::{Changes, Request};
use crate::message::Message;
use crate::outgoing::{Outgoing, Recipients};
use thistlecroft::time::{Duration, Instant};

/// The change that a pending subject needs at a voter.
enum PendingChange {
    Attach,
    Detach,
    /// The voter has rejected the subject; it is requested again with the next renewal.
    WaitForRenewal,
    None,
}

impl Leases {
    fn has_claims(&self) -> bool {
        !self.claims.is_empty()
    }

    /// Returns when the link to a voter is due; `None` while it has nothing to do.
    pub(super) fn link_due(&self, voter: usize) -> Option<Instant> {
        let link = &self.links[voter];
        if let Some(request) = &link.request {
            return Some(request.retry_at);
        }
        if !self.has_claims() {
            return None;
        }
        let has_updates = link.session.is_some() && !link.pending.is_empty();
        let update_at = has_updates.then(|| self.budget_available_at());
        Some(update_at.map_or(link.next_renewal, |at| at.min(link.next_renewal)))
    }

    fn budget_available_at(&self) -> Instant {
        let missing_bytes = (-self.update_budget).max(0.0);
        let seconds = missing_bytes / f64::from(self.config.update_rate.max(1));
        self.budget_refilled_at + Duration::from_micros((seconds * 1e6).ceil() as u64)
    }

    fn refill_budget(&mut self, now: Instant) {
        let rate = f64::from(self.config.update_rate);
        let elapsed = now.duration_since(self.budget_refilled_at);
        let saved = self.update_budget + rate * elapsed.as_secs_f64();
        self.update_budget = saved.min(rate * BURST_SECONDS);
        self.budget_refilled_at = now;
    }

    /// Sends a request to a voter, if one is due and none is pending.
    pub(super) fn send_request(&mut self, voter: usize, now: Instant) {
        if self.links[voter].request.is_some() || !self.has_claims() {
            return;
        }
        self.refill_budget(now);
        let is_own = self.links[voter].voter == self.identity.name;
        let is_renewal = self.links[voter].next_renewal <= now;
        if is_renewal {
            let rejected = std::mem::take(&mut self.links[voter].rejected);
            self.links[voter].pending.extend(rejected);
        }
        let has_budget = is_own || self.update_budget >= 0.0;
        let changes = if self.links[voter].session.is_some() && has_budget {
            self.take_pending_changes(voter, now)
        } else {
            Changes::default()
        };
        if changes.is_empty() && !is_renewal {
            return;
        }
        if !changes.is_empty() && !is_own {
            self.update_budget -= (changes.bytes() + UPDATE_OVERHEAD_BYTES) as f64;
            self.next_link = (voter + 1) % self.links.len();
        }
        let message = self.start_request(voter, changes, now);
        self.send(Recipients::Voter(self.links[voter].voter.clone()), &message);
        if is_own {
            self.receive_as_voter(&self.identity.clone(), message, now);
        }
    }

    /// Creates a request, notes it as pending and schedules the next renewal.
    fn start_request(&mut self, voter: usize, changes: Changes, now: Instant) -> Message {
        self.sequence += 1;
        self.counts.requests += 1;
        let request = Request {
            sequence: self.sequence,
            sent_at: now,
            retry_at: now + self.config.term * REQUEST_TIMEOUT_TERMS,
            changes,
        };
        let link = &mut self.links[voter];
        let generation = self.config.electorate.generation;
        let message = request.to_message(generation, link.session, self.epoch);
        let fraction = RENEWAL_FRACTION * (1.0 - JITTER * self.rng.unit_f64());
        link.next_renewal = now + self.config.holding_time() * fraction;
        link.request = Some(request);
        message
    }

    /// Takes as many pending subjects of a voter as fit in one message.
    fn take_pending_changes(&mut self, voter: usize, now: Instant) -> Changes {
        let mut changes = Changes::default();
        loop {
            let next = self.links[voter].pending.first();
            if !next.is_some_and(|subject| changes.has_room_for(subject)) {
                return changes;
            }
            let Some(subject) = self.links[voter].pending.pop_first() else {
                return changes;
            };
            match self.pending_change(voter, &subject, now) {
                PendingChange::Attach => {
                    self.begin_attempt(voter, &subject, now);
                    changes.attach.push(subject);
                }
                PendingChange::Detach => changes.detach.push(subject),
                PendingChange::WaitForRenewal => {
                    self.links[voter].rejected.insert(subject);
                }
                PendingChange::None => {}
            }
        }
    }

    fn pending_change(&self, voter: usize, subject: &[u8], now: Instant) -> PendingChange {
        let Some(claim) = self.claims.get(subject) else {
            return PendingChange::None;
        };
        if !claim.wants_attaching() {
            return if claim.sent.contains(voter) {
                PendingChange::Detach
            } else {
                PendingChange::None
            };
        }
        if claim.attached.contains(voter) {
            PendingChange::None
        } else if claim.rejected.contains(voter) && claim.held(now).is_none() {
            PendingChange::WaitForRenewal
        } else {
            PendingChange::Attach
        }
    }

    /// Notes that the voter is asked to attach the subject. The first such request of an attempt
    /// sets its deadline.
    fn begin_attempt(&mut self, voter: usize, subject: &[u8], now: Instant) {
        let Some(claim) = self.claims.get_mut(subject) else {
            return;
        };
        claim.sent.insert(voter);
        if let Stage::Attaching {
            deadline: unset @ None,
        } = &mut claim.stage
        {
            let deadline = now + self.config.term * ATTEMPT_TIMEOUT_TERMS;
            *unset = Some(deadline);
            self.claims_due = self.claims_due.min(deadline);
        }
    }

    pub(super) fn send(&mut self, to: Recipients, message: &Message) {
        self.outgoing.push(Outgoing::new(to, message));
    }

    pub(super) fn send_legacy(&mut self, to: Recipients, message: &LegacyMessage) {
        self.outgoing.push(Outgoing::legacy(to, message));
    }

    /// Drops a request that was not answered in time and makes its changes pending again.
    pub(super) fn handle_request_timeout(&mut self, voter: usize, now: Instant) {
        let session_timeout = self.config.term * SESSION_TIMEOUT_TERMS;
        let link = &mut self.links[voter];
        link.abandon_request();
        link.unanswered += 1;
        self.counts.retries += 1;
        if link.unanswered >= LEGACY_CHECK_AFTER_REQUESTS {
            let recipient = Recipients::Voter(link.voter.clone());
            let recall = LegacyMessage::Recall {
                generation: self.config.electorate.generation,
                starting: false,
            };
            self.send_legacy(recipient, &recall);
        }
        let link = &self.links[voter];
        let is_recent = |at: Instant| now.duration_since(at) < session_timeout;
        // The voter has dropped the session by now, with everything attached to it.
        if link.session.is_some() && !link.confirmed_at.is_some_and(is_recent) {
            self.forget_session(voter);
        }
    }
}
