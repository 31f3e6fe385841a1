//! Trials with relays as processes.
use super::{MAX_NOTE_PERIODS, MAX_PERIODS, Measured, SECONDS_PER_HOUR, Trial};
use std::path::Path;
use thiserror::Error;
use thistlecroft::time::Duration;
use thistlecroft_peers::ProtocolTiming;
use thistlecroft_testbed::clock::to_std;
use thistlecroft_testbed::link_fault::LinkFault;
use thistlecroft_testbed::process_cluster::{ClusterPlan, ProcessCluster};

const MAX_VOTERS: usize = 3;
const LEASE: Duration = Duration::from_millis(2_000);
/// Within this many periods the news of the start has gone round, and voters are no longer silent.
const SETTLING_PERIODS: f64 = 30.0;
const CALM: Duration = Duration::from_millis(10_000);

/// Why a trial with processes could not be run.
#[derive(Debug, Error)]
#[error("{0}")]
pub struct MembershipError(String);

/// Runs the program as so many relays.
///
/// # Errors
/// What could not be set up.
pub fn run_with_processes(
    trial: Trial,
    program: &[String],
    folder: &Path,
) -> Result<Measured, MembershipError> {
    let mut cluster = Cluster::start(trial, program, folder)?;
    let mut measured = Measured {
        detection_bound: trial.in_periods(cluster.pace().detection_bound(trial.size, 0)),
        ..Measured::default()
    };
    let relays = cluster.relays.clone();
    let join = cluster.wait(MAX_PERIODS, |cluster| {
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
            (trial.period, LEASE),
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

    fn pace(&self) -> ProtocolTiming {
        ProtocolTiming {
            probe_interval: self.trial.period,
        }
    }

    fn wait(&self, periods: f64, is_met: impl Fn(&ProcessCluster) -> bool) -> Option<Duration> {
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

    /// A counter's sum over all relays.
    fn count(&self, name: &str) -> u64 {
        let views = self.relays.iter();
        views
            .filter_map(|&relay| self.processes.membership(relay)?["counts"][name].as_u64())
            .sum()
    }

    fn cpu_time(&self) -> Duration {
        let relays = self.relays.iter();
        relays
            .filter_map(|&relay| self.processes.cpu_time(relay))
            .fold(Duration::ZERO, |sum, time| sum + time)
    }

    /// Periods are counted by probes, of which each relay sends one a period: the counters
    /// themselves are asked for outside of it.
    fn measure_calm(&self, measured: &mut Measured) {
        std::thread::sleep(to_std(self.trial.period * SETTLING_PERIODS));
        let size = self.trial.size as f64;
        let probes_before = self.count("probes");
        let bytes_before = self.count("sent_bytes");
        let suspected_before = self.count("suspected");
        let cpu_before = self.cpu_time();
        std::thread::sleep(to_std(CALM));
        let cpu = self.cpu_time() - cpu_before;
        measured.cpu_us = Some(cpu.as_micros() as f64 / CALM.as_secs_f64() / size);
        let periods = (self.count("probes") - probes_before) as f64 / size;
        let bytes = (self.count("sent_bytes") - bytes_before) as f64;
        let suspected = (self.count("suspected") - suspected_before) as f64;
        measured.bytes = bytes / size / periods.max(1.0);
        measured.suspicions = suspected / periods.max(1.0) * SECONDS_PER_HOUR;
    }

    fn measure_note(&self, measured: &mut Measured) {
        let announcer = self.trial.size / 2;
        self.processes
            .admin_command(announcer, "NOTE subject value");
        let knows = |cluster: &ProcessCluster, relay| {
            let notes = cluster.admin_command(relay, "NOTES");
            notes.is_some_and(|notes| notes.contains("\"value\""))
        };
        let time = self.wait(MAX_NOTE_PERIODS, |cluster| {
            self.relays.iter().all(|&relay| knows(cluster, relay))
        });
        measured.note = self.trial.optional_in_periods(time);
    }

    fn measure_death(&mut self, measured: &mut Measured) {
        let victim = self.trial.size - 1;
        self.processes.kill(victim);
        let dead = format!("relay-{victim}");
        let survivors = &self.relays[..victim];
        let first = self.wait(MAX_PERIODS, |cluster| {
            let mut survivors = survivors.iter();
            survivors.any(|&relay| sees_dead(cluster, relay, &dead))
        });
        let others = self.wait(MAX_PERIODS, |cluster| {
            let mut survivors = survivors.iter();
            survivors.all(|&relay| sees_dead(cluster, relay, &dead))
        });
        let last = first.zip(others).map(|(first, others)| first + others);
        measured.first_detection = self.trial.optional_in_periods(first);
        measured.last_detection = self.trial.optional_in_periods(last);
    }
}

/// Whether a relay says at its admin port that another is dead.
fn sees_dead(cluster: &ProcessCluster, relay: usize, name: &str) -> bool {
    let membership = cluster.membership(relay);
    let peers = membership
        .as_ref()
        .and_then(|view| view["peers"].as_array());
    let is_dead = |peer: &serde_json::Value| peer["name"] == name && peer["standing"] == "gone";
    peers.is_some_and(|peers| peers.iter().any(is_dead))
}
