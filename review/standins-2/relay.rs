//! The processes under test, started with the command of the deploy file.
use crate::record::Record;
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::os::fd::{AsRawFd, RawFd};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HANGUP: i32 = 1;
pub const KILL: i32 = 9;
pub const TERMINATE: i32 = 15;

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn dup2(from: i32, to: i32) -> i32;
}

/// The descriptor at which each process inherits the clients' listening socket that the platform
/// holds.
const PASSED_DESCRIPTOR: RawFd = 7;

/// All processes that were started and not yet waited for, and the temporary folder.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Ends the run as one that could not be done once it has taken too long.
pub fn watch_time(limit: Duration, record: Arc<Record>) {
    thread::spawn(move || {
        thread::sleep(limit);
        record.note("could not run: out of time".into());
        end_all();
        std::process::exit(2);
    });
}

/// Ends all processes that were started, and removes the temporary folder.
pub fn end_all() {
    let mut children = CHILDREN.lock().unwrap_or_else(|error| error.into_inner());
    for child in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    children.clear();
    let folder = FOLDER.lock().unwrap_or_else(|error| error.into_inner()).take();
    if let Some(folder) = folder {
        let _ = fs::remove_dir_all(folder);
    }
}

/// The temporary folder of this run.
pub fn folder() -> PathBuf {
    let mut folder = FOLDER.lock().unwrap();
    folder
        .get_or_insert_with(|| {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
            let name = format!("review-2-{}-{}", std::process::id(), now.as_nanos());
            let path = std::env::temp_dir().join(name);
            fs::create_dir_all(&path).unwrap();
            path
        })
        .clone()
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

pub fn free_udp_address() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// The `run` command of the deploy file.
fn run_command() -> Result<String, String> {
    let path = "deploy/balancer.toml";
    let text = fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))?;
    let line = text.lines().find(|line| line.starts_with("run "));
    let value = line.and_then(|line| line.split('"').nth(1));
    value.map(String::from).ok_or(format!("{path} has no run"))
}

/// A relay: its files, its addresses, and its process while it runs.
pub struct Relay {
    pub name: String,
    pub listen: SocketAddr,
    pub admin: SocketAddr,
    folder: PathBuf,
    process: Option<u32>,
    starts: u32,
    /// The clients' listening socket, if the platform holds it, and the `$TMPDIR` that all
    /// processes then share.
    passed: Option<(Arc<TcpListener>, PathBuf)>,
}

impl Relay {
    /// A relay whose listening socket the platform holds.
    pub fn with_passed_socket(name: &str) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut relay = Relay::new(name);
        relay.listen = listener.local_addr().unwrap();
        let temporary = relay.folder.join("tmp");
        fs::create_dir_all(&temporary).unwrap();
        relay.passed = Some((Arc::new(listener), temporary));
        relay
    }

    /// Another process of this relay, with an admin address and files of its own.
    pub fn successor(&self) -> Relay {
        let folder = self.folder.join("next");
        fs::create_dir_all(&folder).unwrap();
        Relay {
            name: self.name.clone(),
            listen: self.listen,
            admin: free_address(),
            folder,
            process: None,
            starts: 0,
            passed: self.passed.clone(),
        }
    }

    pub fn new(name: &str) -> Relay {
        let folder = folder().join(name);
        fs::create_dir_all(&folder).unwrap();
        Relay {
            name: name.into(),
            listen: free_address(),
            admin: free_address(),
            folder,
            process: None,
            starts: 0,
            passed: None,
        }
    }

    /// Replaces the configuration file as a whole. `rest` holds the keys after the addresses.
    pub fn write_config(&self, discovery: SocketAddr, limits: &str, settings: &str) {
        let (name, listen, admin) = (&self.name, self.listen, self.admin);
        let seed = format!("{:016x}", 0x8c1f_30d2_7a5b_e964_u64 ^ u64::from(listen.port()));
        let text = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"{seed}\",\
             \"limits\":{limits},\"known\":null,\"admin_addr\":\"{admin}\",\"settings\":{settings}}}"
        );
        replace_file(&self.folder.join("config.json"), &text);
    }

    /// Starts the process with the `run` command of the deploy file.
    pub fn start(&mut self, operator_config: Option<&Path>) -> Result<(), String> {
        self.starts += 1;
        let log = self.folder.join(format!("log-{}", self.starts));
        let log = fs::File::create(log).map_err(|error| error.to_string())?;
        let temporary = self.folder.join(format!("tmp-{}", self.starts));
        fs::create_dir_all(&temporary).map_err(|error| error.to_string())?;
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(run_command()?)
            .env("ROUTER_CONFIG", self.folder.join("config.json"))
            .env("ROUTER_NAME", &self.name)
            .env("TMPDIR", temporary)
            .env_remove("RUST_LOG")
            .env_remove("THISTLECROFT_CHARTER")
            .env_remove("THISTLECROFT_OPERATOR_CONFIG")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        if let Some((listener, temporary)) = &self.passed {
            let descriptor = listener.as_raw_fd();
            command.env("TMPDIR", temporary).env("ROUTER_PASSED_SOCKET", PASSED_DESCRIPTOR.to_string());
            // SAFETY: the closure calls dup2 alone, which may be called between fork and exec.
            unsafe {
                command.pre_exec(move || match dup2(descriptor, PASSED_DESCRIPTOR) {
                    PASSED_DESCRIPTOR => Ok(()),
                    _ => Err(std::io::Error::last_os_error()),
                });
            }
        }
        if let Some(path) = operator_config {
            command.env("THISTLECROFT_OPERATOR_CONFIG", path);
        }
        let child = command.spawn().map_err(|error| error.to_string())?;
        self.process = Some(child.id());
        CHILDREN.lock().unwrap().push(child);
        Ok(())
    }

    pub fn signal(&self, signal: i32) {
        if let Some(process) = self.process {
            // SAFETY: `process` is a child that was not waited for yet.
            unsafe { kill(process as i32, signal) };
        }
    }

    /// Kills the process outright and waits for its end.
    pub fn kill(&mut self) {
        self.signal(KILL);
        let Some(process) = self.process.take() else { return };
        let mut children = CHILDREN.lock().unwrap();
        if let Some(index) = children.iter().position(|child| child.id() == process) {
            let _ = children.swap_remove(index).wait();
        }
    }

    /// Whether the process still runs.
    pub fn is_running(&self) -> bool {
        let mut children = CHILDREN.lock().unwrap();
        let child = children.iter_mut().find(|child| Some(child.id()) == self.process);
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// The number of descriptors that the process holds.
    pub fn descriptors(&self) -> usize {
        let process = self.process.unwrap_or_default();
        fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
    }

    /// Sends one line to the admin port and returns the answer.
    pub fn call(&self, line: &str) -> Result<String, String> {
        call(self.admin, line).map_err(|error| format!("{}: {error}", self.name))
    }

    /// Waits until the process says that it is ready.
    pub fn wait_until_ready(&self, limit: Duration) -> Result<(), String> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.call("READY").is_ok_and(|answer| answer.starts_with("200")) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("{} is not ready; its log: {}", self.name, self.log()))
    }

    /// The log of the latest process.
    pub fn log(&self) -> String {
        let path = self.folder.join(format!("log-{}", self.starts));
        fs::read_to_string(path).unwrap_or_default()
    }
}

fn call(address: SocketAddr, line: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    stream.write_all(format!("{line}\r\n").as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer.trim_end().to_string())
}

pub fn replace_file(path: &Path, text: &str) {
    let fresh = path.with_extension("fresh");
    fs::write(&fresh, text).unwrap();
    fs::rename(&fresh, path).unwrap();
}
