//! Golden files: recorded output that a test compares with what the code writes now.
//!
//! `RECORD_GOLDEN=1 cargo test --test golden` writes the files anew. Such a run fails on purpose,
//! so that a recording is never taken for a passed comparison.
use std::path::Path;

/// Compares `actual` with the recorded file, byte for byte.
///
/// # Panics
/// Where they differ, with the first line that does; where there is no recorded file; and after
/// recording.
pub(crate) fn assert_unchanged(file: &Path, actual: &str) {
    if std::env::var_os("RECORD_GOLDEN").is_some() {
        std::fs::write(file, actual).expect("the golden file can be written");
        panic!(
            "{} recorded; run again without RECORD_GOLDEN",
            file.display()
        );
    }
    let recorded =
        std::fs::read_to_string(file).unwrap_or_else(|fault| panic!("{}: {fault}", file.display()));
    if recorded == actual {
        return;
    }
    let same_lines = recorded
        .lines()
        .zip(actual.lines())
        .take_while(|(before, now)| before == now)
        .count();
    panic!(
        "{}:{} has changed\n  recorded: {:?}\n  now:      {:?}",
        file.display(),
        same_lines + 1,
        recorded.lines().nth(same_lines),
        actual.lines().nth(same_lines),
    );
}
