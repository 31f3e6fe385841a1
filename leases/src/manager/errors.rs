//! Errors of calls to [`Leases`](super::Leases).
use super::MAX_CLAIMS;
use crate::subject::MAX_SUBJECT_BYTES;
use compact_str::CompactString;
use thiserror::Error;

/// Why a lease can't be acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AcquireError {
    /// The subject is longer than messages allow.
    #[error("the subject is longer than {MAX_SUBJECT_BYTES} bytes")]
    SubjectTooLong,
    /// This process has as many claims as it may.
    #[error("this relay wants {MAX_CLAIMS} leases already")]
    TooManyClaims,
}

/// Why a change of the configuration is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// The term may not change, since all processes have to agree on it at all times.
    #[error("peers.lease: can be changed only with a restart of all relays")]
    TermChanged,
    /// The generation is not the one after the current one.
    #[error("peers.generation: must be {expected}, the next after the current {here}")]
    WrongGeneration {
        /// The only valid next generation.
        expected: u32,
        /// The current generation.
        here: u32,
    },
    /// The first step of a change of voters does not name the current voters as the previous ones.
    #[error("peers.voters_before: names the voters until now ({})", voters.join(", "))]
    VotersBeforeMissing {
        /// The current voters.
        voters: Vec<CompactString>,
    },
    /// The second step of a change of voters changes the voters again.
    #[error(
        "peers.voters: must stay ({}) in the step that removes peers.voters_before",
        voters.join(", ")
    )]
    VotersChanged {
        /// The current voters.
        voters: Vec<CompactString>,
    },
    /// A lease that a majority of the previous voters alone has granted may still be valid.
    #[error(
        "peers.voters_before: must stay until a majority of the voters has used the current generation for a lease term"
    )]
    NotSettled,
}
