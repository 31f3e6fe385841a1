//! Comparison with the recorded texts in this folder, and masks for numbers that differ from run to
//! run.
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// The environment variable that makes a run write the recorded files, and fail.
const RECORD_VARIABLE: &str = "RECORD_GOLDEN";

fn path_of(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

/// Returns the contents of a recorded file.
pub(crate) fn read_recorded(name: &str) -> String {
    std::fs::read_to_string(path_of(name)).unwrap()
}

/// Asserts that the recorded file holds exactly this text.
pub(crate) fn assert_recorded(name: &str, actual: &str) {
    if std::env::var_os(RECORD_VARIABLE).is_some() {
        std::fs::write(path_of(name), actual).unwrap();
        panic!("{name} is recorded; run again without {RECORD_VARIABLE}");
    }
    let recorded = read_recorded(name);
    let pairs = recorded.lines().zip(actual.lines());
    for (number, (recorded_line, actual_line)) in pairs.enumerate() {
        assert_eq!(actual_line, recorded_line, "{name}, line {}", number + 1);
    }
    assert_eq!(actual, recorded, "{name}");
}

/// Returns the bytes as printable text, with line endings as `\r\n`.
pub(crate) fn escape(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}

/// The messages of several connections, one per line.
#[derive(Default)]
pub(crate) struct Transcript {
    pub text: String,
}

impl Transcript {
    /// Adds a comment line that describes the messages after it.
    pub(crate) fn title(&mut self, title: &str) {
        writeln!(self.text, "# {title}").unwrap();
    }

    /// Adds a message; `who` names the party and the direction, such as `client sends`.
    pub(crate) fn line(&mut self, who: &str, bytes: &[u8]) {
        writeln!(self.text, "{who}: {}", escape(bytes)).unwrap();
    }

    pub(crate) fn assert_recorded(&self, name: &str) {
        assert_recorded(name, &self.text);
    }
}

/// Replaces the whole number after each `marker` by `#`.
pub(crate) fn mask_after(text: &str, marker: &str) -> String {
    let mut parts = text.split(marker);
    let mut masked = parts.next().unwrap_or_default().to_string();
    for part in parts {
        let rest = part.trim_start_matches(|c: char| c.is_ascii_digit());
        masked.push_str(marker);
        if rest.len() < part.len() {
            masked.push('#');
        }
        masked.push_str(rest);
    }
    masked
}

/// Replaces each whole number in a JSON text by `#` and each other number by `#.#`. Strings, keys
/// and their order stay.
pub(crate) fn mask_numbers(json: &str) -> String {
    let is_in_number = |c: char| c.is_ascii_digit() || "+-.eE".contains(c);
    let (mut masked, mut rest, mut in_string) = (String::new(), json, false);
    while let Some(c) = rest.chars().next() {
        if c == '"' {
            in_string = !in_string;
        }
        if in_string || !(c.is_ascii_digit() || c == '-') {
            masked.push(c);
            rest = &rest[c.len_utf8()..];
            continue;
        }
        let end = rest.find(|c| !is_in_number(c)).unwrap_or(rest.len());
        let is_whole = rest[..end].chars().all(|c| c.is_ascii_digit());
        masked.push_str(if is_whole { "#" } else { "#.#" });
        rest = &rest[end..];
    }
    masked
}

/// Returns the paths of all keys of a JSON text, one per line. Of an array, only the first element
/// is read.
pub(crate) fn key_paths(json: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(json).unwrap();
    let mut keys = Vec::new();
    collect_keys(&value, "", &mut keys);
    keys.iter().map(|key| format!("{key}\n")).collect()
}

fn collect_keys(value: &serde_json::Value, path: &str, keys: &mut Vec<String>) {
    match value {
        serde_json::Value::Object(map) => {
            for (key, inner) in map {
                let inner_path = format!("{path}.{key}");
                keys.push(inner_path.clone());
                collect_keys(inner, &inner_path, keys);
            }
        }
        serde_json::Value::Array(items) => {
            if let Some(first) = items.first() {
                collect_keys(first, &format!("{path}[]"), keys);
            }
        }
        _ => {}
    }
}

#[test]
fn masks_of_mixed_text_replace_only_numbers() {
    assert_eq!(mask_after("c=a,d=985,g=1", "d="), "c=a,d=#,g=1");
    assert_eq!(mask_after("BUSY", "BUSY "), "BUSY");
    assert_eq!(
        mask_numbers(r#"{"b0":[12,0.5,null,1e-7]}"#),
        r##"{"b0":[#,#.#,null,#.#]}"##
    );
    assert_eq!(key_paths(r#"{"a":[{"b":1}],"c":2}"#), ".a\n.a[].b\n.c\n");
}
