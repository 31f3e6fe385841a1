//! Several relay processes that are peers, and faults between them: cut links, pauses, kills,
//! restarts and datagrams of strangers. Tests wait for conditions, within the time limits that the
//! documentation states.
mod boundaries;
mod leases;
mod membership;
mod voters;

use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::path::PathBuf;
use thistlecroft::time::Duration;
use thistlecroft_peers::ProtocolTiming;
use thistlecroft_testbed::cluster_invariants::{ClusterLimits, check_cluster_invariants};
use thistlecroft_testbed::event_recorder::{Observation, RecordedEvent, RelayIndex};
use thistlecroft_testbed::link_fault::LinkFault;
use thistlecroft_testbed::process_cluster::{ClusterPlan, ProcessCluster};
use thistlecroft_testbed::relay_observer::parse_held_lease;

pub(crate) const PROBE_INTERVAL: Duration = Duration::from_millis(200);
pub(crate) const LEASE_TERM: Duration = Duration::from_millis(1_500);
/// Added to each time limit, for a machine that is busy with other things.
pub(crate) const BUSY_MACHINE_MARGIN: Duration = Duration::from_millis(10_000);

/// Returns the time within which all peers in a fleet of this size must consider a killed relay
/// dead.
pub(crate) fn detection_timeout(size: usize) -> Duration {
    ProtocolTiming {
        probe_interval: PROBE_INTERVAL,
    }
    .detection_bound(size, 1)
        + BUSY_MACHINE_MARGIN
}

/// Returns the path of a folder for one test, and removes what an earlier run has left there.
pub(crate) fn new_folder(name: &str) -> PathBuf {
    let path =
        std::env::temp_dir().join(format!("thistlecroft-peers-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

/// Opens a cluster of `relays`, none of which is started yet. The first `voters` of them are the
/// voters, and `peers` tells whether the settings permit peers.
pub(crate) fn open_cluster(
    name: &str,
    relays: usize,
    voters: usize,
    peers: bool,
) -> ProcessCluster {
    let program = vec![env!("CARGO_BIN_EXE_thistlecroft-relay").to_string()];
    let mut plan = ClusterPlan::small(
        program,
        relays,
        voters,
        (PROBE_INTERVAL, LEASE_TERM),
        new_folder(name),
    );
    plan.config.peers = peers;
    ProcessCluster::open(plan).unwrap()
}

/// Opens a cluster of `relays`, starts the first `started` of them, and waits until they see each
/// other.
pub(crate) fn start_cluster(name: &str, relays: usize, started: usize) -> ProcessCluster {
    let mut cluster = open_cluster(name, relays, 3, true);
    let all: Vec<usize> = (0..started).collect();
    // All start at the same time, so that the seeds are still starting as well.
    cluster.start_all(&all).unwrap();
    cluster
        .wait_until(PROBE_INTERVAL * 40.0 + BUSY_MACHINE_MARGIN, |cluster| {
            cluster.membership_is_consistent(&all)
        })
        .expect("all relays see each other");
    cluster
}

pub(crate) fn read_number(view: &serde_json::Value, path: &[&str]) -> u64 {
    path.iter()
        .fold(view, |at, key| &at[key])
        .as_u64()
        .unwrap_or_default()
}

/// Returns the value of a counter that the relay reports, or 0 if the relay does not answer.
pub(crate) fn counter(cluster: &ProcessCluster, relay: usize, name: &str) -> u64 {
    cluster
        .membership(relay)
        .map_or(0, |view| read_number(&view, &["counts", name]))
}

/// Waits until each of these relays has sent `more` probes since now, and thus has had the time to
/// detect faults.
pub(crate) fn wait_for_probes(cluster: &ProcessCluster, relays: &[usize], more: u64) {
    let counts = |cluster: &ProcessCluster| -> Vec<u64> {
        relays
            .iter()
            .map(|relay| counter(cluster, *relay, "probes"))
            .collect()
    };
    let before = counts(cluster);
    let done = |cluster: &ProcessCluster| {
        counts(cluster)
            .iter()
            .zip(&before)
            .all(|(now, before)| *now >= before + more)
    };
    cluster
        .wait_until(
            PROBE_INTERVAL * (3.0 * more as f64) + BUSY_MACHINE_MARGIN,
            done,
        )
        .expect("the relays send probes");
}
