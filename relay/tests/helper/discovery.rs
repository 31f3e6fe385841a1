//! Stand-ins for the discovery agent.
use super::backend::Received;
use super::wait::*;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

/// The answer to one request: pieces of a response, after which the connection is closed if `ends`
/// is true, and stays open otherwise.
pub(crate) struct WatchScript {
    pub(crate) pieces: Vec<String>,
    pub(crate) ends: bool,
}

/// Starts an agent that answers each request by the next script, and leaves requests after the last
/// script unanswered. Returns its address and the first lines of the requests.
pub(crate) fn start_discovery(scripts: Vec<WatchScript>) -> (SocketAddr, Received) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, received) = channel();
    thread::spawn(move || {
        let mut scripts = scripts.into_iter();
        let mut open = Vec::new();
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            stream.set_nodelay(true).unwrap();
            let mut line = String::new();
            let mut lines = BufReader::new(stream.try_clone().unwrap());
            lines.read_line(&mut line).unwrap();
            sender.send(line).unwrap();
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

/// The head of a response that streams endpoint lists in chunks.
pub(crate) const RESPONSE_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Returns a text and a line end as one chunk of a response.
pub(crate) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\n\r\n", text.len() + 1)
}

/// Returns an endpoint list. Each row is the name, address and lifecycle of an endpoint.
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
        DiscoveryAgent::at("127.0.0.1:0".parse().unwrap())
    }

    /// Starts an agent at this address. An address that is bound again after its agent has ended
    /// must be an [`unused_address`]: a port of the kernel's choice may be given to another process
    /// in between.
    pub(crate) fn at(address: SocketAddr) -> DiscoveryAgent {
        let listener = TcpListener::bind(address).unwrap();
        DiscoveryAgent {
            address: listener.local_addr().unwrap(),
            listener,
        }
    }

    /// Accepts connections until one has sent a complete request. Returns that connection and the
    /// first line of its request.
    pub(crate) fn accept_request(&self) -> (TcpStream, String) {
        loop {
            let stream = accept(&self.listener);
            let (mut lines, mut first, mut line) =
                (BufReader::new(&stream), String::new(), String::new());
            let mut length = lines.read_line(&mut first).unwrap();
            while length > 0 && line != "\r\n" {
                line.clear();
                length = lines.read_line(&mut line).unwrap();
            }
            // A connection that ends before its request is complete was given up by the relay.
            if length > 0 {
                return (stream, first);
            }
        }
    }
}

/// Answers a watch with the response head and one list.
pub(crate) fn send_list(watch: &TcpStream, list: &str) {
    send(watch, &format!("{RESPONSE_HEAD}{}", chunk(list)));
}

/// Returns an endpoint list of ready backends with the names `b0`, `b1` and so on.
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
