//! The start of a relay.
use crate::helper::*;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// Of twenty relays started at once with a list of 1,024 backends, nine in ten answer `PING` within
/// ten seconds, whatever discovery does.
#[test]
fn nine_in_ten_of_twenty_simultaneous_starts_are_ready_in_time() {
    let rows: Vec<(String, SocketAddr)> = (0..1_024)
        .map(|id| (format!("backend-{id:08x}"), unused_address()))
        .collect();
    let rows: Vec<_> = rows
        .iter()
        .map(|(name, at)| (name.as_str(), *at, "Ready"))
        .collect();
    let known = endpoint_list(1, true, &rows);
    // Discovery that answers, that accepts and stays silent, and that does not listen.
    let up = TcpListener::bind("127.0.0.1:0").unwrap();
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let all = [
        up.local_addr().unwrap(),
        silent.local_addr().unwrap(),
        unused_address(),
    ];
    let answer = format!("{RESPONSE_HEAD}{}", chunk(&endpoint_list(2, true, &rows)));
    answer_each_call(up, answer);
    for discovery in all {
        let one = |known: String| {
            std::thread::spawn(move || {
                let began = Instant::now();
                let relay = start_relay(discovery, 1_000, &known, false);
                let mut client = relay.connect();
                client.send("PING\r\n");
                (client.next_line() == "PONG").then(|| began.elapsed())
            })
        };
        let relays: Vec<_> = (0..20).map(|_| one(known.clone())).collect();
        let ended: Vec<_> = relays
            .into_iter()
            .map(std::thread::JoinHandle::join)
            .collect();
        let mut times: Vec<Duration> = ended
            .into_iter()
            .filter_map(|one| one.ok().flatten())
            .collect();
        times.sort();
        println!(
            "{discovery}: {:?} {:?} {:?}",
            times.get(9),
            times.get(17),
            times.last()
        );
        assert!(
            times.len() >= 18 && times[17] < Duration::from_secs(10),
            "{discovery}: {times:?}"
        );
    }
}

/// Answers each request with this text, and then keeps the connection open.
fn answer_each_call(listener: TcpListener, answer: String) {
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let answer = answer.clone();
            std::thread::spawn(move || {
                let stream = stream.unwrap();
                let mut lines = BufReader::new(&stream);
                let mut line = String::new();
                while line != "\r\n" {
                    line.clear();
                    lines.read_line(&mut line).unwrap();
                }
                send(&stream, &answer);
                lines.read_line(&mut line)
            });
        }
    });
}

#[test]
fn sigterm_while_configuration_is_read_exits_cleanly() {
    // The file is a pipe: opening it for writing succeeds once the program reads it.
    let path = std::env::temp_dir().join(format!("thistlecroft-{}-pipe.json", std::process::id()));
    let made = std::process::Command::new("mkfifo")
        .arg(&path)
        .status()
        .unwrap();
    assert!(made.success());
    let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_thistlecroft-relay"))
        .env("ROUTER_CONFIG", &path)
        .spawn()
        .unwrap();
    let mut file = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
    let kill = std::process::Command::new("kill")
        .args(["-TERM", &child.id().to_string()])
        .status();
    assert!(kill.unwrap().success());
    let _ =
        file.write_all(config(unused_address(), unused_address(), 1_000, "null", false).as_bytes());
    drop(file);
    let end = wait_for_exit(&mut child);
    std::fs::remove_file(path).unwrap();
    assert!(end.success(), "{end}");
}
