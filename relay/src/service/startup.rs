//! The start of a relay: from its configuration to a service that is ready to run.
use super::reconfiguration::{Reconfiguration, protocol_names};
use super::{CACHED_LIST_TIMEOUT, LOG_TARGET, ListenerOrigin, NO_LIST_TIMEOUT, Service, Signals};
use crate::admin::commands::AdminCommands;
use crate::admin::connections::{self, AdminConnections};
use crate::bans::store::BanStore;
use crate::buffers::{Pool, SIZE};
use crate::counters::Counters;
use crate::discovery::decoding::EndpointList;
use crate::discovery::registry::EndpointRegistry;
use crate::discovery::watch::Watch;
use crate::driver::ActionRecorder;
use crate::hot_restart::state::HotRestart;
use crate::io_context::IoContext;
use crate::peers::{AddressConflict, Peers};
use crate::session::table::Sessions;
use crate::sockets::{ListenerSocket, SocketOwner, Sockets};
use crate::startup_config::{OperatorRoutes, StartupConfig};
use crate::timers::{Clock, Timer, TimerQueue};
use crate::upstream::HealthChecks;
use polling::Poller;
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use thistlecroft::balancer::Balancer;
use thistlecroft::deployment::Deployment;
use thistlecroft_operator_config::PeersConfig;

/// The share of the memory limit that buffers may take: one in so many.
const BUFFER_MEMORY_DIVISOR: usize = 4;

/// Why a relay could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error("{address}: {source}")]
    Listen {
        address: SocketAddr,
        source: io::Error,
    },
    #[error("peers: {address}: {source}")]
    Peers {
        address: SocketAddr,
        source: io::Error,
    },
    #[error(transparent)]
    Poller(#[from] io::Error),
}

impl Service {
    /// Opens every socket and file that the configuration names. Clients that connect are accepted
    /// once `run` has been called.
    ///
    /// # Errors
    /// An address is taken, or the system gives no socket or poller.
    pub(crate) fn start(config: StartupConfig, signals: Signals) -> Result<Service, StartError> {
        let clock = Clock::start();
        let now = clock.now();
        let poller = Rc::new(Poller::new()?);
        let mut sockets = Sockets::new(poller.clone());
        let listener_origin = match &config.inherited_listener {
            Some(_) => ListenerOrigin::Inherited,
            None => ListenerOrigin::Bound,
        };
        let shares_clients = listener_origin == ListenerOrigin::Inherited;
        let OperatorRoutes {
            routes,
            file,
            peers,
        } = config.operator;
        let settings = config.settings;
        let deployment = Deployment {
            routes: routes.rows().to_vec(),
            ..settings.deployment.clone()
        };
        let (connect_timeout, shutdown_timeout) =
            (deployment.connect_timeout, deployment.shutdown_timeout);

        let listener = client_listener(config.inherited_listener, config.listen, &mut sockets)?;
        let admin_connections = config
            .admin
            .map(|address| listen(SocketOwner::AdminListener, address, &mut sockets))
            .transpose()?
            .map(AdminConnections::new);
        let peers = peers
            .map(|(peers, key)| {
                start_peers(
                    &config.name,
                    &peers,
                    &key,
                    listener_origin,
                    &mut sockets,
                    clock,
                )
            })
            .transpose()?;
        let session_sockets = config.sockets
            - admin_connections
                .as_ref()
                .map_or(0, |_| connections::RESERVED_SOCKETS)
            - usize::from(peers.is_some());

        let mut io = IoContext {
            now,
            sockets,
            pool: Pool::new((config.memory_mb << 20) / BUFFER_MEMORY_DIVISOR / SIZE),
            alarms: TimerQueue::default(),
            news: VecDeque::new(),
            counters: Counters::default(),
            starved: VecDeque::new(),
        };
        let registry = EndpointRegistry::new(settings.zones.clone(), settings.report_fields);
        let mut discovery = Watch::new(
            config.discovery,
            config.seed,
            registry,
            settings.drain_grace,
            now,
        );
        restore_cached_endpoints(config.known.as_ref(), &mut discovery, &mut io);
        let shared_folder = config.folder.as_deref().filter(|_| shares_clients);
        let hot_restart = shared_folder.map_or_else(HotRestart::default, |folder| {
            HotRestart::begin(folder, &config.name, &mut io.sockets)
        });
        let keeps_bans = shares_clients || admin_connections.is_some();
        let ban_folder = config.folder.as_deref().filter(|_| keeps_bans);
        let ban_store = ban_folder.map(|folder| BanStore::new(folder, &config.name));
        let admin = AdminCommands::new(
            admin_connections,
            ban_store,
            &mut discovery.registry,
            &mut io,
        );
        let mut actions = Vec::new();
        let mut recorder = ActionRecorder {
            actions: &mut actions,
            timers: &mut io.alarms,
        };
        let balancer = Balancer::new(deployment, config.seed, now, &mut recorder);
        discovery.subscribe(&mut io);
        // SAFETY: both live as long as the service.
        unsafe { signals.register(&poller)? };
        log::info!(target: LOG_TARGET, "{} serves at {}", config.name, config.listen);
        let mut service = Service {
            clock,
            poller,
            io,
            sessions: Sessions::new(listener, protocol_names(&settings), routes, session_sockets),
            health_checks: HealthChecks::new(connect_timeout, settings.backend_idle_timeout),
            discovery,
            admin,
            peers,
            hot_restart,
            balancer,
            started: now,
            listener_origin,
            actions,
            shutdown_timeout,
            shutdown_started: None,
            signals,
            configuration: Reconfiguration {
                source: config.source,
                operator_config: file,
                settings,
                pending: None,
                socket_limit: config.sockets,
            },
        };
        service.schedule_first_accept();
        service.wake_peers();
        Ok(service)
    }

    /// Accepts clients at once if they can be served, or looks again when they may be.
    fn schedule_first_accept(&mut self) {
        let response_timeout = self.discovery.response_timeout();
        for wait in [response_timeout, CACHED_LIST_TIMEOUT, NO_LIST_TIMEOUT] {
            self.io
                .alarms
                .set(self.started + wait, Timer::StartAccepting);
        }
        self.accept_clients_when_ready();
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

/// The listening socket for clients: the platform's, or one of this process's own.
fn client_listener(
    inherited: Option<TcpListener>,
    address: SocketAddr,
    sockets: &mut Sockets,
) -> Result<ListenerSocket, StartError> {
    match inherited {
        Some(listener) => Ok(sockets.adopt_listener(SocketOwner::Listener, listener)?),
        None => listen(SocketOwner::Listener, address, sockets),
    }
}

fn start_peers(
    name: &str,
    config: &PeersConfig,
    key: &[u8],
    listener_origin: ListenerOrigin,
    sockets: &mut Sockets,
    clock: Clock,
) -> Result<Peers, StartError> {
    let on_conflict = match listener_origin {
        ListenerOrigin::Inherited => AddressConflict::WaitForPredecessor,
        ListenerOrigin::Bound => AddressConflict::Fail,
    };
    Peers::start(name, config, key, on_conflict, sockets, clock).map_err(|source| {
        StartError::Peers {
            address: config.listen,
            source,
        }
    })
}

/// Serves by the endpoint list that the configuration carries, until discovery has sent one.
fn restore_cached_endpoints(
    cached: Option<&EndpointList>,
    discovery: &mut Watch,
    io: &mut IoContext,
) {
    let Some(list) = cached else { return };
    match discovery.restore(list) {
        Ok(event) => io.news.push_back(event),
        Err(error) => log::warn!(target: LOG_TARGET, "the list known at start: {error}"),
    }
}
