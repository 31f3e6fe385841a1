//! What a charter may say of relays that know of one another, and what holds where it does not.
use crate::RelayContext;
use crate::parsing::{ConfigError, Located, PeersText, Place};
use crate::route_table::say;
use std::net::SocketAddr;
use thistlecroft::time::Duration;

/// In force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeersConfig {
    pub fleet: String,
    pub listen: SocketAddr,
    pub advertise: SocketAddr,
    pub key_file: String,
    pub seeds: Vec<SocketAddr>,
    pub period: Duration,
    pub rate: u32,
    pub voters: Vec<String>,
    pub voters_before: Vec<String>,
    pub generation: u32,
    pub lease: Duration,
}

const PERIOD: Duration = Duration::from_millis(1_000);
const LEASE: Duration = Duration::from_millis(10_000);
const RATE: u32 = 32_768;
const MOST_SEEDS: usize = 32;
const MOST_VOTERS: usize = 7;
const LEAST_RATE: u32 = 4_096;
const PERIODS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(10_000));
const LEASES: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(60_000));

pub(crate) fn resolve(
    text: &PeersText,
    of: &RelayContext,
) -> Result<PeersConfig, Vec<ConfigError>> {
    let mut faults = Vec::new();
    let mut blame = |place: &Place, key: &str, why: String| faults.push(place.fault(key, why));
    if !of.may_use_peers {
        let why = "the settings do not allow talk between instances (permissions.peers)";
        blame(&text.place, "peers", why.into());
    }
    let advertise = text.advertise.as_ref().unwrap_or(&text.listen);
    if advertise.value.ip().is_unspecified() || advertise.value.port() == 0 {
        let why = format!(
            "others can't reach {}: `advertise` has to say where they can",
            advertise.value
        );
        blame(&advertise.place, "peers.advertise", why);
    }
    let spans = [
        ("period", &text.period, PERIODS),
        ("lease", &text.lease, LEASES),
    ];
    for (key, stated, (least, most)) in spans {
        if let Some(stated) = stated
            .as_ref()
            .filter(|one| one.value < least || one.value > most)
        {
            let why = format!(
                "{} is not between {} and {}",
                say(stated.value),
                say(least),
                say(most)
            );
            blame(&stated.place, &format!("peers.{key}"), why);
        }
    }
    if let Some(rate) = text.rate.as_ref().filter(|rate| rate.value < LEAST_RATE) {
        let why = format!(
            "{} bytes a second are too few, {LEAST_RATE} at least",
            rate.value
        );
        blame(&rate.place, "peers.rate", why);
    }
    if let Some(seeds) = text
        .seeds
        .as_ref()
        .filter(|seeds| seeds.value.len() > MOST_SEEDS)
    {
        blame(&seeds.place, "peers.seeds", format!("{MOST_SEEDS} at most"));
    }
    for (key, stated) in [
        ("voters", &text.voters),
        ("voters_before", &text.voters_before),
    ] {
        let Some(stated) = stated else { continue };
        let twice =
            (1..stated.value.len()).find(|at| stated.value[..*at].contains(&stated.value[*at]));
        if let Some(at) = twice {
            blame(
                &stated.place,
                &format!("peers.{key}"),
                format!("{} stands twice", stated.value[at]),
            );
        }
        if stated.value.len() > MOST_VOTERS {
            blame(
                &stated.place,
                &format!("peers.{key}"),
                format!("{MOST_VOTERS} at most"),
            );
        }
    }
    let generation = text.generation.as_ref().map_or(1, |stated| stated.value);
    if let Some(before) = text
        .voters_before
        .as_ref()
        .filter(|_| generation < 2 || text.voters.is_none())
    {
        let why = "it goes with `voters` and a `generation` above 1".to_string();
        blame(&before.place, "peers.voters_before", why);
    }
    if !faults.is_empty() {
        return Err(faults);
    }
    let names = |stated: &Option<Located<Vec<String>>>| {
        stated
            .as_ref()
            .map_or(Vec::new(), |stated| stated.value.clone())
    };
    Ok(PeersConfig {
        fleet: text.fleet.value.clone(),
        listen: text.listen.value,
        advertise: advertise.value,
        key_file: text.key_file.value.clone(),
        seeds: text
            .seeds
            .as_ref()
            .map_or(Vec::new(), |stated| stated.value.clone()),
        period: text.period.as_ref().map_or(PERIOD, |stated| stated.value),
        rate: text.rate.as_ref().map_or(RATE, |stated| stated.value),
        voters: names(&text.voters),
        voters_before: names(&text.voters_before),
        generation,
        lease: text.lease.as_ref().map_or(LEASE, |stated| stated.value),
    })
}
