//! A small simulated network of processes, and a checker that asserts from outside that no subject
//! has two holders.
#![allow(dead_code, reason = "each test binary uses some of the helpers")]
use std::collections::BTreeMap;
use thistlecroft::time::Duration;
use thistlecroft_leases::{Electorate, LeaseConfig, MAX_CLOCK_DRIFT, Subject};
use thistlecroft_peers::{NodeConfig, ProtocolTiming};
use thistlecroft_testbed::simulated_network::SimulatedNetwork;

pub(crate) const PROBE_INTERVAL: Duration = Duration::from_millis(200);
pub(crate) const TERM: Duration = Duration::from_millis(2_000);
/// In bytes per second.
pub(crate) const UPDATE_RATE: u32 = 32_768;
pub(crate) const VOTERS: [&str; 3] = ["r0", "r1", "r2"];
/// The clock speeds of the processes: both limits of the permitted drift, and true time.
const SPEEDS: [f64; 5] = [
    1.0 - MAX_CLOCK_DRIFT,
    1.0 + MAX_CLOCK_DRIFT,
    1.0,
    1.0 - MAX_CLOCK_DRIFT,
    1.0 + MAX_CLOCK_DRIFT,
];
const ONE_HOUR: Duration = Duration::from_millis(3_600_000);
/// The time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

pub(crate) fn electorate(generation: u32, voters: &[&str], previous_voters: &[&str]) -> Electorate {
    let names = |all: &[&str]| all.iter().map(|name| (*name).into()).collect();
    Electorate {
        generation,
        voters: names(voters),
        previous_voters: names(previous_voters),
    }
}

pub(crate) fn config(voters: &[&str], update_rate: u32) -> LeaseConfig {
    LeaseConfig {
        electorate: electorate(1, voters, &[]),
        term: TERM,
        update_rate,
    }
}

pub(crate) fn start_network(
    size: usize,
    voters: &[&str],
    update_rate: u32,
    seed: u64,
) -> SimulatedNetwork {
    let peers = NodeConfig {
        fleet: "test".into(),
        secret: vec![1],
        timing: ProtocolTiming {
            probe_interval: PROBE_INTERVAL,
        },
        max_bytes_per_second: 65_536,
    };
    let mut network = SimulatedNetwork::new(peers, Some(config(voters, update_rate)), 3, seed);
    for index in 0..size {
        network.start(&format!("r{index}"), SPEEDS[index % SPEEDS.len()]);
    }
    network
}

pub(crate) fn subjects(count: usize) -> Vec<Subject> {
    (0..count)
        .map(|index| format!("shard-{index}").into_bytes())
        .collect()
}

pub(crate) fn acquire(network: &mut SimulatedNetwork, index: usize, subjects: &[Subject]) {
    network.with_host(index, |host, now| {
        let leases = host.leases.as_mut().unwrap();
        subjects
            .iter()
            .for_each(|subject| leases.acquire(subject, now + ONE_HOUR, now).unwrap());
    });
}

pub(crate) fn release(network: &mut SimulatedNetwork, index: usize, subjects: &[Subject]) {
    network.with_host(index, |host, now| {
        let leases = host.leases.as_mut().unwrap();
        subjects
            .iter()
            .for_each(|subject| leases.release(subject, now));
    });
}

/// Returns the subjects that a process may act on now, with their epochs.
pub(crate) fn held(network: &SimulatedNetwork, index: usize) -> BTreeMap<Subject, u64> {
    let host = &network.hosts[index];
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

/// Asserts that no subject has two holders, and that epochs grow from one holding to the next.
#[derive(Default)]
pub(crate) struct HolderChecker {
    /// The last holder and epoch of each subject.
    last_holdings: BTreeMap<Subject, (usize, u64)>,
    /// The number of holdings of all subjects since the start.
    pub holdings: usize,
}

impl HolderChecker {
    /// Checks the present holders. `paused` processes are left out, since they do not act.
    pub(crate) fn check(&mut self, network: &SimulatedNetwork, paused: &[usize]) {
        let mut current: BTreeMap<Subject, (usize, u64)> = BTreeMap::new();
        for index in (0..network.hosts.len()).filter(|index| !paused.contains(index)) {
            for (subject, epoch) in held(network, index) {
                let other = current.insert(subject.clone(), (index, epoch));
                assert_eq!(
                    other, None,
                    "two processes hold {subject:?} at {:?}, one of them r{index}",
                    network.now
                );
            }
        }
        for (subject, holding) in current {
            let before = self.last_holdings.insert(subject.clone(), holding);
            if before != Some(holding) {
                let grown = before.is_none_or(|(_, epoch)| holding.1 > epoch);
                assert!(
                    grown,
                    "the epoch of {subject:?} did not grow: {holding:?} after {before:?} at {:?}",
                    network.now
                );
                self.holdings += 1;
            }
        }
    }

    pub(crate) fn check_for(
        &mut self,
        network: &mut SimulatedNetwork,
        duration: Duration,
        paused: &[usize],
    ) {
        let until = network.now + duration;
        while network.now < until {
            network.run_for(CHECK_INTERVAL);
            self.check(network, paused);
        }
    }

    /// Checks until a condition holds and returns how long that took; `None` if it does not hold
    /// `within` that time.
    pub(crate) fn wait_until(
        &mut self,
        network: &mut SimulatedNetwork,
        within: Duration,
        condition: impl Fn(&SimulatedNetwork) -> bool,
    ) -> Option<Duration> {
        let began = network.now;
        while !condition(network) {
            if network.now.duration_since(began) >= within {
                return None;
            }
            self.check_for(network, CHECK_INTERVAL, &[]);
        }
        Some(network.now.duration_since(began))
    }
}
