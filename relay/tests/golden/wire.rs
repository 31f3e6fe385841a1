//! Golden tests of the lines between clients, the relay and backends.
use crate::helper::*;
use crate::recorded::{Transcript, mask_after};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

/// Reads all bytes until the relay closes the connection.
fn read_until_closed(stream: &mut TcpStream) -> Vec<u8> {
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).unwrap();
    answer
}

/// Connects to the relay.
fn connect(relay: &Relay) -> TcpStream {
    let stream = TcpStream::connect(relay.client_address).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
}

#[test]
fn client_pings_are_answered_as_recorded() {
    let relay = start_relay_with_backends(&[unused_address()]);
    let mut transcript = Transcript::default();
    for sent in ["PING\r\n", "PING\n", "PING\r\nPING\r\n"] {
        let mut stream = connect(&relay);
        stream.write_all(sent.as_bytes()).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        transcript.line("client sends", sent.as_bytes());
        transcript.line("client hears", &read_until_closed(&mut stream));
    }
    transcript.assert_recorded("client_pings.txt");
}

#[test]
fn invalid_first_lines_of_clients_are_answered_as_recorded() {
    let (address, _received) = start_backend(BackendBehavior::Echo);
    let relay = start_relay_with_backends(&[address]);
    let ids = "OPEN 00000000000000aa 7f3a9c21e0b4d655";
    let items = [
        "",
        "c=safe",
        "d=1000",
        "c=nobody,d=1000",
        "c=safe,d=",
        "c=safe,d=-1",
        "c=safe,d=soon",
        "c=safe,d=4294968",
        "c=safe,d=1000,d=1000",
        "c=safe,d=1000,g=5",
        "c=safe,d=1000,h=-1",
        "c=safe,d=1000,h=NaN",
        "c=safe,d=1000,r=x",
        "c=safe,d=1000,again=x",
        "c=safe,d=1000,",
        "c=safe,d=1000,=x",
        "c=safe,d=1000,x",
        "c=safe,d=1000 more",
        "c=safe,d=1000\r\nmore",
    ];
    let mut lines: Vec<String> = items
        .iter()
        .map(|item| format!("{ids} {item}\r\n"))
        .collect();
    lines.extend(
        [
            "\r\n",
            "ping\r\n",
            "PING now\r\n",
            "OPEN\r\n",
            "OPEN 00000000000000a 7f3a9c21e0b4d655 c=safe,d=1000\r\n",
            "OPEN 00000000000000ag 7f3a9c21e0b4d655 c=safe,d=1000\r\n",
            "OPEN 00000000000000aa 7f3a c=safe,d=1000\r\n",
            "open 00000000000000aa 7f3a9c21e0b4d655 c=safe,d=1000\r\n",
            "GET / HTTP/1.1\r\n",
        ]
        .map(String::from),
    );
    let mut transcript = Transcript::default();
    for line in lines {
        let mut stream = connect(&relay);
        stream.write_all(line.as_bytes()).unwrap();
        transcript.line("client sends", line.as_bytes());
        transcript.line("client hears", &read_until_closed(&mut stream));
    }
    transcript.assert_recorded("client_wrong_first_lines.txt");
}

#[test]
fn client_lines_at_and_above_length_limit_are_answered_as_recorded() {
    let (address, _received) = start_backend(BackendBehavior::Echo);
    let relay = start_relay_with_backends(&[address]);
    let mut transcript = Transcript::default();
    transcript.title("an OPEN of 4,095 bytes before its line feed, and of one more");
    for length in [4_095, 4_096] {
        let mut line = format!("OPEN 000000000000{length} 7f3a9c21e0b4d655 c=safe,d=1000,x=");
        line += &"x".repeat(length - line.len());
        let mut client = relay.connect();
        client.send(&format!("{line}\n"));
        transcript.line("client hears", client.next_line().as_bytes());
    }
    transcript.title("the same in a session");
    for length in [4_095, 4_096] {
        let mut client = relay.open_session("safe", 1_000);
        transcript.line("client hears", client.next_line().as_bytes());
        client.send(&format!("{}\n", "x".repeat(length)));
        let echoed = client.next_line();
        let echoed = echoed.replace(&"x".repeat(length), "<the line>");
        transcript.line("client hears", echoed.as_bytes());
    }
    transcript.assert_recorded("client_long_lines.txt");
}

#[test]
fn request_with_id_of_open_session_is_answered_as_recorded() {
    let (address, _received) = start_backend(BackendBehavior::Echo);
    let relay = start_relay_with_backends(&[address]);
    let open = "OPEN 00000000000000aa 7f3a9c21e0b4d655 c=safe,d=1000\r\n";
    let mut transcript = Transcript::default();
    let mut clients = [relay.connect(), relay.connect()];
    for client in &mut clients {
        client.send(open);
        transcript.line("client hears", client.next_line().as_bytes());
    }
    transcript.assert_recorded("client_id_twice.txt");
}

#[test]
fn request_that_names_its_backend_is_answered_as_recorded() {
    let (address, received) = start_backend(BackendBehavior::Echo);
    let relay = start_relay_with_backends(&[address]);
    let mut transcript = Transcript::default();
    for backend_name in ["b0", "b7"] {
        let open =
            format!("OPEN 00000000000000aa 7f3a9c21e0b4d655 c=safe,d=1000,at={backend_name}\r\n");
        let mut client = relay.connect();
        client.send(&open);
        transcript.line("client sends", open.as_bytes());
        if backend_name == "b0" {
            let forwarded = mask_after(&next_received(&received), "d=");
            transcript.line("backend hears", forwarded.as_bytes());
        }
        transcript.line("client hears", client.next_line().as_bytes());
    }
    transcript.assert_recorded("client_names_backend.txt");
}

/// Masks the wait in item `d` of a forwarded `OPEN`, after checking that it is at most `max_ms`
/// milliseconds: the relay forwards less than the client's wait.
fn masked_open(line: &str, max_ms: u32) -> String {
    let remaining = line.split("d=").nth(1).expect("an OPEN has an item d");
    let digits = remaining.split([',', '\r']).next().unwrap();
    let remaining: u32 = digits.parse().unwrap();
    assert!((1..=max_ms).contains(&remaining), "{line}");
    mask_after(line, "d=")
}

#[test]
fn sessions_from_open_to_end_are_relayed_as_recorded() {
    let (address, received) = start_backend(BackendBehavior::Echo);
    let relay = start_relay_with_backends(&[address]);
    let opens = [
        "OPEN 00000000000000a1 7f3a9c21e0b4d655 c=safe,d=1000\r\n",
        "OPEN 00000000000000a2 7F3A9C21E0B4D655 d=1000,c=once\r\n",
        "OPEN 00000000000000a3 0000000000000000 c=safe,d=1000,g=5c0f6e1a2b3d4c59,h=0.25,r=1,again=2\r\n",
        "OPEN 00000000000000a4 7f3a9c21e0b4d655 x=any-word,c=safe,h=1e3,d=1000,y=z\n",
    ];
    let mut transcript = Transcript::default();
    for open in opens {
        let mut client = relay.connect();
        client.send(open);
        transcript.line("client sends", open.as_bytes());
        let forwarded = masked_open(&next_received(&received), 985);
        transcript.line("backend hears", forwarded.as_bytes());
        transcript.line("client hears", client.next_line().as_bytes());
        for message in ["hello there\r\n", "bare line feed\n", "LOAD 12.5\r\n"] {
            client.send(message);
            transcript.line("client sends", message.as_bytes());
            transcript.line("backend hears", next_received(&received).as_bytes());
            transcript.line("client hears", client.next_line().as_bytes());
        }
        client.finish_sending();
        transcript.line("client sends", b"<end>");
        transcript.line("backend hears", next_received(&received).as_bytes());
        transcript.line("client hears", client.next_line().as_bytes());
        transcript.line("client hears", client.next_line().as_bytes());
    }
    transcript.assert_recorded("forwarded_sessions.txt");
}

/// Starts a relay with one backend, which reports its load with each final message.
fn start_relay_with_piggybacked_load(address: SocketAddr) -> Relay {
    let relay_address = unused_address();
    let known = endpoint_list(1, true, &[("b0", address, "Ready")]);
    let config_text = config(relay_address, unused_address(), 1_000, &known, false);
    start_relay_with_config(
        relay_address,
        config_text.replace("\"pull\"", "\"piggyback\""),
    )
}

#[test]
fn backend_first_lines_are_answered_to_clients_as_recorded() {
    let backend_lines = [
        "UP receipt\r\n",
        "UP\r\n",
        "UP inflight=2,x0=0.5\n",
        "BUSY\r\n",
        "BUSY inflight=2,x0=0.5\r\n",
        "ERR inflight=7\r\n",
        "MOVE\r\n",
        "BYE\r\n",
        "LOAD 3\r\n",
        "up\r\n",
    ];
    let mut transcript = Transcript::default();
    for backend_line in backend_lines {
        for listener in ["safe", "once"] {
            let (address, _received) = start_backend(BackendBehavior::Reply(backend_line));
            let relay = start_relay_with_piggybacked_load(address);
            let mut client = relay.open_session(listener, 400);
            transcript.title(&format!("listener {listener}"));
            transcript.line("backend says", backend_line.as_bytes());
            let answer = read_until_closed(client.lines.get_mut());
            let answer = mask_after(&String::from_utf8(answer).unwrap(), "BUSY ");
            transcript.line("client hears", answer.as_bytes());
        }
    }
    transcript.assert_recorded("backend_first_words.txt");
}

#[test]
fn backend_lines_after_up_are_relayed_as_recorded() {
    let backend_lines = [
        "LOAD 12.5\r\n",
        "BYE inflight=1\r\n",
        "MOVE\r\n",
        "ERR\r\n",
        "BUSY\r\n",
        "a message\r\n",
        "a message\r\nBYE\r\n",
        "no line ending",
    ];
    let mut transcript = Transcript::default();
    for backend_line in backend_lines {
        let (address, _received) = start_backend(BackendBehavior::AcceptSendAndClose(backend_line));
        let relay = start_relay_with_piggybacked_load(address);
        let mut client = relay.open_session("safe", 1_000);
        transcript.line(
            "backend says",
            format!("UP receipt\r\n{backend_line}").as_bytes(),
        );
        let answer = read_until_closed(client.lines.get_mut());
        transcript.line("client hears", &answer);
    }
    transcript.assert_recorded("backend_words_after_up.txt");
}

#[test]
fn session_without_reachable_backend_is_rejected_as_recorded() {
    let mut transcript = Transcript::default();
    for listener in ["safe", "once"] {
        let relay = start_relay_with_backends(&[unused_address()]);
        let mut client = relay.open_session(listener, 400);
        let answer = read_until_closed(client.lines.get_mut());
        let answer = mask_after(&String::from_utf8(answer).unwrap(), "BUSY ");
        transcript.line(listener, answer.as_bytes());
    }
    transcript.assert_recorded("refused_without_backends.txt");
}

#[test]
fn health_check_requests_are_sent_as_recorded() {
    let (address, received) = start_backend(BackendBehavior::Echo);
    let known = endpoint_list(1, true, &[("b0", address, "Ready")]);
    let _relay = start_relay(unused_address(), 1_000, &known, true);
    let mut transcript = Transcript::default();
    // The second health check reuses the connection of the first.
    transcript.line("backend hears", next_received(&received).as_bytes());
    transcript.line("backend hears", next_received(&received).as_bytes());
    transcript.assert_recorded("health_probe.txt");
}

#[test]
fn established_session_at_sigterm_is_migrated_as_recorded() {
    let (address, received) = start_backend(BackendBehavior::Echo);
    let mut relay = start_relay_with_backends(&[address]);
    let mut client = relay.open_session("safe", 1_000);
    let mut transcript = Transcript::default();
    transcript.line("client hears", client.next_line().as_bytes());
    masked_open(&next_received(&received), 985);
    relay.signal("TERM");
    let rest = read_until_closed(client.lines.get_mut());
    transcript.line("client hears", &rest);
    transcript.line("backend hears", next_received(&received).as_bytes());
    let code = wait_for_exit(&mut relay.child).code();
    transcript.line("relay exits with", format!("{code:?}").as_bytes());
    transcript.assert_recorded("moved_at_sigterm.txt");
}
