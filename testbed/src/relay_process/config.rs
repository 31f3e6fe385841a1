//! The configuration of a relay in the platform's JSON format. Only this module of the testbed
//! knows its keys.
use crate::relay_network::PeerAddress;
use crate::socket_holder::SocketHolder;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use thistlecroft::deployment::{DeduplicationScope, Idempotency};
use thistlecroft::time::Duration;

/// A listener in the platform's settings.
#[derive(Clone, Debug)]
pub struct ListenerConfig {
    /// The listener's name.
    pub name: String,
    /// How long the listener's clients wait for their answers.
    pub answer_timeout: Duration,
    /// The latency objective of establishing a session.
    pub handshake_target: Duration,
    /// The latency objective of messages.
    pub message_target: Duration,
    /// Whether the listener's sessions may be attempted again.
    pub idempotency: Idempotency,
    /// The weight of the listener's sessions relative to those of other listeners.
    pub priority_weight: f64,
}

/// The settings that all relays of a run share.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// The availability zones.
    pub zones: Vec<String>,
    /// The listeners.
    pub listeners: Vec<ListenerConfig>,
    /// The time after which an attempt has failed if its connection is not established.
    pub connect_timeout: Duration,
    /// The maximum number of attempts of a session.
    pub max_attempts: u32,
    /// The longest time that a rejection may ask a client to wait; `None` if it must not ask.
    pub max_retry_after: Option<Duration>,
    /// Whether relays may send health checks.
    pub health_checks: bool,
    /// Whether clients belong to groups.
    pub groups: bool,
    /// Whether backends report each session's load.
    pub reports_load: bool,
    /// The capacity of a backend at its start, as a fraction of its full capacity.
    pub warm_up_initial_share: f64,
    /// The time that a backend takes to warm up.
    pub warm_up: Duration,
    /// The multiple of its present capacity that overloads a backend while it warms up.
    pub warm_up_overload_factor: f64,
    /// The time window in which attempts count towards an overload.
    pub warm_up_overload_window: Duration,
    /// The memory limit of a relay in MiB.
    pub memory_mb: u64,
    /// The maximum number of sockets of a relay.
    pub sockets: u64,
    /// Whether a session may have two attempts under way at once.
    pub hedging: bool,
    /// Whether relays may exchange messages with one another.
    pub peers: bool,
}

/// The peer settings of the operator configuration, apart from each relay's own addresses.
#[derive(Clone, Debug)]
pub struct PeersConfig {
    /// The period of the membership protocol.
    pub period: Duration,
    /// The duration of leases.
    pub lease: Duration,
    /// The number of relays, from the first on, that grant leases and serve as seeds. Without
    /// voters the first relay is the only seed.
    pub voters: usize,
    /// The path of the file with the key that the relays share.
    pub key_file: PathBuf,
}

impl PeersConfig {
    /// Returns the `[peers]` table of the operator configuration for the relay with the address
    /// `relay_address` in a fleet with the addresses `fleet`.
    pub fn toml_table(&self, relay_address: &PeerAddress, fleet: &[PeerAddress]) -> String {
        let seeds = fleet
            .iter()
            .take(self.voters.max(1))
            .map(|address| address.public.to_string());
        let voters = (0..self.voters.min(fleet.len())).map(|index| format!("relay-{index}"));
        let voters = match self.voters {
            0 => String::new(),
            _ => format!("voters = [{}]\n", quoted_list(voters)),
        };
        format!(
            "\n[peers]\nfleet = \"test\"\nlisten = \"{}\"\nadvertise = \"{}\"\nkey_file = \"{}\"\nseeds = [{}]\n{voters}period = \"{}us\"\nlease = \"{}us\"\n",
            relay_address.bind,
            relay_address.public,
            self.key_file.display(),
            quoted_list(seeds),
            self.period.as_micros(),
            self.lease.as_micros()
        )
    }
}

fn quoted_list(items: impl Iterator<Item = String>) -> String {
    let quoted: Vec<String> = items.map(|item| format!("\"{item}\"")).collect();
    quoted.join(", ")
}

/// The options of one relay, besides the settings that all relays share.
#[derive(Clone, Debug)]
pub struct RelayOptions {
    /// The relay's name.
    pub name: String,
    /// The relay's index among the relays.
    pub index: usize,
    /// The number of relays.
    pub relays: usize,
    /// The index of the relay's availability zone in the settings.
    pub zone: usize,
    /// The address at which the relay listens for clients.
    pub listen: SocketAddr,
    /// The address of the relay's discovery agent.
    pub discovery: SocketAddr,
    /// The seed of the relay's random numbers.
    pub seed: u64,
    /// The endpoint list that the relay last knew, in the JSON format of discovery.
    pub cached_endpoints: Option<Value>,
    /// The text of the relay's operator configuration, if it has one.
    pub operator_config: Option<String>,
    /// The address at which the relay listens for admin commands, if it has an admin port.
    pub admin: Option<SocketAddr>,
    /// The holder of the relay's listening socket, if more than one of its processes may run at a
    /// time.
    pub socket_holder: Option<Arc<SocketHolder>>,
}

/// Returns the contents of the file that `ROUTER_CONFIG` names.
pub fn configuration(fleet: &FleetConfig, relay: &RelayOptions) -> String {
    let mut document = json!({
        "name": relay.name,
        "listen": relay.listen.to_string(),
        "discovery": relay.discovery.to_string(),
        "seed": format!("{:016x}", relay.seed),
        "limits": {"cores": 1.0, "memory_mb": fleet.memory_mb, "sockets": fleet.sockets},
        "known": relay.cached_endpoints,
        "settings": settings(fleet, relay),
    });
    if let Some(admin) = relay.admin {
        document["admin_addr"] = json!(admin.to_string());
    }
    document.to_string()
}

fn settings(fleet: &FleetConfig, relay: &RelayOptions) -> Value {
    let listeners: Vec<Value> = fleet.listeners.iter().map(listener_settings).collect();
    let message_targets: Vec<u64> = fleet
        .listeners
        .iter()
        .map(|listener| listener.message_target.as_micros())
        .collect();
    json!({
        "az": relay.zone,
        "zones": fleet.zones,
        "balancers": relay.relays,
        "me": relay.index,
        "tickUs": 2_000,
        "discovery": "automatic",
        "listeners": listeners,
        "extra": {
            "groups": fleet.groups,
            "tellsDelay": false,
            "tellsLoad": fleet.reports_load,
            "messageAimUs": message_targets,
        },
        "invariants": {
            "askWithinUs": 1,
            "coldUs": fleet.warm_up.as_micros(),
            "fallUs": fleet.warm_up_overload_window.as_micros(),
            "overloadFactor": fleet.warm_up_overload_factor,
            "startCapacity": fleet.warm_up_initial_share,
        },
        "permissions": permissions(fleet),
        "report": {"fields": ["inflight", "x0"], "how": "pull"},
    })
}

fn permissions(fleet: &FleetConfig) -> Value {
    let max_retry_after = fleet.max_retry_after.unwrap_or(Duration::ZERO);
    json!({
        "connIdleUs": 9_000_000,
        "dialTimeoutUs": fleet.connect_timeout.as_micros(),
        "maxDials": fleet.max_attempts,
        "maxRetryAfterUs": max_retry_after.as_micros(),
        "peers": fleet.peers,
        "mayCancel": true,
        "parallelTries": fleet.hedging,
        "probes": fleet.health_checks,
        "retryAfter": fleet.max_retry_after.is_some(),
    })
}

fn listener_settings(listener: &ListenerConfig) -> Value {
    let (effect, scope, window) = match listener.idempotency {
        Idempotency::Idempotent => ("retryable", "all", Duration::ZERO),
        Idempotency::NonIdempotent => ("fragile", "all", Duration::ZERO),
        Idempotency::Keyed { scope, window } => {
            let scope = match scope {
                DeduplicationScope::All => "all",
                DeduplicationScope::Zone => "zone",
                DeduplicationScope::Cell => "cell",
            };
            ("dedup", scope, window)
        }
    };
    json!({
        "name": listener.name,
        "deadlineUs": listener.answer_timeout.as_micros(),
        "handshakeTargetUs": listener.handshake_target.as_micros(),
        "effect": effect,
        "dedupScope": scope,
        "dedupWindowUs": window.as_micros(),
        "utility": listener.priority_weight,
    })
}
