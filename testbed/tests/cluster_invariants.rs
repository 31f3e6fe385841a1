//! The judge of what relays do together: it names each way of being wrong together, and says
//! nothing of a right fleet.
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

fn seen(ms: u64, seen: Observation) -> RecordedEvent {
    RecordedEvent {
        at: at(ms),
        observation: seen,
    }
}

/// Asked then, answered 10 ms later, held for so long from the asking.
fn held(ms: u64, relay: u16, epoch: u64, lasts: u64) -> RecordedEvent {
    let (asked, until) = (at(ms), at(ms + lasts));
    seen(
        ms + 10,
        Observation::LeaseClaimed {
            relay: RelayIndex(relay),
            subject: "turn",
            epoch,
            requested_at: asked,
            valid_until: until,
        },
    )
}

fn asked(ms: u64, session: u64, relay: u16) -> RecordedEvent {
    let (relay, wait) = (Some(RelayIndex(relay)), Duration::from_millis(2_000));
    seen(
        ms,
        Observation::SessionRequested {
            session: SessionId(session),
            relay,
            listener: 0,
            timeout: wait,
            due: at(ms),
            reconnecting: false,
        },
    )
}

fn dial(ms: u64, session: u64, of: u16) -> RecordedEvent {
    seen(
        ms,
        Observation::AttemptReceived {
            backend: BackendIndex(of),
            session: SessionId(session),
            first_byte_at: at(ms),
        },
    )
}

fn replied(ms: u64, session: u64, of: u16) -> RecordedEvent {
    seen(
        ms,
        Observation::AttemptAnswered {
            backend: BackendIndex(of),
            session: SessionId(session),
            reply: Reply::Accepted,
        },
    )
}

fn up(ms: u64, session: u64) -> RecordedEvent {
    seen(
        ms,
        Observation::Answered {
            session: SessionId(session),
            answer: Answer::Accepted,
        },
    )
}

fn ended(ms: u64, session: u64) -> RecordedEvent {
    seen(
        ms,
        Observation::SessionClosed {
            session: SessionId(session),
        },
    )
}

fn killed(ms: u64, relay: u16) -> RecordedEvent {
    seen(
        ms,
        Observation::RelayKilled {
            relay: RelayIndex(relay),
        },
    )
}

fn banned(ms: u64, relay: u16, of: u16, out: bool) -> RecordedEvent {
    seen(
        ms,
        Observation::BackendBanned {
            relay: RelayIndex(relay),
            backend: BackendIndex(of),
            banned: out,
        },
    )
}

fn started(ms: u64, relay: u16) -> RecordedEvent {
    seen(
        ms,
        Observation::RelayStarted {
            relay: RelayIndex(relay),
        },
    )
}

fn sees(ms: u64, relay: u16, here: &[u16]) -> RecordedEvent {
    let here = here.iter().map(|one| format!("relay-{one}")).collect();
    seen(
        ms,
        Observation::MembersSeen {
            relay: RelayIndex(relay),
            members: here,
        },
    )
}

fn pact() -> ClusterLimits {
    ClusterLimits {
        max_sessions: Some((2, Duration::from_millis(500))),
        max_attempts_per_second: Some(3),
        ban_replication_time: Some(Duration::from_millis(1_000)),
        allows_takeover: false,
        requires_consistent_membership: true,
    }
}

#[test]
fn each_way_of_being_wrong_together_is_named() {
    let cases: Vec<(&str, Vec<RecordedEvent>, ClusterInvariant)> = vec![
        (
            "two hold one lease",
            vec![held(0, 0, 1, 1_000), held(500, 1, 2, 1_000)],
            ClusterInvariant::SingleLeaseHolder,
        ),
        (
            "one that stood still goes on by its old lease",
            vec![
                held(0, 0, 1, 1_000),
                held(1_500, 1, 2, 1_000),
                held(1_900, 0, 1, 1_000),
            ],
            ClusterInvariant::SingleLeaseHolder,
        ),
        (
            "a holder at its end beside the next",
            vec![held(0, 0, 1, 1_000), held(980, 1, 2, 1_000)],
            ClusterInvariant::SingleLeaseHolder,
        ),
        (
            "given back by one that stops while somebody was told that it is held",
            vec![
                held(0, 0, 1, 1_000),
                seen(
                    100,
                    Observation::RelayStopRequested {
                        relay: RelayIndex(0),
                    },
                ),
                held(300, 1, 2, 1_000),
            ],
            ClusterInvariant::SingleLeaseHolder,
        ),
        (
            "one epoch for two holders",
            vec![held(0, 0, 4, 1_000), held(2_000, 1, 4, 1_000)],
            ClusterInvariant::IncreasingEpochs,
        ),
        (
            "an epoch that falls",
            vec![held(0, 0, 4, 1_000), held(2_000, 1, 3, 1_000)],
            ClusterInvariant::IncreasingEpochs,
        ),
        (
            "a session of a dead relay is acted on",
            vec![asked(0, 1, 0), killed(100, 0), dial(400, 1, 2)],
            ClusterInvariant::OneRelayPerSession,
        ),
        (
            "two boxes hold one session",
            vec![
                asked(0, 1, 0),
                dial(10, 1, 0),
                replied(20, 1, 0),
                dial(30, 1, 1),
                replied(40, 1, 1),
            ],
            ClusterInvariant::OneBackendPerSession,
        ),
        (
            "more sessions at once than all together may have, for too long",
            vec![up(0, 1), up(10, 2), up(20, 3), ended(800, 1)],
            ClusterInvariant::SessionLimit,
        ),
        (
            "more dials in a second over all",
            vec![
                dial(0, 1, 0),
                dial(300, 2, 0),
                dial(600, 3, 0),
                dial(999, 4, 0),
            ],
            ClusterInvariant::AttemptRate,
        ),
        (
            "a ban at one relay is unknown to another",
            vec![banned(0, 0, 5, true), asked(100, 1, 1), dial(1_200, 1, 5)],
            ClusterInvariant::BansReplicated,
        ),
        (
            "one relay does not see another that runs",
            vec![
                started(0, 0),
                started(0, 1),
                sees(900, 0, &[0, 1]),
                sees(900, 1, &[1]),
            ],
            ClusterInvariant::ConsistentMembership,
        ),
        (
            "a dead relay is still seen here",
            vec![
                started(0, 0),
                started(0, 1),
                killed(100, 1),
                sees(900, 0, &[0, 1]),
            ],
            ClusterInvariant::ConsistentMembership,
        ),
    ];
    for (what, mut entries, rule) in cases {
        entries.sort_by_key(|entry| entry.at);
        let found: Vec<ClusterInvariant> = check_cluster_invariants(&entries, &pact())
            .iter()
            .map(|breach| breach.invariant)
            .collect();
        assert_eq!(found.first(), Some(&rule), "{what}: {found:?}");
    }
    let twice = vec![
        asked(0, 1, 0),
        killed(100, 0),
        dial(400, 1, 2),
        dial(900, 1, 3),
    ];
    let takes_over = ClusterLimits {
        allows_takeover: true,
        ..pact()
    };
    let found = check_cluster_invariants(&twice, &takes_over);
    assert_eq!(
        found.iter().map(|one| one.invariant).collect::<Vec<_>>(),
        [ClusterInvariant::SingleTakeover],
        "taken over twice"
    );
}

#[test]
fn a_right_fleet_is_told_nothing() {
    let cases: Vec<(&str, Vec<RecordedEvent>)> = vec![
        (
            "one after the other",
            vec![
                held(0, 0, 1, 1_000),
                held(300, 0, 1, 1_000),
                held(1_400, 1, 2, 1_000),
            ],
        ),
        // It was stopped between looking and saying: what it said is over when it is heard.
        (
            "said late",
            vec![
                held(0, 0, 1, 1_000),
                seen(
                    5_000,
                    Observation::LeaseClaimed {
                        relay: RelayIndex(0),
                        subject: "turn",
                        epoch: 1,
                        requested_at: at(900),
                        valid_until: at(1_800),
                    },
                ),
                held(4_900, 1, 2, 1_000),
            ],
        ),
        (
            "over the sum for less than may be",
            vec![up(0, 1), up(10, 2), up(20, 3), ended(400, 1)],
        ),
        (
            "a second's dials",
            vec![
                dial(0, 1, 0),
                dial(300, 2, 0),
                dial(600, 3, 0),
                dial(1_000, 4, 0),
            ],
        ),
        (
            "the ban has come in time, and is taken back",
            vec![
                banned(0, 0, 5, true),
                dial(1_000, 1, 5),
                banned(2_000, 0, 5, false),
                dial(3_500, 2, 5),
            ],
        ),
        (
            "a relay that was killed serves again",
            vec![
                asked(0, 1, 0),
                killed(100, 0),
                asked(900, 2, 0),
                dial(1_000, 2, 1),
            ],
        ),
        (
            "moved to another box",
            vec![
                asked(0, 1, 0),
                replied(20, 1, 0),
                seen(
                    30,
                    Observation::BackendClosedSession {
                        backend: BackendIndex(0),
                        session: SessionId(1),
                    },
                ),
                replied(50, 1, 1),
            ],
        ),
        (
            "all see all that run",
            vec![
                started(0, 0),
                started(0, 1),
                killed(100, 1),
                sees(50, 1, &[0, 1]),
                sees(900, 0, &[0]),
            ],
        ),
    ];
    for (what, mut entries) in cases {
        entries.sort_by_key(|entry| entry.at);
        assert_eq!(check_cluster_invariants(&entries, &pact()), [], "{what}");
    }
}
