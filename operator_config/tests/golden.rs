//! Comparisons with recorded results of the operator configuration: its keys, its errors, and the
//! values that files put in force.
#[path = "../../tests/golden_file/mod.rs"]
mod golden_file;

use std::fmt::Write;
use std::path::Path;
use thistlecroft::deployment::{DeduplicationScope, Idempotency, Route};
use thistlecroft::time::Duration;
use thistlecroft_operator_config::keys::SECTIONS;
use thistlecroft_operator_config::{
    ConfigError, LimitsIds, ListenerDefaults, OperatorConfig, RelayContext, ValueOrigin,
};

const EXAMPLE: &str = include_str!("../../deploy/charter.example.toml");
const PEERS: &str = include_str!("../../deploy/charter.peers.toml");
const EVERY_ROUTE_KEY: &str = include_str!("golden/every_route_key.toml");
const EVERY_PEERS_KEY: &str = include_str!("golden/every_peers_key.toml");

fn assert_unchanged(file: &str, actual: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    golden_file::assert_unchanged(&folder.join(file), actual);
}

/// Returns a relay with the listeners of the shipped example, and some of other idempotency
/// classes.
fn context() -> RelayContext {
    let listener = |name: &str, class| ListenerDefaults {
        name: name.into(),
        client_timeout: Duration::from_millis(4_800),
        route: Route {
            handshake_objective: Duration::from_millis(300),
            idempotency: class,
            connect_timeout: Duration::from_millis(50),
            max_attempts: 3,
            attempt_timeout_factor: 4.0,
            backoff_base: Duration::from_millis(1_000),
            backoff_cap: Duration::from_millis(30_000),
            stable_after: Duration::from_millis(5_000),
            max_retry_after: Duration::from_millis(2_000),
            ..Route::default()
        },
    };
    let keyed = Idempotency::Keyed {
        scope: DeduplicationScope::Zone,
        window: Duration::from_millis(500),
    };
    RelayContext {
        listeners: vec![
            listener("slot-hold", Idempotency::Idempotent),
            listener("slot-view", Idempotency::Idempotent),
            listener("queue-view", Idempotency::Idempotent),
            listener("pay", Idempotency::NonIdempotent),
            listener("book", keyed),
        ],
        zones: vec!["ikeja".into(), "lekki".into()],
        zone: 1,
        may_hedge: true,
        may_use_peers: true,
        descriptors: 200,
    }
}

fn joined_lines(errors: &[ConfigError]) -> String {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Prints every value in force with its origin, one per line.
fn values_in_force(text: &str) -> String {
    let config = OperatorConfig::parse("charter.toml", text).unwrap_or_else(|errors| {
        panic!("{}", joined_lines(&errors));
    });
    let table = config
        .resolve(&context(), &mut LimitsIds::default())
        .unwrap_or_else(|errors| panic!("{}", joined_lines(&errors)));
    let mut lines = String::new();
    for value in table.effective_values() {
        let origin = match value.origin {
            ValueOrigin::File(line) => format!("line {line}"),
            ValueOrigin::Settings => "settings".into(),
            ValueOrigin::BuiltIn => "built in".into(),
        };
        let label = format!("{} / {}", value.route, value.listener);
        writeln!(lines, "{label}: {} = {} ({origin})", value.key, value.value).unwrap();
    }
    lines
}

/// Prints the configuration of the link between relays, one key per line.
fn peers_values_in_force(text: &str) -> String {
    let config = OperatorConfig::parse("charter.toml", text).unwrap_or_else(|errors| {
        panic!("{}", joined_lines(&errors));
    });
    let peers_config = config.peers_config(&context()).unwrap().unwrap();
    [
        format!("fleet = {}", peers_config.fleet),
        format!("listen = {}", peers_config.listen),
        format!("advertise = {}", peers_config.advertise),
        format!("key_file = {}", peers_config.key_file),
        format!("seeds = {:?}", peers_config.seeds),
        format!("period = {} us", peers_config.probe_interval.as_micros()),
        format!("rate = {}", peers_config.max_bytes_per_second),
        format!("voters = {:?}", peers_config.voters),
        format!("voters_before = {:?}", peers_config.previous_voters),
        format!("generation = {}", peers_config.generation),
        format!("lease = {} us\n", peers_config.lease_duration.as_micros()),
    ]
    .join("\n")
}

#[test]
fn shipped_example_gives_the_recorded_values() {
    assert_unchanged("example.txt", &values_in_force(EXAMPLE));
}

#[test]
fn shipped_peers_example_gives_the_recorded_values() {
    assert_unchanged("peers.txt", &peers_values_in_force(PEERS));
}

#[test]
fn file_with_every_route_key_gives_the_recorded_values() {
    assert_unchanged("every_route_key.txt", &values_in_force(EVERY_ROUTE_KEY));
}

#[test]
fn file_with_every_peers_key_gives_the_recorded_values() {
    assert_unchanged(
        "every_peers_key.txt",
        &peers_values_in_force(EVERY_PEERS_KEY),
    );
}

#[test]
fn session_matches_by_listener_zone_key_and_group_together() {
    const KEY: u64 = 0x7f3a_0000_0000_0001;
    const GROUP: u64 = 0xff;
    let config = OperatorConfig::parse("charter.toml", EVERY_ROUTE_KEY).unwrap();
    let max_attempts = |zone, listener, key, group| {
        let context = RelayContext { zone, ..context() };
        let table = config.resolve(&context, &mut LimitsIds::default()).unwrap();
        table.rows()[table.route_for(listener, key, group)].max_attempts
    };
    assert_eq!(max_attempts(1, 0, KEY, Some(GROUP)), 2, "all four match");
    assert_eq!(max_attempts(0, 0, KEY, Some(GROUP)), 3, "another zone");
    assert_eq!(max_attempts(1, 2, KEY, Some(GROUP)), 3, "another listener");
    assert_eq!(max_attempts(1, 0, KEY >> 4, Some(GROUP)), 3, "another key");
    assert_eq!(max_attempts(1, 0, KEY, Some(GROUP + 1)), 3, "another group");
    assert_eq!(max_attempts(1, 0, KEY, None), 3, "no group");
}

/// Returns the index of each line that states a key, with the key.
fn stated_keys(text: &str) -> Vec<(usize, &str)> {
    let lines = text.lines().enumerate();
    lines
        .filter(|(_, line)| !line.starts_with('#'))
        .filter_map(|(index, line)| Some((index, line.split_once(" = ")?.0)))
        .collect()
}

/// Returns the text with another line at this index.
fn with_line(text: &str, index: usize, line: &str) -> String {
    let mut lines: Vec<&str> = text.lines().collect();
    lines[index] = line;
    lines.join("\n") + "\n"
}

/// Returns the errors of a text that has to be rejected without regard to a deployment.
fn rejection(text: &str) -> String {
    match OperatorConfig::parse("charter.toml", text) {
        Ok(_) => panic!("accepted:\n{text}"),
        Err(errors) => joined_lines(&errors),
    }
}

#[test]
fn misspelt_key_gives_the_recorded_error() {
    let mut recording = String::new();
    for text in [EVERY_ROUTE_KEY, EVERY_PEERS_KEY, EXAMPLE, PEERS] {
        for (index, key) in stated_keys(text) {
            let line = text.lines().nth(index).unwrap();
            let misspelt = with_line(text, index, &format!("q{line}"));
            writeln!(recording, "q{key}\n{}", rejection(&misspelt)).unwrap();
        }
    }
    assert_unchanged("unknown_keys.txt", &recording);
}

#[test]
fn value_of_the_wrong_kind_gives_the_recorded_error() {
    let mut recording = String::new();
    for text in [EVERY_ROUTE_KEY, EVERY_PEERS_KEY] {
        for (index, key) in stated_keys(text) {
            // No key holds a date.
            let wrong = with_line(text, index, &format!("{key} = 2026-01-01"));
            writeln!(recording, "{}", rejection(&wrong)).unwrap();
        }
    }
    assert_unchanged("wrong_values.txt", &recording);
}

#[test]
fn every_key_of_the_reference_is_covered_by_these_tests() {
    let texts = [EVERY_ROUTE_KEY, EVERY_PEERS_KEY];
    let stated: Vec<&str> = texts
        .iter()
        .flat_map(|text| stated_keys(text))
        .map(|(_, key)| key)
        .collect();
    let mut recording = String::new();
    for section in SECTIONS {
        for key in section.keys {
            writeln!(recording, "{} {}", section.header, key.name).unwrap();
            let is_table = key.kind.description() == "a table";
            assert!(is_table || stated.contains(&key.name), "{}", key.name);
        }
    }
    assert_unchanged("keys.txt", &recording);
}
