//! The invariants of a cluster, their limits and their violations.
use thistlecroft::time::{Duration, Instant};

/// Events of two threads may be recorded in the wrong order by so much.
pub(super) const ORDER_TOLERANCE: Duration = Duration::from_millis(50);

/// What is judged. Leases, and that a session belongs to one relay and one backend, always are.
#[derive(Clone, Debug, Default)]
pub struct ClusterLimits {
    /// The greatest number of sessions over all relays, and for how long it may be exceeded.
    pub max_sessions: Option<(usize, Duration)>,
    /// The greatest number of attempts in any second over all backends.
    pub max_attempts_per_second: Option<usize>,
    /// An operator's ban at one relay holds at all others after this.
    pub ban_replication_time: Option<Duration>,
    /// A session of a lost relay may be taken over, once.
    pub allows_takeover: bool,
    /// At the end each running relay sees all running relays and nobody else.
    pub requires_consistent_membership: bool,
}

/// An invariant of a cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClusterInvariant {
    /// A lease has one holder at a time.
    SingleLeaseHolder,
    /// The epochs of a lease grow, and each belongs to one relay.
    IncreasingEpochs,
    /// No other relay serves the session of a lost one.
    OneRelayPerSession,
    /// A session is taken over once at most.
    SingleTakeover,
    /// A session is established at one backend.
    OneBackendPerSession,
    /// The limit of sessions holds over all relays.
    SessionLimit,
    /// The limit of attempts in a second holds over all relays.
    AttemptRate,
    /// A ban at one relay holds at all.
    BansReplicated,
    /// All relays see the same members.
    ConsistentMembership,
}

impl ClusterInvariant {
    /// Its name in results.
    pub fn name(self) -> &'static str {
        match self {
            ClusterInvariant::SingleLeaseHolder => "one holder of a lease",
            ClusterInvariant::IncreasingEpochs => "epochs grow",
            ClusterInvariant::OneRelayPerSession => "one relay a session",
            ClusterInvariant::SingleTakeover => "taken over once",
            ClusterInvariant::OneBackendPerSession => "one box a session",
            ClusterInvariant::SessionLimit => "sessions at once over all",
            ClusterInvariant::AttemptRate => "dials a second over all",
            ClusterInvariant::BansReplicated => "bans hold everywhere",
            ClusterInvariant::ConsistentMembership => "views agree",
        }
    }
}

/// A violated invariant.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterViolation {
    /// The invariant.
    pub invariant: ClusterInvariant,
    /// When it was violated.
    pub at: Instant,
    /// How it was violated.
    pub description: String,
}
