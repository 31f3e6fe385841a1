//! Leases: the right of one process at a time to act on a subject.
//!
//! Whether a process is dead is an opinion (`thistlecroft-peers`), which differs between the sides of
//! a network partition. A lease is not an opinion: at most one process holds it. The crate does no
//! I/O. Time is each process's own monotonic clock, and clocks of different processes are never
//! compared.
//!
//! # Sessions
//!
//! A process keeps one *session* at each voter. A session lasts for a term from the last request
//! that the voter received, and *subjects* are attached to it: a voter attaches a subject to one
//! live session only. One small message renews a session with everything that is attached; a
//! subject costs messages only when it is attached or detached, many in a datagram. A process may
//! act on a subject while a majority of the voters has it attached to the process's sessions.
//!
//! # Why there are never two holders
//!
//! **Clocks.** A holder sends a request at `a`. A voter receives it at `h >= a` and keeps what is
//! attached for `TERM` from `h`. With clocks whose speed is within `DRIFT` of true, that lasts
//! until `h + TERM / (1 + DRIFT)` of true time at least. The holder counts `TERM (1 - DRIFT) / (1 +
//! DRIFT)` from `a` by its own clock, which is `TERM / (1 + DRIFT)` of true time at most, so its
//! right ends at or before `a + TERM / (1 + DRIFT) <= h + TERM / (1 + DRIFT)`.
//!
//! **Majorities.** Two processes that held one subject at the same moment would each have a majority
//! of the voters. Some voter would be in both, and it attaches a subject to one live session only.
//!
//! **Voters that restart** forget their sessions. A voter is silent for a term after its start, so
//! everything that it had granted has expired. A renewal extends only what the voter remembers: each
//! session has a *token* that no other session of any run of any voter has, each request names it,
//! and a voter rejects a token that it does not know. While a voter accepts a token, everything that
//! it has confirmed as attached is still attached, for it drops a session only as a whole: once the
//! session has lapsed and another process takes a subject of it, or long after. A process whose
//! token is rejected regards nothing as attached there and attaches everything again.
//!
//! **Late messages.** A process has one pending request at a voter and numbers its requests; a voter
//! ignores any that arrives after a later one. So a late *attach* does not undo a *detach*, nor the
//! reverse. Both are retried until they are confirmed: nothing stays attached that its process has
//! forgotten.
//!
//! **Epochs** (fencing tokens) grow with each new holding of a subject. One counter serves all
//! subjects. A process chooses its epoch once a majority has attached the subject, above all that
//! these voters know, and holds the subject only when a majority *of these* has confirmed the epoch,
//! in the same sessions. The next holder needs one of them, which frees the subject only after that,
//! and so learns an epoch at least as high. An expired right is not restored with its epoch, since
//! another process may have held the subject meanwhile. A voter that restarts votes only when it has
//! received enough answers to know the highest epoch.
//!
//! **Changes of voters** go through joint majorities ([`Electorate`]). The last step waits until a
//! majority of both sets has used the joint configuration for a term, when everything that the
//! previous voters granted alone has expired.
mod claim;
mod electorate;
pub mod legacy;
mod link;
mod manager;
mod message;
mod outgoing;
mod subject;
mod voter;

pub use claim::{ClaimState, Held};
pub use electorate::{Electorate, LeaseConfig, MAX_CLOCK_DRIFT};
pub use manager::{AcquireError, ChangeError, LeaseCounts, Leases, MAX_CLAIMS, VoterStatus};
pub use message::{
    CHANNEL, MAX_UPDATE_BYTES, MAX_UPDATE_SUBJECTS, Message, RejectionReason, SessionToken, Update,
    Updated,
};
pub use outgoing::{Outgoing, To};
pub use subject::{MAX_SUBJECT_BYTES, Subject};
pub use voter::{MAX_SESSIONS, MAX_VOTER_SUBJECTS};
