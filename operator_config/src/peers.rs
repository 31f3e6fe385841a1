//! The configuration of the link between relays, with its checks and defaults.
use crate::context::RelayContext;
use crate::effective::format_duration;
use crate::error::{ConfigError, Located, Location, value_unless};
use crate::key_names::{file, peers as key};
use crate::sections::PeersSection;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use thistlecroft::time::Duration;

/// The configuration of the link between relays, with defaults filled in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeersConfig {
    /// The fleet's name. Relays drop datagrams of other fleets.
    pub fleet: String,
    /// The address at which datagrams are received (UDP).
    pub listen: SocketAddr,
    /// The address at which other relays reach this one.
    pub advertise: SocketAddr,
    /// The path of the file with the fleet's key.
    pub key_file: String,
    /// Addresses of relays that are contacted to join the fleet.
    pub seeds: Vec<SocketAddr>,
    /// The interval between health checks of other relays.
    pub probe_interval: Duration,
    /// The most bytes per second that this relay sends to others.
    pub max_bytes_per_second: u32,
    /// The names of the relays that vote on leases.
    pub voters: Vec<String>,
    /// The voters of the previous generation, during a change of voters.
    pub previous_voters: Vec<String>,
    /// The configuration generation, incremented with each change of the voters.
    pub generation: u32,
    /// The duration of a lease.
    pub lease_duration: Duration,
}

const DEFAULT_PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
const DEFAULT_LEASE_DURATION: Duration = Duration::from_millis(10_000);
const DEFAULT_BYTES_PER_SECOND: u32 = 32_768;
const FIRST_GENERATION: u32 = 1;

const PROBE_INTERVALS: RangeInclusive<Duration> =
    Duration::from_millis(50)..=Duration::from_millis(10_000);
const LEASE_DURATIONS: RangeInclusive<Duration> =
    Duration::from_millis(500)..=Duration::from_millis(60_000);
const MIN_BYTES_PER_SECOND: u32 = 4_096;
const MAX_SEEDS: usize = 32;
const MAX_VOTERS: usize = 7;

/// Checks a section and fills in defaults.
///
/// # Errors
/// Returns all errors of the section.
pub(crate) fn resolve(
    section: &PeersSection,
    context: &RelayContext,
) -> Result<PeersConfig, Vec<ConfigError>> {
    let mut errors = Vec::new();
    check_permission(section, context, &mut errors);
    check_advertise(section, &mut errors);
    check_durations(section, &mut errors);
    check_counts(section, &mut errors);
    check_voters(key::VOTERS, &section.voters, &mut errors);
    check_voters(key::PREVIOUS_VOTERS, &section.previous_voters, &mut errors);
    check_previous_voters(section, &mut errors);
    value_unless(errors, with_defaults(section))
}

fn with_defaults(section: &PeersSection) -> PeersConfig {
    PeersConfig {
        fleet: section.fleet.value.clone(),
        listen: section.listen.value,
        advertise: advertise_address(section).value,
        key_file: section.key_file.value.clone(),
        seeds: value_or(&section.seeds, Vec::new()),
        probe_interval: value_or(&section.probe_interval, DEFAULT_PROBE_INTERVAL),
        max_bytes_per_second: value_or(&section.max_bytes_per_second, DEFAULT_BYTES_PER_SECOND),
        voters: value_or(&section.voters, Vec::new()),
        previous_voters: value_or(&section.previous_voters, Vec::new()),
        generation: generation(section),
        lease_duration: value_or(&section.lease_duration, DEFAULT_LEASE_DURATION),
    }
}

fn value_or<T: Clone>(stated: &Option<Located<T>>, default: T) -> T {
    stated
        .as_ref()
        .map_or(default, |stated| stated.value.clone())
}

/// Returns the advertised address, which is the listen address where none is stated.
fn advertise_address(section: &PeersSection) -> &Located<SocketAddr> {
    section.advertise.as_ref().unwrap_or(&section.listen)
}

fn generation(section: &PeersSection) -> u32 {
    value_or(&section.generation, FIRST_GENERATION)
}

fn error(location: &Location, key: &str, reason: impl Into<String>) -> ConfigError {
    location.error(&format!("{}.{key}", file::PEERS), reason)
}

fn check_permission(section: &PeersSection, context: &RelayContext, errors: &mut Vec<ConfigError>) {
    if !context.may_use_peers {
        let reason = "the settings do not allow relays to exchange messages (permissions.peers)";
        errors.push(section.location.error(file::PEERS, reason));
    }
}

fn check_advertise(section: &PeersSection, errors: &mut Vec<ConfigError>) {
    let Located { value, location } = advertise_address(section);
    if value.ip().is_unspecified() || value.port() == 0 {
        let reason = format!(
            "other relays can't reach {value}: set `advertise` to an address that they can reach"
        );
        errors.push(error(location, key::ADVERTISE, reason));
    }
}

fn check_durations(section: &PeersSection, errors: &mut Vec<ConfigError>) {
    let ranges = [
        (
            key::PROBE_INTERVAL,
            &section.probe_interval,
            PROBE_INTERVALS,
        ),
        (
            key::LEASE_DURATION,
            &section.lease_duration,
            LEASE_DURATIONS,
        ),
    ];
    for (key, stated, range) in ranges {
        let Some(stated) = stated else { continue };
        if !range.contains(&stated.value) {
            let value = format_duration(stated.value);
            let (min, max) = (
                format_duration(*range.start()),
                format_duration(*range.end()),
            );
            let reason = format!("{value} is not between {min} and {max}");
            errors.push(error(&stated.location, key, reason));
        }
    }
}

fn check_counts(section: &PeersSection, errors: &mut Vec<ConfigError>) {
    if let Some(stated) = &section.max_bytes_per_second
        && stated.value < MIN_BYTES_PER_SECOND
    {
        let value = stated.value;
        let reason =
            format!("{value} bytes per second are below the minimum of {MIN_BYTES_PER_SECOND}");
        errors.push(error(&stated.location, key::MAX_BYTES_PER_SECOND, reason));
    }
    if let Some(seeds) = &section.seeds
        && seeds.value.len() > MAX_SEEDS
    {
        let reason = format!("at most {MAX_SEEDS} addresses are allowed");
        errors.push(error(&seeds.location, key::SEEDS, reason));
    }
}

fn check_voters(key: &str, voters: &Option<Located<Vec<String>>>, errors: &mut Vec<ConfigError>) {
    let Some(Located { value, location }) = voters else {
        return;
    };
    let repeated = (1..value.len()).find(|&index| value[..index].contains(&value[index]));
    if let Some(index) = repeated {
        let reason = format!("{} is listed twice", value[index]);
        errors.push(error(location, key, reason));
    }
    if value.len() > MAX_VOTERS {
        errors.push(error(
            location,
            key,
            format!("at most {MAX_VOTERS} voters are allowed"),
        ));
    }
}

/// Checks that previous voters are stated only during a change of voters, which starts a later
/// generation.
fn check_previous_voters(section: &PeersSection, errors: &mut Vec<ConfigError>) {
    let is_change = section.voters.is_some() && generation(section) > FIRST_GENERATION;
    if let Some(previous) = &section.previous_voters
        && !is_change
    {
        let reason = "it requires `voters` and a `generation` above 1";
        errors.push(error(&previous.location, key::PREVIOUS_VOTERS, reason));
    }
}
