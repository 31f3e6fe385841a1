//! Recorded text in this folder, compared with what a run gives; and masks for figures that differ
//! from run to run.
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// Where this variable is set the run writes the files and fails.
const RECORD: &str = "RECORD_GOLDEN";

fn path_of(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

/// A recorded file, for use as an input.
pub(crate) fn read(name: &str) -> String {
    std::fs::read_to_string(path_of(name)).unwrap()
}

/// Fails unless the recorded file holds exactly this.
pub(crate) fn assert_recorded(name: &str, actual: &str) {
    if std::env::var_os(RECORD).is_some() {
        std::fs::write(path_of(name), actual).unwrap();
        panic!("{name} is recorded; run again without {RECORD}");
    }
    let recorded = read(name);
    let pairs = recorded.lines().zip(actual.lines());
    for (number, (recorded_line, actual_line)) in pairs.enumerate() {
        assert_eq!(actual_line, recorded_line, "{name}, line {}", number + 1);
    }
    assert_eq!(actual, recorded, "{name}");
}

/// Bytes as printable text, with line endings as `\r\n`.
pub(crate) fn visible(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}

/// What passed on several connections, one line for each message.
#[derive(Default)]
pub(crate) struct Transcript {
    pub text: String,
}

impl Transcript {
    pub(crate) fn title(&mut self, title: &str) {
        writeln!(self.text, "# {title}").unwrap();
    }

    /// `who` tells the party and the direction, such as `client sends`.
    pub(crate) fn line(&mut self, who: &str, bytes: &[u8]) {
        writeln!(self.text, "{who}: {}", visible(bytes)).unwrap();
    }

    pub(crate) fn assert_recorded(&self, name: &str) {
        assert_recorded(name, &self.text);
    }
}

/// The text with the whole number behind each `marker` replaced by `#`.
pub(crate) fn mask_after(text: &str, marker: &str) -> String {
    let mut parts = text.split(marker);
    let mut masked = parts.next().unwrap_or_default().to_string();
    for part in parts {
        let rest = part.trim_start_matches(|sign: char| sign.is_ascii_digit());
        masked.push_str(marker);
        if rest.len() < part.len() {
            masked.push('#');
        }
        masked.push_str(rest);
    }
    masked
}

/// JSON text with each whole number replaced by `#` and each other number by `#.#`; strings, keys
/// and their order stay.
pub(crate) fn mask_numbers(json: &str) -> String {
    let is_number_sign = |sign: char| sign.is_ascii_digit() || "+-.eE".contains(sign);
    let (mut masked, mut rest, mut in_string) = (String::new(), json, false);
    while let Some(sign) = rest.chars().next() {
        if sign == '"' {
            in_string = !in_string;
        }
        if in_string || !(sign.is_ascii_digit() || sign == '-') {
            masked.push(sign);
            rest = &rest[sign.len_utf8()..];
            continue;
        }
        let end = rest
            .find(|sign| !is_number_sign(sign))
            .unwrap_or(rest.len());
        let is_whole = rest[..end].chars().all(|sign| sign.is_ascii_digit());
        masked.push_str(if is_whole { "#" } else { "#.#" });
        rest = &rest[end..];
    }
    masked
}

/// The paths of all keys of a JSON text, one a line; an array counts by its first element.
pub(crate) fn key_set(json: &str) -> String {
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
fn masks_mixed_text_only_numbers_replaced() {
    assert_eq!(mask_after("c=a,d=985,g=1", "d="), "c=a,d=#,g=1");
    assert_eq!(mask_after("BUSY", "BUSY "), "BUSY");
    assert_eq!(
        mask_numbers(r#"{"b0":[12,0.5,null,1e-7]}"#),
        r##"{"b0":[#,#.#,null,#.#]}"##
    );
    assert_eq!(key_set(r#"{"a":[{"b":1}],"c":2}"#), ".a\n.a[].b\n.c\n");
}
