//! Sessions that wait for a backend: answers, and attempts that are given up.
use crate::helper::*;
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// The remaining wait in milliseconds of the next request that a backend received; the request is
/// forwarded unchanged but for it.
fn forwarded_wait(received: &Received, listener: &str) -> u32 {
    let line = std::iter::repeat_with(|| next_received(received))
        .find(|line| line.starts_with("OPEN"))
        .unwrap();
    line.split_once(&format!(" 7f3a9c21e0b4d655 c={listener},d="))
        .and_then(|(_, rest)| rest.strip_suffix(",g=5c0f6e1a2b3d4c59\r\n"))
        .unwrap_or_else(|| panic!("another line was sent: {line}"))
        .parse()
        .unwrap()
}

#[test]
fn backend_answer_of_each_form_is_passed_on() {
    // What the backend does, and the client's answer where the session may be retried and where it
    // may not.
    let cases = [
        (BackendBehavior::Echo, "UP receipt", "UP receipt"),
        (BackendBehavior::AcceptInPieces, "UP receipt", "UP receipt"),
        (BackendBehavior::RespondAndClose("BUSY\r\n"), "BUSY", "BUSY"),
        (
            BackendBehavior::RespondAndClose("ERR inflight=7\r\n"),
            "BUSY",
            "ERR",
        ),
        (BackendBehavior::RespondAndClose("MOVE\r\n"), "BUSY", "ERR"),
        (BackendBehavior::RespondAndClose("BYE\r\n"), "BUSY", "ERR"),
        (BackendBehavior::RespondAndClose("what\r\n"), "BUSY", "ERR"),
        (BackendBehavior::OverlongResponse, "BUSY", "ERR"),
        (BackendBehavior::CloseImmediately, "BUSY", "ERR"),
        (BackendBehavior::NeverRespond, "BUSY", "ERR"),
    ];
    for (behavior, again, once) in cases {
        let (address, received) = start_backend(behavior);
        // Load reports come with each answer. Without any, a backend that rejected an attempt would
        // be avoided for a while.
        let at = unused_address();
        let text = config(
            at,
            unused_address(),
            1_000,
            &endpoint_list(1, true, &[("b0", address, "Ready")]),
            false,
        );
        let relay = start_relay_with_config(at, text.replace("\"pull\"", "\"piggyback\""));
        for (listener, expected) in [("safe", again), ("once", once)] {
            let (sent_at, mut client) = (Instant::now(), relay.open_session(listener, 400));
            let answer = client.next_line();
            assert!(
                sent_at.elapsed() < Duration::from_millis(450),
                "{behavior:?} {listener}: {:?}",
                sent_at.elapsed()
            );
            assert_eq!(
                answer.split(' ').next(),
                expected.split(' ').next(),
                "{behavior:?} {listener}: {answer}"
            );
            let wait = forwarded_wait(&received, listener);
            assert!((200..=400).contains(&wait), "{behavior:?}: {wait}");
            if !expected.starts_with("UP") {
                assert_eq!(
                    client.next_line(),
                    "end",
                    "{behavior:?} {listener}: one answer and no more"
                );
            }
        }
    }
    // Nobody listens there: nothing was sent, so every session may be retried.
    let relay = start_relay_with_backends(&[unused_address()]);
    assert!(
        relay
            .open_session("once", 400)
            .next_line()
            .starts_with("BUSY")
    );
}

#[test]
fn keyed_session_after_backend_failure_is_answered_by_scope_of_its_key() {
    // What the backend does, and whether it may have acted on the request.
    let behaviors = [
        (BackendBehavior::RespondAndClose("BUSY\r\n"), false),
        (
            BackendBehavior::RespondAndClose("BUSY\r\nUP receipt\r\n"),
            false,
        ),
        (BackendBehavior::RespondAndClose("ERR inflight=7\r\n"), true),
        (BackendBehavior::RespondAndClose("MOVE\r\n"), true),
        (BackendBehavior::RespondAndClose("BYE\r\n"), true),
        (BackendBehavior::RespondAndClose("what\r\n"), true),
        (BackendBehavior::OverlongResponse, true),
        (BackendBehavior::CloseImmediately, true),
        (BackendBehavior::NeverRespond, true),
    ];
    for (scope, anywhere) in [("all", true), ("zone", false), ("cell", false)] {
        let effect = format!(
            "\"effect\": \"dedup\", \"dedupScope\": \"{scope}\", \"dedupWindowUs\": 700000"
        );
        for (behavior, may_have_run) in behaviors {
            let (address, _received) = start_backend(behavior);
            let known = endpoint_list(1, true, &[("b", address, "Ready")]);
            let relay = start_relay_with_settings(
                unused_address(),
                &known,
                &[("\"effect\": \"fragile\"", &effect)],
            );
            let mut client = relay.open_session("once", 400);
            let word = if anywhere || !may_have_run {
                "BUSY"
            } else {
                "ERR"
            };
            let answer = client.next_line();
            assert_eq!(
                answer.split(' ').next(),
                Some(word),
                "{scope} {behavior:?}: {answer}"
            );
            assert_eq!(
                client.next_line(),
                "end",
                "{scope} {behavior:?}: one answer and no more"
            );
        }
    }
}

#[test]
fn client_leaving_while_its_attempt_connects_is_not_forwarded() {
    // How the client leaves, and whether before or after the connection is established; the relay
    // meets both in one turn.
    for (reset, after) in [(false, true), (true, true), (false, false), (true, false)] {
        let mut slow = SlowBackend::new();
        let known = endpoint_list(1, true, &[("late", slow.address, "Ready")]);
        let relay = start_relay_with_settings(unused_address(), &known, &[LONG_CONNECT_TIMEOUT]);
        let client = relay.open_session("once", 7_000);
        relay.wait_for_counter("dials", 1);
        relay.suspend();
        let leave = |client: Client| {
            let from = client.lines.get_ref().local_addr().unwrap();
            if reset {
                reset_on_close(client.lines.get_ref());
            }
            drop(client);
            wait_for("the relay's end of it knows", || {
                (!socket_state(relay.client_address, from).is_established).then_some(())
            });
        };
        let mut client = Some(client);
        if !after {
            client.take().map(leave);
        }
        let attempt = slow.accept_connection();
        client.take().map(leave);
        relay.signal("CONT");
        assert_eq!(read_to_end_of(&attempt), "", "reset {reset}, after {after}");
        relay.wait_for_counter("dials_never_sent", 1);
    }
}

#[test]
fn client_leaving_while_no_buffer_is_free_is_noticed() {
    let agent = DiscoveryAgent::new();
    let ((echo, _echo_received), (mute, mute_received)) = (
        start_backend(BackendBehavior::Echo),
        start_backend(BackendBehavior::NeverRespond),
    );
    let relay = start_relay_with_settings(
        agent.address,
        "null",
        &[("\"memory_mb\":64", "\"memory_mb\":8")],
    );
    let (watch, _) = agent.accept_request();
    send(
        &watch,
        &format!(
            "{RESPONSE_HEAD}{}",
            chunk(&endpoint_list(1, true, &[("echo", echo, "Ready")]))
        ),
    );
    relay.wait_for_counter("lists", 1);
    // Each established session with half a line holds a buffer for as long as it likes.
    let mut holding = Vec::new();
    for _ in 0..300 {
        let mut client = relay.open_session("safe", 7_000);
        assert_eq!(client.next_line(), "UP receipt");
        holding.push(client);
    }
    let rows = [("echo", echo, "Terminating"), ("mute", mute, "Ready")];
    send(&watch, &chunk(&endpoint_list(2, false, &rows)));
    relay.wait_for_counter("lists", 2);
    let client = relay.open_session("safe", 7_000);
    while !next_received(&mute_received).starts_with("OPEN") {}
    holding
        .iter_mut()
        .for_each(|client| client.send("half a line"));
    relay.wait_for_counter("starved", 1);
    client.finish_sending();
    relay.wait_for_counter("clients_left", 1);
    relay.wait_for_counter("dials_withdrawn", 1);
}

/// A listener that takes this many connections at once. With fewer places the kernel completes a
/// handshake that found none seconds later, long after the relay gave the attempt up.
fn listener_for_connections(connections: u32) -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).unwrap();
    let address: SocketAddr = ([127, 0, 0, 1], 0).into();
    socket.bind(&address.into()).unwrap();
    socket.listen(connections as i32).unwrap();
    socket.into()
}

/// More clients leave than one turn handles, and timers are due for all: not even a connection may
/// be started for one that left.
#[test]
fn client_leaving_behind_hundreds_of_events_starts_no_attempt() {
    const CLIENTS: u32 = 900;
    let listener = listener_for_connections(2 * CLIENTS);
    let (busy, begun) = (listener.local_addr().unwrap(), Arc::new(AtomicU32::new(0)));
    let count = begun.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            count.fetch_add(1, Ordering::SeqCst);
            let (tell, _) = std::sync::mpsc::channel();
            std::thread::spawn(move || {
                drop(serve(
                    stream.unwrap(),
                    BackendBehavior::RespondAndClose("BUSY\r\n"),
                    tell,
                ))
            });
        }
    });
    let at = unused_address();
    let text = config(
        at,
        unused_address(),
        4_000,
        &endpoint_list(1, true, &[("busy", busy, "Ready")]),
        false,
    );
    let text = text
        .replace("\"maxDials\": 1", "\"maxDials\": 9")
        .replace("\"pull\"", "\"piggyback\"");
    let relay = start_relay_with_config_and_descriptors(4_000, at, text);
    let mut clients = Vec::new();
    for key in 1..=CLIENTS {
        let mut client = relay.connect();
        // Each has a key of its own, hence backoff delays of its own, the first of up to a second.
        client
            .send(&open_line("c=safe,d=9000").replace("7f3a9c21e0b4d655", &format!("{key:016x}")));
        clients.push(client);
    }
    relay.wait_for_counter("dials_full", CLIENTS);
    relay.suspend();
    for (place, client) in clients.into_iter().enumerate() {
        if place % 2 == 0 {
            reset_on_close(client.lines.get_ref());
        }
    }
    // The timers of the first two backoff delays expire while the relay is suspended.
    std::thread::sleep(Duration::from_millis(2_100));
    let before = begun.load(Ordering::SeqCst);
    relay.signal("CONT");
    relay.wait_for_counter("clients_left", CLIENTS * 9 / 10);
    relay.wait_for_counter("dials_never_sent", 1);
    let after = begun.load(Ordering::SeqCst);
    assert_eq!(
        after - before,
        0,
        "connections begun for clients that had left"
    );
}

#[test]
fn attempt_connected_in_time_but_met_late_is_not_sent() {
    let mut slow = SlowBackend::new();
    let known = endpoint_list(1, true, &[("late", slow.address, "Ready")]);
    let limit = ("\"dialTimeoutUs\": 250000", "\"dialTimeoutUs\": 1500000");
    let relay = start_relay_with_settings(unused_address(), &known, &[limit]);
    let mut client = relay.open_session("once", 7_000);
    relay.wait_for_counter("dials", 1);
    let began = Instant::now();
    relay.suspend();
    let attempt = slow.accept_connection();
    wait_for("the time to come up is over", || {
        (began.elapsed() > Duration::from_millis(1_600)).then_some(())
    });
    relay.signal("CONT");
    assert_eq!(read_to_end_of(&attempt), "");
    // Nothing was sent, so even a non-idempotent session may be retried.
    assert!(client.next_line().starts_with("BUSY"));
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Removal {
    /// The relay meets the drain and the established connection in one turn.
    InOneTurn,
    Listed,
    /// A full list does not contain it.
    Missing,
    ByHand,
}

#[test]
fn unsent_attempt_to_removed_backend_goes_elsewhere() {
    for removal in [
        Removal::InOneTurn,
        Removal::Listed,
        Removal::Missing,
        Removal::ByHand,
    ] {
        let (mut slow, agent) = (SlowBackend::new(), DiscoveryAgent::new());
        let (two, two_received) = start_backend(BackendBehavior::Echo);
        let admin = unused_address();
        let with_admin = format!("\"name\":\"r0\",\"admin_addr\":\"{admin}\"");
        let relay = start_relay_with_settings(
            agent.address,
            "null",
            &[
                LONG_CONNECT_TIMEOUT,
                THREE_ATTEMPTS,
                ("\"name\":\"r0\"", &with_admin),
            ],
        );
        let (watch, _) = agent.accept_request();
        send(
            &watch,
            &format!(
                "{RESPONSE_HEAD}{}",
                chunk(&endpoint_list(1, true, &[("late", slow.address, "Ready")]))
            ),
        );
        relay.wait_for_counter("lists", 1);
        let mut client = relay.open_session("once", 9_000);
        relay.wait_for_counter("dials", 1);
        let rows = [("two", two, "Ready"), ("late", slow.address, "Terminating")];
        let mut attempt = None;
        match removal {
            Removal::InOneTurn => {
                relay.suspend();
                attempt = Some(slow.accept_connection());
                send(&watch, &chunk(&endpoint_list(2, false, &rows)));
                wait_for("the relay's end of the watch has it", || {
                    socket_state(watch.peer_addr().unwrap(), agent.address)
                        .has_unread_bytes
                        .then_some(())
                });
                relay.signal("CONT");
            }
            Removal::Listed => send(&watch, &chunk(&endpoint_list(2, false, &rows))),
            Removal::Missing => send(&watch, &chunk(&endpoint_list(2, true, &rows[..1]))),
            Removal::ByHand => {
                send(&watch, &chunk(&endpoint_list(2, false, &rows[..1])));
                relay.wait_for_counter("lists", 2);
                ban_by_hand("late", admin);
            }
        }
        // Nothing was sent to the first backend, so even a non-idempotent session may go elsewhere.
        assert_eq!(client.next_line(), "UP receipt", "{removal:?}");
        assert!(next_received(&two_received).starts_with("OPEN"));
        if let Some(attempt) = attempt {
            assert_eq!(read_to_end_of(&attempt), "", "{removal:?}");
        }
    }
}

/// Bans a backend at the admin port.
fn ban_by_hand(backend: &str, admin: SocketAddr) {
    let operator = TcpStream::connect(admin).unwrap();
    operator.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    send(&operator, &format!("DISABLE {backend}\r\n"));
    let mut answer = String::new();
    BufReader::new(&operator).read_line(&mut answer).unwrap();
    assert!(answer.starts_with("200"), "{answer}");
}
