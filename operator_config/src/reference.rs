//! The reference page for operators, printed from the table of keys.
use crate::keys::{SECTIONS, Section};
use std::fmt::Write;

const INTRODUCTION: &str = "\
# Keys of the operator configuration

Written by `thistlecroft charter reference`; a test compares this page with the table that the parser uses.
`charter.md` describes how the file is used.
";

/// Returns the whole page, in Markdown.
pub fn reference_page() -> String {
    let mut page = String::from(INTRODUCTION);
    for section in SECTIONS {
        write_section(&mut page, section).expect("writing to a string succeeds");
    }
    page
}

fn write_section(page: &mut String, section: &Section) -> std::fmt::Result {
    let header = match section.header {
        "" => "The file",
        header => header,
    };
    writeln!(page, "\n## {header}\n\n{}\n", section.description)?;
    writeln!(page, "| key | value | meaning | default |")?;
    writeln!(page, "| --- | --- | --- | --- |")?;
    for key in section.keys {
        let (name, kind) = (key.name, key.kind.description());
        let (meaning, default) = (key.description, key.default);
        writeln!(page, "| `{name}` | {kind} | {meaning} | {default} |")?;
    }
    Ok(())
}
