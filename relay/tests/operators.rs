//! Tests of what operators use: the admin port, bans, reloading, and hot restarts with a second
//! process on the listening socket that the platform holds.
mod helper;

use helper::host::{Host, RelayProcess, new_program, read_admin_response};
use helper::*;
use rustix::process::{Resource, Rlimit, getrlimit, prlimit};
use socket2::{Domain, SockAddr, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

/// Pause between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Creates a host without discovery, whose backends are named `b0`, `b1` and so on.
fn new_host(name: &str, backends: &[SocketAddr]) -> Host {
    Host::new(&format!("operators-{name}"), backends)
}

/// Opens `count` sessions and waits until each is established.
fn open_sessions(relay: &Relay, count: usize) -> Vec<Client> {
    let mut clients: Vec<_> = (0..count)
        .map(|_| relay.open_session("safe", 1_000))
        .collect();
    for client in &mut clients {
        assert_eq!(client.next_line(), "UP receipt");
    }
    clients
}

/// Waits until this backend receives the first line of an attempt.
fn wait_for_attempt(received: &Received) {
    while !next_received(received).starts_with("OPEN") {}
}

/// Returns the number of attempts whose first line this backend has received.
fn count_attempts(received: &Received) -> usize {
    let attempts = received.try_iter();
    attempts.filter(|line| line.starts_with("OPEN")).count()
}

#[test]
fn admin_command_is_answered_by_one_line() {
    let host = new_host("commands", &[unused_address()]);
    let process = host.start(new_program());
    let long_line = [b'x'; 5_000];
    let cases: &[(&[u8], &str)] = &[
        (b"READY\r\n", "200 ready"),
        (b"READY\nand ignored text", "200 ready"),
        (b"DISABLE b0\n", "200 out"),
        (b"DISABLE b0\r\n", "200 already out"),
        (b"ENABLE b0\n", "200 back"),
        (b"ENABLE b0\n", "200 was not out"),
        (b"DISABLE b7\n", "400 no backend b7 was ever listed here"),
        (b"ENABLE b7\n", "400 no backend b7 was ever listed here"),
        (b"DISABLE\n", "400 which backend?"),
        (b"DISABLE \xff\xfe\n", "400 not UTF-8"),
        (b"\r\n", "400 no call"),
        (&long_line, "400 a line too long"),
    ];
    for (bytes, expected) in cases {
        assert_eq!(
            process.send_to_admin(bytes),
            *expected,
            "{:?}",
            String::from_utf8_lossy(bytes)
        );
    }
    // A command that is sent byte by byte, and one whose connection ends before the line does.
    let mut slow = process.connect_admin();
    b"DISABLE b0\r\n"
        .iter()
        .for_each(|byte| slow.write_all(&[*byte]).unwrap());
    assert_eq!(read_admin_response(&mut slow), "200 out");
    let mut truncated = process.connect_admin();
    truncated.write_all(b"ENABLE b0").unwrap();
    truncated.shutdown(std::net::Shutdown::Write).unwrap();
    assert_eq!(
        read_admin_response(&mut truncated),
        "400 the line has no end"
    );
}

#[test]
fn silent_admin_connections_do_not_block_commands() {
    let host = new_host("silent-connections", &[unused_address()]);
    let process = host.start(new_program());
    let mut silent: Vec<TcpStream> = (0..200).map(|_| process.connect_admin()).collect();
    silent
        .iter_mut()
        .step_by(2)
        .for_each(|stream| stream.write_all(b"DISAB").unwrap());
    (0..20).for_each(|_| process.assert_accepted("READY"));
    // Most were displaced by later connections and got an error; only a few may stay open, so that
    // they take few descriptors.
    let mut displaced = 0;
    for stream in &mut silent {
        stream.set_nonblocking(true).unwrap();
        displaced += usize::from(matches!(stream.read(&mut [0; 64]), Ok(1..)));
    }
    assert!(displaced >= 180, "{displaced}");
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
        "the banned backend got an attempt"
    );
    // One `ENABLE` ends a ban that was made twice. With the other backend banned, all sessions go
    // to this one.
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
    // A ban by either process holds for both.
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
    // A third process finds the bans that the second made before it was killed.
    drop(new);
    let third = host.start(new_program());
    assert_eq!(
        third.relay.open_session("safe", 1_000).next_line(),
        "UP receipt"
    );
    wait_for_attempt(&at_first);
    third.assert_refused("DISABLE nobody");
}

/// Guards against a ban that is never learnt of, because the file could not be opened when the other
/// process had just written it.
#[test]
fn ban_that_was_unreadable_at_first_is_applied_once_it_can_be_read() {
    let host = new_host("unreadable", &[unused_address()]);
    let old = host.start(new_program());
    let new = host.start(new_program());
    let no_descriptors = Rlimit {
        current: Some(1),
        ..getrlimit(Resource::Nofile)
    };
    let pid = rustix::process::Pid::from_child(&new.relay.child);
    let former_limit = prlimit(Some(pid), Resource::Nofile, no_descriptors).unwrap();
    old.assert_accepted("DISABLE b0");
    new.relay.wait_for_log("cannot read the ban list");
    prlimit(Some(pid), Resource::Nofile, former_limit).unwrap();
    new.relay
        .wait_for_log("bans of another process taken over: 1 out");
}

/// Guards against sessions sent to a draining backend by a new process whose cached list is older
/// than the drain, while discovery does not answer it.
#[test]
fn drain_known_to_the_predecessor_holds_until_discovery_answers_the_successor() {
    let (first, at_first) = start_backend(BackendBehavior::Echo);
    let (second, _at_second) = start_backend(BackendBehavior::Echo);
    let endpoints = [("b0", first, "Terminating"), ("b1", second, "Ready")];
    // Only the first request, that of the old process, is answered.
    let (discovery, _requests) = start_discovery(vec![WatchScript {
        pieces: vec![
            RESPONSE_HEAD.into(),
            chunk(&endpoint_list(2, true, &endpoints)),
        ],
        ends: false,
    }]);
    let host = Host::with_cached_list("operators-drain", discovery, &[first, second]);
    let mut old = host.start(new_program());
    old.relay.wait_for_counter("lists", 1);
    let new = host.start(new_program());
    old.relay.signal("TERM");
    assert!(wait_for_exit(&mut old.relay.child).success());
    new.relay
        .wait_for_log("the channel to the predecessor is closed");
    // The draining backend is the only one left.
    new.assert_accepted("DISABLE b1");
    let answer = new.relay.open_session("safe", 1_000).next_line();
    assert!(answer.starts_with("BUSY"), "{answer}");
    assert!(at_first.try_recv().is_err());
}

#[test]
fn established_sessions_on_hot_restart_continue_at_the_successor() {
    let (address, received) = start_backend(BackendBehavior::Echo);
    let host = new_host("handed-over", &[address]);
    let mut process = host.start(new_program());
    let mut clients = open_sessions(&process.relay, 40);
    // An incomplete line is buffered while the process is replaced.
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
    // Each session had one attempt, so none was migrated.
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
fn descriptor_limit_of_two_processes_is_shared() {
    let (address, _received) = start_backend(BackendBehavior::Echo);
    let limit = 200;
    let mut host = new_host("limit", &[address]);
    host.socket_limit = limit;
    let old = host.start(new_program());
    let _established = open_sessions(&old.relay, 40);
    let new = host.start(new_program());
    let open_descriptors = || {
        let count = |process: &RelayProcess| {
            let folder = format!("/proc/{}/fd", process.relay.child.id());
            std::fs::read_dir(folder).unwrap().count()
        };
        (count(&old), count(&new))
    };
    // Both processes accept clients from the same socket. Every client is answered, and the limit
    // holds for both processes together.
    let mut clients = Vec::new();
    for _ in 0..60 {
        let mut client = new.relay.open_session("safe", 1_000);
        let line = client.next_line();
        assert!(line == "UP receipt" || line.starts_with("BUSY"), "{line}");
        clients.push(client);
        let (old_count, new_count) = open_descriptors();
        assert!(
            old_count + new_count <= limit,
            "{old_count} and {new_count}"
        );
    }
    let (old_count, new_count) = open_descriptors();
    assert!(old_count + new_count > limit / 2);
    // The sessions of the old process are handed over, although the shared limit leaves no room for
    // as many new sessions.
    old.relay.signal("TERM");
    let stopped = old.relay.wait_for_log("stopped;");
    assert!(counter_value(&stopped, "handed") >= 40, "{stopped}");
}

#[test]
fn clients_without_a_successor_that_accepts_them_are_migrated() {
    let (address, _received) = start_backend(BackendBehavior::Echo);
    for successor in ["none", "of-another-relay", "silent", "killed"] {
        let host = new_host(&format!("migrated-{successor}"), &[address]);
        let process = host.start(new_program());
        let mut client = process.relay.open_session("safe", 1_000);
        assert_eq!(client.next_line(), "UP receipt");
        // Each of these successors fails at another point of the handover.
        let mut channel = None;
        match successor {
            "of-another-relay" => drop(greet_as_successor(&host, "another")),
            "silent" => channel = Some(greet_as_successor(&host, "r0")),
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

/// Guards against clients that no process accepts, after a process on the platform's listening
/// socket is told to stop and no other process has taken its place.
#[test]
fn client_connecting_after_sigterm_without_a_successor_is_answered() {
    let (address, _received) = start_backend(BackendBehavior::Echo);
    let host = new_host("no-successor", &[address]);
    for has_lost_successor in [false, true] {
        let mut process = host.start(new_program());
        // They keep the process until its last step.
        let mut clients = open_sessions(&process.relay, 5);
        let channel = has_lost_successor.then(|| greet_as_successor(&host, "r0"));
        process.wait_until_ready();
        process.relay.suspend_while_polling();
        process.relay.signal("TERM");
        if let Some(channel) = channel {
            // The shutdown and the end of the successor are handled in one turn.
            drop(channel);
        }
        process.relay.signal("CONT");
        process.relay.wait_for_log("told to stop");
        let mut late = process.relay.open_session("safe", 1_000);
        assert_eq!(
            late.next_line(),
            "UP receipt",
            "lost a successor: {has_lost_successor}"
        );
        clients.push(late);
        for client in &mut clients {
            assert_eq!([client.next_line(), client.next_line()], ["MOVE", "end"]);
        }
        assert!(wait_for_exit(&mut process.relay.child).success());
    }
}

/// Connects to the process that serves on this host, and sends the first message of a successor.
fn greet_as_successor(host: &Host, relay: &str) -> Socket {
    let socket = Socket::new(Domain::UNIX, Type::SEQPACKET, None).unwrap();
    let path = host.folder().join("thistlecroft-next");
    socket.connect(&SockAddr::unix(path).unwrap()).unwrap();
    let hello = format!("{{\"Hello\":{{\"version\":2,\"relay\":\"{relay}\"}}}}\n");
    socket.send(hello.as_bytes()).unwrap();
    socket
}

/// The end of the settings' listener array, with one more listener.
const PAY_LISTENER: &str = r#",{"name": "pay", "deadlineUs": 1500000, "handshakeTargetUs": 300000, "effect": "fragile", "utility": 1.0}]"#;

#[test]
fn changed_settings_are_applied_completely_or_not_at_all() {
    let (address, _received) = start_backend(BackendBehavior::Echo);
    let relay = start_relay_with_backends(&[address]);
    let first_line = |listener: &str| relay.open_session(listener, 1_000).next_line();
    let time_until = |listener: &str, expected: &str| {
        let start = Instant::now();
        while first_line(listener) != expected {
            assert!(
                start.elapsed() < TEST_TIMEOUT,
                "listener {listener}: never answered {expected}"
            );
            thread::sleep(CHECK_INTERVAL);
        }
        start.elapsed()
    };
    let mut established = relay.open_session("safe", 1_000);
    assert_eq!(established.next_line(), "UP receipt");
    assert_eq!(first_line("pay"), "ERR");
    // An added listener is served at once, and the others still are.
    let (end_of_listeners, end_with_pay) = (
        "}],\n \"invariants\"",
        format!("}}{PAY_LISTENER},\n \"invariants\""),
    );
    relay.reload_with(end_of_listeners, &end_with_pay);
    time_until("pay", "UP receipt");
    assert_eq!(first_line("safe"), "UP receipt");
    // Files with errors change nothing.
    let with_pay = relay.config_text.replace(end_of_listeners, &end_with_pay);
    let invalid = [
        String::new(),
        with_pay[..with_pay.len() - 40].to_string(),
        with_pay.replace(
            "\"deadlineUs\": 1500000, \"handshakeTargetUs\": 300000, \"effect\": \"fragile\"",
            "\"effect\": \"fragile\"",
        ),
        with_pay.replace("1500000", "-5").replace("safe", "other"),
        with_pay.replace("1500000", "0").replace("safe", "other"),
        with_pay
            .replace("\"maxDials\": 1", "\"maxDials\": 0")
            .replace("safe", "other"),
        with_pay.replace("\"pay\"", "\"safe\""),
    ];
    for text in &invalid {
        write_config(text);
        relay.signal("HUP");
        relay.wait_for_log("the previous configuration stays in force");
        assert_eq!(first_line("pay"), "UP receipt", "{text}");
        assert_eq!(first_line("other"), "ERR");
    }
    // The second of two files in quick succession drops a listener. Its clients are served until
    // the transition ends; then the listener is unknown.
    write_config(&with_pay);
    relay.signal("HUP");
    let without_once = with_pay.replace("\"name\": \"once\"", "\"name\": \"twice\"");
    write_config(&without_once);
    relay.signal("HUP");
    time_until("twice", "UP receipt");
    assert_eq!(first_line("once"), "UP receipt", "during the transition");
    let transition = time_until("once", "ERR");
    assert!(transition < Duration::from_millis(1_300), "{transition:?}");
    assert_eq!(first_line("pay"), "UP receipt");
    // The session from the beginning is still established.
    established.send("still here\r\n");
    assert_eq!(established.next_line(), "still here");
}

#[test]
fn start_with_unusable_socket_or_address_fails_with_one_line() {
    let host = new_host("bad-socket", &[]);
    let client = TcpStream::connect(host.client_address()).unwrap();
    rustix::io::fcntl_setfd(&client, rustix::io::FdFlags::empty()).unwrap();
    let connected = client.as_raw_fd().to_string();
    let listening = host.listener_descriptor();
    let other_listener = TcpListener::bind(unused_address()).unwrap();
    let valid = host.configuration(unused_address());
    let without_address = valid
        .replace("\"admin_addr\":\"127", "\"admin_addr\":\"")
        .replace("\"admin_addr\":\"", "\"admin_addr\":\"x");
    let with_taken_address = host.configuration(other_listener.local_addr().unwrap());
    let cases = [
        (&valid, connected.as_str(), "does not listen"),
        (&valid, "900", "is no open socket"),
        (&valid, "seven", "is no descriptor"),
        (&valid, "1", "is no descriptor"),
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
