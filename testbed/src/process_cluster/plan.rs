//! The configuration of a cluster.
use crate::backend_model::{BackendCapacity, WarmUp};
use crate::relay_process::{FleetConfig, ListenerConfig};
use crate::simulated_backends::{BackendPlan, BackendSpec};
use std::path::PathBuf;
use thistlecroft::deployment::Idempotency;
use thistlecroft::time::Duration;

/// The components and settings of a cluster.
pub struct ClusterPlan {
    /// The command that starts a relay, and its arguments.
    pub program: Vec<String>,
    /// The settings that the relays share.
    pub config: FleetConfig,
    /// The backends, and the number of relays.
    pub backends: BackendPlan,
    /// The period of the membership protocol.
    pub period: Duration,
    /// The duration of leases.
    pub lease: Duration,
    /// The number of relays, from the first on, that grant leases.
    pub voters: usize,
    /// The seed from which those of the relays and the network are derived.
    pub seed: u64,
    /// The folder of the relays' configurations and logs.
    pub folder: PathBuf,
}

impl ClusterPlan {
    /// Returns a plan of one backend and `relays` small relays that may exchange messages. The
    /// first `voters` of the relays grant leases.
    pub fn small(
        program: Vec<String>,
        relays: usize,
        voters: usize,
        (period, lease): (Duration, Duration),
        folder: PathBuf,
    ) -> ClusterPlan {
        ClusterPlan {
            program,
            config: small_fleet(),
            backends: one_backend(relays),
            period,
            lease,
            voters,
            seed: 7,
            folder,
        }
    }
}

fn one_backend(relays: usize) -> BackendPlan {
    let ms = Duration::from_millis;
    let capacity = BackendCapacity {
        full_load: 100.0,
        max_sessions: 100,
        setup_time: ms(2),
        group_load: 0.0,
        warm_up: WarmUp {
            initial_share: 0.3,
            duration: ms(9_000),
            overload_factor: 3.0,
            overload_window: ms(3_000),
            turnover_time: ms(10_000),
        },
    };
    let backend = BackendSpec {
        capacity,
        zone: "a".into(),
        cell: 0,
        initially_running: true,
    };
    BackendPlan {
        backends: vec![backend],
        relays,
        announcement_delay: (ms(100), ms(200)),
        setup_store: None,
        report_interval: ms(500),
        reports_load: false,
        seed: 1,
    }
}

fn small_fleet() -> FleetConfig {
    let ms = Duration::from_millis;
    let listener = ListenerConfig {
        name: "view".into(),
        answer_timeout: ms(2_000),
        handshake_target: ms(500),
        message_target: ms(60),
        idempotency: Idempotency::Idempotent,
        priority_weight: 1.0,
    };
    FleetConfig {
        zones: vec!["a".into()],
        listeners: vec![listener],
        connect_timeout: ms(250),
        max_attempts: 3,
        max_retry_after: Some(ms(2_000)),
        health_checks: true,
        groups: false,
        reports_load: false,
        warm_up_initial_share: 0.3,
        warm_up: ms(9_000),
        warm_up_overload_factor: 3.0,
        warm_up_overload_window: ms(3_000),
        memory_mb: 64,
        sockets: 512,
        hedging: false,
        peers: true,
    }
}
