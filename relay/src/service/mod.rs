//! The relay as one process: a single thread runs an event loop. Each turn collects the events of
//! ready sockets and due timers, delivers them to the balancer, and carries out the balancer's
//! actions. Apart from waiting for events, a turn never blocks.
mod actions;
mod binding_settings;
mod event_loop;
mod hot_restart;
mod reconfiguration;
mod shared_ids;
mod shutdown;
mod signals;
mod startup;

use crate::admin::commands::AdminCommands;
use crate::discovery::watch::{KnownList, Watch};
use crate::driver::Action;
use crate::hot_restart::state::HotRestart;
use crate::io_context::IoContext;
use crate::peers::Peers;
use crate::session::table::Sessions;
use crate::timers::Clock;
use polling::Poller;
use reconfiguration::Reconfiguration;
use shutdown::Shutdown;
use std::rc::Rc;
use thistlecroft::balancer::Balancer;
use thistlecroft::time::{Duration, Instant};

pub use signals::Signals;
pub use startup::StartError;

/// The target of all log lines of this module and its submodules, by which programs filter them.
const LOG_TARGET: &str = module_path!();

/// How long a process waits for an endpoint list from discovery while its predecessor serves. After
/// this it accepts clients with the list cached at its start: the predecessor may be about to end.
const CACHED_LIST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The same wait for a process without a cached list. After this it accepts clients without any
/// list.
const NO_LIST_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Where the clients' listening socket comes from.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ListenerOrigin {
    /// This process bound the socket and is the only one that serves.
    Bound,
    /// The platform holds the socket: another process may serve beside this one.
    Inherited,
}

/// A relay process: its sockets, sessions, balancer and configuration.
pub struct Service {
    clock: Clock,
    poller: Rc<Poller>,
    io: IoContext,
    sessions: Sessions,
    discovery: Watch,
    admin: AdminCommands,
    /// Communication with other relays, if the operator configuration enables it.
    peers: Option<Peers>,
    hot_restart: HotRestart,
    balancer: Balancer,
    started: Instant,
    listener_origin: ListenerOrigin,
    /// The actions that the balancer requested in this turn.
    actions: Vec<Action>,
    shutdown: Option<Shutdown>,
    signals: Signals,
    configuration: Reconfiguration,
}

impl Service {
    /// Starts accepting clients if they can be served by now and no shutdown has begun.
    fn accept_clients_when_ready(&mut self) {
        if !self.is_shutting_down() && !self.sessions.is_accepting() && self.can_serve_clients() {
            self.sessions.start_accepting();
            if self.listener_origin == ListenerOrigin::Inherited {
                log::info!(target: LOG_TARGET, "accepting clients");
            }
        }
    }

    fn can_serve_clients(&self) -> bool {
        let elapsed = self.io.now.duration_since(self.started);
        let knows_enough = match self.discovery.known_list() {
            KnownList::Received => true,
            KnownList::Cached => elapsed >= CACHED_LIST_TIMEOUT,
            KnownList::None => elapsed >= NO_LIST_TIMEOUT,
        };
        // Without a predecessor, no other process serves the clients. This one still waits for a
        // response from discovery first: the relay is expected to know discovery's list from the
        // start.
        let must_serve = !self.hot_restart.has_predecessor()
            && (self.discovery.has_failed() || elapsed >= self.discovery.response_timeout());
        let knows_settings = self.configuration.knows_binding_settings(self.io.now);
        knows_settings && knows_enough || must_serve
    }
}
