//! Stand-ins for backends.
use super::wait::*;
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

/// What a backend does with a connection, after the first line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum BackendBehavior {
    /// Accepts, then sends each line back and answers the client's end with `BYE`.
    Echo,
    /// Echoes; answers health checks with a load so low that dozens of sessions have room whatever
    /// the order in which its reports arrive.
    EchoWithLowLoad,
    /// Accepts with an answer that is sent in pieces, then echoes.
    AcceptInPieces,
    /// Answers with this text and closes the connection.
    Reply(&'static str),
    /// Accepts, sends this text and closes the connection.
    AcceptSendAndClose(&'static str),
    /// Accepts, sends a line, and resets the connection once the client has sent something.
    AcceptThenReset,
    /// Accepts, then reports a high latency every 100 ms; answers health checks with a load of 0.7.
    ReportsHighLatency,
    /// Accepts, then sends nothing.
    AcceptThenSilent,
    /// Sends nothing, and keeps the connection open.
    NeverRespond,
    /// Closes the connection without an answer.
    CloseImmediately,
    /// Answers with a line that is too long, and closes the connection.
    OverlongResponse,
    /// Accepts, sends this many lines without waiting for any, then echoes.
    AcceptThenFlood(usize),
}

/// What a backend received, in order: first lines, later lines, and `end` or `reset`.
pub(crate) type Received = Receiver<String>;

/// Starts a backend; returns its address and what it receives.
pub(crate) fn start_backend(behavior: BackendBehavior) -> (SocketAddr, Received) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, received) = channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let sender = sender.clone();
            thread::spawn(move || drop(serve(stream.unwrap(), behavior, sender)));
        }
    });
    (address, received)
}

/// Serves one connection.
pub(crate) fn serve(
    stream: TcpStream,
    behavior: BackendBehavior,
    sender: Sender<String>,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut out, mut lines) = (stream.try_clone()?, BufReader::new(stream.try_clone()?));
    let mut line = String::new();
    lines.read_line(&mut line)?;
    while line == "STATS\r\n" {
        let _ = sender.send(std::mem::take(&mut line));
        let load = match behavior {
            BackendBehavior::ReportsHighLatency => "0.7",
            BackendBehavior::EchoWithLowLoad => "0.02",
            _ => "0.25",
        };
        out.write_all(format!("PONG inflight=3,x0={load}\r\n").as_bytes())?;
        lines.read_line(&mut line)?;
    }
    let _ = sender.send(line.clone());
    match behavior {
        BackendBehavior::Reply(text) => return out.write_all(text.as_bytes()),
        BackendBehavior::NeverRespond => return lines.read_to_string(&mut line).map(drop),
        BackendBehavior::CloseImmediately => return Ok(()),
        BackendBehavior::OverlongResponse => return out.write_all(&[b'x'; 9_000]),
        BackendBehavior::AcceptInPieces => {
            for piece in ["U", "P re", "ceipt\r", "\n"] {
                out.write_all(piece.as_bytes())?;
                thread::sleep(Duration::from_millis(5));
            }
        }
        _ => out.write_all(b"UP receipt\r\n")?,
    }
    match behavior {
        BackendBehavior::AcceptSendAndClose(text) => return out.write_all(text.as_bytes()),
        BackendBehavior::AcceptThenReset => {
            out.write_all(b"last\r\n")?;
            // Closing with the client's line unread makes the system send a reset.
            while stream.peek(&mut [0; 1])? == 0 {}
            return Ok(());
        }
        BackendBehavior::ReportsHighLatency => loop {
            out.write_all(b"LOAD 1242.441\r\n")?;
            thread::sleep(Duration::from_millis(100));
        },
        BackendBehavior::AcceptThenSilent => return lines.read_to_string(&mut line).map(drop),
        BackendBehavior::AcceptThenFlood(count) => {
            for number in 0..count {
                out.write_all(format!("line {number}\r\n").as_bytes())?;
            }
        }
        _ => {}
    }
    echo(&mut lines, &mut out, &sender)
}

/// Sends each line back, and answers the end of the client's sending with `BYE`.
fn echo(
    lines: &mut BufReader<TcpStream>,
    out: &mut TcpStream,
    sender: &Sender<String>,
) -> std::io::Result<()> {
    let mut line = String::new();
    loop {
        line.clear();
        match lines.read_line(&mut line) {
            Ok(0) => {
                let _ = sender.send("end".into());
                return out.write_all(b"BYE inflight=1\r\n");
            }
            Ok(_) => {
                let _ = sender.send(line.clone());
                out.write_all(line.as_bytes())?;
            }
            Err(_) => {
                let _ = sender.send("reset".into());
                return Ok(());
            }
        }
    }
}

/// Returns the next line that a backend or an agent received.
pub(crate) fn next_received(received: &Received) -> String {
    received
        .recv_timeout(TEST_TIMEOUT)
        .expect("nothing was received in time")
}

/// A backend whose connections are established late: its accept queue is full until it is emptied.
pub(crate) struct SlowBackend {
    pub(crate) listener: TcpListener,
    pub(crate) address: SocketAddr,
    pub(crate) queue_fillers: Vec<TcpStream>,
}

impl SlowBackend {
    pub(crate) fn new() -> SlowBackend {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).unwrap();
        socket
            .bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into())
            .unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let at = listener.local_addr().unwrap();
        let connect = || TcpStream::connect_timeout(&at, Duration::from_millis(100)).ok();
        let queue_fillers: Vec<TcpStream> = std::iter::from_fn(connect).take(64).collect();
        assert!(
            (1..64).contains(&queue_fillers.len()),
            "the accept queue does not fill up"
        );
        SlowBackend {
            listener,
            address: at,
            queue_fillers,
        }
    }

    /// Accepts the connections that fill the queue, and returns the one that waited behind them.
    pub(crate) fn accept_connection(&mut self) -> TcpStream {
        let fillers: Vec<SocketAddr> = self
            .queue_fillers
            .iter()
            .map(|filler| filler.local_addr().unwrap())
            .collect();
        loop {
            let stream = accept(&self.listener);
            if !fillers.contains(&stream.peer_addr().unwrap()) && has_nothing_to_read(&stream) {
                return stream;
            }
        }
    }
}
