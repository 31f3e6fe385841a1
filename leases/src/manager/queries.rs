//! Queries of the state of [`Leases`].
use super::{Leases, NEVER};
use crate::claim::{Claim, ClaimState, HeldLease, Stage};
use crate::electorate::LeaseConfig;
use crate::outgoing::Outgoing;
use crate::subject::Subject;
use thistlecroft::time::Instant;

/// Whether a process votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoterStatus {
    /// The electorate does not name this process.
    NotAVoter,
    /// Another process of the same name votes in its place, or this one is shutting down.
    Retired,
    /// The process started recently and can't vote yet.
    Silent,
    /// The process votes.
    Voting,
}

impl VoterStatus {
    /// Returns the name of this state in reports to operators.
    pub fn as_str(self) -> &'static str {
        match self {
            VoterStatus::NotAVoter => "none",
            VoterStatus::Retired => "yielded",
            VoterStatus::Silent => "silent",
            VoterStatus::Voting => "votes",
        }
    }
}

/// Counters since the start, and the size of the voter's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseCounts {
    /// Requests of this process to voters.
    pub requests: u64,
    /// Requests that timed out and whose changes were requested again.
    pub retries: u64,
    /// Requests that a voter rejected, and subjects that it did not attach.
    pub rejections: u64,
    /// Sessions of this process that were lost: replaced or no longer known at the voter, or
    /// unconfirmed for too long.
    pub sessions_lost: u64,
    /// Received messages of the legacy protocol.
    pub older_protocol: u64,
    /// As a voter: subjects attached now.
    pub voter_subjects: usize,
    /// As a voter: sessions kept now.
    pub voter_sessions: usize,
    /// As a voter: sessions and subjects rejected for lack of capacity.
    pub voter_full: u64,
}

impl Leases {
    /// Returns the current configuration.
    pub fn config(&self) -> &LeaseConfig {
        &self.config
    }

    /// Returns whether this process votes at `now`.
    pub fn voter_status(&self, now: Instant) -> VoterStatus {
        match (self.is_voter(), self.voter.established, self.voter.retired) {
            (false, ..) => VoterStatus::NotAVoter,
            (_, _, true) => VoterStatus::Retired,
            (_, true, _) if !self.voter.is_silent(&self.config, now) => VoterStatus::Voting,
            _ => VoterStatus::Silent,
        }
    }

    pub(super) fn is_voter(&self) -> bool {
        self.config
            .electorate
            .all_voters()
            .any(|name| *name == self.identity.name)
    }

    /// Returns the counters and sizes for reports.
    pub fn counts(&self) -> LeaseCounts {
        LeaseCounts {
            voter_subjects: self.voter.subject_count(),
            voter_sessions: self.voter.session_count(),
            voter_full: self.voter.counts.at_capacity,
            ..self.counts
        }
    }

    /// Returns the right to act on a subject if this process has it at `now`. Callers check it
    /// before each action.
    pub fn held(&self, subject: &[u8], now: Instant) -> Option<HeldLease> {
        self.claims.get(subject)?.held(now)
    }

    /// Returns all subjects that this process may act on at `now`.
    pub fn holdings(&self, now: Instant) -> impl Iterator<Item = (&[u8], HeldLease)> {
        self.claims
            .iter()
            .filter_map(move |(subject, claim)| Some((subject.as_slice(), claim.held(now)?)))
    }

    /// Returns the state of the claim to a subject.
    pub fn state(&self, subject: &[u8], now: Instant) -> ClaimState {
        self.claims
            .get(subject)
            .map_or(ClaimState::Unwanted, |claim| claim.state(now))
    }

    /// Returns the subjects that this process wants to hold.
    pub fn subjects(&self) -> impl Iterator<Item = &[u8]> {
        let is_wanted = |(_, claim): &(&Subject, &Claim)| claim.stage != Stage::Releasing;
        self.claims
            .iter()
            .filter(is_wanted)
            .map(|(subject, _)| subject.as_slice())
    }

    /// Returns when [`Leases::tick`] has to be called next; `None` while there is nothing to do.
    pub fn due(&self, now: Instant) -> Option<Instant> {
        let links = (0..self.links.len()).filter_map(|voter| self.link_due(voter));
        let claims = (self.claims_due < NEVER).then_some(self.claims_due);
        links
            .chain(claims)
            .chain(self.next_recall())
            .min()
            .map(|due| due.max(now))
    }

    /// Returns when to ask other processes for epochs or generations next.
    pub(super) fn next_recall(&self) -> Option<Instant> {
        let is_joint = !self.config.electorate.previous_voters.is_empty();
        if is_joint && self.settled_since.is_none() {
            return Some(self.voter.next_generation_query());
        }
        if self.is_voter() {
            self.voter.next_recall(&self.config)
        } else {
            None
        }
    }

    /// Takes the messages to send.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outgoing)
    }
}
