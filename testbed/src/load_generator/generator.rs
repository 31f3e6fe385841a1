//! The clients of a load generator as a whole, and how they come and go.
use super::client::{Client, ClientState};
use super::plan::{ALL_CLIENTS_GONE, ClientDistribution, LoadPlan, RelayEndpoint};
use super::totals::{ListenerTotals, LoadTotals};
use crate::clock::Stopwatch;
use crate::event_loop::{EventLoop, LoopContext};
use crate::event_recorder::{EventRecorder, Observation};
use crate::traffic::{Arrival, ClientProfile, Traffic};
use slab::Slab;
use std::io;
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};

/// A client by its slab key, as long as it is in the state of this serial number.
#[derive(Clone, Copy, Debug)]
pub struct ClientId {
    pub(super) key: usize,
    pub(super) serial: u64,
}

/// What a timer of the load generator is about.
#[derive(Debug)]
pub enum Timer {
    /// The next client arrives.
    Arrival,
    /// A client that was away connects.
    Connect(ClientId),
    /// The time to connect or to answer is over.
    Timeout(ClientId),
    /// A client leaves before its answer.
    Leave(ClientId),
    /// A client sends its next message.
    NextMessage(ClientId),
    /// The time for the other side to close is over.
    CloseTimeout(ClientId),
}

/// Clients on one thread. Each arrives when it is due whatever the others met (an open loop).
pub struct LoadGenerator {
    pub(super) traffic: Traffic,
    pub(super) arrivals: Vec<(u64, Arrival)>,
    pub(super) next_arrival: usize,
    pub(super) end: Instant,
    pub(super) endpoints: Vec<RelayEndpoint>,
    /// Connections of this load generator, by endpoint.
    pub(super) connections: Vec<usize>,
    pub(super) distribution: ClientDistribution,
    /// Clients that were distributed in turn.
    pub(super) distributed: usize,
    pub(super) rng: Rng,
    pub(super) clients: Slab<Client>,
    last_serial: u64,
    pub(super) is_finishing: bool,
    has_noted_end: bool,
    /// A connection could not be begun once.
    pub(super) is_exhausted: bool,
    pub(super) totals: LoadTotals,
}

impl LoadGenerator {
    /// Starts the clients of a plan on a thread of their own.
    ///
    /// # Errors
    /// If the system gives no poller or thread.
    pub fn open(
        plan: LoadPlan,
        clock: Stopwatch,
        recorder: EventRecorder,
    ) -> io::Result<EventLoop<LoadGenerator>> {
        EventLoop::open("clients", clock, recorder, move |context| {
            if let Some((_, first)) = plan.arrivals.first() {
                context.set_timer(first.due, Timer::Arrival);
            }
            Ok(LoadGenerator {
                totals: LoadTotals::new(&plan.traffic),
                connections: vec![0; plan.endpoints.len()],
                traffic: plan.traffic,
                arrivals: plan.arrivals,
                next_arrival: 0,
                end: plan.end,
                endpoints: plan.endpoints,
                distribution: plan.distribution,
                distributed: 0,
                rng: Rng::from_seed(plan.seed),
                clients: Slab::new(),
                last_serial: 0,
                is_finishing: false,
                has_noted_end: false,
                is_exhausted: false,
            })
        })
    }

    pub(super) fn arrival(&self, key: usize) -> &Arrival {
        &self.arrivals[self.clients[key].arrival].1
    }

    pub(super) fn profile(&self, key: usize) -> &ClientProfile {
        &self.traffic.profiles[usize::from(self.arrival(key).profile)]
    }

    pub(super) fn listener_totals(&mut self, key: usize) -> &mut ListenerTotals {
        let listener = usize::from(self.arrival(key).profile);
        &mut self.totals.listeners[listener]
    }

    /// Changes a client's state; timers of the state before are void.
    pub(super) fn set_state(&mut self, key: usize, state: ClientState) -> ClientId {
        self.last_serial += 1;
        let client = &mut self.clients[key];
        (client.state, client.serial) = (state, self.last_serial);
        self.id(key)
    }

    /// A client in its present state.
    pub(super) fn id(&self, key: usize) -> ClientId {
        ClientId {
            key,
            serial: self.clients[key].serial,
        }
    }

    /// The key of a client that is still in the state in which a timer was set.
    pub(super) fn current(&self, id: ClientId) -> Option<usize> {
        let client = self.clients.get(id.key)?;
        (client.serial == id.serial).then_some(id.key)
    }

    /// Has a client leave for good.
    pub(super) fn remove(&mut self, key: usize, context: &LoopContext<Timer>) {
        self.disconnect(key);
        self.clients.remove(key);
        self.note_end(context);
    }

    /// Notes once that all clients have gone after the order to finish.
    pub(super) fn note_end(&mut self, context: &LoopContext<Timer>) {
        if self.is_finishing && self.clients.is_empty() && !self.has_noted_end {
            self.has_noted_end = true;
            context.record(Observation::Note {
                text: ALL_CLIENTS_GONE.into(),
            });
        }
    }

    fn disconnect(&mut self, key: usize) {
        let client = &mut self.clients[key];
        if client.socket.take().is_some() {
            let connections = &mut self.connections[client.endpoint];
            *connections = connections.saturating_sub(1);
        }
    }

    /// Has a client connect again after this time, or leave if it wants to be gone by then.
    pub(super) fn reconnect_after(
        &mut self,
        key: usize,
        delay: Duration,
        context: &mut LoopContext<Timer>,
    ) {
        self.disconnect(key);
        let due = context.now + delay;
        let leaves_at = self.clients[key].leaves_at;
        if self.is_finishing || leaves_at.is_some_and(|leaves_at| due >= leaves_at) {
            return self.remove(key, context);
        }
        let id = self.set_state(key, ClientState::Away);
        self.clients[key].due = due;
        context.set_timer(due, Timer::Connect(id));
    }
}
