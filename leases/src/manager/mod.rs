//! The part of one process in the lease protocol: its own claims, and its vote if it is a voter.
mod answers;
mod change;
mod claims;
mod errors;
mod queries;
mod requests;
mod shutdown;

pub use errors::{AcquireError, ChangeError};
pub use queries::{LeaseCounts, VoterStatus};

use crate::claim::Claim;
use crate::electorate::{LeaseConfig, Quorums};
use crate::legacy::LegacyMessage;
use crate::link::Link;
use crate::message::Message;
use crate::outgoing::{Outgoing, To};
use crate::subject::Subject;
use crate::voter::Voter;
use compact_str::CompactString;
use std::collections::{BTreeMap, VecDeque};
use thistlecroft::random::Rng;
use thistlecroft::time::Instant;
use thistlecroft_peers::Identity;

/// The most subjects that a process claims at once, including those that it still releases.
pub const MAX_CLAIMS: usize = 8_192;
/// A session is renewed after this fraction of its holding time, less up to `JITTER` of that.
const RENEWAL_FRACTION: f64 = 1.0 / 3.0;
/// The random part of delays, as a fraction.
const JITTER: f64 = 0.2;
/// A request without an answer is sent again after this fraction of a term.
const REQUEST_TIMEOUT_TERMS: f64 = 1.0 / 8.0;
/// An attempt that has no majority after this fraction of a term has failed.
const ATTEMPT_TIMEOUT_TERMS: f64 = 1.0 / 2.0;
/// A subject that another process holds is requested again after this fraction of a term, less up
/// to `JITTER` of that.
const HELD_RETRY_TERMS: f64 = 1.0 / 6.0;
/// The base of the backoff after an attempt that failed against others, as a fraction of a term.
const BACKOFF_BASE_TERMS: f64 = 1.0 / 32.0;
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// After this many requests without an answer, the voter may know only the legacy protocol.
const LEGACY_CHECK_AFTER: u32 = 2;
/// A session that was not confirmed for this many terms is given up: longer than a voter keeps one
/// that has lapsed.
const SESSION_TIMEOUT_TERMS: f64 = 6.0;
/// The most of the update rate that may be saved up, in seconds.
const BURST_SECONDS: f64 = 0.5;
/// The bytes of an update apart from its subjects, with those of the datagram around it.
const UPDATE_OVERHEAD_BYTES: usize = 150;

/// The leases of one process, as a state machine without I/O: messages and time go in, messages to
/// other processes and answers to queries come out.
#[derive(Clone, Debug)]
pub struct Leases {
    me: Identity,
    config: LeaseConfig,
    quorums: Quorums,
    voter: Voter,
    links: Vec<Link>,
    claims: BTreeMap<Subject, Claim>,
    /// The highest epoch that this process has chosen or received.
    epoch: u64,
    sequence: u32,
    /// The link that may send subjects first, so that all get a share of the update rate.
    next_link: usize,
    /// Bytes of subjects that may be sent at `budget_refilled_at`; negative after a burst.
    update_budget: f64,
    budget_refilled_at: Instant,
    /// When a claim is due next.
    claims_due: Instant,
    /// Since when a majority of both sets is known to use this generation.
    settled_since: Option<Instant>,
    outgoing: Vec<Outgoing>,
    /// Answers of this process, as a voter, to itself.
    own_answers: VecDeque<Message>,
    rng: Rng,
    counts: LeaseCounts,
}

const NEVER: Instant = Instant::from_micros(u64::MAX);

impl Leases {
    /// The leases of a process that has just started.
    pub fn new(me: Identity, config: LeaseConfig, now: Instant) -> Leases {
        let (voter, rng) = (Voter::new(me.run, now), Rng::from_seed(me.run));
        let links = config
            .electorate
            .all()
            .map(|name| Link::new(name.clone(), now))
            .collect();
        let mut leases = Leases {
            quorums: config.electorate.quorums(),
            update_budget: f64::from(config.update_rate) * BURST_SECONDS,
            me,
            config,
            voter,
            links,
            claims: BTreeMap::new(),
            epoch: 0,
            sequence: 0,
            next_link: 0,
            budget_refilled_at: now,
            claims_due: NEVER,
            settled_since: None,
            outgoing: Vec::new(),
            own_answers: VecDeque::new(),
            rng,
            counts: LeaseCounts::default(),
        };
        leases.refresh_settled(now);
        leases
    }

    /// Does everything that is due.
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

    /// Asks other processes for the highest epoch, which not only voters know, and notifies another
    /// process of the same name to stop voting. Each call asks a share of all processes, so that
    /// their answers do not arrive at once.
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
            starting,
        };
        let voters: Vec<CompactString> = self.config.electorate.all().cloned().collect();
        for voter in voters {
            self.send(To::Voter(voter.clone()), &message);
            self.send_legacy(To::Voter(voter), &legacy);
        }
        self.send(To::Share { part, of }, &message);
        self.voter.settle(&self.me, &self.config, now);
    }

    /// Moves claims on and sends requests until nothing more can be done at this moment.
    fn proceed(&mut self, now: Instant) {
        loop {
            self.advance_claims(now);
            for offset in 0..self.links.len() {
                let voter = (self.next_link + offset) % self.links.len();
                self.send_request(voter, now);
            }
            let Some(answer) = self.own_answers.pop_front() else {
                break;
            };
            let me = self.me.clone();
            self.receive_answer(&me, answer, now);
        }
    }
}
