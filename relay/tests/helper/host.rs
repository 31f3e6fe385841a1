//! Relay processes that run a chosen program, and what outlives each of them: the clients'
//! listening socket and the folder that successive processes share.
use super::{Relay, TEST_TIMEOUT, config, ready_backends, replace_all_in, unused_address};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

/// The variable that names the program of the former version, for tests that run two versions
/// together.
pub(crate) const FORMER_RELAY: &str = "THISTLECROFT_FORMER_RELAY";

/// Maximum wait for a condition, which is long enough for a busy machine.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The time within which an admin command must be answered, whatever the load.
const ADMIN_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

const SOCKET_LIMIT: usize = 1_000;

/// Returns the path of the program under test.
pub(crate) fn new_program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_thistlecroft-relay"))
}

/// Returns the path of the former version's program. If none is named, prints that the test is not
/// run, and returns `None`.
pub(crate) fn former_program() -> Option<PathBuf> {
    let Some(path) = std::env::var_os(FORMER_RELAY) else {
        // Not by `eprintln!`, since the test harness hides what a passing test prints by it.
        let notice = format!("not run: {FORMER_RELAY} is not set\n");
        std::io::stderr().write_all(notice.as_bytes()).unwrap();
        return None;
    };
    let path = PathBuf::from(path);
    assert!(
        path.is_file(),
        "{FORMER_RELAY}: {} is not a file",
        path.display()
    );
    Some(path)
}

/// Waits until the condition holds. Panics with its description if it does not hold in time.
pub(crate) fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "timed out before this held: {description}"
        );
        thread::sleep(CHECK_INTERVAL);
    }
}

/// A folder for one test, which is removed when it is dropped.
pub(crate) struct TestFolder {
    path: PathBuf,
}

impl TestFolder {
    pub(crate) fn new(name: &str) -> TestFolder {
        let folder = format!("thistlecroft-host-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(folder);
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        TestFolder { path }
    }

    pub(crate) fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

/// A relay process and the address of its admin listener. The process is killed when this is
/// dropped.
pub(crate) struct RelayProcess {
    pub relay: Relay,
    pub admin: SocketAddr,
}

impl RelayProcess {
    /// Starts a program whose configuration and environment are already set up.
    pub(crate) fn launch(
        mut command: Command,
        client_address: SocketAddr,
        admin: SocketAddr,
        configuration: String,
    ) -> RelayProcess {
        let mut child = command
            .env("RUST_LOG", "info")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let relay = Relay {
            log: log_lines(&mut child),
            child,
            client_address,
            config_text: configuration,
        };
        RelayProcess { relay, admin }
    }

    /// Sends an admin command, and returns its answer of one line without the line ending.
    pub(crate) fn admin_command(&self, line: &str) -> String {
        self.try_admin_command(line).unwrap()
    }

    /// Opens a connection to the admin port.
    pub(crate) fn connect_admin(&self) -> TcpStream {
        let stream = TcpStream::connect(self.admin).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        stream
    }

    /// Sends these bytes to the admin port, and returns the answer of one line without the line
    /// ending.
    pub(crate) fn send_to_admin(&self, bytes: &[u8]) -> String {
        let mut stream = self.connect_admin();
        stream.write_all(bytes).unwrap();
        read_admin_response(&mut stream)
    }

    /// Asserts that the command succeeds within the time that operators are promised.
    pub(crate) fn assert_accepted(&self, command: &str) {
        let start = Instant::now();
        let response = self.send_to_admin(format!("{command}\r\n").as_bytes());
        assert!(
            response.starts_with("200") && start.elapsed() < ADMIN_RESPONSE_TIMEOUT,
            "{command}: {response} after {:?}",
            start.elapsed()
        );
    }

    /// Asserts that the command is refused.
    pub(crate) fn assert_refused(&self, command: &str) {
        let response = self.send_to_admin(format!("{command}\n").as_bytes());
        assert!(response.starts_with("400"), "{command}: {response}");
    }

    pub(crate) fn wait_until_ready(&self) {
        wait_until("the relay is ready", || {
            self.try_admin_command("READY")
                .is_ok_and(|answer| answer.starts_with("200"))
        });
    }

    fn try_admin_command(&self, line: &str) -> std::io::Result<String> {
        let mut stream = TcpStream::connect(self.admin)?;
        stream.set_read_timeout(Some(TEST_TIMEOUT))?;
        stream.write_all(format!("{line}\r\n").as_bytes())?;
        try_read_admin_response(&mut stream)
    }
}

/// Reads the whole answer of the admin port, which must be one line, and returns it without the
/// line ending.
pub(crate) fn read_admin_response(stream: &mut TcpStream) -> String {
    try_read_admin_response(stream).unwrap()
}

fn try_read_admin_response(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    assert!(
        response.ends_with("\r\n") && response.lines().count() == 1,
        "the answer is not one line: {response:?}"
    );
    Ok(response.trim_end().to_string())
}

fn log_lines(child: &mut Child) -> super::Received {
    let (sender, log) = channel();
    let lines = BufReader::new(child.stderr.take().unwrap()).lines();
    thread::spawn(move || {
        lines
            .map_while(Result::ok)
            .try_for_each(|line| sender.send(line))
    });
    log
}

/// What stays while one process of a relay replaces another: the clients' listening socket, the
/// shared folder and the list of backends, which are named `b0`, `b1` and so on.
pub(crate) struct Host {
    listener: TcpListener,
    folder: TestFolder,
    discovery: SocketAddr,
    backends: String,
    /// The limit on descriptors of the processes that are started.
    pub socket_limit: usize,
}

impl Host {
    /// Creates a host whose relays know these backends at the start, and have no discovery agent.
    pub(crate) fn new(name: &str, backends: &[SocketAddr]) -> Host {
        Host::with_list(name, unused_address(), ready_backends(backends))
    }

    /// Creates a host whose relays have a discovery agent, and know no backends at the start.
    pub(crate) fn with_discovery(name: &str, discovery: SocketAddr) -> Host {
        Host::with_list(name, discovery, "null".into())
    }

    /// Creates a host whose relays have a discovery agent and know these backends at the start.
    pub(crate) fn with_cached_list(
        name: &str,
        discovery: SocketAddr,
        backends: &[SocketAddr],
    ) -> Host {
        Host::with_list(name, discovery, ready_backends(backends))
    }

    fn with_list(name: &str, discovery: SocketAddr, backends: String) -> Host {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        // Each process that is started inherits the socket.
        rustix::io::fcntl_setfd(&listener, rustix::io::FdFlags::empty()).unwrap();
        Host {
            listener,
            folder: TestFolder::new(name),
            discovery,
            backends,
            socket_limit: SOCKET_LIMIT,
        }
    }

    /// Returns the folder that the processes share.
    pub(crate) fn folder(&self) -> &Path {
        self.folder.path()
    }

    pub(crate) fn client_address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Returns the descriptor of the clients' listening socket, as it is passed to the processes.
    pub(crate) fn listener_descriptor(&self) -> String {
        self.listener.as_raw_fd().to_string()
    }

    /// Returns the configuration of a process with this admin port.
    pub(crate) fn configuration(&self, admin: SocketAddr) -> String {
        let configuration = config(
            self.client_address(),
            self.discovery,
            self.socket_limit,
            &self.backends,
            false,
        );
        with_admin(configuration, admin)
    }

    /// Starts a process of this program beside the running ones, and waits until it is ready.
    pub(crate) fn start(&self, program: &Path) -> RelayProcess {
        self.start_with(program, &[])
    }

    /// Starts a process with these changes of the configuration, and waits until it is ready.
    pub(crate) fn start_with(&self, program: &Path, changes: &[(&str, &str)]) -> RelayProcess {
        let process = self.launch_with(program, changes);
        process.wait_until_ready();
        process
    }

    /// Starts a process with these changes of the configuration.
    pub(crate) fn launch_with(&self, program: &Path, changes: &[(&str, &str)]) -> RelayProcess {
        let admin = unused_address();
        let configuration = replace_all_in(self.configuration(admin), changes);
        let path = self.config_path(admin);
        std::fs::write(&path, &configuration).unwrap();
        let mut command = Command::new(program);
        command
            .env("ROUTER_CONFIG", &path)
            .env("ROUTER_PASSED_SOCKET", self.listener_descriptor())
            .env("TMPDIR", self.folder());
        RelayProcess::launch(command, self.client_address(), admin, configuration)
    }

    fn config_path(&self, admin: SocketAddr) -> PathBuf {
        self.folder().join(format!("config-{}.json", admin.ip()))
    }

    /// Changes the configuration of a process of this host, and waits until the process has read it.
    pub(crate) fn reload(&self, process: &RelayProcess, changes: &[(&str, &str)]) {
        let text = replace_all_in(process.relay.config_text.clone(), changes);
        let path = self.config_path(process.admin);
        std::fs::write(path.with_extension("fresh"), text).unwrap();
        std::fs::rename(path.with_extension("fresh"), &path).unwrap();
        process.relay.signal("HUP");
        // The statistics are logged in the turn that reads the files, or in a later one.
        process.relay.signal("USR1");
        process.relay.wait_for_log("open_sessions=");
    }
}

/// Adds the address of the admin listener to a configuration.
pub(crate) fn with_admin(configuration: String, admin: SocketAddr) -> String {
    configuration.replacen('{', &format!("{{\"admin_addr\":\"{admin}\","), 1)
}
