//! Leases on one subject over simulated links, with clocks at the limits of the permitted drift.
//! There are never two holders at the same true time, epochs only grow, and a side of a partition
//! without a majority holds nothing.
mod helper;

use helper::{TERM, UPDATE_RATE, VOTERS, config, electorate, start_network};
use std::collections::BTreeMap;
use thistlecroft::random::Rng;
use thistlecroft::time::Duration;
use thistlecroft_leases::{LeaseConfig, MAX_CLOCK_DRIFT};
use thistlecroft_testbed::simulated_network::{Host, LinkFault, SimulatedNetwork};

const SUBJECT: &[u8] = b"turn";

/// Asserts from outside, at each step of true time, that at most one process acts on the subject
/// and that epochs grow.
#[derive(Default)]
struct HolderChecker {
    /// The last holder and its epoch.
    last_holding: Option<(String, u64)>,
    last_epoch: u64,
    /// The number of holdings since the start.
    holdings: usize,
    /// The number of steps in which each process acted, by name.
    steps_held: BTreeMap<String, usize>,
}

impl HolderChecker {
    /// Checks one step. `paused` processes do not act; all others act whenever they may.
    fn check(&mut self, network: &SimulatedNetwork, paused: &[usize]) {
        let acts = |(index, host): (usize, &Host)| {
            let held = host
                .leases
                .as_ref()?
                .held(SUBJECT, host.clock(network.now))?;
            (host.alive && !paused.contains(&index)).then(|| (host.name.clone(), held.epoch))
        };
        let all: Vec<(String, u64)> = network.hosts.iter().enumerate().filter_map(acts).collect();
        assert!(
            all.len() <= 1,
            "several processes hold the subject at {:?}: {all:?}",
            network.now
        );
        let Some((name, epoch)) = all.into_iter().next() else {
            return;
        };
        *self.steps_held.entry(name.clone()).or_default() += 1;
        let now = Some((name, epoch));
        if self.last_holding != now {
            assert!(
                epoch > self.last_epoch,
                "the epoch did not grow: {epoch} after {}",
                self.last_epoch
            );
            (self.last_holding, self.last_epoch) = (now, epoch);
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

fn acquire_everywhere(network: &mut SimulatedNetwork) {
    for index in 0..network.hosts.len() {
        network.with_host(index, |host, now| {
            if let Some(leases) = &mut host.leases {
                leases
                    .acquire(SUBJECT, now + Duration::from_millis(3_600_000), now)
                    .unwrap();
            }
        });
    }
}

/// Returns the index of the process that may act on the subject now.
fn holder_index(network: &SimulatedNetwork) -> Option<usize> {
    network.hosts.iter().position(|host| {
        host.alive
            && host
                .leases
                .as_ref()
                .is_some_and(|leases| leases.held(SUBJECT, host.clock(network.now)).is_some())
    })
}

#[test]
fn first_holder_appears_after_the_initial_silence_and_renews() {
    let mut network = start_network(5, &VOTERS, UPDATE_RATE, 1);
    let mut checker = HolderChecker::default();
    acquire_everywhere(&mut network);
    checker.check_for(&mut network, TERM, &[]);
    assert_eq!(
        checker.holdings, 0,
        "voters that have just started are silent"
    );
    checker.check_for(&mut network, TERM, &[]);
    assert_eq!(checker.holdings, 1);
    checker.check_for(&mut network, TERM * 10.0, &[]);
    assert_eq!(
        checker.holdings, 1,
        "the lease is renewed in time for ten terms"
    );
}

#[test]
fn lost_holder_is_replaced_by_exactly_one_other() {
    type LoseHolder = fn(&mut SimulatedNetwork, usize);
    // What happens to the holder, and the longest time to the next one.
    let cases: &[(&str, LoseHolder, Duration)] = &[
        (
            "killed",
            |network, holder| network.kill(holder),
            TERM * 1.25,
        ),
        ("paused", SimulatedNetwork::pause, TERM * 1.25),
        (
            "released",
            |network, holder| {
                network.with_host(holder, |host, now| {
                    host.leases.as_mut().unwrap().release(SUBJECT, now)
                })
            },
            TERM * 0.2,
        ),
        (
            "left",
            |network, holder| {
                network.with_host(holder, |host, _| {
                    host.leases.as_mut().unwrap().leave(|_| false)
                })
            },
            TERM * 0.2,
        ),
    ];
    for (what, lose, within) in cases {
        for seed in 1..=5 {
            let mut network = start_network(5, &VOTERS, UPDATE_RATE, seed);
            // Processes that do not vote hold the lease, so that a majority of the voters remains.
            let mut checker = HolderChecker::default();
            for index in [3, 4] {
                network.with_host(index, |host, now| {
                    host.leases
                        .as_mut()
                        .unwrap()
                        .acquire(SUBJECT, now + Duration::from_millis(3_600_000), now)
                        .unwrap();
                });
            }
            checker.check_for(&mut network, TERM * 3.0, &[]);
            let holder = holder_index(&network).expect("a process holds the subject");
            lose(&mut network, holder);
            let paused: &[usize] = if *what == "paused" { &[holder] } else { &[] };
            checker.check_for(&mut network, *within, paused);
            let next = holder_index(&network).filter(|next| *next != holder);
            assert!(
                next.is_some() || *what == "paused" && checker.holdings == 2,
                "{what}, seed {seed}: no other process holds the subject"
            );
            assert_eq!(checker.holdings, 2, "{what}, seed {seed}: holdings");
            if *what == "paused" {
                network.run_for(TERM * 10.0);
                network.resume(holder);
                // The resumed process continues with its old state.
                checker.check(&network, &[]);
                checker.check_for(&mut network, TERM * 3.0, &[]);
                assert_eq!(checker.holdings, 2, "the new holder keeps the lease");
            }
        }
    }
}

#[test]
fn minority_partition_gets_no_lease_while_the_majority_continues() {
    for seed in 1..=5 {
        let mut network = start_network(5, &["r0", "r1", "r2", "r3", "r4"], UPDATE_RATE, seed);
        let mut checker = HolderChecker::default();
        acquire_everywhere(&mut network);
        checker.check_for(&mut network, TERM * 3.0, &[]);
        let holder = holder_index(&network).expect("a process holds the subject");
        // The holder is on the side of the minority.
        let other = (holder + 1) % 5;
        let rest: Vec<usize> = (0..5)
            .filter(|index| ![holder, other].contains(index))
            .collect();
        network.partition(&[holder, other], &rest);
        // All three voters of the majority have to grant the lease to the same one of them.
        checker.check_for(&mut network, TERM * 4.0, &[]);
        let next = holder_index(&network).expect("the majority has a new holder");
        assert!(
            rest.contains(&next),
            "seed {seed}: r{next} is not in the majority"
        );
        let before = checker.steps_held.clone();
        checker.check_for(&mut network, TERM * 20.0, &[]);
        for index in [holder, other] {
            let name = format!("r{index}");
            assert_eq!(
                checker.steps_held.get(&name),
                before.get(&name),
                "seed {seed}: {name} acts without a majority"
            );
        }
        network.heal_partitions();
        checker.check_for(&mut network, TERM * 5.0, &[]);
        assert_eq!(checker.holdings, 2);
    }
}

#[test]
fn rolling_voter_restarts_break_no_grant_and_repeat_no_epoch() {
    for seed in 1..=5 {
        let mut network = start_network(5, &VOTERS, UPDATE_RATE, seed);
        let mut checker = HolderChecker::default();
        acquire_everywhere(&mut network);
        checker.check_for(&mut network, TERM * 3.0, &[]);
        for round in 0..6 {
            let voter = round % 3;
            network.kill(voter);
            checker.check_for(&mut network, TERM * 0.3, &[]);
            network.restart(voter);
            acquire_everywhere(&mut network);
            checker.check_for(&mut network, TERM * 2.5, &[]);
        }
        // All voters restart at once and forget what they granted, but the holder keeps its lease
        // until it expires.
        (0..3).for_each(|voter| network.kill(voter));
        (0..3).for_each(|voter| network.restart(voter));
        acquire_everywhere(&mut network);
        checker.check_for(&mut network, TERM * 4.0, &[]);
        assert!(
            holder_index(&network).is_some(),
            "seed {seed}: no process holds the subject after the restarts"
        );
    }
}

#[test]
fn random_faults_never_give_two_holders() {
    for seed in 1..=12 {
        let mut network = start_network(5, &VOTERS, UPDATE_RATE, seed);
        let mut checker = HolderChecker::default();
        let mut rng = Rng::from_seed(seed * 77);
        network.default_link_fault = LinkFault {
            loss: 0.05,
            duplication: 0.05,
            jitter: Duration::from_millis(150),
            ..network.default_link_fault
        };
        acquire_everywhere(&mut network);
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
                    acquire_everywhere(&mut network);
                }
                3 => {
                    network.with_host(index, |host, now| {
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
        assert!(
            checker.holdings > 0,
            "seed {seed}: no process ever held the subject"
        );
    }
}

#[test]
fn voter_change_in_two_steps_never_gives_two_holders() {
    let mut network = start_network(5, &VOTERS, UPDATE_RATE, 4);
    let mut checker = HolderChecker::default();
    acquire_everywhere(&mut network);
    checker.check_for(&mut network, TERM * 3.0, &[]);
    let joint = LeaseConfig {
        electorate: electorate(2, &["r2", "r3", "r4"], &VOTERS),
        ..config(&VOTERS, UPDATE_RATE)
    };
    let last = LeaseConfig {
        electorate: electorate(3, &["r2", "r3", "r4"], &[]),
        ..config(&VOTERS, UPDATE_RATE)
    };
    let change = |network: &mut SimulatedNetwork, index: usize, to: &LeaseConfig| {
        let mut result = Ok(());
        network.with_host(index, |host, now| {
            let changed = host.leases.as_mut().unwrap().change_config(to.clone(), now);
            result = changed.map_err(|error| error.to_string());
        });
        result
    };
    // One process changes late, and no step may be skipped.
    let error = change(&mut network, 0, &last).unwrap_err();
    let expected = "generation: must be 2, the next after the current 1";
    assert!(error.contains(expected), "a step was skipped: {error}");
    let wrong_previous_voters = LeaseConfig {
        electorate: electorate(2, &["r3", "r4"], &["r0"]),
        ..config(&VOTERS, UPDATE_RATE)
    };
    assert!(
        change(&mut network, 0, &wrong_previous_voters)
            .unwrap_err()
            .contains("voters_before")
    );
    assert_eq!(change(&mut network, 3, &joint), Ok(()));
    assert!(
        change(&mut network, 3, &last)
            .unwrap_err()
            .contains("majority"),
        "no other process uses generation 2"
    );
    checker.check_for(&mut network, TERM, &[]);
    for index in [0, 1, 2, 4] {
        assert_eq!(change(&mut network, index, &joint), Ok(()));
        checker.check_for(&mut network, TERM * 0.4, &[]);
    }
    checker.check_for(&mut network, TERM * 3.0, &[]);
    assert!(holder_index(&network).is_some());
    for index in 0..5 {
        assert_eq!(change(&mut network, index, &last), Ok(()), "r{index}");
        checker.check_for(&mut network, TERM * 0.4, &[]);
    }
    checker.check_for(&mut network, TERM * 3.0, &[]);
    assert!(holder_index(&network).is_some());
    network.kill(0);
    network.kill(1);
    checker.check_for(&mut network, TERM * 4.0, &[]);
    assert!(
        holder_index(&network).is_some(),
        "no previous voter is needed"
    );
}

#[test]
fn holding_time_is_safe_at_the_drift_limit() {
    // In the worst case the holder's clock is as slow and the voter's as fast as permitted, and the
    // request takes no time.
    let held = TERM * ((1.0 - MAX_CLOCK_DRIFT) / (1.0 + MAX_CLOCK_DRIFT));
    assert_eq!(config(&VOTERS, UPDATE_RATE).holding_time(), held);
    let (slow, fast) = (1.0 - MAX_CLOCK_DRIFT, 1.0 + MAX_CLOCK_DRIFT);
    let true_end = |own: Duration, speed: f64| own.as_micros() as f64 / speed;
    assert!(true_end(held, slow) <= true_end(TERM, fast) + 1.0);
    // Twice the permitted drift would be unsafe: the margin is no larger than necessary.
    let (slower, faster) = (1.0 - 2.0 * MAX_CLOCK_DRIFT, 1.0 + 2.0 * MAX_CLOCK_DRIFT);
    assert!(true_end(held, slower) > true_end(TERM, faster));
}
