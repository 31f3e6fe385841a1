//! The referee is shown a relay that is wrong in one way each, and must name the rule that this
//! breaks; and the same relay, right, among the same faults, of which it must say nothing.
mod helper;
use helper::{ALL, Scene, Wrong};
use std::io::{BufRead, BufReader, Write};
use std::thread;
use thistlecroft::deployment::{DeduplicationScope, Idempotency};
use thistlecroft::time::{Duration, Instant};
use thistlecroft_testbed::clock::Stopwatch;
use thistlecroft_testbed::cluster_invariants::{
    ClusterInvariant, ClusterLimits, check_cluster_invariants,
};
use thistlecroft_testbed::event_recorder::{
    Answer, BackendIndex, Lifecycle, Observation, RecordedEvent, RelayIndex, Reply, SessionId,
    event_recorder,
};
use thistlecroft_testbed::invariant_checker::{PlatformRules, check_invariants};
use thistlecroft_testbed::relay_observer::RelayObserver;
use thistlecroft_testbed::simulated_backends::{AgentFault, BackendCommand, BackendFault};

/// The rule that has to be found broken, and what its first break is to be called.
struct Case {
    scene: Scene,
    broken: Option<(usize, &'static str)>,
}

fn breaks(rule: usize, what: &'static str, wrong: Wrong) -> Case {
    Case {
        scene: Scene::of(wrong),
        broken: Some((rule, what)),
    }
}

fn once_only(wrong: Wrong) -> Scene {
    Scene {
        effect: Idempotency::NonIdempotent,
        cues: ail(BackendFault::ErrorRate(0.5)),
        ..Scene::of(wrong)
    }
}

fn referenced(wrong: Wrong, scope: DeduplicationScope, window_ms: u64) -> Scene {
    let effect = Idempotency::Keyed {
        scope,
        window: Duration::from_millis(window_ms),
    };
    Scene {
        effect,
        zones: &["a", "b"],
        cues: ail(BackendFault::ErrorRate(0.5)),
        ..Scene::of(wrong)
    }
}

fn ail(ailment: BackendFault) -> Vec<(u64, BackendCommand)> {
    ALL.iter()
        .map(|&at| (0, BackendCommand::InjectFault(at, ailment)))
        .collect()
}

fn drains() -> Vec<(u64, BackendCommand)> {
    vec![(
        300,
        BackendCommand::Drain(BackendIndex(1), Duration::from_millis(6_000)),
    )]
}

/// Told to nobody: discovery went silent before.
fn drains_unheard() -> Vec<(u64, BackendCommand)> {
    vec![
        (
            0,
            BackendCommand::SetAgentFault(RelayIndex(0), AgentFault::Silent, true),
        ),
        (
            100,
            BackendCommand::Drain(BackendIndex(1), Duration::from_millis(60_000)),
        ),
    ]
}

/// The last one dies and is back, cold.
fn returns() -> Vec<(u64, BackendCommand)> {
    vec![(
        100,
        BackendCommand::Crash(BackendIndex(2), Some(Duration::from_millis(200))),
    )]
}

fn all_sorts() -> Vec<(u64, BackendCommand)> {
    vec![
        (
            0,
            BackendCommand::InjectFault(BackendIndex(0), BackendFault::ErrorRate(0.3)),
        ),
        (
            0,
            BackendCommand::InjectFault(
                BackendIndex(1),
                BackendFault::PeriodicPause(Duration::from_millis(600), Duration::from_millis(150)),
            ),
        ),
        (400, BackendCommand::ClearFault(BackendIndex(0))),
        (
            500,
            BackendCommand::InjectFault(BackendIndex(0), BackendFault::ResetOnRequest),
        ),
        (
            700,
            BackendCommand::InjectFault(BackendIndex(0), BackendFault::ResetOnAccept),
        ),
        (
            900,
            BackendCommand::InjectFault(BackendIndex(0), BackendFault::ResetAfterSetup),
        ),
        (
            1_100,
            BackendCommand::InjectFault(BackendIndex(0), BackendFault::PartialAnswer),
        ),
        (
            1_400,
            BackendCommand::InjectFault(BackendIndex(0), BackendFault::Unresponsive),
        ),
        (
            1_700,
            BackendCommand::InjectFault(BackendIndex(0), BackendFault::Slow(3.0)),
        ),
        (
            1_000,
            BackendCommand::Crash(BackendIndex(2), Some(Duration::from_millis(400))),
        ),
        (
            1_600,
            BackendCommand::Drain(BackendIndex(1), Duration::from_millis(600)),
        ),
    ]
}

#[test]
fn each_break_is_caught_and_nothing_else() {
    let unheard = |wrong| Scene {
        cues: drains_unheard(),
        length_ms: 8_500,
        a_second: 8.0,
        ..Scene::of(wrong)
    };
    let rush = |wrong, relays, a_second| Scene {
        cues: returns(),
        relays,
        a_second,
        ..Scene::of(wrong)
    };
    let cases = vec![
        breaks(1, "it had no answer within its wait", Wrong::NeverAnswers),
        breaks(
            1,
            "its connection ended without an answer",
            Wrong::EndsUnanswered,
        ),
        breaks(
            1,
            "more was said after the final answer",
            Wrong::AnswersTwice,
        ),
        breaks(1, "after its wait was over", Wrong::AnswersLate),
        breaks(1, "kept back", Wrong::KeepsBack),
        breaks(1, "cut off without MOVE", Wrong::CutsOff),
        breaks(1, "its box had answered before", Wrong::HoldsLines),
        breaks(1, "a line came back that was not sent", Wrong::ChangesLines),
        breaks(1, "no client sent", Wrong::OwnLine),
        Case {
            scene: Scene {
                cues: vec![(1_000, BackendCommand::Crash(BackendIndex(2), None))],
                ..Scene::of(Wrong::LeavesOrphans)
            },
            broken: Some((1, "its box had ended it")),
        },
        breaks(2, "had a dial of it at once", Wrong::TwoAtOnce),
        Case {
            scene: once_only(Wrong::DialsOnceOnlyAgain),
            broken: Some((2, "was dialled again")),
        },
        Case {
            scene: once_only(Wrong::RefusesOnceOnly),
            broken: Some((2, "may have run was refused")),
        },
        Case {
            scene: referenced(Wrong::RepeatsElsewhere, DeduplicationScope::Zone, 60_000),
            broken: Some((2, "where its mark is not known")),
        },
        Case {
            scene: referenced(Wrong::RepeatsLate, DeduplicationScope::All, 100),
            broken: Some((2, "after its mark was forgotten")),
        },
        Case {
            scene: Scene {
                cues: drains(),
                ..Scene::of(Wrong::IgnoresDrains)
            },
            broken: Some((3, "after its drain was told")),
        },
        Case {
            scene: unheard(Wrong::IgnoresDrains),
            broken: Some((3, "after its drain was told")),
        },
        Case {
            scene: rush(Wrong::AllToTheNewest, 1, 20.0),
            broken: Some((4, "was pushed over while cold")),
        },
        Case {
            scene: rush(Wrong::AllToTheNewest, 3, 20.0),
            broken: Some((4, "was pushed over while cold")),
        },
        // The right one, among all that the wrong ones met.
        Case {
            scene: Scene::of(Wrong::Nothing),
            broken: None,
        },
        Case {
            scene: once_only(Wrong::Nothing),
            broken: None,
        },
        Case {
            scene: referenced(Wrong::Nothing, DeduplicationScope::Zone, 100),
            broken: None,
        },
        Case {
            scene: referenced(Wrong::RepeatsElsewhere, DeduplicationScope::All, 60_000),
            broken: None,
        },
        Case {
            scene: Scene {
                cues: drains(),
                ..Scene::of(Wrong::Nothing)
            },
            broken: None,
        },
        Case {
            scene: rush(Wrong::Nothing, 2, 10.0),
            broken: None,
        },
        Case {
            scene: Scene {
                cues: all_sorts(),
                ..Scene::of(Wrong::Nothing)
            },
            broken: None,
        },
    ];
    let runs: Vec<_> = cases
        .into_iter()
        .map(|case| {
            thread::spawn(move || {
                let (ruling, _) = case.scene.run();
                let name = format!("{:?} with {:?}: ", case.scene.wrong, case.scene.effect);
                let story = |rule: usize| {
                    ruling.first_violations[rule]
                        .as_ref()
                        .map(|first| (&first.description, &first.timeline))
                };
                let found: Vec<_> = (0..4).filter_map(story).collect();
                match case.broken {
                    None if ruling.holds() && ruling.sessions > 10 => Ok(()),
                    Some((rule, what))
                        if ruling
                            .violation_counts
                            .iter()
                            .enumerate()
                            .all(|(at, count)| (*count > 0) == (at + 1 == rule))
                            && story(rule - 1).is_some_and(|(found, story)| {
                                found.contains(what)
                                    && (!story.is_empty() || what.contains("no client"))
                            }) =>
                    {
                        Ok(())
                    }
                    expected => Err(format!(
                        "{name}expected {expected:?}, {} sessions: {found:#?}",
                        ruling.sessions
                    )),
                }
            })
        })
        .collect();
    let faults: Vec<String> = runs
        .into_iter()
        .filter_map(|run| run.join().unwrap().err())
        .collect();
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

#[test]
fn a_box_out_by_hand_gets_nothing_new_after_the_grace() {
    let (relay, at, session) = (RelayIndex(0), BackendIndex(1), SessionId(7));
    let by_hand = |relay, out| Observation::BackendBanned {
        relay,
        backend: at,
        banned: out,
    };
    let again = Observation::EndpointAnnounced {
        relay,
        backend: at,
        lifecycle: Lifecycle::Ready,
    };
    // What came before the dial, when that came, and whether it breaks the drain's rule. The grace
    // is two seconds.
    let cases = [
        (vec![(0, by_hand(relay, true))], 1_900, false),
        (vec![(0, by_hand(relay, true))], 2_500, true),
        (vec![(0, by_hand(RelayIndex(1), true))], 2_500, false),
        (
            vec![(0, by_hand(relay, true)), (2_000, by_hand(relay, false))],
            2_500,
            false,
        ),
        (
            vec![(0, by_hand(relay, true)), (1_500, by_hand(relay, true))],
            2_500,
            true,
        ),
        (
            vec![
                (0, by_hand(relay, true)),
                (
                    1_000,
                    Observation::BackendStarted {
                        backend: at,
                        cold: true,
                    },
                ),
            ],
            2_500,
            true,
        ),
        (vec![(0, by_hand(relay, true)), (1_000, again)], 2_500, true),
    ];
    for (before, came, broken) in cases {
        let (due, wait) = (
            Instant::from_micros((came - 5) * 1_000),
            Duration::from_millis(1_000),
        );
        let mut seen = vec![(0, Observation::RelayStarted { relay })];
        seen.extend(before);
        seen.extend([
            (
                came - 5,
                Observation::SessionRequested {
                    session,
                    relay: Some(relay),
                    listener: 0,
                    timeout: wait,
                    due,
                    reconnecting: false,
                },
            ),
            (
                came,
                Observation::AttemptReceived {
                    backend: at,
                    session,
                    first_byte_at: Instant::from_micros(came * 1_000),
                },
            ),
            (
                came + 1,
                Observation::AttemptAnswered {
                    backend: at,
                    session,
                    reply: Reply::Accepted,
                },
            ),
            (
                came + 2,
                Observation::Answered {
                    session,
                    answer: Answer::Accepted,
                },
            ),
            (came + 50, Observation::SessionClosed { session }),
        ]);
        let entries: Vec<RecordedEvent> = seen
            .into_iter()
            .map(|(ms, seen)| RecordedEvent {
                at: Instant::from_micros(ms * 1_000),
                observation: seen,
            })
            .collect();
        let law = PlatformRules {
            idempotency: vec![Idempotency::Idempotent],
            hedged: vec![false],
            drain_grace: Duration::from_millis(2_000),
            backend_locations: vec![("a".into(), 0); 3],
        };
        let ruling = check_invariants(&entries, &law);
        assert_eq!(
            ruling.violation_counts,
            [0, 0, usize::from(broken), 0],
            "{entries:?}"
        );
    }
}

/// Of relays that are each right by themselves and wrong together; and of one that gives a session
/// to two boxes.
#[test]
fn little_relays_that_are_right_alone_are_found_wrong_together() {
    let scene = Scene {
        relays: 2,
        a_second: 30.0,
        ..Scene::of(Wrong::Nothing)
    };
    let (ruling, mut entries) = scene.run();
    assert!(ruling.holds(), "{}", ruling.summary());
    let found = |entries: &[RecordedEvent], pact: &ClusterLimits| -> Vec<ClusterInvariant> {
        let mut rules: Vec<ClusterInvariant> = check_cluster_invariants(entries, pact)
            .iter()
            .map(|breach| breach.invariant)
            .collect();
        rules.dedup();
        rules
    };
    let within = Some(Duration::from_millis(300));
    assert_eq!(
        found(
            &entries,
            &ClusterLimits {
                ban_replication_time: within,
                ..ClusterLimits::default()
            }
        ),
        []
    );
    // Each would let so many in by itself.
    let at_once = ClusterLimits {
        max_sessions: Some((10, Duration::from_millis(200))),
        ..ClusterLimits::default()
    };
    assert_eq!(found(&entries, &at_once), [ClusterInvariant::SessionLimit]);
    assert_eq!(
        found(
            &entries,
            &ClusterLimits {
                max_attempts_per_second: Some(15),
                ..ClusterLimits::default()
            }
        ),
        [ClusterInvariant::AttemptRate]
    );
    // One of them was told that a box is out; to the other it is as it was.
    let half = entries[entries.len() / 2].at;
    entries.push(RecordedEvent {
        at: half,
        observation: Observation::BackendBanned {
            relay: RelayIndex(0),
            backend: BackendIndex(1),
            banned: true,
        },
    });
    entries.sort_by_key(|entry| entry.at);
    assert_eq!(
        found(
            &entries,
            &ClusterLimits {
                ban_replication_time: within,
                ..ClusterLimits::default()
            }
        ),
        [ClusterInvariant::BansReplicated]
    );
    let (_, entries) = Scene::of(Wrong::TwoAtOnce).run();
    assert!(
        found(&entries, &ClusterLimits::default())
            .contains(&ClusterInvariant::OneBackendPerSession)
    );
}

/// A door that answers by a script: its first answers in turn, the last one for ever.
/// After `late` askings: the other door has surely been asked before.
fn door(
    late: usize,
    leases: &'static [&'static str],
    here: &'static [&'static str],
) -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut next = 0;
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut line = String::new();
            let _ = BufReader::new(&stream).read_line(&mut line);
            let said = if line.starts_with("LEASE") {
                next += 1;
                match next > late {
                    true => leases[(next - late - 1).min(leases.len() - 1)].to_string(),
                    false => "400 held by another".to_string(),
                }
            } else {
                let peers = here[1..]
                    .iter()
                    .map(|name| format!("{{\"name\":\"{name}\",\"standing\":\"here\"}}"));
                let peers = peers.collect::<Vec<_>>().join(",");
                format!("200 {{\"name\":\"{}\",\"peers\":[{peers}]}}", here[0])
            };
            let _ = stream.write_all(format!("{said}\r\n").as_bytes());
        }
    });
    at
}

#[test]
fn doors_that_say_what_can_not_be_together_are_found_out() {
    type Door = (usize, &'static [&'static str], &'static [&'static str]);
    const NO: &str = "400 held by another";
    const LATE: usize = 12;
    const BOTH: &[&str] = &["relay-0", "relay-1"];
    const OTHERS: &[&str] = &["relay-1", "relay-0"];
    let cases: &[(&str, [Door; 2], Option<ClusterInvariant>)] = &[
        (
            "both hold",
            [
                (0, &["200 held 1 900"], BOTH),
                (0, &["200 held 2 900"], OTHERS),
            ],
            Some(ClusterInvariant::SingleLeaseHolder),
        ),
        (
            "one holds for as long as it said, the other begins in that time",
            [
                (0, &["200 held 1 5000", NO], BOTH),
                (LATE, &["200 held 2 900"], OTHERS),
            ],
            Some(ClusterInvariant::SingleLeaseHolder),
        ),
        (
            "the same epoch later",
            [
                (0, &["200 held 7 1", NO], BOTH),
                (LATE, &["200 held 7 1"], OTHERS),
            ],
            Some(ClusterInvariant::IncreasingEpochs),
        ),
        (
            "a lower epoch later",
            [
                (0, &["200 held 7 1", NO], BOTH),
                (LATE, &["200 held 6 1"], OTHERS),
            ],
            Some(ClusterInvariant::IncreasingEpochs),
        ),
        (
            "one does not see the other",
            [(0, &[NO], BOTH), (0, &[NO], &["relay-1"])],
            Some(ClusterInvariant::ConsistentMembership),
        ),
        (
            "one sees who is not there",
            [
                (0, &[NO], &["relay-0", "relay-1", "relay-2"]),
                (0, &[NO], OTHERS),
            ],
            Some(ClusterInvariant::ConsistentMembership),
        ),
        (
            "one after the other",
            [
                (0, &["200 held 1 1", NO], BOTH),
                (LATE, &["200 held 2 1"], OTHERS),
            ],
            None,
        ),
    ];
    for (what, doors, rule) in cases {
        let (tape, mut reel) = event_recorder();
        let clock = Stopwatch::start();
        let mut witnesses = Vec::new();
        for (number, (late, leases, here)) in (0..).zip(doors) {
            tape.record(
                clock.now(),
                Observation::RelayStarted {
                    relay: RelayIndex(number),
                },
            );
            let at = door(*late, leases, here);
            witnesses.push(RelayObserver::open(
                RelayIndex(number),
                at,
                Some("turn"),
                clock,
                tape.clone(),
            ));
        }
        // Both views have come three times, and so have many sayings before them.
        let seen = |entries: &[RecordedEvent], relay: u16| {
            let sees = |entry: &&RecordedEvent| matches!(&entry.observation, Observation::MembersSeen { relay: of, .. } if of.0 == relay);
            entries.iter().filter(sees).count() >= 3
        };
        let long = std::time::Duration::from_secs(20);
        assert!(
            reel.wait_until(long, |entries| seen(entries, 0) && seen(entries, 1)),
            "{what}"
        );
        drop(witnesses);
        let pact = ClusterLimits {
            requires_consistent_membership: true,
            ..ClusterLimits::default()
        };
        let found: Vec<ClusterInvariant> = check_cluster_invariants(&reel.into_sorted(), &pact)
            .iter()
            .map(|one| one.invariant)
            .collect();
        match rule {
            Some(rule) => assert!(found.contains(rule), "{what}: {found:?}"),
            None => assert_eq!(found, [], "{what}"),
        }
    }
}
