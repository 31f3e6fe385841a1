//! The tables of a scenario that describe backends and relays.
use super::duration_text::DurationText;
use serde::Deserialize;

/// The `[fleet]` table: the backends, the store that their set-ups call, and discovery.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// The number of backends.
    #[serde(rename = "boxes")]
    pub backends: usize,
    /// The number of backends that don't run at first. They are the last ones; a fault `join`
    /// starts them, and they warm up.
    #[serde(rename = "later")]
    pub initially_stopped: usize,
    /// The zones to which backends and relays are assigned in turn.
    pub zones: Vec<String>,
    /// The load at which a backend is full.
    pub capacity: f64,
    /// The maximum number of sessions of a backend.
    #[serde(rename = "most")]
    pub max_sessions: usize,
    /// The time that a session's set-up takes at a backend.
    #[serde(rename = "set_up")]
    pub setup_time: DurationText,
    /// The load that a group adds to each backend with at least one of its sessions.
    #[serde(rename = "group_fee")]
    pub group_load: f64,
    /// The share of its capacity that a backend has when it starts.
    #[serde(rename = "cold_share")]
    pub warm_up_initial_share: f64,
    /// The time after which a started backend has its whole capacity.
    pub warm_up: DurationText,
    /// A backend that is warming up fails when the load of its attempts is more than this multiple
    /// of what its share of the capacity can take within `warm_up_overload_window`.
    #[serde(rename = "cold_factor")]
    pub warm_up_overload_factor: f64,
    /// The length of the window over which the load of attempts is summed.
    #[serde(rename = "cold_window")]
    pub warm_up_overload_window: DurationText,
    /// The time in which a backend can accept as many sessions as fill its capacity. The default is
    /// the mean lifetime of sessions, or the warm-up if that is longer.
    #[serde(rename = "turnover")]
    pub turnover_time: Option<DurationText>,
    /// The interval between load reports of a backend.
    #[serde(rename = "report_every")]
    pub report_interval: DurationText,
    /// The minimum and maximum delay until relays learn of a change of the endpoint list.
    #[serde(rename = "notice")]
    pub announcement_delay: [DurationText; 2],
    /// The number of set-ups that the store processes at a time; without it, set-ups don't call the
    /// store.
    #[serde(rename = "store_lanes")]
    pub store_concurrency: Option<usize>,
    /// The time that the store takes for one set-up.
    pub store_time: DurationText,
    /// The time after the announcement of a drain from which a backend must get no new sessions.
    #[serde(rename = "grace")]
    pub drain_grace: DurationText,
    /// Whether backends report the load of each connection, and these loads change.
    #[serde(rename = "tells_load")]
    pub reports_load: bool,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            backends: 12,
            initially_stopped: 0,
            zones: vec!["a".into()],
            capacity: 100.0,
            max_sessions: 1_000,
            setup_time: DurationText::from_millis(2),
            group_load: 0.0,
            warm_up_initial_share: 0.3,
            warm_up: DurationText::from_millis(9_000),
            warm_up_overload_factor: 3.0,
            warm_up_overload_window: DurationText::from_millis(3_000),
            turnover_time: None,
            report_interval: DurationText::from_millis(500),
            announcement_delay: [
                DurationText::from_millis(200),
                DurationText::from_millis(1_000),
            ],
            store_concurrency: None,
            store_time: DurationText::from_millis(5),
            drain_grace: DurationText::from_millis(2_000),
            reports_load: false,
        }
    }
}

/// The `[relays]` table: the relays and their settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Relays {
    /// The number of relays.
    pub count: usize,
    /// The number of descriptors that a relay may open.
    pub sockets: u64,
    /// The memory limit of a relay in megabytes.
    pub memory_mb: u64,
    /// Whether relays may send health checks.
    #[serde(rename = "probes")]
    pub health_checks: bool,
    /// The timeout for connecting to a backend.
    #[serde(rename = "connect_time")]
    pub connect_timeout: DurationText,
    /// The maximum number of attempts of a session.
    #[serde(rename = "most_dials")]
    pub max_attempts: u32,
    /// The longest retry-after time that a rejection may carry; without it, rejections carry none.
    #[serde(rename = "retry_after")]
    pub max_retry_after: Option<DurationText>,
    /// Whether relays have the endpoint list when they start.
    #[serde(rename = "know_list")]
    pub preload_endpoints: bool,
    /// The time for which clients are still sent to a relay that has died.
    #[serde(rename = "front_notice")]
    pub failover_delay: DurationText,
    /// Whether the settings allow hedged attempts.
    #[serde(rename = "two_dials")]
    pub hedging: bool,
    /// Operator configurations as text. Relays start with the first; a fault `charter-swap`
    /// replaces it with the next one, in a cycle.
    #[serde(rename = "charters")]
    pub operator_configs: Vec<String>,
    /// Whether the platform holds the listening sockets and each relay has an admin port, as the
    /// faults `upgrade` and `ban` need.
    pub operators: bool,
    /// The number of relays that don't run at first. They are the last ones, and a fault
    /// `relay-joins` starts them.
    #[serde(rename = "later")]
    pub initially_stopped: usize,
    /// Whether the relays are peers of each other, over links that can be faulted.
    pub peers: bool,
    /// The number of relays, from the first on, that are voters; an observer of each relay asks it
    /// for a lease.
    pub voters: usize,
    /// The probe period of the membership protocol.
    #[serde(rename = "period")]
    pub probe_period: DurationText,
    /// The duration of a lease.
    #[serde(rename = "lease")]
    pub lease_duration: DurationText,
}

impl Default for Relays {
    fn default() -> Relays {
        Relays {
            count: 2,
            sockets: 16_384,
            memory_mb: 256,
            health_checks: true,
            connect_timeout: DurationText::from_millis(250),
            max_attempts: 3,
            max_retry_after: Some(DurationText::from_millis(2_000)),
            preload_endpoints: true,
            failover_delay: DurationText::from_millis(1_000),
            hedging: false,
            operator_configs: Vec::new(),
            operators: false,
            initially_stopped: 0,
            peers: false,
            voters: 3,
            probe_period: DurationText::from_millis(200),
            lease_duration: DurationText::from_millis(2_000),
        }
    }
}

/// The `[together]` table: limits for all relays together, besides the invariants that bind each
/// relay alone.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClusterLimitsTable {
    /// The maximum number of established sessions of all relays together.
    #[serde(rename = "at_once")]
    pub max_sessions: Option<usize>,
    /// The longest time for which there may be more than `max_sessions`.
    #[serde(rename = "over_for")]
    pub max_excess_time: Option<DurationText>,
    /// The maximum number of attempts of all relays within any second.
    #[serde(rename = "dials_a_second")]
    pub max_attempts_per_second: Option<usize>,
    /// The time after which an operator's ban at one relay must apply at all others.
    #[serde(rename = "bans_within")]
    pub ban_replication_time: Option<DurationText>,
    /// Whether at the end all running relays must see each other and nobody else.
    #[serde(rename = "agree")]
    pub requires_consistent_membership: bool,
}
