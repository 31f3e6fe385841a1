//! Starts the program and speaks to it over loopback, with small stand-ins for backends and
//! discovery. Every wait ends by itself; what is waited for is an event, never a span.
#![allow(dead_code, reason = "each file of tests uses a part of it")]
pub mod host;

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

pub const LONG: Duration = Duration::from_secs(10);

// ---- stand-ins ----

/// What a backend does with the first line of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Play {
    /// Up, then each line comes back; the client's end is answered `BYE`.
    Echo,
    /// Up in pieces.
    Split,
    Say(&'static str),
    /// Up, then this, then the end.
    UpThen(&'static str),
    UpThenReset,
    /// Up, then one note after another that messages take long; answers probes with a load of 0.7.
    Late,
    /// Up, then never a word.
    UpMute,
    Mute,
    End,
    TooLong,
    /// Up, then so many lines without waiting for any.
    Flood(usize),
}

/// What a backend met, in order: first lines, and how later ones and the end came.
pub type Met = Receiver<String>;

pub fn backend(play: Play) -> (SocketAddr, Met) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tell, met) = channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let tell = tell.clone();
            thread::spawn(move || drop(serve(stream.unwrap(), play, tell)));
        }
    });
    (address, met)
}

pub fn serve(stream: TcpStream, play: Play, tell: Sender<String>) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut out, mut lines) = (stream.try_clone()?, BufReader::new(stream.try_clone()?));
    let mut line = String::new();
    lines.read_line(&mut line)?;
    while line == "STATS\r\n" {
        let _ = tell.send(std::mem::take(&mut line));
        let load = if play == Play::Late { "0.7" } else { "0.25" };
        out.write_all(format!("PONG inflight=3,x0={load}\r\n").as_bytes())?;
        lines.read_line(&mut line)?;
    }
    let _ = tell.send(line.clone());
    match play {
        Play::Say(word) => return out.write_all(word.as_bytes()),
        Play::Mute => return lines.read_to_string(&mut line).map(drop),
        Play::End => return Ok(()),
        Play::TooLong => return out.write_all(&[b'x'; 9_000]),
        Play::Split => {
            for piece in ["U", "P re", "ceipt\r", "\n"] {
                out.write_all(piece.as_bytes())?;
                thread::sleep(Duration::from_millis(5));
            }
        }
        _ => out.write_all(b"UP receipt\r\n")?,
    }
    match play {
        Play::UpThen(words) => return out.write_all(words.as_bytes()),
        Play::UpThenReset => {
            out.write_all(b"last\r\n")?;
            // Closing with the client's line unread makes the system send a reset.
            while stream.peek(&mut [0; 1])? == 0 {}
            return Ok(());
        }
        Play::Late => loop {
            out.write_all(b"LOAD 1242.441\r\n")?;
            thread::sleep(Duration::from_millis(100));
        },
        Play::UpMute => return lines.read_to_string(&mut line).map(drop),
        Play::Flood(count) => {
            for number in 0..count {
                out.write_all(format!("line {number}\r\n").as_bytes())?;
            }
        }
        _ => {}
    }
    loop {
        line.clear();
        let end = match lines.read_line(&mut line) {
            Ok(0) => "end",
            Err(_) => "reset",
            Ok(_) => {
                let _ = tell.send(line.clone());
                out.write_all(line.as_bytes())?;
                continue;
            }
        };
        let _ = tell.send(end.into());
        return if end == "end" {
            out.write_all(b"BYE inflight=1\r\n")
        } else {
            Ok(())
        };
    }
}

pub fn next(met: &Met) -> String {
    met.recv_timeout(LONG)
        .expect("the backend met nothing more")
}

/// One that accepts and never says a word is `None`; else each watch gets the next script of
/// pieces, and then stays open or ends.
pub struct Script {
    pub pieces: Vec<String>,
    pub ends: bool,
}

pub fn discovery(scripts: Vec<Script>) -> (SocketAddr, Met) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tell, met) = channel();
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
    (address, met)
}

pub const HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\n\r\n", text.len() + 1)
}

pub fn list(generation: u64, reset: bool, rows: &[(&str, SocketAddr, &str)]) -> String {
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

/// An address at which nobody listens, and which no connection's own end can take in the meantime.
pub fn nobody() -> SocketAddr {
    static LAST: AtomicU16 = AtomicU16::new(0);
    let [high, low] = (LAST.fetch_add(1, Ordering::Relaxed) + 1).to_be_bytes();
    let process = 64 + (std::process::id() % 128) as u8;
    SocketAddr::from(([127, process, high, low], 8080))
}

// ---- the program ----

pub struct Relay {
    pub child: Child,
    pub at: SocketAddr,
    pub log: Met,
    pub text: String,
}

pub const SETTINGS: &str = r#"{"az": 0, "zones": ["a"], "balancers": 1, "me": 0, "tickUs": 2000,
 "discovery": "automatic",
 "extra": {"groups": true, "tellsDelay": true, "tellsLoad": false, "messageAimUs": [50000, 50000]},
 "listeners": [
  {"name": "safe", "deadlineUs": 1500000, "handshakeTargetUs": 300000, "effect": "retryable", "utility": 1.0},
  {"name": "once", "deadlineUs": 1500000, "handshakeTargetUs": 300000, "effect": "fragile", "utility": 1.0}],
 "invariants": {"askWithinUs": 1, "coldUs": 9000000, "fallUs": 3000000, "overloadFactor": 3.0,
  "startCapacity": 0.3},
 "permissions": {"connIdleUs": 9000000, "dialTimeoutUs": 250000, "maxDials": 1, "maxRetryAfterUs": 2000000,
  "mayCancel": true, "probes": PROBES, "retryAfter": true},
 "report": {"fields": ["rif", "x0"], "how": "pull"}}"#;

pub fn config(
    at: SocketAddr,
    discovery: SocketAddr,
    sockets: usize,
    known: &str,
    probes: bool,
) -> String {
    let settings = SETTINGS.replace("PROBES", if probes { "true" } else { "false" });
    format!(
        r#"{{"name":"r0","listen":"{at}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":64,"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
    )
}

/// Replaced as a whole, so that nobody reads half of it.
pub fn write_config(text: &str) -> std::path::PathBuf {
    let name = format!(
        "thistlecroft-{}-{:?}.json",
        std::process::id(),
        thread::current().id()
    );
    let path = std::env::temp_dir().join(name);
    let fresh = path.with_extension("fresh");
    std::fs::write(&fresh, text).unwrap();
    std::fs::rename(&fresh, &path).unwrap();
    path
}

pub fn start_with(text: &str, descriptors: usize) -> Child {
    let path = write_config(text);
    Command::new("sh")
        .args([
            "-c",
            &format!(
                "ulimit -n {descriptors}; exec {}",
                env!("CARGO_BIN_EXE_thistlecroft-relay")
            ),
        ])
        .env("ROUTER_CONFIG", &path)
        .env("RUST_LOG", "info")
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

pub fn start(discovery: SocketAddr, sockets: usize, known: &str, probes: bool) -> Relay {
    start_within(1_000, discovery, sockets, known, probes)
}

pub fn start_within(
    descriptors: usize,
    discovery: SocketAddr,
    sockets: usize,
    known: &str,
    probes: bool,
) -> Relay {
    let at = nobody();
    started_within(
        descriptors,
        at,
        config(at, discovery, sockets, known, probes),
    )
}

pub fn started(at: SocketAddr, text: String) -> Relay {
    started_within(1_000, at, text)
}

pub fn started_within(descriptors: usize, at: SocketAddr, text: String) -> Relay {
    let mut child = start_with(&text, descriptors);
    let (tell, log) = channel();
    let lines = BufReader::new(child.stderr.take().unwrap()).lines();
    thread::spawn(move || {
        lines
            .map_while(Result::ok)
            .try_for_each(|line| tell.send(line))
    });
    let relay = Relay {
        child,
        at,
        log,
        text,
    };
    relay.logged("serves at");
    relay
}

/// A relay that knows these backends and whose discovery is dead.
pub fn relay_with(backends: &[SocketAddr]) -> Relay {
    let names: Vec<String> = (0..backends.len())
        .map(|number| format!("b{number}"))
        .collect();
    let rows: Vec<_> = names
        .iter()
        .zip(backends)
        .map(|(name, at)| (name.as_str(), *at, "Ready"))
        .collect();
    start(nobody(), 1_000, &list(1, true, &rows), false)
}

impl Relay {
    /// Reads the log up to a line that holds this.
    pub fn logged(&self, text: &str) -> String {
        let lines = std::iter::repeat_with(|| {
            self.log
                .recv_timeout(LONG)
                .expect("the log holds no such line")
        });
        lines.take(10_000).find(|line| line.contains(text)).unwrap()
    }

    pub fn signal(&self, name: &str) {
        let done = Command::new("kill")
            .args([format!("-{name}"), self.child.id().to_string()])
            .status();
        assert!(done.unwrap().success());
    }

    /// Another configuration, and word of it.
    pub fn told(&self, from: &str, to: &str) {
        assert!(self.text.contains(from));
        write_config(&self.text.replace(from, to));
        self.signal("HUP");
    }

    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(self.at).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        Client {
            lines: BufReader::new(stream),
        }
    }

    pub fn open(&self, listener: &str, wait: u32) -> Client {
        let mut client = self.client();
        client.say(&open_line(&format!(
            "c={listener},d={wait},g=5c0f6e1a2b3d4c59"
        )));
        client
    }
}

/// With an id that is new, as each connection's is.
pub fn open_line(items: &str) -> String {
    static LAST: AtomicU16 = AtomicU16::new(0);
    format!(
        "OPEN {:016x} 7f3a9c21e0b4d655 {items}\r\n",
        LAST.fetch_add(1, Ordering::Relaxed)
    )
}

/// A counter, from the line in the log that has them all.
pub fn counted(line: &str, name: &str) -> u32 {
    let figure = line
        .split(&format!(" {name}="))
        .nth(1)
        .and_then(|rest| rest.split(' ').next());
    figure.unwrap().parse().unwrap()
}

/// How the program ended; one that doesn't is killed, which is no success.
pub fn end_of(child: &mut Child) -> std::process::ExitStatus {
    let until = Instant::now() + LONG;
    while Instant::now() < until {
        if let Some(status) = child.try_wait().unwrap() {
            return status;
        }
        thread::sleep(Duration::from_millis(5));
    }
    child.kill().unwrap();
    panic!("the program did not end: {:?}", child.wait());
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Client {
    pub lines: BufReader<TcpStream>,
}

impl Client {
    pub fn say(&mut self, text: &str) {
        self.lines.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// The next line; "end" or "reset" where the connection is over.
    pub fn hears(&mut self) -> String {
        let mut line = String::new();
        match self.lines.read_line(&mut line) {
            Ok(0) => "end".into(),
            Ok(_) => line.trim_end().into(),
            Err(fault) if fault.kind() == ErrorKind::ConnectionReset => "reset".into(),
            Err(fault) => panic!("{fault}"),
        }
    }

    pub fn ends_sending(&self) {
        self.lines.get_ref().shutdown(Shutdown::Write).unwrap();
    }
}
