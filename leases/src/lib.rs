//! Leases: the right to do what only one process may do. Whether a process is dead is an opinion
//! (`thistlecroft-peers`), different on either side of a split; this is not. No I/O; time is each
//! process's own monotonic clock, and no clock is compared with another.
//!
//! # One session a process, subjects attached to it
//!
//! A process keeps one *session* at each voter. A session lasts for a term from the last request
//! that the voter heard, and *subjects* are attached to it: a voter attaches a subject to one live
//! session only. One small message renews the session with all that is attached, whatever that is;
//! a subject costs messages when it is attached or detached, many in a datagram. A process may act
//! on a subject while a majority of the voters has it attached to its sessions there.
//!
//! # Why there are never two holders
//!
//! **Clocks.** A holder sends a request at `a`; a voter hears it at `h >= a` and stands by what is
//! attached for `TERM` from `h`. With clocks whose speed is within `DRIFT` of true, that lasts
//! until `h + TERM / (1 + DRIFT)` of true time at least. The holder counts `TERM (1 - DRIFT) / (1 +
//! DRIFT)` from `a` by its own clock, which is `TERM / (1 + DRIFT)` of true time at most, so its
//! right ends at or before `a + TERM / (1 + DRIFT) <= h + TERM / (1 + DRIFT)`.
//!
//! **Majorities.** Two processes that held one subject at one moment would each have a majority of
//! the voters; some voter would be in both, and it attaches a subject to one live session only.
//!
//! **Voters that restart forget, and their sessions with them.** A voter is silent for a term after
//! its start, so whatever it had granted is over. And a renewal keeps alive only what the voter
//! remembers: each session has a *token* that no other session of any run of any voter has, each
//! request names it, and a voter that does not know the token refuses. While a voter answers to a
//! token, all that it has confirmed as attached is attached still, for it drops a session only as a
//! whole: once it has lapsed and another process takes a subject of it, or long after. A process
//! that is refused for its token takes nothing as attached there and attaches all of it anew.
//!
//! **Messages that come late.** A process has one request out at a voter and numbers them; a voter
//! passes over any that comes after a later one. So a late *attach* does not undo a *detach*, nor
//! the other way round, and both are repeated until they are confirmed: nothing stays attached that
//! its process has forgotten.
//!
//! **Epochs** (fencing tokens) grow with each new holding of a subject. One number serves all
//! subjects. A process chooses its epoch once a majority has attached the subject, above all that
//! these voters had said, and holds only when a majority *of these* keep it, in the same sessions.
//! Whoever holds the subject next needs one of them, which frees it after, and is told an epoch at
//! least as high. A right that ran out is not taken up again with its epoch, since somebody else
//! may have held the subject meanwhile. A voter that restarts votes only when it has heard enough
//! to know the highest epoch.
//!
//! **Changes of voters** go by joint majorities (`Electorate`). The last step waits until a
//! majority of both sets has gone by the joint one for a term, when nothing that the old set
//! granted alone can still be held.
mod claim;
mod electorate;
pub mod legacy;
mod link;
mod manager;
mod message;
mod voter;

pub use claim::{Held, State};
pub use electorate::{DRIFT, Electorate, LeaseConfig};
pub use manager::{AcquireError, ChangeError, LeaseCounts, Leases, MAX_CLAIMS, Vote};
pub use message::{
    CHANNEL, MAX_SUBJECT_BYTES, MAX_UPDATE_BYTES, MAX_UPDATE_SUBJECTS, Message, Outgoing, Reason,
    SessionToken, Subject, To, Update, Updated,
};
pub use voter::{MAX_SESSIONS, MAX_VOTER_SUBJECTS, Voter};
