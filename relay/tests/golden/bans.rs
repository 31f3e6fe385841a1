//! Golden tests of the file in which the processes of a relay share bans.
use crate::helper::*;
use crate::platform::{Platform, RelayProcess};
use crate::recorded::{assert_recorded, read_recorded};

const BAN_FILE: &str = "thistlecroft-bans";
const RECORDED_BAN_FILE: &str = "ban_file.txt";

/// Returns the names of the ban store's files in the shared folder.
fn file_names(platform: &Platform) -> Vec<String> {
    let entries = std::fs::read_dir(&platform.folder).unwrap();
    let mut names: Vec<String> = entries
        .map(|entry| entry.unwrap().file_name().into_string().unwrap())
        .filter(|name| name.starts_with(BAN_FILE))
        .collect();
    names.sort();
    names
}

/// Starts a process with the backends `b0`, `b1` and `b2`.
fn start_ready(platform: &Platform) -> RelayProcess {
    platform.start_ready(&platform.config(
        &[unused_address(), unused_address(), unused_address()],
        false,
    ))
}

#[test]
fn ban_file_after_three_bans_and_one_removal_is_as_recorded() {
    let platform = Platform::new("bans-written");
    let process = start_ready(&platform);
    for command in [
        "DISABLE b2\n",
        "DISABLE b0\n",
        "DISABLE b1\n",
        "ENABLE b0\n",
    ] {
        assert!(process.admin_answer(command.as_bytes()).starts_with("200"));
    }
    assert_eq!(file_names(&platform), [BAN_FILE, "thistlecroft-bans.lock"]);
    let written = std::fs::read_to_string(platform.folder.join(BAN_FILE)).unwrap();
    assert_recorded(RECORDED_BAN_FILE, &written);
}

#[test]
fn recorded_ban_file_found_at_start_is_applied() {
    let platform = Platform::new("bans-read");
    std::fs::write(
        platform.folder.join(BAN_FILE),
        read_recorded(RECORDED_BAN_FILE),
    )
    .unwrap();
    let process = start_ready(&platform);
    let answers = ["b0", "b1", "b2"]
        .map(|backend| process.admin_answer(format!("ENABLE {backend}\n").as_bytes()));
    assert_eq!(
        answers,
        ["200 was not out\r\n", "200 back\r\n", "200 back\r\n"]
    );
}

#[test]
fn recorded_ban_file_with_one_bit_changed_is_ignored() {
    let valid = read_recorded(RECORDED_BAN_FILE).into_bytes();
    for position in [0, valid.len() / 2, valid.len() - 2] {
        let platform = Platform::new(&format!("bans-changed-{position}"));
        let mut changed = valid.clone();
        changed[position] ^= 1;
        std::fs::write(platform.folder.join(BAN_FILE), changed).unwrap();
        let process = start_ready(&platform);
        let answer = process.admin_answer(b"ENABLE b2\n");
        assert_eq!(answer, "200 was not out\r\n", "byte {position}");
    }
}
