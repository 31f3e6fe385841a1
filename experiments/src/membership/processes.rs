//! Runs trials whose relays are processes on this machine.
use super::{MAX_NOTE_WAIT_PERIODS, MAX_WAIT_PERIODS, Measurements, SECONDS_PER_HOUR, Trial};
use std::path::Path;
use thiserror::Error;
use thistlecroft::time::Duration;
use thistlecroft_peers::ProtocolTiming;
use thistlecroft_testbed::clock::to_std;
use thistlecroft_testbed::link_fault::LinkFault;
use thistlecroft_testbed::process_cluster::{ClusterPlan, ProcessCluster};

const MAX_VOTERS: usize = 3;
const LEASE_TERM: Duration = Duration::from_millis(2_000);
/// Probe periods in which gossip about the start ends and voters begin to grant leases, which they
/// do not in the first lease term after their start.
const SETTLING_PERIODS: f64 = 30.0;
/// How long traffic, suspicions and CPU time are measured while no relay starts or stops.
const CALM_TIME: Duration = Duration::from_millis(10_000);

/// Why a trial with processes could not be run.
#[derive(Debug, Error)]
#[error("{0}")]
pub struct MembershipError(String);

/// Runs one trial, with a process of `program` for each relay and their files below `folder`.
///
/// # Errors
/// Returns an error if the processes can't be set up or started.
pub fn run_with_processes(
    trial: Trial,
    program: &[String],
    folder: &Path,
) -> Result<Measurements, MembershipError> {
    let mut cluster = Cluster::start(trial, program, folder)?;
    let mut measured = Measurements {
        detection_bound: trial.in_periods(cluster.protocol_timing().detection_bound(trial.size, 0)),
        ..Measurements::default()
    };
    let relays = cluster.relays.clone();
    let join = cluster.wait_for(MAX_WAIT_PERIODS, |cluster| {
        cluster.membership_is_consistent(&relays)
    });
    measured.join = trial.optional_in_periods(join);
    cluster.set_loss();
    cluster.measure_calm(&mut measured);
    cluster.measure_note(&mut measured);
    cluster.measure_death(&mut measured);
    Ok(measured)
}

struct Cluster {
    trial: Trial,
    processes: ProcessCluster,
    relays: Vec<usize>,
}

impl Cluster {
    fn start(trial: Trial, program: &[String], folder: &Path) -> Result<Cluster, MembershipError> {
        let size = trial.size;
        let mut plan = ClusterPlan::small(
            program.to_vec(),
            size,
            MAX_VOTERS.min(size),
            (trial.period, LEASE_TERM),
            folder.join(format!("peers-{size}")),
        );
        plan.seed = trial.seed;
        plan.backends.seed = trial.seed;
        plan.config.health_checks = false;
        let failed = |error: &dyn ToString| MembershipError(error.to_string());
        let mut processes = ProcessCluster::open(plan).map_err(|error| failed(&error))?;
        let relays: Vec<usize> = (0..size).collect();
        processes
            .start_all(&relays)
            .map_err(|error| failed(&error))?;
        Ok(Cluster {
            trial,
            processes,
            relays,
        })
    }

    fn protocol_timing(&self) -> ProtocolTiming {
        ProtocolTiming {
            probe_interval: self.trial.period,
        }
    }

    fn wait_for(&self, periods: f64, is_met: impl Fn(&ProcessCluster) -> bool) -> Option<Duration> {
        self.processes
            .wait_until(self.trial.period * periods, is_met)
    }

    fn set_loss(&self) {
        let loss = self.trial.loss;
        let fault = (loss > 0.0).then(|| LinkFault {
            loss,
            ..LinkFault::default()
        });
        self.processes
            .set_link_fault(&self.relays, &self.relays, fault);
    }

    /// Returns the sum of a counter over all relays.
    fn sum_counter(&self, name: &str) -> u64 {
        let relays = self.relays.iter();
        relays
            .filter_map(|&relay| self.processes.membership(relay)?["counts"][name].as_u64())
            .sum()
    }

    fn total_cpu_time(&self) -> Duration {
        let relays = self.relays.iter();
        relays
            .filter_map(|&relay| self.processes.cpu_time(relay))
            .fold(Duration::ZERO, |sum, time| sum + time)
    }

    /// Measures traffic, false suspicions and CPU time while no relay starts or stops. The probe
    /// periods are derived from the probe counters (each relay sends one probe per period), because
    /// reading the counters of all relays takes time beyond `CALM_TIME`.
    fn measure_calm(&self, measured: &mut Measurements) {
        std::thread::sleep(to_std(self.trial.period * SETTLING_PERIODS));
        let size = self.trial.size as f64;
        let probes_before = self.sum_counter("probes");
        let bytes_before = self.sum_counter("sent_bytes");
        let suspected_before = self.sum_counter("suspected");
        let cpu_before = self.total_cpu_time();
        std::thread::sleep(to_std(CALM_TIME));
        let cpu = self.total_cpu_time() - cpu_before;
        measured.cpu_us_per_s = Some(cpu.as_micros() as f64 / CALM_TIME.as_secs_f64() / size);
        let periods = (self.sum_counter("probes") - probes_before) as f64 / size;
        let bytes = (self.sum_counter("sent_bytes") - bytes_before) as f64;
        let suspected = (self.sum_counter("suspected") - suspected_before) as f64;
        measured.bytes_per_period = bytes / size / periods.max(1.0);
        measured.suspicions_per_hour = suspected / periods.max(1.0) * SECONDS_PER_HOUR;
    }

    fn measure_note(&self, measured: &mut Measurements) {
        let announcer = self.trial.size / 2;
        self.processes
            .admin_command(announcer, "NOTE subject value");
        let knows_note = |cluster: &ProcessCluster, relay| {
            let notes = cluster.admin_command(relay, "NOTES");
            notes.is_some_and(|notes| notes.contains("\"value\""))
        };
        let time = self.wait_for(MAX_NOTE_WAIT_PERIODS, |cluster| {
            self.relays.iter().all(|&relay| knows_note(cluster, relay))
        });
        measured.note_known = self.trial.optional_in_periods(time);
    }

    fn measure_death(&mut self, measured: &mut Measurements) {
        let victim = self.trial.size - 1;
        self.processes.kill(victim);
        let dead = format!("relay-{victim}");
        let survivors = &self.relays[..victim];
        let first = self.wait_for(MAX_WAIT_PERIODS, |cluster| {
            let mut survivors = survivors.iter();
            survivors.any(|&relay| sees_dead(cluster, relay, &dead))
        });
        let others = self.wait_for(MAX_WAIT_PERIODS, |cluster| {
            let mut survivors = survivors.iter();
            survivors.all(|&relay| sees_dead(cluster, relay, &dead))
        });
        let last = first.zip(others).map(|(first, others)| first + others);
        measured.first_detection = self.trial.optional_in_periods(first);
        measured.last_detection = self.trial.optional_in_periods(last);
    }
}

/// Returns whether a relay reports at its admin port that the relay called `name` is dead.
fn sees_dead(cluster: &ProcessCluster, relay: usize, name: &str) -> bool {
    let membership = cluster.membership(relay);
    let peers = membership
        .as_ref()
        .and_then(|view| view["peers"].as_array());
    let is_dead = |peer: &serde_json::Value| peer["name"] == name && peer["standing"] == "gone";
    peers.is_some_and(|peers| peers.iter().any(is_dead))
}
