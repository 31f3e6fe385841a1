//! Tests of parsing lines and of the lines that the relay writes.
use super::{
    BackendMessage, FirstLine, ProtocolSettings, parse_first_line, parse_health_check_response,
    rejection_line,
};
use thistlecroft::attempt::AttemptOutcome;
use thistlecroft::ids::RouteId;
use thistlecroft::time::Duration;

/// Returns settings with two listeners, `chat` and `feed`.
pub(crate) fn protocol_settings(with_groups: bool) -> ProtocolSettings {
    ProtocolSettings {
        listeners: vec!["chat".into(), "feed".into()],
        client_timeouts: vec![Duration::from_millis(1_000); 2],
        has_groups: with_groups,
        load_reports_latency: false,
    }
}

const START: &str = "OPEN 000000000000000a 000000000000000b ";

#[test]
fn open_request_is_forwarded_with_only_its_wait_replaced() {
    // The items, the index of the listener, the timeout in milliseconds, the group, and the
    // forwarded items. Items may come in any order, and unknown ones are kept.
    let cases = [
        (
            "c=chat,d=2000,g=00000000000000c5",
            0,
            1_985,
            Some(0xc5),
            "c=chat,d=70,g=00000000000000c5",
        ),
        ("d=15,c=feed", 1, 0, None, "d=70,c=feed"),
        (
            "h=3,c=feed,r=1,d=1,again=1",
            1,
            0,
            None,
            "h=3,c=feed,r=1,d=70,again=1",
        ),
    ];
    for (items, listener, timeout_ms, group, forwarded) in cases {
        for with_groups in [true, false] {
            let line = format!("{START}{items}");
            let Ok(FirstLine::Open(open)) =
                parse_first_line(line.as_bytes(), &protocol_settings(with_groups))
            else {
                panic!("{line}")
            };
            assert_eq!(open.arrival.route, RouteId(listener), "{line}");
            assert_eq!(
                open.arrival.timeout,
                Duration::from_millis(timeout_ms),
                "{line}"
            );
            assert_eq!(open.arrival.group, group.filter(|_| with_groups), "{line}");
            assert_eq!(
                (open.id, open.arrival.client_key),
                (0xa, Some(0xb)),
                "{line}"
            );
            assert_eq!(
                open.line(Duration::from_micros(70_900)),
                format!("{START}{forwarded}")
            );
        }
    }
    let line = format!("{START}c=chat,d=4294967,at=s-5be");
    let Ok(FirstLine::Open(open)) = parse_first_line(line.as_bytes(), &protocol_settings(true))
    else {
        panic!()
    };
    assert_eq!(open.inherited_backend.as_deref(), Some("s-5be"));
}

#[test]
fn open_request_that_a_backend_could_not_parse_is_an_error() {
    // The id, the key and the items. A backend closes the connection if it can't parse one of them.
    let valid = (
        "9b1f03aa5c7e2d41",
        "7f3a9c21e0b4d655",
        "c=chat,d=2000,g=5c0f6e1a2b3d4c59",
    );
    let line = |(id, key, items): (&str, &str, &str)| format!("OPEN {id} {key} {items}");
    assert!(parse_first_line(line(valid).as_bytes(), &protocol_settings(true)).is_ok());
    let words = [
        "",
        "9b1f",
        "9b1f03aa5c7e2d4g",
        "+b1f03aa5c7e2d41",
        "9b1f03aa5c7e2d4100",
        "-",
        "9b1f03aa5c7e2d4\u{e9}",
    ];
    for word in words {
        for invalid in [(word, valid.1, valid.2), (valid.0, word, valid.2)] {
            assert!(
                parse_first_line(line(invalid).as_bytes(), &protocol_settings(true)).is_err(),
                "{invalid:?}"
            );
        }
    }
    let items = [
        "d=2000",
        "c=chat",
        "c=chats,d=2000",
        "c=,d=2000",
        "c=chat,d=",
        "c=chat,d=-5",
        "c=chat,d=+5",
        "c=chat,d=soon",
        "c=chat,d=4294968",
        "c=chat,d=99999999999999999999999",
        "c=chat,c=chat,d=2000",
        "c=chat,d=2000,d=2000",
        "c=chat,d=2000,x=1,x=1",
        "c=chat,d=2000,g=5c",
        "c=chat,d=2000,h=-1",
        "c=chat,d=2000,h=inf",
        "c=chat,d=2000,h=much",
        "c=chat,d=2000,r=yes",
        "c=chat,d=2000,",
        "c=chat,d=2000,x",
        "c=chat,d=2000,x=",
        "c=chat,d=2000,=1",
        "c=chat,d=2000,x=\u{1}",
    ];
    for items in items {
        let invalid = (valid.0, valid.1, items);
        assert!(
            parse_first_line(line(invalid).as_bytes(), &protocol_settings(true)).is_err(),
            "{items}"
        );
    }
}

#[test]
fn backend_line_of_each_keyword_is_parsed_as_its_message() {
    let parse_final = |line: &str| match BackendMessage::parse(line.as_bytes()) {
        BackendMessage::Final(outcome, report) => Some((outcome, report.connections, report.load)),
        _ => None,
    };
    let cases = [
        (
            "BYE inflight=7,queue=2,util=0.61",
            Some((AttemptOutcome::Ok, Some(7.0), Some(0.61))),
        ),
        (
            "BUSY rif=3,x0=0.5,busy=0.9",
            Some((AttemptOutcome::Saturated, Some(3.0), Some(0.5))),
        ),
        ("ERR", Some((AttemptOutcome::Error, None, None))),
        (
            "ERR inflight=NaN,x0=-1",
            Some((AttemptOutcome::Error, None, Some(0.0))),
        ),
        ("MOVE", Some((AttemptOutcome::Cancelled, None, None))),
        ("BYELAW", None),
        ("UP x", None),
    ];
    for (line, expected) in cases {
        assert_eq!(parse_final(line), expected, "{line}");
    }
    assert!(
        matches!(BackendMessage::parse(b"LOAD 12.5"), BackendMessage::Load(load) if load == 12.5)
    );
    assert!(matches!(
        BackendMessage::parse(b"LOAD much"),
        BackendMessage::Data
    ));
    assert!(matches!(
        BackendMessage::parse(b"UP"),
        BackendMessage::Accepted
    ));
    assert_eq!(
        parse_health_check_response(b"PONG inflight=2")
            .1
            .connections,
        Some(2.0)
    );
    assert_eq!(parse_health_check_response(b"NO").0, AttemptOutcome::Error);
    assert_eq!(rejection_line(Some(Duration::from_micros(1_001))), "BUSY 2");
}
