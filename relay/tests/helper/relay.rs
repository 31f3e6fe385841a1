//! The relay's process.
use super::backend::Met;
use super::client::{Client, open_line};
use super::discovery::list;
use super::wait::*;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

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

/// With other settings: each pair is what stands in their text and what is to stand there.
pub fn start_changed(discovery: SocketAddr, known: &str, changes: &[(&str, &str)]) -> Relay {
    let at = nobody();
    let mut text = config(at, discovery, 1_000, known, false);
    for (from, to) in changes {
        assert!(text.contains(from), "{from}");
        text = text.replace(from, to);
    }
    started(at, text)
}

pub const LATE: (&str, &str) = ("\"dialTimeoutUs\": 250000", "\"dialTimeoutUs\": 4000000");

pub const GRACE: (&str, &str) = (
    "\"askWithinUs\": 1",
    "\"askWithinUs\": 1, \"drainGraceUs\": 4000000",
);

pub const THREE: (&str, &str) = ("\"maxDials\": 1", "\"maxDials\": 3");

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

impl Relay {
    /// Until it is seen to stand still.
    pub fn stops(&self) {
        self.signal("STOP");
        let path = format!("/proc/{}/stat", self.child.id());
        in_time("the stop", || {
            let text = std::fs::read_to_string(&path).unwrap();
            text.rsplit(')')
                .next()
                .unwrap()
                .trim_start()
                .starts_with('T')
                .then_some(())
        });
    }

    /// Until a counter has come so far.
    pub fn counts(&self, name: &str, least: u32) {
        in_time(name, || {
            self.signal("USR1");
            (counted(&self.logged(&format!(" {name}=")), name) >= least).then_some(())
        });
    }
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
