//! The platform of one relay: the clients' listening socket and the folder that the relay's
//! processes share, and the processes that are started on it.
use crate::helper::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

/// The pause between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Repeats `check` until it returns a value; panics with `description` after a time limit.
pub(crate) fn wait_for<T>(description: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        if let Some(value) = check() {
            return value;
        }
        assert!(
            Instant::now() < deadline,
            "timed out waiting for {description}"
        );
        thread::sleep(CHECK_INTERVAL);
    }
}

/// Returns a command that starts the relay, without environment variables that configure it.
pub(crate) fn relay_command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_thistlecroft-relay"));
    for variable in [
        "ROUTER_CONFIG",
        "ROUTER_ADMIN_ADDR",
        "ROUTER_PASSED_SOCKET",
        "THISTLECROFT_CHARTER",
        "TMPDIR",
    ] {
        command.env_remove(variable);
    }
    command.env("RUST_LOG", "info").stderr(Stdio::piped());
    command
}

/// Runs the command with logging turned off until the program exits by itself.
pub(crate) fn run_to_end(command: &mut Command) -> Output {
    let mut child = command
        .env("RUST_LOG", "off")
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    wait_for_exit(&mut child);
    child.wait_with_output().unwrap()
}

/// The listening socket and the folder of one relay. The folder is removed when this is dropped.
pub(crate) struct Platform {
    listener: TcpListener,
    pub folder: PathBuf,
    /// The operator configuration of the processes, if they have one.
    pub operator_config: Option<PathBuf>,
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Platform {
    pub(crate) fn new(name: &str) -> Platform {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        // Without close-on-exec, so that every started process inherits the socket.
        rustix::io::fcntl_setfd(&listener, rustix::io::FdFlags::empty()).unwrap();
        let folder =
            std::env::temp_dir().join(format!("thistlecroft-golden-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        Platform {
            listener,
            folder,
            operator_config: None,
        }
    }

    /// Returns the address to which clients connect.
    pub(crate) fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Returns a configuration with these backends, without a discovery agent that answers.
    pub(crate) fn config(&self, backends: &[SocketAddr], probes: bool) -> String {
        config(
            self.address(),
            unused_address(),
            1_000,
            &ready_backends(backends),
            probes,
        )
    }

    /// Starts a process with this configuration and an admin address, and waits until it listens.
    pub(crate) fn start(&self, config: &str) -> RelayProcess {
        let admin = unused_address();
        let text = config.replacen('{', &format!("{{\"admin_addr\":\"{admin}\","), 1);
        let path = self.folder.join(format!("config-{}.json", admin.ip()));
        std::fs::write(&path, &text).unwrap();
        let descriptor = self.listener.as_raw_fd().to_string();
        let mut command = relay_command();
        command
            .env("ROUTER_CONFIG", &path)
            .env("ROUTER_PASSED_SOCKET", descriptor)
            .env("TMPDIR", &self.folder);
        if let Some(operator_config) = &self.operator_config {
            command.env("THISTLECROFT_CHARTER", operator_config);
        }
        let relay = relay_with_log(command.spawn().unwrap(), self.address(), text);
        relay.wait_for_log("serves at");
        RelayProcess { relay, admin }
    }

    /// Starts a process like `start`, and waits until it is ready.
    pub(crate) fn start_ready(&self, config: &str) -> RelayProcess {
        let process = self.start(config);
        process.wait_until_ready();
        process
    }
}

/// Returns the relay of a started process, whose log is read by a thread of its own.
pub(crate) fn relay_with_log(mut child: Child, at: SocketAddr, text: String) -> Relay {
    let (sender, log) = channel();
    let lines = BufReader::new(child.stderr.take().unwrap()).lines();
    thread::spawn(move || {
        lines
            .map_while(Result::ok)
            .try_for_each(|line| sender.send(line))
    });
    Relay {
        child,
        client_address: at,
        log,
        config_text: text,
    }
}

/// A relay process and the address of its admin port.
pub(crate) struct RelayProcess {
    pub relay: Relay,
    pub admin: SocketAddr,
}

impl RelayProcess {
    /// Sends an admin command, ends the sending side of the connection, and returns all bytes of
    /// the answer.
    pub(crate) fn admin_answer(&self, command: &[u8]) -> String {
        let mut stream = TcpStream::connect(self.admin).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.write_all(command).unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    }

    pub(crate) fn wait_until_ready(&self) {
        wait_for("200 ready", || {
            self.admin_answer(b"READY\n")
                .starts_with("200")
                .then_some(())
        });
    }
}
