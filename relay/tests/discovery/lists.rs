//! The content and the format of endpoint lists.
use crate::helper::*;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Instant;

#[test]
fn second_list_is_applied_or_ignored_by_its_generation_and_content() {
    let (here, _received) = start_backend(BackendBehavior::Echo);
    let dead = unused_address();
    let ready = |id, at| (id, at, "Ready");
    let first = endpoint_list(7, true, &[ready("one", here)]);
    let three = [ready("one", here), ready("b", dead), ready("c", dead)];
    let three = endpoint_list(7, true, &three);
    let cases = [
        UpdateCase {
            name: "older delta",
            lists: vec![
                first.clone(),
                endpoint_list(5, false, &[("one", here, "Gone")]),
            ],
            ..UpdateCase::new(1, "UP")
        },
        UpdateCase {
            name: "delta of the same generation",
            lists: vec![
                first.clone(),
                endpoint_list(7, false, &[("one", here, "Gone")]),
            ],
            ..UpdateCase::new(1, "UP")
        },
        UpdateCase {
            name: "empty list",
            lists: vec![first.clone(), endpoint_list(8, true, &[])],
            ..UpdateCase::new(2, "BUSY")
        },
        UpdateCase {
            name: "removal of the last backend",
            lists: vec![
                first.clone(),
                endpoint_list(8, false, &[("one", here, "Gone")]),
            ],
            ..UpdateCase::new(2, "BUSY")
        },
        UpdateCase {
            name: "shorter list",
            lists: vec![three, endpoint_list(8, true, &[ready("one", here)])],
            ..UpdateCase::new(2, "UP")
        },
        UpdateCase {
            name: "new address of a known backend",
            lists: vec![
                endpoint_list(7, true, &[ready("one", dead)]),
                endpoint_list(8, false, &[ready("one", here)]),
            ],
            ..UpdateCase::new(2, "UP")
        },
        UpdateCase {
            name: "complete list after a cached list of other backends",
            known: endpoint_list_of_ten(dead),
            lists: vec![first.clone()],
            ..UpdateCase::new(1, "UP")
        },
    ];
    for case in cases {
        case.check();
    }
}

fn endpoint_list_of_ten(address: SocketAddr) -> String {
    let names: Vec<String> = (0..10).map(|number| format!("old{number}")).collect();
    let rows: Vec<_> = names
        .iter()
        .map(|name| (name.as_str(), address, "Ready"))
        .collect();
    endpoint_list(3, true, &rows)
}

/// A sequence of endpoint lists, and what the relay is expected to make of it.
struct UpdateCase {
    name: &'static str,
    /// The list known at the start.
    known: String,
    lists: Vec<String>,
    /// How many of the lists the relay applies.
    applied_lists: u32,
    /// The start of the answer to a client that opens a session.
    answer: &'static str,
}

impl UpdateCase {
    fn new(applied_lists: u32, answer: &'static str) -> UpdateCase {
        UpdateCase {
            name: "",
            known: "null".into(),
            lists: Vec::new(),
            applied_lists,
            answer,
        }
    }

    fn check(&self) {
        let name = self.name;
        let mut pieces = vec![RESPONSE_HEAD.to_string()];
        pieces.extend(self.lists.iter().map(|text| chunk(text)));
        // Once this list is counted, all before it have been read.
        pieces.push(chunk(&endpoint_list(
            9,
            false,
            &[("last", unused_address(), "Terminating")],
        )));
        let (at, _requests) = start_discovery(vec![WatchScript {
            pieces,
            ends: false,
        }]);
        let relay = start_relay(at, 1_000, &self.known, false);
        let until = Instant::now() + TEST_TIMEOUT;
        loop {
            relay.signal("USR1");
            let count = counter_value(&relay.wait_for_log(" lists="), "lists");
            if count == self.applied_lists + 1 {
                break;
            }
            assert!(
                count <= self.applied_lists && Instant::now() < until,
                "{name}: {count} lists are applied"
            );
        }
        let answer = relay.open_session("safe", 1_000).next_line();
        assert!(answer.starts_with(self.answer), "{name}: {answer}");
    }
}

#[test]
fn indented_list_is_applied_and_malformed_one_fails_only_its_request() {
    let (one, _received) = start_backend(BackendBehavior::Echo);
    let whole = endpoint_list(
        7,
        true,
        &[("one", one, "Ready"), ("a \\\"{[\\\\", one, "Terminating")],
    );
    let value: serde_json::Value = serde_json::from_str(&whole).unwrap();
    let indented = serde_json::to_string_pretty(&value).unwrap();
    let crlf_list = indented.replace('\n', "\r\n\t");
    let plain_head = "HTTP/1.1 200 OK\r\n\r\n".to_string();
    let cut = |at: &str| format!("{}\n", &whole[..whole.find(at).unwrap()]);
    let good = |text: &str| (format!("{RESPONSE_HEAD}{}", chunk(text)), true);
    let bad = |text: String| {
        (
            format!("{RESPONSE_HEAD}{}{}", chunk(&text), chunk(&whole)),
            false,
        )
    };
    let cases = [
        ("on one line", good(&whole)),
        ("indented", good(&indented)),
        ("CRLF and tabs", good(&crlf_list)),
        ("two in one chunk", good(&format!("{indented}{whole}"))),
        ("not chunked", (format!("{plain_head}{crlf_list}"), true)),
        ("truncated within a word", bad(cut("stanceId"))),
        ("truncated between words", bad(cut("\"hostPort"))),
        ("blank line", bad(format!("{{\"generation\":\n{}", "\n"))),
        ("not a list", bad("what".into())),
        ("JSON of another type", bad("[7]".into())),
        ("bad lifecycle", bad(whole.replace("Ready", "Steady"))),
    ];
    for (name, (text, is_accepted)) in cases {
        let agent = DiscoveryAgent::new();
        let relay = start_relay_with_settings(agent.address, "null", &[]);
        let (watch, _) = agent.accept_request();
        // Sent in pieces, so that every part of a list is also parsed across reads.
        for piece in text.as_bytes().chunks(97) {
            if (&watch).write_all(piece).is_err() {
                break;
            }
        }
        if is_accepted {
            relay.wait_for_counter("lists", 1);
            assert_eq!(
                relay.open_session("safe", 1_000).next_line(),
                "UP receipt",
                "{name}"
            );
        } else {
            relay.wait_for_counter("list_failures", 1);
            let mut client = relay.open_session("safe", 1_000);
            assert!(
                client.next_line().starts_with("BUSY"),
                "{name}: the list was applied"
            );
            let (watch, _) = agent.accept_request();
            send(&watch, &format!("{RESPONSE_HEAD}{}", chunk(&whole)));
            relay.wait_for_counter("lists", 1);
        }
    }
}

/// Guards against a repeat at a backend that may not recognise it, after a list that does not tell
/// the backends' cells.
#[test]
fn repeat_is_not_sent_to_a_backend_whose_cell_is_not_told() {
    // What the list says of the cells of both backends: nothing, and numbers beyond their range.
    for [first_cell, second_cell] in [["", ""], ["\"cell\":65536,", "\"cell\":131072,"]] {
        let (first, at_first) = start_backend(BackendBehavior::CloseImmediately);
        let (second, at_second) = start_backend(BackendBehavior::CloseImmediately);
        let list = endpoint_list(1, true, &[("b0", first, "Ready"), ("b1", second, "Ready")]);
        let known = list.replacen("\"cell\":0,", first_cell, 1);
        let known = known.replacen("\"cell\":0,", second_cell, 1);
        assert!(!known.contains("\"cell\":0,"));
        let relay = start_relay_with_settings(
            unused_address(),
            &known,
            &[KEYED_WITHIN_CELL, THREE_ATTEMPTS],
        );
        assert_repeats_stay_apart(&relay, at_first, at_second);
    }
}
