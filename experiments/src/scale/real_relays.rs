//! Real relays in a fleet of hollow ones: processes of the relay, on a simulated platform, that are
//! members of the same fleet. Hollow relays are only representative if real relays send as much.
use super::config::ScaleConfig;
use super::error::ScaleError;
use super::layout::Role;
use serde::Serialize;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Instant;
use thistlecroft_peers::NodeCounts;
use thistlecroft_testbed::loopback::free_address;
use thistlecroft_testbed::process_cluster::{ClusterPlan, ProcessCluster};

/// Size of the IPv4 and UDP headers of a datagram.
const HEADER_BYTES: u64 = 28;

/// Traffic and cost of a real relay while the fleet is calm.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct RealFigures {
    /// Number of real relays.
    pub relays: usize,
    /// Bytes per second sent by the relay that sent least.
    pub sent_least: f64,
    /// Bytes per second that a relay sent, in the mean.
    pub sent_mean: f64,
    /// Bytes per second sent by the relay that sent most.
    pub sent_most: f64,
    /// Bytes per second that a relay received, in the mean.
    pub received_mean: f64,
    /// CPU usage in percent of a core, in the mean.
    pub cpu_percent: f64,
    /// Resident memory in megabytes, in the mean.
    pub memory_mb: f64,
    /// Size of the answer to `PEERS` at the admin port of the first relay, in bytes.
    pub view_bytes: usize,
}

fn failed(error: impl ToString) -> ScaleError {
    ScaleError::RealRelays(error.to_string())
}

pub(super) struct RealRelays {
    cluster: ProcessCluster,
    count: usize,
    start_samples: Vec<Sample>,
    started_at: Instant,
}

#[derive(Clone, Copy, Default)]
struct Sample {
    counts: NodeCounts,
    cpu_s: f64,
}

impl RealRelays {
    /// Starts the real relays. `seeds` are addresses of hollow members.
    pub(super) fn start(
        config: &ScaleConfig,
        seeds: &[SocketAddr],
        program: &[String],
    ) -> Result<RealRelays, ScaleError> {
        let folder =
            std::env::temp_dir().join(format!("thistlecroft-scale-{}", std::process::id()));
        let times = (config.period(), config.term());
        let mut plan = ClusterPlan::small(
            program.to_vec(),
            config.real_relays,
            0,
            times,
            folder.clone(),
        );
        plan.config.health_checks = false;
        let mut cluster = ProcessCluster::open(plan).map_err(failed)?;
        let key = folder.join("scale.key");
        std::fs::write(&key, &config.node_config(Role::Relay).secret).map_err(failed)?;
        for number in 0..config.real_relays {
            let listen = free_address().map_err(failed)?;
            cluster
                .start_with_config(number, peers_table(config, listen, seeds, &key))
                .map_err(failed)?;
        }
        let start_samples = vec![Sample::default(); config.real_relays];
        Ok(RealRelays {
            cluster,
            count: config.real_relays,
            start_samples,
            started_at: Instant::now(),
        })
    }

    /// Claims a lease at each real relay, so that the relay renews its lease sessions as hollow
    /// relays do.
    pub(super) fn keep_leases(&self) {
        for number in 0..self.count {
            self.cluster
                .admin_command(number, &format!("LEASE real-{number}"));
        }
    }

    /// Starts the measurement.
    pub(super) fn begin_measurement(&mut self) {
        self.start_samples = (0..self.count).map(|number| self.sample(number)).collect();
        self.started_at = Instant::now();
    }

    /// Returns the figures since the start of the measurement.
    pub(super) fn figures(&self) -> RealFigures {
        let seconds = self.started_at.elapsed().as_secs_f64();
        let mut figures = RealFigures {
            relays: self.count,
            sent_least: f64::MAX,
            ..RealFigures::default()
        };
        let each = self.count.max(1) as f64;
        for (number, before) in self.start_samples.iter().enumerate() {
            let now = self.sample(number);
            let bytes = |payload: u64, datagrams: u64| {
                (payload + datagrams * HEADER_BYTES) as f64 / seconds
            };
            let (new, old) = (&now.counts, &before.counts);
            let sent = bytes(new.sent_bytes - old.sent_bytes, new.sent - old.sent);
            let received = bytes(
                new.received_bytes - old.received_bytes,
                new.received - old.received,
            );
            figures.sent_least = figures.sent_least.min(sent);
            figures.sent_most = figures.sent_most.max(sent);
            figures.sent_mean += sent / each;
            figures.received_mean += received / each;
            figures.cpu_percent += (now.cpu_s - before.cpu_s) / seconds * 100.0 / each;
            figures.memory_mb +=
                self.cluster.resident_bytes(number).unwrap_or(0) as f64 / 1e6 / each;
        }
        figures.view_bytes = self
            .cluster
            .admin_command(0, "PEERS")
            .map_or(0, |view| view.len());
        figures
    }

    fn sample(&self, number: usize) -> Sample {
        let count = |view: &serde_json::Value, name: &str| {
            view["counts"][name].as_u64().unwrap_or_default()
        };
        let cpu_s = self
            .cluster
            .cpu_time(number)
            .map_or(0.0, |cpu| cpu.as_secs_f64());
        let Some(view) = self.cluster.membership(number) else {
            return Sample {
                cpu_s,
                ..Sample::default()
            };
        };
        let counts = NodeCounts {
            sent: count(&view, "sent"),
            sent_bytes: count(&view, "sent_bytes"),
            received: count(&view, "heard"),
            received_bytes: count(&view, "heard_bytes"),
            ..NodeCounts::default()
        };
        Sample { counts, cpu_s }
    }
}

/// Returns the `[peers]` table of a real relay's operator configuration.
fn peers_table(
    config: &ScaleConfig,
    listen: SocketAddr,
    seeds: &[SocketAddr],
    key: &Path,
) -> String {
    let layout = config.layout();
    let quoted = |all: Vec<String>| {
        all.iter()
            .map(|one| format!("\"{one}\""))
            .collect::<Vec<_>>()
            .join(", ")
    };
    let seeds = quoted(seeds.iter().map(ToString::to_string).collect());
    let voters = quoted((0..config.voters).map(|voter| layout.name(voter)).collect());
    format!(
        "\n[peers]\nfleet = \"scale\"\nlisten = \"{listen}\"\nkey_file = \"{}\"\nseeds = [{seeds}]\n\
         voters = [{voters}]\nperiod = \"{}ms\"\nlease = \"{}ms\"\nrate = {}\n",
        key.display(),
        config.period_ms,
        config.term_ms,
        config.rate
    )
}
