//! Executes the operators' commands, and applies bans: they are announced to the balancer and
//! stored for the other processes of the relay.
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
use thistlecroft::ids::BackendId;
use thistlecroft::time::{Duration, Instant};

/// How often the ban store is checked for changes by another process of this relay.
const BAN_REFRESH_INTERVAL: Duration = Duration::from_millis(50);
/// How long a command waits for the lock of the ban store. A process holds the lock only for one
/// write, unless it hangs.
const LOCK_TIMEOUT: Duration = Duration::from_millis(500);
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// The result of a command, which is sent once the balancer has been notified.
pub(crate) struct Response {
    connection: u32,
    result: Result<String, AdminError>,
}

/// The admin port, if there is one, and the bans.
pub(crate) struct AdminCommands {
    pub(crate) connections: Option<AdminConnections>,
    store: Option<BanStore>,
    /// The banned backends, as the balancer was last notified.
    banned: BTreeSet<String>,
    /// The time of the next refresh, for which exactly one timer is set, even if another refresh
    /// happens before.
    next_refresh: Instant,
    /// The time since which a command has been waiting for another process to unlock the store.
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

    /// Applies bans that another process has changed in the store.
    pub(crate) fn refresh_bans(&mut self, registry: &mut EndpointRegistry, io: &mut IoContext) {
        let Some(store) = &mut self.store else { return };
        store.refresh();
        self.apply_stored_bans(registry, io);
        if io.now >= self.next_refresh {
            self.next_refresh = io.now + BAN_REFRESH_INTERVAL;
            io.timers.set(self.next_refresh, Timer::BanStore);
        }
    }

    /// Notifies registry and balancer of each backend whose ban in the store differs from what they
    /// were last notified of. It does not matter which call read the difference from the file.
    fn apply_stored_bans(&mut self, registry: &mut EndpointRegistry, io: &mut IoContext) {
        let stored = self.store.as_ref().map(|store| &store.list().banned);
        let Some(stored) = stored.filter(|stored| **stored != self.banned) else {
            return;
        };
        for name in self.banned.symmetric_difference(stored) {
            let backend = registry.find_or_insert(name);
            notify_of_ban(backend, stored.contains(name), registry, io);
        }
        log::info!(
            "bans of another process taken over: {} out of use",
            stored.len()
        );
        self.banned = stored.clone();
    }

    /// Executes the commands of this turn. One that has to wait for the ban store is kept for a
    /// later turn, and so are those after it, except `READY`: commands are executed in the order in
    /// which operators sent them.
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
                AdminCommand::Ready => Some(readiness_response(readiness)),
                _ if !waiting.is_empty() => None,
                AdminCommand::Disable(name) => self.set_banned(name, true, registry, io),
                AdminCommand::Enable(name) => self.set_banned(name, false, registry, io),
                AdminCommand::Peers(command) => Some(execute_peer_command(command, peers, io)),
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

    /// Bans a backend or ends its ban. Returns `None` while another process has locked the store.
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
        let has_changed = match self.store_ban(name, is_banned, io.now)? {
            Ok(has_changed) => has_changed,
            Err(error) => return Some(Err(error)),
        };
        if has_changed {
            let state = if is_banned { "banned" } else { "unbanned" };
            log::info!("backend={name} is {state} by an operator's command");
        }
        let was_notified = if is_banned {
            !self.banned.insert(name.to_string())
        } else {
            !self.banned.remove(name)
        };
        if !was_notified {
            notify_of_ban(backend, is_banned, registry, io);
        }
        // The store may have read what another process changed before.
        self.apply_stored_bans(registry, io);
        let response = match (is_banned, has_changed) {
            (true, true) => "out",
            (true, false) => "already out",
            (false, true) => "back",
            (false, false) => "was not out",
        };
        Some(Ok(response.to_string()))
    }

    /// Changes the ban in the store, if there is one, and returns whether it was another before.
    /// Returns `None` while another process has locked the store, and an error once that has lasted
    /// for `LOCK_TIMEOUT`.
    fn store_ban(
        &mut self,
        name: &str,
        is_banned: bool,
        now: Instant,
    ) -> Option<Result<bool, AdminError>> {
        let Some(store) = &mut self.store else {
            return Some(Ok(self.banned.contains(name) != is_banned));
        };
        match store.set(name, is_banned) {
            Ok(has_changed) => {
                self.locked_since = None;
                Some(Ok(has_changed))
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

    /// Sends the responses. Must be called after the balancer has been notified.
    pub(crate) fn respond(&mut self, responses: Vec<Response>, io: &mut IoContext) {
        let Some(connections) = &mut self.connections else {
            return;
        };
        for Response { connection, result } in responses {
            connections.respond(connection, result, io);
        }
    }
}

fn notify_of_ban(
    backend: BackendId,
    is_banned: bool,
    registry: &mut EndpointRegistry,
    io: &mut IoContext,
) {
    registry.set_banned(backend, is_banned);
    io.events.push_back(Event::BanChanged(backend, is_banned));
}

fn readiness_response(readiness: Readiness) -> Result<String, AdminError> {
    readiness.check()?;
    Ok("ready".to_string())
}

fn execute_peer_command(
    command: &PeerCommand,
    peers: &mut Option<Peers>,
    io: &mut IoContext,
) -> Result<String, AdminError> {
    let peers = peers.as_mut().ok_or(AdminError::PeersOff)?;
    Ok(peers.execute(command, io)?)
}

#[cfg(test)]
mod tests;
