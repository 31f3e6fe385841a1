//! The process of the relay under test.
use super::backend::Received;
use super::client::{Client, open_line};
use super::config::{config, write_config};
use super::discovery::ready_backends;
use super::wait::*;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

/// A running relay, which is killed when it is dropped.
pub(crate) struct Relay {
    pub(crate) child: Child,
    /// The address at which it accepts clients.
    pub(crate) client_address: SocketAddr,
    /// The lines of its log.
    pub(crate) log: Received,
    /// The text of its configuration file.
    pub(crate) config_text: String,
}

/// Starts the program with this configuration and limit on descriptors.
pub(crate) fn spawn_relay(text: &str, descriptors: usize) -> Child {
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

/// Starts a relay that accepts clients; see [`config`].
pub(crate) fn start_relay(
    discovery: SocketAddr,
    sockets: usize,
    known: &str,
    probes: bool,
) -> Relay {
    start_relay_with_descriptors(1_000, discovery, sockets, known, probes)
}

/// Starts a relay with this limit on descriptors.
pub(crate) fn start_relay_with_descriptors(
    descriptors: usize,
    discovery: SocketAddr,
    sockets: usize,
    known: &str,
    probes: bool,
) -> Relay {
    let at = unused_address();
    start_relay_with_config_and_descriptors(
        descriptors,
        at,
        config(at, discovery, sockets, known, probes),
    )
}

/// Starts a relay with this configuration, which makes it listen at `at`.
pub(crate) fn start_relay_with_config(at: SocketAddr, text: String) -> Relay {
    start_relay_with_config_and_descriptors(1_000, at, text)
}

/// Starts a relay with this configuration and limit on descriptors.
pub(crate) fn start_relay_with_config_and_descriptors(
    descriptors: usize,
    at: SocketAddr,
    text: String,
) -> Relay {
    let mut child = spawn_relay(&text, descriptors);
    let (sender, log) = channel();
    let lines = BufReader::new(child.stderr.take().unwrap()).lines();
    thread::spawn(move || {
        lines
            .map_while(Result::ok)
            .try_for_each(|line| sender.send(line))
    });
    let relay = Relay {
        child,
        client_address: at,
        log,
        config_text: text,
    };
    relay.wait_for_log("serves at");
    relay
}

/// Starts a relay that knows these backends, without discovery.
pub(crate) fn start_relay_with_backends(backends: &[SocketAddr]) -> Relay {
    start_relay(unused_address(), 1_000, &ready_backends(backends), false)
}

/// Starts a relay with changed settings: each pair is a part of the settings' text and its
/// replacement.
pub(crate) fn start_relay_with_settings(
    discovery: SocketAddr,
    known: &str,
    changes: &[(&str, &str)],
) -> Relay {
    let at = unused_address();
    let mut text = config(at, discovery, 1_000, known, false);
    for (from, to) in changes {
        assert!(text.contains(from), "{from}");
        text = text.replace(from, to);
    }
    start_relay_with_config(at, text)
}

impl Relay {
    /// Reads the log up to a line that contains this text, and returns the line.
    pub(crate) fn wait_for_log(&self, text: &str) -> String {
        let lines = std::iter::repeat_with(|| {
            self.log
                .recv_timeout(TEST_TIMEOUT)
                .expect("the expected line was not logged in time")
        });
        lines.take(10_000).find(|line| line.contains(text)).unwrap()
    }

    /// Sends a signal, by its name without `SIG`.
    pub(crate) fn signal(&self, name: &str) {
        let result = Command::new("kill")
            .args([format!("-{name}"), self.child.id().to_string()])
            .status();
        assert!(result.unwrap().success());
    }

    /// Replaces a part of the configuration, and has the relay read it again.
    pub(crate) fn reload_with(&self, from: &str, to: &str) {
        assert!(self.config_text.contains(from));
        write_config(&self.config_text.replace(from, to));
        self.signal("HUP");
    }

    /// Returns the most memory that the process has used, in megabytes.
    pub(crate) fn peak_memory_mb(&self) -> usize {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).unwrap();
        let peak = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        // A process that is just ending has no memory any more.
        let kilobytes = peak.map_or("0", |peak| peak.trim().trim_end_matches(" kB"));
        kilobytes.parse::<usize>().unwrap() / 1024
    }

    /// Returns the number of descriptors that the process has open.
    pub(crate) fn open_descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(path).map_or(0, Iterator::count)
    }

    /// Connects to the relay.
    pub(crate) fn connect(&self) -> Client {
        let stream = TcpStream::connect(self.client_address).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Client {
            lines: BufReader::new(stream),
        }
    }

    /// Connects and requests a session, with the client's wait in milliseconds.
    pub(crate) fn open_session(&self, listener: &str, wait: u32) -> Client {
        let mut client = self.connect();
        client.send(&open_line(&format!(
            "c={listener},d={wait},g=5c0f6e1a2b3d4c59"
        )));
        client
    }

    /// Suspends the process, and waits until it is suspended. It may be stopped at any point of its
    /// event loop, also between a check and the act that depends on it.
    pub(crate) fn suspend(&self) {
        self.signal("STOP");
        wait_for("the suspension of the relay", || {
            (self.process_state() == 'T').then_some(())
        });
    }

    /// Suspends the process while it polls for events, so that it has completed a turn of its event
    /// loop and each check that it makes after `SIGCONT` sees what happened in between. The process
    /// may run for a moment before it is suspended.
    pub(crate) fn suspend_while_polling(&self) {
        wait_for("a suspension of the relay while it polls", || {
            let polling_call = self.polling_call()?;
            self.suspend();
            if self
                .system_call()
                .is_some_and(|stopped| stopped.is_stop_of(&polling_call))
            {
                return Some(());
            }
            self.signal("CONT");
            None
        });
    }

    /// Returns the system call in which the relay polls: its only thread sleeps nowhere else.
    /// Returns none if the relay did not sleep.
    fn polling_call(&self) -> Option<SystemCall> {
        let is_sleeping = || self.process_state() == 'S';
        is_sleeping()
            .then(|| self.system_call())
            .flatten()
            .filter(|call| call.number.is_some() && is_sleeping())
    }

    /// Returns the system call in which the process is blocked or stopped; none if it is running.
    fn system_call(&self) -> Option<SystemCall> {
        let path = format!("/proc/{}/syscall", self.child.id());
        SystemCall::parse(&std::fs::read_to_string(path).unwrap())
    }

    /// Returns the letter for the state of the process in `/proc/PID/stat`.
    fn process_state(&self) -> char {
        let path = format!("/proc/{}/stat", self.child.id());
        let text = std::fs::read_to_string(path).unwrap();
        // The name of the program, in parentheses, may contain any character.
        let fields = text.rsplit(')').next().unwrap();
        fields.trim_start().chars().next().unwrap()
    }

    /// Waits until a counter has at least this value.
    pub(crate) fn wait_for_counter(&self, name: &str, minimum: u32) {
        wait_for(name, || {
            self.signal("USR1");
            (counter_value(&self.wait_for_log(&format!(" {name}=")), name) >= minimum).then_some(())
        });
    }
}

/// A line of `/proc/PID/syscall`: where a process is blocked or stopped.
struct SystemCall {
    /// None outside of system calls, and on arm64 for each stopped process.
    number: Option<u32>,
    stack_pointer: String,
    program_counter: String,
}

impl SystemCall {
    /// Reads the line; none if the process is running.
    fn parse(text: &str) -> Option<Self> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let [number, .., stack_pointer, program_counter] = words[..] else {
            return None;
        };
        Some(Self {
            number: number.parse().ok(),
            stack_pointer: stack_pointer.into(),
            program_counter: program_counter.into(),
        })
    }

    /// Whether a process that was blocked in a call was stopped in it. Where a stopped process
    /// shows the number of its call, that has to be the same too.
    fn is_stop_of(&self, blocked: &Self) -> bool {
        let is_number_hidden = cfg!(target_arch = "aarch64") && self.number.is_none();
        (is_number_hidden || self.number == blocked.number)
            && self.stack_pointer == blocked.stack_pointer
            && self.program_counter == blocked.program_counter
    }
}

/// Returns a counter's value from the log line with all counters.
pub(crate) fn counter_value(line: &str, name: &str) -> u32 {
    let value = line
        .split(&format!(" {name}="))
        .nth(1)
        .and_then(|rest| rest.split(' ').next());
    value.unwrap().parse().unwrap()
}

/// Waits until a program ends, and returns its exit status. A program that does not end in time is
/// killed, and the test fails.
pub(crate) fn wait_for_exit(child: &mut Child) -> std::process::ExitStatus {
    let until = Instant::now() + TEST_TIMEOUT;
    while Instant::now() < until {
        if let Some(status) = child.try_wait().unwrap() {
            return status;
        }
        thread::sleep(Duration::from_millis(5));
    }
    child.kill().unwrap();
    panic!("the program did not end in time: {:?}", child.wait());
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
