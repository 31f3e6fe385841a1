//! Arrival of clients: they choose an endpoint, connect and send their requests.
use super::client::{Client, ClientState};
use super::generator::{LoadGenerator, Timer};
use super::plan::ClientDistribution;
use super::protocol;
use super::totals::record_latency;
use crate::event_loop::LoopContext;
use crate::event_recorder::{Observation, SessionId};
use crate::line_socket::LineSocket;
use crate::traffic::scattered_id;
use thistlecroft::time::Duration;

/// Added to time limits for the delay of sockets.
const SOCKET_DELAY_MARGIN: Duration = Duration::from_millis(50);
/// Added to time limits for late turns of this thread, which must not count as a relay's delay.
const THREAD_DELAY_MARGIN: Duration = Duration::from_millis(300);
/// How long a client waits after a failed attempt to connect before it tries another endpoint.
const NEXT_ENDPOINT_DELAY: Duration = Duration::from_millis(100);
/// A client gives up after more consecutive failed attempts to connect than this.
const MAX_FAILED_CONNECTS: u32 = 60;
/// How long a misbehaving client waits for its connection.
const MISBEHAVING_CONNECT_TIMEOUT: Duration = Duration::from_millis(10_000);

impl LoadGenerator {
    /// Connects all clients that are due, and sets the timer for the next arrival.
    pub(super) fn on_arrivals_due(&mut self, context: &mut LoopContext<Timer>) {
        while let Some((number, arrival)) = self.arrivals.get(self.next_arrival) {
            if self.is_finishing {
                return;
            }
            if arrival.due > context.now {
                return context.set_timer(arrival.due, Timer::Arrival);
            }
            let time_to_end = self.end.duration_since(arrival.due);
            let totals = &mut self.totals.listeners[usize::from(arrival.profile)];
            totals.arrivals += 1;
            totals.requested_seconds += arrival.lifetime.min(time_to_end).as_secs_f64();
            let client = Client::new(self.next_arrival, *number, arrival.due, arrival.seed, None);
            self.next_arrival += 1;
            let key = self.clients.insert(client);
            self.connect(key, context);
        }
    }

    /// Chooses an enabled endpoint by the configured distribution; `None` if none is enabled.
    fn choose_endpoint(&mut self, key: usize) -> Option<usize> {
        let enabled: Vec<usize> = (0..self.endpoints.len())
            .filter(|&endpoint| self.endpoints[endpoint].enabled)
            .collect();
        if enabled.is_empty() {
            return None;
        }
        match self.distribution {
            ClientDistribution::RoundRobin => {
                self.round_robin_count += 1;
                Some(enabled[self.round_robin_count % enabled.len()])
            }
            ClientDistribution::Random => {
                let rng = &mut self.clients[key].rng;
                Some(enabled[rng.below(enabled.len() as u64) as usize])
            }
            ClientDistribution::LeastConnections => enabled
                .into_iter()
                .min_by_key(|&endpoint| self.connections[endpoint]),
        }
    }

    /// Starts to connect a client to an endpoint, and gives its connection a new session id.
    pub(super) fn connect(&mut self, key: usize, context: &mut LoopContext<Timer>) {
        let client = &mut self.clients[key];
        // Misbehaving clients all arrive at one time, so their wait is no delay of this thread.
        if client.misbehavior.is_none() {
            let delay = context.clock.now().duration_since(client.due);
            record_latency(&mut self.totals.connect_delay, delay);
        }
        client.connection_number += 1;
        client.session = SessionId(scattered_id(client.connection_number));
        let Some(endpoint) = self.choose_endpoint(key) else {
            return self.on_connect_failed(key, context);
        };
        self.clients[key].endpoint = endpoint;
        match LineSocket::connect(self.endpoints[endpoint].address, &context.poller, key) {
            Ok(mut socket) => {
                socket.await_connect();
                self.connections[endpoint] += 1;
                self.clients[key].socket = Some(socket);
                let id = self.set_state(key, ClientState::Connecting);
                let timeout = match self.clients[key].misbehavior {
                    None => self.profile(key).answer_timeout,
                    Some(_) => MISBEHAVING_CONNECT_TIMEOUT,
                };
                context.set_timer(context.now + timeout, Timer::Timeout(id));
            }
            Err(error) => {
                if !std::mem::replace(&mut self.has_recorded_exhaustion, true) {
                    log::warn!("load generator failed to open a connection: {error}");
                    context.record(Observation::TestbedExhausted);
                }
                self.on_connect_failed(key, context);
            }
        }
    }

    /// Handles a failed attempt to connect: the client tries again, or gives up after too many.
    pub(super) fn on_connect_failed(&mut self, key: usize, context: &mut LoopContext<Timer>) {
        let endpoint = self.endpoints.get(self.clients[key].endpoint);
        let relay = endpoint.and_then(|endpoint| endpoint.relay);
        context.record(Observation::ConnectFailed { relay });
        let client = &mut self.clients[key];
        client.failed_connects += 1;
        if client.misbehavior.is_some() {
            return self.remove_client(key, context);
        }
        if client.failed_connects > MAX_FAILED_CONNECTS {
            self.listener_totals(key).gave_up += 1;
            return self.remove_client(key, context);
        }
        self.reconnect_after(key, NEXT_ENDPOINT_DELAY, context);
    }

    /// Sends the client's request on its new connection.
    pub(super) fn send_request(&mut self, key: usize, context: &mut LoopContext<Timer>) {
        let request = protocol::request(&self.clients[key], self.arrival(key), self.profile(key));
        let Some(socket) = &mut self.clients[key].socket else {
            return;
        };
        let is_sent = socket.send(request.as_bytes()).is_ok();
        socket.update_interest();
        if !is_sent {
            return self.on_connect_failed(key, context);
        }
        self.set_state(key, ClientState::Requesting);
        self.on_request_written(key, context);
    }

    /// Starts to wait for the answer if the last byte of the request has been written.
    pub(super) fn on_request_written(&mut self, key: usize, context: &mut LoopContext<Timer>) {
        let client = &mut self.clients[key];
        let is_flushed = client.socket.as_ref().is_some_and(LineSocket::is_flushed);
        if client.state != ClientState::Requesting || !is_flushed {
            return;
        }
        client.failed_connects = 0;
        let id = self.set_state(key, ClientState::AwaitingAnswer);
        let client = &self.clients[key];
        // A misbehaving client has no time limit: it waits until the relay answers or closes.
        if client.misbehavior.is_some() {
            return;
        }
        let timeout = self.profile(key).answer_timeout;
        let arrival = self.arrival(key);
        context.record(Observation::SessionRequested {
            session: client.session,
            relay: self.endpoints[client.endpoint].relay,
            listener: arrival.profile,
            timeout,
            due: client.due,
            reconnecting: client.is_reconnecting,
        });
        context.set_timer(
            context.now + timeout + SOCKET_DELAY_MARGIN + THREAD_DELAY_MARGIN,
            Timer::Timeout(id),
        );
        if let (Some(delay), false) = (arrival.leaves_after, client.was_established) {
            context.set_timer(context.now + delay, Timer::Leave(id));
        }
    }
}
