//! A voter: the sessions that it keeps, the subjects attached to them, and the highest epoch that
//! it knows. A voter stores nothing on disk. After its start it grants nothing for a term, until
//! everything that it may have granted before has expired.
mod recall;

use crate::electorate::LeaseConfig;
use crate::message::{MAX_NAMED_HOLDERS, Message, RejectionReason, SessionToken, Update, Updated};
use crate::subject::Subject;
use compact_str::CompactString;
use std::collections::{BTreeMap, BTreeSet};
use thistlecroft::random::Rng;
use thistlecroft::time::Instant;
use thistlecroft_peers::Identity;

/// The most subjects attached at one voter.
pub const MAX_VOTER_SUBJECTS: usize = 131_072;
/// The most sessions that one voter keeps.
pub const MAX_SESSIONS: usize = 4_096;
/// How long a lapsed session is kept, in terms, since its process may return before another one
/// takes one of its subjects.
const LAPSED_SESSION_TERMS: f64 = 4.0;

/// A process's session, which may have lapsed.
#[derive(Clone, Debug)]
struct Session {
    owner: Identity,
    /// When the session lapses, by the voter's clock.
    expires: Instant,
    subjects: BTreeSet<Subject>,
}

/// A process's current session, and the sequence number of its last request.
#[derive(Clone, Copy, Debug)]
struct CurrentSession {
    token: SessionToken,
    sequence: u32,
}

/// Requests rejected since the start, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct VoterCounts {
    /// No capacity for another subject or session.
    pub(crate) at_capacity: u64,
    /// The voter did not know the session.
    pub(crate) unknown_session: u64,
    /// Another process held the subject.
    pub(crate) held_by_another: u64,
}

/// The state of a voter.
#[derive(Clone, Debug)]
pub(crate) struct Voter {
    sessions: BTreeMap<SessionToken, Session>,
    /// The current session of each process.
    current_sessions: BTreeMap<Identity, CurrentSession>,
    /// The session that each subject is attached to.
    holders: BTreeMap<Subject, SessionToken>,
    token_rng: Rng,
    next_sweep: Instant,
    /// The highest epoch that the voter knows.
    pub(crate) epoch: u64,
    /// The voter grants nothing for a term from this time on: its start, or the last message from
    /// another process of its name. Something may have been granted before.
    silent_from: Instant,
    /// Whether the voter knows the highest epoch that any majority may have confirmed.
    pub(crate) established: bool,
    /// Whether another process of this name votes in this one's place, or this one is shutting
    /// down.
    pub(crate) retired: bool,
    last_recall: Option<Instant>,
    recall_count: usize,
    /// The names of processes that have answered a recall as established voters.
    established_answers: BTreeSet<CompactString>,
    /// The names of all processes that have answered a recall.
    recall_answers: BTreeSet<CompactString>,
    /// The last generation that each other process has sent, by name.
    pub(crate) generations: BTreeMap<CompactString, u32>,
    /// Rejected requests.
    pub(crate) counts: VoterCounts,
}

impl Voter {
    /// Creates a voter that has just started. `run` is the run number of the process and seeds the
    /// session tokens.
    pub(crate) fn new(run: u64, now: Instant) -> Voter {
        Voter {
            sessions: BTreeMap::new(),
            current_sessions: BTreeMap::new(),
            holders: BTreeMap::new(),
            token_rng: Rng::from_seed(run),
            next_sweep: now,
            epoch: 0,
            silent_from: now,
            established: false,
            retired: false,
            last_recall: None,
            recall_count: 0,
            established_answers: BTreeSet::new(),
            recall_answers: BTreeSet::new(),
            generations: BTreeMap::new(),
            counts: VoterCounts::default(),
        }
    }

    /// Returns whether a grant from before [`Voter::silent_from`] may still be valid.
    pub(crate) fn is_silent(&self, config: &LeaseConfig, now: Instant) -> bool {
        now < self.silent_from + config.term
    }

    /// Returns the number of attached subjects.
    pub(crate) fn subject_count(&self) -> usize {
        self.holders.len()
    }

    /// Returns the number of sessions, lapsed ones included.
    pub(crate) fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// Handles a request and returns the answer; `None` for a request that arrives twice or after a
    /// later one.
    pub(crate) fn handle_update(
        &mut self,
        from: &Identity,
        update: Update,
        config: &LeaseConfig,
        now: Instant,
    ) -> Option<Message> {
        let generation = config.electorate.generation;
        let sequence = update.sequence;
        self.generations
            .insert(from.name.clone(), update.generation);
        let reject = |reason| {
            Some(Message::Rejected {
                generation,
                sequence,
                reason,
            })
        };
        // This voter does not know a newer electorate, and grants of an older one may not count
        // towards a valid majority any more.
        if update.generation != generation {
            return reject(RejectionReason::Generation { here: generation });
        }
        self.epoch = self.epoch.max(update.epoch);
        if self.retired || !self.established || self.is_silent(config, now) {
            return reject(RejectionReason::Silent);
        }
        self.drop_lapsed_sessions(config, now);
        let current = self.current_sessions.get(from).copied();
        if current.is_some_and(|current| sequence <= current.sequence) {
            return None;
        }
        let token = match self.resolve_session(from, update.session, current, config, now) {
            Ok(token) => token,
            Err(reason) => return reject(reason),
        };
        let session = CurrentSession { token, sequence };
        self.current_sessions.insert(from.clone(), session);
        for subject in &update.detach {
            self.detach(token, subject);
        }
        let rejected = self.attach_all(from, token, update.attach, now);
        if let Some(session) = self.sessions.get_mut(&token) {
            session.expires = now + config.term;
        }
        Some(Message::Updated(Updated {
            generation,
            sequence,
            session: token,
            epoch: self.epoch,
            rejected,
        }))
    }

    /// Returns the session that a request is about: the sender's current one, or a new one.
    fn resolve_session(
        &mut self,
        from: &Identity,
        requested: Option<SessionToken>,
        current: Option<CurrentSession>,
        config: &LeaseConfig,
        now: Instant,
    ) -> Result<SessionToken, RejectionReason> {
        match (requested, current) {
            (Some(requested), Some(current)) if requested == current.token => Ok(requested),
            (Some(_), _) => {
                self.counts.unknown_session += 1;
                Err(RejectionReason::UnknownSession)
            }
            // The answer that opened this session was lost. Nothing is attached to it yet.
            (None, Some(current)) if self.is_session_empty(current.token) => Ok(current.token),
            (None, _) if self.sessions.len() >= MAX_SESSIONS => {
                self.counts.at_capacity += 1;
                Err(RejectionReason::AtCapacity)
            }
            // An earlier session keeps its subjects until it lapses, since its process may still
            // act on them.
            (None, _) => Ok(self.open_session(from, config, now)),
        }
    }

    fn is_session_empty(&self, token: SessionToken) -> bool {
        self.sessions
            .get(&token)
            .is_some_and(|session| session.subjects.is_empty())
    }

    fn open_session(
        &mut self,
        owner: &Identity,
        config: &LeaseConfig,
        now: Instant,
    ) -> SessionToken {
        let token = loop {
            let token = SessionToken(self.token_rng.below(u64::MAX));
            if !self.sessions.contains_key(&token) {
                break token;
            }
        };
        let (owner, expires) = (owner.clone(), now + config.term);
        self.sessions.insert(
            token,
            Session {
                owner,
                expires,
                subjects: BTreeSet::new(),
            },
        );
        token
    }

    fn attach_all(
        &mut self,
        from: &Identity,
        token: SessionToken,
        subjects: Vec<Subject>,
        now: Instant,
    ) -> Vec<(u16, RejectionReason)> {
        let (mut rejected, mut named_holders) = (Vec::new(), 0);
        for (position, subject) in (0..).zip(subjects) {
            let Err(reason) = self.attach(from, token, subject, now) else {
                continue;
            };
            named_holders += usize::from(matches!(reason, RejectionReason::Held { .. }));
            let reason = match reason {
                RejectionReason::Held { .. } if named_holders > MAX_NAMED_HOLDERS => {
                    RejectionReason::HeldByAnother
                }
                reason => reason,
            };
            rejected.push((position, reason));
        }
        rejected
    }

    fn attach(
        &mut self,
        from: &Identity,
        token: SessionToken,
        subject: Subject,
        now: Instant,
    ) -> Result<(), RejectionReason> {
        if let Some(holder) = self.holders.get(&subject).copied() {
            if holder == token {
                return Ok(());
            }
            self.try_free_for(from, &subject, holder, now)?;
        }
        if self.holders.len() >= MAX_VOTER_SUBJECTS {
            self.counts.at_capacity += 1;
            return Err(RejectionReason::AtCapacity);
        }
        self.holders.insert(subject.clone(), token);
        if let Some(session) = self.sessions.get_mut(&token) {
            session.subjects.insert(subject);
        }
        Ok(())
    }

    /// Frees a subject for a process if the session that it is attached to has lapsed or is an
    /// earlier one of the same process.
    fn try_free_for(
        &mut self,
        from: &Identity,
        subject: &Subject,
        holder: SessionToken,
        now: Instant,
    ) -> Result<(), RejectionReason> {
        let Some(session) = self.sessions.get(&holder) else {
            return Ok(());
        };
        if session.owner == *from {
            self.detach(holder, subject);
            return Ok(());
        }
        if now < session.expires {
            self.counts.held_by_another += 1;
            return Err(RejectionReason::Held {
                by: session.owner.clone(),
            });
        }
        // Without this subject the session is incomplete, so its process may not renew it.
        self.drop_session(holder);
        Ok(())
    }

    fn detach(&mut self, token: SessionToken, subject: &Subject) {
        if self.holders.get(subject) == Some(&token) {
            self.holders.remove(subject);
        }
        if let Some(session) = self.sessions.get_mut(&token) {
            session.subjects.remove(subject);
        }
    }

    fn drop_session(&mut self, token: SessionToken) {
        let Some(session) = self.sessions.remove(&token) else {
            return;
        };
        for subject in session.subjects {
            self.holders.remove(&subject);
        }
        if self
            .current_sessions
            .get(&session.owner)
            .is_some_and(|current| current.token == token)
        {
            self.current_sessions.remove(&session.owner);
        }
    }

    /// Detaches all subjects of a process that is shutting down, except those in `keep`, which stay
    /// attached until the session lapses.
    pub(crate) fn close_session(
        &mut self,
        from: &Identity,
        sequence: u32,
        token: SessionToken,
        keep: &[Subject],
    ) {
        let Some(current) = self
            .current_sessions
            .get_mut(from)
            .filter(|current| current.token == token)
        else {
            return;
        };
        if sequence <= current.sequence {
            return;
        }
        current.sequence = sequence;
        let Some(session) = self.sessions.get(&token) else {
            return;
        };
        let freed: Vec<Subject> = session
            .subjects
            .iter()
            .filter(|subject| !keep.contains(subject))
            .cloned()
            .collect();
        freed.iter().for_each(|subject| self.detach(token, subject));
    }

    /// Drops sessions that lapsed long ago. Does so at most once per term.
    fn drop_lapsed_sessions(&mut self, config: &LeaseConfig, now: Instant) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + config.term;
        let is_stale =
            |session: &Session| session.expires + config.term * LAPSED_SESSION_TERMS <= now;
        let lapsed: Vec<SessionToken> = self
            .sessions
            .iter()
            .filter(|(_, session)| is_stale(session))
            .map(|(token, _)| *token)
            .collect();
        lapsed
            .into_iter()
            .for_each(|token| self.drop_session(token));
    }
}
