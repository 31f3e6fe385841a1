//! Tests of the start of a relay.
use crate::helper::*;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// Twenty relays with a cached list of 1,024 backends start at once. At least nine in ten of them
/// must answer `PING` within ten seconds, whatever discovery does.
#[test]
fn nine_in_ten_of_twenty_simultaneous_starts_are_ready_in_time() {
    let rows: Vec<(String, SocketAddr)> = (0..1_024)
        .map(|id| (format!("backend-{id:08x}"), unused_address()))
        .collect();
    let rows: Vec<_> = rows
        .iter()
        .map(|(name, at)| (name.as_str(), *at, "Ready"))
        .collect();
    let cached_list = endpoint_list(1, true, &rows);
    // One discovery agent answers, one accepts connections but sends nothing, and one does not
    // listen.
    let answering = TcpListener::bind("127.0.0.1:0").unwrap();
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let addresses = [
        answering.local_addr().unwrap(),
        silent.local_addr().unwrap(),
        unused_address(),
    ];
    let response = format!("{RESPONSE_HEAD}{}", chunk(&endpoint_list(2, true, &rows)));
    answer_each_request(answering, response);
    for discovery in addresses {
        let start_time = |cached_list: String| {
            std::thread::spawn(move || {
                let started = Instant::now();
                let relay = start_relay(discovery, 1_000, &cached_list, false);
                let mut client = relay.connect();
                client.send("PING\r\n");
                (client.next_line() == "PONG").then(|| started.elapsed())
            })
        };
        let threads: Vec<_> = (0..20).map(|_| start_time(cached_list.clone())).collect();
        let results: Vec<_> = threads
            .into_iter()
            .map(std::thread::JoinHandle::join)
            .collect();
        let mut times: Vec<Duration> = results
            .into_iter()
            .filter_map(|result| result.ok().flatten())
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

/// Answers each request with this response and keeps the connection open.
fn answer_each_request(listener: TcpListener, response: String) {
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let response = response.clone();
            std::thread::spawn(move || {
                let stream = stream.unwrap();
                let mut lines = BufReader::new(&stream);
                let mut line = String::new();
                while line != "\r\n" {
                    line.clear();
                    lines.read_line(&mut line).unwrap();
                }
                send(&stream, &response);
                lines.read_line(&mut line)
            });
        }
    });
}

#[test]
fn sigterm_while_configuration_is_read_exits_cleanly() {
    // The file is a named pipe. Opening it for writing blocks until the program opens it for
    // reading, so that the signal is sent while the program reads its configuration.
    let path = std::env::temp_dir().join(format!("thistlecroft-{}-pipe.json", std::process::id()));
    let mkfifo = std::process::Command::new("mkfifo")
        .arg(&path)
        .status()
        .unwrap();
    assert!(mkfifo.success());
    let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_thistlecroft-relay"))
        .env("ROUTER_CONFIG", &path)
        .spawn()
        .unwrap();
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&path).unwrap();
    let kill = std::process::Command::new("kill")
        .args(["-TERM", &child.id().to_string()])
        .status();
    assert!(kill.unwrap().success());
    let _ =
        pipe.write_all(config(unused_address(), unused_address(), 1_000, "null", false).as_bytes());
    drop(pipe);
    let status = wait_for_exit(&mut child);
    std::fs::remove_file(path).unwrap();
    assert!(status.success(), "{status}");
}
