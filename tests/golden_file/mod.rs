//! Golden files: recorded output that a test compares with what the code writes now.
//!
//! `RECORD_GOLDEN=1 cargo test --test golden` rewrites the files. Such a run fails on purpose,
//! so that a recording is never taken for a passed comparison.
use std::path::Path;

/// Asserts that `actual` equals the recorded file, byte for byte.
///
/// # Panics
/// If they differ, with the first line that does; if the recorded file cannot be read; and after
/// recording.
pub(crate) fn assert_unchanged(file: &Path, actual: &str) {
    if std::env::var_os("RECORD_GOLDEN").is_some() {
        std::fs::write(file, actual).expect("the golden file can be written");
        panic!(
            "golden file {} recorded; run again without RECORD_GOLDEN",
            file.display()
        );
    }
    let recorded = std::fs::read_to_string(file)
        .unwrap_or_else(|error| panic!("cannot read the golden file {}: {error}", file.display()));
    if recorded == actual {
        return;
    }
    let same_lines = recorded
        .lines()
        .zip(actual.lines())
        .take_while(|(before, now)| before == now)
        .count();
    panic!(
        "{}:{} differs from the output of this run\n  recorded: {:?}\n  now:      {:?}",
        file.display(),
        same_lines + 1,
        recorded.lines().nth(same_lines),
        actual.lines().nth(same_lines),
    );
}
