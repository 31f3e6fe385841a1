//! The tables of a scenario that describe backends and relays. Fields have the names of their keys.
use super::duration_text::Time;
use serde::Deserialize;

/// `[fleet]`: the backends, the set-up store and discovery.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Backends.
    pub boxes: usize,
    /// Of these the last ones, which start, cold, by a fault `join`.
    pub later: usize,
    /// The zones that backends and relays are dealt over in turn.
    pub zones: Vec<String>,
    /// The load that fills a box.
    pub capacity: f64,
    /// Connections that a box holds at most.
    pub most: usize,
    /// How long a set-up takes at a backend.
    pub set_up: Time,
    /// The load that a group adds to each backend that holds any of it.
    pub group_fee: f64,
    /// The part of its capacity that a backend has at its start.
    pub cold_share: f64,
    /// How long a backend takes to reach its whole capacity.
    pub warm_up: Time,
    /// A warming backend fails when asked for more than this many times its share...
    pub cold_factor: f64,
    /// ...within this time.
    pub cold_window: Time,
    /// What a box can do is to take connections that fill it once in such a time; where not stated,
    /// a mean life of its clients, or its warm-up if that is longer.
    pub turnover: Option<Time>,
    /// How often backends report their load.
    pub report_every: Time,
    /// How late a change of the list is told, at least and at most.
    pub notice: [Time; 2],
    /// Set-ups that the store works on at once; without it they call nothing.
    pub store_lanes: Option<usize>,
    /// How long the store works on one set-up.
    pub store_time: Time,
    /// Nothing new goes to a box so long after it was told as draining.
    pub grace: Time,
    /// Boxes tell connections' loads, which change.
    pub tells_load: bool,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            boxes: 12,
            later: 0,
            zones: vec!["a".into()],
            capacity: 100.0,
            most: 1_000,
            set_up: Time::ms(2),
            group_fee: 0.0,
            cold_share: 0.3,
            warm_up: Time::ms(9_000),
            cold_factor: 3.0,
            cold_window: Time::ms(3_000),
            turnover: None,
            report_every: Time::ms(500),
            notice: [Time::ms(200), Time::ms(1_000)],
            store_lanes: None,
            store_time: Time::ms(5),
            grace: Time::ms(2_000),
            tells_load: false,
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
    pub probes: bool,
    /// How long a connection may take to come up.
    pub connect_time: Time,
    /// Attempts of one session at most.
    pub most_dials: u32,
    /// The longest time to stay away that a refusal may tell; without it none is told.
    pub retry_after: Option<Time>,
    /// Relays know the list when they start.
    pub know_list: bool,
    /// The front goes on for so long with a relay that has died.
    pub front_notice: Time,
    /// The settings allow two dials of a session at once.
    pub two_dials: bool,
    /// Texts of charters: relays start with the first, a fault `charter-swap` goes on to the next,
    /// round and round.
    pub charters: Vec<String>,
    /// The platform holds the clients' sockets and operators have a door at each relay: for faults
    /// `upgrade` and `ban`.
    pub operators: bool,
    /// Of these the last ones, which start by a fault `relay-joins`.
    pub later: usize,
    /// They know of one another, over links that can be bent.
    pub peers: bool,
    /// The first so many grant leases; a witness asks all of them for one.
    pub voters: usize,
    /// The probe period of membership.
    pub period: Time,
    /// The time of a lease.
    pub lease: Time,
}

impl Default for Relays {
    fn default() -> Relays {
        Relays {
            count: 2,
            sockets: 16_384,
            memory_mb: 256,
            probes: true,
            connect_time: Time::ms(250),
            most_dials: 3,
            retry_after: Some(Time::ms(2_000)),
            know_list: true,
            front_notice: Time::ms(1_000),
            two_dials: false,
            charters: Vec::new(),
            operators: false,
            later: 0,
            peers: false,
            voters: 3,
            period: Time::ms(200),
            lease: Time::ms(2_000),
        }
    }
}

/// `[together]`: what all relays together may do, beside the rules that each keeps alone.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TogetherText {
    /// Sessions up at once over all relays...
    pub at_once: Option<usize>,
    /// ...and for how long at most there may be more.
    pub over_for: Option<Time>,
    /// Attempts of all relays within any second.
    pub dials_a_second: Option<usize>,
    /// A ban by hand at one relay holds at all others after this.
    pub bans_within: Option<Time>,
    /// At the end all relays that run see each other and nobody else.
    pub agree: bool,
}
