//! The watch on the endpoint list. It has a second connection to the agent while the agent moves to
//! another address, or while a request is unanswered.
use crate::discovery::connection::{TimerOutcome, WatchConnection};
use crate::discovery::decoding::EndpointList;
use crate::discovery::error::{EndpointError, WatchError};
use crate::discovery::poll_schedule::{
    ATTEMPT_INTERVAL, ATTEMPT_INTERVAL_AFTER_MOVE, Failure, FailureKind,
};
use crate::discovery::registry::EndpointRegistry;
use crate::driver::Event;
use crate::io_context::IoContext;
use std::net::SocketAddr;
use thistlecroft::endpoint::UpdateKind;
use thistlecroft::ids::BackendId;
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};

/// A watch is given up after this time without a list or heartbeat. The agent sends a heartbeat
/// every two seconds, and a watch that died unnoticed must be detected before the grace period of a
/// drain has passed, since the relay is expected to know the agent's list.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// `SILENCE_TIMEOUT` for a new address. It is shorter because the agent answers immediately, and
/// the relay is expected to know the list four seconds after SIGHUP.
const SILENCE_TIMEOUT_AFTER_MOVE: Duration = Duration::from_millis(800);
/// Minimum time between two quick retries, which are made when an answered watch fails.
const QUICK_RETRY_INTERVAL: Duration = Duration::from_millis(2_000);
/// The fraction of a drain's grace period within which the agent has to answer. A request that is
/// unanswered by then may date from a time when the agent was unreachable, while the relay is
/// expected to know the agent's current list: a hedged request is sent.
const RESPONSE_SHARE_OF_GRACE: f64 = 0.25;
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(20);
/// Makes the random numbers of the watch differ from those of other components with the same seed.
const SEED_SALT: u64 = 0x64_6973_636f;

/// The endpoint list that the relay currently has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KnownList {
    /// No list.
    None,
    /// A list from before the start, which the startup configuration holds.
    Cached,
    /// A list that the agent has sent.
    Received,
}

/// One of the two connections of a watch.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Slot {
    Current,
    Next,
}

/// The watch on the endpoint list. While the agent moves to another address, the connection to the
/// old address is kept until the new address has sent its list: the new address may be unreachable,
/// and drains must not be missed in the meantime.
pub(crate) struct Watch {
    current: WatchConnection,
    /// The connection to a new address, or a hedged request to the current address.
    next: Option<WatchConnection>,
    /// The generation of the last list from the current address. Generations at another address may
    /// be lower.
    generation: Option<u64>,
    /// An answered watch that fails before this time is retried with the usual delay.
    no_quick_retry_before: Instant,
    drain_grace: Duration,
    rng: Rng,
    pub(crate) registry: EndpointRegistry,
}

impl Watch {
    pub(crate) fn new(
        address: SocketAddr,
        seed: u64,
        registry: EndpointRegistry,
        drain_grace: Duration,
        now: Instant,
    ) -> Watch {
        Watch {
            current: WatchConnection::new(address, SILENCE_TIMEOUT, now),
            next: None,
            generation: None,
            no_quick_retry_before: now,
            drain_grace,
            rng: Rng::from_seed(seed ^ SEED_SALT),
            registry,
        }
    }

    pub(crate) fn set_drain_grace(&mut self, drain_grace: Duration) {
        self.drain_grace = drain_grace;
    }

    /// Returns true if attempts have failed since the last list.
    pub(crate) fn has_failed(&self) -> bool {
        self.current.schedule.has_failed()
    }

    /// Returns the time within which the agent is expected to answer.
    pub(crate) fn response_timeout(&self) -> Duration {
        (self.drain_grace * RESPONSE_SHARE_OF_GRACE).max(MIN_RESPONSE_TIMEOUT)
    }

    /// Returns which kind of endpoint list the relay has.
    pub(crate) fn known_list(&self) -> KnownList {
        if self.generation.is_some() {
            KnownList::Received
        } else if self.registry.is_empty() {
            KnownList::None
        } else {
            KnownList::Cached
        }
    }

    /// Applies a list from before the start. It may be outdated, so the first request still asks
    /// for the complete list.
    ///
    /// # Errors
    /// Returns an error if an endpoint of the list can't be used.
    pub(crate) fn restore(&mut self, cached: &EndpointList) -> Result<Event, EndpointError> {
        let endpoints = self.registry.resolve(&cached.endpoints)?;
        self.registry.replace_states(&endpoints);
        Ok(Event::EndpointsUpdated(
            UpdateKind::CachedSnapshot,
            endpoints,
        ))
    }

    /// Stops using the backends that the predecessor of this process knows to be draining or
    /// removed, until discovery has sent a list: the cached list may be older than these drains.
    pub(crate) fn drain_known_to_predecessor<'a>(
        &mut self,
        names: impl Iterator<Item = &'a str>,
        io: &mut IoContext,
    ) {
        if self.known_list() == KnownList::Received {
            return;
        }
        let backends: Vec<BackendId> = names.filter_map(|name| self.registry.find(name)).collect();
        for &backend in &backends {
            self.registry.set_leaving(backend);
        }
        if !backends.is_empty() {
            log::info!(
                "discovery: backends are draining by the predecessor's list; backends={}",
                backends.len()
            );
            io.events.push_back(Event::BackendsDraining(backends));
        }
    }

    /// Opens the watch, unless it is open or being opened.
    pub(crate) fn subscribe(&mut self, io: &mut IoContext) {
        self.start_attempt(Slot::Current, io);
    }

    /// Moves the watch to this address of the agent, unless it is already there or moving there.
    pub(crate) fn move_to_agent_address(&mut self, address: SocketAddr, io: &mut IoContext) {
        let is_moving_there = self
            .next
            .as_ref()
            .is_some_and(|next| next.address == address);
        if is_moving_there && !self.next_is_hedge() {
            return;
        }
        self.next = None;
        if self.current.address == address {
            return self.subscribe(io);
        }
        log::info!(
            "discovery: moving the watch to the agent's new address; from={} to={address}",
            self.current.address
        );
        self.next = Some(WatchConnection::new(
            address,
            SILENCE_TIMEOUT_AFTER_MOVE,
            io.now,
        ));
        self.start_attempt(Slot::Next, io);
    }

    /// Returns true if the next connection is a hedged request to the current address.
    fn next_is_hedge(&self) -> bool {
        let next = self.next.as_ref();
        next.is_some_and(|next| next.address == self.current.address)
    }

    fn connection(&mut self, slot: Slot) -> &mut WatchConnection {
        match (slot, &mut self.next) {
            (Slot::Next, Some(next)) => next,
            _ => &mut self.current,
        }
    }

    /// Starts an attempt on a connection that has none under way.
    fn start_attempt(&mut self, slot: Slot, io: &mut IoContext) {
        let since = self.generation_at(slot);
        let response_timeout = self.response_timeout();
        let connection = self.connection(slot);
        if connection.is_idle()
            && let Err(error) = connection.start_attempt(since, response_timeout, io)
        {
            self.fail(slot, &error, io);
        }
    }

    /// Returns the generation that a connection continues from, or `None` at a new address.
    fn generation_at(&self, slot: Slot) -> Option<u64> {
        let is_current_address = slot == Slot::Current || self.next_is_hedge();
        self.generation.filter(|_| is_current_address)
    }

    /// Ends a failed attempt, and schedules the next one; the last list stays in use. Attempts are
    /// scheduled only here, so that a connection never has more than one.
    fn fail(&mut self, slot: Slot, error: &WatchError, io: &mut IoContext) {
        let is_hedge = slot == Slot::Next && self.next_is_hedge();
        let kind = self.classify(slot, error, io.now);
        let interval = if slot == Slot::Next && !is_hedge {
            ATTEMPT_INTERVAL_AFTER_MOVE
        } else {
            ATTEMPT_INTERVAL
        };
        let response_timeout = self.response_timeout();
        let mut schedule = self.connection(slot).schedule;
        // Only the first failure is logged as a warning, since every attempt fails while the agent
        // is down.
        let level = if schedule.has_failed() || is_hedge {
            log::Level::Debug
        } else {
            log::Level::Warn
        };
        let elapsed = io.now.duration_since(self.connection(slot).last_progress);
        let failure = Failure {
            kind,
            max_delay: response_timeout,
            remaining: interval - elapsed,
        };
        let delay = schedule.next_delay(failure, &mut self.rng);
        let connection = self.connection(slot);
        log::log!(
            level,
            "discovery: watch failed, the last endpoint list stays in use; agent={} error={error}",
            connection.address
        );
        connection.schedule = schedule;
        connection.close_and_retry_after(delay, io);
        io.counters.list_failures += 1;
    }

    /// Returns the kind of a failure. A watch that the agent had answered is retried quickly, unless
    /// there was a quick retry recently.
    fn classify(&mut self, slot: Slot, error: &WatchError, now: Instant) -> FailureKind {
        let was_answered =
            self.connection(slot).is_streaming() && error.kind() != FailureKind::Unreachable;
        if was_answered && now >= self.no_quick_retry_before {
            self.no_quick_retry_before = now + QUICK_RETRY_INTERVAL;
            FailureKind::Interrupted
        } else {
            error.kind()
        }
    }

    pub(crate) fn handle_timer(&mut self, io: &mut IoContext) {
        for slot in [Slot::Current, Slot::Next] {
            if slot == Slot::Next && self.next.is_none() {
                continue;
            }
            match self.connection(slot).handle_timer(io) {
                TimerOutcome::Waiting => {}
                TimerOutcome::AttemptDue => self.start_attempt(slot, io),
                TimerOutcome::TimedOut => self.fail(slot, &WatchError::TimedOut, io),
            }
        }
        self.hedge(io);
    }

    /// Sends hedged requests, one after another, while the current request is unanswered. The
    /// request that is answered first becomes the watch.
    fn hedge(&mut self, io: &mut IoContext) {
        let response_timeout = self.response_timeout();
        let elapsed = io.now.duration_since(self.current.last_progress);
        if self.next.is_none() && self.current.is_unanswered() && elapsed >= response_timeout {
            let address = self.current.address;
            self.next = Some(WatchConnection::new(address, response_timeout, io.now));
            self.start_attempt(Slot::Next, io);
        }
    }

    pub(crate) fn handle_socket_event(&mut self, key: usize, io: &mut IoContext) {
        let next_owns = self.next.as_ref().is_some_and(|next| next.owns(key));
        let mut slot = if next_owns { Slot::Next } else { Slot::Current };
        if !self.connection(slot).owns(key) {
            return;
        }
        let mut lists = Vec::new();
        let mut result = self.connection(slot).handle_socket_event(&mut lists, io);
        if self.next_is_hedge() && self.connection(slot).is_streaming() {
            // Of two requests to the same address, only the one that is answered first is kept.
            let winner = self.next.take().filter(|_| slot == Slot::Next);
            if let Some(winner) = winner {
                self.make_current(winner);
                self.current.set_timer(io.now + SILENCE_TIMEOUT, io);
                slot = Slot::Current;
            }
        }
        // Lists that arrived before a failure are still applied.
        for list in lists {
            if let Err(error) = self.apply_list(&mut slot, &list, io) {
                result = Err(error);
                break;
            }
        }
        if let Err(error) = result {
            self.fail(slot, &error, io);
        }
    }

    fn make_current(&mut self, connection: WatchConnection) {
        self.current = connection;
        self.current.silence_timeout = SILENCE_TIMEOUT;
    }

    /// Applies a list. A list from the next connection makes that the current one, and `slot` is
    /// set accordingly.
    fn apply_list(
        &mut self,
        slot: &mut Slot,
        text: &[u8],
        io: &mut IoContext,
    ) -> Result<(), WatchError> {
        let list: EndpointList = serde_json::from_slice(text)?;
        let known = self.generation_at(*slot);
        if !list.is_complete && known.is_some_and(|known| list.generation <= known) {
            return Ok(());
        }
        let endpoints = self.registry.resolve(&list.endpoints)?;
        let update = if list.is_complete {
            self.registry.replace_states(&endpoints);
            UpdateKind::Snapshot
        } else {
            self.registry.update_states(&endpoints);
            UpdateKind::Delta
        };
        let moved_to = self.next.take_if(|_| *slot == Slot::Next);
        if moved_to.is_some() || self.generation.is_none() {
            let connection = moved_to.as_ref().unwrap_or(&self.current);
            log::info!(
                "discovery: received the endpoint list; agent={} backends={}",
                connection.address,
                endpoints.len()
            );
        }
        if let Some(connection) = moved_to {
            self.make_current(connection);
            *slot = Slot::Current;
        }
        self.generation = Some(list.generation);
        self.current.schedule.reset();
        io.counters.lists += 1;
        io.events
            .push_back(Event::EndpointsUpdated(update, endpoints));
        Ok(())
    }
}
