//! Counts over logs.
use super::Counts;
use super::log_line::LogLine;
use std::path::Path;

#[test]
fn logs_of_two_relays_are_summed_by_span_and_backend() {
    let mut counts = Counts::new(2.0);
    counts.add(
        "0.500 [2026-12-01T17:30:44Z DEBUG thistlecroft_relay::trace] probed box=b verdict=Ok held=4 load=0.250\n\
         0.700 [2026-12-01T17:30:44Z DEBUG thistlecroft_relay::trace] probed box=b verdict=Ok held=-1 load=-1.000\n\
         2.000 [2026-12-01T17:30:46Z DEBUG thistlecroft_relay::trace] dial session=1 box=b wait_ms=300\n\
         2.100 [2026-12-01T17:30:46Z WARN thistlecroft_relay::discovery] discovery at here: silent\n\
         no stamp at all\n",
    );
    counts.add(
        "1.900 [2026-12-01T17:30:45Z DEBUG thistlecroft_relay::trace] probed box=b verdict=Ok held=6 load=0.750\n\
         3.999 [2026-12-01T17:30:47Z DEBUG thistlecroft_relay::trace] ended session=1 dial=0 verdict=Reset over=true\n",
    );
    let table = counts.table();
    for expected in [
        "2 relays, spans of 2 s",
        "| from s | dial | ended:Reset | probed | probed:nothing |",
        "| 0 | 0 | 0 | 2 | 1 |",
        "| 2 | 1 | 1 | 0 | 0 |",
        "| b | 0.50/5 +0 | - +1 |",
    ] {
        assert!(table.contains(expected), "{expected}\n{table}");
    }
    // Without a collector's seconds the stamp's own count.
    let line = "[2026-12-01T01:02:03Z DEBUG x] dial session=1 box=b wait_ms=1";
    let line = LogLine::parse(line).unwrap();
    assert_eq!(
        (line.at_s, line.message),
        (3_723.0, "dial session=1 box=b wait_ms=1")
    );
}

#[test]
fn folder_without_events_is_an_error_of_one_line() {
    let folder = std::env::temp_dir().join(format!("thistlecroft-count-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(
        folder.join("n0.log"),
        "[2026-12-01T01:02:03Z INFO x] serves\n",
    )
    .unwrap();
    for (path, span_s, expected) in [
        (folder.as_path(), 1.0, "no line to count"),
        (folder.as_path(), 0.0, "longer than no time"),
        (Path::new("/nowhere/at/all"), 1.0, "/nowhere/at/all"),
    ] {
        let fault = Counts::read(path, span_s).unwrap_err().to_string();
        assert!(fault.contains(expected) && !fault.contains('\n'), "{fault}");
    }
    std::fs::remove_dir_all(&folder).unwrap();
}
