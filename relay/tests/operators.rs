//! The relay as operators meet it: the admin port, bans, and a second process beside the first on a
//! listening socket that the platform holds.
mod helper;

use helper::host::{Host, RelayProcess, new_program, read_admin_response};
use helper::*;
use socket2::{Domain, SockAddr, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

/// Pause between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A host without discovery whose backends are named `b0`, `b1` and so on.
fn new_host(name: &str, backends: &[SocketAddr]) -> Host {
    Host::new(&format!("operators-{name}"), backends)
}

/// Opens so many sessions, each of which is accepted.
fn open_sessions(relay: &Relay, count: usize) -> Vec<Client> {
    let mut clients: Vec<_> = (0..count)
        .map(|_| relay.open_session("safe", 1_000))
        .collect();
    for client in &mut clients {
        assert_eq!(client.next_line(), "UP receipt");
    }
    clients
}

/// Waits until a first line comes to this backend.
fn wait_for_attempt(received: &Received) {
    while !next_received(received).starts_with("OPEN") {}
}

/// First lines that have come to this backend.
fn count_attempts(received: &Received) -> usize {
    let attempts = received.try_iter();
    attempts.filter(|line| line.starts_with("OPEN")).count()
}

#[test]
fn admin_command_is_answered_by_one_line() {
    let host = new_host("calls", &[unused_address()]);
    let process = host.start(new_program());
    let long = [b'x'; 5_000];
    let cases: &[(&[u8], &str)] = &[
        (b"READY\r\n", "200 ready"),
        (b"READY\nand what comes behind", "200 ready"),
        (b"DISABLE b0\n", "200 out"),
        (b"DISABLE b0\r\n", "200 already out"),
        (b"ENABLE b0\n", "200 back"),
        (b"ENABLE b0\n", "200 was not out"),
        (b"DISABLE b7\n", "400 no backend b7 was ever listed here"),
        (b"ENABLE b7\n", "400 no backend b7 was ever listed here"),
        (b"DISABLE\n", "400 which backend?"),
        (b"DISABLE \xff\xfe\n", "400 not UTF-8"),
        (b"\r\n", "400 no call"),
        (&long, "400 a line too long"),
    ];
    for (bytes, expected) in cases {
        assert_eq!(
            process.send_to_admin(bytes),
            *expected,
            "{:?}",
            String::from_utf8_lossy(bytes)
        );
    }
    // Byte by byte, and cut off before the line's end.
    let mut slow = process.connect_admin();
    b"DISABLE b0\r\n"
        .iter()
        .for_each(|byte| slow.write_all(&[*byte]).unwrap());
    assert_eq!(read_admin_response(&mut slow), "200 out");
    let mut cut = process.connect_admin();
    cut.write_all(b"ENABLE b0").unwrap();
    cut.shutdown(std::net::Shutdown::Write).unwrap();
    assert_eq!(read_admin_response(&mut cut), "400 the line has no end");
}

#[test]
fn silent_admin_connections_keep_nobody_out() {
    let host = new_host("silent-callers", &[unused_address()]);
    let process = host.start(new_program());
    let mut silent: Vec<TcpStream> = (0..200).map(|_| process.connect_admin()).collect();
    silent
        .iter_mut()
        .step_by(2)
        .for_each(|stream| stream.write_all(b"DISAB").unwrap());
    (0..20).for_each(|_| process.assert_accepted("READY"));
    // Most had to make room, and were told so; the descriptors of those that stay are few.
    let mut gone = 0;
    for stream in &mut silent {
        stream.set_nonblocking(true).unwrap();
        gone += usize::from(matches!(stream.read(&mut [0; 64]), Ok(1..)));
    }
    assert!(gone >= 180, "{gone}");
}

#[test]
fn banned_backend_gets_no_sessions_until_enabled() {
    let (first, at_first) = start_backend(BackendBehavior::Echo);
    let (second, at_second) = start_backend(BackendBehavior::Echo);
    let endpoints = [("b0", first, "Ready"), ("b1", second, "Ready")];
    let (address, requests) = start_discovery(vec![WatchScript {
        pieces: vec![
            RESPONSE_HEAD.into(),
            chunk(&endpoint_list(2, true, &endpoints)),
        ],
        ends: false,
    }]);
    let host = Host::with_discovery("operators-ban", address);
    let process = host.start(new_program());
    next_received(&requests);
    process.assert_accepted("DISABLE b0");
    let _clients = open_sessions(&process.relay, 20);
    assert_eq!(count_attempts(&at_second), 20);
    assert!(
        at_first.try_recv().is_err(),
        "nothing new at the one that is banned"
    );
    // Banned twice, enabled once; then it is the only one there is.
    process.assert_accepted("DISABLE b0");
    process.assert_accepted("ENABLE b0");
    process.assert_accepted("DISABLE b1");
    assert_eq!(
        process.relay.open_session("safe", 1_000).next_line(),
        "UP receipt"
    );
    wait_for_attempt(&at_first);
}

#[test]
fn second_process_serves_beside_the_first_and_shares_its_bans() {
    let (first, at_first) = start_backend(BackendBehavior::Echo);
    let (second, at_second) = start_backend(BackendBehavior::Echo);
    let host = new_host("beside", &[first, second]);
    let mut old = host.start(new_program());
    old.assert_accepted("DISABLE b0");
    let new = host.start(new_program());
    // Whichever process gets the command, both go by it.
    new.assert_accepted("READY");
    old.relay.signal("TERM");
    let status = wait_for_exit(&mut old.relay.child);
    assert!(status.success(), "{status}");
    let _clients = open_sessions(&new.relay, 10);
    assert!(at_first.try_recv().is_err() && at_second.try_iter().count() >= 10);
    new.assert_accepted("ENABLE b0");
    new.assert_accepted("DISABLE b1");
    assert_eq!(
        new.relay.open_session("safe", 1_000).next_line(),
        "UP receipt"
    );
    wait_for_attempt(&at_first);
    // A third process finds the bans as the second left them, although that was killed.
    drop(new);
    let third = host.start(new_program());
    assert_eq!(
        third.relay.open_session("safe", 1_000).next_line(),
        "UP receipt"
    );
    wait_for_attempt(&at_first);
    third.assert_refused("DISABLE nobody");
}

#[test]
fn standing_sessions_on_hot_restart_go_to_the_successor_unnoticed() {
    let (address, received) = start_backend(BackendBehavior::Echo);
    let host = new_host("handed", &[address]);
    let mut process = host.start(new_program());
    let mut clients = open_sessions(&process.relay, 40);
    // Half a line waits on its way when the process changes.
    clients[0].send("begun ");
    for round in 0..3 {
        let next = host.start(new_program());
        process.relay.signal("TERM");
        assert!(wait_for_exit(&mut process.relay.child).success());
        assert!(
            process
                .relay
                .wait_for_log("stopped;")
                .contains("handed=40 ")
        );
        process = next;
        for (number, client) in clients.iter_mut().enumerate().skip(1) {
            client.send(&format!("line {number} of {round}\r\n"));
            assert_eq!(client.next_line(), format!("line {number} of {round}"));
        }
    }
    clients[0].send("and ended\r\n");
    assert_eq!(clients[0].next_line(), "begun and ended");
    // One attempt each, and none was migrated.
    assert_eq!(count_attempts(&received), 40);
    clients[1].finish_sending();
    assert_eq!(
        (
            clients[1].next_line().as_str(),
            clients[1].next_line().as_str()
        ),
        ("BYE inflight=1", "end")
    );
}

#[test]
fn two_processes_share_one_limit_of_descriptors() {
    let (address, _met) = start_backend(BackendBehavior::Echo);
    let limit = 200;
    let mut host = new_host("limit", &[address]);
    host.socket_limit = limit;
    let old = host.start(new_program());
    let _standing = open_sessions(&old.relay, 40);
    let new = host.start(new_program());
    let open_descriptors = || {
        let count = |process: &RelayProcess| {
            let folder = format!("/proc/{}/fd", process.relay.child.id());
            std::fs::read_dir(folder).unwrap().count()
        };
        (count(&old), count(&new))
    };
    // Both take clients from the one socket; everybody is answered, and the limit holds for the two
    // together.
    let mut later = Vec::new();
    for _ in 0..60 {
        let mut client = new.relay.open_session("safe", 1_000);
        let line = client.next_line();
        assert!(line == "UP receipt" || line.starts_with("BUSY"), "{line}");
        later.push(client);
        let (old_count, new_count) = open_descriptors();
        assert!(
            old_count + new_count <= limit,
            "{old_count} and {new_count}"
        );
    }
    let (old_count, new_count) = open_descriptors();
    assert!(old_count + new_count > limit / 2);
    // The sessions of the old process go over, although the new one alone has no room for them.
    old.relay.signal("TERM");
    let stopped = old.relay.wait_for_log("stopped;");
    assert!(counter_value(&stopped, "handed") >= 40, "{stopped}");
}

#[test]
fn clients_without_a_successor_that_takes_them_are_migrated() {
    let (address, _received) = start_backend(BackendBehavior::Echo);
    for successor in ["none", "foreign", "mute", "killed"] {
        let host = new_host(&format!("moved-{successor}"), &[address]);
        let process = host.start(new_program());
        let mut client = process.relay.open_session("safe", 1_000);
        assert_eq!(client.next_line(), "UP receipt");
        // Each ends or keeps silent at another point of the handover.
        let mut channel = None;
        match successor {
            "foreign" => drop(greet_as_successor(&host, "another")),
            "mute" => channel = Some(greet_as_successor(&host, "r0")),
            "killed" => drop(host.start(new_program())),
            _ => {}
        }
        process.relay.signal("TERM");
        assert_eq!(
            (client.next_line().as_str(), client.next_line().as_str()),
            ("MOVE", "end"),
            "{successor}"
        );
        drop(channel);
    }
}

/// Connects to the process that serves, and sends the first message of a successor.
fn greet_as_successor(host: &Host, relay: &str) -> Socket {
    let socket = Socket::new(Domain::UNIX, Type::SEQPACKET, None).unwrap();
    let path = host.folder().join("thistlecroft-next");
    socket.connect(&SockAddr::unix(path).unwrap()).unwrap();
    let hello = format!("{{\"Hello\":{{\"version\":1,\"relay\":\"{relay}\"}}}}\n");
    socket.send(hello.as_bytes()).unwrap();
    socket
}

/// A listener's row of the settings, as text.
const PAY_LISTENER: &str = r#",{"name": "pay", "deadlineUs": 1500000, "handshakeTargetUs": 300000, "effect": "fragile", "utility": 1.0}]"#;

#[test]
fn changed_settings_are_taken_up_whole_or_not_at_all() {
    let (address, _received) = start_backend(BackendBehavior::Echo);
    let relay = start_relay_with_backends(&[address]);
    let response = |listener: &str| relay.open_session(listener, 1_000).next_line();
    let time_until = |listener: &str, expected: &str| {
        let start = Instant::now();
        while response(listener) != expected {
            assert!(
                start.elapsed() < TEST_TIMEOUT,
                "{listener} is never answered {expected}"
            );
            thread::sleep(CHECK_INTERVAL);
        }
        start.elapsed()
    };
    let mut standing = relay.open_session("safe", 1_000);
    assert_eq!(standing.next_line(), "UP receipt");
    assert_eq!(response("pay"), "ERR");
    // A listener is added: it is served at once, and the others still are.
    let (last_listener, with_pay) = (
        "}],\n \"invariants\"",
        format!("}}{PAY_LISTENER},\n \"invariants\""),
    );
    relay.reload_with(last_listener, &with_pay);
    time_until("pay", "UP receipt");
    assert_eq!(response("safe"), "UP receipt");
    // Files that are broken change nothing, of this or of what went before.
    let with = relay.config_text.replace(last_listener, &with_pay);
    let broken = [
        String::new(),
        with[..with.len() - 40].to_string(),
        with.replace(
            "\"deadlineUs\": 1500000, \"handshakeTargetUs\": 300000, \"effect\": \"fragile\"",
            "\"effect\": \"fragile\"",
        ),
        with.replace("1500000", "-5").replace("safe", "other"),
        with.replace("1500000", "0").replace("safe", "other"),
        with.replace("\"maxDials\": 1", "\"maxDials\": 0")
            .replace("safe", "other"),
        with.replace("\"pay\"", "\"safe\""),
    ];
    for text in &broken {
        write_config(text);
        relay.signal("HUP");
        relay.wait_for_log("what was read before stays");
        assert_eq!(response("pay"), "UP receipt", "{text}");
        assert_eq!(response("other"), "ERR");
    }
    // A listener is dropped, by the second of two files in a row: clients under way are served for
    // a while, and then it is unknown.
    write_config(&with);
    relay.signal("HUP");
    let without = with.replace("\"name\": \"once\"", "\"name\": \"twice\"");
    write_config(&without);
    relay.signal("HUP");
    time_until("twice", "UP receipt");
    assert_eq!(response("once"), "UP receipt", "clients under way");
    let lateness = time_until("once", "ERR");
    assert!(lateness < Duration::from_millis(1_300), "{lateness:?}");
    assert_eq!(response("pay"), "UP receipt");
    // What stood through all of it still does.
    standing.send("still here\r\n");
    assert_eq!(standing.next_line(), "still here");
}

#[test]
fn unusable_socket_or_address_ends_with_one_line() {
    let host = new_host("bad-socket", &[]);
    let client = TcpStream::connect(host.client_address()).unwrap();
    rustix::io::fcntl_setfd(&client, rustix::io::FdFlags::empty()).unwrap();
    let connected = client.as_raw_fd().to_string();
    let listening = host.listener_descriptor();
    let other_listener = TcpListener::bind(unused_address()).unwrap();
    let good = host.configuration(unused_address());
    let without_address = good
        .replace("\"admin_addr\":\"127", "\"admin_addr\":\"")
        .replace("\"admin_addr\":\"", "\"admin_addr\":\"x");
    let with_taken_address = host.configuration(other_listener.local_addr().unwrap());
    let cases = [
        (&good, connected.as_str(), "does not listen"),
        (&good, "900", "is no open socket"),
        (&good, "seven", "is no descriptor"),
        (&good, "1", "is no descriptor"),
        (&without_address, &listening, "admin_addr"),
        (&with_taken_address, &listening, "in use"),
    ];
    for (configuration, descriptor, expected) in cases {
        let path = host.folder().join("bad.json");
        std::fs::write(&path, configuration).unwrap();
        let output = Command::new(new_program())
            .env("ROUTER_CONFIG", &path)
            .env("ROUTER_PASSED_SOCKET", descriptor)
            .env("TMPDIR", host.folder())
            .env("RUST_LOG", "off")
            .output()
            .unwrap();
        let lines = String::from_utf8(output.stderr).unwrap();
        assert!(
            !output.status.success() && lines.lines().count() == 1,
            "{descriptor}: {lines}"
        );
        assert!(lines.contains(expected), "{descriptor}: {lines}");
    }
}
