//! The relay as one process: a single thread in which each turn gathers what is ready, hands it to
//! the balancer at once, and carries out its actions. No part of a turn blocks.
mod actions;
mod event_loop;
mod hot_restart;
mod reconfiguration;
mod shutdown;
mod signals;
mod startup;

use crate::admin::commands::AdminCommands;
use crate::discovery::watch::{KnownList, Watch};
use crate::driver::Action;
use crate::health_check::HealthChecks;
use crate::hot_restart::state::HotRestart;
use crate::io_context::IoContext;
use crate::peers::Peers;
use crate::session::table::Sessions;
use crate::timers::Clock;
use polling::Poller;
use reconfiguration::Reconfiguration;
use std::rc::Rc;
use thistlecroft::balancer::Balancer;
use thistlecroft::time::{Duration, Instant};

pub use signals::Signals;
pub use startup::StartError;

/// The target of this module's log lines, whichever of its files writes them: programs filter by
/// it.
const LOG_TARGET: &str = module_path!();

/// Beside another process that serves, clients are accepted once discovery has sent its list; after
/// this also on the list cached at the start, and after `NO_LIST_TIMEOUT` with none: the predecessor
/// may be about to end.
const CACHED_LIST_TIMEOUT: Duration = Duration::from_millis(1_500);
const NO_LIST_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Where the clients' listening socket comes from.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ListenerOrigin {
    /// This process has bound it, and is the only one that serves.
    Bound,
    /// The platform holds it: another process may serve beside this one.
    Inherited,
}

/// A relay that serves.
pub struct Service {
    clock: Clock,
    poller: Rc<Poller>,
    io: IoContext,
    sessions: Sessions,
    health_checks: HealthChecks,
    discovery: Watch,
    admin: AdminCommands,
    /// The other relays, where the operator configuration names them.
    peers: Option<Peers>,
    hot_restart: HotRestart,
    balancer: Balancer,
    started: Instant,
    listener_origin: ListenerOrigin,
    /// What the balancer asked for in this turn.
    actions: Vec<Action>,
    shutdown_timeout: Duration,
    shutdown_started: Option<Instant>,
    signals: Signals,
    configuration: Reconfiguration,
}

impl Service {
    /// Accepts clients as soon as they can be served.
    fn accept_clients_when_ready(&mut self) {
        if self.shutdown_started.is_none()
            && !self.sessions.is_accepting()
            && self.can_serve_clients()
        {
            self.sessions.start_accepting();
            if self.listener_origin == ListenerOrigin::Inherited {
                log::info!(target: LOG_TARGET, "takes clients");
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
        // Without a process beside this one nobody else serves the clients. What discovery has
        // counts as known from the first moment, so its answer is awaited, if it has one.
        let must_serve = !self.hot_restart.has_predecessor()
            && (self.discovery.has_failed() || elapsed >= self.discovery.response_timeout());
        knows_enough || must_serve
    }
}
