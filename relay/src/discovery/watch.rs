//! The watch on the endpoint list, over one connection to the agent or two: while the agent moves to
//! another address, or while it leaves a request unanswered.
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
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};

/// The agent sends a heartbeat every two seconds. What it has counts as known, so a watch that died
/// unnoticed must be found out before the grace of a drain has passed.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Shorter for a new address: its list counts as known four seconds after the signal, and it answers
/// at once.
const SILENCE_TIMEOUT_AFTER_MOVE: Duration = Duration::from_millis(800);
/// A watch that had been good is opened again at once, but no more often than this.
const QUICK_RETRY_INTERVAL: Duration = Duration::from_millis(2_000);
/// The part of a drain's grace within which the agent has to answer. A request that it has not
/// answered by then may hang from a time when it was away, and what it has by now counts as known:
/// a second one is made.
const RESPONSE_SHARE_OF_GRACE: f64 = 0.25;
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(20);
/// Keeps the watch's random numbers apart from those of others with the same seed.
const SEED_SALT: u64 = 0x64_6973_636f;

/// What is known of the endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KnownList {
    None,
    /// A list from before the start.
    Cached,
    /// A list that discovery has sent.
    Received,
}

/// Which of the two connections.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Slot {
    Current,
    Next,
}

/// The watch on the endpoint list. While the agent moves to another address, the connection to the
/// old one is kept until the new one has sent its list: the new one may be dead, and drains must be
/// heard of meanwhile.
pub(crate) struct Watch {
    current: WatchConnection,
    /// To a new address, or a hedged request to the same.
    next: Option<WatchConnection>,
    /// Of the last list from the current address; another one's generations may be lower.
    generation: Option<u64>,
    /// Until then a good watch that breaks is retried with the usual delay.
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

    /// True if attempts have failed since the last list: the agent is not there.
    pub(crate) fn has_failed(&self) -> bool {
        self.current.schedule.has_failed()
    }

    /// Within this the agent is expected to answer.
    pub(crate) fn response_timeout(&self) -> Duration {
        (self.drain_grace * RESPONSE_SHARE_OF_GRACE).max(MIN_RESPONSE_TIMEOUT)
    }

    pub(crate) fn known_list(&self) -> KnownList {
        if self.generation.is_some() {
            KnownList::Received
        } else if self.registry.is_empty() {
            KnownList::None
        } else {
            KnownList::Cached
        }
    }

    /// Takes up a list from before the start. It may be old, so the first request asks for the
    /// complete list all the same.
    ///
    /// # Errors
    /// An endpoint of it can't be used.
    pub(crate) fn restore(&mut self, cached: &EndpointList) -> Result<Event, EndpointError> {
        let endpoints = self.registry.resolve(&cached.endpoints)?;
        self.registry.replace_states(&endpoints);
        Ok(Event::EndpointsUpdated(
            UpdateKind::CachedSnapshot,
            endpoints,
        ))
    }

    /// Opens the watch, unless it is open.
    pub(crate) fn subscribe(&mut self, io: &mut IoContext) {
        self.begin(Slot::Current, io);
    }

    /// The agent is at this address from now on.
    pub(crate) fn move_to(&mut self, address: SocketAddr, io: &mut IoContext) {
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
        log::info!("discovery moves from {} to {address}", self.current.address);
        self.next = Some(WatchConnection::new(
            address,
            SILENCE_TIMEOUT_AFTER_MOVE,
            io.now,
        ));
        self.begin(Slot::Next, io);
    }

    /// The next connection goes to the same address as the current one, which is unanswered.
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

    fn begin(&mut self, slot: Slot, io: &mut IoContext) {
        let since = self.generation_at(slot);
        let response_timeout = self.response_timeout();
        let connection = self.connection(slot);
        if connection.is_idle()
            && let Err(error) = connection.begin(since, response_timeout, io)
        {
            self.fail(slot, &error, io);
        }
    }

    /// The generation that a connection continues from; none at a new address.
    fn generation_at(&self, slot: Slot) -> Option<u64> {
        let is_current_address = slot == Slot::Current || self.next_is_hedge();
        self.generation.filter(|_| is_current_address)
    }

    /// Ends an attempt; the last list stays in force. The next attempt is scheduled only here, so
    /// that there is never more than one.
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
        // Only the first failure is worth a warning: while discovery is down every attempt ends
        // here.
        let level = if schedule.has_failed() || is_hedge {
            log::Level::Debug
        } else {
            log::Level::Warn
        };
        let elapsed = io.now.duration_since(self.connection(slot).last_heard);
        let failure = Failure {
            kind,
            longest_delay: response_timeout,
            remaining: interval - elapsed,
        };
        let delay = schedule.next_delay(failure, &mut self.rng);
        let connection = self.connection(slot);
        log::log!(
            level,
            "discovery at {}: {error}; the last list stays",
            connection.address
        );
        connection.schedule = schedule;
        connection.end(delay, io);
        io.counters.list_failures += 1;
    }

    /// What a failure says of the agent: that of a good watch calls for a quick retry, if there was
    /// none lately.
    fn classify(&mut self, slot: Slot, error: &WatchError, now: Instant) -> FailureKind {
        let was_good =
            self.connection(slot).is_streaming() && error.kind() != FailureKind::Unreachable;
        if was_good && now >= self.no_quick_retry_before {
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
                TimerOutcome::AttemptDue => self.begin(slot, io),
                TimerOutcome::Silent => self.fail(slot, &WatchError::Silent, io),
            }
        }
        self.hedge(io);
    }

    /// While a request hangs unanswered another is made, and again: the first that is answered
    /// becomes the watch.
    fn hedge(&mut self, io: &mut IoContext) {
        let response_timeout = self.response_timeout();
        let elapsed = io.now.duration_since(self.current.last_heard);
        if self.next.is_none() && self.current.is_unanswered() && elapsed >= response_timeout {
            let address = self.current.address;
            self.next = Some(WatchConnection::new(address, response_timeout, io.now));
            self.begin(Slot::Next, io);
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
            // Of two requests to the same address the one that is answered first goes on.
            let winner = self.next.take().filter(|_| slot == Slot::Next);
            if let Some(winner) = winner {
                self.make_current(winner);
                self.current.set_timer(io.now + SILENCE_TIMEOUT, io);
                slot = Slot::Current;
            }
        }
        // What came before a failure counts.
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

    /// Takes a list up. One from the next address makes that the current one, and `slot` follows.
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
                "discovery at {}: {} backends",
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
