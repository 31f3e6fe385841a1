//! The platform around a relay: backends, the discovery agent, and clients.
use crate::record::Record;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A request that arrived at a backend, and what the backend answered.
#[derive(Clone)]
pub struct Arrived {
    pub id: String,
    pub backend: usize,
    pub answer: &'static str,
}

/// Backends, each at an address of its own, and what arrived at them in its order.
pub struct Backends {
    pub addresses: Vec<SocketAddr>,
    pub arrived: Mutex<Vec<Arrived>>,
    /// How many backends fail quickly, the first ones: they answer nine in ten requests with `ERR`.
    pub failing: AtomicUsize,
    requests: AtomicUsize,
    record: Arc<Record>,
}

impl Backends {
    pub fn start(count: usize, record: Arc<Record>) -> Arc<Backends> {
        let listeners: Vec<TcpListener> = (0..count)
            .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
            .collect();
        let backends = Arc::new(Backends {
            addresses: listeners.iter().map(|listener| listener.local_addr().unwrap()).collect(),
            arrived: Mutex::default(),
            failing: AtomicUsize::new(0),
            requests: AtomicUsize::new(0),
            record,
        });
        for (index, listener) in listeners.into_iter().enumerate() {
            let backends = backends.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let backends = backends.clone();
                    thread::spawn(move || backends.serve(index, stream));
                }
            });
        }
        backends
    }

    /// The list of discovery, with all backends ready and long started.
    pub fn list(&self) -> String {
        let entries: Vec<String> = self
            .addresses
            .iter()
            .enumerate()
            .map(|(index, address)| {
                format!(
                    "{{\"instanceId\":\"s-{index}\",\"hostPort\":\"{address}\",\"zone\":\"a\",\"machineType\":\"m\",\
                     \"cell\":{index},\"lifecycle\":\"Ready\",\"weight\":1.0,\"startedAtMs\":0}}"
                )
            })
            .collect();
        format!("{{\"generation\":1,\"reset\":true,\"instances\":[{}]}}", entries.join(","))
    }

    fn serve(&self, backend: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut lines = BufReader::new(stream).lines();
        let mut is_up = false;
        while let Some(Ok(line)) = lines.next() {
            let line = line.trim_end().to_string();
            let answer = match line.split(' ').next() {
                _ if is_up => format!("echo {line}"),
                Some("PING") => "PONG".into(),
                Some("STATS") => "PONG inflight=1,x0=0.1".into(),
                Some("OPEN") => {
                    let answer = self.open(backend, &line);
                    is_up = answer == "UP";
                    if is_up {
                        format!("UP receipt-{backend}")
                    } else {
                        answer.into()
                    }
                }
                _ => "SYNTAX".into(),
            };
            let ends = answer == "ERR" || answer == "SYNTAX";
            if writer.write_all(format!("{answer}\r\n").as_bytes()).is_err() || ends {
                return;
            }
        }
    }

    fn open(&self, backend: usize, line: &str) -> &'static str {
        let fails = backend < self.failing.load(Ordering::SeqCst)
            && self.requests.fetch_add(1, Ordering::SeqCst) % 10 != 9;
        let answer = if fails { "ERR" } else { "UP" };
        let id = line.split(' ').nth(1).unwrap_or_default().to_string();
        self.record.detail(format!("backend s-{backend} got {line}, answers {answer}"));
        self.arrived.lock().unwrap().push(Arrived { id, backend, answer });
        answer
    }
}

/// A discovery agent: one list that doesn't change, and an empty line every two seconds.
pub fn start_discovery(list: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || serve_list(stream, &list));
        }
    });
    address
}

fn serve_list(mut stream: TcpStream, list: &str) {
    let mut request = Vec::new();
    let mut byte = [0];
    while !request.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => request.push(byte[0]),
            _ => return,
        }
    }
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut text = format!("{head}{:x}\r\n{list}\n\r\n", list.len() + 1);
    while stream.write_all(text.as_bytes()).is_ok() {
        thread::sleep(Duration::from_secs(2));
        text = "1\r\n\n\r\n".into();
    }
}

/// A client of one session, which keeps its connection for a while once it is up.
pub struct Client {
    stream: BufReader<TcpStream>,
}

impl Client {
    /// Opens a session and returns its answer; `None` if there is none by half a second after the
    /// client's time.
    pub fn open(relay: SocketAddr, line: &str, wait: Duration) -> std::io::Result<(Client, Option<String>)> {
        let stream = TcpStream::connect_timeout(&relay, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        writer.write_all(format!("{line}\r\n").as_bytes())?;
        stream.set_read_timeout(Some(wait + Duration::from_millis(500)))?;
        let mut client = Client { stream: BufReader::new(stream) };
        let mut answer = String::new();
        let read = client.stream.read_line(&mut answer);
        let answer = matches!(read, Ok(1..)).then(|| answer.trim_end().to_string());
        Ok((client, answer))
    }

    /// Sends a line every two seconds and reads the line that comes back, until the session ends.
    pub fn talk(mut self) {
        let Ok(mut writer) = self.stream.get_ref().try_clone() else { return };
        let _ = self.stream.get_ref().set_read_timeout(None);
        let mut line = String::new();
        loop {
            thread::sleep(Duration::from_secs(2));
            line.clear();
            if writer.write_all(b"beat\r\n").is_err() || !matches!(self.stream.read_line(&mut line), Ok(1..)) {
                return;
            }
        }
    }
}
