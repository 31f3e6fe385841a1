//! What a platform holds for one relay, a listening socket and a folder that processes of the relay
//! share, and the processes started there.
use crate::helper::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

/// Between two looks at a condition that is waited for.
const LOOK: Duration = Duration::from_millis(5);

/// Asks until it is told something; the wait is bounded.
pub(crate) fn wait_for<T>(what: &str, mut ask: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        if let Some(told) = ask() {
            return told;
        }
        assert!(Instant::now() < until, "{what}: never came");
        thread::sleep(LOOK);
    }
}

/// The program with no more in its environment than each test adds.
pub(crate) fn program() -> Command {
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

/// Runs the program, without its log, until it ends by itself.
pub(crate) fn run_to_end(command: &mut Command) -> Output {
    let mut child = command
        .env("RUST_LOG", "off")
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    wait_for_exit(&mut child);
    child.wait_with_output().unwrap()
}

pub(crate) struct Platform {
    listener: TcpListener,
    pub folder: PathBuf,
    pub charter: Option<PathBuf>,
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Platform {
    pub(crate) fn new(name: &str) -> Platform {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        // Every process that is started inherits it.
        rustix::io::fcntl_setfd(&listener, rustix::io::FdFlags::empty()).unwrap();
        let folder =
            std::env::temp_dir().join(format!("thistlecroft-golden-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        Platform {
            listener,
            folder,
            charter: None,
        }
    }

    /// The address where clients connect.
    pub(crate) fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// A configuration with these backends and a dead discovery.
    pub(crate) fn config(&self, backends: &[SocketAddr], probes: bool) -> String {
        config(
            self.address(),
            unused_address(),
            1_000,
            &ready_backends(backends),
            probes,
        )
    }

    /// Starts a process by this configuration, with an admin address added.
    pub(crate) fn start(&self, config: &str) -> RelayProcess {
        let admin = unused_address();
        let text = config.replacen('{', &format!("{{\"admin_addr\":\"{admin}\","), 1);
        let path = self.folder.join(format!("config-{}.json", admin.ip()));
        std::fs::write(&path, &text).unwrap();
        let passed = self.listener.as_raw_fd().to_string();
        let mut command = program();
        command
            .env("ROUTER_CONFIG", &path)
            .env("ROUTER_PASSED_SOCKET", passed)
            .env("TMPDIR", &self.folder);
        if let Some(charter) = &self.charter {
            command.env("THISTLECROFT_CHARTER", charter);
        }
        let relay = watched(command.spawn().unwrap(), self.address(), text);
        relay.wait_for_log("serves at");
        RelayProcess { relay, admin }
    }

    pub(crate) fn start_ready(&self, config: &str) -> RelayProcess {
        let process = self.start(config);
        process.wait_until_ready();
        process
    }
}

/// A process whose log is read as it comes.
pub(crate) fn watched(mut child: Child, at: SocketAddr, text: String) -> Relay {
    let (tell, log) = channel();
    let lines = BufReader::new(child.stderr.take().unwrap()).lines();
    thread::spawn(move || {
        lines
            .map_while(Result::ok)
            .try_for_each(|line| tell.send(line))
    });
    Relay {
        child,
        client_address: at,
        log,
        config_text: text,
    }
}

pub(crate) struct RelayProcess {
    pub relay: Relay,
    pub admin: SocketAddr,
}

impl RelayProcess {
    /// All bytes that answer an admin command; the client says no more after it.
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
