//! The operators' commands: each one, each error answer that can be caused from outside, and the
//! keys of the JSON answers.
use crate::helper::*;
use crate::platform::{Platform, RelayProcess, wait_for};
use crate::recorded::{Transcript, assert_recorded, key_set, mask_after};
use std::fs::OpenOptions;
use std::net::SocketAddr;

const LOCK: &str = "thistlecroft-bans.lock";
/// The line of a charter by which one relay grants all leases.
const VOTERS: &str = "voters = [\"r0\"]\n";

fn exchange(transcript: &mut Transcript, process: &RelayProcess, command: &[u8]) {
    let answer = process.admin_answer(command);
    transcript.line("operator", command);
    transcript.line("   relay", answer.as_bytes());
}

#[test]
fn admin_commands_without_peers_answers_are_as_recorded() {
    let platform = Platform::new("admin");
    let process = platform.start_ready(&platform.config(&[unused_address()], false));
    let long_line = [b'x'; 5_000];
    let commands: &[&[u8]] = &[
        b"READY\n",
        b"READY\r\n",
        b"  READY  \r\n",
        b"READY\nDISABLE b0\n",
        b"READY now\n",
        b"ready\n",
        b"DISABLE b0\r\n",
        b"DISABLE b0\n",
        b"ENABLE b0\n",
        b"ENABLE b0\n",
        b"DISABLE b7\n",
        b"ENABLE b7\n",
        b"DISABLE\n",
        b"ENABLE\n",
        b"DISABLE b0 b1\n",
        b"DISABLE \xff\xfe\n",
        b"",
        b"\r\n",
        b"READY",
        b"GET / HTTP/1.1\r\n",
        b"STATUS\n",
        b"PEERS\n",
        b"PEERS all\n",
        b"NOTES\n",
        b"NOTES all\n",
        b"NOTE subject value\n",
        b"NOTE subject\n",
        b"NOTE\n",
        b"NOTE subject value more\n",
        b"LEASE turn\n",
        b"LEASE\n",
        b"RELEASE turn\n",
        b"RELEASE\n",
    ];
    let mut transcript = Transcript::default();
    for command in commands {
        exchange(&mut transcript, &process, command);
    }
    transcript.title("a line of 5,000 bytes");
    let answer = process.admin_answer(&long_line);
    transcript.line("   relay", answer.as_bytes());
    transcript.assert_recorded("admin_answers.txt");
}

#[test]
fn admin_bans_that_can_not_be_kept_answers_are_as_recorded() {
    let platform = Platform::new("admin-bans");
    let process = platform.start_ready(&platform.config(&[unused_address()], false));
    let mut transcript = Transcript::default();
    transcript.title("another process holds the lock");
    let lock_path = platform.folder.join(LOCK);
    let lock = OpenOptions::new()
        .create(true)
        .append(true)
        .open(&lock_path)
        .unwrap();
    lock.lock().unwrap();
    exchange(&mut transcript, &process, b"DISABLE b0\n");
    drop(lock);
    transcript.title("the lock is a folder");
    std::fs::remove_file(&lock_path).unwrap();
    std::fs::create_dir(&lock_path).unwrap();
    exchange(&mut transcript, &process, b"DISABLE b0\n");
    transcript.assert_recorded("admin_ban_faults.txt");
}

#[test]
fn admin_ready_without_a_list_is_refused_as_recorded() {
    let platform = Platform::new("admin-unlisted");
    let text = config(platform.address(), unused_address(), 1_000, "null", false);
    let process = platform.start(&text);
    assert_eq!(
        process.admin_answer(b"READY\n"),
        "400 no list of backends yet\r\n"
    );
}

/// Where relays of one test hear one another.
struct PeerAddresses {
    own: SocketAddr,
    seed: SocketAddr,
}

/// A platform and a configuration for a relay that may know of others; `voters` is a line of the
/// charter or nothing.
fn platform_with_peers(name: &str, voters: &str, at: &PeerAddresses) -> (Platform, String) {
    let mut platform = Platform::new(name);
    let key_file = platform.folder.join("peers.key");
    std::fs::write(&key_file, "golden-test-key-0123456789\n").unwrap();
    let charter = platform.folder.join("charter.toml");
    let table = format!(
        "[peers]\nfleet = \"golden\"\nlisten = \"{}\"\nkey_file = \"{}\"\n\
         seeds = [\"{}\"]\n{voters}period = \"200ms\"\nlease = \"2s\"\n",
        at.own,
        key_file.display(),
        at.seed
    );
    std::fs::write(&charter, table).unwrap();
    platform.charter = Some(charter);
    let text = config(
        platform.address(),
        unused_address(),
        1_000,
        &ready_backends(&[unused_address()]),
        false,
    );
    let text = text.replace("\"mayCancel\"", "\"peers\": true, \"mayCancel\"");
    (platform, text)
}

fn alone() -> PeerAddresses {
    let own = unused_address();
    PeerAddresses { own, seed: own }
}

fn json_answer(process: &RelayProcess, command: &str) -> String {
    let answer = process.admin_answer(command.as_bytes());
    let json = answer
        .strip_prefix("200 ")
        .and_then(|rest| rest.strip_suffix("\r\n"));
    json.expect("a JSON answer").to_string()
}

#[test]
fn admin_commands_with_peers_answers_are_as_recorded() {
    let (platform, text) = platform_with_peers("admin-peers", VOTERS, &alone());
    let process = platform.start_ready(&text);
    let mut transcript = Transcript::default();
    exchange(&mut transcript, &process, b"NOTE release 1.4\n");
    let long_note = format!("NOTE release {}\n", "x".repeat(400));
    exchange(&mut transcript, &process, long_note.as_bytes());
    transcript.title("a lease, asked for until it is held");
    let mut answers = Vec::new();
    wait_for("a lease", || {
        let answer = process.admin_answer(b"LEASE turn\n");
        let masked = mask_after(&mask_after(&answer, "200 held "), "200 held # ");
        if answers.last() != Some(&masked) {
            answers.push(masked.clone());
        }
        masked.starts_with("200").then_some(())
    });
    for answer in &answers {
        transcript.line("   relay", answer.as_bytes());
    }
    let keys = key_set(&json_answer(&process, "PEERS\n"));
    let note_keys = key_set(&json_answer(&process, "NOTES\n"));
    exchange(&mut transcript, &process, b"RELEASE turn\n");
    transcript.text += &format!("# keys of PEERS\n{keys}# keys of NOTES\n{note_keys}");
    transcript.assert_recorded("admin_peers_answers.txt");
}

#[test]
fn admin_leases_without_voters_are_refused_as_recorded() {
    let (platform, text) = platform_with_peers("admin-no-voters", "", &alone());
    let process = platform.start_ready(&text);
    let mut transcript = Transcript::default();
    exchange(&mut transcript, &process, b"LEASE turn\n");
    exchange(&mut transcript, &process, b"RELEASE turn\n");
    transcript.text += &key_set(&json_answer(&process, "PEERS\n"));
    assert_recorded("admin_no_voters.txt", &transcript.text);
}

#[test]
fn admin_answers_of_two_relays_that_know_each_other_are_as_recorded() {
    let (own, other) = (unused_address(), unused_address());
    let addresses = PeerAddresses { own, seed: other };
    let (platform, text) = platform_with_peers("admin-two-first", VOTERS, &addresses);
    let first = platform.start_ready(&text);
    let addresses = PeerAddresses {
        own: other,
        seed: own,
    };
    let (beside, text) = platform_with_peers("admin-two-second", VOTERS, &addresses);
    let second = beside.start_ready(&text.replace("\"r0\"", "\"r1\""));
    let view = wait_for("the other relay", || {
        let view = json_answer(&first, "PEERS\n");
        view.contains("\"name\":\"r1\"").then_some(view)
    });
    let mut transcript = Transcript::default();
    transcript.text += &key_set(&view);
    wait_for("a lease", || {
        first
            .admin_answer(b"LEASE turn\n")
            .starts_with("200 held")
            .then_some(())
    });
    let refused = wait_for("a refusal", || {
        let answer = second.admin_answer(b"LEASE turn\n");
        answer.starts_with("400 held").then_some(answer)
    });
    let view = parsed(&view);
    let holder = view["me"].as_str().unwrap();
    transcript.line("refused", refused.replace(holder, "HOLDER").as_bytes());
    // A name, and the number of one run in hexadecimal digits.
    let (name, run) = holder.split_once('/').unwrap();
    assert_eq!((name, run.len()), ("r0", 8));
    assert!(u32::from_str_radix(run, 16).is_ok(), "{run}");
    let vote = parsed(&json_answer(&first, "PEERS\n"))["leases"]["vote"].to_string();
    transcript.line("vote of the one voter", vote.as_bytes());
    let other_vote = parsed(&json_answer(&second, "PEERS\n"))["leases"]["vote"].to_string();
    transcript.line("vote of the other relay", other_vote.as_bytes());
    drop(second);
    let mut standings: Vec<String> = Vec::new();
    wait_for("the other relay is gone", || {
        let view = parsed(&json_answer(&first, "PEERS\n"));
        let standing = view["peers"][0]["standing"].as_str().unwrap().to_string();
        if standings.last() != Some(&standing) {
            standings.push(standing.clone());
        }
        (standing == "gone").then_some(())
    });
    transcript.line(
        "standings of a killed relay",
        standings.join(" ").as_bytes(),
    );
    transcript.assert_recorded("admin_two_relays.txt");
}

fn parsed(json: &str) -> serde_json::Value {
    serde_json::from_str(json).unwrap()
}
