//! A small relay with a thread for each connection, which is correct except for one fault.
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const LIST_POLL_INTERVAL: Duration = Duration::from_millis(50);
const LIST_TIMEOUT: Duration = Duration::from_millis(300);

/// The fault of a relay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RelayFault {
    None,
    NeverAnswers,
    ClosesUnanswered,
    AnswersTwice,
    AnswersLate,
    WithholdsAnswer,
    DropsConnections,
    DelaysMessages,
    AltersMessages,
    KeepsOrphans,
    SendsMalformedRequest,
    ConcurrentAttempts,
    RetriesNonIdempotent,
    RejectsNonIdempotent,
    RetriesOutOfScope,
    RetriesTooLate,
    IgnoresDrains,
    OverloadsLastBackend,
}

/// A relay with one fault, which polls its discovery agent until it is stopped.
pub(crate) struct FaultyRelay {
    fault: RelayFault,
    agent: SocketAddr,
    backends: Vec<SocketAddr>,
    next_backend: AtomicUsize,
    is_stopped: AtomicBool,
    /// The lifecycle state of each listed backend, by its index.
    listed_states: Mutex<BTreeMap<usize, String>>,
}

/// A connection to a backend with an established session.
struct Upstream {
    stream: TcpStream,
    lines: BufReader<TcpStream>,
}

impl FaultyRelay {
    /// Starts a relay; returns its address.
    pub(crate) fn start(
        fault: RelayFault,
        agent: SocketAddr,
        backends: Vec<SocketAddr>,
    ) -> (SocketAddr, Arc<FaultyRelay>) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let relay = Arc::new(FaultyRelay {
            fault,
            agent,
            backends,
            next_backend: AtomicUsize::new(0),
            is_stopped: AtomicBool::new(false),
            listed_states: Mutex::default(),
        });
        let (poller, server) = (relay.clone(), relay.clone());
        poller.poll_list();
        thread::spawn(move || {
            while !poller.is_stopped.load(Ordering::Relaxed) {
                poller.poll_list();
                thread::sleep(LIST_POLL_INTERVAL);
            }
        });
        thread::spawn(move || {
            for stream in listener.incoming() {
                let relay = server.clone();
                thread::spawn(move || drop(relay.serve(stream.unwrap())));
            }
        });
        (address, relay)
    }

    pub(crate) fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    fn poll_list(&self) {
        let Ok(mut stream) = TcpStream::connect(self.agent) else {
            return;
        };
        stream.set_read_timeout(Some(LIST_TIMEOUT)).unwrap();
        let sent = stream.write_all(b"GET /api/targets HTTP/1.1\r\nHost: x\r\n\r\n");
        let mut lines = BufReader::new(stream);
        let mut text = String::new();
        // The list is one line after the head of the response. The agent keeps the connection open,
        // so that the last read ends at the timeout.
        while sent.is_ok() && !text.contains("instances") {
            text.clear();
            if lines.read_line(&mut text).is_err() {
                break;
            }
            if text == "\r\n" {
                text.clear();
                let _ = lines.read_to_string(&mut text);
                break;
            }
        }
        let Ok(list) = serde_json::from_str::<serde_json::Value>(&text) else {
            return;
        };
        let mut states = BTreeMap::new();
        for row in list["instances"].as_array().unwrap() {
            let address = row["hostPort"].as_str().unwrap().parse().unwrap();
            let mut known = self.backends.iter();
            let index = known.position(|known| *known == address).unwrap();
            states.insert(index, row["lifecycle"].as_str().unwrap().to_string());
        }
        *self.listed_states.lock().unwrap() = states;
    }

    fn choose_backend(&self) -> Option<usize> {
        let listed_states = self.listed_states.lock().unwrap();
        let candidates: Vec<usize> = match self.fault {
            RelayFault::IgnoresDrains => (0..self.backends.len()).collect(),
            _ => listed_states
                .iter()
                .filter(|(_, lifecycle)| *lifecycle == "Ready")
                .map(|(index, _)| *index)
                .collect(),
        };
        match self.fault {
            RelayFault::OverloadsLastBackend => candidates.last().copied(),
            _ => {
                let number = self.next_backend.fetch_add(1, Ordering::Relaxed);
                candidates.get(number % candidates.len().max(1)).copied()
            }
        }
    }

    fn serve(&self, client: TcpStream) -> io::Result<()> {
        client.set_nodelay(true)?;
        let mut output = client.try_clone()?;
        let mut lines = BufReader::new(client);
        let mut request = String::new();
        lines.read_line(&mut request)?;
        if request == "PING\r\n" {
            return output.write_all(b"PONG\r\n");
        }
        // A client may leave before its request is complete. A panic here would delay all other
        // connections while its backtrace is written.
        let Some((_, rest)) = request.split_once(",d=") else {
            return Ok(());
        };
        let timeout = Duration::from_millis(rest.split(',').next().unwrap().parse().unwrap());
        match self.fault {
            RelayFault::NeverAnswers => {
                thread::sleep(timeout * 3);
                Ok(())
            }
            RelayFault::ClosesUnanswered => Ok(()),
            RelayFault::AnswersTwice => output.write_all(b"BUSY 100\r\nERR\r\n"),
            RelayFault::AnswersLate => {
                thread::sleep(timeout + Duration::from_millis(150));
                output.write_all(b"BUSY\r\n")
            }
            RelayFault::WithholdsAnswer => {
                thread::sleep(timeout - Duration::from_millis(60));
                output.write_all(b"BUSY\r\n")
            }
            _ => match self.establish(&request, timeout, &mut output)? {
                Some(upstream) => self.forward(upstream, lines, output),
                None => Ok(()),
            },
        }
    }

    /// Establishes a session and answers the client. Returns the connection to the backend, or
    /// `None` if the session was not accepted.
    ///
    /// A failed attempt is retried at another backend if the fault of the relay is to retry.
    fn establish(
        &self,
        request: &str,
        timeout: Duration,
        output: &mut TcpStream,
    ) -> io::Result<Option<Upstream>> {
        let retries = matches!(
            self.fault,
            RelayFault::RetriesNonIdempotent
                | RelayFault::RetriesOutOfScope
                | RelayFault::RetriesTooLate
        );
        let mut attempts_left = if retries { 2 } else { 1 };
        loop {
            let Some(backend) = self.choose_backend() else {
                output.write_all(b"BUSY\r\n")?;
                return Ok(None);
            };
            let Ok(stream) = TcpStream::connect(self.backends[backend]) else {
                output.write_all(b"BUSY\r\n")?;
                return Ok(None);
            };
            let (answer, upstream) = self.attempt(stream, request, timeout)?;
            if let Some(upstream) = upstream {
                output.write_all(answer.as_bytes())?;
                return Ok(Some(upstream));
            }
            attempts_left -= 1;
            if attempts_left == 0 {
                let is_rejected =
                    answer.starts_with("BUSY") || self.fault == RelayFault::RejectsNonIdempotent;
                output.write_all(if is_rejected { b"BUSY\r\n" } else { b"ERR\r\n" })?;
                return Ok(None);
            }
            if self.fault == RelayFault::RetriesTooLate {
                thread::sleep(Duration::from_millis(250));
            }
        }
    }

    /// Makes one attempt. Returns the backend's answer, and the connection if the backend accepted
    /// the session.
    fn attempt(
        &self,
        mut stream: TcpStream,
        request: &str,
        timeout: Duration,
    ) -> io::Result<(String, Option<Upstream>)> {
        let request = match self.fault {
            RelayFault::SendsMalformedRequest => "OPEN me please\r\n",
            _ => request,
        };
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout / 3))?;
        // If the backend has reset the connection by now, the attempt has failed, and the client
        // still needs an answer.
        let sent = stream.write_all(request.as_bytes());
        if self.fault == RelayFault::ConcurrentAttempts {
            let other = self.choose_backend().unwrap();
            let mut other = TcpStream::connect(self.backends[other])?;
            other.write_all(request.as_bytes())?;
            thread::sleep(Duration::from_millis(100));
        }
        let mut lines = BufReader::new(stream.try_clone()?);
        let mut answer = String::new();
        let received = sent.and_then(|()| lines.read_line(&mut answer));
        let is_accepted = received.is_ok() && answer.starts_with("UP");
        let upstream = is_accepted.then_some(Upstream { stream, lines });
        Ok((answer, upstream))
    }

    /// Forwards messages in both directions until one side closes.
    fn forward(
        &self,
        upstream: Upstream,
        mut client_lines: BufReader<TcpStream>,
        mut to_client: TcpStream,
    ) -> io::Result<()> {
        let Upstream { mut stream, lines } = upstream;
        stream.set_read_timeout(None)?;
        let client = client_lines.get_ref().try_clone()?;
        let fault = self.fault;
        let downstream = thread::spawn(move || {
            forward_to_client(fault, lines, &mut to_client);
            if fault == RelayFault::KeepsOrphans {
                thread::sleep(Duration::from_millis(2_500));
            }
            let _ = client.shutdown(Shutdown::Both);
        });
        let mut line = String::new();
        while matches!(client_lines.read_line(&mut line), Ok(1..)) {
            stream.write_all(line.as_bytes())?;
            line.clear();
        }
        let _ = stream.shutdown(Shutdown::Write);
        let _ = downstream.join();
        Ok(())
    }
}

fn forward_to_client(
    fault: RelayFault,
    mut lines: BufReader<TcpStream>,
    to_client: &mut TcpStream,
) {
    let start = Instant::now();
    let mut line = String::new();
    while matches!(lines.read_line(&mut line), Ok(1..)) {
        match fault {
            RelayFault::DropsConnections if start.elapsed() > Duration::from_millis(600) => return,
            RelayFault::DelaysMessages => thread::sleep(Duration::from_millis(1_300)),
            RelayFault::AltersMessages => line = line.replace("M ", "N "),
            _ => {}
        }
        let _ = to_client.write_all(line.as_bytes());
        line.clear();
    }
}
