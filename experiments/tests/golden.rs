//! The format of scenario files and budgets: their keys, the types of the values, and the defaults.
#[path = "../../tests/golden_file/mod.rs"]
mod golden_file;

use std::fmt::Write;
use std::path::{Path, PathBuf};
use thistlecroft_experiments::scale::Budget;
use thistlecroft_experiments::scenario::Scenario;

fn assert_unchanged(file: &str, actual: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    golden_file::assert_unchanged(&folder.join(file), actual);
}

/// A scenario that states every key of every table once.
const EVERY_KEY: &str = include_str!("golden/every_key.toml");

/// A scenario that states only the required keys, with a placeholder for a further line in each
/// table.
const MINIMAL_SCENARIO: &str = r#"about = "least"
length = "10s"
{top}
[fleet]
{fleet}
[relays]
{relays}
[together]
{together}
[traffic]
rate = 5.0
{traffic}
[[listener]]
name = "view"
{listener}
wait = "1s"
handshake_target = "300ms"
message_target = "50ms"
life = "2s"
[[variant]]
{variant}
name = "other"
"#;

/// Optional keys: table, key, default value, and another value.
const DEFAULTS: &[(&str, &str, &str, &str)] = &[
    ("top", "name", "\"scenario\"", "\"named\""),
    ("top", "seed", "1", "2"),
    ("fleet", "boxes", "12", "13"),
    ("fleet", "later", "0", "1"),
    ("fleet", "zones", "[\"a\"]", "[\"b\"]"),
    ("fleet", "capacity", "100.0", "101.0"),
    ("fleet", "most", "1_000", "1_001"),
    ("fleet", "set_up", "\"2ms\"", "\"3ms\""),
    ("fleet", "group_fee", "0.0", "0.5"),
    ("fleet", "cold_share", "0.3", "0.4"),
    ("fleet", "warm_up", "\"9s\"", "\"8s\""),
    ("fleet", "cold_factor", "3.0", "4.0"),
    ("fleet", "cold_window", "\"3s\"", "\"4s\""),
    ("fleet", "report_every", "\"500ms\"", "\"600ms\""),
    (
        "fleet",
        "notice",
        "[\"200ms\", \"1s\"]",
        "[\"100ms\", \"1s\"]",
    ),
    ("fleet", "store_time", "\"5ms\"", "\"6ms\""),
    ("fleet", "grace", "\"2s\"", "\"3s\""),
    ("fleet", "tells_load", "false", "true"),
    ("relays", "count", "2", "3"),
    ("relays", "sockets", "16_384", "16_385"),
    ("relays", "memory_mb", "256", "257"),
    ("relays", "probes", "true", "false"),
    ("relays", "connect_time", "\"250ms\"", "\"251ms\""),
    ("relays", "most_dials", "3", "4"),
    ("relays", "retry_after", "\"2s\"", "\"3s\""),
    ("relays", "know_list", "true", "false"),
    ("relays", "front_notice", "\"1s\"", "\"2s\""),
    ("relays", "two_dials", "false", "true"),
    ("relays", "charters", "[]", "[\"\"]"),
    ("relays", "operators", "false", "true"),
    ("relays", "later", "0", "1"),
    ("relays", "voters", "3", "2"),
    ("relays", "period", "\"200ms\"", "\"300ms\""),
    ("relays", "lease", "\"2s\"", "\"3s\""),
    ("together", "agree", "false", "true"),
    ("traffic", "keys", "100_000", "100_001"),
    ("traffic", "retries", "3", "4"),
    ("traffic", "heeds", "0.5", "0.6"),
    ("traffic", "back_off", "\"100ms\"", "\"101ms\""),
    (
        "traffic",
        "rejoin",
        "[\"140ms\", \"970ms\"]",
        "[\"141ms\", \"970ms\"]",
    ),
    ("traffic", "impatient", "0.0", "0.1"),
    ("traffic", "beat", "\"2s\"", "\"3s\""),
    ("traffic", "threads", "2", "3"),
    ("listener", "share", "1.0", "2.0"),
    ("listener", "load", "[0.5, 1.5]", "[0.5, 1.6]"),
    ("listener", "utility", "1.0", "2.0"),
    ("listener", "effect", "\"repeatable\"", "\"once-only\""),
    ("listener", "scope", "\"all\"", "\"cell\""),
    ("listener", "window", "\"2s\"", "\"3s\""),
    ("variant", "unchartered", "false", "true"),
];

/// A width that is enough for every line that is put into `MINIMAL_SCENARIO`.
const LINE_WIDTH: usize = 60;
const TABLES: &[&str] = &[
    "top", "fleet", "relays", "together", "traffic", "listener", "variant",
];

/// Returns the minimal scenario with `line` in `table`. All placeholders are padded to the same
/// width, so that the positions of the other keys don't change.
fn minimal_with(table: &str, line: &str) -> String {
    let mut text = MINIMAL_SCENARIO.to_string();
    for name in TABLES {
        let own = if *name == table { line } else { "" };
        let padded = format!("{own:<LINE_WIDTH$}");
        assert_eq!(padded.len(), LINE_WIDTH, "{line}");
        text = text.replace(&format!("{{{name}}}"), &padded);
    }
    text
}

/// Returns the debug form of the parsed scenario, which is compared only within the same build.
fn parsed(text: &str) -> String {
    match Scenario::parse("scenario.toml", text) {
        Ok(scenario) => format!("{scenario:?}"),
        Err(error) => panic!("{error}\n{text}"),
    }
}

#[test]
fn optional_keys_left_out_have_recorded_defaults() {
    let minimal = parsed(&minimal_with("", ""));
    for (table, key, default, other) in DEFAULTS {
        let stated = |value: &str| parsed(&minimal_with(table, &format!("{key} = {value}")));
        assert_eq!(stated(default), minimal, "{table}.{key} = {default}");
        assert_ne!(
            stated(other),
            minimal,
            "{table}.{key} = {other} is not read"
        );
    }
}

#[test]
fn relays_without_key_peers_are_not_peers() {
    let minimal = parsed(&minimal_with("", ""));
    assert_eq!(parsed(&minimal_with("relays", "peers = false")), minimal);
    let without_voters = |line: &str| parsed(&minimal_with("relays", &format!("{line}voters = 0")));
    assert_ne!(without_voters("peers = true\n"), without_voters(""));
}

/// Returns the indices of all lines that state a key, with the keys.
fn stated_keys(text: &str) -> Vec<(usize, &str)> {
    let lines = text.lines().enumerate();
    lines
        .filter_map(|(index, line)| Some((index, line.split_once(" = ")?.0)))
        .collect()
}

/// Returns the text with the line at `index` replaced.
fn with_line(text: &str, index: usize, line: &str) -> String {
    let mut lines: Vec<&str> = text.lines().collect();
    lines[index] = line;
    lines.join("\n") + "\n"
}

/// Returns the error of an invalid scenario.
fn parse_error(text: &str) -> String {
    match Scenario::parse("scenario.toml", text) {
        Ok(_) => panic!("accepted:\n{text}"),
        Err(error) => error.to_string(),
    }
}

#[test]
fn scenario_with_every_key_is_accepted_and_with_a_misspelt_key_rejected() {
    parsed(EVERY_KEY);
    let keys = stated_keys(EVERY_KEY);
    let mut recording = String::new();
    for (index, key) in keys {
        let line = EVERY_KEY.lines().nth(index).unwrap();
        let misspelt = with_line(EVERY_KEY, index, &format!("unheard_of_{line}"));
        writeln!(recording, "{key}: {}", parse_error(&misspelt)).unwrap();
    }
    assert_unchanged("unknown_keys.txt", &recording);
}

#[test]
fn key_with_value_of_wrong_type_is_rejected_with_expected_type() {
    let mut recording = String::new();
    for (index, key) in stated_keys(EVERY_KEY) {
        // No key has a date as its value.
        let wrong = with_line(EVERY_KEY, index, &format!("{key} = 2026-01-01"));
        writeln!(recording, "{key}: {}", parse_error(&wrong)).unwrap();
    }
    assert_unchanged("wrong_values.txt", &recording);
}

#[test]
fn unknown_word_is_rejected_with_known_words() {
    let words = [
        ("listener", "effect = \"twice\""),
        ("listener", "scope = \"street\""),
        ("variant", "baseline = \"fastest\""),
    ];
    let mut recording = String::new();
    for (table, line) in words {
        let error = parse_error(&minimal_with(table, line));
        writeln!(recording, "{line}: {error}").unwrap();
    }
    let fault = "[[fault]]\nat = \"1s\"\nwhat = \"flood\"\n";
    let error = parse_error(&(minimal_with("", "") + fault));
    writeln!(recording, "fault: {error}").unwrap();
    assert_unchanged("unknown_words.txt", &recording);
}

/// Returns the paths of all shipped scenarios and budgets, ordered by name.
fn shipped_files() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../scenarios");
    let entries = std::fs::read_dir(folder).unwrap();
    let mut paths: Vec<PathBuf> = entries.map(|entry| entry.unwrap().path()).collect();
    paths.sort();
    paths
}

#[test]
fn shipped_file_is_accepted_and_with_an_unknown_key_rejected() {
    let mut recording = String::new();
    for path in shipped_files() {
        let text = std::fs::read_to_string(&path).unwrap();
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        if Budget::is_budget(&text) {
            let budget = Budget::parse(&text).unwrap();
            writeln!(recording, "{name}: {} limits", budget.limit_count()).unwrap();
            assert!(Budget::parse(&format!("{text}\nunheard_of = 1\n")).is_err());
            continue;
        }
        let scenario = Scenario::parse(&name, &text).unwrap_or_else(|error| panic!("{error}"));
        let error = parse_error(&format!("unheard_of = 1\n{text}"));
        assert!(error.contains("unheard_of"), "{name}: {error}");
        let counts = [
            ("boxes", scenario.fleet.backends),
            ("relays", scenario.relays.count),
            ("listeners", scenario.listeners.len()),
            ("faults", scenario.faults.len()),
            ("variants", scenario.variants.len()),
        ];
        let counts = counts.map(|(table, count)| format!("{count} {table}"));
        writeln!(recording, "{name}: {}", counts.join(", ")).unwrap();
    }
    assert_unchanged("shipped.txt", &recording);
}

#[test]
fn budget_with_unknown_key_is_rejected_with_known_keys() {
    let error = Budget::parse("[budget]\nunheard_of = 1\n").unwrap_err();
    assert_unchanged("budget_keys.txt", &format!("{error}\n"));
}
