//! Why the manager rejects a request of its own process.
use super::MAX_CLAIMS;
use crate::subject::MAX_SUBJECT_BYTES;
use compact_str::CompactString;
use thiserror::Error;

/// Why a lease can't be acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AcquireError {
    /// The subject does not fit in messages.
    #[error("the subject is longer than {MAX_SUBJECT_BYTES} bytes")]
    SubjectTooLong,
    /// This process has as many claims as it may.
    #[error("this relay wants {MAX_CLAIMS} leases already")]
    TooManyClaims,
}

/// Why a change of the configuration is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// All processes have to agree on the term at all times.
    #[error("peers.lease: changes with a restart of all relays only")]
    TermChanged,
    /// Generations are consecutive.
    #[error("peers.generation: {expected} follows {here}")]
    WrongGeneration {
        /// The only generation that may come next.
        expected: u32,
        /// The current generation.
        here: u32,
    },
    /// A change of the voters has to begin with a joint majority of both sets.
    #[error("peers.voters_before: names the voters until now ({})", voters.join(", "))]
    VotersBeforeMissing {
        /// The current voters.
        voters: Vec<CompactString>,
    },
    /// The second step of a change may not change the voters again.
    #[error("peers.voters: stay ({}) while voters_before is taken out", voters.join(", "))]
    VotersChanged {
        /// The current voters.
        voters: Vec<CompactString>,
    },
    /// What the previous voters granted alone may still be valid.
    #[error(
        "peers.voters_before: a majority of the voters has not gone by this generation for a lease's time"
    )]
    NotSettled,
}
