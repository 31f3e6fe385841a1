//! Leases over simulated links, with clocks that run at the edges of what is allowed: never two
//! holders at one true moment, epochs that only grow, and none for a side without a majority.
use std::collections::BTreeMap;
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_leases::{
    DRIFT, Electorate, LeaseConfig, Leases, Message, Reason, SessionToken, State, To, Update,
};
use thistlecroft_peers::{Identity, NodeConfig as PeerTerms, ProtocolTiming};
use thistlecroft_testbed::simulated_network::{LinkFault, SimulatedNetwork};

const PROBE_INTERVAL: Duration = Duration::from_millis(200);
const TERM: Duration = Duration::from_millis(2_000);
const SUBJECT: &[u8] = b"turn";
/// Clock speeds at both limits of the permitted drift, and between them.
const SPEEDS: [f64; 5] = [1.0 - DRIFT, 1.0 + DRIFT, 1.0, 1.0 - DRIFT, 1.0 + DRIFT];

fn electorate(generation: u32, voters: &[&str], before: &[&str]) -> Electorate {
    let names = |all: &[&str]| all.iter().map(|name| (*name).into()).collect();
    Electorate {
        generation,
        voters: names(voters),
        previous_voters: names(before),
    }
}

fn config(voters: &[&str]) -> LeaseConfig {
    LeaseConfig {
        electorate: electorate(1, voters, &[]),
        term: TERM,
        update_rate: 32_768,
    }
}

fn network(count: usize, voters: &[&str], seed: u64) -> SimulatedNetwork {
    let peers = PeerTerms {
        fleet: "test".into(),
        secret: vec![1],
        timing: ProtocolTiming {
            probe_interval: PROBE_INTERVAL,
        },
        max_bytes_per_second: 65_536,
    };
    let mut network = SimulatedNetwork::new(peers, Some(config(voters)), 3, seed);
    for index in 0..count {
        network.start(&format!("r{index}"), SPEEDS[index % SPEEDS.len()]);
    }
    network
}

/// Sees from outside, at each step of true time, who acts.
#[derive(Default)]
struct HolderChecker {
    holder: Option<(String, u64)>,
    epochs: u64,
    holdings: usize,
    /// The number of steps in which each process acted, by name.
    held: BTreeMap<String, usize>,
}

impl HolderChecker {
    /// `paused` processes do not act; all others that think they may, do.
    fn check(&mut self, network: &SimulatedNetwork, paused: &[usize]) {
        let acts = |(index, host): (usize, &thistlecroft_testbed::simulated_network::Host)| {
            let held = host
                .leases
                .as_ref()?
                .held(SUBJECT, host.clock(network.now))?;
            (host.alive && !paused.contains(&index)).then(|| (host.name.clone(), held.epoch))
        };
        let all: Vec<(String, u64)> = network.hosts.iter().enumerate().filter_map(acts).collect();
        assert!(all.len() <= 1, "{all:?} at {:?}", network.now);
        let Some((name, epoch)) = all.into_iter().next() else {
            return;
        };
        *self.held.entry(name.clone()).or_default() += 1;
        let now = Some((name, epoch));
        if self.holder != now {
            assert!(epoch > self.epochs, "epoch {epoch} after {}", self.epochs);
            (self.holder, self.epochs) = (now, epoch);
            self.holdings += 1;
        }
    }

    fn check_for(&mut self, network: &mut SimulatedNetwork, duration: Duration, paused: &[usize]) {
        let until = network.now + duration;
        while network.now < until {
            network.run_for(Duration::from_millis(5));
            self.check(network, paused);
        }
    }
}

fn all_acquire(network: &mut SimulatedNetwork) {
    for index in 0..network.hosts.len() {
        network.act(index, |host, now| {
            if let Some(leases) = &mut host.leases {
                leases
                    .acquire(SUBJECT, now + Duration::from_millis(3_600_000), now)
                    .unwrap();
            }
        });
    }
}

fn held_by(network: &SimulatedNetwork) -> Option<usize> {
    network.hosts.iter().position(|host| {
        host.alive
            && host
                .leases
                .as_ref()
                .is_some_and(|one| one.held(SUBJECT, host.clock(network.now)).is_some())
    })
}

const VOTERS: [&str; 3] = ["r0", "r1", "r2"];

#[test]
fn first_holder_appears_after_the_initial_silence_and_renews() {
    let mut network = network(5, &VOTERS, 1);
    let mut checker = HolderChecker::default();
    all_acquire(&mut network);
    checker.check_for(&mut network, TERM, &[]);
    assert_eq!(
        checker.holdings, 0,
        "voters that have just started are silent"
    );
    checker.check_for(&mut network, TERM, &[]);
    assert_eq!(checker.holdings, 1);
    checker.check_for(&mut network, TERM * 10.0, &[]);
    assert_eq!(checker.holdings, 1, "renewed in time, ten terms long");
}

#[test]
fn lost_holder_is_replaced_by_exactly_one_other() {
    type Lose = fn(&mut SimulatedNetwork, usize);
    // What happens to the holder, and the longest time to the next one.
    let cases: &[(&str, Lose, Duration)] = &[
        (
            "killed",
            |network, holder| network.kill(holder),
            TERM * 1.25,
        ),
        ("paused", SimulatedNetwork::pause, TERM * 1.25),
        (
            "released",
            |network, holder| {
                network.act(holder, |host, now| {
                    host.leases.as_mut().unwrap().release(SUBJECT, now)
                })
            },
            TERM * 0.2,
        ),
        (
            "left",
            |network, holder| {
                network.act(holder, |host, _| {
                    host.leases.as_mut().unwrap().leave(|_| false)
                })
            },
            TERM * 0.2,
        ),
    ];
    for (what, lose, within) in cases {
        for seed in 1..=5 {
            let mut network = network(5, &VOTERS, seed);
            // Processes that do not vote hold the lease, so that a majority of the voters remains.
            let mut checker = HolderChecker::default();
            for index in [3, 4] {
                network.act(index, |host, now| {
                    host.leases
                        .as_mut()
                        .unwrap()
                        .acquire(SUBJECT, now + Duration::from_millis(3_600_000), now)
                        .unwrap();
                });
            }
            checker.check_for(&mut network, TERM * 3.0, &[]);
            let holder = held_by(&network).expect("one holds");
            lose(&mut network, holder);
            let paused: &[usize] = if *what == "paused" { &[holder] } else { &[] };
            checker.check_for(&mut network, *within, paused);
            let next = held_by(&network).filter(|next| *next != holder);
            assert!(
                next.is_some() || *what == "paused" && checker.holdings == 2,
                "{what}, seed {seed}"
            );
            assert_eq!(checker.holdings, 2, "{what}, seed {seed}");
            if *what == "paused" {
                network.run_for(TERM * 10.0);
                network.resume(holder);
                // The resumed process continues with its old state.
                checker.check(&network, &[]);
                checker.check_for(&mut network, TERM * 3.0, &[]);
                assert_eq!(checker.holdings, 2, "the one who took over goes on");
            }
        }
    }
}

#[test]
fn minority_partition_gets_no_lease_while_the_majority_continues() {
    for seed in 1..=5 {
        let mut network = network(5, &["r0", "r1", "r2", "r3", "r4"], seed);
        let mut checker = HolderChecker::default();
        all_acquire(&mut network);
        checker.check_for(&mut network, TERM * 3.0, &[]);
        let holder = held_by(&network).expect("one holds");
        // The holder is on the small side.
        let other = (holder + 1) % 5;
        let rest: Vec<usize> = (0..5)
            .filter(|index| ![holder, other].contains(index))
            .collect();
        network.partition(&[holder, other], &rest);
        // All three remaining voters have to grant it to the same one of them.
        checker.check_for(&mut network, TERM * 4.0, &[]);
        let next = held_by(&network).expect("the majority has a new one");
        assert!(rest.contains(&next), "seed {seed}");
        let before = checker.held.clone();
        checker.check_for(&mut network, TERM * 20.0, &[]);
        for index in [holder, other] {
            let name = format!("r{index}");
            assert_eq!(checker.held.get(&name), before.get(&name), "seed {seed}");
        }
        network.heal_partitions();
        checker.check_for(&mut network, TERM * 5.0, &[]);
        assert_eq!(checker.holdings, 2);
    }
}

#[test]
fn rolling_voter_restarts_break_no_grant_and_repeat_no_epoch() {
    for seed in 1..=5 {
        let mut network = network(5, &VOTERS, seed);
        let mut checker = HolderChecker::default();
        all_acquire(&mut network);
        checker.check_for(&mut network, TERM * 3.0, &[]);
        for round in 0..6 {
            let voter = round % 3;
            network.kill(voter);
            checker.check_for(&mut network, TERM * 0.3, &[]);
            network.restart(voter);
            all_acquire(&mut network);
            checker.check_for(&mut network, TERM * 2.5, &[]);
        }
        // All voters at once: they forget what they granted, but holders still hold it.
        (0..3).for_each(|voter| network.kill(voter));
        (0..3).for_each(|voter| network.restart(voter));
        all_acquire(&mut network);
        checker.check_for(&mut network, TERM * 4.0, &[]);
        assert!(held_by(&network).is_some(), "seed {seed}");
    }
}

#[test]
fn random_faults_never_give_two_holders() {
    for seed in 1..=12 {
        let mut network = network(5, &VOTERS, seed);
        let mut checker = HolderChecker::default();
        let mut rng = Rng::from_seed(seed * 77);
        network.default_link_fault = LinkFault {
            loss: 0.05,
            duplication: 0.05,
            jitter: Duration::from_millis(150),
            ..network.default_link_fault
        };
        all_acquire(&mut network);
        for _ in 0..30 {
            let index = rng.below(5) as usize;
            let mut paused = Vec::new();
            match rng.below(5) {
                0 => {
                    let other = rng.below(5) as usize;
                    network.link_faults.insert((index, other), LinkFault::CUT);
                }
                1 => {
                    network.pause(index);
                    paused.push(index);
                }
                2 => {
                    network.kill(index);
                    network.restart(index);
                    all_acquire(&mut network);
                }
                3 => {
                    network.act(index, |host, now| {
                        let leases = host.leases.as_mut().unwrap();
                        leases.release(SUBJECT, now);
                        leases
                            .acquire(SUBJECT, now + Duration::from_millis(3_600_000), now)
                            .unwrap();
                    });
                }
                _ => network.heal_partitions(),
            }
            let duration = Duration::from_millis(200 + rng.below(4_000));
            checker.check_for(&mut network, duration, &paused);
            if !paused.is_empty() {
                network.resume(index);
                checker.check(&network, &[]);
            }
        }
        assert!(checker.holdings > 0, "seed {seed}");
    }
}

#[test]
fn voter_change_in_two_steps_never_gives_two_holders() {
    let mut network = network(5, &VOTERS, 4);
    let mut checker = HolderChecker::default();
    all_acquire(&mut network);
    checker.check_for(&mut network, TERM * 3.0, &[]);
    let joint = LeaseConfig {
        electorate: electorate(2, &["r2", "r3", "r4"], &VOTERS),
        ..config(&VOTERS)
    };
    let last = LeaseConfig {
        electorate: electorate(3, &["r2", "r3", "r4"], &[]),
        ..config(&VOTERS)
    };
    let change = |network: &mut SimulatedNetwork, index: usize, to: &LeaseConfig| {
        let mut done = Ok(());
        network.act(index, |host, now| {
            let changed = host.leases.as_mut().unwrap().change(to.clone(), now);
            done = changed.map_err(|fault| fault.to_string());
        });
        done
    };
    // One process changes late, and no step may be skipped.
    let skipped = change(&mut network, 0, &last).unwrap_err();
    assert!(skipped.contains("generation: 2 follows 1"), "{skipped}");
    let odd = LeaseConfig {
        electorate: electorate(2, &["r3", "r4"], &["r0"]),
        ..config(&VOTERS)
    };
    assert!(
        change(&mut network, 0, &odd)
            .unwrap_err()
            .contains("voters_before")
    );
    assert_eq!(change(&mut network, 3, &joint), Ok(()));
    assert!(
        change(&mut network, 3, &last)
            .unwrap_err()
            .contains("majority"),
        "nobody else has it yet"
    );
    checker.check_for(&mut network, TERM, &[]);
    for index in [0, 1, 2, 4] {
        assert_eq!(change(&mut network, index, &joint), Ok(()));
        checker.check_for(&mut network, TERM * 0.4, &[]);
    }
    checker.check_for(&mut network, TERM * 3.0, &[]);
    assert!(held_by(&network).is_some());
    for index in 0..5 {
        assert_eq!(change(&mut network, index, &last), Ok(()), "r{index}");
        checker.check_for(&mut network, TERM * 0.4, &[]);
    }
    checker.check_for(&mut network, TERM * 3.0, &[]);
    assert!(held_by(&network).is_some());
    network.kill(0);
    network.kill(1);
    checker.check_for(&mut network, TERM * 4.0, &[]);
    assert!(
        held_by(&network).is_some(),
        "the voters before are not needed any more"
    );
}

#[test]
fn holding_time_is_safe_at_the_drift_limit() {
    // In the worst case the holder's clock is as slow and the voter's as fast as permitted, and the
    // request takes no time.
    let held = TERM * ((1.0 - DRIFT) / (1.0 + DRIFT));
    assert_eq!(config(&VOTERS).holding_time(), held);
    let (slow, fast) = (1.0 - DRIFT, 1.0 + DRIFT);
    let true_end = |own: Duration, speed: f64| own.as_micros() as f64 / speed;
    assert!(true_end(held, slow) <= true_end(TERM, fast) + 1.0);
    // Twice the permitted drift would be unsafe: the margin is no larger than necessary.
    let (slower, faster) = (1.0 - 2.0 * DRIFT, 1.0 + 2.0 * DRIFT);
    assert!(true_end(held, slower) > true_end(TERM, faster));
}

/// A single voter that is sent requests directly.
struct LoneVoter {
    leases: Leases,
}

impl LoneVoter {
    fn new() -> LoneVoter {
        LoneVoter {
            leases: Leases::new(Identity::new("r0", 1), config(&["r0"]), at(0)),
        }
    }

    /// Its answer to that process, if it gives one.
    fn answer(&mut self, from: &Identity, message: Message, ms: u64) -> Option<Message> {
        self.leases.tick(at(ms));
        self.leases.take_outgoing();
        self.leases.receive_message(from, message, at(ms));
        let answers = self.leases.take_outgoing();
        let to_sender = answers
            .into_iter()
            .find(|one| one.to == To::Process(from.clone()));
        to_sender.and_then(|one| Message::decode(&one.bytes))
    }

    fn session(&mut self, from: &Identity, sequence: u32, ms: u64) -> SessionToken {
        match self.answer(from, update(sequence, None, &[], &[]), ms) {
            Some(Message::Updated(updated)) => updated.session,
            other => panic!("{other:?}"),
        }
    }
}

fn at(ms: u64) -> Instant {
    Instant::from_micros(1_000_000 + ms * 1_000)
}

fn update(
    sequence: u32,
    session: Option<SessionToken>,
    attach: &[&[u8]],
    detach: &[&[u8]],
) -> Message {
    let all = |subjects: &[&[u8]]| subjects.iter().map(|subject| subject.to_vec()).collect();
    let (attach, detach) = (all(attach), all(detach));
    Message::Update(Update {
        generation: 1,
        sequence,
        session,
        epoch: 0,
        detach,
        attach,
    })
}

fn is_attached(answer: Option<Message>) -> bool {
    matches!(answer, Some(Message::Updated(updated)) if updated.refused.is_empty())
}

fn is_held_by_another(answer: Option<Message>) -> bool {
    let held = |(_, reason): &(u16, Reason)| matches!(reason, Reason::Held { .. });
    matches!(answer, Some(Message::Updated(updated)) if updated.refused.iter().any(held))
}

fn is_refused_for(answer: Option<Message>, expected: &Reason) -> bool {
    matches!(answer, Some(Message::Refused { reason, .. }) if reason == *expected)
}

#[test]
fn late_repeated_or_unknown_requests_change_nothing() {
    let mut voter = LoneVoter::new();
    let (one, other) = (Identity::new("a", 1), Identity::new("b", 1));
    let early = voter.answer(&one, update(1, None, &[], &[]), 1_999);
    assert!(
        is_refused_for(early, &Reason::Silent),
        "it may have granted before its start"
    );
    let session = voter.session(&one, 2, 2_000);
    assert!(is_attached(voter.answer(
        &one,
        update(5, Some(session), &[SUBJECT], &[]),
        2_000
    )));
    // An earlier detachment arrives late, and the last request arrives again.
    assert_eq!(
        voter.answer(&one, update(4, Some(session), &[], &[SUBJECT]), 2_010),
        None
    );
    assert_eq!(
        voter.answer(&one, update(5, Some(session), &[], &[SUBJECT]), 2_010),
        None
    );
    let others = voter.session(&other, 1, 2_020);
    assert!(is_held_by_another(voter.answer(
        &other,
        update(2, Some(others), &[SUBJECT], &[]),
        2_020
    )));
    // A detachment by another process frees nothing, nor does one with another's token.
    assert!(is_attached(voter.answer(
        &other,
        update(3, Some(others), &[], &[SUBJECT]),
        2_030
    )));
    let stolen = voter.answer(&other, update(4, Some(session), &[], &[SUBJECT]), 2_030);
    assert!(is_refused_for(stolen, &Reason::UnknownSession));
    assert!(is_held_by_another(voter.answer(
        &other,
        update(5, Some(others), &[SUBJECT], &[]),
        2_040
    )));
    assert!(is_attached(voter.answer(
        &one,
        update(6, Some(session), &[], &[SUBJECT]),
        2_050
    )));
    assert!(is_attached(voter.answer(
        &other,
        update(6, Some(others), &[SUBJECT], &[]),
        2_060
    )));
    // An attachment that was sent before a detachment arrives after it.
    assert_eq!(
        voter.answer(&one, update(3, Some(session), &[b"late"], &[]), 2_070),
        None
    );
    assert!(is_attached(voter.answer(
        &other,
        update(7, Some(others), &[b"late"], &[]),
        2_080
    )));
}

#[test]
fn request_of_another_generation_is_rejected() {
    let mut voter = LoneVoter::new();
    let one = Identity::new("a", 1);
    let session = voter.session(&one, 2, 2_000);
    for generation in [0, 2] {
        let Message::Update(mut other) = update(9, Some(session), &[], &[]) else {
            unreachable!()
        };
        other.generation = generation;
        let answer = voter.answer(&one, Message::Update(other), 2_090);
        assert!(is_refused_for(answer, &Reason::Generation { here: 1 }));
    }
}

#[test]
fn malformed_bytes_are_no_message() {
    assert!(Message::decode(&[250, 1, 2]).is_none() && Message::decode(&[]).is_none());
}

#[test]
fn lapsed_session_is_renewable_only_while_complete() {
    let mut voter = LoneVoter::new();
    let (one, other) = (Identity::new("a", 1), Identity::new("b", 1));
    let session = voter.session(&one, 1, 2_000);
    assert!(is_attached(voter.answer(
        &one,
        update(2, Some(session), &[SUBJECT, b"more"], &[]),
        2_000
    )));
    let others = voter.session(&other, 1, 2_000);
    // The session lapsed at 4,000 ms, but it is still complete: its token is valid.
    assert!(is_attached(voter.answer(
        &one,
        update(3, Some(session), &[], &[]),
        4_500
    )));
    assert!(is_held_by_another(voter.answer(
        &other,
        update(2, Some(others), &[SUBJECT], &[]),
        6_499
    )));
    // It lapsed again and one of two subjects was taken: its token is not valid any more.
    assert!(is_attached(voter.answer(
        &other,
        update(3, Some(others), &[SUBJECT], &[]),
        6_500
    )));
    let renewed = voter.answer(&one, update(4, Some(session), &[], &[]), 6_510);
    assert!(is_refused_for(renewed, &Reason::UnknownSession));
    let anew = voter.session(&one, 5, 6_520);
    assert_ne!(anew, session);
    let both = voter.answer(&one, update(6, Some(anew), &[SUBJECT, b"more"], &[]), 6_530);
    assert!(matches!(both, Some(Message::Updated(updated)) if updated.refused.len() == 1));
}

#[test]
fn one_of_two_processes_with_the_same_name_votes() {
    let me = Identity::new("r0", 1);
    let mut voter = LoneVoter {
        leases: Leases::new(me.clone(), config(&["r0"]), at(0)),
    };
    let one = Identity::new("a", 1);
    voter.session(&one, 1, 2_000);
    // When the next process of its name starts, this one stops voting, and that one is silent for a
    // term after the last message.
    let next = Identity::new("r0", 2);
    voter.answer(
        &next,
        Message::Recall {
            generation: 1,
            starting: true,
        },
        2_100,
    );
    assert!(is_refused_for(
        voter.answer(&one, update(2, None, &[], &[]), 2_110),
        &Reason::Silent
    ));
    let mut next = LoneVoter {
        leases: Leases::new(next, config(&["r0"]), at(2_100)),
    };
    next.answer(
        &me,
        Message::Remembered {
            generation: 1,
            established: true,
            epoch: 9,
        },
        2_500,
    );
    assert!(is_refused_for(
        next.answer(&one, update(3, None, &[], &[]), 4_400),
        &Reason::Silent
    ));
    let answer = next.answer(&one, update(4, None, &[], &[]), 4_500);
    assert!(matches!(answer, Some(Message::Updated(updated)) if updated.epoch == 9));
    assert_eq!(next.leases.state(SUBJECT, at(4_500)), State::Unwanted);
}
