//! The invariants of a cluster, their limits and their violations.
use thistlecroft::time::{Duration, Instant};

/// The greatest time by which events of two threads may be recorded in the wrong order.
pub(super) const ORDER_TOLERANCE: Duration = Duration::from_millis(50);

/// The limits that a cluster is checked against. The invariants of leases, and those that bind a
/// session to one relay and one backend, need no limit and are always checked.
#[derive(Clone, Debug, Default)]
pub struct ClusterLimits {
    /// The maximum number of sessions over all relays, and the time for which it may be exceeded;
    /// `None` skips the check.
    pub max_sessions: Option<(usize, Duration)>,
    /// The maximum number of attempts in any second over all backends; `None` skips the check.
    pub max_attempts_per_second: Option<usize>,
    /// The time after which an operator's ban at one relay holds at all others; `None` skips the
    /// check.
    pub ban_replication_time: Option<Duration>,
    /// Whether another relay may take over a session of a killed relay, once.
    pub allows_takeover: bool,
    /// Whether each running relay must see exactly the running relays at the end.
    pub requires_consistent_membership: bool,
}

/// An invariant of a cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClusterInvariant {
    /// A lease has at most one holder at a time.
    SingleLeaseHolder,
    /// The epochs of a lease increase, and each belongs to one relay.
    IncreasingEpochs,
    /// No other relay serves a session of a killed relay.
    OneRelayPerSession,
    /// A session is taken over at most once.
    SingleTakeover,
    /// A session is established at only one backend at a time.
    OneBackendPerSession,
    /// The number of established sessions over all relays stays within its limit.
    SessionLimit,
    /// The number of attempts in a second over all relays stays within its limit.
    AttemptRate,
    /// A ban at one relay holds at all relays.
    BansReplicated,
    /// All relays see the same members alive.
    ConsistentMembership,
}

impl ClusterInvariant {
    /// Returns the name of the invariant in results.
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

/// A violation of a cluster invariant.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterViolation {
    /// The violated invariant.
    pub invariant: ClusterInvariant,
    /// When the invariant was violated.
    pub at: Instant,
    /// How the invariant was violated.
    pub description: String,
}
