//! The clients of a soak, each on a thread of its own.
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};
use thistlecroft::random::Rng;

/// The time that a client waits for its answer, as it says in its request.
const WAIT: Duration = Duration::from_millis(1_500);
/// An answer after the client's time earns nothing; one after this as well is lost.
const LATE: Duration = Duration::from_millis(500);
/// Longest time for which a session is kept.
const MAX_SESSION_MS: u64 = 1_500;

/// The pause between two lines of a client.
const LINE_INTERVAL: Duration = Duration::from_millis(100);

/// Clients that send an id again choose among so many.
const RECENT_IDS: u64 = 60;

/// What a client does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ClientKind {
    /// Opens a session, exchanges lines and ends it.
    Stays { listener: &'static str },
    /// Leaves right after its request.
    LeavesAtOnce,
    /// Sends an earlier once-only id again.
    Repeats,
    /// Sends half a line and stays for a while.
    StopsInLine,
    /// Sends `PING`s and reads nothing.
    FloodsPings,
}

impl ClientKind {
    pub(crate) fn choose(rng: &mut Rng) -> ClientKind {
        match rng.below(20) {
            0..=6 => ClientKind::Stays { listener: "safe" },
            7..=13 => ClientKind::Stays { listener: "once" },
            14..=15 => ClientKind::LeavesAtOnce,
            16..=17 => ClientKind::Repeats,
            18 => ClientKind::StopsInLine,
            _ => ClientKind::FloodsPings,
        }
    }
}

/// How a client's request was answered; the text is the answer's first word.
type Answer = Result<String, String>;

/// All clients so far.
pub(crate) struct Clients {
    relay: SocketAddr,
    last_id: u64,
    threads: Vec<thread::JoinHandle<()>>,
    sender: Sender<Answer>,
    answers: Receiver<Answer>,
    counts: BTreeMap<String, usize>,
}

impl Clients {
    pub(crate) fn new(relay: SocketAddr) -> Clients {
        let (sender, answers) = channel();
        Clients {
            relay,
            last_id: 0,
            threads: Vec::new(),
            sender,
            answers,
            counts: BTreeMap::new(),
        }
    }

    /// Starts a client of this kind.
    pub(crate) fn start(&mut self, kind: ClientKind, rng: &mut Rng) {
        self.threads.retain(|thread| !thread.is_finished());
        let mut id = self.last_id + 1;
        if kind == ClientKind::Repeats && self.last_id > 0 {
            id = self.last_id.saturating_sub(rng.below(RECENT_IDS)).max(1);
        } else {
            self.last_id = id;
        }
        let stay = Duration::from_millis(rng.below(MAX_SESSION_MS));
        let (relay, sender) = (self.relay, self.sender.clone());
        let thread = thread::spawn(move || {
            if let Some(answer) = run(kind, relay, id, stay) {
                let _ = sender.send(answer);
            }
        });
        self.threads.push(thread);
    }

    /// Counts the answers that have come.
    pub(crate) fn check(&mut self) {
        for answer in self.answers.try_iter() {
            let name = answer.unwrap_or_else(|error| format!("unanswered: {error}"));
            *self.counts.entry(name).or_default() += 1;
        }
    }

    /// Waits for the end of all clients.
    pub(crate) fn finish(&mut self) {
        for thread in self.threads.drain(..) {
            thread.join().unwrap();
        }
        self.check();
    }

    pub(crate) fn summary(&self) -> String {
        format!("{:?}", self.counts)
    }

    pub(crate) fn has_every_answer(&self) -> bool {
        let mut names = self.counts.keys();
        self.counts.contains_key("UP") && !names.any(|name| name.starts_with("unanswered"))
    }
}

/// Returns the answer of a client that waited for one.
fn run(kind: ClientKind, relay: SocketAddr, id: u64, stay: Duration) -> Option<Answer> {
    let mut stream = match TcpStream::connect(relay) {
        Ok(stream) => stream,
        Err(error) => return Some(Err(error.to_string())),
    };
    let listener = match kind {
        ClientKind::Stays { listener } => listener,
        ClientKind::LeavesAtOnce | ClientKind::Repeats => "once",
        ClientKind::StopsInLine => {
            let _ = stream.write_all(b"OPEN 0000");
            thread::sleep(stay);
            return None;
        }
        ClientKind::FloodsPings => {
            let _ = stream.set_write_timeout(Some(Duration::from_millis(200)));
            let _ = stream.write_all(&b"PING\r\n".repeat(400_000));
            return None;
        }
    };
    let wait = WAIT.as_millis();
    let request = format!("OPEN {id:016x} {id:016x} c={listener},d={wait}\r\n");
    if let Err(error) = stream.write_all(request.as_bytes()) {
        return Some(Err(error.to_string()));
    }
    if kind == ClientKind::LeavesAtOnce {
        return None;
    }
    let mut lines = BufReader::new(stream);
    let answer = read_answer(&mut lines);
    if answer.as_deref() == Ok("UP") {
        talk(lines, stay);
    }
    Some(answer)
}

/// Reads the answer; returns its first word.
fn read_answer(lines: &mut BufReader<TcpStream>) -> Answer {
    let limit = WAIT + LATE;
    let set = lines.get_ref().set_read_timeout(Some(limit));
    set.map_err(|error| error.to_string())?;
    let mut line = String::new();
    match lines.read_line(&mut line) {
        Ok(0) => Err("the connection has ended".into()),
        Ok(_) => Ok(line.split_whitespace().next().unwrap_or_default().into()),
        Err(error) => Err(error.to_string()),
    }
}

/// Exchanges lines over an established session, and ends it.
fn talk(mut lines: BufReader<TcpStream>, stay: Duration) {
    let end = Instant::now() + stay;
    let mut line = String::new();
    while Instant::now() < end {
        line.clear();
        let is_sent = lines.get_mut().write_all(b"a line\r\n").is_ok();
        // An end or `MOVE` comes where the session is moved.
        if !is_sent || !matches!(lines.read_line(&mut line), Ok(1..)) || line == "MOVE\r\n" {
            return;
        }
        thread::sleep(LINE_INTERVAL);
    }
}
