//! A process's part in leases: as a voter if it is one, and for what it wants to hold itself.
use crate::claim::{Claim, Held, Stage, State, VoterView};
use crate::electorate::{LeaseConfig, Quorums, VoterSet};
use crate::legacy::{self, LegacyMessage};
use crate::link::{Link, Request};
use crate::message::{
    CHANNEL, MAX_SUBJECT_BYTES, MAX_UPDATE_BYTES, MAX_UPDATE_SUBJECTS, Message, Outgoing, Reason,
    SessionToken, Subject, To, Updated,
};
use crate::voter::Voter;
use compact_str::CompactString;
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use thistlecroft::units::{Chance, Moment, Span};
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
/// What somebody else holds is asked for again after such a part of a term, less up to `JITTER` of that.
const AGAIN_AFTER: f64 = 1.0 / 6.0;
/// The base of the delay after an attempt that was lost to others who tried at the same time, as a part of a term.
const FIRST_DELAY: f64 = 1.0 / 32.0;
const MAX_DOUBLINGS: u32 = 8;
/// After so many requests without an answer a voter is asked whether it speaks the protocol before.
const UNANSWERED: u32 = 2;
/// A session that was not confirmed for so many terms is given up: longer than a voter keeps one that has lapsed.
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
            AcquireError::TooManyClaims => write!(out, "this relay wants {MAX_CLAIMS} leases already"),
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
            ChangeError::TermChanged => write!(out, "peers.lease: changes with a restart of all relays only"),
            ChangeError::WrongGeneration { expected, here } => {
                write!(out, "peers.generation: {expected} follows {here}")
            }
            ChangeError::VotersBeforeMissing { voters } => {
                write!(out, "peers.voters_before: names the voters until now ({})", voters.join(", "))
            }
            ChangeError::VotersChanged { voters } => {
                write!(out, "peers.voters: stay ({}) while voters_before is taken out", voters.join(", "))
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
    allowed_at: Moment,
    /// When a claim has to be looked at next.
    claims_due: Moment,
    /// Since when a majority of both sets was heard to go by this generation.
    settled_since: Option<Moment>,
    outgoing: Vec<Outgoing>,
    /// What this process as a voter answers itself.
    local: VecDeque<Message>,
    chance: Chance,
    counts: LeaseCounts,
}

const NEVER: Moment = Moment::from_us(u64::MAX);

impl Leases {
    pub fn new(me: Identity, config: LeaseConfig, now: Moment) -> Leases {
        let (voter, chance) = (Voter::new(me.run, now), Chance::from_seed(me.run));
        let links = config.electorate.all().map(|name| Link::new(name.clone(), now)).collect();
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

    pub fn vote(&self, now: Moment) -> Vote {
        match (self.is_voter(), self.voter.established, self.voter.retired) {
            (false, ..) => Vote::NoVoter,
            (_, _, true) => Vote::Retired,
            (_, true, _) if !self.voter.is_silent(&self.config, now) => Vote::Votes,
            _ => Vote::Silent,
        }
    }

    fn is_voter(&self) -> bool {
        self.config.electorate.all().any(|name| *name == self.me.name)
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
    pub fn held(&self, subject: &[u8], now: Moment) -> Option<Held> {
        self.claims.get(subject)?.held(now)
    }

    /// All that may be acted on at this moment.
    pub fn holdings(&self, now: Moment) -> impl Iterator<Item = (&[u8], Held)> {
        self.claims.iter().filter_map(move |(subject, claim)| Some((subject.as_slice(), claim.held(now)?)))
    }

    pub fn state(&self, subject: &[u8], now: Moment) -> State {
        self.claims.get(subject).map_or(State::Unwanted, |claim| claim.state(now))
    }

    /// What is wanted here.
    pub fn subjects(&self) -> impl Iterator<Item = &[u8]> {
        let wanted = |(_, claim): &(&Subject, &Claim)| claim.stage != Stage::Releasing;
        self.claims.iter().filter(wanted).map(|(subject, _)| subject.as_slice())
    }

    pub fn due(&self, now: Moment) -> Option<Moment> {
        let links = (0..self.links.len()).filter_map(|voter| self.link_due(voter));
        let claims = (self.claims_due < NEVER).then_some(self.claims_due);
        links.chain(claims).chain(self.next_recall()).min().map(|due| due.max(now))
    }

    fn next_recall(&self) -> Option<Moment> {
        let changing = !self.config.electorate.before.is_empty() && self.settled_since.is_none();
        self.voter.next_recall(self.is_voter(), changing, &self.config)
    }

    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outgoing)
    }

    // ---- a change of the voters ----

    /// # Errors
    /// Unless it is a step that can't leave two majorities that do not meet.
    pub fn change(&mut self, config: LeaseConfig, now: Moment) -> Result<(), ChangeError> {
        if self.config == config {
            return Ok(());
        }
        self.check_change(&config, now)?;
        let names: Vec<CompactString> = config.electorate.all().cloned().collect();
        let position = |link: &Link| names.iter().position(|name| *name == link.voter);
        let moved: Vec<Option<usize>> = self.links.iter().map(position).collect();
        let mut before = std::mem::take(&mut self.links);
        self.links = names
            .into_iter()
            .map(|name| match before.iter().position(|link| link.voter == name) {
                Some(place) => before.swap_remove(place),
                None => Link::new(name, now),
            })
            .collect();
        self.quorums = config.electorate.quorums();
        (self.config, self.settled_since, self.next_link) = (config, None, 0);
        for claim in self.claims.values_mut() {
            // What is held stays so until its time; what is not is asked for anew.
            (claim.attached, claim.sent) = (claim.attached.moved(&moved), claim.sent.moved(&moved));
            claim.refused = claim.refused.moved(&moved);
            if let Stage::Confirming { .. } = claim.stage {
                claim.stage = Stage::Attaching { ends: None };
            }
        }
        for voter in 0..self.links.len() {
            self.queue_unattached(voter);
            self.links[voter].next_renewal = now;
        }
        self.refresh_settled(now);
        self.proceed(now);
        Ok(())
    }

    fn check_change(&self, config: &LeaseConfig, now: Moment) -> Result<(), ChangeError> {
        let (was, is) = (&self.config.electorate, &config.electorate);
        if config.term != self.config.term {
            return Err(ChangeError::TermChanged);
        }
        if is.generation != was.generation + 1 {
            return Err(ChangeError::WrongGeneration { expected: was.generation + 1, here: was.generation });
        }
        let same = |one: &[CompactString], other: &[CompactString]| {
            one.len() == other.len() && one.iter().all(|name| other.contains(name))
        };
        let begins = was.before.is_empty() && same(&is.before, &was.voters);
        let ends = !was.before.is_empty() && is.before.is_empty() && same(&is.voters, &was.voters);
        match (begins, ends, was.before.is_empty()) {
            (false, false, true) => Err(ChangeError::VotersBeforeMissing { voters: was.voters.clone() }),
            (false, false, false) => Err(ChangeError::VotersChanged { voters: was.voters.clone() }),
            (_, true, _) if !self.is_settled(now) => Err(ChangeError::NotSettled),
            _ => Ok(()),
        }
    }

    /// Whether a majority of the sets before and after was heard to go by this generation, a term ago: what a majority of the
    /// set before alone had granted is over by then.
    pub fn is_settled(&self, now: Moment) -> bool {
        let joint = !self.config.electorate.before.is_empty();
        self.settled_since.is_some_and(|since| !joint || now.since(since) >= self.config.settling_time())
    }

    fn refresh_settled(&mut self, now: Moment) {
        let (heard, of) = (&self.voter.generations, self.config.electorate.generation);
        let own = |name: &str| *name == *self.me.name;
        let settled =
            self.config.electorate.carries(|name| own(name) || heard.get(name).is_some_and(|one| *one >= of));
        match (settled, self.settled_since) {
            (true, None) => self.settled_since = Some(now),
            (false, Some(_)) => self.settled_since = None,
            _ => {}
        }
    }

    // ---- what is wanted here ----

    /// Asks for a lease, and goes on asking and renewing until `until` or its release.
    ///
    /// # Errors
    /// The subject is too long, or too many are wanted here.
    pub fn acquire(&mut self, subject: &[u8], until: Moment, now: Moment) -> Result<(), AcquireError> {
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

    /// Gives it back: this process does not act for it from here on, and the voters are told until they have heard.
    pub fn release(&mut self, subject: &[u8], now: Moment) {
        let Some(claim) = self.claims.get_mut(subject) else { return };
        claim.stage = Stage::Releasing;
        self.queue_detach(subject);
        self.forget_released(subject);
        self.claims_due = self.claims_due.min(now);
    }

    /// Ends in good order: gives back what it holds and grants nothing more. `told`: somebody was told that this process holds
    /// it, and may be acting on that; such a lease runs out by itself, or two would act at once.
    pub fn leave(&mut self, told: impl Fn(&[u8]) -> bool) {
        let keep: Vec<Subject> = self.claims.keys().filter(|subject| told(subject)).cloned().collect();
        let bytes: usize = keep.iter().map(|subject| subject.len() + 1).sum();
        // What does not fit in one message runs out by itself, all of it.
        if bytes <= MAX_UPDATE_BYTES && keep.len() <= MAX_UPDATE_SUBJECTS {
            for voter in 0..self.links.len() {
                let Some(session) = self.links[voter].session else { continue };
                self.sequence += 1;
                let close = Message::Close { sequence: self.sequence, session, keep: keep.clone() };
                self.send(To::Voter(self.links[voter].voter.clone()), &close);
            }
        }
        self.claims.clear();
        self.links.iter_mut().for_each(|link| link.pending.clear());
        (self.voter.retired, self.claims_due) = (true, NEVER);
    }

    // ---- time ----

    /// All that is due.
    pub fn tick(&mut self, now: Moment) {
        if self.next_recall().is_some_and(|at| at <= now) {
            self.recall(now);
        }
        if self.claims_due <= now {
            self.check_claims(now);
        }
        for voter in 0..self.links.len() {
            if self.links[voter].request.as_ref().is_some_and(|request| request.retry_at <= now) {
                self.retry(voter, now);
            }
        }
        self.proceed(now);
    }

    /// Not only voters remember epochs, and another process of the own name is to vote no more. Each time a share of all
    /// is asked, so that a fleet's answers do not come at once.
    fn recall(&mut self, now: Moment) {
        let (part, of) = self.voter.recall_share(&self.config, now);
        let starting = self.is_voter() && !self.voter.established;
        let generation = self.config.electorate.generation;
        let message = Message::Recall { generation, starting };
        let legacy = LegacyMessage::Recall { generation, starts: starting }.encode();
        let voters: Vec<CompactString> = self.config.electorate.all().cloned().collect();
        for voter in voters {
            self.send(To::Voter(voter.clone()), &message);
            self.outgoing.push(Outgoing::legacy(To::Voter(voter), legacy.clone()));
        }
        self.send(To::Share { part, of }, &message);
        self.voter.settle(&self.me, &self.config, now);
    }

    fn retry(&mut self, voter: usize, now: Moment) {
        let forgotten = self.config.term * SESSION_FORGOTTEN;
        let link = &mut self.links[voter];
        link.give_up_request();
        link.unanswered += 1;
        self.counts.retries += 1;
        if link.unanswered >= UNANSWERED {
            let generation = self.config.electorate.generation;
            let bytes = LegacyMessage::Recall { generation, starts: false }.encode();
            self.outgoing.push(Outgoing::legacy(To::Voter(link.voter.clone()), bytes));
        }
        // The voter has dropped it by now, and what was to be detached there is free.
        let link = &self.links[voter];
        if link.session.is_some() && link.confirmed_at.is_none_or(|at| now.since(at) >= forgotten) {
            self.forget_session(voter);
        }
    }

    /// Looks at each claim: rights that ran out, attempts that are over, subjects wanted no more.
    fn check_claims(&mut self, now: Moment) {
        let subjects: Vec<Subject> = self
            .claims
            .iter()
            .filter(|(_, claim)| claim.due() <= now)
            .map(|(subject, _)| subject.clone())
            .collect();
        for subject in subjects {
            let Some(claim) = self.claims.get_mut(&subject) else { continue };
            if claim.wanted_until <= now {
                claim.stage = Stage::Releasing;
                self.queue_detach(&subject);
                self.forget_released(&subject);
                continue;
            }
            match claim.stage {
                Stage::Waiting { .. } => {
                    (claim.stage, claim.refused) = (Stage::Attaching { ends: None }, VoterSet::EMPTY);
                    self.queue_everywhere(&subject);
                }
                Stage::Attaching { ends: Some(ends) } if ends <= now => self.lose_attempt(&subject, now),
                _ => claim.expire(now),
            }
        }
    }

    /// Detaches what was attached in vain, or those who ask at the same time would keep one another from it. What several
    /// ask for at once is tried again after a full-jitter delay, what somebody holds at a steady pace.
    fn lose_attempt(&mut self, subject: &[u8], now: Moment) {
        let drawn = self.chance.float();
        let Some(claim) = self.claims.get_mut(subject) else { return };
        let wait = if claim.attached.is_empty() {
            self.config.term * (AGAIN_AFTER * (1.0 - JITTER * drawn))
        } else {
            claim.lost += 1;
            let doublings = f64::from(1_u32 << claim.lost.min(MAX_DOUBLINGS));
            (self.config.term * FIRST_DELAY * doublings).min(self.config.term) * drawn
        };
        claim.stage = Stage::Waiting { until: now + wait.max(Span::from_ms(1)) };
        self.queue_detach(subject);
    }

    /// From here on nothing counts as attached, whatever the voters still have to be told.
    fn queue_detach(&mut self, subject: &[u8]) {
        let Some(claim) = self.claims.get_mut(subject) else { return };
        claim.attached = VoterSet::EMPTY;
        for voter in claim.sent.iter() {
            self.links[voter].pending.insert(subject.to_vec());
        }
    }

    fn queue_everywhere(&mut self, subject: &[u8]) {
        for link in &mut self.links {
            link.pending.insert(subject.to_vec());
        }
    }

    fn queue_unattached(&mut self, voter: usize) {
        let unattached =
            |(_, claim): &(&Subject, &Claim)| claim.wants_attaching() && !claim.attached.contains(voter);
        let subjects = self.claims.iter().filter(unattached).map(|(subject, _)| subject.clone());
        self.links[voter].pending.extend(subjects);
    }

    fn forget_released(&mut self, subject: &[u8]) {
        let over = |claim: &Claim| claim.stage == Stage::Releasing && claim.sent.is_empty();
        if self.claims.get(subject).is_some_and(over) {
            self.claims.remove(subject);
        }
    }

    // ---- what goes out ----

    /// Takes up what was confirmed, sends what is to be sent, and notes when to look again.
    fn proceed(&mut self, now: Moment) {
        loop {
            self.advance_claims(now);
            for step in 0..self.links.len() {
                let voter = (self.next_link + step) % self.links.len();
                self.send_request(voter, now);
            }
            let Some(answer) = self.local.pop_front() else { break };
            let me = self.me.clone();
            self.answered(&me, answer, now);
        }
    }

    fn advance_claims(&mut self, now: Moment) {
        let holding_time = self.config.holding_time();
        let views: Vec<VoterView> = self
            .links
            .iter()
            .map(|link| VoterView {
                stands_until: link.confirmed_at.map(|at| at + holding_time),
                epoch: link.epoch,
            })
            .collect();
        let all: VoterSet = (0..self.links.len()).collect();
        let (mut chosen, mut lost, mut due) = (None, Vec::new(), NEVER);
        for (subject, claim) in &mut self.claims {
            claim.expire(now);
            if claim.is_attached_by_majority(&self.quorums) {
                // One epoch for all that are attached now: above all that their voters knew.
                let epoch = *chosen.get_or_insert(self.epoch + 1);
                let ends = now + self.config.term * ATTEMPT;
                claim.stage = Stage::Confirming { epoch, quorum: claim.attached, ends };
            }
            if claim.is_lost(&self.quorums, all) {
                lost.push(subject.clone());
            }
            claim.advance(&self.quorums, |voter| views[voter], now);
            due = due.min(claim.due());
        }
        self.claims_due = due;
        for subject in lost {
            self.lose_attempt(&subject, now);
            let due = self.claims.get(&subject).map_or(NEVER, Claim::due);
            self.claims_due = self.claims_due.min(due);
        }
        if let Some(epoch) = chosen {
            self.epoch = epoch;
            self.links.iter_mut().for_each(|link| link.next_renewal = now);
        }
    }

    fn is_active(&self) -> bool {
        !self.claims.is_empty()
    }

    /// When the link has something to do; `None` while it waits for nothing.
    fn link_due(&self, voter: usize) -> Option<Moment> {
        let link = &self.links[voter];
        if let Some(request) = &link.request {
            return Some(request.retry_at);
        }
        if !self.is_active() {
            return None;
        }
        let updates = (link.session.is_some() && !link.pending.is_empty()).then(|| self.allowed_again());
        Some(updates.map_or(link.next_renewal, |at| at.min(link.next_renewal)))
    }

    fn allowed_again(&self) -> Moment {
        let missing = (-self.allowance).max(0.0) / f64::from(self.config.update_rate.max(1));
        self.allowed_at + Span::from_us((missing * 1e6).ceil() as u64)
    }

    fn refill(&mut self, now: Moment) {
        let rate = f64::from(self.config.update_rate);
        let saved = self.allowance + rate * now.since(self.allowed_at).secs();
        (self.allowance, self.allowed_at) = (saved.min(rate * BURST), now);
    }

    fn send_request(&mut self, voter: usize, now: Moment) {
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
        let request = Request { sequence: self.sequence, sent_at: now, retry_at, detach, attach };
        let link = &mut self.links[voter];
        let message = request.message(self.config.electorate.generation, link.session, self.epoch);
        let part = RENEW_AFTER * (1.0 - JITTER * self.chance.float());
        link.next_renewal = now + self.config.holding_time() * part;
        link.request = Some(request);
        let to = To::Voter(link.voter.clone());
        self.send(to, &message);
        if own {
            self.receive_as_voter(&self.me.clone(), message, now);
        }
    }

    /// As many subjects as one message takes.
    fn take_pending(
        &mut self,
        voter: usize,
        now: Moment,
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
            let Some(subject) = self.links[voter].pending.pop_first() else { break };
            let Some(claim) = self.claims.get_mut(&subject) else { continue };
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

    fn send(&mut self, to: To, message: &Message) {
        self.outgoing.push(Outgoing::message(to, message));
    }

    // ---- what comes in ----

    /// Bytes from another process on one of the channels of leases.
    pub fn receive(&mut self, from: &Identity, channel: u8, bytes: &[u8], now: Moment) {
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

    pub fn receive_message(&mut self, from: &Identity, message: Message, now: Moment) {
        // Two processes of one voter's name: what the one granted the other does not know.
        if self.is_duplicate(from) {
            let starting = matches!(message, Message::Recall { starting: true, .. });
            self.voter.duplicate_heard(starting, now);
        }
        match message {
            Message::Update(_) | Message::Close { .. } => self.receive_as_voter(from, message, now),
            Message::Updated(_) | Message::Refused { .. } => {
                self.answered(from, message, now);
                self.proceed(now);
            }
            Message::Recall { generation, .. } => {
                self.voter.generations.insert(from.name.clone(), generation);
                let answer = Message::Remembered {
                    generation: self.config.electorate.generation,
                    established: self.voter.established,
                    epoch: self.voter.epoch.max(self.epoch),
                };
                self.send(To::Process(from.clone()), &answer);
            }
            Message::Remembered { generation, established, epoch } => {
                self.voter.generations.insert(from.name.clone(), generation);
                self.remembered(from, established, epoch, now);
            }
        }
        self.refresh_settled(now);
    }

    fn is_duplicate(&self, from: &Identity) -> bool {
        from.name == self.me.name && from.run != self.me.run
    }

    fn remembered(&mut self, from: &Identity, established: bool, epoch: u64, now: Moment) {
        self.voter.remembered(from, established, epoch);
        self.voter.settle(&self.me, &self.config, now);
    }

    fn receive_as_voter(&mut self, from: &Identity, message: Message, now: Moment) {
        let answer = match message {
            Message::Update(update) if self.is_voter() => self.voter.update(from, update, &self.config, now),
            Message::Update(update) => {
                let generation = self.config.electorate.generation;
                let reason = Reason::Generation { here: generation };
                Some(Message::Refused { generation, sequence: update.sequence, reason })
            }
            Message::Close { sequence, session, keep } => {
                self.voter.close(from, sequence, session, &keep);
                None
            }
            _ => None,
        };
        let Some(answer) = answer else { return };
        if *from == self.me {
            self.local.push_back(answer);
        } else {
            self.send(To::Process(from.clone()), &answer);
        }
    }

    fn answered(&mut self, from: &Identity, message: Message, now: Moment) {
        let Some(voter) = self.links.iter().position(|link| link.voter == from.name) else { return };
        self.advance_claims(now);
        match message {
            Message::Updated(updated) => {
                self.voter.generations.insert(from.name.clone(), updated.generation);
                self.updated(voter, from, updated, now);
            }
            Message::Refused { generation, sequence, reason } => {
                self.voter.generations.insert(from.name.clone(), generation);
                self.refused(voter, from, sequence, reason, now);
            }
            _ => {}
        }
    }

    fn updated(&mut self, voter: usize, from: &Identity, updated: Updated, now: Moment) {
        let Some(request) = self.links[voter].request.take_if(|one| one.sequence == updated.sequence) else {
            return;
        };
        let link = &self.links[voter];
        if link.process.as_ref() != Some(from) || link.session != Some(updated.session) {
            self.begin_session(voter, from, updated.session);
        }
        let link = &mut self.links[voter];
        (link.confirmed_at, link.epoch, link.unanswered) = (Some(request.sent_at), updated.epoch, 0);
        self.epoch = self.epoch.max(updated.epoch);
        for subject in &request.detach {
            self.detached(voter, subject);
        }
        let mut refused = updated.refused.into_iter().peekable();
        for (position, subject) in (0..).zip(request.attach) {
            let reason = refused.next_if(|(place, _)| *place == position).map(|(_, reason)| reason);
            self.attached(voter, subject, reason, now);
        }
    }

    /// Nothing is attached to the new session yet.
    fn begin_session(&mut self, voter: usize, from: &Identity, session: SessionToken) {
        self.forget_session(voter);
        let link = &mut self.links[voter];
        (link.process, link.session) = (Some(from.clone()), Some(session));
    }

    fn forget_session(&mut self, voter: usize) {
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
        released.iter().for_each(|subject| drop(self.claims.remove(subject)));
        self.queue_unattached(voter);
    }

    fn detached(&mut self, voter: usize, subject: &Subject) {
        let Some(claim) = self.claims.get_mut(subject) else { return };
        claim.forget_voter(voter);
        if claim.wants_attaching() {
            self.links[voter].pending.insert(subject.clone());
        }
        self.forget_released(subject);
    }

    fn attached(&mut self, voter: usize, subject: Subject, refused: Option<Reason>, now: Moment) {
        let Some(claim) = self.claims.get_mut(&subject) else { return };
        let link = &mut self.links[voter];
        let Some(reason) = refused else {
            // What is not wanted any more is to be detached first, and attached anew if it is wanted again.
            if claim.wants_attaching() {
                claim.attached.insert(voter);
            } else {
                link.pending.insert(subject);
            }
            return;
        };
        self.counts.refusals += 1;
        claim.sent.remove(voter);
        if claim.wants_attaching() {
            claim.refused.insert(voter);
            if claim.held(now).is_none() {
                claim.reason = Some(reason);
            }
            link.refused.insert(subject);
        } else {
            self.forget_released(&subject);
        }
    }

    fn refused(&mut self, voter: usize, from: &Identity, sequence: u32, reason: Reason, now: Moment) {
        let link = &mut self.links[voter];
        let Some(request) = link.request.as_ref().filter(|request| request.sequence == sequence) else {
            return;
        };
        link.unanswered = 0;
        self.counts.refusals += 1;
        if reason == Reason::UnknownSession {
            (link.process, link.next_renewal) = (Some(from.clone()), now);
            link.give_up_request();
            self.forget_session(voter);
            return;
        }
        // It is asked again when its time to answer is over; another process of its name may answer this request yet.
        let asked = request.attach.clone();
        let note = |claim: &mut Claim| {
            if !matches!(claim.stage, Stage::Holding { .. }) {
                claim.reason = Some(reason.clone());
            }
        };
        match asked.is_empty() {
            true => self.claims.values_mut().for_each(note),
            false => asked.iter().for_each(|subject| self.claims.get_mut(subject).into_iter().for_each(note)),
        }
    }

    /// Nothing is granted in the protocol before, and nothing taken.
    fn receive_legacy(&mut self, from: &Identity, message: &LegacyMessage, now: Moment) {
        self.counts.older_protocol += 1;
        if self.is_duplicate(from) {
            let starting = matches!(message, LegacyMessage::Recall { starts: true, .. });
            self.voter.duplicate_heard(starting, now);
        }
        if let Some(refusal) = message.refusal() {
            self.outgoing.push(Outgoing::legacy(To::Process(from.clone()), refusal.encode()));
        }
        match message {
            LegacyMessage::Recall { .. } => {
                let (established, epoch) = (self.voter.established, self.voter.epoch.max(self.epoch));
                let generation = self.config.electorate.generation;
                let answer = LegacyMessage::Remembered { generation, established, epoch }.encode();
                self.outgoing.push(Outgoing::legacy(To::Process(from.clone()), answer));
            }
            LegacyMessage::Ask { epoch, .. } => self.voter.epoch = self.voter.epoch.max(*epoch),
            LegacyMessage::Remembered { established, epoch, .. } => {
                self.remembered(from, *established, *epoch, now);
                self.note_older_voter(from);
            }
            _ => {}
        }
    }

    fn note_older_voter(&mut self, from: &Identity) {
        let unanswered = |link: &Link| link.voter == from.name && link.unanswered >= UNANSWERED;
        if self.links.iter().any(unanswered) {
            for claim in self.claims.values_mut() {
                if claim.reason.is_none() {
                    claim.reason = Some(Reason::OlderProtocol);
                }
            }
        }
    }
}
