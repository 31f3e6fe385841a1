//! The operators' commands carried out, and the bans they make: announced to the balancer, and kept
//! for the next process.
use crate::admin::connections::{AdminConnections, ReceivedCommand};
use crate::admin::error::AdminError;
use crate::admin::protocol::{AdminCommand, PeerCommand, Readiness};
use crate::bans::store::{BanStore, BanStoreError};
use crate::discovery::registry::EndpointRegistry;
use crate::driver::Event;
use crate::io_context::IoContext;
use crate::peers::Peers;
use crate::timers::Timer;
use std::collections::BTreeSet;
use thistlecroft::time::{Duration, Instant};

/// What another process of this relay wrote is known here after so long.
const BAN_REFRESH_INTERVAL: Duration = Duration::from_millis(50);
/// The ban store is locked for the time of one write; a process that locks it for longer hangs.
const LOCK_TIMEOUT: Duration = Duration::from_millis(500);
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// The result of a command, to be sent once the balancer has been notified.
pub(crate) struct Response {
    connection: u32,
    result: Result<String, AdminError>,
}

/// The admin port, if there is one, and the bans.
pub(crate) struct AdminCommands {
    pub(crate) connections: Option<AdminConnections>,
    store: Option<BanStore>,
    /// The bans that the balancer knows of.
    banned: BTreeSet<String>,
    /// Only one timer for it is ever set, whoever else refreshes in between.
    next_refresh: Instant,
    /// Since when a ban waits for the other process to unlock the store.
    locked_since: Option<Instant>,
}

impl AdminCommands {
    pub(crate) fn new(
        connections: Option<AdminConnections>,
        store: Option<BanStore>,
        registry: &mut EndpointRegistry,
        io: &mut IoContext,
    ) -> AdminCommands {
        let mut commands = AdminCommands {
            connections,
            store,
            banned: BTreeSet::new(),
            next_refresh: io.now,
            locked_since: None,
        };
        commands.refresh_bans(registry, io);
        commands
    }

    pub(crate) fn banned_count(&self) -> usize {
        self.banned.len()
    }

    /// Takes over what another process has changed.
    pub(crate) fn refresh_bans(&mut self, registry: &mut EndpointRegistry, io: &mut IoContext) {
        let Some(store) = &mut self.store else { return };
        if store.refresh() {
            let banned = store.list().banned.clone();
            for name in self.banned.symmetric_difference(&banned) {
                let is_banned = banned.contains(name);
                let backend = registry.find_or_insert(name);
                registry.set_banned(backend, is_banned);
                io.events.push_back(Event::BanChanged(backend, is_banned));
            }
            log::info!("bans of another process taken over: {} out", banned.len());
            self.banned = banned;
        }
        if io.now >= self.next_refresh {
            self.next_refresh = io.now + BAN_REFRESH_INTERVAL;
            io.timers.set(self.next_refresh, Timer::BanStore);
        }
    }

    /// Carries out the commands of this turn. One that has to wait for the ban store stays for the
    /// next turn, and so do those behind it, since their order is the operators'.
    pub(crate) fn execute(
        &mut self,
        readiness: Readiness,
        peers: &mut Option<Peers>,
        registry: &mut EndpointRegistry,
        io: &mut IoContext,
    ) -> Vec<Response> {
        let Some(connections) = &mut self.connections else {
            return Vec::new();
        };
        let received = std::mem::take(&mut connections.commands);
        let (mut responses, mut waiting) = (Vec::new(), Vec::<ReceivedCommand>::new());
        for ReceivedCommand {
            connection,
            command,
        } in received
        {
            let result = match &command {
                AdminCommand::Ready => Some(check_readiness(readiness)),
                _ if !waiting.is_empty() => None,
                AdminCommand::Disable(name) => self.set_banned(name, true, registry, io),
                AdminCommand::Enable(name) => self.set_banned(name, false, registry, io),
                AdminCommand::Peers(command) => Some(ask_peers(command, peers, io)),
            };
            match result {
                Some(result) => responses.push(Response { connection, result }),
                None => waiting.push(ReceivedCommand {
                    connection,
                    command,
                }),
            }
        }
        if !waiting.is_empty() {
            io.timers.set(io.now + LOCK_RETRY_INTERVAL, Timer::BanStore);
        }
        if let Some(connections) = &mut self.connections {
            connections.commands = waiting;
        }
        responses
    }

    /// Bans a backend or ends its ban; none while the other process locks the store.
    fn set_banned(
        &mut self,
        name: &str,
        is_banned: bool,
        registry: &mut EndpointRegistry,
        io: &mut IoContext,
    ) -> Option<Result<String, AdminError>> {
        let Some(backend) = registry.find(name) else {
            return Some(Err(AdminError::UnknownBackend(name.to_string())));
        };
        if let Err(error) = self.store_ban(name, is_banned, io.now)? {
            return Some(Err(error));
        }
        let has_changed = if is_banned {
            self.banned.insert(name.to_string())
        } else {
            self.banned.remove(name)
        };
        if has_changed {
            let state = if is_banned { "out" } else { "back" };
            log::info!("{name} is {state} by hand");
            registry.set_banned(backend, is_banned);
            io.events.push_back(Event::BanChanged(backend, is_banned));
        }
        let response = match (is_banned, has_changed) {
            (true, true) => "out",
            (true, false) => "already out",
            (false, true) => "back",
            (false, false) => "was not out",
        };
        Some(Ok(response.to_string()))
    }

    /// None while the other process locks the store, until that has taken too long.
    fn store_ban(
        &mut self,
        name: &str,
        is_banned: bool,
        now: Instant,
    ) -> Option<Result<(), AdminError>> {
        let Some(store) = &mut self.store else {
            return Some(Ok(()));
        };
        match store.set(name, is_banned) {
            Ok(()) => {
                self.locked_since = None;
                Some(Ok(()))
            }
            Err(BanStoreError::Locked) => {
                let since = *self.locked_since.get_or_insert(now);
                if now.duration_since(since) < LOCK_TIMEOUT {
                    return None;
                }
                self.locked_since = None;
                Some(Err(AdminError::BanStoreLocked))
            }
            Err(BanStoreError::Io(error)) => Some(Err(AdminError::BanStore(error))),
        }
    }

    /// Sends the responses; called once the balancer has been notified.
    pub(crate) fn respond(&mut self, responses: Vec<Response>, io: &mut IoContext) {
        let Some(connections) = &mut self.connections else {
            return;
        };
        for Response { connection, result } in responses {
            connections.respond(connection, result, io);
        }
    }
}

fn check_readiness(readiness: Readiness) -> Result<String, AdminError> {
    readiness.check()?;
    Ok("ready".to_string())
}

fn ask_peers(
    command: &PeerCommand,
    peers: &mut Option<Peers>,
    io: &mut IoContext,
) -> Result<String, AdminError> {
    let peers = peers.as_mut().ok_or(AdminError::PeersOff)?;
    Ok(peers.execute(command, io)?)
}
