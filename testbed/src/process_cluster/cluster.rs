//! A running cluster: its relays, the network between them, and the conditions that tests wait for.
use super::error::ProcessClusterError;
use super::plan::ClusterPlan;
use crate::clock::{Stopwatch, from_std, to_std};
use crate::event_recorder::{EventLog, EventRecorder, Observation, RelayIndex, event_recorder};
use crate::link_fault::LinkFault;
use crate::loopback::free_address;
use crate::relay_network::{NetworkCommand, OpenedNetwork, RelayNetwork};
use crate::relay_observer::{RelayObserver, parse_members_seen};
use crate::relay_process::{ADMIN_COMMAND_TIMEOUT, PeersConfig, RelayOptions, RelayProcess};
use crate::simulated_backends::{OpenedBackends, SimulatedBackends};
use crate::socket_holder::send_admin_command;
use crate::traffic::scattered_id;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::time::Instant;
use thistlecroft::time::Duration;

const POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(20);
/// The name of every fault of a link in recorded events.
const LINK_FAULT_NAME: &str = "bent";
/// The difference between the seeds of two successive starts.
const SEEDS_PER_START: u64 = 1_000;

/// A running cluster, whose relays are killed when this value is dropped.
pub struct ProcessCluster {
    /// The clock of the run.
    pub clock: Stopwatch,
    /// The recorder of the cluster's observations.
    pub recorder: EventRecorder,
    /// The log of the recorded observations.
    pub events: EventLog,
    /// The backends and discovery agents.
    pub backends: OpenedBackends,
    /// The network between the relays.
    pub network: OpenedNetwork,
    plan: ClusterPlan,
    peers: PeersConfig,
    /// The process of each relay; `None` if the relay does not run.
    relays: Vec<Option<RelayProcess>>,
    admin_addresses: Vec<SocketAddr>,
    listen_addresses: Vec<SocketAddr>,
    /// The number of relay processes started so far.
    starts: u64,
}

impl ProcessCluster {
    /// Starts the backends, the discovery agents and the network, but no relays.
    ///
    /// # Errors
    /// Returns an error if a socket, thread or file can't be created.
    pub fn open(plan: ClusterPlan) -> Result<ProcessCluster, ProcessClusterError> {
        let (recorder, events) = event_recorder();
        let clock = Stopwatch::start();
        let relays = plan.backends.relays;
        let backends = SimulatedBackends::open(plan.backends.clone(), clock, recorder.clone())?;
        let network = RelayNetwork::open(relays, plan.seed, clock, recorder.clone())?;
        std::fs::create_dir_all(&plan.folder)?;
        let key_file = plan.folder.join("peers.key");
        std::fs::write(&key_file, "a key for the testbed alone\n")?;
        let peers = PeersConfig {
            period: plan.period,
            lease: plan.lease,
            voters: plan.voters,
            key_file,
        };
        let free_addresses =
            || -> io::Result<Vec<SocketAddr>> { (0..relays).map(|_| free_address()).collect() };
        Ok(ProcessCluster {
            clock,
            recorder,
            events,
            backends,
            network,
            plan,
            peers,
            relays: (0..relays).map(|_| None).collect(),
            listen_addresses: free_addresses()?,
            admin_addresses: free_addresses()?,
            starts: 0,
        })
    }

    fn record(&self, observation: Observation) {
        self.recorder.record(self.clock.now(), observation);
    }

    /// Starts the given relays at the same time and waits until all are ready.
    ///
    /// # Errors
    /// Returns the error of the first relay that can't be started or is not ready in time.
    pub fn start_all(&mut self, indices: &[usize]) -> Result<(), ProcessClusterError> {
        for &index in indices {
            self.spawn(index, self.operator_config(index))?;
        }
        for &index in indices {
            self.wait_ready(index)?;
        }
        Ok(())
    }

    /// Starts a relay and waits until it is ready.
    ///
    /// # Errors
    /// Returns an error if the relay can't be started, or is not ready in time.
    pub fn start(&mut self, index: usize) -> Result<(), ProcessClusterError> {
        self.start_with_config(index, self.operator_config(index))
    }

    /// Starts a relay with the given operator configuration and waits until it is ready.
    ///
    /// # Errors
    /// Returns the same errors as [`ProcessCluster::start`].
    pub fn start_with_config(
        &mut self,
        index: usize,
        operator_config: String,
    ) -> Result<(), ProcessClusterError> {
        self.spawn(index, operator_config)?;
        let ready = self.wait_ready(index);
        if ready.is_err() {
            self.relays[index] = None;
        }
        ready
    }

    fn wait_ready(&mut self, index: usize) -> Result<(), ProcessClusterError> {
        if let Some(relay) = &mut self.relays[index] {
            relay.wait_ready()?;
        }
        self.record(Observation::RelayStarted {
            relay: relay_index(index),
        });
        Ok(())
    }

    fn spawn(&mut self, index: usize, operator_config: String) -> Result<(), ProcessClusterError> {
        self.starts += 1;
        let start_seed = self.starts * SEEDS_PER_START + index as u64;
        let options = RelayOptions {
            name: relay_name(index),
            index,
            relays: self.relays.len(),
            zone: 0,
            listen: self.listen_addresses[index],
            discovery: self.backends.agent_addresses[index],
            seed: scattered_id(self.plan.seed.wrapping_add(start_seed)),
            cached_endpoints: None,
            operator_config: Some(operator_config),
            admin: Some(self.admin_addresses[index]),
            socket_holder: None,
        };
        let relay = RelayProcess::spawn(
            &self.plan.program,
            &self.plan.config,
            &options,
            &self.plan.folder,
        )?;
        self.relays[index] = Some(relay);
        Ok(())
    }

    /// Returns the default operator configuration of a relay.
    pub fn operator_config(&self, index: usize) -> String {
        let addresses = &self.network.addresses;
        self.peers.toml_table(&addresses[index], addresses)
    }

    /// Replaces the operator configuration of a relay and makes the relay reload it; does nothing
    /// if the relay does not run.
    ///
    /// # Errors
    /// Returns an error if the file can't be written.
    pub fn replace_operator_config(&self, index: usize, text: &str) -> io::Result<()> {
        self.relays[index]
            .as_ref()
            .map_or(Ok(()), |relay| relay.replace_operator_config(text))
    }

    /// Kills a relay's process.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut relay) = self.relays[index].take() {
            self.record(Observation::RelayKilled {
                relay: relay_index(index),
            });
            relay.kill();
        }
    }

    /// Pauses or resumes a relay's process.
    pub fn set_paused(&mut self, index: usize, paused: bool) {
        let Some(relay) = &self.relays[index] else {
            return;
        };
        self.record(Observation::RelayPaused {
            relay: relay_index(index),
            paused,
        });
        relay.set_paused(paused);
    }

    /// Requests a graceful shutdown of a relay; returns whether its process exited successfully
    /// within the given time.
    pub fn stop(&mut self, index: usize, within: Duration) -> bool {
        let Some(mut relay) = self.relays[index].take() else {
            return false;
        };
        self.record(Observation::RelayStopRequested {
            relay: relay_index(index),
        });
        relay.request_stop();
        let status = relay.wait_for_exit(within);
        self.record(Observation::RelayStopped {
            relay: relay_index(index),
        });
        status.is_some_and(|status| status.success())
    }

    /// Sets the fault of the links from each relay of `from` to each relay of `to`, in this
    /// direction only; `None` clears it.
    pub fn set_link_fault(&self, from: &[usize], to: &[usize], fault: Option<LinkFault>) {
        let links = from
            .iter()
            .flat_map(|sender| to.iter().map(move |receiver| (*sender, *receiver)))
            .filter(|(sender, receiver)| sender != receiver)
            .map(|(sender, receiver)| (relay_index(sender), relay_index(receiver)))
            .collect();
        self.network
            .event_loop
            .command(NetworkCommand::SetLinkFault(links, fault, LINK_FAULT_NAME));
    }

    /// Partitions two sets of relays from each other, in both directions.
    pub fn partition(&self, first: &[usize], second: &[usize]) {
        self.set_link_fault(first, second, Some(LinkFault::CUT));
        self.set_link_fault(second, first, Some(LinkFault::CUT));
    }

    /// Clears the faults of all links.
    pub fn heal_partitions(&self) {
        let all: Vec<usize> = (0..self.relays.len()).collect();
        self.set_link_fault(&all, &all, None);
    }

    /// Starts an observer that records which peers a relay sees alive and, if `lease` names a
    /// subject, whether the relay holds the lease of that subject.
    pub fn observe(&self, index: usize, lease: Option<&'static str>) -> RelayObserver {
        RelayObserver::open(
            relay_index(index),
            self.admin_addresses[index],
            lease,
            self.clock,
            self.recorder.clone(),
        )
    }

    /// Returns a relay's answer to an admin command, or `None` if it does not answer.
    pub fn admin_command(&self, index: usize, command: &str) -> Option<String> {
        send_admin_command(self.admin_addresses[index], command, ADMIN_COMMAND_TIMEOUT).ok()
    }

    /// Returns a relay's answer to the admin command `PEERS` as JSON, or `None` if it does not
    /// answer.
    pub fn membership(&self, index: usize) -> Option<serde_json::Value> {
        let answer = self.admin_command(index, "PEERS")?;
        serde_json::from_str(answer.strip_prefix("200 ")?).ok()
    }

    /// Returns whether a relay sees exactly the expected relays alive.
    pub fn sees_exactly(&self, index: usize, expected: &[usize]) -> bool {
        let expected: BTreeSet<String> = expected.iter().copied().map(relay_name).collect();
        let answer = self.admin_command(index, "PEERS");
        let members = answer.as_deref().and_then(parse_members_seen);
        members.is_some_and(|members| members.into_iter().collect::<BTreeSet<_>>() == expected)
    }

    /// Returns whether each of the given relays sees exactly these relays alive.
    pub fn membership_is_consistent(&self, indices: &[usize]) -> bool {
        indices
            .iter()
            .all(|index| self.sees_exactly(*index, indices))
    }

    /// Waits until the predicate holds; returns how long that took, or `None` if the predicate did
    /// not hold within the given time.
    pub fn wait_until(
        &self,
        within: Duration,
        predicate: impl Fn(&ProcessCluster) -> bool,
    ) -> Option<Duration> {
        let started_at = Instant::now();
        loop {
            if predicate(self) {
                return Some(from_std(started_at.elapsed()));
            }
            if started_at.elapsed() > to_std(within) {
                return None;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the CPU time of a relay's process so far, or `None` if the relay does not run.
    pub fn cpu_time(&self, index: usize) -> Option<Duration> {
        let (cpu_time, _) = self.relays[index].as_ref()?.cost()?;
        Some(cpu_time)
    }

    /// Returns the resident memory of a relay in bytes, or `None` if the relay does not run.
    pub fn resident_bytes(&self, index: usize) -> Option<u64> {
        let (_, resident_bytes) = self.relays[index].as_ref()?.cost()?;
        Some(resident_bytes)
    }

    /// Returns the log of a relay, which all its processes append to.
    pub fn log(&self, index: usize) -> String {
        let file = format!("{}.log", relay_name(index));
        std::fs::read_to_string(self.plan.folder.join(file)).unwrap_or_default()
    }
}

fn relay_index(index: usize) -> RelayIndex {
    RelayIndex(index as u16)
}

fn relay_name(index: usize) -> String {
    format!("relay-{index}")
}
