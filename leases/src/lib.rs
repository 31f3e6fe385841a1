//! Leases: the right of one process at a time to act on a subject.
//!
//! Whether a process is dead is an opinion (`thistlecroft-peers`), which differs between the sides
//! of a network partition. A lease is not an opinion: at most one process holds it. The crate does
//! no I/O. Time is each process's own monotonic clock, and clocks of different processes are never
//! compared.
//!
//! # Sessions
//!
//! A process keeps one *session* at each voter. A session lasts for a term from the last request
//! that the voter received, and *subjects* are attached to it: a voter attaches a subject to one
//! live session only. One small message renews a session with everything that is attached; a
//! subject costs messages only when it is attached or detached, with many subjects in one datagram.
//! A process may act on a subject while a majority of the voters has it attached to the process's
//! sessions.
//!
//! # Why there are never two holders
//!
//! **Clocks.** A holder sends a request at `a`. A voter receives it at `h >= a` and keeps what is
//! attached for `TERM` from `h`. With clocks whose speed is within `DRIFT` ([`MAX_CLOCK_DRIFT`]) of
//! true time, that lasts at least until `h + TERM / (1 + DRIFT)` of true time. The holder counts
//! `TERM (1 - DRIFT) / (1 + DRIFT)` from `a` by its own clock, which is at most
//! `TERM / (1 + DRIFT)` of true time, so its right ends at or before
//! `a + TERM / (1 + DRIFT) <= h + TERM / (1 + DRIFT)`.
//!
//! **Majorities.** Two processes that held one subject at the same moment would each have a
//! majority of the voters. Some voter would be in both, and it attaches a subject to one live
//! session only.
//!
//! **Voters that restart** forget their sessions. A voter is silent (it grants nothing) for a term
//! after its start, so everything that it had granted has expired by then. A renewal extends only
//! what the voter remembers: each session has a *token* that no other session of any run of any
//! voter has, each request names the token, and a voter rejects a token that it does not know.
//! While a voter accepts a token, everything that it has confirmed as attached is still attached,
//! because it drops only whole sessions: when a session has lapsed and another process takes one of
//! its subjects, or long after it has lapsed. A process whose token is rejected regards nothing as
//! attached at that voter and attaches everything again.
//!
//! **Late messages.** A process has at most one pending request at a voter and numbers its
//! requests; a voter ignores any request that arrives after a later one. So a late *attach* does
//! not undo a *detach*, nor the reverse. Both are retried until they are confirmed, so nothing
//! stays attached that its process has forgotten.
//!
//! **Epochs** (fencing tokens) grow with each new holding of a subject. One counter serves all
//! subjects. A process chooses its epoch once a majority has attached the subject. The epoch is
//! higher than any that these voters know. The process holds the subject only when a majority *from
//! among these voters* has confirmed the epoch in the same sessions. The next holder needs at least
//! one of them, which frees the subject only after it has confirmed the epoch, so the next holder
//! learns an epoch at least as high. An expired right is not restored with its epoch, since another
//! process may have held the subject meanwhile. A voter that restarts votes only when it has
//! received enough answers to know the highest epoch.
//!
//! **Changes of voters** go through a joint configuration, in which majorities of both the previous
//! and the new voters are needed ([`Electorate`]). The last step waits until a majority of both
//! sets has used the joint configuration for a term, when everything that the previous voters
//! granted alone has expired.
mod claim;
mod electorate;
pub mod legacy;
mod link;
mod manager;
mod message;
mod outgoing;
mod subject;
mod voter;

pub use claim::{ClaimState, HeldLease};
pub use electorate::{Electorate, LeaseConfig, MAX_CLOCK_DRIFT};
pub use manager::{AcquireError, ChangeError, LeaseCounts, Leases, MAX_CLAIMS, VoterStatus};
pub use message::{
    CHANNEL, MAX_UPDATE_BYTES, MAX_UPDATE_SUBJECTS, Message, RejectionReason, SessionToken, Update,
    Updated,
};
pub use outgoing::{Outgoing, Recipients};
pub use subject::{MAX_SUBJECT_BYTES, Subject};
pub use voter::{MAX_SESSIONS, MAX_VOTER_SUBJECTS};
