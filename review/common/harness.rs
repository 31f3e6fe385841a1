//! Stand-ins and helpers that the cases share: the discovery agent, backends, clients, the platform
//! that starts relays, and the record of a run. Only the standard library is used.
#![allow(dead_code)]

use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, RawFd};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn dup2(from: i32, to: i32) -> i32;
    fn fcntl(fd: i32, command: i32, argument: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const [i32; 2], length: u32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// The descriptor at which the platform passes the clients' listening socket.
const PASSED_DESCRIPTOR: RawFd = 7;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

// ---- the record ----

struct Record {
    started: Instant,
    file: Mutex<File>,
}

static RECORD: OnceLock<Record> = OnceLock::new();
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());
static FOLDER: OnceLock<PathBuf> = OnceLock::new();

/// Writes one line to the record, with the milliseconds since the start.
pub fn record(text: &str) {
    if let Some(record) = RECORD.get() {
        let line = format!("{:>7} {text}\n", record.started.elapsed().as_millis());
        let mut file = record.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }
}

/// Starts a case: opens its record, makes its temporary folder, and sets the limit on its time.
pub fn begin(limit: Duration) -> bool {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let Ok(file) = File::create(Path::new(&folder).join("record.txt")) else {
        eprintln!("cannot write record.txt");
        std::process::exit(COULD_NOT_RUN);
    };
    let _ = RECORD.set(Record {
        started: Instant::now(),
        file: Mutex::new(file),
    });
    // Descriptors up to the passed one stay occupied, so that no other descriptor takes its place.
    while let Ok(null) = File::open("/dev/null") {
        let descriptor = null.as_raw_fd();
        std::mem::forget(null);
        if descriptor > 20 {
            break;
        }
    }
    let unique = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_nanos();
    let temporary = std::env::var("TMPDIR").unwrap_or_else(|_| "/tmp".into());
    let path = Path::new(&temporary).join(format!("rv-{}-{unique:x}", std::process::id()));
    if std::fs::create_dir_all(&path).is_err() {
        finish(COULD_NOT_RUN, "no temporary folder");
    }
    let _ = FOLDER.set(path);
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        default_hook(info);
        if thread::current().name() == Some("main") {
            finish(COULD_NOT_RUN, &format!("the case itself failed: {info}"));
        }
    }));
    thread::spawn(move || {
        thread::sleep(limit);
        finish(COULD_NOT_RUN, "the case took too long");
    });
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record(if has_trouble {
        "run with the disruption"
    } else {
        "run without the disruption"
    });
    has_trouble
}

pub fn temporary_folder() -> &'static Path {
    FOLDER.get().unwrap()
}

/// Ends all processes that the case started, and the case with this exit code.
pub fn finish(code: i32, why: &str) -> ! {
    record(&format!("RESULT {code}: {why}"));
    println!("{code}: {why}");
    if let Ok(mut children) = CHILDREN.lock() {
        for child in children.iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
    if let Some(folder) = FOLDER.get() {
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(code)
}

pub fn sleep_ms(milliseconds: u64) {
    thread::sleep(Duration::from_millis(milliseconds));
}

/// An address on loopback that is free at present.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

static SERIAL: AtomicU64 = AtomicU64::new(1);

/// Sixteen hexadecimal digits that differ from call to call.
pub fn new_id() -> String {
    let mut x = SERIAL
        .fetch_add(1, Ordering::Relaxed)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    format!("{:016x}", x ^ (x >> 31))
}

// ---- backends ----

/// What a backend does with a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Behavior {
    /// Answers `UP`, then sends every line back.
    Serve,
    /// Runs the request and answers `ERR`.
    RunThenError,
    /// Runs the request and resets the connection.
    RunThenReset,
    /// Runs every request, but resets the connection under each `n`th.
    ResetEvery(usize),
    /// Takes the request and answers nothing.
    Silent,
}

/// A request that a backend has received in full.
#[derive(Clone)]
pub struct Received {
    pub at: Instant,
    pub id: String,
    pub line: String,
}

pub struct Backend {
    pub name: String,
    pub zone: String,
    pub cell: u32,
    pub address: SocketAddr,
    behavior: Mutex<Behavior>,
    pub requests: Mutex<Vec<Received>>,
    open: AtomicUsize,
    streams: Mutex<Vec<TcpStream>>,
}

impl Backend {
    pub fn start(name: &str, zone: &str, cell: u32) -> Arc<Backend> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let backend = Arc::new(Backend {
            name: name.into(),
            zone: zone.into(),
            cell,
            address: listener.local_addr().unwrap(),
            behavior: Mutex::new(Behavior::Serve),
            requests: Mutex::new(Vec::new()),
            open: AtomicUsize::new(0),
            streams: Mutex::new(Vec::new()),
        });
        let accepting = backend.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let backend = accepting.clone();
                thread::spawn(move || backend.serve(stream));
            }
        });
        backend
    }

    pub fn set_behavior(&self, behavior: Behavior) {
        *self.behavior.lock().unwrap() = behavior;
        record(&format!("backend {} from now on: {behavior:?}", self.name));
    }

    pub fn instance(&self, lifecycle: &str) -> Instance {
        Instance {
            name: self.name.clone(),
            address: self.address,
            zone: self.zone.clone(),
            cell: self.cell,
            lifecycle: lifecycle.into(),
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        let mut is_up = false;
        loop {
            line.clear();
            match reader.read_line(&mut line) {
                Ok(length) if length > 0 && line.ends_with('\n') => {}
                _ => break,
            }
            let text = line.trim_end();
            let answer = if is_up {
                format!("{text}\r\n")
            } else if text == "STATS" || text == "PING" {
                let open = self.open.load(Ordering::Relaxed);
                let load = 0.05 + 0.01 * open as f64;
                match text {
                    "STATS" => format!("PONG inflight={open},x0={load:.2}\r\n"),
                    _ => "PONG\r\n".into(),
                }
            } else if let Some(rest) = text.strip_prefix("OPEN ") {
                let id = rest.split(' ').next().unwrap_or("").to_string();
                let behavior = *self.behavior.lock().unwrap();
                let request = Received {
                    at: Instant::now(),
                    id,
                    line: text.into(),
                };
                record(&format!("backend {} ran ({behavior:?}): {text}", self.name));
                let number = {
                    let mut requests = self.requests.lock().unwrap();
                    requests.push(request);
                    requests.len()
                };
                let resets = match behavior {
                    Behavior::RunThenReset => true,
                    Behavior::ResetEvery(n) => number % n == 0,
                    _ => false,
                };
                if resets {
                    record(&format!(
                        "backend {} resets the connection of {rest}",
                        self.name
                    ));
                    reset(reader.get_ref());
                    break;
                }
                match behavior {
                    Behavior::Serve | Behavior::ResetEvery(_) => {
                        is_up = true;
                        self.open.fetch_add(1, Ordering::Relaxed);
                        format!("UP {}\r\n", new_id())
                    }
                    Behavior::RunThenError => {
                        let _ = writer.write_all(b"ERR\r\n");
                        break;
                    }
                    Behavior::RunThenReset | Behavior::Silent => continue,
                }
            } else {
                "SYNTAX\r\n".into()
            };
            if writer.write_all(answer.as_bytes()).is_err() {
                break;
            }
        }
        if is_up {
            self.open.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Returns the requests that came after this time.
    pub fn requests_after(&self, at: Instant) -> Vec<Received> {
        let requests = self.requests.lock().unwrap();
        requests
            .iter()
            .filter(|request| request.at > at)
            .cloned()
            .collect()
    }
}

/// Makes the other side see a reset once the connection is closed.
pub fn reset(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    // SAFETY: the value is a `struct linger` of two integers.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &[1, 0], 8) };
}

// ---- discovery ----

#[derive(Clone)]
pub struct Instance {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub cell: u32,
    pub lifecycle: String,
}

impl Instance {
    pub fn json(&self) -> String {
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"{}\",\"machineType\":\"std-2c\",\
             \"cell\":{},\"lifecycle\":\"{}\",\"weight\":1.0,\"startedAtMs\":0}}",
            self.name, self.address, self.zone, self.cell, self.lifecycle
        )
    }
}

pub fn list_json(generation: u64, is_complete: bool, instances: &[Instance]) -> String {
    let instances: Vec<String> = instances.iter().map(Instance::json).collect();
    format!(
        "{{\"generation\":{generation},\"reset\":{is_complete},\"instances\":[{}]}}",
        instances.join(",")
    )
}

/// The discovery agent: it holds the list, and tells watches of each change at once.
pub struct Discovery {
    pub address: SocketAddr,
    state: Mutex<DiscoveryState>,
    changed: Condvar,
}

struct DiscoveryState {
    /// The latest entry of each instance, and the generation at which it changed.
    entries: Vec<(u64, Instance)>,
    generation: u64,
}

impl Discovery {
    pub fn start(instances: Vec<Instance>) -> Arc<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let generation = 41;
        let entries = instances
            .into_iter()
            .map(|instance| (generation, instance))
            .collect();
        let discovery = Arc::new(Discovery {
            address: listener.local_addr().unwrap(),
            state: Mutex::new(DiscoveryState {
                entries,
                generation,
            }),
            changed: Condvar::new(),
        });
        let accepting = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = accepting.clone();
                thread::spawn(move || discovery.serve(stream));
            }
        });
        discovery
    }

    /// The whole list at present.
    pub fn list(&self) -> String {
        let state = self.state.lock().unwrap();
        let all: Vec<Instance> = state.entries.iter().map(|entry| entry.1.clone()).collect();
        list_json(state.generation, true, &all)
    }

    /// Replaces the entry of one instance, and tells all watches.
    pub fn update(&self, instance: Instance) {
        record(&format!(
            "discovery tells: {} is {}",
            instance.name, instance.lifecycle
        ));
        let mut state = self.state.lock().unwrap();
        state.generation += 1;
        let generation = state.generation;
        state.entries.retain(|entry| entry.1.name != instance.name);
        state.entries.push((generation, instance));
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reader) = stream.try_clone() else {
            return;
        };
        let mut head = Vec::new();
        for line in BufReader::new(reader).lines() {
            match line {
                Ok(line) if line.is_empty() => break,
                Ok(line) => head.push(line),
                Err(_) => return,
            }
        }
        let Some(request) = head.first() else { return };
        if !request.contains("follow=1") {
            let body = self.list();
            let _ = write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            return;
        }
        let since = request.split("since=").nth(1).and_then(|rest| {
            rest.split([' ', '&'])
                .next()
                .and_then(|number| number.parse::<u64>().ok())
        });
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
                    Transfer-Encoding: chunked\r\n\r\n";
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        let mut told = since;
        loop {
            let text = {
                let mut state = self.state.lock().unwrap();
                if told == Some(state.generation) {
                    let wait = self.changed.wait_timeout(state, Duration::from_secs(2));
                    state = wait.unwrap().0;
                }
                match told {
                    Some(told) if told == state.generation => "\r\n".to_string(),
                    Some(since) => {
                        told = Some(state.generation);
                        let newer = state.entries.iter().filter(|entry| entry.0 > since);
                        let changes: Vec<Instance> = newer.map(|entry| entry.1.clone()).collect();
                        list_json(state.generation, false, &changes) + "\n"
                    }
                    None => {
                        told = Some(state.generation);
                        let all: Vec<Instance> =
                            state.entries.iter().map(|entry| entry.1.clone()).collect();
                        list_json(state.generation, true, &all) + "\n"
                    }
                }
            };
            if write!(stream, "{:x}\r\n{text}\r\n", text.len()).is_err() {
                return;
            }
        }
    }
}

// ---- the platform: configurations and relays ----

/// A listener of the settings.
pub struct Class {
    pub name: &'static str,
    pub deadline_us: u64,
    pub target_us: u64,
    pub effect: &'static str,
    /// None leaves the key out.
    pub scope: Option<&'static str>,
    pub window_us: u64,
    pub utility: f64,
}

impl Class {
    fn json(&self) -> String {
        let scope = self.scope.map_or(String::new(), |scope| {
            format!("\"dedupScope\":\"{scope}\",")
        });
        format!(
            "{{\"name\":\"{}\",\"deadlineUs\":{},\"handshakeTargetUs\":{},\"effect\":\"{}\",{scope}\
             \"dedupWindowUs\":{},\"streamed\":true,\"tardyUtility\":0.0,\"utility\":{:.1}}}",
            self.name, self.deadline_us, self.target_us, self.effect, self.window_us, self.utility
        )
    }
}

/// The four listeners of the deployment `lagos-live`.
pub fn lagos_classes() -> Vec<Class> {
    let class = |name, deadline_us, target_us, utility| Class {
        name,
        deadline_us,
        target_us,
        effect: "retryable",
        scope: Some("all"),
        window_us: 5_000_000,
        utility,
    };
    vec![
        class("slot-view", 4_800_000, 800_000, 3.0),
        class("temp-feed", 1_200_000, 300_000, 1.0),
        class("queue-view", 4_800_000, 800_000, 2.0),
        class("slot-hold", 1_200_000, 300_000, 5.0),
    ]
}

/// Settings like those of `lagos-live`, with two relays, of which this is the first.
pub fn settings_json(classes: &[Class]) -> String {
    settings_of_zones(classes, ["ikeja", "lekki"])
}

/// The same settings with other zones.
pub fn settings_of_zones(classes: &[Class], zones: [&str; 2]) -> String {
    let [first_zone, second_zone] = zones;
    let listeners: Vec<String> = classes.iter().map(Class::json).collect();
    let aims = vec!["60000.0"; classes.len()].join(",");
    format!(
        "{{\"az\":0,\"balancers\":2,\"clients\":{{\"marksRetry\":false}},\"discovery\":\"automatic\",\
        \"excessUtility\":0.1,\"extra\":{{\"groups\":true,\"messageAimUs\":[{aims}],\"mode\":\"proxy\",\
        \"parkUs\":0,\"tellsDelay\":false,\"tellsLoad\":false,\"tenantQuotaConnections\":[]}},\
        \"invariants\":{{\"askWithinUs\":10000000,\"coldUs\":9000000,\"drainGraceUs\":2000000,\
        \"fallUs\":3000000,\"graceToAnswerUs\":8000,\"overloadFactor\":3.0,\"startCapacity\":0.31}},\
        \"kindOfService\":\"conn\",\"kinds\":[\"std-2c\"],\"layers\":[\"slot-stream\"],\
        \"listeners\":[{}],\"me\":0,\
        \"permissions\":{{\"connIdleUs\":5000000,\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":22500,\
        \"dialTimeoutUs\":50000,\"maxDials\":3,\"maxRetryAfterUs\":2000000,\"mayCancel\":true,\
        \"mostHeld\":1500000,\"multiplex\":1048576,\"parallelTries\":false,\"peers\":false,\
        \"probes\":true,\"retryAfter\":true}},\
        \"prices\":{{\"connection\":0.0,\"crossZone\":0.16,\"lateFail\":0.039,\"moves\":0.011,\
        \"probe\":0.0023,\"waste\":0.3}},\
        \"report\":{{\"fields\":[\"inflight\",\"x0\"],\"how\":\"pull\"}},\
        \"tenants\":[],\"tickUs\":2000,\"tier\":0,\"utilityPer\":\"request\",\"weights\":\"live\",\
        \"zones\":[\"{first_zone}\",\"{second_zone}\"]}}",
        listeners.join(",")
    )
}

const SEED: &str = "8c1f30d27a5be964";

/// The configuration file of one relay process.
pub struct RelayConfig {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub admin: Option<SocketAddr>,
    /// The list as this relay last had it.
    pub known: String,
    pub settings: String,
}

impl RelayConfig {
    pub fn json(&self) -> String {
        let admin = self
            .admin
            .map_or(String::new(), |at| format!("\"admin_addr\":\"{at}\","));
        format!(
            "{{\"name\":\"n1\",\"listen\":\"{}\",\"discovery\":\"{}\",{admin}\"seed\":\"{}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
             \"known\":{},\"settings\":{}}}",
            self.listen, self.discovery, SEED, self.known, self.settings
        )
    }
}

pub struct Relay {
    pub pid: i32,
    pub config_path: PathBuf,
}

/// Replaces a configuration file as a whole.
pub fn write_config(path: &Path, text: &str) {
    let fresh = path.with_extension("fresh");
    std::fs::write(&fresh, text).unwrap();
    std::fs::rename(&fresh, path).unwrap();
}

/// Returns the value of `run` in the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").unwrap();
    let line = text.lines().find(|line| line.starts_with("run")).unwrap();
    line.split('"').nth(1).unwrap().to_string()
}

/// Starts a relay with the deploy file's `run`. All relays of a case share one `$TMPDIR`.
pub fn start_relay(label: &str, config: &RelayConfig, passed: Option<&TcpListener>) -> Relay {
    let config_path = temporary_folder().join(format!("{label}.json"));
    write_config(&config_path, &config.json());
    let shared = temporary_folder().join("t");
    std::fs::create_dir_all(&shared).unwrap();
    let mut command = Command::new("/bin/sh");
    command
        .arg("-c")
        .arg(run_command())
        .env("ROUTER_NAME", "n1")
        .env("ROUTER_LISTEN", config.listen.to_string())
        .env("ROUTER_DISCOVERY", config.discovery.to_string())
        .env("ROUTER_CONFIG", &config_path)
        .env("TMPDIR", &shared)
        .env("RUST_LOG", "info")
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    if let Some(listener) = passed {
        command.env("ROUTER_PASSED_SOCKET", PASSED_DESCRIPTOR.to_string());
        const F_DUPFD_CLOEXEC: i32 = 1030;
        // SAFETY: the descriptor is open; its copy stays open as long as this process.
        let copy = unsafe { fcntl(listener.as_raw_fd(), F_DUPFD_CLOEXEC, 40) };
        // SAFETY: `dup2` may be called between `fork` and `exec`.
        unsafe {
            command.pre_exec(move || match dup2(copy, PASSED_DESCRIPTOR) {
                -1 => Err(std::io::Error::last_os_error()),
                _ => Ok(()),
            });
        }
    }
    let mut child = match command.spawn() {
        Ok(child) => child,
        Err(error) => finish(COULD_NOT_RUN, &format!("the relay does not start: {error}")),
    };
    let log = child.stderr.take().unwrap();
    let (pid, name) = (child.id() as i32, label.to_string());
    CHILDREN.lock().unwrap().push(child);
    record(&format!("platform: relay process {label} started"));
    thread::spawn(move || {
        for line in BufReader::new(log).lines().map_while(Result::ok) {
            record(&format!("log of {name}: {line}"));
        }
        record(&format!("log of {name} has ended"));
    });
    Relay { pid, config_path }
}

impl Relay {
    pub fn signal(&self, signal: i32, what: &str) {
        record(&format!("platform: {what}"));
        // SAFETY: the process is a child of this one that has not been waited for.
        unsafe { kill(self.pid, signal) };
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&self) -> bool {
        let mut children = CHILDREN.lock().unwrap();
        let child = children
            .iter_mut()
            .find(|child| child.id() as i32 == self.pid);
        child.is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

/// Waits until the relay answers `PING` with `PONG`.
pub fn wait_for_pong(relay: SocketAddr) {
    for _ in 0..1_000 {
        if let Ok(mut stream) = TcpStream::connect(relay) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
            let _ = stream.write_all(b"PING\r\n");
            let mut answer = [0; 6];
            if stream.read_exact(&mut answer).is_ok() && &answer == b"PONG\r\n" {
                return;
            }
        }
        sleep_ms(10);
    }
    finish(COULD_NOT_RUN, "the relay did not get ready");
}

/// Sends one line to a door for operators, and returns the answer.
pub fn call_door(label: &str, door: SocketAddr, call: &str) -> String {
    let answer = (|| -> std::io::Result<String> {
        let mut stream = TcpStream::connect(door)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        stream.write_all(format!("{call}\r\n").as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer.trim_end().to_string())
    })();
    let answer = answer.unwrap_or_else(|error| format!("no answer: {error}"));
    if call != "READY" {
        record(&format!("operator to {label}: {call} -> {answer}"));
    }
    answer
}

/// Waits until a door answers `READY` with yes.
pub fn wait_until_ready(label: &str, door: SocketAddr) {
    for _ in 0..600 {
        if call_door(label, door, "READY").starts_with("200") {
            record(&format!("operator to {label}: READY -> yes"));
            return;
        }
        sleep_ms(10);
    }
    finish(
        COULD_NOT_RUN,
        "a relay process did not get ready within 6 s",
    );
}

// ---- clients ----

/// How a client's connection ended.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// After `MOVE`.
    Moved,
    /// Without it.
    Cut,
}

/// A client's connection, once its request is answered.
pub struct Answer {
    pub id: String,
    /// The answer, or why there is none.
    pub line: Result<String, String>,
    pub reader: BufReader<TcpStream>,
}

/// Opens a session and waits for its answer, at most a second longer than its time.
pub fn open_session(relay: SocketAddr, class: &str, wait_ms: u64) -> Answer {
    let (id, key, group) = (new_id(), new_id(), new_id());
    let stream = TcpStream::connect(relay).expect("the relay's machine accepts");
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(wait_ms + 1_000)));
    let line = format!("OPEN {id} {key} c={class},d={wait_ms},g={group}");
    record(&format!("client sends: {line}"));
    let _ = (&stream).write_all(format!("{line}\r\n").as_bytes());
    let mut reader = BufReader::new(stream);
    let mut answer = String::new();
    let line = match reader.read_line(&mut answer) {
        Ok(0) => Err("the connection was closed".to_string()),
        Ok(_) => Ok(answer.trim_end().to_string()),
        Err(error) => Err(error.to_string()),
    };
    record(&format!("client {id} is answered: {line:?}"));
    Answer { id, line, reader }
}

impl Answer {
    pub fn is_up(&self) -> bool {
        self.line.as_ref().is_ok_and(|line| line.starts_with("UP"))
    }

    /// Sends a line every two seconds and reads what comes, until the relay ends the connection.
    pub fn stay(self) {
        thread::spawn(move || self.stay_until_end());
    }

    /// Sends a line every two seconds and reads what comes, until the relay ends the connection.
    /// Returns how it ended.
    pub fn stay_until_end(mut self) -> End {
        let _ = self.reader.get_ref().set_read_timeout(None);
        let Ok(mut writer) = self.reader.get_ref().try_clone() else {
            return End::Cut;
        };
        thread::spawn(move || {
            let mut number = 0;
            loop {
                number += 1;
                if writer
                    .write_all(format!("line {number}\r\n").as_bytes())
                    .is_err()
                {
                    return;
                }
                sleep_ms(2_000);
            }
        });
        let mut is_moved = false;
        loop {
            let mut line = String::new();
            match self.reader.read_line(&mut line) {
                Ok(1..) => is_moved |= line.trim_end() == "MOVE",
                end => {
                    let end = if is_moved {
                        "was moved".into()
                    } else {
                        format!("was cut off: {end:?}")
                    };
                    record(&format!("client {} {end}", self.id));
                    let _ = self.reader.get_ref().shutdown(Shutdown::Both);
                    return if is_moved { End::Moved } else { End::Cut };
                }
            }
        }
    }
}

/// Clients that open a session every so often, in the background.
pub fn start_traffic(relay: SocketAddr, classes: &'static [(&'static str, u64)], interval_ms: u64) {
    thread::spawn(move || {
        for &(class, wait_ms) in classes.iter().cycle() {
            thread::spawn(move || {
                let answer = open_session(relay, class, wait_ms);
                if answer.is_up() {
                    answer.stay();
                }
            });
            sleep_ms(interval_ms);
        }
    });
}
