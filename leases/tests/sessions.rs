//! Many subjects attached to one session a process: who owns what through faults, over simulated
//! links and some hundreds of seeds; and what a renewal, an attachment and a take-over cost.
mod helper;

use helper::{
    RATE, TERM, VOTERS, Witness, acquire, config, electorate, fleet, held, release, subjects,
};
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_leases::legacy::{LegacyMessage, LegacyReason, NO_GENERATION};
use thistlecroft_leases::{
    AcquireError, ChangeError, LeaseConfig, Leases, MAX_CLAIMS, MAX_SUBJECT_BYTES, Message, Reason,
    State, To, Vote, legacy,
};
use thistlecroft_peers::Identity;
use thistlecroft_testbed::simulated_network::{LinkFault, SimulatedNetwork};

/// After a silence from a start, and the rounds that an attachment takes.
const START: Duration = Duration::from_millis(3_000);
const SEEDS: u64 = 100;

fn count(network: &SimulatedNetwork, number: usize) -> usize {
    held(network, number).len()
}

fn total(network: &SimulatedNetwork) -> usize {
    (0..network.hosts.len())
        .map(|number| count(network, number))
        .sum()
}

#[test]
fn two_that_want_the_same_subjects_share_them_out_and_both_go_on() {
    for seed in 1..=SEEDS {
        let (mut network, mut witness, all) = (
            fleet(5, &VOTERS, RATE, seed),
            Witness::default(),
            subjects(40),
        );
        network.default_link_fault.jitter = Duration::from_millis(40);
        acquire(&mut network, 3, &all);
        acquire(&mut network, 4, &all);
        let owned = witness.until(&mut network, START + TERM * 4.0, |network| {
            total(network) == all.len()
        });
        assert!(owned.is_some(), "seed {seed}: {} owned", total(&network));
        let before = (held(&network, 3), held(&network, 4));
        witness.watch(&mut network, TERM * 2.0, &[]);
        assert_eq!(
            (held(&network, 3), held(&network, 4)),
            before,
            "seed {seed}"
        );
    }
}

#[test]
fn an_owner_that_gives_back_a_part_keeps_the_rest_without_a_break() {
    for seed in 1..=SEEDS {
        let (mut network, mut witness, all) = (
            fleet(5, &VOTERS, RATE, seed),
            Witness::default(),
            subjects(60),
        );
        network.default_link_fault.loss = 0.02;
        acquire(&mut network, 3, &all);
        witness
            .until(&mut network, START + TERM, |network| {
                count(network, 3) == 60
            })
            .expect("owned");
        let before = held(&network, 3);
        release(&mut network, 3, &all[..20]);
        acquire(&mut network, 4, &all[..20]);
        let moved = witness.until(&mut network, TERM * 2.0, |network| count(network, 4) == 20);
        assert!(moved.is_some(), "seed {seed}");
        let kept = held(&network, 3);
        assert!(
            all[20..]
                .iter()
                .all(|subject| kept.get(subject) == before.get(subject)),
            "seed {seed}"
        );
        assert_eq!(kept.len(), 40);
    }
}

#[test]
fn a_session_that_lapsed_comes_back_by_a_renewal_with_higher_epochs_if_nobody_took_of_it() {
    for seed in 1..=SEEDS {
        let (mut network, mut witness, all) = (
            fleet(5, &VOTERS, RATE, seed),
            Witness::default(),
            subjects(200),
        );
        acquire(&mut network, 3, &all);
        witness
            .until(&mut network, START + TERM, |network| {
                count(network, 3) == 200
            })
            .expect("owned");
        let before = held(&network, 3);
        network.partition(&[3], &[0, 1, 2, 4]);
        witness.watch(&mut network, TERM * 1.5, &[]);
        assert_eq!(count(&network, 3), 0, "it stops by its own clock");
        network.heal_partitions();
        let sent = network.hosts[3].leases.as_ref().unwrap().counts();
        witness
            .until(&mut network, TERM * 2.0, |network| count(network, 3) == 200)
            .expect("owned again");
        assert!(
            held(&network, 3)
                .iter()
                .all(|(subject, epoch)| *epoch > before[subject]),
            "seed {seed}"
        );
        // Attached still: no subject was sent again.
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
fn a_voter_that_is_lost_and_back_while_hundreds_of_subjects_move_delays_and_doubles_nothing() {
    for seed in 1..=SEEDS {
        // At this rate 600 subjects take some seconds.
        let (mut network, mut witness, all) = (
            fleet(5, &VOTERS, 16_384, seed),
            Witness::default(),
            subjects(600),
        );
        network.default_link_fault.loss = 0.005;
        acquire(&mut network, 3, &all);
        witness
            .until(&mut network, START + TERM * 6.0, |network| {
                count(network, 3) == 600
            })
            .expect("owned");
        network.kill(3);
        acquire(&mut network, 4, &all);
        let some = witness.until(&mut network, TERM * 4.0, |network| count(network, 4) > 100);
        assert!(
            some.is_some_and(|_| count(&network, 4) < 600),
            "seed {seed}: in the midst"
        );
        let voter = seed as usize % 3;
        network.kill(voter);
        witness.watch(&mut network, TERM * 0.2, &[]);
        network.restart(voter);
        let taken = witness.until(&mut network, TERM * 6.0, |network| count(network, 4) == 600);
        assert!(taken.is_some(), "seed {seed}: {}", count(&network, 4));
        // The voter that forgot is told all of it again: another may be lost now.
        witness.watch(&mut network, TERM * 4.0, &[]);
        let before = held(&network, 4);
        network.kill((voter + 1) % 3);
        witness.watch(&mut network, TERM * 2.0, &[]);
        assert_eq!(held(&network, 4), before, "seed {seed}");
    }
}

#[test]
fn with_the_last_majority_lost_nobody_owns_and_once_it_is_back_all_is_owned_with_higher_epochs() {
    for seed in 1..=SEEDS {
        let (mut network, mut witness, all) = (
            fleet(5, &VOTERS, RATE, seed),
            Witness::default(),
            subjects(80),
        );
        acquire(&mut network, 3, &all[..40]);
        acquire(&mut network, 4, &all[40..]);
        witness
            .until(&mut network, START + TERM, |network| total(network) == 80)
            .expect("owned");
        let before = (held(&network, 3), held(&network, 4));
        network.kill(1);
        network.kill(2);
        witness.watch(&mut network, TERM * 1.1, &[]);
        assert_eq!(total(&network), 0, "seed {seed}");
        network.restart(1);
        network.restart(2);
        witness
            .until(&mut network, START + TERM * 2.0, |network| {
                total(network) == 80
            })
            .expect("owned again");
        assert!(
            held(&network, 3)
                .iter()
                .all(|(subject, epoch)| *epoch > before.0[subject]),
            "seed {seed}"
        );
        assert!(
            held(&network, 4)
                .iter()
                .all(|(subject, epoch)| *epoch > before.1[subject]),
            "seed {seed}"
        );
    }
}

#[test]
fn a_renewal_keeps_nothing_alive_that_its_voter_has_forgotten() {
    for seed in 1..=SEEDS {
        let (mut network, mut witness, all) = (
            fleet(5, &VOTERS, RATE, seed),
            Witness::default(),
            subjects(30),
        );
        acquire(&mut network, 3, &all);
        witness
            .until(&mut network, START + TERM, |network| {
                count(network, 3) == 30
            })
            .expect("owned");
        // One voter does not hear the owner any more; the others forget, one after the other, and
        // hear it all the time.
        network.partition(&[3], &[2]);
        acquire(&mut network, 4, &all);
        for voter in [0, 1] {
            network.kill(voter);
            network.restart(voter);
            witness.watch(&mut network, TERM * 1.6, &[]);
        }
        network.heal_partitions();
        witness.watch(&mut network, TERM * 3.0, &[]);
        assert_eq!(total(&network), 30, "seed {seed}");
    }
}

/// Faults, releases and wishes drawn at random.
fn shake(network: &mut SimulatedNetwork, witness: &mut Witness, chance: &mut Rng, all: &[Vec<u8>]) {
    let number = chance.below(5) as usize;
    let some = chance.below(all.len() as u64) as usize;
    let mut paused = Vec::new();
    match chance.below(8) {
        0 => drop(
            network
                .link_faults
                .insert((number, chance.below(5) as usize), LinkFault::CUT),
        ),
        1 => {
            network.pause(number);
            paused.push(number);
        }
        2 | 3 => {
            network.kill(number);
            network.restart(number);
            acquire(network, number, &all[some..]);
        }
        4 => release(network, number, &all[..some]),
        5 => {
            release(network, number, &all[some..]);
            acquire(network, number, &all[some / 2..]);
        }
        6 => acquire(network, number, all),
        _ => network.heal_partitions(),
    }
    let span = Duration::from_millis(100 + chance.below(2_500));
    witness.watch(network, span, &paused);
    if !paused.is_empty() {
        network.resume(number);
        // From the very moment on: it goes on with its old state.
        witness.look(network, &[]);
    }
}

#[test]
fn faults_releases_and_wishes_drawn_at_random_never_give_two_owners() {
    let mut holdings = 0;
    for seed in 1..=300 {
        let (mut network, mut witness, all) = (
            fleet(5, &VOTERS, RATE, seed),
            Witness::default(),
            subjects(6),
        );
        let mut chance = Rng::from_seed(seed * 7_919);
        network.default_link_fault = LinkFault {
            loss: 0.05,
            duplication: 0.05,
            jitter: Duration::from_millis(150),
            ..network.default_link_fault
        };
        (0..5).for_each(|number| acquire(&mut network, number, &all[number..]));
        witness.watch(&mut network, START, &[]);
        for _ in 0..16 {
            shake(&mut network, &mut witness, &mut chance, &all);
        }
        network.heal_partitions();
        network.default_link_fault = LinkFault {
            delay: Duration::from_micros(200),
            ..LinkFault::default()
        };
        (0..5).for_each(|number| acquire(&mut network, number, &all));
        let owned = witness.until(&mut network, TERM * 8.0, |network| {
            total(network) == all.len()
        });
        assert!(
            owned.is_some(),
            "seed {seed}: {} owned once all is well",
            total(&network)
        );
        holdings += witness.holdings;
    }
    assert!(
        holdings > 6 * 300 * 2,
        "they changed hands {holdings} times"
    );
}

#[test]
fn the_last_step_of_a_change_of_voters_waits_until_what_the_old_ones_granted_is_over() {
    for seed in 1..=20 {
        let (mut network, mut witness, all) = (
            fleet(6, &VOTERS, RATE, seed),
            Witness::default(),
            subjects(10),
        );
        acquire(&mut network, 5, &all);
        witness
            .until(&mut network, START + TERM, |network| {
                count(network, 5) == 10
            })
            .expect("owned");
        let next = ["r2", "r3", "r4"];
        let joint = LeaseConfig {
            electorate: electorate(2, &next, &VOTERS),
            ..config(&VOTERS, RATE)
        };
        let last = LeaseConfig {
            electorate: electorate(3, &next, &[]),
            ..config(&VOTERS, RATE)
        };
        let change = |network: &mut SimulatedNetwork, number: usize, to: &LeaseConfig| {
            let mut done = Ok(());
            network.act(number, |host, now| {
                done = host.leases.as_mut().unwrap().change(to.clone(), now)
            });
            done
        };
        // The owner is told of nothing and hears nobody; all others go on as fast as they are let.
        network.partition(&[5], &[0, 1, 2, 3, 4]);
        (0..5).for_each(|number| change(&mut network, number, &joint).unwrap());
        witness.watch(&mut network, TERM * 0.4, &[]);
        assert_eq!(
            change(&mut network, 3, &last),
            Err(ChangeError::NotSettled),
            "seed {seed}"
        );
        acquire(&mut network, 4, &all);
        let began = network.now;
        while !(0..5).all(|number| change(&mut network, number, &last).is_ok()) {
            assert!(
                network.now.duration_since(began) < TERM * 3.0,
                "seed {seed}: never settled"
            );
            witness.watch(&mut network, TERM * 0.02, &[]);
        }
        witness
            .until(&mut network, TERM * 2.0, |network| count(network, 4) == 10)
            .expect("owned by the next");
    }
}

/// Bytes that a process's leases send in so long, and requests.
fn spent(network: &mut SimulatedNetwork, number: usize, span: Duration) -> (u64, u64) {
    let look = |network: &SimulatedNetwork| {
        let host = &network.hosts[number];
        (
            host.node.counts.sent_bytes,
            host.leases.as_ref().unwrap().counts().requests,
        )
    };
    let before = look(network);
    network.run_for(span);
    let after = look(network);
    (after.0 - before.0, after.1 - before.1)
}

#[test]
fn a_renewal_costs_the_same_whatever_is_owned() {
    let cost = |owned: usize| {
        let mut network = fleet(5, &VOTERS, 1_000_000, 1);
        acquire(&mut network, 4, &subjects(owned));
        network
            .run_until(START + TERM * 4.0, |network| count(network, 4) == owned)
            .expect("owned");
        network.run_for(TERM * 8.0);
        spent(&mut network, 4, TERM * 10.0)
    };
    let (bytes, requests) = cost(1);
    for owned in [8, 64, 512, 4_096] {
        let (more, asked) = cost(owned);
        assert!(
            more.abs_diff(bytes) * 20 <= bytes,
            "{owned} owned: {more} bytes, one: {bytes}"
        );
        assert!(
            asked.abs_diff(requests) * 10 <= requests,
            "{owned} owned: {asked} requests, one: {requests}"
        );
    }
}

#[test]
fn a_take_over_stays_within_its_rate_and_takes_the_time_that_the_page_says() {
    const SUBJECTS: usize = 2_000;
    for rate in [8_192_u32, 32_768] {
        let (mut network, all) = (fleet(5, &VOTERS, rate, 3), subjects(SUBJECTS));
        network.run_for(START * 4.0);
        acquire(&mut network, 4, &all);
        let began = network.now;
        let calm = 1_500;
        while count(&network, 4) < SUBJECTS {
            let (bytes, _) = spent(&mut network, 4, Duration::from_millis(1_000));
            // A burst of half a second, and one message that began below it.
            let most = u64::from(rate) * 3 / 2 + 1_200 + calm;
            assert!(bytes <= most, "{bytes} bytes in a second at {rate}");
            assert!(
                network.now.duration_since(began) < Duration::from_millis(120_000),
                "{rate}"
            );
        }
        // Three voters, each subject with its length: so many bytes at that rate, and a tenth for
        // the rest.
        let bytes = 3.0 * all.iter().map(|subject| subject.len() + 1).sum::<usize>() as f64;
        let messages = 3.0 * (SUBJECTS as f64 / 80.0).ceil();
        let expected = (bytes + messages * 150.0) / f64::from(rate);
        let took = network.now.duration_since(began).as_secs_f64();
        assert!(
            took <= expected * 1.2 + 2.0,
            "{rate}: {took} s, {expected} by the formula"
        );
    }
}

#[test]
fn what_is_over_a_limit_is_refused_with_a_reason_and_counted() {
    let mut network = fleet(4, &["r0"], 100_000_000, 1);
    let all = subjects(MAX_CLAIMS);
    acquire(&mut network, 3, &all);
    let (mut over, mut long) = (Ok(()), Ok(()));
    network.act(3, |host, now| {
        let leases = host.leases.as_mut().unwrap();
        over = leases.acquire(b"one more", now + TERM, now);
        long = leases.acquire(&[b'x'; MAX_SUBJECT_BYTES + 1], now + TERM, now);
    });
    assert_eq!(
        (over, long),
        (
            Err(AcquireError::TooManyClaims),
            Err(AcquireError::SubjectTooLong)
        )
    );
    let fault = AcquireError::TooManyClaims.to_string();
    assert!(fault.contains("8192"), "{fault}");
}

#[test]
fn a_voter_takes_131072_subjects_and_says_that_it_is_full() {
    use thistlecroft_leases::{MAX_VOTER_SUBJECTS, Update};
    let at = |ms: u64| Instant::from_micros(1_000_000 + ms * 1_000);
    let mut voter = Leases::new(Identity::new("r0", 1), config(&["r0"], RATE), at(0));
    voter.tick(at(2_000));
    voter.take_outgoing();
    let answer = |voter: &mut Leases, from: &Identity, update: Update| {
        voter.receive_message(from, Message::Update(update), at(2_000));
        let answers = voter.take_outgoing();
        match answers.first().and_then(|one| Message::decode(&one.bytes)) {
            Some(Message::Updated(updated)) => updated,
            other => panic!("{other:?}"),
        }
    };
    let each = MAX_CLAIMS;
    for relay in 0..=MAX_VOTER_SUBJECTS / each {
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
        let attach: Vec<Vec<u8>> = (0..each)
            .map(|number| format!("{relay}-{number}").into_bytes())
            .collect();
        for (sequence, attach) in (2..).zip(attach.chunks(128)) {
            let update = Update {
                sequence,
                session,
                attach: attach.to_vec(),
                ..empty.clone()
            };
            let refused = answer(&mut voter, &from, update).refused;
            let full = relay == MAX_VOTER_SUBJECTS / each;
            assert_eq!(refused.len(), if full { 128 } else { 0 }, "relay {relay}");
            assert!(refused.iter().all(|(_, reason)| *reason == Reason::Full));
        }
    }
    let counts = voter.counts();
    assert_eq!(
        (counts.voter_subjects, counts.voter_full),
        (MAX_VOTER_SUBJECTS, each as u64)
    );
}

#[test]
fn processes_of_the_protocol_before_are_refused_in_their_words_and_grant_nothing_here() {
    let at = |ms: u64| Instant::from_micros(1_000_000 + ms * 1_000);
    let mut voter = Leases::new(Identity::new("r0", 2), config(&["r0"], RATE), at(0));
    let (older, twin) = (Identity::new("a", 1), Identity::new("r0", 1));
    let legacy_answers = |voter: &mut Leases, from: &Identity, message: &LegacyMessage, ms: u64| {
        voter.receive(from, legacy::CHANNEL, &message.encode(), at(ms));
        let out = voter.take_outgoing();
        let own = out
            .into_iter()
            .filter(|one| one.channel == legacy::CHANNEL && one.to == To::Process(from.clone()));
        own.filter_map(|one| LegacyMessage::decode(&one.bytes))
            .collect::<Vec<_>>()
    };
    // It starts: an older process of its name is told in its own words, and is to vote no more.
    voter.tick(at(0));
    let told = voter
        .take_outgoing()
        .into_iter()
        .filter(|one| one.channel == legacy::CHANNEL);
    let recall = LegacyMessage::Recall {
        generation: 1,
        starts: true,
    };
    assert!(
        told.filter_map(|one| LegacyMessage::decode(&one.bytes))
            .any(|message| message == recall)
    );
    // While that one answers this one is silent, and takes its epoch over.
    let remembered = LegacyMessage::Remembered {
        generation: 1,
        established: true,
        epoch: 41,
    };
    legacy_answers(&mut voter, &twin, &remembered, 1_500);
    voter.tick(at(2_100));
    assert_eq!(voter.vote(at(2_100)), Vote::Silent);
    voter.tick(at(3_500));
    assert_eq!(voter.vote(at(3_500)), Vote::Votes);
    voter.take_outgoing();
    let ask = LegacyMessage::Ask {
        generation: 1,
        subject: b"turn".to_vec(),
        round: 7,
        epoch: 50,
    };
    let answers = legacy_answers(&mut voter, &older, &ask, 3_600);
    let why = LegacyReason::Generation {
        here: NO_GENERATION,
    };
    assert_eq!(
        answers,
        [LegacyMessage::Refuse {
            subject: b"turn".to_vec(),
            round: 7,
            why
        }]
    );
    let promise = LegacyMessage::Promise {
        generation: 1,
        subject: b"turn".to_vec(),
        round: 7,
        epoch: 1,
    };
    assert_eq!(legacy_answers(&mut voter, &older, &promise, 3_600), []);
    assert_eq!(voter.counts().older_protocol, 3);
    assert_eq!(voter.state(b"turn", at(3_600)), State::Unwanted);
    // A relay whose voter is older says so.
    let mut relay = Leases::new(Identity::new("b", 1), config(&["r0"], RATE), at(0));
    relay.acquire(b"turn", at(60_000), at(0)).unwrap();
    let older_voter = Identity::new("r0", 1);
    for ms in (0..2_000).step_by(50) {
        relay.tick(at(ms));
        for outgoing in relay.take_outgoing() {
            let asked = (outgoing.channel == legacy::CHANNEL)
                .then(|| LegacyMessage::decode(&outgoing.bytes));
            if let Some(Some(LegacyMessage::Recall { .. })) = asked {
                relay.receive(&older_voter, legacy::CHANNEL, &remembered.encode(), at(ms));
            }
        }
    }
    assert_eq!(
        relay.state(b"turn", at(2_000)),
        State::Wanted(Some(Reason::OlderProtocol))
    );
}
