//! The checker of cluster invariants reports each kind of violation in constructed events, and none
//! in the events of a correct cluster.
use thistlecroft::time::{Duration, Instant};
use thistlecroft_testbed::cluster_invariants::{
    ClusterInvariant, ClusterLimits, check_cluster_invariants,
};
use thistlecroft_testbed::event_recorder::{
    Answer, BackendIndex, Observation, RecordedEvent, RelayIndex, Reply, SessionId,
};

fn at(ms: u64) -> Instant {
    Instant::from_micros(ms * 1_000)
}

fn event(ms: u64, observation: Observation) -> RecordedEvent {
    RecordedEvent {
        at: at(ms),
        observation,
    }
}

/// Returns the event of a relay's answer that it holds the lease. The relay is asked at `ms` and
/// answers 10 ms later; the lease is valid for `duration_ms` from the request.
fn lease_held(ms: u64, relay: u16, epoch: u64, duration_ms: u64) -> RecordedEvent {
    let claimed = Observation::LeaseClaimed {
        relay: RelayIndex(relay),
        subject: "turn",
        epoch,
        requested_at: at(ms),
        valid_until: at(ms + duration_ms),
    };
    event(ms + 10, claimed)
}

fn session_requested(ms: u64, session: u64, relay: u16) -> RecordedEvent {
    let requested = Observation::SessionRequested {
        session: SessionId(session),
        relay: Some(RelayIndex(relay)),
        listener: 0,
        timeout: Duration::from_millis(2_000),
        due: at(ms),
        reconnecting: false,
    };
    event(ms, requested)
}

fn attempt(ms: u64, session: u64, backend: u16) -> RecordedEvent {
    let received = Observation::AttemptReceived {
        backend: BackendIndex(backend),
        session: SessionId(session),
        first_byte_at: at(ms),
    };
    event(ms, received)
}

fn attempt_accepted(ms: u64, session: u64, backend: u16) -> RecordedEvent {
    let answered = Observation::AttemptAnswered {
        backend: BackendIndex(backend),
        session: SessionId(session),
        reply: Reply::Accepted,
    };
    event(ms, answered)
}

fn backend_closed_session(ms: u64, session: u64, backend: u16) -> RecordedEvent {
    let closed = Observation::BackendClosedSession {
        backend: BackendIndex(backend),
        session: SessionId(session),
    };
    event(ms, closed)
}

fn session_established(ms: u64, session: u64) -> RecordedEvent {
    let answered = Observation::Answered {
        session: SessionId(session),
        answer: Answer::Accepted,
    };
    event(ms, answered)
}

fn session_closed(ms: u64, session: u64) -> RecordedEvent {
    let session = SessionId(session);
    event(ms, Observation::SessionClosed { session })
}

fn relay_started(ms: u64, relay: u16) -> RecordedEvent {
    let relay = RelayIndex(relay);
    event(ms, Observation::RelayStarted { relay })
}

fn relay_stop_requested(ms: u64, relay: u16) -> RecordedEvent {
    let relay = RelayIndex(relay);
    event(ms, Observation::RelayStopRequested { relay })
}

fn relay_killed(ms: u64, relay: u16) -> RecordedEvent {
    let relay = RelayIndex(relay);
    event(ms, Observation::RelayKilled { relay })
}

fn ban(ms: u64, relay: u16, backend: u16, banned: bool) -> RecordedEvent {
    let changed = Observation::BackendBanned {
        relay: RelayIndex(relay),
        backend: BackendIndex(backend),
        banned,
    };
    event(ms, changed)
}

fn members_seen(ms: u64, relay: u16, members: &[u16]) -> RecordedEvent {
    let names = members.iter().map(|index| format!("relay-{index}"));
    let seen = Observation::MembersSeen {
        relay: RelayIndex(relay),
        members: names.collect(),
    };
    event(ms, seen)
}

fn limits() -> ClusterLimits {
    ClusterLimits {
        max_sessions: Some((2, Duration::from_millis(500))),
        max_attempts_per_second: Some(3),
        ban_replication_time: Some(Duration::from_millis(1_000)),
        allows_takeover: false,
        requires_consistent_membership: true,
    }
}

/// Returns the violated invariants in chronological order.
fn violated_invariants(
    mut events: Vec<RecordedEvent>,
    limits: &ClusterLimits,
) -> Vec<ClusterInvariant> {
    events.sort_by_key(|event| event.at);
    check_cluster_invariants(&events, limits)
        .iter()
        .map(|violation| violation.invariant)
        .collect()
}

fn assert_first_violated(name: &str, events: Vec<RecordedEvent>, expected: ClusterInvariant) {
    let found = violated_invariants(events, &limits());
    assert_eq!(found.first(), Some(&expected), "{name}: {found:?}");
}

fn assert_none_violated(name: &str, mut events: Vec<RecordedEvent>) {
    events.sort_by_key(|event| event.at);
    assert_eq!(check_cluster_invariants(&events, &limits()), [], "{name}");
}

#[test]
fn lease_with_two_holders_at_once_is_a_violation() {
    let cases = vec![
        (
            "two relays hold one lease at the same time",
            vec![lease_held(0, 0, 1, 1_000), lease_held(500, 1, 2, 1_000)],
        ),
        (
            "a relay that was paused still claims its old lease",
            vec![
                lease_held(0, 0, 1, 1_000),
                lease_held(1_500, 1, 2, 1_000),
                lease_held(1_900, 0, 1, 1_000),
            ],
        ),
        (
            "the second lease begins just before the end of the first",
            vec![lease_held(0, 0, 1, 1_000), lease_held(980, 1, 2, 1_000)],
        ),
        (
            "a stopping relay releases its lease, which its last answer declares valid for longer",
            vec![
                lease_held(0, 0, 1, 1_000),
                relay_stop_requested(100, 0),
                lease_held(300, 1, 2, 1_000),
            ],
        ),
    ];
    for (name, events) in cases {
        assert_first_violated(name, events, ClusterInvariant::SingleLeaseHolder);
    }
}

#[test]
fn lease_epoch_that_does_not_increase_is_a_violation() {
    let cases = vec![
        (
            "two holders have the same epoch",
            vec![lease_held(0, 0, 4, 1_000), lease_held(2_000, 1, 4, 1_000)],
        ),
        (
            "a later holder has a lower epoch",
            vec![lease_held(0, 0, 4, 1_000), lease_held(2_000, 1, 3, 1_000)],
        ),
    ];
    for (name, events) in cases {
        assert_first_violated(name, events, ClusterInvariant::IncreasingEpochs);
    }
}

#[test]
fn session_of_two_relays_or_backends_is_a_violation() {
    assert_first_violated(
        "an attempt for a session of a killed relay",
        vec![
            session_requested(0, 1, 0),
            relay_killed(100, 0),
            attempt(400, 1, 2),
        ],
        ClusterInvariant::OneRelayPerSession,
    );
    assert_first_violated(
        "one session is established at two backends",
        vec![
            session_requested(0, 1, 0),
            attempt(10, 1, 0),
            attempt_accepted(20, 1, 0),
            attempt(30, 1, 1),
            attempt_accepted(40, 1, 1),
        ],
        ClusterInvariant::OneBackendPerSession,
    );
}

#[test]
fn session_taken_over_twice_is_a_violation() {
    let limits = ClusterLimits {
        allows_takeover: true,
        ..limits()
    };
    let events = vec![
        session_requested(0, 1, 0),
        relay_killed(100, 0),
        attempt(400, 1, 2),
        attempt(900, 1, 3),
    ];
    assert_eq!(
        violated_invariants(events, &limits),
        [ClusterInvariant::SingleTakeover]
    );
}

#[test]
fn total_beyond_its_limit_is_a_violation() {
    assert_first_violated(
        "more sessions than allowed for too long",
        vec![
            session_established(0, 1),
            session_established(10, 2),
            session_established(20, 3),
            session_closed(800, 1),
        ],
        ClusterInvariant::SessionLimit,
    );
    assert_first_violated(
        "more attempts in a second than allowed",
        vec![
            attempt(0, 1, 0),
            attempt(300, 2, 0),
            attempt(600, 3, 0),
            attempt(999, 4, 0),
        ],
        ClusterInvariant::AttemptRate,
    );
}

#[test]
fn ban_unknown_to_another_relay_is_a_violation() {
    assert_first_violated(
        "an attempt after the replication time",
        vec![
            ban(0, 0, 5, true),
            session_requested(100, 1, 1),
            attempt(1_200, 1, 5),
        ],
        ClusterInvariant::BansReplicated,
    );
}

#[test]
fn membership_that_differs_from_running_relays_is_a_violation() {
    let cases = vec![
        (
            "one relay does not see another running relay",
            vec![
                relay_started(0, 0),
                relay_started(0, 1),
                members_seen(900, 0, &[0, 1]),
                members_seen(900, 1, &[1]),
            ],
        ),
        (
            "a killed relay is still seen",
            vec![
                relay_started(0, 0),
                relay_started(0, 1),
                relay_killed(100, 1),
                members_seen(900, 0, &[0, 1]),
            ],
        ),
    ];
    for (name, events) in cases {
        assert_first_violated(name, events, ClusterInvariant::ConsistentMembership);
    }
}

#[test]
fn leases_in_turn_have_no_violation() {
    assert_none_violated(
        "two relays hold the lease one after the other",
        vec![
            lease_held(0, 0, 1, 1_000),
            lease_held(300, 0, 1, 1_000),
            lease_held(1_400, 1, 2, 1_000),
        ],
    );
    // The relay was paused after it had read its lease and before it answered, so that the answer
    // is outdated when it arrives.
    let late_answer = Observation::LeaseClaimed {
        relay: RelayIndex(0),
        subject: "turn",
        epoch: 1,
        requested_at: at(900),
        valid_until: at(1_800),
    };
    assert_none_violated(
        "an answer arrives after the lease that it declares has ended",
        vec![
            lease_held(0, 0, 1, 1_000),
            event(5_000, late_answer),
            lease_held(4_900, 1, 2, 1_000),
        ],
    );
}

#[test]
fn totals_within_their_limits_have_no_violation() {
    assert_none_violated(
        "more sessions than allowed within the tolerance",
        vec![
            session_established(0, 1),
            session_established(10, 2),
            session_established(20, 3),
            session_closed(400, 1),
        ],
    );
    assert_none_violated(
        "as many attempts in a second as allowed",
        vec![
            attempt(0, 1, 0),
            attempt(300, 2, 0),
            attempt(600, 3, 0),
            attempt(1_000, 4, 0),
        ],
    );
}

#[test]
fn correct_sessions_bans_and_memberships_have_no_violation() {
    assert_none_violated(
        "the ban is replicated in time and lifted later",
        vec![
            ban(0, 0, 5, true),
            attempt(1_000, 1, 5),
            ban(2_000, 0, 5, false),
            attempt(3_500, 2, 5),
        ],
    );
    assert_none_violated(
        "a relay that was killed serves again",
        vec![
            session_requested(0, 1, 0),
            relay_killed(100, 0),
            session_requested(900, 2, 0),
            attempt(1_000, 2, 1),
        ],
    );
    assert_none_violated(
        "a session migrates to another backend",
        vec![
            session_requested(0, 1, 0),
            attempt_accepted(20, 1, 0),
            backend_closed_session(30, 1, 0),
            attempt_accepted(50, 1, 1),
        ],
    );
    assert_none_violated(
        "the last answers name exactly the running relays",
        vec![
            relay_started(0, 0),
            relay_started(0, 1),
            relay_killed(100, 1),
            members_seen(50, 1, &[0, 1]),
            members_seen(900, 0, &[0]),
        ],
    );
}
