//! The lease manager of one process: its claims, and its state as a voter if it is one.
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
use crate::outgoing::{Outgoing, Recipients};
use crate::subject::Subject;
use crate::voter::Voter;
use compact_str::CompactString;
use std::collections::{BTreeMap, VecDeque};
use thistlecroft::random::Rng;
use thistlecroft::time::Instant;
use thistlecroft_peers::Identity;

/// The most subjects that a process claims at once, including those that are still being released.
pub const MAX_CLAIMS: usize = 8_192;
/// When a session is renewed, as a fraction of the holding time. Jitter shortens the delay by up to
/// `JITTER` of it.
const RENEWAL_FRACTION: f64 = 1.0 / 3.0;
/// The random part of delays, as a fraction of the delay.
const JITTER: f64 = 0.2;
/// How long a request may stay unanswered, as a fraction of a term. Its changes are then requested
/// again.
const REQUEST_TIMEOUT_TERMS: f64 = 1.0 / 8.0;
/// How long an attempt may take to get a majority, as a fraction of a term.
const ATTEMPT_TIMEOUT_TERMS: f64 = 1.0 / 2.0;
/// The delay before the next attempt for a subject that another process holds, as a fraction of a
/// term. Jitter shortens it by up to `JITTER` of it.
const HELD_RETRY_TERMS: f64 = 1.0 / 6.0;
/// The base of the backoff after an attempt that failed because other processes tried at the same
/// time, as a fraction of a term.
const BACKOFF_BASE_TERMS: f64 = 1.0 / 32.0;
/// The most times that the base of the backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// After this many unanswered requests, the voter is contacted in the legacy protocol, since it may
/// know no other.
const LEGACY_CHECK_AFTER_REQUESTS: u32 = 2;
/// After this many terms without a confirmation, a session is dropped. This is longer than a voter
/// keeps a lapsed session.
const SESSION_TIMEOUT_TERMS: f64 = 6.0;
/// The largest burst, in seconds at the update rate: unused budget beyond it is lost.
const BURST_SECONDS: f64 = 0.5;
/// The estimated bytes of a request without its subjects, including those of its datagram.
const UPDATE_OVERHEAD_BYTES: usize = 150;

/// The leases of one process, as a state machine without I/O: messages and time go in, messages to
/// other processes and answers to queries come out.
#[derive(Clone, Debug)]
pub struct Leases {
    identity: Identity,
    config: LeaseConfig,
    quorums: Quorums,
    voter: Voter,
    /// One link to each voter, in the order of `Electorate::all_voters`.
    links: Vec<Link>,
    claims: BTreeMap<Subject, Claim>,
    /// The highest epoch that this process has chosen or received.
    epoch: u64,
    /// The sequence number of the last request.
    sequence: u32,
    /// The index of the link that sends subjects first, so that all links get a share of the update
    /// rate.
    next_link: usize,
    /// The bytes that could be sent at `budget_refilled_at`. Negative after a request that exceeded
    /// the budget.
    update_budget: f64,
    budget_refilled_at: Instant,
    /// When the next claim is due.
    claims_due: Instant,
    /// Since when a majority of each set of voters is known to use this generation.
    settled_since: Option<Instant>,
    outgoing: Vec<Outgoing>,
    /// Answers that this process, as a voter, gives to itself.
    own_answers: VecDeque<Message>,
    rng: Rng,
    counts: LeaseCounts,
}

/// A time that never comes.
const NEVER: Instant = Instant::from_micros(u64::MAX);

impl Leases {
    /// Creates the leases of a process that has just started, and that others know by `identity`.
    pub fn new(identity: Identity, config: LeaseConfig, now: Instant) -> Leases {
        let (voter, rng) = (Voter::new(identity.run, now), Rng::from_seed(identity.run));
        let links = config
            .electorate
            .all_voters()
            .map(|name| Link::new(name.clone(), now))
            .collect();
        let mut leases = Leases {
            quorums: config.electorate.quorums(),
            update_budget: f64::from(config.update_rate) * BURST_SECONDS,
            identity,
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

    /// Handles everything that is due: recalls, claims, and requests to voters that timed out or
    /// have to be sent.
    pub fn tick(&mut self, now: Instant) {
        if self.next_recall().is_some_and(|at| at <= now) {
            self.recall(now);
        }
        if self.claims_due <= now {
            self.process_due_claims(now);
        }
        for voter in 0..self.links.len() {
            if self.links[voter]
                .request
                .as_ref()
                .is_some_and(|request| request.retry_at <= now)
            {
                self.handle_request_timeout(voter, now);
            }
        }
        self.make_progress(now);
    }

    /// Asks other processes for the highest epoch, which processes other than voters may know as
    /// well, and notifies another process of the same name to stop voting. Each call asks all
    /// voters and a share of all processes, so that their answers do not arrive at once.
    fn recall(&mut self, now: Instant) {
        let (index, count) = self.voter.recall_share(&self.config, now);
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
        let voters: Vec<CompactString> = self.config.electorate.all_voters().cloned().collect();
        for voter in voters {
            self.send(Recipients::Voter(voter.clone()), &message);
            self.send_legacy(Recipients::Voter(voter), &legacy);
        }
        self.send(Recipients::Share { index, count }, &message);
        self.voter.try_establish(&self.identity, &self.config, now);
    }

    /// Advances claims and sends requests until nothing more can be done at `now`.
    fn make_progress(&mut self, now: Instant) {
        loop {
            self.advance_claims(now);
            for offset in 0..self.links.len() {
                let voter = (self.next_link + offset) % self.links.len();
                self.send_request(voter, now);
            }
            let Some(answer) = self.own_answers.pop_front() else {
                break;
            };
            let identity = self.identity.clone();
            self.receive_answer(&identity, answer, now);
        }
    }
}
