//! A process's part in leases: as a voter if it is one, and for what it wants to hold itself.
mod answers;
mod change;
mod claims;
mod requests;

use crate::claim::{Claim, Held, Stage, State};
use crate::electorate::{LeaseConfig, Quorums};
use crate::legacy::LegacyMessage;
use crate::link::Link;
use crate::message::{
    MAX_SUBJECT_BYTES, MAX_UPDATE_BYTES, MAX_UPDATE_SUBJECTS, Message, Outgoing, Subject, To,
};
use crate::voter::Voter;
use compact_str::CompactString;
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use thistlecroft::random::Rng;
use thistlecroft::time::Instant;
use thistlecroft_peers::Identity;

/// Subjects that a process wants or still gives back at once.
pub const MAX_CLAIMS: usize = 8_192;
/// A session is renewed when so much of its holding time has passed, less up to `JITTER` of that.
const RENEW_AFTER: f64 = 1.0 / 3.0;
const JITTER: f64 = 0.2;
/// A request is sent again after such a part of a term without an answer.
const RETRY_AFTER: f64 = 1.0 / 8.0;
/// An attempt that has not led to a holding in such a part of a term is given up.
const ATTEMPT: f64 = 1.0 / 2.0;
/// What somebody else holds is asked for again after such a part of a term, less up to `JITTER` of
/// that.
const AGAIN_AFTER: f64 = 1.0 / 6.0;
/// The base of the delay after an attempt that was lost to others who tried at the same time, as a
/// part of a term.
const FIRST_DELAY: f64 = 1.0 / 32.0;
const MAX_DOUBLINGS: u32 = 8;
/// After so many requests without an answer a voter is asked whether it speaks the protocol before.
const UNANSWERED: u32 = 2;
/// A session that was not confirmed for so many terms is given up: longer than a voter keeps one
/// that has lapsed.
const SESSION_FORGOTTEN: f64 = 6.0;
/// Seconds of the update rate that may be saved up.
const BURST: f64 = 0.5;
/// Bytes of an update beside its subjects, with the datagram round it.
const UPDATE_OVERHEAD: usize = 150;

/// Why a subject is not asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireError {
    SubjectTooLong,
    TooManyClaims,
}

impl fmt::Display for AcquireError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AcquireError::SubjectTooLong => {
                write!(out, "the subject is longer than {MAX_SUBJECT_BYTES} bytes")
            }
            AcquireError::TooManyClaims => {
                write!(out, "this relay wants {MAX_CLAIMS} leases already")
            }
        }
    }
}

impl std::error::Error for AcquireError {}

/// Why a change of the configuration is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeError {
    TermChanged,
    WrongGeneration { expected: u32, here: u32 },
    VotersBeforeMissing { voters: Vec<CompactString> },
    VotersChanged { voters: Vec<CompactString> },
    NotSettled,
}

impl fmt::Display for ChangeError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChangeError::TermChanged => write!(
                out,
                "peers.lease: changes with a restart of all relays only"
            ),
            ChangeError::WrongGeneration { expected, here } => {
                write!(out, "peers.generation: {expected} follows {here}")
            }
            ChangeError::VotersBeforeMissing { voters } => {
                write!(
                    out,
                    "peers.voters_before: names the voters until now ({})",
                    voters.join(", ")
                )
            }
            ChangeError::VotersChanged { voters } => {
                write!(
                    out,
                    "peers.voters: stay ({}) while voters_before is taken out",
                    voters.join(", ")
                )
            }
            ChangeError::NotSettled => {
                write!(
                    out,
                    "peers.voters_before: a majority of the voters has not gone by this generation for a lease's time"
                )
            }
        }
    }
}

impl std::error::Error for ChangeError {}

/// How a process votes at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vote {
    NoVoter,
    Retired,
    Silent,
    Votes,
}

impl Vote {
    pub fn word(self) -> &'static str {
        match self {
            Vote::NoVoter => "none",
            Vote::Retired => "yielded",
            Vote::Silent => "silent",
            Vote::Votes => "votes",
        }
    }
}

/// What came and went since the start, and what a voter keeps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseCounts {
    /// Requests of this process, their retries, and answers that refused.
    pub requests: u64,
    pub retries: u64,
    pub refusals: u64,
    /// Sessions that a voter did not know any more.
    pub sessions_lost: u64,
    /// Messages of the protocol before.
    pub older_protocol: u64,
    /// As a voter: subjects and sessions kept, requests refused as full.
    pub voter_subjects: usize,
    pub voter_sessions: usize,
    pub voter_full: u64,
}

#[derive(Clone, Debug)]
pub struct Leases {
    me: Identity,
    config: LeaseConfig,
    quorums: Quorums,
    voter: Voter,
    links: Vec<Link>,
    claims: BTreeMap<Subject, Claim>,
    /// The highest epoch that this process has chosen or heard of.
    epoch: u64,
    sequence: u32,
    /// The link whose turn it is to send subjects.
    next_link: usize,
    /// Bytes of subjects that may be sent now, and as of when.
    allowance: f64,
    allowed_at: Instant,
    /// When a claim has to be looked at next.
    claims_due: Instant,
    /// Since when a majority of both sets was heard to go by this generation.
    settled_since: Option<Instant>,
    outgoing: Vec<Outgoing>,
    /// What this process as a voter answers itself.
    local: VecDeque<Message>,
    chance: Rng,
    counts: LeaseCounts,
}

const NEVER: Instant = Instant::from_micros(u64::MAX);

impl Leases {
    pub fn new(me: Identity, config: LeaseConfig, now: Instant) -> Leases {
        let (voter, chance) = (Voter::new(me.run, now), Rng::from_seed(me.run));
        let links = config
            .electorate
            .all()
            .map(|name| Link::new(name.clone(), now))
            .collect();
        let mut leases = Leases {
            quorums: config.electorate.quorums(),
            allowance: f64::from(config.update_rate) * BURST,
            me,
            config,
            voter,
            links,
            claims: BTreeMap::new(),
            epoch: 0,
            sequence: 0,
            next_link: 0,
            allowed_at: now,
            claims_due: NEVER,
            settled_since: None,
            outgoing: Vec::new(),
            local: VecDeque::new(),
            chance,
            counts: LeaseCounts::default(),
        };
        leases.refresh_settled(now);
        leases
    }

    // ---- what is read ----

    pub fn config(&self) -> &LeaseConfig {
        &self.config
    }

    pub fn vote(&self, now: Instant) -> Vote {
        match (self.is_voter(), self.voter.established, self.voter.retired) {
            (false, ..) => Vote::NoVoter,
            (_, _, true) => Vote::Retired,
            (_, true, _) if !self.voter.is_silent(&self.config, now) => Vote::Votes,
            _ => Vote::Silent,
        }
    }

    fn is_voter(&self) -> bool {
        self.config
            .electorate
            .all()
            .any(|name| *name == self.me.name)
    }

    pub fn counts(&self) -> LeaseCounts {
        LeaseCounts {
            voter_subjects: self.voter.subject_count(),
            voter_sessions: self.voter.session_count(),
            voter_full: self.voter.counts.full,
            ..self.counts
        }
    }

    /// The right to act at this very moment. To be asked at each act, with the time of the act.
    pub fn held(&self, subject: &[u8], now: Instant) -> Option<Held> {
        self.claims.get(subject)?.held(now)
    }

    /// All that may be acted on at this moment.
    pub fn holdings(&self, now: Instant) -> impl Iterator<Item = (&[u8], Held)> {
        self.claims
            .iter()
            .filter_map(move |(subject, claim)| Some((subject.as_slice(), claim.held(now)?)))
    }

    pub fn state(&self, subject: &[u8], now: Instant) -> State {
        self.claims
            .get(subject)
            .map_or(State::Unwanted, |claim| claim.state(now))
    }

    /// What is wanted here.
    pub fn subjects(&self) -> impl Iterator<Item = &[u8]> {
        let wanted = |(_, claim): &(&Subject, &Claim)| claim.stage != Stage::Releasing;
        self.claims
            .iter()
            .filter(wanted)
            .map(|(subject, _)| subject.as_slice())
    }

    pub fn due(&self, now: Instant) -> Option<Instant> {
        let links = (0..self.links.len()).filter_map(|voter| self.link_due(voter));
        let claims = (self.claims_due < NEVER).then_some(self.claims_due);
        links
            .chain(claims)
            .chain(self.next_recall())
            .min()
            .map(|due| due.max(now))
    }

    fn next_recall(&self) -> Option<Instant> {
        let changing = !self.config.electorate.before.is_empty() && self.settled_since.is_none();
        self.voter
            .next_recall(self.is_voter(), changing, &self.config)
    }

    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outgoing)
    }

    // ---- what is wanted here ----

    /// Asks for a lease, and goes on asking and renewing until `until` or its release.
    ///
    /// # Errors
    /// The subject is too long, or too many are wanted here.
    pub fn acquire(
        &mut self,
        subject: &[u8],
        until: Instant,
        now: Instant,
    ) -> Result<(), AcquireError> {
        if subject.len() > MAX_SUBJECT_BYTES {
            return Err(AcquireError::SubjectTooLong);
        }
        let room = self.claims.len() < MAX_CLAIMS;
        match self.claims.get_mut(subject) {
            Some(claim) if claim.stage == Stage::Releasing => {
                // Taken back before all voters were told: it is another holding.
                claim.stage = Stage::Attaching { ends: None };
                claim.wanted_until = until;
                (claim.lost, claim.reason) = (0, None);
            }
            Some(claim) => {
                claim.wanted_until = claim.wanted_until.max(until);
                return Ok(());
            }
            None if !room => return Err(AcquireError::TooManyClaims),
            None => drop(self.claims.insert(subject.to_vec(), Claim::new(until, now))),
        }
        self.queue_everywhere(subject);
        self.claims_due = self.claims_due.min(now);
        Ok(())
    }

    /// Gives it back: this process does not act for it from here on, and the voters are told until
    /// they have heard.
    pub fn release(&mut self, subject: &[u8], now: Instant) {
        let Some(claim) = self.claims.get_mut(subject) else {
            return;
        };
        claim.stage = Stage::Releasing;
        self.queue_detach(subject);
        self.forget_released(subject);
        self.claims_due = self.claims_due.min(now);
    }

    /// Ends in good order: gives back what it holds and grants nothing more. `told`: somebody was
    /// told that this process holds it, and may be acting on that; such a lease runs out by itself,
    /// or two would act at once.
    pub fn leave(&mut self, told: impl Fn(&[u8]) -> bool) {
        let keep: Vec<Subject> = self
            .claims
            .keys()
            .filter(|subject| told(subject))
            .cloned()
            .collect();
        let bytes: usize = keep.iter().map(|subject| subject.len() + 1).sum();
        // What does not fit in one message runs out by itself, all of it.
        if bytes <= MAX_UPDATE_BYTES && keep.len() <= MAX_UPDATE_SUBJECTS {
            for voter in 0..self.links.len() {
                let Some(session) = self.links[voter].session else {
                    continue;
                };
                self.sequence += 1;
                let close = Message::Close {
                    sequence: self.sequence,
                    session,
                    keep: keep.clone(),
                };
                self.send(To::Voter(self.links[voter].voter.clone()), &close);
            }
        }
        self.claims.clear();
        self.links.iter_mut().for_each(|link| link.pending.clear());
        (self.voter.retired, self.claims_due) = (true, NEVER);
    }

    // ---- time ----

    /// All that is due.
    pub fn tick(&mut self, now: Instant) {
        if self.next_recall().is_some_and(|at| at <= now) {
            self.recall(now);
        }
        if self.claims_due <= now {
            self.check_claims(now);
        }
        for voter in 0..self.links.len() {
            if self.links[voter]
                .request
                .as_ref()
                .is_some_and(|request| request.retry_at <= now)
            {
                self.retry(voter, now);
            }
        }
        self.proceed(now);
    }

    /// Not only voters remember epochs, and another process of the own name is to vote no more.
    /// Each time a share of all is asked, so that a fleet's answers do not come at once.
    fn recall(&mut self, now: Instant) {
        let (part, of) = self.voter.recall_share(&self.config, now);
        let starting = self.is_voter() && !self.voter.established;
        let generation = self.config.electorate.generation;
        let message = Message::Recall {
            generation,
            starting,
        };
        let legacy = LegacyMessage::Recall {
            generation,
            starts: starting,
        }
        .encode();
        let voters: Vec<CompactString> = self.config.electorate.all().cloned().collect();
        for voter in voters {
            self.send(To::Voter(voter.clone()), &message);
            self.outgoing
                .push(Outgoing::legacy(To::Voter(voter), legacy.clone()));
        }
        self.send(To::Share { part, of }, &message);
        self.voter.settle(&self.me, &self.config, now);
    }

    // ---- what goes out ----

    /// Takes up what was confirmed, sends what is to be sent, and notes when to look again.
    fn proceed(&mut self, now: Instant) {
        loop {
            self.advance_claims(now);
            for step in 0..self.links.len() {
                let voter = (self.next_link + step) % self.links.len();
                self.send_request(voter, now);
            }
            let Some(answer) = self.local.pop_front() else {
                break;
            };
            let me = self.me.clone();
            self.answered(&me, answer, now);
        }
    }
}
