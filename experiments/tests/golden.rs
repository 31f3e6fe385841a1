//! The keys of scenario files and budgets: which there are, what they hold, and what holds without
//! them.
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

/// Every key of every table, once.
const EVERY_KEY: &str = include_str!("golden/every_key.toml");

/// A scenario that states what it must and nothing else, with a line of its own in each table.
const LEAST: &str = r#"about = "least"
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

/// Keys that may be left out: table, key, the value that holds then, and another one.
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

/// Wide enough for any line that is put into `LEAST`.
const LINE_WIDTH: usize = 60;
const TABLES: &[&str] = &[
    "top", "fleet", "relays", "together", "traffic", "listener", "variant",
];

/// The least scenario with this line in that table. Every line is padded to one width, so that
/// nothing else moves in the text.
fn least_with(table: &str, line: &str) -> String {
    let mut text = LEAST.to_string();
    for name in TABLES {
        let own = if *name == table { line } else { "" };
        let padded = format!("{own:<LINE_WIDTH$}");
        assert_eq!(padded.len(), LINE_WIDTH, "{line}");
        text = text.replace(&format!("{{{name}}}"), &padded);
    }
    text
}

/// What a text was read as; only ever compared with another one of the same build.
fn read_as(text: &str) -> String {
    match Scenario::parse("scenario.toml", text) {
        Ok(scenario) => format!("{scenario:?}"),
        Err(fault) => panic!("{fault}\n{text}"),
    }
}

#[test]
fn keys_that_are_left_out_hold_the_recorded_defaults() {
    let least = read_as(&least_with("", ""));
    for (table, key, default, other) in DEFAULTS {
        let stated = |value: &str| read_as(&least_with(table, &format!("{key} = {value}")));
        assert_eq!(stated(default), least, "{table}.{key} = {default}");
        assert_ne!(stated(other), least, "{table}.{key} = {other} is not read");
    }
}

#[test]
fn relays_are_no_peers_unless_it_is_stated() {
    let least = read_as(&least_with("", ""));
    assert_eq!(read_as(&least_with("relays", "peers = false")), least);
    let without_voters = |line: &str| read_as(&least_with("relays", &format!("{line}voters = 0")));
    assert_ne!(without_voters("peers = true\n"), without_voters(""));
}

/// The places of all lines that state a key, with the key.
fn stated_keys(text: &str) -> Vec<(usize, &str)> {
    let lines = text.lines().enumerate();
    lines
        .filter_map(|(place, line)| Some((place, line.split_once(" = ")?.0)))
        .collect()
}

fn with_line(text: &str, place: usize, line: &str) -> String {
    let mut lines: Vec<&str> = text.lines().collect();
    lines[place] = line;
    lines.join("\n") + "\n"
}

/// The refusal of a text.
fn refusal(text: &str) -> String {
    match Scenario::parse("scenario.toml", text) {
        Ok(_) => panic!("accepted:\n{text}"),
        Err(fault) => fault.to_string(),
    }
}

#[test]
fn a_scenario_with_every_key_is_read_and_each_key_misspelt_is_refused() {
    read_as(EVERY_KEY);
    let keys = stated_keys(EVERY_KEY);
    let mut recording = String::new();
    for (place, key) in keys {
        let line = EVERY_KEY.lines().nth(place).unwrap();
        let misspelt = with_line(EVERY_KEY, place, &format!("unheard_of_{line}"));
        writeln!(recording, "{key}: {}", refusal(&misspelt)).unwrap();
    }
    assert_unchanged("unknown_keys.txt", &recording);
}

#[test]
fn a_key_that_holds_something_else_is_refused_with_what_it_should_hold() {
    let mut recording = String::new();
    for (place, key) in stated_keys(EVERY_KEY) {
        // A date is what no key holds.
        let wrong = with_line(EVERY_KEY, place, &format!("{key} = 2026-01-01"));
        writeln!(recording, "{key}: {}", refusal(&wrong)).unwrap();
    }
    assert_unchanged("wrong_values.txt", &recording);
}

#[test]
fn words_that_are_not_known_are_refused_with_those_that_are() {
    let words = [
        ("listener", "effect = \"twice\""),
        ("listener", "scope = \"street\""),
        ("variant", "baseline = \"fastest\""),
    ];
    let mut recording = String::new();
    for (table, line) in words {
        let refused = refusal(&least_with(table, line));
        writeln!(recording, "{line}: {refused}").unwrap();
    }
    let fault = "[[fault]]\nat = \"1s\"\nwhat = \"flood\"\n";
    let refused = refusal(&(least_with("", "") + fault));
    writeln!(recording, "fault: {refused}").unwrap();
    assert_unchanged("unknown_words.txt", &recording);
}

/// The files of the folder of scenarios, in order.
fn shipped() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../scenarios");
    let entries = std::fs::read_dir(folder).unwrap();
    let mut paths: Vec<PathBuf> = entries.map(|entry| entry.unwrap().path()).collect();
    paths.sort();
    paths
}

#[test]
fn every_shipped_file_is_read_and_refused_with_an_unknown_key() {
    let mut recording = String::new();
    for path in shipped() {
        let text = std::fs::read_to_string(&path).unwrap();
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        if Budget::is_one(&text) {
            let budget = Budget::parse(&text).unwrap();
            writeln!(recording, "{name}: {} limits", budget.limits()).unwrap();
            assert!(Budget::parse(&format!("{text}\nunheard_of = 1\n")).is_err());
            continue;
        }
        let scenario = Scenario::parse(&name, &text).unwrap_or_else(|fault| panic!("{fault}"));
        let refused = refusal(&format!("unheard_of = 1\n{text}"));
        assert!(refused.contains("unheard_of"), "{name}: {refused}");
        let counts = [
            ("boxes", scenario.fleet.backends),
            ("relays", scenario.relays.count),
            ("listeners", scenario.listeners.len()),
            ("faults", scenario.faults.len()),
            ("variants", scenario.variants.len()),
        ];
        let counts = counts.map(|(what, count)| format!("{count} {what}"));
        writeln!(recording, "{name}: {}", counts.join(", ")).unwrap();
    }
    assert_unchanged("shipped.txt", &recording);
}

#[test]
fn a_budget_with_an_unknown_key_is_refused_with_the_known_ones() {
    let refused = Budget::parse("[budget]\nunheard_of = 1\n").unwrap_err();
    assert_unchanged("budget_keys.txt", &format!("{refused}\n"));
}
