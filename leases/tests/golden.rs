//! The encoded bytes of lease messages, which other builds in the fleet have to read: those of the
//! current protocol and of the legacy one.
#[path = "../../tests/golden_file/mod.rs"]
mod golden_file;

use std::fmt::Write;
use std::path::Path;
use thistlecroft_leases::legacy::{self, LegacyMessage, LegacyRejectionReason, NO_GENERATION};
use thistlecroft_leases::{CHANNEL, Message, RejectionReason, SessionToken, Update, Updated};
use thistlecroft_peers::Identity;

fn assert_unchanged(file: &str, actual: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    golden_file::assert_unchanged(&folder.join(file), actual);
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digit_pairs = text.as_bytes().chunks(2);
    digit_pairs
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
        .collect()
}

fn other_process() -> Identity {
    Identity::new("relay-2", 0x0102_0304_0506_0708)
}

/// Every reason for a rejection, with its recorded name.
fn reasons() -> Vec<(&'static str, RejectionReason)> {
    vec![
        (
            "held",
            RejectionReason::Held {
                by: other_process(),
            },
        ),
        ("held by another", RejectionReason::HeldByAnother),
        ("silent", RejectionReason::Silent),
        ("generation", RejectionReason::Generation { here: 300 }),
        ("full", RejectionReason::AtCapacity),
        ("unknown session", RejectionReason::UnknownSession),
        ("older protocol", RejectionReason::OlderProtocol),
    ]
}

/// Every kind of message and a rejection for every reason, with their recorded names.
fn messages() -> Vec<(String, Message)> {
    let opening = Update {
        generation: 1,
        sequence: 2,
        session: None,
        epoch: 0,
        detach: Vec::new(),
        attach: vec![b"work/7".to_vec()],
    };
    let renewal = Update {
        generation: 2,
        sequence: 300,
        session: Some(SessionToken(0x1122_3344_5566_7788)),
        epoch: 1_000_000,
        detach: vec![b"work/7".to_vec()],
        attach: vec![b"work/8".to_vec(), b"share".to_vec()],
    };
    let reasons_by_position = (0..).zip(reasons()).map(|(at, (_, reason))| (at, reason));
    let updated = Updated {
        generation: 2,
        sequence: 300,
        session: SessionToken(0x1122_3344_5566_7788),
        epoch: 1_000_001,
        rejected: reasons_by_position.collect(),
    };
    let close = Message::Close {
        sequence: 301,
        session: SessionToken(5),
        keep: vec![b"share".to_vec()],
    };
    let recall = Message::Recall {
        generation: 2,
        starting: true,
    };
    let remembered = Message::Remembered {
        generation: 2,
        established: true,
        epoch: 1_000_001,
    };
    let named = [
        ("opening update", Message::Update(opening)),
        ("renewing update", Message::Update(renewal)),
        ("updated", Message::Updated(updated)),
        ("close", close),
        ("recall", recall),
        ("remembered", remembered),
    ];
    let named = named
        .into_iter()
        .map(|(name, message)| (name.to_string(), message));
    let rejections = reasons().into_iter().map(|(name, reason)| {
        let rejection = Message::Rejected {
            generation: 2,
            sequence: 300,
            reason,
        };
        (format!("refused, {name}"), rejection)
    });
    named.chain(rejections).collect()
}

/// Every kind of message of the legacy protocol, with its recorded name.
fn legacy_messages() -> Vec<(&'static str, LegacyMessage)> {
    let subject = || b"work/7".to_vec();
    let reject = |reason| LegacyMessage::Rejected {
        subject: subject(),
        round: 300,
        reason,
    };
    vec![
        (
            "ask",
            LegacyMessage::Request {
                generation: 2,
                subject: subject(),
                round: 300,
                epoch: 1_000_000,
            },
        ),
        (
            "promise",
            LegacyMessage::Granted {
                generation: 2,
                subject: subject(),
                round: 300,
                epoch: 1_000_001,
            },
        ),
        (
            "refuse, held",
            reject(LegacyRejectionReason::Held {
                by: other_process(),
            }),
        ),
        ("refuse, silent", reject(LegacyRejectionReason::Silent)),
        (
            "refuse, generation",
            reject(LegacyRejectionReason::Generation { here: 300 }),
        ),
        (
            "release",
            LegacyMessage::Release {
                subject: subject(),
                round: 300,
            },
        ),
        (
            "recall",
            LegacyMessage::Recall {
                generation: 2,
                starting: true,
            },
        ),
        (
            "remembered",
            LegacyMessage::Remembered {
                generation: 2,
                established: true,
                epoch: 1_000_001,
            },
        ),
    ]
}

#[test]
fn messages_encode_into_the_recorded_bytes() {
    let mut recording = format!("channel: {CHANNEL}\n");
    for (name, message) in messages() {
        writeln!(recording, "{name}: {}", hex(&message.encode())).unwrap();
    }
    assert_unchanged("messages.txt", &recording);
}

#[test]
fn recorded_messages_decode_into_the_originals() {
    let expected = messages();
    let lines: Vec<&str> = include_str!("golden/messages.txt")
        .lines()
        .skip(1)
        .collect();
    assert_eq!(lines.len(), expected.len());
    for (line, (name, message)) in lines.iter().zip(expected) {
        let (recorded_name, recorded) = line.split_once(": ").unwrap();
        assert_eq!(recorded_name, name);
        assert_eq!(
            Message::decode(&from_hex(recorded)),
            Some(message),
            "{name}"
        );
    }
}

#[test]
fn legacy_messages_encode_into_the_recorded_bytes() {
    let mut recording = format!("channel: {}\n", legacy::CHANNEL);
    for (name, message) in legacy_messages() {
        writeln!(recording, "{name}: {}", hex(&message.encode())).unwrap();
    }
    let (_, request) = &legacy_messages()[0];
    let rejection = request.rejection().expect("a legacy request is rejected");
    writeln!(recording, "answer to ask: {}", hex(&rejection.encode())).unwrap();
    writeln!(recording, "generation of that answer: {NO_GENERATION}").unwrap();
    assert_unchanged("legacy_messages.txt", &recording);
}

#[test]
fn recorded_legacy_messages_decode_into_the_originals() {
    let expected = legacy_messages();
    let recording = include_str!("golden/legacy_messages.txt");
    let lines: Vec<&str> = recording.lines().skip(1).take(expected.len()).collect();
    assert_eq!(lines.len(), expected.len());
    for (line, (name, message)) in lines.iter().zip(expected) {
        let (recorded_name, recorded) = line.split_once(": ").unwrap();
        assert_eq!(recorded_name, name);
        assert_eq!(
            LegacyMessage::decode(&from_hex(recorded)),
            Some(message),
            "{name}"
        );
    }
}
