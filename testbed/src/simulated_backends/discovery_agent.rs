//! The relays' discovery agents: their endpoint lists and the watches that relays keep open.
use super::connection::{AgentConnection, Role};
use super::discovery_protocol::{
    ListRequest, MALFORMED_LINE, NOT_FOUND, WATCH_RESPONSE_HEAD, chunk, snapshot,
};
use super::faults::AgentFault;
use super::state::{SimulatedBackends, WATCH_HEARTBEAT_INTERVAL};
use super::timer::Timer;
use crate::endpoint_list::EndpointRow;
use crate::event_loop::LoopContext;
use crate::event_recorder::{BackendIndex, Lifecycle, Observation, RelayIndex};

impl SimulatedBackends {
    /// Announces a backend's state to every agent, to each after its own random delay.
    pub(super) fn announce(
        &mut self,
        index: BackendIndex,
        lifecycle: Lifecycle,
        context: &mut LoopContext<Timer>,
    ) {
        let row = self.backend(index).endpoint_row(lifecycle);
        let (min_delay, max_delay) = self.announcement_delay;
        for relay in 0..self.agents.len() {
            let delay = min_delay + (max_delay - min_delay) * self.rng.unit_f64();
            let announce = Timer::Announce(RelayIndex(relay as u16), index, row.clone());
            context.set_timer(context.now + delay, announce);
        }
    }

    /// Applies an announced change to a relay's agent, or keeps it until the agent's fault ends.
    pub(super) fn on_announcement(
        &mut self,
        relay: RelayIndex,
        index: BackendIndex,
        row: EndpointRow,
        context: &LoopContext<Timer>,
    ) {
        let agent = &mut self.agents[usize::from(relay.0)];
        if agent.fault.is_some() {
            agent.missed_changes.push((index, row));
            return;
        }
        agent.list.put(index, row);
        self.send_changes(relay, context);
    }

    /// Sends each watch of the relay the changes since the generation last sent on it.
    fn send_changes(&mut self, relay: RelayIndex, context: &LoopContext<Timer>) {
        let list = &self.agents[usize::from(relay.0)].list;
        for (_, connection) in &mut self.connections {
            let Role::Agent(watch) = &mut connection.role else {
                continue;
            };
            if watch.relay != relay
                || !watch.is_watching
                || watch.sent_generation == Some(list.generation())
            {
                continue;
            }
            let (text, changes) = list.json_since(watch.sent_generation);
            watch.sent_generation = Some(list.generation());
            let socket = &mut connection.socket;
            if socket.send(chunk(&text).as_bytes()).is_ok() && socket.is_flushed() {
                record_announcements(relay, changes, context);
            }
            socket.update_interest();
        }
    }

    /// Reads and answers requests when a connection to an agent is ready.
    pub(super) fn on_agent_connection(&mut self, key: usize, context: &LoopContext<Timer>) {
        let connection = &mut self.connections[key];
        let Role::Agent(watch) = &mut connection.role else {
            return;
        };
        let socket = &mut connection.socket;
        let is_broken = socket.read().and_then(|_| socket.flush()).is_err();
        let fault = self.agents[usize::from(watch.relay.0)].fault;
        if is_broken || socket.peer_closed {
            self.connections.remove(key);
            return;
        }
        if fault == Some(AgentFault::Unavailable) {
            return self.reset_connection(key, context.now);
        }
        if watch.is_watching || fault == Some(AgentFault::Silent) {
            return socket.update_interest();
        }
        let Some((request, length)) = ListRequest::parse(socket.buffered_input()) else {
            return socket.update_interest();
        };
        socket.consume(length);
        let relay = watch.relay;
        match request {
            ListRequest::UnknownPath => {
                let _ = socket.send(NOT_FOUND);
                socket.update_interest();
            }
            ListRequest::Watch(since) => self.start_watch(key, relay, since, context),
            ListRequest::Snapshot => {
                let list = &self.agents[usize::from(relay.0)].list;
                let (text, changes) = list.json_since(None);
                let _ = socket.send(snapshot(&text).as_bytes());
                socket.update_interest();
                record_announcements(relay, changes, context);
            }
        }
    }

    /// Answers the request for a watch: with an empty line if the relay has the present list, and
    /// with the changes that the relay lacks otherwise.
    fn start_watch(
        &mut self,
        key: usize,
        relay: RelayIndex,
        since: Option<u64>,
        context: &LoopContext<Timer>,
    ) {
        let connection = &mut self.connections[key];
        connection.role = Role::Agent(AgentConnection {
            relay,
            is_watching: true,
            sent_generation: since,
        });
        let socket = &mut connection.socket;
        let _ = socket.send(WATCH_RESPONSE_HEAD);
        if since == Some(self.agents[usize::from(relay.0)].list.generation()) {
            let _ = socket.send(chunk("").as_bytes());
            socket.update_interest();
        } else {
            self.send_changes(relay, context);
        }
    }

    /// Injects a fault into an agent, or clears it.
    pub(super) fn set_agent_fault(
        &mut self,
        relay: RelayIndex,
        fault: AgentFault,
        active: bool,
        context: &LoopContext<Timer>,
    ) {
        context.record(Observation::AgentFault {
            relay,
            fault: fault.name(),
            active,
        });
        let keys = self.connections_of_agent(relay);
        let agent = &mut self.agents[usize::from(relay.0)];
        match fault {
            AgentFault::Silent | AgentFault::Unavailable | AgentFault::Stale => {
                agent.fault = active.then_some(fault);
            }
            AgentFault::StateLost => agent.list.restart_generations(),
            AgentFault::Malformed => {
                for &key in &keys {
                    let socket = &mut self.connections[key].socket;
                    let _ = socket.send(chunk(MALFORMED_LINE).as_bytes());
                }
            }
        }
        if fault == AgentFault::StateLost || fault == AgentFault::Unavailable && active {
            for &key in &keys {
                self.reset_connection(key, context.now);
            }
        }
        self.apply_missed_changes(relay, context);
        // Answers requests that arrived while the agent was silent.
        for key in keys {
            if self.connections.contains(key) {
                self.on_agent_connection(key, context);
            }
        }
    }

    fn connections_of_agent(&self, relay: RelayIndex) -> Vec<usize> {
        self.connections
            .iter()
            .filter(|(_, entry)| matches!(&entry.role, Role::Agent(watch) if watch.relay == relay))
            .map(|(key, _)| key)
            .collect()
    }

    fn apply_missed_changes(&mut self, relay: RelayIndex, context: &LoopContext<Timer>) {
        let agent = &mut self.agents[usize::from(relay.0)];
        if agent.fault.is_some() || agent.missed_changes.is_empty() {
            return;
        }
        for (index, row) in std::mem::take(&mut agent.missed_changes) {
            agent.list.put(index, row);
        }
        self.send_changes(relay, context);
    }

    /// Sends an empty line to each watch whose agent still writes.
    pub(super) fn send_heartbeats(&mut self, context: &mut LoopContext<Timer>) {
        for (_, connection) in &mut self.connections {
            let Role::Agent(watch) = &connection.role else {
                continue;
            };
            let is_silent = matches!(
                self.agents[usize::from(watch.relay.0)].fault,
                Some(AgentFault::Silent | AgentFault::Unavailable)
            );
            if watch.is_watching && !is_silent {
                let _ = connection.socket.send(chunk("").as_bytes());
                connection.socket.update_interest();
            }
        }
        context.set_timer(
            context.now + WATCH_HEARTBEAT_INTERVAL,
            Timer::WatchHeartbeat,
        );
    }
}

/// Records that a relay was sent the states of these backends.
fn record_announcements(
    relay: RelayIndex,
    changes: Vec<(BackendIndex, Lifecycle)>,
    context: &LoopContext<Timer>,
) {
    for (backend, lifecycle) in changes {
        context.record(Observation::EndpointAnnounced {
            relay,
            backend,
            lifecycle,
        });
    }
}
