//! The reference page, from the tables that the reader goes by.
use crate::keys::SECTIONS;
use std::fmt::Write;

pub fn reference_page() -> String {
    let mut page = String::from(
        "# The charter's keys\n\nWritten by `thistlecroft charter reference`; a test compares it with the reader's tables. How the file is used is told in\n\
         `charter.md`.\n",
    );
    for section in SECTIONS {
        let header = if section.header.is_empty() {
            "The file"
        } else {
            section.header
        };
        let _ = write!(
            page,
            "\n## {header}\n\n{}\n\n| key | holds | meaning | not stated |\n| --- | --- | --- | --- |\n",
            section.about
        );
        for key in section.keys {
            let _ = writeln!(
                page,
                "| `{}` | {} | {} | {} |",
                key.name,
                key.kind.says(),
                key.about,
                key.unstated
            );
        }
    }
    page
}
