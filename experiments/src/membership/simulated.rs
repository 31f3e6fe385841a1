//! Trials over simulated links.
use super::{MAX_NOTE_PERIODS, MAX_PERIODS, Measured, SECONDS_PER_HOUR, Trial};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use thistlecroft_peers::{EntryKind, MemberState, NodeConfig, ProtocolTiming};
use thistlecroft_testbed::simulated_network::{Host, SimulatedNetwork};

/// Bytes a second that a relay sends at most.
const RATE: u32 = 32_768;
/// Relays that a new one is told to contact.
const SEEDS: usize = 3;
/// Before calm is measured, in periods.
const SETTLING_PERIODS: f64 = 60.0;
/// Calm is measured over as many periods of relays in all at each size, within these bounds.
const CALM_RELAY_PERIODS: f64 = 24_000.0;
const CALM_PERIODS: (f64, f64) = (60.0, 600.0);

/// Runs each trial on a thread, as many at once as there are cores. Results come in the order in
/// which trials end.
pub fn run_simulated(trials: &[Trial]) -> Vec<(Trial, Measured)> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..cores {
            scope.spawn(|| {
                while let Some(trial) = trials.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let result = (*trial, simulated(*trial));
                    results
                        .lock()
                        .expect("nobody panics holding it")
                        .push(result);
                }
            });
        }
    });
    results.into_inner().expect("nobody panics holding it")
}

fn simulated(trial: Trial) -> Measured {
    let Trial { size, period, .. } = trial;
    let pace = ProtocolTiming {
        probe_interval: period,
    };
    let mut network = SimulatedNetwork::new(
        NodeConfig {
            fleet: "network".into(),
            secret: vec![7; 16],
            timing: pace,
            max_bytes_per_second: RATE,
        },
        None,
        SEEDS,
        trial.seed,
    );
    for number in 0..size {
        network.start(&format!("r{number}"), 1.0);
    }
    let join = network.run_until(
        period * MAX_PERIODS,
        SimulatedNetwork::membership_is_consistent,
    );
    network.default_link_fault.loss = trial.loss;
    network.run_for(period * SETTLING_PERIODS);
    let mut measured = Measured {
        detection_bound: trial.in_periods(pace.detection_bound(size, 0)),
        join: trial.optional_in_periods(join),
        ..Measured::default()
    };
    measure_calm(&mut network, trial, &mut measured);
    measure_note(&mut network, trial, &mut measured);
    measure_death(&mut network, trial, &mut measured);
    measured
}

/// What it costs while nothing happens, and who is suspected though well.
fn measure_calm(network: &mut SimulatedNetwork, trial: Trial, measured: &mut Measured) {
    let (least, most) = CALM_PERIODS;
    let periods = (CALM_RELAY_PERIODS / trial.size as f64).clamp(least, most);
    let sent_before = sent_bytes(network);
    let suspected_before = state_changes(network, MemberState::Suspect);
    let dead_before = state_changes(network, MemberState::Dead);
    network.run_for(trial.period * periods);
    let suspected = state_changes(network, MemberState::Suspect) - suspected_before;
    let dead = state_changes(network, MemberState::Dead) - dead_before;
    let sent = sent_bytes(network) - sent_before;
    measured.bytes = sent as f64 / periods / trial.size as f64;
    measured.suspicions = suspected / periods * SECONDS_PER_HOUR;
    measured.false_deaths = dead / periods * SECONDS_PER_HOUR;
}

fn sent_bytes(network: &SimulatedNetwork) -> u64 {
    let hosts = network.hosts.iter();
    hosts.map(|host| host.node.counts.sent_bytes).sum()
}

/// How often any relay has taken another to be in this state.
fn state_changes(network: &SimulatedNetwork, state: MemberState) -> f64 {
    let changes = network.hosts.iter().flat_map(|host| &host.member_changes);
    changes.filter(|change| change.state == state).count() as f64
}

/// How long a note takes to reach all.
fn measure_note(network: &mut SimulatedNetwork, trial: Trial, measured: &mut Measured) {
    network.act(trial.size / 2, |host, now| {
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
    let time = network.run_until(trial.period * MAX_NOTE_PERIODS, is_known);
    measured.note = trial.optional_in_periods(time);
}

/// How long it takes until the first and until all have noticed a death.
fn measure_death(network: &mut SimulatedNetwork, trial: Trial, measured: &mut Measured) {
    let victim = trial.size - 1;
    let dead = network.hosts[victim].node.me().clone();
    network.kill(victim);
    let has_noticed = |host: &Host| host.node.state_of(&dead) == Some(MemberState::Dead);
    let timeout = trial.period * MAX_PERIODS;
    let first = network.run_until(timeout, |network| network.hosts.iter().any(has_noticed));
    let others = network.run_until(timeout, |network| {
        let alive = network.hosts.iter().filter(|host| host.alive);
        alive.into_iter().all(has_noticed)
    });
    let last = first.zip(others).map(|(first, others)| first + others);
    measured.first_detection = trial.optional_in_periods(first);
    measured.last_detection = trial.optional_in_periods(last);
}
