//! Runs trials over simulated links.
use super::{MAX_NOTE_WAIT_PERIODS, MAX_WAIT_PERIODS, Measurements, SECONDS_PER_HOUR, Trial};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use thistlecroft_peers::{EntryKind, MemberState, NodeConfig, ProtocolTiming};
use thistlecroft_testbed::simulated_network::{Host, SimulatedNetwork};

/// The maximum number of bytes that a relay sends per second.
const MAX_BYTES_PER_SECOND: u32 = 32_768;
/// The number of relays whose addresses a new relay is given to join the fleet.
const SEED_COUNT: usize = 3;
/// Probe periods between the join of all relays and the measurement of the calm fleet, in which no
/// relay starts or stops.
const SETTLING_PERIODS: f64 = 60.0;
/// The calm fleet is measured for this many probe periods divided by its size, so that each size
/// yields about as many samples.
const CALM_RELAY_PERIODS: f64 = 24_000.0;
/// The minimum and maximum number of probe periods for which the calm fleet is measured.
const CALM_PERIOD_LIMITS: (f64, f64) = (60.0, 600.0);

/// Runs the trials over simulated links, as many at a time as there are cores. Results are in the
/// order in which the trials end.
pub fn run_simulated(trials: &[Trial]) -> Vec<(Trial, Measurements)> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..cores {
            scope.spawn(|| {
                while let Some(trial) = trials.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let result = (*trial, run_trial(*trial));
                    results
                        .lock()
                        .expect("no thread panics while it holds the lock")
                        .push(result);
                }
            });
        }
    });
    results
        .into_inner()
        .expect("no thread panics while it holds the lock")
}

fn run_trial(trial: Trial) -> Measurements {
    let Trial { size, period, .. } = trial;
    let protocol_timing = ProtocolTiming {
        probe_interval: period,
    };
    let mut network = SimulatedNetwork::new(
        NodeConfig {
            fleet: "network".into(),
            secret: vec![7; 16],
            timing: protocol_timing,
            max_bytes_per_second: MAX_BYTES_PER_SECOND,
        },
        None,
        SEED_COUNT,
        trial.seed,
    );
    for number in 0..size {
        network.start(&format!("r{number}"), 1.0);
    }
    let join = network.run_until(
        period * MAX_WAIT_PERIODS,
        SimulatedNetwork::membership_is_consistent,
    );
    network.default_link_fault.loss = trial.loss;
    network.run_for(period * SETTLING_PERIODS);
    let mut measured = Measurements {
        detection_bound: trial.in_periods(protocol_timing.detection_bound(size, 0)),
        join: trial.optional_in_periods(join),
        ..Measurements::default()
    };
    measure_calm(&mut network, trial, &mut measured);
    measure_note(&mut network, trial, &mut measured);
    measure_death(&mut network, trial, &mut measured);
    measured
}

/// Measures traffic, false suspicions and false deaths while no relay starts or stops.
fn measure_calm(network: &mut SimulatedNetwork, trial: Trial, measured: &mut Measurements) {
    let (least, most) = CALM_PERIOD_LIMITS;
    let periods = (CALM_RELAY_PERIODS / trial.size as f64).clamp(least, most);
    let sent_before = sent_bytes(network);
    let suspected_before = state_changes(network, MemberState::Suspect);
    let dead_before = state_changes(network, MemberState::Dead);
    network.run_for(trial.period * periods);
    let suspected = state_changes(network, MemberState::Suspect) - suspected_before;
    let dead = state_changes(network, MemberState::Dead) - dead_before;
    let sent = sent_bytes(network) - sent_before;
    measured.bytes_per_period = sent as f64 / periods / trial.size as f64;
    measured.suspicions_per_hour = suspected / periods * SECONDS_PER_HOUR;
    measured.false_deaths_per_hour = dead / periods * SECONDS_PER_HOUR;
}

fn sent_bytes(network: &SimulatedNetwork) -> u64 {
    let hosts = network.hosts.iter();
    hosts.map(|host| host.node.counts.sent_bytes).sum()
}

/// Counts how often any relay changed its view of another to `state`.
fn state_changes(network: &SimulatedNetwork, state: MemberState) -> f64 {
    let changes = network.hosts.iter().flat_map(|host| &host.member_changes);
    changes.filter(|change| change.state == state).count() as f64
}

/// Measures how long a note takes to reach all relays.
fn measure_note(network: &mut SimulatedNetwork, trial: Trial, measured: &mut Measurements) {
    network.with_host(trial.size / 2, |host, now| {
        host.node
            .announce(EntryKind::Note, b"subject", b"value", now);
    });
    let is_known = |network: &SimulatedNetwork| {
        network.hosts.iter().all(|host| {
            let now = host.clock(network.now);
            host.node
                .shared_state()
                .of_kind(EntryKind::Note, now)
                .next()
                .is_some()
        })
    };
    let time = network.run_until(trial.period * MAX_NOTE_WAIT_PERIODS, is_known);
    measured.note_known = trial.optional_in_periods(time);
}

/// Measures the time from a relay's death until the first and until all others declare it dead.
fn measure_death(network: &mut SimulatedNetwork, trial: Trial, measured: &mut Measurements) {
    let victim = trial.size - 1;
    let dead = network.hosts[victim].node.identity().clone();
    network.kill(victim);
    let has_noticed = |host: &Host| host.node.state_of(&dead) == Some(MemberState::Dead);
    let timeout = trial.period * MAX_WAIT_PERIODS;
    let first = network.run_until(timeout, |network| network.hosts.iter().any(has_noticed));
    let others = network.run_until(timeout, |network| {
        let alive = network.hosts.iter().filter(|host| host.alive);
        alive.into_iter().all(has_noticed)
    });
    let last = first.zip(others).map(|(first, others)| first + others);
    measured.first_detection = trial.optional_in_periods(first);
    measured.last_detection = trial.optional_in_periods(last);
}
