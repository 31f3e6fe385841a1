//! How clients arrive, choose an endpoint, connect and send their requests.
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

/// Each time limit is so much longer on sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// Waited beyond the limit, so that a late turn of this thread blames nobody.
const OWN_DELAY: Duration = Duration::from_millis(300);
/// After this a client tries the next endpoint.
const NEXT_ENDPOINT_DELAY: Duration = Duration::from_millis(100);
/// A client gives up when so many endpoints in a row did not take its connection.
const MAX_FAILED_CONNECTS: u32 = 60;
/// A client that misbehaves connects within this.
const MISBEHAVING_CONNECT_TIMEOUT: Duration = Duration::from_millis(10_000);

impl LoadGenerator {
    /// Has all clients connect that are due by now.
    pub(super) fn on_arrivals_due(&mut self, context: &mut LoopContext<Timer>) {
        while let Some((number, arrival)) = self.arrivals.get(self.next_arrival) {
            if self.is_finishing {
                return;
            }
            if arrival.due > context.now {
                return context.set_timer(arrival.due, Timer::Arrival);
            }
            let until_end = self.end.duration_since(arrival.due);
            let totals = &mut self.totals.listeners[usize::from(arrival.profile)];
            totals.arrivals += 1;
            totals.requested_seconds += arrival.lifetime.min(until_end).as_secs_f64();
            let client = Client::new(self.next_arrival, *number, arrival.due, arrival.seed, None);
            self.next_arrival += 1;
            let key = self.clients.insert(client);
            self.connect(key, context);
        }
    }

    fn choose_endpoint(&mut self, key: usize) -> Option<usize> {
        let enabled: Vec<usize> = (0..self.endpoints.len())
            .filter(|&endpoint| self.endpoints[endpoint].enabled)
            .collect();
        if enabled.is_empty() {
            return None;
        }
        match self.distribution {
            ClientDistribution::RoundRobin => {
                self.distributed += 1;
                Some(enabled[self.distributed % enabled.len()])
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

    pub(super) fn connect(&mut self, key: usize, context: &mut LoopContext<Timer>) {
        let client = &mut self.clients[key];
        // Clients that misbehave come all at once, which is no delay of this thread.
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
                if !std::mem::replace(&mut self.is_exhausted, true) {
                    log::warn!("a client can't connect: {error}");
                    context.record(Observation::TestbedExhausted);
                }
                self.on_connect_failed(key, context);
            }
        }
    }

    /// The endpoint did not take the connection; the client tries the next one.
    pub(super) fn on_connect_failed(&mut self, key: usize, context: &mut LoopContext<Timer>) {
        let endpoint = self.endpoints.get(self.clients[key].endpoint);
        let relay = endpoint.and_then(|endpoint| endpoint.relay);
        context.record(Observation::ConnectFailed { relay });
        let client = &mut self.clients[key];
        client.failed_connects += 1;
        if client.misbehavior.is_some() {
            return self.remove(key, context);
        }
        if client.failed_connects > MAX_FAILED_CONNECTS {
            self.listener_totals(key).gave_up += 1;
            return self.remove(key, context);
        }
        self.reconnect_after(key, NEXT_ENDPOINT_DELAY, context);
    }

    /// The connection is established: the client sends its request.
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

    /// Starts to wait for the answer once the last byte of the request is written.
    pub(super) fn on_request_written(&mut self, key: usize, context: &mut LoopContext<Timer>) {
        let client = &mut self.clients[key];
        let is_flushed = client.socket.as_ref().is_some_and(LineSocket::is_flushed);
        if client.state != ClientState::Requesting || !is_flushed {
            return;
        }
        client.failed_connects = 0;
        let id = self.set_state(key, ClientState::AwaitingAnswer);
        let client = &self.clients[key];
        // A client that misbehaves waits for whatever the relay makes of it.
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
            context.now + timeout + SOCKET_SLACK + OWN_DELAY,
            Timer::Timeout(id),
        );
        if let (Some(delay), false) = (arrival.leaves_after, client.was_established) {
            context.set_timer(context.now + delay, Timer::Leave(id));
        }
    }
}
