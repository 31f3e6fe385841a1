//! The state of a load generator, and the lifecycle of its clients.
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

/// Identifies a client in one of its states: each state has its own serial number.
#[derive(Clone, Copy, Debug)]
pub struct ClientId {
    pub(super) key: usize,
    pub(super) serial: u64,
}

/// A timer of the load generator, named after what is due.
#[derive(Debug)]
pub enum Timer {
    /// The next client arrives.
    Arrival,
    /// A client is due to connect again.
    Connect(ClientId),
    /// The time limit to connect or to answer has passed.
    Timeout(ClientId),
    /// An impatient client leaves, since no answer has come.
    Leave(ClientId),
    /// A client is due to send its next message.
    NextMessage(ClientId),
    /// The time limit for the peer to close the connection has passed.
    CloseTimeout(ClientId),
}

/// Clients that run on one thread, in an open loop: each arrives when it is due, no matter how the
/// clients before it were served.
pub struct LoadGenerator {
    pub(super) traffic: Traffic,
    /// The arrivals in order, with their numbers among all arrivals of the run.
    pub(super) arrivals: Vec<(u64, Arrival)>,
    /// The index of the next arrival.
    pub(super) next_arrival: usize,
    pub(super) end: Instant,
    pub(super) endpoints: Vec<RelayEndpoint>,
    /// The number of open connections of this load generator, by endpoint.
    pub(super) connections: Vec<usize>,
    pub(super) distribution: ClientDistribution,
    /// The number of connections distributed by [`ClientDistribution::RoundRobin`].
    pub(super) round_robin_count: usize,
    pub(super) rng: Rng,
    pub(super) clients: Slab<Client>,
    last_serial: u64,
    pub(super) is_finishing: bool,
    has_recorded_end: bool,
    /// Whether it was recorded that a connection could not be opened, which is done once.
    pub(super) has_recorded_exhaustion: bool,
    pub(super) totals: LoadTotals,
}

impl LoadGenerator {
    /// Starts the clients of a plan on a thread of their own.
    ///
    /// # Errors
    /// Returns an error if the poller or the thread can't be created.
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
                round_robin_count: 0,
                rng: Rng::from_seed(plan.seed),
                clients: Slab::new(),
                last_serial: 0,
                is_finishing: false,
                has_recorded_end: false,
                has_recorded_exhaustion: false,
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

    /// Changes a client's state; timers of the former state are ignored from now on.
    pub(super) fn set_state(&mut self, key: usize, state: ClientState) -> ClientId {
        self.last_serial += 1;
        let client = &mut self.clients[key];
        (client.state, client.serial) = (state, self.last_serial);
        self.client_id(key)
    }

    /// Returns the id of a client in its present state.
    pub(super) fn client_id(&self, key: usize) -> ClientId {
        ClientId {
            key,
            serial: self.clients[key].serial,
        }
    }

    /// Returns the key of a client that is still in the state of this id, else `None`.
    pub(super) fn current_key(&self, id: ClientId) -> Option<usize> {
        let client = self.clients.get(id.key)?;
        (client.serial == id.serial).then_some(id.key)
    }

    /// Closes a client's connection and removes the client for good.
    pub(super) fn remove_client(&mut self, key: usize, context: &LoopContext<Timer>) {
        self.disconnect(key);
        self.clients.remove(key);
        self.record_end(context);
    }

    /// Records once that all clients have gone after [`LoadCommand::Finish`].
    ///
    /// [`LoadCommand::Finish`]: super::plan::LoadCommand::Finish
    pub(super) fn record_end(&mut self, context: &LoopContext<Timer>) {
        if self.is_finishing && self.clients.is_empty() && !self.has_recorded_end {
            self.has_recorded_end = true;
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

    /// Schedules a client to connect again after this time, or removes it if it wants to leave by
    /// then.
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
            return self.remove_client(key, context);
        }
        let id = self.set_state(key, ClientState::Idle);
        self.clients[key].due = due;
        context.set_timer(due, Timer::Connect(id));
    }
}
