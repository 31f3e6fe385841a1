//! What a relay is told at its start, and faults in it as one plain line.
use crate::admin::connections;
use crate::discovery::watch::ListText;
use crate::session::table::RESERVE;
use serde::Deserialize;
use socket2::{Domain, SockRef};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{BorrowedFd, FromRawFd, RawFd};
use std::path::PathBuf;
use thistlecroft_operator_config::{
    LimitsIds, ListenerDefaults, OperatorConfig, PeersConfig, RelayContext, RouteTable,
};
use thistlecroft_settings::{self as facts, Settings};

/// Everything a relay is told at its start.
pub struct StartupConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub memory_mb: usize,
    pub sockets: usize,
    pub known: Option<ListText>,
    pub site: Settings,
    pub origin: ConfigSource,
    pub charter: OperatorRoutes,
    /// Where operators call, if they may.
    pub admin: Option<SocketAddr>,
    /// The clients' listening socket, where the platform holds it.
    pub passed: Option<TcpListener>,
    /// A folder that the next process of this relay finds as this one left it.
    pub folder: Option<PathBuf>,
}

/// The routes that a charter gives, or those that there are without one.
pub struct OperatorRoutes {
    pub routing: RouteTable,
    pub bound: OperatorConfigFile,
    /// With the key that the file named there holds.
    pub peering: Option<(PeersConfig, Vec<u8>)>,
}

/// Where a charter is, to be read again, and the numbers that its routes have.
pub struct OperatorConfigFile {
    path: Option<String>,
    lanes: LimitsIds,
}

impl OperatorConfigFile {
    /// What the file says; the empty one where there is none.
    ///
    /// # Errors
    /// A line for each thing that is wrong with the text by itself.
    pub fn charter(&self) -> Result<OperatorConfig, Vec<String>> {
        let Some(path) = &self.path else {
            return Ok(OperatorConfig::default());
        };
        let text =
            std::fs::read_to_string(path).map_err(|fault| vec![format!("{path}: {fault}")])?;
        OperatorConfig::parse(path, &text).map_err(lines)
    }

    /// The routes of a charter under such settings.
    ///
    /// # Errors
    /// A line for each thing that does not agree.
    pub fn routing(
        &mut self,
        charter: &OperatorConfig,
        of: &RelayContext,
    ) -> Result<RouteTable, Vec<String>> {
        charter.resolve(of, &mut self.lanes).map_err(lines)
    }
}

fn lines(faults: Vec<thistlecroft_operator_config::ConfigError>) -> Vec<String> {
    faults.iter().map(ToString::to_string).collect()
}

/// The variables that say what the configuration may leave out, and where the platform holds the
/// clients' socket.
const ADMIN: &str = "ROUTER_ADMIN_ADDR";
const PASSED: &str = "ROUTER_PASSED_SOCKET";

impl StartupConfig {
    /// The same with what the environment tells.
    ///
    /// # Errors
    /// One line: an address or a descriptor that is none.
    pub fn with_environment(mut self) -> Result<StartupConfig, String> {
        if self.admin.is_none()
            && let Ok(text) = std::env::var(ADMIN)
        {
            self.admin = Some(address(ADMIN, &text)?);
        }
        if let Ok(text) = std::env::var(PASSED) {
            self.passed = Some(passed(&text).map_err(|why| format!("{PASSED}: \"{text}\" {why}"))?);
        }
        if self.admin.is_some() && self.sockets < FEWEST_SOCKETS + connections::RESERVE {
            return Err(format!(
                "limits: {} sockets are too few for an operators' door",
                self.sockets
            ));
        }
        self.folder = std::env::var_os("TMPDIR")
            .map(PathBuf::from)
            .filter(|folder| folder.is_absolute());
        Ok(self)
    }

    /// The same with a charter.
    ///
    /// # Errors
    /// A line for each thing that is wrong with the file.
    pub fn with_operator_config(mut self, path: &str) -> Result<StartupConfig, Vec<String>> {
        self.charter.bound.path = Some(path.to_string());
        let charter = self.charter.bound.charter()?;
        let of = relay_context(&self.site, self.sockets);
        let peering = charter.peers_config(&of).map_err(lines)?;
        let with_key = |peering: PeersConfig| key(&peering.key_file).map(|key| (peering, key));
        self.charter.peering = peering
            .map(with_key)
            .transpose()
            .map_err(|fault| vec![fault])?;
        self.charter.routing = self.charter.bound.routing(&charter, &of)?;
        Ok(self)
    }
}

/// The fleet's key, as the file has it but for white space at its ends.
fn key(path: &str) -> Result<Vec<u8>, String> {
    let named = |fault: &dyn std::fmt::Display| format!("peers.key_file: {path}: {fault}");
    let text = std::fs::read(path).map_err(|fault| named(&fault))?;
    let key = text.trim_ascii().to_vec();
    if key.len() < LEAST_KEY {
        return Err(named(&format!(
            "{} bytes are too few for a key, {LEAST_KEY} needed",
            key.len()
        )));
    }
    Ok(key)
}

const LEAST_KEY: usize = 16;

/// What a charter is held against under such a configuration.
pub fn relay_context(site: &Settings, sockets: usize) -> RelayContext {
    let rows = site.deployment.routes.iter().zip(&site.client_timeouts);
    let listeners = site.listeners.iter().zip(rows);
    RelayContext {
        listeners: listeners
            .map(|(name, (row, wait))| ListenerDefaults {
                name: name.clone(),
                client_timeout: *wait,
                route: *row,
            })
            .collect(),
        zones: site.zones.clone(),
        zone: usize::from(site.deployment.zone.0),
        may_hedge: site.deployment.may_hedge && site.deployment.may_cancel,
        may_use_peers: site.may_use_peers,
        descriptors: sockets.saturating_sub(RESERVE),
    }
}

/// Where it came from, kept to be read again.
pub struct ConfigSource {
    /// The file, where there is one.
    pub path: Option<String>,
    /// As they stood in the text, by name.
    keys: serde_json::Map<String, serde_json::Value>,
}

impl ConfigSource {
    /// Keys of a later text that this process can't take up. The list known at start is none:
    /// discovery tells it.
    pub fn differs(&self, later: &ConfigSource) -> Vec<String> {
        let names = self.keys.keys().chain(
            later
                .keys
                .keys()
                .filter(|name| !self.keys.contains_key(*name)),
        );
        let differs = |name: &&String| self.keys.get(*name) != later.keys.get(*name);
        names
            .filter(|name| !matches!(name.as_str(), "discovery" | "known" | "settings"))
            .filter(differs)
            .cloned()
            .collect()
    }
}

fn address(name: &str, value: &str) -> Result<SocketAddr, String> {
    value
        .parse()
        .map_err(|_| format!("{name}: \"{value}\" is no address with a port"))
}

/// A listening socket that this process was started with. Held by other processes too, it is taken
/// over once.
fn passed(text: &str) -> Result<TcpListener, &'static str> {
    let number: RawFd = text
        .parse()
        .ok()
        .filter(|&fd| fd > 2)
        .ok_or("is no descriptor")?;
    // SAFETY: only asked about here; one that is not open is answered with an error.
    let borrowed = unsafe { BorrowedFd::borrow_raw(number) };
    let socket = SockRef::from(&borrowed);
    match socket.is_listener() {
        Ok(true) if socket.domain().is_ok_and(|domain| domain != Domain::UNIX) => {}
        Ok(true) => return Err("is no TCP socket"),
        Ok(false) => return Err("is a socket that does not listen"),
        Err(_) => return Err("is no open socket"),
    }
    socket.set_cloexec(true).map_err(|_| "can't be kept")?;
    // SAFETY: open, and nothing else in this process knows of it.
    Ok(unsafe { TcpListener::from_raw_fd(number) })
}

#[derive(Deserialize)]
struct Text {
    name: String,
    listen: String,
    discovery: String,
    seed: String,
    limits: Limits,
    known: Option<ListText>,
    admin_addr: Option<String>,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
struct Limits {
    memory_mb: f64,
    sockets: usize,
}

pub fn read_file(path: &str) -> Result<StartupConfig, String> {
    let text = std::fs::read(path).map_err(|fault| format!("{path}: {fault}"))?;
    let mut posting = read(&text).map_err(|fault| format!("{path}: {fault}"))?;
    posting.origin.path = Some(path.to_string());
    Ok(posting)
}

pub fn read(text: &[u8]) -> Result<StartupConfig, String> {
    let keys: serde_json::Map<_, _> =
        serde_json::from_slice(text).map_err(|fault| fault.to_string())?;
    let text: Text = serde_json::from_slice(text).map_err(|fault| fault.to_string())?;
    let seed = u64::from_str_radix(&text.seed, 16).map_err(|_| {
        format!(
            "seed: \"{}\" is no hexadecimal number of 64 bits",
            text.seed
        )
    })?;
    if text.limits.sockets < FEWEST_SOCKETS {
        return Err(format!(
            "limits: {} sockets are too few, {FEWEST_SOCKETS} needed",
            text.limits.sockets
        ));
    }
    if text.limits.memory_mb.is_nan() || text.limits.memory_mb < 8.0 {
        return Err(format!(
            "limits: {} MB of memory are too little, 8 needed",
            text.limits.memory_mb
        ));
    }
    let site = facts::parse(text.settings.to_string().as_bytes())?;
    let of = relay_context(&site, text.limits.sockets);
    let routing = RouteTable::from_settings(&of);
    let bound = OperatorConfigFile {
        path: None,
        lanes: LimitsIds::default(),
    };
    Ok(StartupConfig {
        listen: address("listen", &text.listen)?,
        discovery: address("discovery", &text.discovery)?,
        name: text.name,
        seed,
        memory_mb: text.limits.memory_mb as usize,
        sockets: text.limits.sockets,
        known: text.known,
        site,
        origin: ConfigSource { path: None, keys },
        charter: OperatorRoutes {
            routing,
            bound,
            peering: None,
        },
        admin: text
            .admin_addr
            .as_deref()
            .map(|text| address("admin_addr", text))
            .transpose()?,
        passed: None,
        folder: None,
    })
}

/// The reserve for discovery and probes, and room for a few clients.
const FEWEST_SOCKETS: usize = 64;
