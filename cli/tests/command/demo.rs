//! Tests of `thistlecroft demo`.
use crate::helper::{decode, run};

#[test]
fn demo_without_files_shows_each_fault_and_ends_with_rules_kept() {
    let output = run(&["demo", "--plain"]);
    let stdout = decode(&output.stdout);
    let last_line = stdout.lines().last().unwrap();
    assert!(
        output.status.success(),
        "{stdout}{}",
        decode(&output.stderr)
    );
    let words: Vec<&str> = last_line.split([' ', ',']).collect();
    assert!(
        matches!(words[..], ["answered", count, "of", owed, "", "rules", "kept"] if count == owed),
        "{last_line}"
    );
    assert!(
        ["silent", "drain", "join"]
            .iter()
            .all(|fault| stdout.contains(fault)),
        "{stdout}"
    );
}
