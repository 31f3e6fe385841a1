//! What a check remembers of a run: intervals, sessions with their attempts, and backends.
use crate::event_recorder::{Answer, BackendIndex, RelayIndex, Reply};
use std::collections::BTreeMap;
use thistlecroft::time::{Duration, Instant};

/// The intervals in which something held; the last one may be open.
#[derive(Default)]
pub(super) struct Intervals(Vec<(Instant, Option<Instant>)>);

impl Intervals {
    /// It holds from now on, or no longer does.
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

    /// Whether it held at any time between the two.
    pub(super) fn overlap(&self, from: Instant, to: Instant) -> bool {
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
    /// The relay closed it before an answer.
    Abandoned,
}

/// An attempt of a session at a backend.
#[derive(Clone, Debug)]
pub(super) struct AttemptHistory {
    pub(super) backend: BackendIndex,
    pub(super) received_at: Instant,
    pub(super) first_byte_at: Instant,
    pub(super) end: Option<(Instant, AttemptEnd)>,
    /// Its backend was paused at its beginning or before its end: the times are not reliable.
    pub(super) is_blurred: bool,
}

impl AttemptHistory {
    /// When it ended without an established session.
    pub(super) fn failed_at(&self) -> Option<Instant> {
        let (at, end) = self.end?;
        (end != AttemptEnd::Answered(Reply::Accepted)).then_some(at)
    }

    /// Whether it may have had its effect.
    pub(super) fn may_have_run(&self) -> bool {
        !matches!(self.end, Some((_, AttemptEnd::Answered(Reply::Rejected))))
    }

    pub(super) fn was_accepted(&self) -> bool {
        matches!(self.end, Some((_, AttemptEnd::Answered(Reply::Accepted))))
    }
}

/// A session.
#[derive(Clone, Debug)]
pub(super) struct SessionHistory {
    pub(super) requested_at: Instant,
    pub(super) timeout: Duration,
    /// None where the client asked a backend itself.
    pub(super) relay: Option<RelayIndex>,
    pub(super) listener: usize,
    pub(super) answer: Option<(Instant, Answer)>,
    pub(super) ended_at: Option<Instant>,
    /// Nobody owes it an answer.
    pub(super) is_excused: bool,
    pub(super) attempts: Vec<AttemptHistory>,
    /// When its backend closed it.
    pub(super) closed_by_backend_at: Option<Instant>,
    /// The longest delay of a message by the backend itself.
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

/// A backend.
#[derive(Default)]
pub(super) struct BackendHistory {
    pub(super) paused: Intervals,
    /// It has a fault or does not run.
    pub(super) faulty: Intervals,
    /// When its draining or end was announced, by relay.
    pub(super) announced_at: BTreeMap<RelayIndex, Instant>,
    /// Since when it wants no new sessions.
    pub(super) closed_since: Option<Instant>,
    /// Since when a relay's operators have it banned, whatever the endpoint list says.
    pub(super) banned_since: BTreeMap<RelayIndex, Instant>,
}

/// Everything that excuses a violation, which must be known before anything is judged.
#[derive(Default)]
pub(super) struct Excuses {
    pub(super) killed_at: BTreeMap<RelayIndex, Vec<Instant>>,
    /// A relay owes nothing while its process is paused.
    pub(super) paused: BTreeMap<RelayIndex, Intervals>,
    /// Delays of the testbed itself, and when they ended.
    pub(super) testbed_delays: Vec<(Instant, Duration)>,
}

impl Excuses {
    /// How late the testbed may have observed what happened between the two.
    pub(super) fn lateness(&self, from: Instant, to: Instant) -> Duration {
        self.testbed_delays
            .iter()
            .filter(|(at, delay)| *at + *delay >= from && *at <= to + *delay)
            .map(|(_, delay)| *delay)
            .max()
            .unwrap_or(Duration::ZERO)
    }

    /// Whether the relay was paused; what waited is worked off for a moment after it.
    pub(super) fn was_paused(&self, relay: Option<RelayIndex>, from: Instant, to: Instant) -> bool {
        let paused = relay.and_then(|relay| self.paused.get(&relay));
        paused.is_some_and(|paused| paused.overlap(from - ORDER_TOLERANCE, to + ORDER_TOLERANCE))
    }

    /// Whether the relay was killed or paused.
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

/// Each time limit is so much longer on sockets.
pub(super) const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// Events of two threads, or of two sockets in one turn, may be recorded in the wrong order by so
/// much.
pub(super) const ORDER_TOLERANCE: Duration = Duration::from_millis(50);
/// A message may take so long, and the end of a session on its backend's side as long.
pub(super) const FORWARDING_LIMIT: Duration = Duration::from_millis(1_000);
