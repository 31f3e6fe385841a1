//! Tests of encoding and decoding packets.
use super::*;

fn handover() -> SessionHandover {
    SessionHandover {
        serial: 7,
        id: 0x9b1f_03aa_5c7e_2d41,
        listener: "slot \"hold\"\n".into(),
        client_key: Some(u64::MAX),
        group: None,
        backend: "s-5be2a07c".into(),
        last_line_at_us: 1_796_000_000_000_001,
        awaiting_since_us: Some(3),
        reported_latency_us: 0,
        load: Some(0.25),
        to_backend: WaitingBytes {
            total: 6,
            complete: 4,
        },
        to_client: WaitingBytes {
            total: 0,
            complete: 0,
        },
    }
}

fn snapshot() -> SnapshotMessage {
    let reports = [None, Some((9, Some(3.0), None)), Some((8, None, Some(0.5)))];
    let endpoints = reports.map(|report| EndpointMessage {
        backend: "b".into(),
        last_report: report.map(ReportMessage::from),
        weight_at_report: 0.8,
        consecutive_failures: 1,
        ejections: 2,
        pending_health_checks: 11,
        slow_start_use: Some((5, 1)),
        is_leaving: false,
    });
    SnapshotMessage {
        endpoints: endpoints.to_vec(),
        connect_time_us: 12,
        connection_seconds: 1.5,
        departures: 2.5,
    }
}

#[test]
fn encoded_packet_is_decoded_unchanged() {
    let snapshot = snapshot();
    let restored = snapshot.to_snapshot(|_| BackendId(4));
    assert_eq!(
        SnapshotMessage::new(&restored, |_| "b", |_| false),
        snapshot
    );
    let messages = [
        Message::Hello {
            version: VERSION,
            relay: "n3".into(),
            understands: vec![UNDERSTANDS_SETTINGS.into()],
        },
        Message::BindingSettings {
            text: serde_json::json!({"listeners": [{"name": "safe"}]}),
            binds_for_us: 1_200_000,
        },
        Message::BindingSettingsEnd,
        Message::Ids(IdsMessage {
            open: vec![u64::MAX],
            released: vec![2],
            used: vec![(3, 1_200_000)],
        }),
        Message::Snapshot(snapshot),
        Message::Leaving,
        Message::OpenDescriptors { count: 300 },
        Message::Accepted { serial: 1 },
        Message::Declined { serial: 2 },
        Message::Released { serial: 3 },
    ];
    for message in messages {
        let expected = Packet {
            message: message.clone(),
            to_backend: b"",
            to_client: b"",
        };
        assert_eq!(decode(&encode(&message, &[])).unwrap(), expected);
    }
    let message = Message::Session(handover());
    let packet = encode(&message, &[b"a\r\nb\n\n", b""]);
    let expected = Packet {
        message,
        to_backend: b"a\r\nb\n\n",
        to_client: b"",
    };
    assert_eq!(decode(&packet).unwrap(), expected);
}

#[test]
fn malformed_packet_is_rejected() {
    let valid = encode(&Message::Session(handover()), &[b"a\r\nb\n\n", b""]);
    for length in 0..valid.len() {
        assert!(decode(&valid[..length]).is_err(), "cut at byte {length}");
    }
    let overflowing = SessionHandover {
        to_backend: WaitingBytes {
            total: usize::MAX,
            complete: 0,
        },
        to_client: WaitingBytes {
            total: usize::MAX,
            complete: 0,
        },
        ..handover()
    };
    let more_lines_than_bytes = SessionHandover {
        to_backend: WaitingBytes {
            total: 6,
            complete: 7,
        },
        ..handover()
    };
    for malformed in [overflowing, more_lines_than_bytes] {
        assert!(decode(&encode(&Message::Session(malformed), &[b"a\r\nb\n\n"])).is_err());
    }
    assert!(decode(b"\xff\n").is_err() && decode(b"{\"Leaving\":1}\n").is_err());
}
