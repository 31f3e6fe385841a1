//! Golden tests of the admin port: every command, every error that can be caused from outside, and
//! the keys of the JSON answers.
use crate::helper::*;
use crate::platform::{Platform, RelayProcess, wait_for};
use crate::recorded::{Transcript, assert_recorded, key_paths, mask_after};
use std::fs::OpenOptions;
use std::net::SocketAddr;

const LOCK_FILE: &str = "thistlecroft-bans.lock";
/// The line of an operator configuration that makes one relay the only voter.
const VOTERS: &str = "voters = [\"r0\"]\n";

/// Sends a command and adds it and its answer to the transcript.
fn exchange(transcript: &mut Transcript, process: &RelayProcess, command: &[u8]) {
    let answer = process.admin_answer(command);
    transcript.line("operator", command);
    transcript.line("   relay", answer.as_bytes());
}

#[test]
fn admin_commands_without_peers_are_answered_as_recorded() {
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
fn admin_bans_that_can_not_be_stored_are_answered_as_recorded() {
    let platform = Platform::new("admin-bans");
    let process = platform.start_ready(&platform.config(&[unused_address()], false));
    let mut transcript = Transcript::default();
    transcript.title("another process holds the lock");
    let lock_path = platform.folder.join(LOCK_FILE);
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
fn admin_ready_without_an_endpoint_list_is_rejected() {
    let platform = Platform::new("admin-unlisted");
    let text = config(platform.address(), unused_address(), 1_000, "null", false);
    let process = platform.start(&text);
    assert_eq!(
        process.admin_answer(b"READY\n"),
        "400 no list of backends yet\r\n"
    );
}

/// The address for peers of a relay, and the address of its seed.
struct PeerAddresses {
    own: SocketAddr,
    seed: SocketAddr,
}

/// Returns a platform and a configuration for a relay with peers. `voters` is the line with the
/// voters in the operator configuration, or empty.
fn platform_with_peers(name: &str, voters: &str, addresses: &PeerAddresses) -> (Platform, String) {
    let mut platform = Platform::new(name);
    let key_file = platform.folder.join("peers.key");
    std::fs::write(&key_file, "golden-test-key-0123456789\n").unwrap();
    let operator_config = platform.folder.join("charter.toml");
    let table = format!(
        "[peers]\nfleet = \"golden\"\nlisten = \"{}\"\nkey_file = \"{}\"\n\
         seeds = [\"{}\"]\n{voters}period = \"200ms\"\nlease = \"2s\"\n",
        addresses.own,
        key_file.display(),
        addresses.seed
    );
    std::fs::write(&operator_config, table).unwrap();
    platform.operator_config = Some(operator_config);
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

/// Returns the addresses of a relay whose only seed is the relay itself.
fn addresses_without_peers() -> PeerAddresses {
    let own = unused_address();
    PeerAddresses { own, seed: own }
}

/// Returns the JSON that answers a command which must succeed.
fn json_answer(process: &RelayProcess, command: &str) -> String {
    let answer = process.admin_answer(command.as_bytes());
    let json = answer
        .strip_prefix("200 ")
        .and_then(|rest| rest.strip_suffix("\r\n"));
    json.expect("a JSON answer").to_string()
}

#[test]
fn admin_commands_with_peers_are_answered_as_recorded() {
    let (platform, text) = platform_with_peers("admin-peers", VOTERS, &addresses_without_peers());
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
    let keys = key_paths(&json_answer(&process, "PEERS\n"));
    let note_keys = key_paths(&json_answer(&process, "NOTES\n"));
    exchange(&mut transcript, &process, b"RELEASE turn\n");
    transcript.text += &format!("# keys of PEERS\n{keys}# keys of NOTES\n{note_keys}");
    transcript.assert_recorded("admin_peers_answers.txt");
}

#[test]
fn admin_leases_without_voters_are_rejected_as_recorded() {
    let (platform, text) = platform_with_peers("admin-no-voters", "", &addresses_without_peers());
    let process = platform.start_ready(&text);
    let mut transcript = Transcript::default();
    exchange(&mut transcript, &process, b"LEASE turn\n");
    exchange(&mut transcript, &process, b"RELEASE turn\n");
    transcript.text += &key_paths(&json_answer(&process, "PEERS\n"));
    assert_recorded("admin_no_voters.txt", &transcript.text);
}

#[test]
fn admin_commands_at_two_peers_are_answered_as_recorded() {
    let (own, other) = (unused_address(), unused_address());
    let addresses = PeerAddresses { own, seed: other };
    let (platform, text) = platform_with_peers("admin-two-first", VOTERS, &addresses);
    let first = platform.start_ready(&text);
    let addresses = PeerAddresses {
        own: other,
        seed: own,
    };
    let (second_platform, text) = platform_with_peers("admin-two-second", VOTERS, &addresses);
    let second = second_platform.start_ready(&text.replace("\"r0\"", "\"r1\""));
    let view = wait_for("the other relay", || {
        let view = json_answer(&first, "PEERS\n");
        view.contains("\"name\":\"r1\"").then_some(view)
    });
    let mut transcript = Transcript::default();
    transcript.text += &key_paths(&view);
    wait_for("a lease", || {
        first
            .admin_answer(b"LEASE turn\n")
            .starts_with("200 held")
            .then_some(())
    });
    let rejected = wait_for("a refusal", || {
        let answer = second.admin_answer(b"LEASE turn\n");
        answer.starts_with("400 held").then_some(answer)
    });
    let view = parse_json(&view);
    let holder = view["me"].as_str().unwrap();
    transcript.line("refused", rejected.replace(holder, "HOLDER").as_bytes());
    // The holder is the name of a relay and a random number of its process in hexadecimal digits.
    let (name, process) = holder.split_once('/').unwrap();
    assert_eq!((name, process.len()), ("r0", 8));
    assert!(u32::from_str_radix(process, 16).is_ok(), "{process}");
    let vote = parse_json(&json_answer(&first, "PEERS\n"))["leases"]["vote"].to_string();
    transcript.line("vote of the one voter", vote.as_bytes());
    let other_vote = parse_json(&json_answer(&second, "PEERS\n"))["leases"]["vote"].to_string();
    transcript.line("vote of the other relay", other_vote.as_bytes());
    drop(second);
    let mut standings: Vec<String> = Vec::new();
    wait_for("the other relay is gone", || {
        let view = parse_json(&json_answer(&first, "PEERS\n"));
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

fn parse_json(json: &str) -> serde_json::Value {
    serde_json::from_str(json).unwrap()
}
