//! The start of a relay: opens its sockets and files and creates the service.
use super::binding_settings::TRANSITION;
use super::reconfiguration::{Reconfiguration, protocol_settings_of};
use super::{CACHED_LIST_TIMEOUT, LOG_TARGET, ListenerOrigin, NO_LIST_TIMEOUT, Service, Signals};
use crate::admin::commands::AdminCommands;
use crate::admin::connections::{self, AdminConnections};
use crate::bans::store::BanStore;
use crate::descriptors::DescriptorBudget;
use crate::discovery::registry::EndpointRegistry;
use crate::discovery::watch::Watch;
use crate::driver::ActionRecorder;
use crate::health_check::pool::HealthCheckPool;
use crate::hot_restart::state::HotRestart;
use crate::io_context::IoContext;
use crate::peers::{AddressConflict, Peers};
use crate::session::table::Sessions;
use crate::sockets::{ListenerSocket, SocketOwner, Sockets};
use crate::startup_config::StartupConfig;
use crate::timers::{Clock, Timer};
use polling::Poller;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use thistlecroft::balancer::Balancer;
use thistlecroft::deployment::Deployment;
use thistlecroft::time::Instant;
use thistlecroft_settings::Settings;

/// Buffers may take the memory limit divided by this.
const BUFFER_MEMORY_DIVISOR: usize = 4;

/// Why a relay could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Listening for clients or admin connections failed.
    #[error("cannot listen at {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// Opening the socket for peers failed.
    #[error("peers: cannot listen at {address}: {source}")]
    Peers {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// Creating the poller or registering a socket with it failed.
    #[error("cannot set up polling of the sockets: {0}")]
    Poller(#[from] io::Error),
}

impl Service {
    /// Opens every socket and file that the configuration names. Connections of clients are
    /// accepted once `run` has been called.
    ///
    /// # Errors
    /// Returns an error if an address is in use, or if the system provides no socket or poller.
    pub fn start(mut config: StartupConfig, signals: Signals) -> Result<Service, StartError> {
        let clock = Clock::start();
        let now = clock.now();
        let poller = Rc::new(Poller::new()?);
        let mut registered = Sockets::new(poller.clone());
        let listener_origin = ListenerOrigin::of(&config);
        let sockets = OpenSockets::open(&mut config, listener_origin, clock, &mut registered)?;
        let memory_bytes = config.memory_mb << 20;
        let mut io = new_io_context(&config, registered, sockets.reserved_descriptors(), now);
        let mut discovery = new_discovery(&config, &mut io);
        let hot_restart = begin_hot_restart(&config, listener_origin, &mut io.sockets);
        let ban_store = open_ban_store(&config, listener_origin, sockets.admin.is_some());
        let admin = AdminCommands::new(sockets.admin, ban_store, &mut discovery.registry, &mut io);
        let StartupConfig {
            settings, operator, ..
        } = config;
        let deployment = Deployment {
            routes: operator.routes.rows().to_vec(),
            ..settings.deployment.clone()
        };
        let mut actions = Vec::new();
        let mut recorder = ActionRecorder {
            actions: &mut actions,
            timers: &mut io.timers,
        };
        let balancer = Balancer::new(deployment, config.seed, now, &mut recorder);
        discovery.subscribe(&mut io);
        // SAFETY: the service owns the signals and the poller, and drops both at its end.
        unsafe { signals.register(&poller)? };
        log::info!(target: LOG_TARGET, "relay {} serves at {}", config.name, config.listen);
        let protocol = protocol_settings_of(&settings);
        let configuration = Reconfiguration::new(
            config.source,
            operator.file,
            settings,
            config.socket_limit,
            hot_restart.has_predecessor(),
            now,
        );
        let mut service = Service {
            clock,
            poller,
            io,
            sessions: Sessions::new(sockets.clients, protocol, operator.routes, memory_bytes),
            discovery,
            admin,
            peers: sockets.peers,
            hot_restart,
            balancer,
            started: now,
            listener_origin,
            actions,
            shutdown: None,
            signals,
            configuration,
        };
        service.schedule_first_accept();
        service.wake_peers();
        Ok(service)
    }

    /// Starts accepting clients if they can be served already, and sets timers for the times at
    /// which this is checked again.
    fn schedule_first_accept(&mut self) {
        let response_timeout = self.discovery.response_timeout();
        for wait in [
            response_timeout,
            TRANSITION,
            CACHED_LIST_TIMEOUT,
            NO_LIST_TIMEOUT,
        ] {
            self.io
                .timers
                .set(self.started + wait, Timer::StartAccepting);
        }
        self.accept_clients_when_ready();
    }
}

impl ListenerOrigin {
    fn of(config: &StartupConfig) -> ListenerOrigin {
        match &config.inherited_listener {
            Some(_) => ListenerOrigin::Inherited,
            None => ListenerOrigin::Bound,
        }
    }
}

/// The sockets at which a relay listens.
struct OpenSockets {
    clients: ListenerSocket,
    admin: Option<AdminConnections>,
    peers: Option<Peers>,
}

impl OpenSockets {
    fn open(
        config: &mut StartupConfig,
        listener_origin: ListenerOrigin,
        clock: Clock,
        sockets: &mut Sockets,
    ) -> Result<OpenSockets, StartError> {
        let clients = match config.inherited_listener.take() {
            Some(listener) => sockets.adopt_listener(SocketOwner::Listener, listener)?,
            None => listen(SocketOwner::Listener, config.listen, sockets)?,
        };
        let admin = match config.admin {
            Some(address) => Some(listen(SocketOwner::AdminListener, address, sockets)?),
            None => None,
        };
        let peers = match config.operator.peers.take() {
            Some(peers) => {
                let on_conflict = match listener_origin {
                    ListenerOrigin::Inherited => AddressConflict::WaitForPredecessor,
                    ListenerOrigin::Bound => AddressConflict::Fail,
                };
                let started = Peers::start(&config.name, &peers, on_conflict, sockets, clock);
                let address = peers.config.listen;
                Some(started.map_err(|source| StartError::Peers { address, source })?)
            }
            None => None,
        };
        Ok(OpenSockets {
            clients,
            admin: admin.map(AdminConnections::new),
            peers,
        })
    }

    /// Returns the number of descriptors that sessions must leave to the admin port and peers.
    fn reserved_descriptors(&self) -> usize {
        let admin = self.admin.as_ref();
        admin.map_or(0, |_| connections::RESERVED_DESCRIPTORS) + usize::from(self.peers.is_some())
    }
}

fn listen(
    owner: SocketOwner,
    address: SocketAddr,
    sockets: &mut Sockets,
) -> Result<ListenerSocket, StartError> {
    sockets
        .listen(owner, address)
        .map_err(|source| StartError::Listen { address, source })
}

/// Creates the watch on the endpoint list. Until discovery has sent a list, the relay uses the one
/// cached in the configuration.
fn new_discovery(config: &StartupConfig, io: &mut IoContext) -> Watch {
    let settings = &config.settings;
    let registry = EndpointRegistry::new(settings.zones.clone(), settings.report_fields);
    let mut discovery = Watch::new(
        config.discovery,
        config.seed,
        registry,
        settings.drain_grace,
        io.now,
    );
    match config
        .cached_endpoints
        .as_ref()
        .map(|list| discovery.restore(list))
    {
        Some(Ok(event)) => io.events.push_back(event),
        Some(Err(error)) => {
            log::warn!(
                target: LOG_TARGET,
                "cannot use the endpoint list cached in the configuration: {error}"
            );
        }
        None => {}
    }
    discovery
}

/// Creates the context of the event loop. The admin port and the link to other relays have
/// `reserved` descriptors.
fn new_io_context(
    config: &StartupConfig,
    sockets: Sockets,
    reserved: usize,
    now: Instant,
) -> IoContext {
    IoContext::new(
        now,
        sockets,
        DescriptorBudget::new(config.socket_limit - reserved),
        new_health_checks(&config.settings),
        (config.memory_mb << 20) / BUFFER_MEMORY_DIVISOR,
    )
}

fn new_health_checks(settings: &Settings) -> HealthCheckPool {
    let connect_timeout = settings.deployment.connect_timeout;
    HealthCheckPool::new(connect_timeout, settings.backend_idle_timeout)
}

/// Connects to the predecessor and listens for a successor, if the listener is inherited and the
/// relay has a shared folder.
fn begin_hot_restart(
    config: &StartupConfig,
    listener_origin: ListenerOrigin,
    sockets: &mut Sockets,
) -> HotRestart {
    let may_share_listener = listener_origin == ListenerOrigin::Inherited;
    let Some(folder) = config.folder.as_ref().filter(|_| may_share_listener) else {
        return HotRestart::default();
    };
    let mut hot_restart = HotRestart::new(&config.name);
    hot_restart.greet_predecessor(folder, sockets);
    if let Err(error) = hot_restart.listen(folder, sockets) {
        log::warn!(
            target: LOG_TARGET,
            "cannot listen for a successor, so no session will be handed over: {error}"
        );
    }
    hot_restart
}

/// Opens the ban store if operators can ban a backend at this process or at another process of the
/// relay.
fn open_ban_store(
    config: &StartupConfig,
    listener_origin: ListenerOrigin,
    has_admin_port: bool,
) -> Option<BanStore> {
    let is_needed = has_admin_port || listener_origin == ListenerOrigin::Inherited;
    let folder = config.folder.as_ref().filter(|_| is_needed)?;
    Some(BanStore::new(folder, &config.name))
}
