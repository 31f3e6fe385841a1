//! Tests of the memory that clients can make a relay use.
use crate::helper::host::with_admin;
use crate::helper::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The memory limit of the configuration.
const MEMORY_MB: usize = 32;
/// Several times the memory limit.
const FLOOD_BYTES: usize = 160 << 20;
/// A write that takes longer shows that the relay reads no further. Longer than the time that a
/// client has for its first line.
const BLOCKED_AFTER: Duration = Duration::from_millis(3_000);
/// The longest line, without its ending.
const LONG_LINE_BYTES: usize = 4_000;
const CLIENTS_OF_A_KIND: usize = 100;

/// Starts a relay with the memory limit and an admin port, and returns it with the port's address.
fn start_small_relay(backends: &[SocketAddr], sockets: usize) -> (Relay, SocketAddr) {
    let (at, admin) = (unused_address(), unused_address());
    let text = config(
        at,
        unused_address(),
        sockets,
        &ready_backends(backends),
        true,
    );
    let text = replace_in(
        &text,
        "\"memory_mb\":64",
        &format!("\"memory_mb\":{MEMORY_MB}"),
    );
    (start_relay_with_config(at, with_admin(text, admin)), admin)
}

fn assert_memory_kept(relay: &Relay) {
    let peak = relay.peak_memory_mb();
    println!("peak memory: {peak} MB");
    assert!(peak <= MEMORY_MB, "{peak} MB of {MEMORY_MB}");
}

/// Writes the text again and again until the flood is sent, the other side reads no further, or the
/// connection ends. Returns the number of bytes sent.
fn flood(stream: &mut TcpStream, text: &[u8]) -> usize {
    stream.set_write_timeout(Some(BLOCKED_AFTER)).unwrap();
    let mut sent = 0;
    while sent < FLOOD_BYTES {
        match stream.write(text) {
            Ok(0) => break,
            Ok(length) => sent += length,
            Err(error) => {
                let is_blocked =
                    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
                assert!(is_blocked || error.kind() != ErrorKind::Other, "{error}");
                break;
            }
        }
    }
    sent
}

/// Guards against answers that pile up for a client that sends `PING`s and reads nothing.
#[test]
fn pings_of_a_client_that_does_not_read_take_no_memory() {
    let (backend, _received) = start_backend(BackendBehavior::Echo);
    let (relay, _) = start_small_relay(&[backend], 1_000);
    let mut flooding = TcpStream::connect(relay.client_address).unwrap();
    flood(&mut flooding, &b"PING\r\n".repeat(8 << 10));
    let first_line = relay.open_session("safe", 1_500).next_line();
    assert_eq!(first_line, "UP receipt");
    assert_memory_kept(&relay);
}

/// Guards against `PING`s that are left unanswered once the relay has waited for the client to read.
#[test]
fn pings_of_a_client_that_reads_late_are_all_answered() {
    const PINGS: usize = 100_000;
    let (relay, _) = start_small_relay(&[], 1_000);
    let mut writer = TcpStream::connect(relay.client_address).unwrap();
    let mut reader = writer.try_clone().unwrap();
    reader.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let sending = std::thread::spawn(move || {
        writer.write_all(&b"PING\r\n".repeat(PINGS)).unwrap();
        writer
    });
    let mut answers = vec![0; PINGS * b"PONG\r\n".len()];
    reader.read_exact(&mut answers).unwrap();
    assert!(answers.chunks(6).all(|answer| answer == b"PONG\r\n"));
    drop(sending.join().unwrap());
}

/// Guards against a flood at the admin port.
#[test]
fn bytes_at_the_admin_port_take_no_memory() {
    let (relay, admin) = start_small_relay(&[], 1_000);
    for text in [&b"READY\r\n"[..], &[b'x'; 1_000], b"\0\r\n"] {
        let mut streams: Vec<TcpStream> = (0..16)
            .map(|_| TcpStream::connect(admin).unwrap())
            .collect();
        for stream in &mut streams {
            flood(stream, &text.repeat(100));
        }
    }
    assert_memory_kept(&relay);
}

/// Opens clients of each kind that keeps memory occupied: they stop in the middle of a long line,
/// send very many short fields, or stop reading what their backend sends.
fn open_slow_clients(relay: &Relay, count: usize) -> Vec<Client> {
    let fields: String = (0..600).map(|number| format!(",f{number}=1")).collect();
    let mut clients = Vec::new();
    for _ in 0..count {
        let mut stopped = relay.connect();
        stopped.send(&"x".repeat(LONG_LINE_BYTES));
        let mut with_fields = relay.connect();
        with_fields.send(&open_line(&format!("c=safe,d=9000{fields}")));
        clients.extend([stopped, with_fields, relay.open_session("safe", 9_000)]);
    }
    clients
}

fn assert_slow_clients_keep_the_limit(sockets: usize, count: usize) {
    let (flooding, _at_flooding) = start_backend(BackendBehavior::AcceptThenFlood(200_000));
    let (relay, admin) = start_small_relay(&[flooding], sockets);
    let _admin_clients: Vec<TcpStream> = (0..16)
        .map(|_| {
            let mut stream = TcpStream::connect(admin).unwrap();
            stream.write_all(b"DISABLE ").unwrap();
            stream
        })
        .collect();
    let _slow_clients = open_slow_clients(&relay, count);
    for _ in 0..20 {
        let start = Instant::now();
        let answer = relay.open_session("safe", 1_500).next_line();
        assert!(
            answer == "UP receipt" || answer.starts_with("BUSY"),
            "{answer}"
        );
        let limit = Duration::from_millis(1_500 + 500);
        assert!(start.elapsed() < limit, "{:?}", start.elapsed());
    }
    assert_memory_kept(&relay);
}

/// Guards against clients that write slowly, stop half way or read nothing, all at once.
#[test]
fn hundreds_of_slow_clients_keep_the_memory_limit() {
    assert_slow_clients_keep_the_limit(1_000, CLIENTS_OF_A_KIND);
}

/// The same under the fewest descriptors that a relay is given.
#[test]
fn hundreds_of_slow_clients_under_few_descriptors_keep_the_memory_limit() {
    assert_slow_clients_keep_the_limit(256, CLIENTS_OF_A_KIND);
}
