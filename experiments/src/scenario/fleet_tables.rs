//! The tables of a scenario that describe backends and relays. Fields have the names of their keys.
use super::duration_text::Time;
use serde::Deserialize;

/// `[fleet]`: the backends, the set-up store and discovery.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Backends.
    #[serde(rename = "boxes")]
    pub backends: usize,
    /// Of these the last ones, which start, cold, by a fault `join`.
    #[serde(rename = "later")]
    pub initially_stopped: usize,
    /// The zones that backends and relays are dealt over in turn.
    pub zones: Vec<String>,
    /// The load that fills a box.
    pub capacity: f64,
    /// Connections that a box holds at most.
    #[serde(rename = "most")]
    pub max_sessions: usize,
    /// How long a set-up takes at a backend.
    #[serde(rename = "set_up")]
    pub setup_time: Time,
    /// The load that a group adds to each backend that holds any of it.
    #[serde(rename = "group_fee")]
    pub group_load: f64,
    /// The part of its capacity that a backend has at its start.
    #[serde(rename = "cold_share")]
    pub warm_up_initial_share: f64,
    /// How long a backend takes to reach its whole capacity.
    pub warm_up: Time,
    /// A warming backend fails when asked for more than this many times its share...
    #[serde(rename = "cold_factor")]
    pub warm_up_overload_factor: f64,
    /// ...within this time.
    #[serde(rename = "cold_window")]
    pub warm_up_overload_window: Time,
    /// What a box can do is to take connections that fill it once in such a time; where not stated,
    /// a mean life of its clients, or its warm-up if that is longer.
    #[serde(rename = "turnover")]
    pub turnover_time: Option<Time>,
    /// How often backends report their load.
    #[serde(rename = "report_every")]
    pub report_interval: Time,
    /// How late a change of the list is told, at least and at most.
    #[serde(rename = "notice")]
    pub announcement_delay: [Time; 2],
    /// Set-ups that the store works on at once; without it they call nothing.
    #[serde(rename = "store_lanes")]
    pub store_concurrency: Option<usize>,
    /// How long the store works on one set-up.
    pub store_time: Time,
    /// Nothing new goes to a box so long after it was told as draining.
    #[serde(rename = "grace")]
    pub drain_grace: Time,
    /// Boxes tell connections' loads, which change.
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
            setup_time: Time::ms(2),
            group_load: 0.0,
            warm_up_initial_share: 0.3,
            warm_up: Time::ms(9_000),
            warm_up_overload_factor: 3.0,
            warm_up_overload_window: Time::ms(3_000),
            turnover_time: None,
            report_interval: Time::ms(500),
            announcement_delay: [Time::ms(200), Time::ms(1_000)],
            store_concurrency: None,
            store_time: Time::ms(5),
            drain_grace: Time::ms(2_000),
            reports_load: false,
        }
    }
}

/// `[relays]`: the relays and their settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Relays {
    /// Relays.
    pub count: usize,
    /// Descriptors that a relay may open.
    pub sockets: u64,
    /// Memory that a relay may take, in megabytes.
    pub memory_mb: u64,
    /// Relays may send health checks.
    #[serde(rename = "probes")]
    pub health_checks: bool,
    /// How long a connection may take to come up.
    #[serde(rename = "connect_time")]
    pub connect_timeout: Time,
    /// Attempts of one session at most.
    #[serde(rename = "most_dials")]
    pub max_attempts: u32,
    /// The longest time to stay away that a refusal may tell; without it none is told.
    #[serde(rename = "retry_after")]
    pub max_retry_after: Option<Time>,
    /// Relays know the list when they start.
    #[serde(rename = "know_list")]
    pub preload_endpoints: bool,
    /// The front goes on for so long with a relay that has died.
    #[serde(rename = "front_notice")]
    pub failover_delay: Time,
    /// The settings allow two dials of a session at once.
    #[serde(rename = "two_dials")]
    pub hedging: bool,
    /// Texts of charters: relays start with the first, a fault `charter-swap` goes on to the next,
    /// round and round.
    #[serde(rename = "charters")]
    pub operator_configs: Vec<String>,
    /// The platform holds the clients' sockets and operators have a door at each relay: for faults
    /// `upgrade` and `ban`.
    pub operators: bool,
    /// Of these the last ones, which start by a fault `relay-joins`.
    #[serde(rename = "later")]
    pub initially_stopped: usize,
    /// They know of one another, over links that can be bent.
    pub peers: bool,
    /// The first so many grant leases; a witness asks all of them for one.
    pub voters: usize,
    /// The probe period of membership.
    #[serde(rename = "period")]
    pub probe_period: Time,
    /// The time of a lease.
    #[serde(rename = "lease")]
    pub lease_duration: Time,
}

impl Default for Relays {
    fn default() -> Relays {
        Relays {
            count: 2,
            sockets: 16_384,
            memory_mb: 256,
            health_checks: true,
            connect_timeout: Time::ms(250),
            max_attempts: 3,
            max_retry_after: Some(Time::ms(2_000)),
            preload_endpoints: true,
            failover_delay: Time::ms(1_000),
            hedging: false,
            operator_configs: Vec::new(),
            operators: false,
            initially_stopped: 0,
            peers: false,
            voters: 3,
            probe_period: Time::ms(200),
            lease_duration: Time::ms(2_000),
        }
    }
}

/// `[together]`: what all relays together may do, beside the rules that each keeps alone.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClusterLimitsTable {
    /// Sessions up at once over all relays...
    #[serde(rename = "at_once")]
    pub max_sessions: Option<usize>,
    /// ...and for how long at most there may be more.
    #[serde(rename = "over_for")]
    pub max_excess_time: Option<Time>,
    /// Attempts of all relays within any second.
    #[serde(rename = "dials_a_second")]
    pub max_attempts_per_second: Option<usize>,
    /// A ban by hand at one relay holds at all others after this.
    #[serde(rename = "bans_within")]
    pub ban_replication_time: Option<Time>,
    /// At the end all relays that run see each other and nobody else.
    #[serde(rename = "agree")]
    pub requires_consistent_membership: bool,
}
