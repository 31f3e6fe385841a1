//! Tests of sessions that wait for a backend: answers, and attempts that are cancelled.
use crate::helper::*;
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Returns the wait in milliseconds of the next request that a backend received, and checks that
/// the rest of the request was forwarded unchanged.
fn forwarded_wait(received: &Received, listener: &str) -> u32 {
    let line = std::iter::repeat_with(|| next_received(received))
        .find(|line| line.starts_with("OPEN"))
        .unwrap();
    line.split_once(&format!(" 7f3a9c21e0b4d655 c={listener},d="))
        .and_then(|(_, rest)| rest.strip_suffix(",g=5c0f6e1a2b3d4c59\r\n"))
        .unwrap_or_else(|| panic!("unexpected request: {line}"))
        .parse()
        .unwrap()
}

#[test]
fn backend_answer_of_each_form_is_translated_for_client() {
    // What the backend does, and the answer to the client on the listener `safe`, whose sessions
    // may be retried, and on `once`, whose sessions may not.
    let cases = [
        (BackendBehavior::Echo, "UP receipt", "UP receipt"),
        (BackendBehavior::AcceptInPieces, "UP receipt", "UP receipt"),
        (BackendBehavior::Reply("BUSY\r\n"), "BUSY", "BUSY"),
        (BackendBehavior::Reply("ERR inflight=7\r\n"), "BUSY", "ERR"),
        (BackendBehavior::Reply("MOVE\r\n"), "BUSY", "ERR"),
        (BackendBehavior::Reply("BYE\r\n"), "BUSY", "ERR"),
        (BackendBehavior::Reply("what\r\n"), "BUSY", "ERR"),
        (BackendBehavior::OverlongResponse, "BUSY", "ERR"),
        (BackendBehavior::CloseImmediately, "BUSY", "ERR"),
        (BackendBehavior::NeverRespond, "BUSY", "ERR"),
    ];
    for (behavior, safe_answer, once_answer) in cases {
        let (address, received) = start_backend(behavior);
        // Load reports come with each answer. Without them, a backend that rejected an attempt
        // would be avoided for a while.
        let relay_address = unused_address();
        let config_text = config(
            relay_address,
            unused_address(),
            1_000,
            &endpoint_list(1, true, &[("b0", address, "Ready")]),
            false,
        );
        let relay = start_relay_with_config(
            relay_address,
            config_text.replace("\"pull\"", "\"piggyback\""),
        );
        for (listener, expected) in [("safe", safe_answer), ("once", once_answer)] {
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
                    "{behavior:?} {listener}: the connection must end after one answer"
                );
            }
        }
    }
    // Nothing listens at the backend's address: nothing was sent, so every session may be retried.
    let relay = start_relay_with_backends(&[unused_address()]);
    assert!(
        relay
            .open_session("once", 400)
            .next_line()
            .starts_with("BUSY")
    );
}

#[test]
fn dedup_session_after_backend_failure_is_answered_by_dedup_scope() {
    // What the backend does, and whether it may have acted on the request.
    let behaviors = [
        (BackendBehavior::Reply("BUSY\r\n"), false),
        (BackendBehavior::Reply("BUSY\r\nUP receipt\r\n"), false),
        (BackendBehavior::Reply("ERR inflight=7\r\n"), true),
        (BackendBehavior::Reply("MOVE\r\n"), true),
        (BackendBehavior::Reply("BYE\r\n"), true),
        (BackendBehavior::Reply("what\r\n"), true),
        (BackendBehavior::OverlongResponse, true),
        (BackendBehavior::CloseImmediately, true),
        (BackendBehavior::NeverRespond, true),
    ];
    for (scope, covers_all_backends) in [("all", true), ("zone", false), ("cell", false)] {
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
            let expected = if covers_all_backends || !may_have_run {
                "BUSY"
            } else {
                "ERR"
            };
            let answer = client.next_line();
            assert_eq!(
                answer.split(' ').next(),
                Some(expected),
                "{scope} {behavior:?}: {answer}"
            );
            assert_eq!(
                client.next_line(),
                "end",
                "{scope} {behavior:?}: the connection must end after one answer"
            );
        }
    }
}

#[test]
fn client_leaving_while_its_attempt_connects_is_not_forwarded() {
    // Whether the client resets its connection, and whether it leaves after the attempt's
    // connection is established. The relay handles both events in one turn.
    for (resets, leaves_after) in [(false, true), (true, true), (false, false), (true, false)] {
        let mut slow = SlowBackend::new();
        let known = endpoint_list(1, true, &[("late", slow.address, "Ready")]);
        let relay = start_relay_with_settings(unused_address(), &known, &[LONG_CONNECT_TIMEOUT]);
        let client = relay.open_session("once", 7_000);
        relay.wait_for_counter("dials", 1);
        relay.suspend();
        let leave = |client: Client| {
            let from = client.lines.get_ref().local_addr().unwrap();
            if resets {
                reset_on_close(client.lines.get_ref());
            }
            drop(client);
            wait_for("the client's leaving reaches the relay's socket", || {
                (!socket_state(relay.client_address, from).is_established).then_some(())
            });
        };
        let mut client = Some(client);
        if !leaves_after {
            client.take().map(leave);
        }
        let attempt = slow.accept_connection();
        client.take().map(leave);
        relay.signal("CONT");
        assert_eq!(
            read_to_end_of(&attempt),
            "",
            "resets {resets}, leaves_after {leaves_after}"
        );
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
    // Each established session whose client has sent half a line holds a buffer until the line is
    // complete.
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

/// Returns a listener whose backlog holds this many connections. If the backlog is full, the kernel
/// completes a connection seconds later, long after the relay has given up the attempt.
fn listener_for_connections(connections: u32) -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).unwrap();
    let address: SocketAddr = ([127, 0, 0, 1], 0).into();
    socket.bind(&address.into()).unwrap();
    socket.listen(connections as i32).unwrap();
    socket.into()
}

/// More clients leave than one turn handles, while backoff timers expire for all sessions. No
/// connection to a backend may be started for a client that has left.
#[test]
fn client_that_left_with_its_event_queued_starts_no_attempt() {
    const CLIENTS: u32 = 900;
    let listener = listener_for_connections(2 * CLIENTS);
    let (backend, accepted) = (listener.local_addr().unwrap(), Arc::new(AtomicU32::new(0)));
    let counter = accepted.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            counter.fetch_add(1, Ordering::SeqCst);
            let (sender, _) = std::sync::mpsc::channel();
            std::thread::spawn(move || {
                drop(serve(
                    stream.unwrap(),
                    BackendBehavior::Reply("BUSY\r\n"),
                    sender,
                ))
            });
        }
    });
    let relay_address = unused_address();
    let config_text = config(
        relay_address,
        unused_address(),
        4_000,
        &endpoint_list(1, true, &[("busy", backend, "Ready")]),
        false,
    );
    let config_text = config_text
        .replace("\"maxDials\": 1", "\"maxDials\": 9")
        .replace("\"pull\"", "\"piggyback\"");
    let relay = start_relay_with_config_and_descriptors(4_000, relay_address, config_text);
    let mut clients = Vec::new();
    for key in 1..=CLIENTS {
        let mut client = relay.connect();
        // Each client has its own key, hence its own backoff delays; the first is up to a second.
        client
            .send(&open_line("c=safe,d=9000").replace("7f3a9c21e0b4d655", &format!("{key:016x}")));
        clients.push(client);
    }
    relay.wait_for_counter("dials_full", CLIENTS);
    // Each client now waits in backoff, or its next attempt is connected: no attempt is between the
    // check of its client and its `connect`.
    relay.suspend_while_polling();
    for (index, client) in clients.into_iter().enumerate() {
        if index % 2 == 0 {
            reset_on_close(client.lines.get_ref());
        }
    }
    // The timers of the first two backoff delays expire while the relay is suspended.
    std::thread::sleep(Duration::from_millis(2_100));
    let connections_before = accepted.load(Ordering::SeqCst);
    relay.signal("CONT");
    relay.wait_for_counter("clients_left", CLIENTS * 9 / 10);
    relay.wait_for_counter("dials_never_sent", 1);
    let connections_after = accepted.load(Ordering::SeqCst);
    assert_eq!(
        connections_after - connections_before,
        0,
        "connections started for clients that had left"
    );
}

#[test]
fn attempt_connected_in_time_but_handled_late_is_not_sent() {
    let mut slow = SlowBackend::new();
    let known = endpoint_list(1, true, &[("late", slow.address, "Ready")]);
    let connect_timeout = ("\"dialTimeoutUs\": 250000", "\"dialTimeoutUs\": 1500000");
    let relay = start_relay_with_settings(unused_address(), &known, &[connect_timeout]);
    let mut client = relay.open_session("once", 7_000);
    relay.wait_for_counter("dials", 1);
    let suspended_at = Instant::now();
    relay.suspend();
    let attempt = slow.accept_connection();
    wait_for("the connect timeout has passed", || {
        (suspended_at.elapsed() > Duration::from_millis(1_600)).then_some(())
    });
    relay.signal("CONT");
    assert_eq!(read_to_end_of(&attempt), "");
    // Nothing was sent, so even a non-idempotent session may be retried.
    assert!(client.next_line().starts_with("BUSY"));
}

/// How a backend is removed while an attempt to it connects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Removal {
    /// The relay handles the drain and the established connection in one turn.
    DrainedInSameTurn,
    /// An endpoint list reports that the backend drains.
    Drained,
    /// A full endpoint list does not contain the backend.
    NotListed,
    /// An operator bans the backend.
    Banned,
}

#[test]
fn unsent_attempt_to_removed_backend_goes_elsewhere() {
    for removal in [
        Removal::DrainedInSameTurn,
        Removal::Drained,
        Removal::NotListed,
        Removal::Banned,
    ] {
        let (mut slow, agent) = (SlowBackend::new(), DiscoveryAgent::new());
        let (up, up_received) = start_backend(BackendBehavior::Echo);
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
        let rows = [("two", up, "Ready"), ("late", slow.address, "Terminating")];
        let mut attempt = None;
        match removal {
            Removal::DrainedInSameTurn => {
                relay.suspend();
                attempt = Some(slow.accept_connection());
                send(&watch, &chunk(&endpoint_list(2, false, &rows)));
                wait_for("the list reaches the relay's watch connection", || {
                    socket_state(watch.peer_addr().unwrap(), agent.address)
                        .has_unread_bytes
                        .then_some(())
                });
                relay.signal("CONT");
            }
            Removal::Drained => send(&watch, &chunk(&endpoint_list(2, false, &rows))),
            Removal::NotListed => send(&watch, &chunk(&endpoint_list(2, true, &rows[..1]))),
            Removal::Banned => {
                send(&watch, &chunk(&endpoint_list(2, false, &rows[..1])));
                relay.wait_for_counter("lists", 2);
                ban_at_admin_port("late", admin);
            }
        }
        // Nothing was sent to the first backend, so even a non-idempotent session may be retried.
        assert_eq!(client.next_line(), "UP receipt", "{removal:?}");
        assert!(next_received(&up_received).starts_with("OPEN"));
        if let Some(attempt) = attempt {
            assert_eq!(read_to_end_of(&attempt), "", "{removal:?}");
        }
    }
}

/// Bans a backend through the relay's admin port.
fn ban_at_admin_port(backend: &str, admin: SocketAddr) {
    let operator = TcpStream::connect(admin).unwrap();
    operator.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    send(&operator, &format!("DISABLE {backend}\r\n"));
    let mut answer = String::new();
    BufReader::new(&operator).read_line(&mut answer).unwrap();
    assert!(answer.starts_with("200"), "{answer}");
}
