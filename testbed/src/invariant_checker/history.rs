//! The state that a check keeps of a run: intervals, sessions with their attempts, and backends.
use crate::event_recorder::{Answer, BackendIndex, RelayIndex, Reply};
use std::collections::BTreeMap;
use thistlecroft::time::{Duration, Instant};

/// The time intervals during which a condition held; the last one may be open.
#[derive(Default)]
pub(super) struct Intervals(Vec<(Instant, Option<Instant>)>);

impl Intervals {
    /// Begins an interval if the condition holds, or ends the open one if it does not.
    pub(super) fn set(&mut self, holds: bool, at: Instant) {
        if holds {
            self.begin(at);
        } else {
            self.end(at);
        }
    }

    pub(super) fn begin(&mut self, at: Instant) {
        self.end(at);
        self.0.push((at, None));
    }

    pub(super) fn end(&mut self, at: Instant) {
        if let Some((_, end @ None)) = self.0.last_mut() {
            *end = Some(at);
        }
    }

    /// Returns whether the condition held at any time from `from` to `to`, both included.
    pub(super) fn overlaps(&self, from: Instant, to: Instant) -> bool {
        self.0
            .iter()
            .any(|&(begin, end)| begin <= to && end.is_none_or(|end| end >= from))
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptEnd {
    /// The backend answered.
    Answered(Reply),
    /// The relay closed the connection before the backend answered.
    Abandoned,
}

/// An attempt to establish a session at a backend.
#[derive(Clone, Debug)]
pub(super) struct AttemptHistory {
    pub(super) backend: BackendIndex,
    pub(super) received_at: Instant,
    pub(super) first_byte_at: Instant,
    pub(super) end: Option<(Instant, AttemptEnd)>,
    /// Whether the recorded times are imprecise, because the backend was paused shortly before the
    /// attempt arrived or before it ended.
    pub(super) is_imprecise: bool,
}

impl AttemptHistory {
    /// Returns when the attempt ended without establishing the session.
    pub(super) fn failed_at(&self) -> Option<Instant> {
        let (at, end) = self.end?;
        (end != AttemptEnd::Answered(Reply::Accepted)).then_some(at)
    }

    /// Returns whether the session's effect may have happened at the backend.
    pub(super) fn may_have_had_effect(&self) -> bool {
        !matches!(self.end, Some((_, AttemptEnd::Answered(Reply::Rejected))))
    }

    pub(super) fn was_accepted(&self) -> bool {
        matches!(self.end, Some((_, AttemptEnd::Answered(Reply::Accepted))))
    }
}

/// What was observed of one session.
#[derive(Clone, Debug)]
pub(super) struct SessionHistory {
    pub(super) requested_at: Instant,
    pub(super) timeout: Duration,
    /// `None` if the client connected to a backend directly.
    pub(super) relay: Option<RelayIndex>,
    pub(super) listener: usize,
    pub(super) answer: Option<(Instant, Answer)>,
    pub(super) ended_at: Option<Instant>,
    /// Whether no answer is required: the client left, or its relay was killed or paused.
    pub(super) is_excused: bool,
    pub(super) attempts: Vec<AttemptHistory>,
    /// When the backend closed the session.
    pub(super) closed_by_backend_at: Option<Instant>,
    /// The longest time for which the backend itself delayed a message.
    pub(super) backend_delay: Duration,
}

impl SessionHistory {
    pub(super) fn new(
        requested_at: Instant,
        timeout: Duration,
        relay: Option<RelayIndex>,
        listener: u16,
    ) -> SessionHistory {
        SessionHistory {
            requested_at,
            timeout,
            relay,
            listener: usize::from(listener),
            answer: None,
            ended_at: None,
            is_excused: false,
            attempts: Vec::new(),
            closed_by_backend_at: None,
            backend_delay: Duration::ZERO,
        }
    }

    pub(super) fn deadline(&self) -> Instant {
        self.requested_at + self.timeout
    }
}

/// What was observed of one backend.
#[derive(Default)]
pub(super) struct BackendHistory {
    pub(super) paused: Intervals,
    /// When the backend had a fault or was stopped.
    pub(super) faulty: Intervals,
    /// When the drain or stop of the backend was announced to each relay.
    pub(super) announced_at: BTreeMap<RelayIndex, Instant>,
    /// When the backend began to drain or stopped, if it has not started since.
    pub(super) closed_since: Option<Instant>,
    /// Since when an operator's ban of the backend holds at each relay, whatever the endpoint list
    /// says.
    pub(super) banned_since: BTreeMap<RelayIndex, Instant>,
}

/// The events that excuse a violation. All are collected before the first check, because some are
/// recorded after the events that they excuse.
#[derive(Default)]
pub(super) struct Excuses {
    pub(super) killed_at: BTreeMap<RelayIndex, Vec<Instant>>,
    /// When each relay's process was paused, during which no invariant binds the relay.
    pub(super) paused: BTreeMap<RelayIndex, Intervals>,
    /// Delays of the testbed itself, each with the time at which it ended.
    pub(super) testbed_delays: Vec<(Instant, Duration)>,
}

impl Excuses {
    /// Returns the longest delay with which the testbed may have observed events from `from` to
    /// `to`.
    pub(super) fn max_testbed_delay(&self, from: Instant, to: Instant) -> Duration {
        self.testbed_delays
            .iter()
            .filter(|(at, delay)| *at + *delay >= from && *at <= to + *delay)
            .map(|(_, delay)| *delay)
            .max()
            .unwrap_or(Duration::ZERO)
    }

    /// Returns whether the relay was paused at any time from `from` to `to`, extended by
    /// `ORDER_TOLERANCE`: after a pause the relay needs a moment to process what has queued up.
    pub(super) fn was_paused(&self, relay: Option<RelayIndex>, from: Instant, to: Instant) -> bool {
        let paused = relay.and_then(|relay| self.paused.get(&relay));
        paused.is_some_and(|paused| paused.overlaps(from - ORDER_TOLERANCE, to + ORDER_TOLERANCE))
    }

    /// Returns whether the relay was killed or paused at any time from `from` to `to`, extended by
    /// `ORDER_TOLERANCE`.
    pub(super) fn was_killed_or_paused(
        &self,
        relay: Option<RelayIndex>,
        from: Instant,
        to: Instant,
    ) -> bool {
        if self.was_paused(relay, from, to) {
            return true;
        }
        let Some(times) = relay.and_then(|relay| self.killed_at.get(&relay)) else {
            return false;
        };
        times
            .iter()
            .any(|at| *at + ORDER_TOLERANCE >= from && *at <= to + ORDER_TOLERANCE)
    }
}

/// The tolerance added to each time limit for delays of the sockets.
pub(super) const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// The greatest time by which events of two threads, or of two sockets in one turn of an event
/// loop, may be recorded in the wrong order.
pub(super) const ORDER_TOLERANCE: Duration = Duration::from_millis(50);
/// The time limit for forwarding a message, or the end of a session on the backend's side.
pub(super) const FORWARDING_LIMIT: Duration = Duration::from_millis(1_000);
