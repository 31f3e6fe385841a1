//! Leases on many subjects, which are attached to one session per process and voter: who holds them
//! under faults in a simulated network, and the cost of a renewal, an attachment and a takeover.
mod helper;

use helper::{
    HolderChecker, TERM, UPDATE_RATE, VOTERS, acquire, config, electorate, held, release,
    start_network, subjects,
};
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_leases::{
    AcquireError, ChangeError, LeaseConfig, Leases, MAX_CLAIMS, MAX_SUBJECT_BYTES, Message,
    RejectionReason,
};
use thistlecroft_peers::Identity;
use thistlecroft_testbed::simulated_network::{LinkFault, SimulatedNetwork};

/// The time until the first leases are held: the initial silence of the voters, and the round trips
/// of an attachment.
const STARTUP_TIME: Duration = Duration::from_millis(3_000);
const SEEDS: u64 = 100;

/// Returns the number of subjects that a process holds.
fn held_count(network: &SimulatedNetwork, index: usize) -> usize {
    held(network, index).len()
}

/// Returns the number of subjects that all processes hold together.
fn total_held(network: &SimulatedNetwork) -> usize {
    (0..network.hosts.len())
        .map(|index| held_count(network, index))
        .sum()
}

#[test]
fn contenders_for_the_same_subjects_split_them_and_keep_their_parts() {
    for seed in 1..=SEEDS {
        let (mut network, mut checker, all) = (
            start_network(5, &VOTERS, UPDATE_RATE, seed),
            HolderChecker::default(),
            subjects(40),
        );
        network.default_link_fault.jitter = Duration::from_millis(40);
        acquire(&mut network, 3, &all);
        acquire(&mut network, 4, &all);
        let owned = checker.wait_until(&mut network, STARTUP_TIME + TERM * 4.0, |network| {
            total_held(network) == all.len()
        });
        assert!(
            owned.is_some(),
            "seed {seed}: {} of 40 subjects are held",
            total_held(&network)
        );
        let before = (held(&network, 3), held(&network, 4));
        checker.check_for(&mut network, TERM * 2.0, &[]);
        assert_eq!(
            (held(&network, 3), held(&network, 4)),
            before,
            "seed {seed}: a subject changed its holder or epoch"
        );
    }
}

#[test]
fn owner_that_releases_a_part_keeps_the_rest_without_interruption() {
    for seed in 1..=SEEDS {
        let (mut network, mut checker, all) = (
            start_network(5, &VOTERS, UPDATE_RATE, seed),
            HolderChecker::default(),
            subjects(60),
        );
        network.default_link_fault.loss = 0.02;
        acquire(&mut network, 3, &all);
        checker
            .wait_until(&mut network, STARTUP_TIME + TERM, |network| {
                held_count(network, 3) == 60
            })
            .expect("all subjects are held");
        let before = held(&network, 3);
        release(&mut network, 3, &all[..20]);
        acquire(&mut network, 4, &all[..20]);
        let moved = checker.wait_until(&mut network, TERM * 2.0, |network| {
            held_count(network, 4) == 20
        });
        assert!(
            moved.is_some(),
            "seed {seed}: the released subjects have no new holder"
        );
        let rest = held(&network, 3);
        assert!(
            all[20..]
                .iter()
                .all(|subject| rest.get(subject) == before.get(subject)),
            "seed {seed}: a subject that was not released was lost or has a new epoch"
        );
        assert_eq!(rest.len(), 40);
    }
}

#[test]
fn lapsed_session_is_renewed_with_higher_epochs_if_it_is_complete() {
    for seed in 1..=SEEDS {
        let (mut network, mut checker, all) = (
            start_network(5, &VOTERS, UPDATE_RATE, seed),
            HolderChecker::default(),
            subjects(200),
        );
        acquire(&mut network, 3, &all);
        checker
            .wait_until(&mut network, STARTUP_TIME + TERM, |network| {
                held_count(network, 3) == 200
            })
            .expect("all subjects are held");
        let before = held(&network, 3);
        network.partition(&[3], &[0, 1, 2, 4]);
        checker.check_for(&mut network, TERM * 1.5, &[]);
        assert_eq!(
            held_count(&network, 3),
            0,
            "the holder stops by its own clock"
        );
        network.heal_partitions();
        let sent = network.hosts[3].leases.as_ref().unwrap().counts();
        checker
            .wait_until(&mut network, TERM * 2.0, |network| {
                held_count(network, 3) == 200
            })
            .expect("all subjects are held again");
        assert!(
            held(&network, 3)
                .iter()
                .all(|(subject, epoch)| *epoch > before[subject]),
            "seed {seed}: an epoch did not grow"
        );
        // The subjects were still attached, so none was sent again.
        assert_eq!(
            network.hosts[3]
                .leases
                .as_ref()
                .unwrap()
                .counts()
                .sessions_lost,
            sent.sessions_lost
        );
    }
}

#[test]
fn voter_restart_during_a_large_takeover_neither_delays_it_nor_gives_two_holders() {
    for seed in 1..=SEEDS {
        // At this update rate, a takeover of 600 subjects takes several seconds.
        let (mut network, mut checker, all) = (
            start_network(5, &VOTERS, 16_384, seed),
            HolderChecker::default(),
            subjects(600),
        );
        network.default_link_fault.loss = 0.005;
        acquire(&mut network, 3, &all);
        checker
            .wait_until(&mut network, STARTUP_TIME + TERM * 6.0, |network| {
                held_count(network, 3) == 600
            })
            .expect("all subjects are held");
        network.kill(3);
        acquire(&mut network, 4, &all);
        let partial = checker.wait_until(&mut network, TERM * 4.0, |network| {
            held_count(network, 4) > 100
        });
        assert!(
            partial.is_some_and(|_| held_count(&network, 4) < 600),
            "seed {seed}: the takeover has not begun, or is complete already"
        );
        let voter = seed as usize % 3;
        network.kill(voter);
        checker.check_for(&mut network, TERM * 0.2, &[]);
        network.restart(voter);
        let taken = checker.wait_until(&mut network, TERM * 6.0, |network| {
            held_count(network, 4) == 600
        });
        assert!(
            taken.is_some(),
            "seed {seed}: {} of 600 subjects taken over",
            held_count(&network, 4)
        );
        // Everything was attached again at the restarted voter, so another one may fail now.
        checker.check_for(&mut network, TERM * 4.0, &[]);
        let before = held(&network, 4);
        network.kill((voter + 1) % 3);
        checker.check_for(&mut network, TERM * 2.0, &[]);
        assert_eq!(
            held(&network, 4),
            before,
            "seed {seed}: a holding depended on the lost voter"
        );
    }
}

#[test]
fn lost_majority_ends_all_leases_until_it_returns_with_higher_epochs() {
    for seed in 1..=SEEDS {
        let (mut network, mut checker, all) = (
            start_network(5, &VOTERS, UPDATE_RATE, seed),
            HolderChecker::default(),
            subjects(80),
        );
        acquire(&mut network, 3, &all[..40]);
        acquire(&mut network, 4, &all[40..]);
        checker
            .wait_until(&mut network, STARTUP_TIME + TERM, |network| {
                total_held(network) == 80
            })
            .expect("all subjects are held");
        let before = (held(&network, 3), held(&network, 4));
        network.kill(1);
        network.kill(2);
        checker.check_for(&mut network, TERM * 1.1, &[]);
        assert_eq!(
            total_held(&network),
            0,
            "seed {seed}: held without a majority of voters"
        );
        network.restart(1);
        network.restart(2);
        checker
            .wait_until(&mut network, STARTUP_TIME + TERM * 2.0, |network| {
                total_held(network) == 80
            })
            .expect("all subjects are held again");
        assert!(
            held(&network, 3)
                .iter()
                .all(|(subject, epoch)| *epoch > before.0[subject]),
            "seed {seed}: an epoch of r3 did not grow"
        );
        assert!(
            held(&network, 4)
                .iter()
                .all(|(subject, epoch)| *epoch > before.1[subject]),
            "seed {seed}: an epoch of r4 did not grow"
        );
    }
}

#[test]
fn renewal_does_not_extend_what_its_voter_has_forgotten() {
    for seed in 1..=SEEDS {
        let (mut network, mut checker, all) = (
            start_network(5, &VOTERS, UPDATE_RATE, seed),
            HolderChecker::default(),
            subjects(30),
        );
        acquire(&mut network, 3, &all);
        checker
            .wait_until(&mut network, STARTUP_TIME + TERM, |network| {
                held_count(network, 3) == 30
            })
            .expect("all subjects are held");
        // One voter receives nothing from the holder. The other two do, but restart one by one.
        network.partition(&[3], &[2]);
        acquire(&mut network, 4, &all);
        for voter in [0, 1] {
            network.kill(voter);
            network.restart(voter);
            checker.check_for(&mut network, TERM * 1.6, &[]);
        }
        network.heal_partitions();
        checker.check_for(&mut network, TERM * 3.0, &[]);
        assert_eq!(total_held(&network), 30, "seed {seed}: subjects held");
    }
}

/// Applies a random fault, release or request, and checks the holders for a random time.
fn apply_random_fault(
    network: &mut SimulatedNetwork,
    checker: &mut HolderChecker,
    rng: &mut Rng,
    all: &[Vec<u8>],
) {
    let index = rng.below(5) as usize;
    let split = rng.below(all.len() as u64) as usize;
    let mut paused = Vec::new();
    match rng.below(8) {
        0 => drop(
            network
                .link_faults
                .insert((index, rng.below(5) as usize), LinkFault::CUT),
        ),
        1 => {
            network.pause(index);
            paused.push(index);
        }
        2 | 3 => {
            network.kill(index);
            network.restart(index);
            acquire(network, index, &all[split..]);
        }
        4 => release(network, index, &all[..split]),
        5 => {
            release(network, index, &all[split..]);
            acquire(network, index, &all[split / 2..]);
        }
        6 => acquire(network, index, all),
        _ => network.heal_partitions(),
    }
    let duration = Duration::from_millis(100 + rng.below(2_500));
    checker.check_for(network, duration, &paused);
    if !paused.is_empty() {
        network.resume(index);
        // The resumed process continues with its old state.
        checker.check(network, &[]);
    }
}

#[test]
fn random_faults_and_requests_never_give_two_holders() {
    let mut holdings = 0;
    for seed in 1..=300 {
        let (mut network, mut checker, all) = (
            start_network(5, &VOTERS, UPDATE_RATE, seed),
            HolderChecker::default(),
            subjects(6),
        );
        let mut rng = Rng::from_seed(seed * 7_919);
        network.default_link_fault = LinkFault {
            loss: 0.05,
            duplication: 0.05,
            jitter: Duration::from_millis(150),
            ..network.default_link_fault
        };
        (0..5).for_each(|index| acquire(&mut network, index, &all[index..]));
        checker.check_for(&mut network, STARTUP_TIME, &[]);
        for _ in 0..16 {
            apply_random_fault(&mut network, &mut checker, &mut rng, &all);
        }
        network.heal_partitions();
        network.default_link_fault = LinkFault {
            delay: Duration::from_micros(200),
            ..LinkFault::default()
        };
        (0..5).for_each(|index| acquire(&mut network, index, &all));
        let owned = checker.wait_until(&mut network, TERM * 8.0, |network| {
            total_held(network) == all.len()
        });
        assert!(
            owned.is_some(),
            "seed {seed}: {} held after the faults ended",
            total_held(&network)
        );
        holdings += checker.holdings;
    }
    assert!(
        holdings > 6 * 300 * 2,
        "all subjects changed holders only {holdings} times"
    );
}

#[test]
fn last_step_of_a_voter_change_waits_for_earlier_grants_to_expire() {
    for seed in 1..=20 {
        let (mut network, mut checker, all) = (
            start_network(6, &VOTERS, UPDATE_RATE, seed),
            HolderChecker::default(),
            subjects(10),
        );
        acquire(&mut network, 5, &all);
        checker
            .wait_until(&mut network, STARTUP_TIME + TERM, |network| {
                held_count(network, 5) == 10
            })
            .expect("all subjects are held");
        let next = ["r2", "r3", "r4"];
        let joint = LeaseConfig {
            electorate: electorate(2, &next, &VOTERS),
            ..config(&VOTERS, UPDATE_RATE)
        };
        let last = LeaseConfig {
            electorate: electorate(3, &next, &[]),
            ..config(&VOTERS, UPDATE_RATE)
        };
        let change = |network: &mut SimulatedNetwork, index: usize, to: &LeaseConfig| {
            let mut result = Ok(());
            network.with_host(index, |host, now| {
                result = host.leases.as_mut().unwrap().change_config(to.clone(), now)
            });
            result
        };
        // The holder is partitioned off and learns nothing. All others change their configuration
        // as fast as they may.
        network.partition(&[5], &[0, 1, 2, 3, 4]);
        (0..5).for_each(|index| change(&mut network, index, &joint).unwrap());
        checker.check_for(&mut network, TERM * 0.4, &[]);
        assert_eq!(
            change(&mut network, 3, &last),
            Err(ChangeError::NotSettled),
            "seed {seed}: the last step comes too early"
        );
        acquire(&mut network, 4, &all);
        let began = network.now;
        while !(0..5).all(|index| change(&mut network, index, &last).is_ok()) {
            assert!(
                network.now.duration_since(began) < TERM * 3.0,
                "seed {seed}: the change never settled"
            );
            checker.check_for(&mut network, TERM * 0.02, &[]);
        }
        checker
            .wait_until(&mut network, TERM * 2.0, |network| {
                held_count(network, 4) == 10
            })
            .expect("the next holder has all subjects");
    }
}

/// Returns the bytes and the requests that a process sends during this time.
fn sent_during(network: &mut SimulatedNetwork, index: usize, duration: Duration) -> (u64, u64) {
    let counts = |network: &SimulatedNetwork| {
        let host = &network.hosts[index];
        (
            host.node.counts.sent_bytes,
            host.leases.as_ref().unwrap().counts().requests,
        )
    };
    let before = counts(network);
    network.run_for(duration);
    let after = counts(network);
    (after.0 - before.0, after.1 - before.1)
}

#[test]
fn renewal_cost_is_independent_of_owned_subjects() {
    let cost = |owned: usize| {
        let mut network = start_network(5, &VOTERS, 1_000_000, 1);
        acquire(&mut network, 4, &subjects(owned));
        network
            .run_until(STARTUP_TIME + TERM * 4.0, |network| {
                held_count(network, 4) == owned
            })
            .expect("all subjects are held");
        network.run_for(TERM * 8.0);
        sent_during(&mut network, 4, TERM * 10.0)
    };
    let (bytes, requests) = cost(1);
    for owned in [8, 64, 512, 4_096] {
        let (more_bytes, more_requests) = cost(owned);
        assert!(
            more_bytes.abs_diff(bytes) * 20 <= bytes,
            "{owned} owned: {more_bytes} bytes, one: {bytes}"
        );
        assert!(
            more_requests.abs_diff(requests) * 10 <= requests,
            "{owned} owned: {more_requests} requests, one: {requests}"
        );
    }
}

#[test]
fn takeover_stays_within_its_rate_and_documented_time() {
    const SUBJECTS: usize = 2_000;
    for rate in [8_192_u32, 32_768] {
        let (mut network, all) = (start_network(5, &VOTERS, rate, 3), subjects(SUBJECTS));
        network.run_for(STARTUP_TIME * 4.0);
        acquire(&mut network, 4, &all);
        let began = network.now;
        let membership_bytes = 1_500;
        while held_count(&network, 4) < SUBJECTS {
            let (bytes, _) = sent_during(&mut network, 4, Duration::from_millis(1_000));
            // The rate, a burst of half a second, one message that may exceed the budget, and the
            // traffic of membership.
            let limit = u64::from(rate) * 3 / 2 + 1_200 + membership_bytes;
            assert!(
                bytes <= limit,
                "{bytes} bytes in a second at an update rate of {rate}"
            );
            assert!(
                network.now.duration_since(began) < Duration::from_millis(120_000),
                "update rate {rate}: the takeover takes more than two minutes"
            );
        }
        // Each subject with its length byte, and the overhead of the messages, at three voters.
        let bytes = 3.0 * all.iter().map(|subject| subject.len() + 1).sum::<usize>() as f64;
        let messages = 3.0 * (SUBJECTS as f64 / 80.0).ceil();
        let expected = (bytes + messages * 150.0) / f64::from(rate);
        let took = network.now.duration_since(began).as_secs_f64();
        assert!(
            took <= expected * 1.2 + 2.0,
            "update rate {rate}: the takeover took {took} s, expected {expected} s"
        );
    }
}

#[test]
fn request_over_a_limit_is_rejected_with_a_reason_and_counted() {
    let mut network = start_network(4, &["r0"], 100_000_000, 1);
    let all = subjects(MAX_CLAIMS);
    acquire(&mut network, 3, &all);
    let (mut too_many, mut too_long) = (Ok(()), Ok(()));
    network.with_host(3, |host, now| {
        let leases = host.leases.as_mut().unwrap();
        too_many = leases.acquire(b"one more", now + TERM, now);
        too_long = leases.acquire(&[b'x'; MAX_SUBJECT_BYTES + 1], now + TERM, now);
    });
    assert_eq!(
        (too_many, too_long),
        (
            Err(AcquireError::TooManyClaims),
            Err(AcquireError::SubjectTooLong)
        )
    );
    let error = AcquireError::TooManyClaims.to_string();
    assert!(
        error.contains("8192"),
        "the error does not name the limit: {error}"
    );
}

#[test]
fn voter_at_its_subject_limit_rejects_more() {
    use thistlecroft_leases::{MAX_VOTER_SUBJECTS, Update};
    let at = |ms: u64| Instant::from_micros(1_000_000 + ms * 1_000);
    let mut voter = Leases::new(Identity::new("r0", 1), config(&["r0"], UPDATE_RATE), at(0));
    voter.tick(at(2_000));
    voter.take_outgoing();
    let answer = |voter: &mut Leases, from: &Identity, update: Update| {
        voter.receive_message(from, Message::Update(update), at(2_000));
        let answers = voter.take_outgoing();
        match answers
            .first()
            .and_then(|outgoing| Message::decode(&outgoing.bytes))
        {
            Some(Message::Updated(updated)) => updated,
            other => panic!("the voter did not carry out the update: {other:?}"),
        }
    };
    let subjects_per_relay = MAX_CLAIMS;
    for relay in 0..=MAX_VOTER_SUBJECTS / subjects_per_relay {
        let from = Identity::new(&format!("a{relay}"), 1);
        let empty = Update {
            generation: 1,
            sequence: 1,
            session: None,
            epoch: 0,
            detach: vec![],
            attach: vec![],
        };
        let session = Some(answer(&mut voter, &from, empty.clone()).session);
        let attach: Vec<Vec<u8>> = (0..subjects_per_relay)
            .map(|index| format!("{relay}-{index}").into_bytes())
            .collect();
        for (sequence, attach) in (2..).zip(attach.chunks(128)) {
            let update = Update {
                sequence,
                session,
                attach: attach.to_vec(),
                ..empty.clone()
            };
            let rejected = answer(&mut voter, &from, update).rejected;
            let is_full = relay == MAX_VOTER_SUBJECTS / subjects_per_relay;
            let expected = if is_full { 128 } else { 0 };
            assert_eq!(rejected.len(), expected, "relay {relay}: subjects rejected");
            assert!(
                rejected
                    .iter()
                    .all(|(_, reason)| *reason == RejectionReason::AtCapacity)
            );
        }
    }
    let counts = voter.counts();
    assert_eq!(
        (counts.voter_subjects, counts.voter_full),
        (MAX_VOTER_SUBJECTS, subjects_per_relay as u64)
    );
}
