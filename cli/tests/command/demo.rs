//! The demonstration.
use crate::helper::{run, text};

#[test]
fn demo_without_files_ends_with_one_line() {
    let done = run(&["demo", "--plain"]);
    let said = text(&done.stdout);
    let last = said.lines().last().unwrap();
    assert!(done.status.success(), "{said}{}", text(&done.stderr));
    let words: Vec<&str> = last.split([' ', ',']).collect();
    assert!(
        matches!(words[..], ["answered", one, "of", two, "", "rules", "kept"] if one == two),
        "{last}"
    );
    assert!(
        ["silent", "drain", "join"]
            .iter()
            .all(|what| said.contains(what)),
        "{said}"
    );
}
