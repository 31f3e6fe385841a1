//! Tests of the counts over logs.
use super::Counts;
use super::log_line::LogLine;
use std::path::Path;

const EXPECTED_TABLE: [&str; 5] = [
    "2 relays, spans of 2 s",
    "| from s | connect | ended:Reset | health_checked | health_checked:nothing |",
    "| 0 | 0 | 0 | 2 | 1 |",
    "| 2 | 1 | 1 | 0 | 0 |",
    "| b | 0.50/5 +0 | - +1 |",
];

fn assert_counted(logs: [&str; 2]) {
    let mut counts = Counts::new(2.0);
    logs.into_iter().for_each(|log| counts.add(log));
    let table = counts.table();
    for expected in EXPECTED_TABLE {
        assert!(table.contains(expected), "{expected}\n{table}");
    }
}

#[test]
fn add_logs_of_two_relays_sums_by_span_and_backend() {
    assert_counted([
        "0.500 [2026-12-01T17:30:44Z DEBUG thistlecroft_relay::trace] health_checked backend=b outcome=Ok connections=4 load=0.250\n\
         0.700 [2026-12-01T17:30:44Z DEBUG thistlecroft_relay::trace] health_checked backend=b outcome=Ok connections=-1 load=-1.000\n\
         2.000 [2026-12-01T17:30:46Z DEBUG thistlecroft_relay::trace] connect session=1 backend=b timeout_ms=300\n\
         2.100 [2026-12-01T17:30:46Z WARN thistlecroft_relay::discovery] discovery at here: silent\n\
         no stamp at all\n",
        "1.900 [2026-12-01T17:30:45Z DEBUG thistlecroft_relay::trace] health_checked backend=b outcome=Ok connections=6 load=0.750\n\
         3.999 [2026-12-01T17:30:47Z DEBUG thistlecroft_relay::trace] ended session=1 attempt=0 outcome=Reset answered=true\n",
    ]);
}

#[test]
fn add_log_with_former_names_counts_under_present_names() {
    assert_counted([
        "0.500 [2026-12-01T17:30:44Z DEBUG thistlecroft_relay::trace] probed box=b verdict=Ok held=4 load=0.250\n\
         0.700 [2026-12-01T17:30:44Z DEBUG thistlecroft_relay::trace] probed box=b verdict=Ok held=-1 load=-1.000\n\
         2.000 [2026-12-01T17:30:46Z DEBUG thistlecroft_relay::trace] dial session=1 box=b wait_ms=300\n\
         2.100 [2026-12-01T17:30:46Z WARN thistlecroft_relay::discovery] discovery at here: silent\n\
         no stamp at all\n",
        "1.900 [2026-12-01T17:30:45Z DEBUG thistlecroft_relay::trace] health_checked backend=b outcome=Ok connections=6 load=0.750\n\
         3.999 [2026-12-01T17:30:47Z DEBUG thistlecroft_relay::trace] ended session=1 dial=0 verdict=Reset over=true\n",
    ]);
}

#[test]
fn parse_line_without_collector_seconds_uses_its_timestamp() {
    let line = "[2026-12-01T01:02:03Z DEBUG x] connect session=1 backend=b timeout_ms=1";
    let line = LogLine::parse(line).unwrap();
    assert_eq!(
        (line.at_s, line.message),
        (3_723.0, "connect session=1 backend=b timeout_ms=1")
    );
}

#[test]
fn read_invalid_input_fails_with_one_line_error() {
    let folder = std::env::temp_dir().join(format!("thistlecroft-count-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(
        folder.join("n0.log"),
        "[2026-12-01T01:02:03Z INFO x] serves\n",
    )
    .unwrap();
    for (path, span_s, expected) in [
        (folder.as_path(), 1.0, "no .log file with an event to count"),
        (folder.as_path(), 0.0, "longer than no time"),
        (Path::new("/nowhere/at/all"), 1.0, "/nowhere/at/all"),
    ] {
        let error = Counts::read(path, span_s).unwrap_err().to_string();
        assert!(error.contains(expected) && !error.contains('\n'), "{error}");
    }
    std::fs::remove_dir_all(&folder).unwrap();
}
