//! Tests of the program on the simulator's wire, from the bytes of batches to those of replies.
use crate::host::Host;
use crate::serve;
use crate::wire::{Reply, read_batch};

/// Encodes a batch: a header, records of 48 bytes, and the tail.
fn batch(number: u32, clock: u64, records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let mut body = (records.len() as u32).to_le_bytes().to_vec();
    for record in records {
        let mut record = record.clone();
        record.resize(48, 0);
        body.extend(record);
    }
    body.extend(tail);
    let mut frame = number.to_le_bytes().to_vec();
    frame.extend(clock.to_le_bytes());
    frame.extend((body.len() as u32).to_le_bytes());
    frame.extend(body);
    frame
}

/// Parses hexadecimal digits, between which there may be white space.
fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<char> = hex.chars().filter(|c| !c.is_whitespace()).collect();
    digits
        .chunks(2)
        .map(|pair| u8::from_str_radix(&pair.iter().collect::<String>(), 16).unwrap())
        .collect()
}

const LISTENERS: &str = r#"[{"deadlineUs": 1200000, "handshakeTargetUs": 300000, "effect": "retryable", "utility": 1.0}]"#;

const SETTINGS: &str = r#"{"az": 0, "zones": ["a"], "balancers": 1, "me": 0, "tickUs": 2000, "unheardOf": [1],
 "discovery": "automatic",
 "listeners": [{"deadlineUs": 1200000, "handshakeTargetUs": 300000, "effect": "retryable", "utility": 1.0}],
 "invariants": {"askWithinUs": 1, "coldUs": 9000000, "fallUs": 3000000, "overloadFactor": 3.0,
  "startCapacity": 0.3},
 "permissions": {"dialTimeoutUs": 50000, "maxDials": 3, "maxRetryAfterUs": 2000000, "mayCancel": true,
 "probes": false, "retryAfter": true}, "report": {"fields": ["rif", "x0"], "how": "pull"}}"#;

/// Returns a batch that starts instance 3, with a cached endpoint list of one ready backend,
/// 10.18.74.7:23323.
fn start() -> Vec<u8> {
    let size = SETTINGS.len() as u32;
    let mut start_record = bytes("e803 0300 0102030405060708 00000000");
    start_record.extend(size.to_le_bytes());
    let mut list_record = bytes("f203 0300 02 2900000000000000");
    list_record.extend(size.to_le_bytes());
    list_record.extend(1u32.to_le_bytes());
    let entry = bytes("0a124a07 5b1b 00 0000 0000 00 0000803f 0000000000000000");
    batch(
        1,
        1_000,
        &[start_record, list_record],
        &[SETTINGS.as_bytes(), &entry].concat(),
    )
}

/// The arrival of session c4913a5d0d690f00, whose client waits for 240 ms and has no key or group.
const ARRIVAL: &str =
    "fc03 0300 c4913a5d0d690f00 0000 0000 0000000000000000 80a90300 00000000 0000000000000000";

/// Returns the replies to an input, or the text of the error that ends the program.
fn replies(input: &[u8]) -> Result<Vec<u8>, String> {
    let mut output = Vec::new();
    serve(input, &mut output)
        .map(|()| output)
        .map_err(|error| error.to_string())
}

/// Returns the records of the last reply, as hexadecimal text.
fn last_records(input: &[u8]) -> Vec<String> {
    let output = replies(input).unwrap();
    let (mut offset, mut records) = (0, Vec::new());
    while offset < output.len() {
        let length =
            u32::from_le_bytes(output[offset + 4..offset + 8].try_into().unwrap()) as usize;
        let count =
            u32::from_le_bytes(output[offset + 8..offset + 12].try_into().unwrap()) as usize;
        let body = &output[offset + 12..offset + 12 + count * 24];
        records = body
            .chunks(24)
            .map(|record| record.iter().map(|byte| format!("{byte:02x}")).collect())
            .collect();
        offset += 8 + length;
    }
    records
}

#[test]
fn records_of_events_and_actions_have_the_documented_layout() {
    // The records of the last batch, and the actions in its reply.
    let connect = "1a040300c4913a5d0d690f000a124a075b1be09903000000";
    let cases: [(&[&str], Vec<&str>); 5] = [
        // The attempt timeout is limited to the time that remains for the session.
        (&[ARRIVAL], vec![connect]),
        (
            &[
                ARRIVAL,
                "5604 0300 c4913a5d0d690f00 0000 0a124a07 5b1b 01 0000003f",
            ],
            vec![connect],
        ),
        // The client leaves, so attempt 0 is cancelled.
        (
            &[ARRIVAL, "1a04 0300 c4913a5d0d690f00"],
            vec![connect, "10040300c4913a5d0d690f00000000000000000000000000"],
        ),
        // An unknown session, and a message of a peer.
        (
            &[
                "1a04 0300 192b6f0ecce10200",
                "3804 0300 0200 00000000 00000000",
            ],
            vec![],
        ),
        // The end of an established session needs no action.
        (
            &[
                ARRIVAL,
                "0604 0300 c4913a5d0d690f00 0000 0a124a07 5b1b 22240000",
                "1004 0300 c4913a5d0d690f00 44480000 6400 0a124a07 5b1b 0000 01 00",
            ],
            vec![connect],
        ),
    ];
    for (records, expected) in cases {
        let records: Vec<Vec<u8>> = records.iter().map(|hex| bytes(hex)).collect();
        assert_eq!(
            last_records(&[start(), batch(2, 2_000, &records, &[])].concat()),
            expected
        );
    }
}

#[test]
fn saturated_attempt_is_rejected_or_retried_and_stop_removes_the_instance() {
    let saturated = bytes("1004 0300 c4913a5d0d690f00 44480000 2e01 0a124a07 5b1b 0000 00 00");
    let records =
        last_records(&[start(), batch(2, 2_000, &[bytes(ARRIVAL), saturated], &[])].concat());
    // The backoff is one second at most: the session is rejected if that exceeds the time left, and
    // retried otherwise.
    let rejected = records
        .iter()
        .find(|record| record.starts_with("38040300c4913a5d0d690f00"));
    assert!(
        rejected.is_some() || records.iter().any(|record| record.starts_with("fc030300")),
        "{records:?}"
    );
    let stop = bytes("4204 0300");
    let restart = [
        start(),
        batch(2, 2_000, std::slice::from_ref(&stop), &[]),
        start(),
    ]
    .concat();
    assert!(replies(&restart).is_ok());
    let after_stop = [start(), batch(2, 2_000, &[stop, bytes(ARRIVAL)], &[])].concat();
    assert!(replies(&after_stop).unwrap_err().contains("not started"));
}

#[test]
fn empty_batch_gets_an_empty_reply() {
    let input = bytes("01000000 5a5c800000000000 04000000 00000000");
    assert_eq!(
        replies(&input).unwrap(),
        bytes("01000000 04000000 00000000")
    );
    assert_eq!(replies(&[]).unwrap(), Vec::<u8>::new());
}

/// Returns a batch with this record, after the start of the instance.
fn after_start(record: &str) -> Vec<u8> {
    [start(), batch(2, 2_000, &[bytes(record)], &[])].concat()
}

/// Returns a batch that starts an instance with these settings.
fn start_with(settings: &str) -> Vec<u8> {
    let mut start_record = bytes("e803 0300 0102030405060708 00000000");
    start_record.extend((settings.len() as u32).to_le_bytes());
    batch(1, 0, &[start_record], settings.as_bytes())
}

/// Asserts that each case, of a name, an input and a text, ends the program with an error that
/// contains the text.
fn assert_rejected(cases: &[(&str, Vec<u8>, &str)]) {
    for (name, input, expected) in cases {
        let error = replies(input).unwrap_err();
        assert!(error.contains(expected), "{name}: {error}");
    }
}

#[test]
fn malformed_batch_is_rejected_with_its_reason() {
    let cases = [
        ("header cut off", bytes("0100"), "inside a batch header"),
        (
            "body cut off",
            bytes("01000000 5a5c800000000000 ffffff7f 00000000"),
            "cut off",
        ),
        (
            "no record count",
            bytes("01000000 5a5c800000000000 02000000 0000"),
            "no room",
        ),
        (
            "too many records",
            bytes("01000000 5a5c800000000000 04000000 ffffffff"),
            "do not fit",
        ),
    ];
    assert_rejected(&cases);
}

#[test]
fn malformed_event_is_rejected_with_its_reason() {
    let cases = [
        (
            "unknown code",
            after_start("0f27 0300"),
            "unknown event code 9999",
        ),
        (
            "unknown outcome",
            after_start("1004 0300 c4913a5d0d690f00 44480000 0900 0a124a07 5b1b"),
            "unknown outcome code 9",
        ),
        (
            "unknown listener",
            after_start("fc03 0300 c4913a5d0d690f00 0700"),
            "listener index 7 is out of range: the number of listeners is 1",
        ),
        (
            "list past the tail",
            after_start("f203 0300 00 2900000000000000 00000000 ffffffff"),
            "past the end of the batch's tail",
        ),
        (
            "unknown update kind",
            after_start("f203 0300 09"),
            "unknown update kind 9",
        ),
        (
            "not started",
            batch(1, 0, &[bytes(ARRIVAL)], &[]),
            "instance 3, which is not started",
        ),
    ];
    assert_rejected(&cases);
}

#[test]
fn invalid_settings_are_rejected_with_their_reason() {
    let cases = [
        ("settings that are not JSON", start_with("{"), "settings"),
        (
            "settings without a key",
            start_with("{\"az\": 0}"),
            "missing field",
        ),
        (
            "no relays",
            start_with(&SETTINGS.replace("\"balancers\": 1", "\"balancers\": 0")),
            "relay 0 of 0",
        ),
        (
            "relay out of range",
            start_with(&SETTINGS.replace("\"me\": 0", "\"me\": 1")),
            "relay 1 of 1",
        ),
        (
            "no listeners",
            start_with(&SETTINGS.replace(LISTENERS, "[]")),
            "no listeners",
        ),
    ];
    assert_rejected(&cases);
}

#[test]
fn balancer_panic_is_encoded_as_a_record() {
    // No input is known to make the balancer panic, so the record is written directly.
    let mut host = Host::default();
    let frame = read_batch(&mut &start()[..]).unwrap().unwrap();
    assert!(host.answer(&frame).is_ok());
    let mut reply = Reply::default();
    reply.push_panic(3, "index out of range");
    let expected = "0c000000 2e000000 01000000 6004 0300 00000000 12000000 000000000000000000000000
        696e646578206f7574206f662072616e6765";
    assert_eq!(reply.encode(12), bytes(expected));
}
