//! Relays as processes: their configuration, their start, their signals, what they cost, and their
//! end.
use crate::clock::to_std;
use crate::relay_network::PeerAddress;
use crate::socket_holder::{SocketHolder, send_admin_command};
use rustix::process::{Pid, Resource, Signal, getrlimit, kill_process, setrlimit};
use serde_json::json;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::time::Instant;
use thistlecroft::deployment::{DeduplicationScope, Idempotency};
use thistlecroft::time::Duration;

/// A relay answers `PING` within this, or has not started.
const START: std::time::Duration = std::time::Duration::from_secs(10);
/// A call at the door is answered within this, or the relay is at fault.
pub const ADMIN_COMMAND_TIMEOUT: Duration = Duration::from_millis(1_000);
const LOOK: std::time::Duration = std::time::Duration::from_millis(10);

/// A row of the settings' listeners.
#[derive(Clone, Debug)]
pub struct ListenerConfig {
    pub name: String,
    pub answer_timeout: Duration,
    pub handshake_target: Duration,
    pub message_target: Duration,
    pub idempotency: Idempotency,
    pub priority_weight: f64,
}

/// The settings that all relays of a run are given; keys are the platform's.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    pub zones: Vec<String>,
    pub listeners: Vec<ListenerConfig>,
    pub connect_timeout: Duration,
    pub max_attempts: u32,
    pub max_retry_after: Option<Duration>,
    pub health_checks: bool,
    pub groups: bool,
    pub reports_load: bool,
    pub warm_up_initial_share: f64,
    pub warm_up: Duration,
    pub warm_up_overload_factor: f64,
    pub warm_up_overload_window: Duration,
    pub memory_mb: u64,
    pub sockets: u64,
    /// A session may have two dials out at once.
    pub hedging: bool,
    /// Relays may talk with one another.
    pub peers: bool,
}

/// What a charter says of peers, but for each relay's own addresses.
#[derive(Clone, Debug)]
pub struct PeersConfig {
    pub period: Duration,
    pub lease: Duration,
    /// The first so many relays grant leases and are the seeds.
    pub voters: usize,
    pub key_file: PathBuf,
}

impl PeersConfig {
    /// The charter's table for the relay of that way, in a fleet of these.
    pub fn table(&self, own: &PeerAddress, fleet: &[PeerAddress]) -> String {
        let quoted = |all: Vec<String>| {
            all.iter()
                .map(|one| format!("\"{one}\""))
                .collect::<Vec<_>>()
                .join(", ")
        };
        let first = || fleet.iter().take(self.voters.max(1));
        let seeds = quoted(first().map(|way| way.public.to_string()).collect());
        let voters = quoted(
            (0..self.voters.min(fleet.len()))
                .map(|number| format!("relay-{number}"))
                .collect(),
        );
        let voters = if self.voters == 0 {
            String::new()
        } else {
            format!("voters = [{voters}]\n")
        };
        format!(
            "\n[peers]\nfleet = \"rig\"\nlisten = \"{}\"\nadvertise = \"{}\"\nkey_file = \"{}\"\nseeds = [{seeds}]\n{voters}period = \"{}us\"\nlease = \"{}us\"\n",
            own.own,
            own.public,
            self.key_file.display(),
            self.period.as_micros(),
            self.lease.as_micros()
        )
    }
}

/// What one relay is told beside the terms.
#[derive(Clone, Debug)]
pub struct RelayOptions {
    pub name: String,
    pub index: usize,
    pub relays: usize,
    pub zone: usize,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    /// The list as it last had it, in discovery's form.
    pub cached_endpoints: Option<serde_json::Value>,
    /// The text of its charter, where it has one.
    pub operator_config: Option<String>,
    /// Where its operators call, if they do.
    pub admin: Option<SocketAddr>,
    /// What the platform holds for it, if more than one process of it may run at a time.
    pub socket_holder: Option<Arc<SocketHolder>>,
}

/// The text that `ROUTER_CONFIG` names.
pub fn configuration(terms: &FleetConfig, orders: &RelayOptions) -> String {
    let listeners: Vec<_> = terms
        .listeners
        .iter()
        .map(|row| {
            let (effect, scope, window) = match row.idempotency {
                Idempotency::Idempotent => ("retryable", "all", Duration::ZERO),
                Idempotency::NonIdempotent => ("fragile", "all", Duration::ZERO),
                Idempotency::Keyed { scope, window } => {
                    let scope = match scope {
                        DeduplicationScope::All => "all",
                        DeduplicationScope::Zone => "zone",
                        DeduplicationScope::Cell => "cell",
                    };
                    ("dedup", scope, window)
                }
            };
            json!({"name": row.name, "deadlineUs": row.answer_timeout.as_micros(), "handshakeTargetUs": row.handshake_target.as_micros(),
                "effect": effect, "dedupScope": scope, "dedupWindowUs": window.as_micros(), "utility": row.priority_weight})
        })
        .collect();
    let targets: Vec<u64> = terms
        .listeners
        .iter()
        .map(|row| row.message_target.as_micros())
        .collect();
    let mut text = json!({
        "name": orders.name, "listen": orders.listen.to_string(), "discovery": orders.discovery.to_string(),
        "seed": format!("{:016x}", orders.seed),
        "limits": {"cores": 1.0, "memory_mb": terms.memory_mb, "sockets": terms.sockets},
        "known": orders.cached_endpoints,
        "settings": {
            "az": orders.zone, "zones": terms.zones, "balancers": orders.relays, "me": orders.index,
            "tickUs": 2_000, "discovery": "automatic", "listeners": listeners,
            "extra": {"groups": terms.groups, "tellsDelay": false, "tellsLoad": terms.reports_load, "messageAimUs": targets},
            "invariants": {"askWithinUs": 1, "coldUs": terms.warm_up.as_micros(), "fallUs": terms.warm_up_overload_window.as_micros(),
                "overloadFactor": terms.warm_up_overload_factor, "startCapacity": terms.warm_up_initial_share},
            "permissions": {"connIdleUs": 9_000_000, "dialTimeoutUs": terms.connect_timeout.as_micros(),
                "maxDials": terms.max_attempts,
                "maxRetryAfterUs": terms.max_retry_after.unwrap_or(Duration::ZERO).as_micros(),
                "peers": terms.peers, "mayCancel": true, "parallelTries": terms.hedging, "probes": terms.health_checks, "retryAfter": terms.max_retry_after.is_some()},
            "report": {"fields": ["inflight", "x0"], "how": "pull"},
        },
    });
    if let Some(admin) = orders.admin {
        text["admin_addr"] = json!(admin.to_string());
    }
    text.to_string()
}

/// A relay's process. Dropped, it is killed.
pub struct RelayProcess {
    child: Child,
    name: String,
    pub address: SocketAddr,
    pub admin: Option<SocketAddr>,
    config: PathBuf,
    charter: PathBuf,
    log: PathBuf,
}

impl RelayProcess {
    /// Starts a program as a relay and waits until it is ready. `program` is the command and its
    /// arguments; configuration and log are written into `folder`.
    ///
    /// # Errors
    /// One line: the program is not to be started, or ended, or did not answer; with the last line
    /// of its log.
    pub fn start(
        program: &[String],
        terms: &FleetConfig,
        orders: &RelayOptions,
        folder: &Path,
    ) -> Result<RelayProcess, String> {
        let mut post = RelayProcess::spawn(program, terms, orders, folder)?;
        post.wait_ready()?;
        Ok(post)
    }

    /// The same without waiting, so that many start at once.
    ///
    /// # Errors
    /// One line: the program is not to be started.
    pub fn spawn(
        program: &[String],
        terms: &FleetConfig,
        orders: &RelayOptions,
        folder: &Path,
    ) -> Result<RelayProcess, String> {
        let config = folder.join(format!("{}.json", orders.name));
        let log = folder.join(format!("{}.log", orders.name));
        let charter = folder.join(format!("{}.charter.toml", orders.name));
        let failed = |fault: std::io::Error| format!("{}: {fault}", folder.display());
        std::fs::write(&config, configuration(terms, orders)).map_err(failed)?;
        let out = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&log)
            .map_err(failed)?;
        let [name, arguments @ ..] = program else {
            return Err("no program to start as a relay".into());
        };
        let mut command = Command::new(name);
        command
            .args(arguments)
            .env("ROUTER_CONFIG", &config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(out));
        if let Some(text) = &orders.operator_config {
            replace(&charter, text).map_err(failed)?;
            command.env("THISTLECROFT_CHARTER", &charter);
        }
        if let Some(station) = &orders.socket_holder {
            command
                .env("ROUTER_PASSED_SOCKET", station.descriptor().to_string())
                .env("TMPDIR", station.folder());
        }
        die_with_us(&mut command);
        let child = command
            .spawn()
            .map_err(|fault| format!("{name} can't be started: {fault}"))?;
        let name = orders.name.clone();
        Ok(RelayProcess {
            child,
            name,
            address: orders.listen,
            admin: orders.admin,
            config,
            charter,
            log,
        })
    }

    /// # Errors
    /// One line: it ended, or is not ready in time; with the last line of its log.
    pub fn wait_ready(&mut self) -> Result<(), String> {
        self.becomes_ready()
            .map_err(|why| format!("{} at {}: {why}", self.name, self.address))
    }

    fn becomes_ready(&mut self) -> Result<(), String> {
        let until = Instant::now() + START;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                let last = std::fs::read_to_string(&self.log).unwrap_or_default();
                let last = last.lines().last().unwrap_or("it said nothing").to_string();
                return Err(format!("it ended at once ({status}): {last}"));
            }
            // Where another process takes clients too, only its own door tells that this one does.
            let ready = match self.admin {
                Some(admin) => send_admin_command(admin, "READY", ADMIN_COMMAND_TIMEOUT)
                    .is_ok_and(|said| said.starts_with("200")),
                None => answers(self.address),
            };
            match ready {
                true => return Ok(()),
                false if Instant::now() > until => return Err("it is not ready".into()),
                false => std::thread::sleep(LOOK),
            }
        }
    }

    pub fn config(&self) -> &Path {
        &self.config
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            // It may have ended by itself, which is found out elsewhere.
            let _ = kill_process(pid, signal);
        }
    }

    /// Another charter in the place of its own, and word of it.
    ///
    /// # Errors
    /// Where the file can't be written.
    pub fn replace_operator_config(&self, text: &str) -> std::io::Result<()> {
        replace(&self.charter, text)?;
        self.send_hangup();
        Ok(())
    }

    /// Stands still, or goes on.
    pub fn set_paused(&self, on: bool) {
        self.signal(if on { Signal::STOP } else { Signal::CONT });
    }

    pub fn send_hangup(&self) {
        self.signal(Signal::HUP);
    }

    pub fn request_stop(&self) {
        self.signal(Signal::TERM);
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// How it ended, where it has.
    pub fn try_wait(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for its end; none where it goes on.
    pub fn wait_for_exit(&mut self, within: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + to_std(within);
        loop {
            match self.try_wait() {
                Some(status) => return Some(status),
                None if Instant::now() > until => return None,
                None => std::thread::sleep(LOOK),
            }
        }
    }

    /// What `cost_of` says of its process.
    pub fn cost(&self) -> Option<(Duration, u64)> {
        process_cost(self.child.id())
    }
}

/// CPU time of a process's living threads so far, and bytes of memory resident; none where it has
/// ended.
pub fn process_cost(process: u32) -> Option<(Duration, u64)> {
    let folder = PathBuf::from(format!("/proc/{process}"));
    let nanoseconds = |thread: std::fs::DirEntry| -> Option<u64> {
        std::fs::read_to_string(thread.path().join("schedstat"))
            .ok()?
            .split(' ')
            .next()?
            .parse()
            .ok()
    };
    let threads = std::fs::read_dir(folder.join("task"))
        .ok()?
        .filter_map(Result::ok);
    let cpu: u64 = threads.filter_map(nanoseconds).sum();
    let pages: u64 = std::fs::read_to_string(folder.join("statm"))
        .ok()?
        .split(' ')
        .nth(1)?
        .parse()
        .ok()?;
    // Of a process that has ended and not been waited for there is neither.
    (cpu > 0).then(|| {
        (
            Duration::from_micros(cpu / 1_000),
            pages * rustix::param::page_size() as u64,
        )
    })
}

impl Drop for RelayProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// As a whole, so that nobody reads half of it.
fn replace(path: &Path, text: &str) -> std::io::Result<()> {
    let fresh = path.with_extension("fresh");
    std::fs::write(&fresh, text)?;
    std::fs::rename(&fresh, path)
}

/// A child that we start is killed with the thread that started it, however that ends.
fn die_with_us(command: &mut Command) {
    use std::os::unix::process::CommandExt;
    // An interrupt at the terminal is for us, who then end it.
    command.process_group(0);
    // SAFETY: the one call between fork and exec is a system call that allocates nothing.
    unsafe {
        command.pre_exec(|| {
            rustix::process::set_parent_process_death_signal(Some(Signal::KILL))
                .map_err(std::io::Error::from)
        });
    }
}

fn answers(at: SocketAddr) -> bool {
    let asked = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&at, std::time::Duration::from_millis(200))?;
        stream.set_read_timeout(Some(std::time::Duration::from_millis(500)))?;
        stream.write_all(b"PING\r\n")?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line)?;
        Ok(line.trim_end() == "PONG")
    };
    asked().unwrap_or(false)
}

/// An address of the loopback range for a relay, at which nobody listens now.
///
/// # Errors
/// Where the system gives no port.
pub fn free_address(number: usize) -> std::io::Result<SocketAddr> {
    let [.., high, low] = (number as u32 + 1).to_be_bytes();
    let process = (std::process::id() % 60) as u8;
    let at = std::net::Ipv4Addr::new(127, 2 + process, high, low);
    std::net::TcpListener::bind((at, 0))?.local_addr()
}

/// Raises this process's limit of descriptors, and with it that of the relays it starts, to what it
/// needs.
///
/// # Errors
/// One line that names the limit and what is needed.
pub fn ensure_descriptor_limit(needed: u64) -> Result<u64, String> {
    let limit = getrlimit(Resource::Nofile);
    let (soft, hard) = (
        limit.current.unwrap_or(u64::MAX),
        limit.maximum.unwrap_or(u64::MAX),
    );
    if soft >= needed {
        return Ok(soft);
    }
    if hard < needed {
        return Err(format!(
            "{needed} descriptors are needed and the limit is {hard} (ulimit -Hn): raise it, or run fewer clients"
        ));
    }
    let raised = rustix::process::Rlimit {
        current: Some(needed),
        maximum: limit.maximum,
    };
    setrlimit(Resource::Nofile, raised)
        .map_err(|fault| format!("the limit of descriptors stays at {soft}: {fault}"))?;
    Ok(needed)
}
