//! Stand-ins for discovery's agent.
use super::backend::Received;
use super::wait::*;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

/// The answer to one request: pieces of a response, after which the connection stays open or ends.
pub(crate) struct WatchScript {
    pub(crate) pieces: Vec<String>,
    pub(crate) ends: bool,
}

/// Starts a discovery that gives each request the next script, and those behind the last no answer;
/// returns its address and the first lines of the requests.
pub(crate) fn start_discovery(scripts: Vec<WatchScript>) -> (SocketAddr, Received) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tell, received) = channel();
    thread::spawn(move || {
        let mut scripts = scripts.into_iter();
        let mut open = Vec::new();
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            stream.set_nodelay(true).unwrap();
            let mut line = String::new();
            let mut lines = BufReader::new(stream.try_clone().unwrap());
            lines.read_line(&mut line).unwrap();
            tell.send(line).unwrap();
            let Some(script) = scripts.next() else {
                open.push(stream);
                continue;
            };
            for piece in script.pieces {
                let _ = stream.write_all(piece.as_bytes());
                thread::sleep(Duration::from_millis(2));
            }
            if !script.ends {
                open.push(stream);
            }
        }
    });
    (address, received)
}

pub(crate) const RESPONSE_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

pub(crate) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\n\r\n", text.len() + 1)
}

pub(crate) fn endpoint_list(
    generation: u64,
    reset: bool,
    rows: &[(&str, SocketAddr, &str)],
) -> String {
    let rows: Vec<String> = rows
        .iter()
        .map(|(name, at, lifecycle)| {
            format!(
                r#"{{"instanceId":"{name}","hostPort":"{at}","zone":"a","machineType":"m","cell":0,
                "lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
            )
            .replace('\n', "")
        })
        .collect();
    format!(
        r#"{{"generation":{generation},"reset":{reset},"instances":[{}]}}"#,
        rows.join(",")
    )
}

/// A discovery agent that does each step when the test says so.
pub(crate) struct DiscoveryAgent {
    pub(crate) listener: TcpListener,
    pub(crate) address: SocketAddr,
}

impl DiscoveryAgent {
    pub(crate) fn new() -> DiscoveryAgent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        DiscoveryAgent {
            address: listener.local_addr().unwrap(),
            listener,
        }
    }

    /// The next request that was sent whole; the connection, and its first line.
    pub(crate) fn accept_request(&self) -> (TcpStream, String) {
        loop {
            let stream = accept(&self.listener);
            let (mut lines, mut first, mut line) =
                (BufReader::new(&stream), String::new(), String::new());
            let mut came = lines.read_line(&mut first).unwrap();
            while came > 0 && line != "\r\n" {
                line.clear();
                came = lines.read_line(&mut line).unwrap();
            }
            // The relay gave up a connection that ended before its request.
            if came > 0 {
                return (stream, first);
            }
        }
    }
}

/// Answers a watch with its head and one list.
pub(crate) fn send_list(watch: &TcpStream, list: &str) {
    send(watch, &format!("{RESPONSE_HEAD}{}", chunk(list)));
}

/// The endpoint list of ready backends `b0`, `b1` and so on.
pub(crate) fn ready_backends(backends: &[SocketAddr]) -> String {
    let names: Vec<String> = (0..backends.len())
        .map(|number| format!("b{number}"))
        .collect();
    let rows: Vec<_> = names
        .iter()
        .zip(backends)
        .map(|(name, address)| (name.as_str(), *address, "Ready"))
        .collect();
    endpoint_list(1, true, &rows)
}
