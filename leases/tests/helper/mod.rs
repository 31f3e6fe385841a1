//! A small fleet over simulated links, and a witness that looks from outside at who may act on
//! which of many subjects.
#![allow(dead_code, reason = "each file of tests uses a part of it")]
use std::collections::BTreeMap;
use thistlecroft::time::Duration;
use thistlecroft_leases::{DRIFT, Electorate, LeaseConfig, Subject};
use thistlecroft_peers::{Pace, Terms as PeerTerms};
use thistlecroft_testbed::simulated_network::SimulatedNetwork;

pub const PERIOD: Duration = Duration::from_millis(200);
pub const TERM: Duration = Duration::from_millis(2_000);
pub const RATE: u32 = 32_768;
pub const VOTERS: [&str; 3] = ["r0", "r1", "r2"];
/// Two processes whose clocks are both at an edge, and the rest between.
const SPEEDS: [f64; 5] = [1.0 - DRIFT, 1.0 + DRIFT, 1.0, 1.0 - DRIFT, 1.0 + DRIFT];
const FOR_LONG: Duration = Duration::from_millis(3_600_000);
/// Between two looks of the witness.
const LOOK: Duration = Duration::from_millis(10);

pub fn electorate(generation: u32, voters: &[&str], before: &[&str]) -> Electorate {
    let names = |all: &[&str]| all.iter().map(|name| (*name).into()).collect();
    Electorate {
        generation,
        voters: names(voters),
        before: names(before),
    }
}

pub fn config(voters: &[&str], update_rate: u32) -> LeaseConfig {
    LeaseConfig {
        electorate: electorate(1, voters, &[]),
        term: TERM,
        update_rate,
    }
}

pub fn fleet(size: usize, voters: &[&str], update_rate: u32, seed: u64) -> SimulatedNetwork {
    let peers = PeerTerms {
        fleet: "test".into(),
        secret: vec![1],
        pace: Pace { period: PERIOD },
        rate: 65_536,
    };
    let mut network = SimulatedNetwork::new(peers, Some(config(voters, update_rate)), 3, seed);
    for number in 0..size {
        network.start(&format!("r{number}"), SPEEDS[number % SPEEDS.len()]);
    }
    network
}

pub fn subjects(count: usize) -> Vec<Subject> {
    (0..count)
        .map(|number| format!("shard-{number}").into_bytes())
        .collect()
}

pub fn acquire(network: &mut SimulatedNetwork, number: usize, subjects: &[Subject]) {
    network.act(number, |host, now| {
        let leases = host.leases.as_mut().unwrap();
        subjects
            .iter()
            .for_each(|subject| leases.acquire(subject, now + FOR_LONG, now).unwrap());
    });
}

pub fn release(network: &mut SimulatedNetwork, number: usize, subjects: &[Subject]) {
    network.act(number, |host, now| {
        let leases = host.leases.as_mut().unwrap();
        subjects
            .iter()
            .for_each(|subject| leases.release(subject, now));
    });
}

/// What a process may act on now, with the epochs.
pub fn held(network: &SimulatedNetwork, number: usize) -> BTreeMap<Subject, u64> {
    let host = &network.hosts[number];
    if !host.alive {
        return BTreeMap::new();
    }
    let leases = host
        .leases
        .iter()
        .flat_map(|leases| leases.holdings(host.clock(network.now)));
    leases
        .map(|(subject, held)| (subject.to_vec(), held.epoch))
        .collect()
}

/// Asserts at each look that nobody acts beside another, and that epochs grow from one holding to
/// the next.
#[derive(Default)]
pub struct Witness {
    last: BTreeMap<Subject, (usize, u64)>,
    pub holdings: usize,
}

impl Witness {
    /// `paused` processes do not act.
    pub fn look(&mut self, network: &SimulatedNetwork, paused: &[usize]) {
        let mut now: BTreeMap<Subject, (usize, u64)> = BTreeMap::new();
        for number in (0..network.hosts.len()).filter(|number| !paused.contains(number)) {
            for (subject, epoch) in held(network, number) {
                let other = now.insert(subject.clone(), (number, epoch));
                assert_eq!(
                    other, None,
                    "two hold {subject:?} at {:?}, one of them {number}",
                    network.now
                );
            }
        }
        for (subject, holding) in now {
            let before = self.last.insert(subject.clone(), holding);
            if before != Some(holding) {
                let grown = before.is_none_or(|(_, epoch)| holding.1 > epoch);
                assert!(
                    grown,
                    "{subject:?}: {holding:?} after {before:?} at {:?}",
                    network.now
                );
                self.holdings += 1;
            }
        }
    }

    pub fn watch(&mut self, network: &mut SimulatedNetwork, span: Duration, paused: &[usize]) {
        let until = network.now + span;
        while network.now < until {
            network.run_for(LOOK);
            self.look(network, paused);
        }
    }

    /// Until that is so, looked at all the time; how long it took.
    pub fn until(
        &mut self,
        network: &mut SimulatedNetwork,
        within: Duration,
        so: impl Fn(&SimulatedNetwork) -> bool,
    ) -> Option<Duration> {
        let began = network.now;
        while !so(network) {
            if network.now.duration_since(began) >= within {
                return None;
            }
            self.watch(network, LOOK, &[]);
        }
        Some(network.now.duration_since(began))
    }
}
