//! A process that grants: which subjects are attached to whose session, until when by its own
//! clock, and the highest epoch that it knows. It keeps nothing on disk: one that starts is silent
//! for a term, until all that it may have granted is over.
use crate::electorate::{Electorate, LeaseConfig};
use crate::message::{MAX_NAMED_HOLDERS, Message, Reason, SessionToken, Subject, Update, Updated};
use compact_str::CompactString;
use std::collections::{BTreeMap, BTreeSet};
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_peers::Identity;

/// Subjects attached at once, and sessions.
pub const MAX_VOTER_SUBJECTS: usize = 131_072;
pub const MAX_SESSIONS: usize = 4_096;
/// Until it knows what was known before, a voter asks others so often.
pub const RECALL_EVERY: Duration = Duration::from_millis(500);
/// A lapsed session is kept for so many terms: its process may come back before anybody else took a
/// subject of it.
const LAPSED_KEPT: f64 = 4.0;

#[derive(Clone, Debug)]
struct Session {
    owner: Identity,
    /// Not at or after this moment of the voter's clock.
    expires: Instant,
    subjects: BTreeSet<Subject>,
}

/// A process's session in force, and the last request of it that was heard.
#[derive(Clone, Copy, Debug)]
struct Current {
    token: SessionToken,
    sequence: u32,
}

/// Requests refused since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VoterCounts {
    pub full: u64,
    pub unknown_session: u64,
    pub held: u64,
}

#[derive(Clone, Debug)]
pub struct Voter {
    sessions: BTreeMap<SessionToken, Session>,
    current: BTreeMap<Identity, Current>,
    holders: BTreeMap<Subject, SessionToken>,
    tokens: Rng,
    next_sweep: Instant,
    pub epoch: u64,
    /// It may have granted before its start, which it does not know; it is silent for a term from
    /// here.
    silent_from: Instant,
    /// It knows the highest epoch that a majority may have been given.
    pub established: bool,
    /// Another process of this name votes in its place, or this one has ended.
    pub retired: bool,
    recalled_at: Option<Instant>,
    recalls: usize,
    established_others: BTreeSet<CompactString>,
    others: BTreeSet<CompactString>,
    /// Which generation others were heard to go by.
    pub generations: BTreeMap<CompactString, u32>,
    pub counts: VoterCounts,
}

impl Voter {
    /// `run`: the process's own number, from which its sessions' tokens are drawn.
    pub fn new(run: u64, now: Instant) -> Voter {
        Voter {
            sessions: BTreeMap::new(),
            current: BTreeMap::new(),
            holders: BTreeMap::new(),
            tokens: Rng::from_seed(run),
            next_sweep: now,
            epoch: 0,
            silent_from: now,
            established: false,
            retired: false,
            recalled_at: None,
            recalls: 0,
            established_others: BTreeSet::new(),
            others: BTreeSet::new(),
            generations: BTreeMap::new(),
            counts: VoterCounts::default(),
        }
    }

    pub fn is_silent(&self, config: &LeaseConfig, now: Instant) -> bool {
        now < self.silent_from + config.term
    }

    pub fn subject_count(&self) -> usize {
        self.holders.len()
    }

    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    // ---- grants ----

    /// `None` for a request that came after a later one, or twice.
    pub fn update(
        &mut self,
        from: &Identity,
        update: Update,
        config: &LeaseConfig,
        now: Instant,
    ) -> Option<Message> {
        let here = config.electorate.generation;
        self.generations
            .insert(from.name.clone(), update.generation);
        let sequence = update.sequence;
        let refused = |reason| {
            Some(Message::Refused {
                generation: here,
                sequence,
                reason,
            })
        };
        // Of a newer electorate this one has not been told; of an older one it must not help a
        // majority that is none any more.
        if update.generation != here {
            return refused(Reason::Generation { here });
        }
        self.epoch = self.epoch.max(update.epoch);
        if self.retired || !self.established || self.is_silent(config, now) {
            return refused(Reason::Silent);
        }
        self.sweep(config, now);
        let known = self.current.get(from).copied();
        if known.is_some_and(|known| sequence <= known.sequence) {
            return None;
        }
        let token = match (update.session, known) {
            (Some(asked), Some(known)) if asked == known.token => asked,
            (Some(_), _) => {
                self.counts.unknown_session += 1;
                return refused(Reason::UnknownSession);
            }
            // Its answer was lost, and nothing is attached to it yet.
            (None, Some(known)) if self.is_empty(known.token) => known.token,
            (None, _) if self.sessions.len() >= MAX_SESSIONS => {
                self.counts.full += 1;
                return refused(Reason::Full);
            }
            // One that stood before keeps its subjects until its time is over: its process may
            // still act on them.
            (None, _) => self.open(from, config, now),
        };
        self.current
            .insert(from.clone(), Current { token, sequence });
        update
            .detach
            .iter()
            .for_each(|subject| self.detach(token, subject));
        let refused = self.attach_all(from, token, update.attach, now);
        if let Some(session) = self.sessions.get_mut(&token) {
            session.expires = now + config.term;
        }
        Some(Message::Updated(Updated {
            generation: here,
            sequence,
            session: token,
            epoch: self.epoch,
            refused,
        }))
    }

    fn is_empty(&self, token: SessionToken) -> bool {
        self.sessions
            .get(&token)
            .is_some_and(|session| session.subjects.is_empty())
    }

    fn open(&mut self, owner: &Identity, config: &LeaseConfig, now: Instant) -> SessionToken {
        let token = loop {
            let token = SessionToken(self.tokens.below(u64::MAX));
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
    ) -> Vec<(u16, Reason)> {
        let (mut refused, mut named) = (Vec::new(), 0);
        for (position, subject) in (0..).zip(subjects) {
            let Err(reason) = self.attach(from, token, subject, now) else {
                continue;
            };
            named += usize::from(matches!(reason, Reason::Held { .. }));
            let reason = match reason {
                Reason::Held { .. } if named > MAX_NAMED_HOLDERS => Reason::HeldByAnother,
                reason => reason,
            };
            refused.push((position, reason));
        }
        refused
    }

    fn attach(
        &mut self,
        from: &Identity,
        token: SessionToken,
        subject: Subject,
        now: Instant,
    ) -> Result<(), Reason> {
        if let Some(holder) = self.holders.get(&subject).copied() {
            if holder == token {
                return Ok(());
            }
            self.take(holder, &subject, from, now)?;
        }
        if self.holders.len() >= MAX_VOTER_SUBJECTS {
            self.counts.full += 1;
            return Err(Reason::Full);
        }
        self.holders.insert(subject.clone(), token);
        if let Some(session) = self.sessions.get_mut(&token) {
            session.subjects.insert(subject);
        }
        Ok(())
    }

    /// Frees a subject from the session that holds it, if that is over or an earlier one of the
    /// same process.
    fn take(
        &mut self,
        holder: SessionToken,
        subject: &Subject,
        from: &Identity,
        now: Instant,
    ) -> Result<(), Reason> {
        let Some(session) = self.sessions.get(&holder) else {
            return Ok(());
        };
        if session.owner == *from {
            self.detach(holder, subject);
            return Ok(());
        }
        if now < session.expires {
            self.counts.held += 1;
            return Err(Reason::Held {
                by: session.owner.clone(),
            });
        }
        // What it had attached is not whole any more: it can't be taken up again by its token.
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
            .current
            .get(&session.owner)
            .is_some_and(|current| current.token == token)
        {
            self.current.remove(&session.owner);
        }
    }

    /// Frees all of a process that ends but for what it keeps, which runs out by itself.
    pub fn close(&mut self, from: &Identity, sequence: u32, token: SessionToken, keep: &[Subject]) {
        let Some(current) = self
            .current
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

    /// Drops sessions that lapsed long ago, now and then.
    fn sweep(&mut self, config: &LeaseConfig, now: Instant) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + config.term;
        let over = |session: &Session| session.expires + config.term * LAPSED_KEPT <= now;
        let lapsed: Vec<SessionToken> = self
            .sessions
            .iter()
            .filter(|(_, session)| over(session))
            .map(|(token, _)| *token)
            .collect();
        lapsed
            .into_iter()
            .for_each(|token| self.drop_session(token));
    }

    // ---- starting ----

    /// Another process of this name was heard. One that has started asks to know, and the one that
    /// knew votes no more; the one that goes on is silent for a term from the last that it heard of
    /// the other.
    pub fn duplicate_heard(&mut self, starting: bool, now: Instant) {
        match (self.established, starting) {
            (true, true) => self.retired = true,
            (true, false) => {}
            (false, _) => self.silent_from = now,
        }
    }

    /// `changing`: the voters are being changed, and how far that has come is asked for.
    pub fn next_recall(
        &self,
        votes: bool,
        changing: bool,
        config: &LeaseConfig,
    ) -> Option<Instant> {
        if changing {
            return Some(
                self.recalled_at
                    .map_or(self.silent_from, |at| at + RECALL_EVERY),
            );
        }
        if !votes || self.retired {
            return None;
        }
        let settled = self.silent_from + config.term;
        match (self.established, self.recalled_at) {
            (true, _) => None,
            (false, None) => Some(self.silent_from),
            // At the end of its silence too, which may be all that it waited for.
            (false, Some(at)) if at < settled => Some((at + RECALL_EVERY).min(settled)),
            (false, Some(at)) => Some(at + RECALL_EVERY),
        }
    }

    /// Which of the `of` shares of all processes is asked this time: each once in a term.
    pub fn recall_share(&mut self, config: &LeaseConfig, now: Instant) -> (usize, usize) {
        self.recalled_at = Some(now);
        let of = (config.term.as_micros() / RECALL_EVERY.as_micros()).max(1) as usize;
        self.recalls += 1;
        ((self.recalls - 1) % of, of)
    }

    pub fn remembered(&mut self, from: &Identity, established: bool, epoch: u64) {
        self.epoch = self.epoch.max(epoch);
        if established {
            self.established_others.insert(from.name.clone());
        }
        self.others.insert(from.name.clone());
    }

    /// It votes once its silence is over and it has heard enough to know the highest epoch: from so
    /// many that know it that one of them was in every majority it can have been part of itself,
    /// or, where all have forgotten, from all.
    pub fn settle(&mut self, me: &Identity, config: &LeaseConfig, now: Instant) {
        if self.established || self.is_silent(config, now) {
            return;
        }
        let enough = |set: &[CompactString]| {
            let others = set.iter().filter(|name| **name != me.name);
            let of = |heard: &BTreeSet<CompactString>| {
                others.clone().filter(|name| heard.contains(*name)).count()
            };
            let (all, majority) = (others.clone().count(), Electorate::majority(set));
            of(&self.others) == all || of(&self.established_others) + majority > set.len()
        };
        let sets = [&config.electorate.voters, &config.electorate.before];
        self.established = sets.iter().all(|set| set.is_empty() || enough(set));
    }
}
