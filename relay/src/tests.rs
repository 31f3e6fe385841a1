//! Tables on the parts that need no other program.
use crate::attempt::{AttemptFailure, AttemptProgress, FailureCause};
use crate::buffers::{Pool, SIZE};
use crate::discovery::watch::EndpointRegistry;
use crate::io_context::IoContext;
use crate::line_buffer::{LineBuffer, LineTooLong, MAX_LINE_BYTES, ReadOutcome};
use crate::protocol::{
    BackendMessage, FirstLine, Names, parse_first_line, parse_health_check_response, rejection_line,
};
use crate::session::table::Sessions;
use crate::sockets::{SocketOwner, Sockets, key_of, owner_of};
use crate::timers::Clock;
use std::io::{Read, Write};
use std::net::TcpStream;
use thistlecroft::attempt::{AttemptOutcome, LoadReport};
use thistlecroft::ids::RouteId;
use thistlecroft::time::Duration;
use thistlecroft_operator_config::{ListenerDefaults, RelayContext, RouteTable};

fn names(groups: bool) -> Names {
    Names {
        listeners: vec!["chat".into(), "feed".into()],
        groups,
        notes_tell_delay: false,
    }
}

#[test]
fn an_open_line_is_read_and_goes_on_with_another_wait() {
    // Items in any order, unknown ones kept; with groups and without.
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
    for (items, listener, left, group, onward) in cases {
        for groups in [true, false] {
            let line = format!("{START}{items}");
            let Ok(FirstLine::Open(open)) = parse_first_line(line.as_bytes(), &names(groups))
            else {
                panic!("{line}")
            };
            assert_eq!(open.arrival.route, RouteId(listener), "{line}");
            assert_eq!(open.arrival.timeout, Duration::from_millis(left), "{line}");
            assert_eq!(open.arrival.group, group.filter(|_| groups), "{line}");
            assert_eq!(
                (open.id, open.arrival.client_key),
                (0xa, Some(0xb)),
                "{line}"
            );
            assert_eq!(
                open.line(Duration::from_micros(70_900)),
                format!("{START}{onward}")
            );
        }
    }
    let line = format!("{START}c=chat,d=4294967,at=s-5be");
    let Ok(FirstLine::Open(open)) = parse_first_line(line.as_bytes(), &names(true)) else {
        panic!()
    };
    assert_eq!(open.at.as_deref(), Some("s-5be"));
}

const START: &str = "OPEN 000000000000000a 000000000000000b ";

#[test]
fn an_open_line_that_a_backend_might_not_read_is_no_first_line() {
    // What stands for the id, the key and the items. Backends close on what they can't read.
    let good = (
        "9b1f03aa5c7e2d41",
        "7f3a9c21e0b4d655",
        "c=chat,d=2000,g=5c0f6e1a2b3d4c59",
    );
    let line = |(id, key, items): (&str, &str, &str)| format!("OPEN {id} {key} {items}");
    assert!(parse_first_line(line(good).as_bytes(), &names(true)).is_ok());
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
        for bad in [(word, good.1, good.2), (good.0, word, good.2)] {
            assert!(
                parse_first_line(line(bad).as_bytes(), &names(true)).is_err(),
                "{bad:?}"
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
        let bad = (good.0, good.1, items);
        assert!(
            parse_first_line(line(bad).as_bytes(), &names(true)).is_err(),
            "{items}"
        );
    }
}

#[test]
fn a_dials_end_proves_what_its_reach_allows() {
    use FailureCause::{Cancelled, ConnectionLost, InvalidAnswer, LocalFault, TimedOut};
    let cases = [
        (
            AttemptProgress::Unconnected,
            LocalFault,
            AttemptOutcome::NotSent,
        ),
        (
            AttemptProgress::Unconnected,
            ConnectionLost,
            AttemptOutcome::Unreachable,
        ),
        (
            AttemptProgress::Unconnected,
            TimedOut,
            AttemptOutcome::Unreachable,
        ),
        (
            AttemptProgress::Unconnected,
            Cancelled,
            AttemptOutcome::NotSent,
        ),
        (
            AttemptProgress::Connected,
            ConnectionLost,
            AttemptOutcome::Unreachable,
        ),
        (
            AttemptProgress::Connected,
            TimedOut,
            AttemptOutcome::Unreachable,
        ),
        (
            AttemptProgress::Connected,
            Cancelled,
            AttemptOutcome::NotSent,
        ),
        (
            AttemptProgress::RequestSent,
            ConnectionLost,
            AttemptOutcome::Reset,
        ),
        (
            AttemptProgress::RequestSent,
            TimedOut,
            AttemptOutcome::TimedOut,
        ),
        (
            AttemptProgress::RequestSent,
            Cancelled,
            AttemptOutcome::Cancelled,
        ),
        (
            AttemptProgress::RequestSent,
            InvalidAnswer,
            AttemptOutcome::Error,
        ),
        // An answer to a line that was not all sent yet: it may have run all the same.
        (
            AttemptProgress::Connected,
            InvalidAnswer,
            AttemptOutcome::Error,
        ),
        (
            AttemptProgress::RequestSent,
            FailureCause::Answered(AttemptOutcome::Saturated, LoadReport::default()),
            AttemptOutcome::Saturated,
        ),
    ];
    for (progress, cause, expected) in cases {
        assert_eq!(
            AttemptFailure { progress, cause }.outcome(),
            expected,
            "{progress:?} {cause:?}"
        );
    }
}

#[test]
fn backends_lines_are_told_apart() {
    let last = |line: &str| match BackendMessage::parse(line.as_bytes()) {
        BackendMessage::Final(verdict, report) => Some((verdict, report.connections, report.load)),
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
        assert_eq!(last(line), expected, "{line}");
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

#[test]
fn lines_split_anywhere_come_out_whole() {
    let text = b"one\r\ntwo\n\r\nlast";
    for size in 1..text.len() {
        let (mut flow, mut pool) = (LineBuffer::default(), Pool::new(1));
        let mut lines: Vec<Vec<u8>> = Vec::new();
        let mut out = Vec::new();
        for mut piece in text.chunks(size) {
            let length = piece.len();
            assert_eq!(
                flow.read_from(&mut piece, &mut pool).unwrap(),
                ReadOutcome::Bytes(length)
            );
            while let Some(line) = flow.next_line().unwrap() {
                lines.push(line.to_vec());
            }
            // Only whole lines go on, so that a word of ours fits between.
            flow.write_to(&mut out, &mut pool).unwrap();
            assert!(out.is_empty() || out.ends_with(b"\n"), "pieces of {size}");
        }
        assert_eq!(lines, [&b"one"[..], b"two", b""]);
        assert!(
            !pool.has_available(),
            "a waiting beginning holds the buffer"
        );
        assert_eq!(
            flow.read_from(&mut &b""[..], &mut pool).unwrap(),
            ReadOutcome::End
        );
        assert!(flow.write_to(&mut out, &mut pool).unwrap());
        assert_eq!(out, text, "pieces of {size}");
        assert!(pool.has_available(), "nothing waits, nothing is held");
    }
}

#[test]
fn lines_are_bounded_and_so_is_the_pool() {
    // Length of a line with its ending, and whether it passes.
    for (length, passes) in [
        (MAX_LINE_BYTES, true),
        (MAX_LINE_BYTES + 1, false),
        (SIZE, false),
    ] {
        let line: Vec<u8> = [vec![b'x'; length - 1], vec![b'\n']].concat();
        let (mut flow, mut pool) = (LineBuffer::default(), Pool::new(1));
        flow.read_from(&mut &line[..], &mut pool).unwrap();
        assert_eq!(
            flow.next_line().map(|line| line.is_some()),
            if passes { Ok(true) } else { Err(LineTooLong) }
        );
        let mut other = LineBuffer::default();
        assert_eq!(
            other.read_from(&mut &b"x\n"[..], &mut pool).unwrap(),
            ReadOutcome::Starved
        );
        flow.clear(&mut pool);
        assert_eq!(
            other.read_from(&mut &b"x\n"[..], &mut pool).unwrap(),
            ReadOutcome::Bytes(2)
        );
    }
}

#[test]
fn a_closed_sockets_key_is_not_its_successors() {
    for owner in [
        SocketOwner::Listener,
        SocketOwner::Discovery,
        SocketOwner::Client(7),
        SocketOwner::Attempt(7),
        SocketOwner::HealthCheck(u32::MAX),
    ] {
        assert_eq!(owner_of(key_of(owner, 1)), Some(owner));
        assert_ne!(key_of(owner, 1), key_of(owner, 2));
    }
    assert_eq!(owner_of(usize::MAX), None);
}

#[test]
fn a_fault_in_a_sessions_step_costs_that_session_only() {
    let poller = std::rc::Rc::new(polling::Poller::new().unwrap());
    let mut works = IoContext {
        now: Clock::start().now(),
        sockets: Sockets::new(poller),
        pool: Pool::new(4),
        alarms: Default::default(),
        news: Default::default(),
        counters: Default::default(),
        starved: Default::default(),
    };
    let at = std::net::SocketAddr::from((
        [127, 60, 0, 1],
        20_000 + (std::process::id() % 40_000) as u16,
    ));
    let door = works.sockets.listen(SocketOwner::Listener, at).unwrap();
    let book = EndpointRegistry::new(Vec::new(), Default::default());
    let listeners = names(false)
        .listeners
        .into_iter()
        .map(|name| ListenerDefaults {
            name,
            client_timeout: Duration::from_millis(1_000),
            route: thistlecroft::deployment::Route::default(),
        });
    let of = RelayContext {
        listeners: listeners.collect(),
        zones: Vec::new(),
        zone: 0,
        may_hedge: false,
        may_use_peers: false,
        descriptors: 100,
    };
    let routing = RouteTable::from_settings(&of);
    let mut sessions = Sessions::new(door, names(false), routing, 1_000);
    sessions.open_door();
    let mut clients: Vec<TcpStream> = (0..2).map(|_| TcpStream::connect(at).unwrap()).collect();
    while sessions.len() < 2 {
        sessions.accept(&book, &mut works);
    }
    for (id, client) in (0..).zip(&mut clients) {
        client
            .write_all(format!("OPEN {id:016x} 000000000000000b c=chat,d=1000\r\n").as_bytes())
            .unwrap();
        client
            .set_read_timeout(Some(std::time::Duration::from_secs(10)))
            .unwrap();
        // The door has the first serial.
        while works.counters.sessions <= u64::from(id) {
            sessions.client_event(
                id,
                key_of(SocketOwner::Client(id), id + 2),
                &book,
                &mut works,
            );
        }
    }
    // What goes wrong in an alarm or an order must not end the process any more than in an event.
    sessions.fail(0, &mut works);
    let mut heard = [0; 5];
    clients[0].read_exact(&mut heard).unwrap();
    assert_eq!(&heard, b"ERR\r\n");
    assert_eq!(works.counters.panics, 1);
    sessions.refuse(thistlecroft::ids::SessionId(1), None, &mut works);
    clients[1].read_exact(&mut heard).unwrap();
    assert_eq!(&heard, b"BUSY\r");
}
