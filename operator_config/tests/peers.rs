//! Tests of the section `[peers]`, the link between relays.
mod common;

use common::{context, ms, parse_and_resolve};
use thistlecroft_operator_config::{ConfigError, OperatorConfig, PeersConfig, RelayContext};

/// Returns a complete section with these further lines.
fn section(lines: &str) -> String {
    format!("[peers]\nfleet = \"a\"\nlisten = \"10.0.0.1:7946\"\nkey_file = \"k\"\n{lines}")
}

fn peers_config(
    text: &str,
    context: &RelayContext,
) -> Result<Option<PeersConfig>, Vec<ConfigError>> {
    OperatorConfig::parse("c.toml", text)?.peers_config(context)
}

/// A further line of the section, and its error: the line number, the key and a part of the reason.
const FAULTY_LINES: &[(&str, usize, &str, &str)] = &[
    ("seeds = \"x\"", 5, "peers.seeds", "an address with a port"),
    (
        "seeds = [\"10.0.0.1\"]",
        5,
        "peers.seeds",
        "an address with a port",
    ),
    (
        "period = \"10ms\"",
        5,
        "peers.period",
        "not between 50ms and 10s",
    ),
    (
        "lease = \"2m\"",
        5,
        "peers.lease",
        "not between 500ms and 60s",
    ),
    (
        "rate = 100",
        5,
        "peers.rate",
        "100 bytes per second are below the minimum of 4096",
    ),
    (
        "voters = [\"a\", \"b\", \"a\"]",
        5,
        "peers.voters",
        "a is listed twice",
    ),
    (
        "voters = [\"a\",\"b\",\"c\",\"d\",\"e\",\"f\",\"g\",\"h\"]",
        5,
        "peers.voters",
        "at most 7 voters are allowed",
    ),
    (
        "voters_before = [\"a\"]",
        5,
        "peers.voters_before",
        "a `generation` above 1",
    ),
    (
        "advertise = \"0.0.0.0:7946\"",
        5,
        "peers.advertise",
        "other relays can't reach",
    ),
    (
        "advertise = \"10.0.0.1:0\"",
        5,
        "peers.advertise",
        "other relays can't reach",
    ),
    ("voter = [\"a\"]", 5, "peers.voter", "is it `voters`?"),
    (
        "key_files = \"k\"",
        5,
        "peers.key_files",
        "is it `key_file`?",
    ),
];

#[test]
fn peers_section_without_options_has_defaults() {
    let defaults = peers_config(&section(""), &context()).unwrap().unwrap();
    assert_eq!(
        (
            defaults.probe_interval,
            defaults.lease_duration,
            defaults.max_bytes_per_second
        ),
        (ms(1_000), ms(10_000), 32_768)
    );
    assert_eq!(
        (defaults.advertise, defaults.generation),
        (defaults.listen, 1)
    );
    assert_eq!(peers_config("", &context()), Ok(None));
}

#[test]
fn faulty_peers_section_is_rejected_with_its_reason() {
    for (line, number, key, reason) in FAULTY_LINES {
        let errors = peers_config(&section(line), &context()).expect_err(line);
        assert_eq!(errors.len(), 1, "{line}: {errors:?}");
        assert_eq!(
            (errors[0].line, errors[0].key.as_str()),
            (*number, *key),
            "{line}: {}",
            errors[0]
        );
        assert!(errors[0].reason.contains(reason), "{line}: {}", errors[0]);
    }
    let missing = peers_config("[peers]\nfleet = \"a\"", &context()).unwrap_err();
    assert_eq!(missing.len(), 2, "{missing:?}");
    assert!(
        peers_config("[[peers]]\n", &context()).unwrap_err()[0]
            .reason
            .contains("one table")
    );
}

#[test]
fn peers_section_that_the_settings_forbid_is_rejected() {
    let forbidden = RelayContext {
        may_use_peers: false,
        ..context()
    };
    let error = parse_and_resolve(&section(""), &forbidden).unwrap_err();
    assert!(error[0].reason.contains("permissions.peers"), "{error:?}");
}
