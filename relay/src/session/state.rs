//! The state of one session.
use super::idle::{IdleEntry, IdleKind};
use super::response_latency::ResponseLatency;
use super::stage::Stage;
use crate::attempt::{Attempt, AttemptStage};
use crate::io_context::IoContext;
use crate::line_buffer::LineBuffer;
use crate::output_buffer::OutputBuffer;
use crate::protocol::OpenRequest;
use crate::sockets::Connection;
use crate::timers::Timer;
use thistlecroft::attempt::{AttemptOutcome, LoadReport};
use thistlecroft::deployment::Idempotency;
use thistlecroft::ids::SessionId;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_operator_config::SessionTimeouts;

/// A session, which owns its client's connection and the attempts under way for it.
pub(super) struct Session {
    pub(super) id: u32,
    pub(super) stage: Stage,
    pub(super) client: Connection,
    /// Details that the successor process needs if the session is handed over; none before the
    /// first line has been read.
    pub(super) metadata: Option<Box<SessionMetadata>>,
    /// The session's route; none before the first line has been read.
    pub(super) route: Option<SessionRoute>,
    /// State used until a backend has accepted the session.
    pub(super) placement: PlacementState,
    /// The attempt under way or, once established, the connection to the backend.
    pub(super) attempt: Option<Attempt>,
    /// State used while the session is established.
    pub(super) relaying: RelayingState,
    /// Lines from the client on their way to the backend.
    pub(super) to_backend: LineBuffer,
    /// Lines from the backend on their way to the client.
    pub(super) to_client: LineBuffer,
    /// The relay's own lines for the client, written after the lines in `to_client`.
    pub(super) output: OutputBuffer,
    /// The latest of: when the connection was established, when its request was read, when draining
    /// began.
    pub(super) phase_started: Instant,
    /// When the client last sent anything; for an established session, the client or the backend.
    pub(super) last_activity: Instant,
    /// The id from the request, reserved in [`Shared::open_ids`](super::shared::Shared::open_ids)
    /// until the session is removed.
    pub(super) open_id: Option<u64>,
    /// The entry for the id of a session that must not be repeated; none if it may be.
    pub(super) single_use: Option<SingleUse>,
    /// Whether the session has ever been established. Such a session is not shed, since lines on
    /// their way would be lost.
    pub(super) was_established: bool,
    /// When the session is closed, even if lines are still waiting to be written.
    pub(super) close_at: Option<Instant>,
    /// Whether the session has stopped reading until the buffer pool has a free buffer.
    pub(super) is_starved: bool,
}

/// State of a session that no backend has accepted yet.
#[derive(Default)]
pub(super) struct PlacementState {
    /// The client's request, until a backend has accepted it.
    pub(super) request: Option<Box<OpenRequest>>,
    /// A second attempt beside the first, until one of them is accepted.
    pub(super) hedge: Option<Box<HedgedAttempt>>,
    /// The number of attempts that the balancer has requested.
    pub(super) attempts_requested: u32,
    /// The serial of the latest attempt.
    pub(super) last_attempt_serial: u32,
}

/// State of an established session.
#[derive(Default)]
pub(super) struct RelayingState {
    pub(super) latency: ResponseLatency,
    /// The outcome and load in the backend's final message, once it has sent one.
    pub(super) final_message: Option<(AttemptOutcome, LoadReport)>,
    /// Whether the end of the session has been reported to the balancer.
    pub(super) is_end_reported: bool,
    /// Whether the client's end of sending has been passed on to the backend.
    pub(super) is_end_sent_to_backend: bool,
    /// Whether the backend's end of sending has been passed on to the client.
    pub(super) is_end_sent_to_client: bool,
}

/// A second attempt beside the first, and the lines that its backend has sent.
pub(super) struct HedgedAttempt {
    pub(super) attempt: Attempt,
    pub(super) to_client: LineBuffer,
}

/// The entry that is reserved for the id of a session that must not be repeated.
pub(super) struct SingleUse {
    /// The time after the session's end for which a repeat is refused.
    pub(super) refused_for: Duration,
    /// The earliest time at which a repeat is no longer refused.
    pub(super) refused_until: Instant,
    /// Whether a backend may have run the request.
    pub(super) may_have_run: bool,
}

/// A session's route, as configured when its first line was read.
pub(super) struct SessionRoute {
    pub(super) timeouts: SessionTimeouts,
    pub(super) idempotency: Idempotency,
    /// The generation of the configuration under which the session was opened.
    pub(super) generation: u32,
}

/// Details of a request that are kept after the session is established.
pub(super) struct SessionMetadata {
    pub(super) listener: String,
    pub(super) client_key: Option<u64>,
    pub(super) group: Option<u64>,
    /// The connection's load as the backend last reported it.
    pub(super) load: Option<f64>,
    /// Whether the balancer migrated the session while it was offered to the successor.
    pub(super) is_migration_due: bool,
}

impl SingleUse {
    /// Returns the entry for a session that begins now; none if its requests may be repeated.
    pub(super) fn new(
        idempotency: Idempotency,
        client_timeout: Duration,
        now: Instant,
    ) -> Option<SingleUse> {
        let window = match idempotency {
            Idempotency::Idempotent => return None,
            Idempotency::Keyed { window, .. } => window,
            Idempotency::NonIdempotent => Duration::ZERO,
        };
        Some(SingleUse {
            refused_for: client_timeout,
            refused_until: now + client_timeout + window,
            may_have_run: false,
        })
    }
}

impl Session {
    /// Creates a session for a connection that has sent nothing yet. `connected` is the earliest
    /// time at which the connection may have been established.
    pub(super) fn new(id: u32, client: Connection, connected: Instant, now: Instant) -> Session {
        Session {
            id,
            stage: Stage::Handshake,
            client,
            metadata: None,
            route: None,
            placement: PlacementState::default(),
            attempt: None,
            relaying: RelayingState::default(),
            to_backend: LineBuffer::default(),
            to_client: LineBuffer::default(),
            output: OutputBuffer::default(),
            phase_started: connected,
            last_activity: now,
            open_id: None,
            single_use: None,
            was_established: false,
            close_at: None,
            is_starved: false,
        }
    }

    /// Returns the session's id as the balancer knows it.
    pub(super) fn session_id(&self) -> SessionId {
        SessionId(self.id)
    }

    /// Returns whether no backend has accepted the session yet.
    pub(super) fn awaits_backend(&self) -> bool {
        matches!(self.stage, Stage::Placing | Stage::Inherited)
    }

    /// Returns the session's entry in the order of shedding, if its connection is idle.
    pub(super) fn idle_entry(&self) -> Option<IdleEntry> {
        let kind = match self.stage {
            Stage::Handshake | Stage::Closing => IdleKind::Unanswered,
            Stage::Draining => IdleKind::Answered,
            _ => return None,
        };
        (!self.was_established).then_some(IdleEntry {
            kind,
            silent_since: self.last_activity,
            session: self.id,
        })
    }

    /// Schedules the session to be closed after `delay`.
    pub(super) fn close_after(&mut self, delay: Duration, io: &mut IoContext) {
        self.close_at = Some(io.now + delay);
        io.timers.set(io.now + delay, Timer::Client(self.id));
    }

    /// Stops reading until the buffer pool has a free buffer.
    pub(super) fn wait_for_buffer(&mut self, io: &mut IoContext) {
        io.counters.starved += 1;
        self.is_starved = true;
        io.starved.push_back(self.id);
    }

    /// Updates the readiness that the poller waits for, by the stage and the bytes waiting to be
    /// written.
    pub(super) fn update_interests(&mut self) {
        if self.stage == Stage::HandingOver {
            self.client.set_interest(false, false);
            if let Some(attempt) = &mut self.attempt {
                attempt.connection.set_interest(false, false);
            }
            return;
        }
        let is_relaying = matches!(self.stage, Stage::Established | Stage::Closing);
        let has_output = is_relaying && self.to_client.has_writable() || self.output.has_pending();
        // A client that waits for a backend is read without a pool buffer, so that its leaving is
        // noticed even while the pool is exhausted.
        let can_read = self.awaits_backend() || !self.is_starved;
        let awaits_reader = self.stage == Stage::Handshake && self.output.has_pending();
        self.client.set_interest(
            self.to_backend.has_room() && can_read && !awaits_reader,
            has_output,
        );
        if let Some(attempt) = &mut self.attempt {
            let has_lines = attempt.stage == AttemptStage::Established
                && self.to_backend.has_writable()
                && !self.relaying.is_end_sent_to_backend;
            attempt.connection.set_interest(
                self.to_client.has_room() && !self.is_starved,
                attempt.is_sending() || has_lines,
            );
        }
        if let Some(hedge) = &mut self.placement.hedge {
            // Once the first attempt is accepted, the hedged attempt only waits to be cancelled.
            let is_placing = self.stage == Stage::Placing;
            hedge.attempt.connection.set_interest(
                is_placing && hedge.to_client.has_room() && !self.is_starved,
                is_placing && hedge.attempt.is_sending(),
            );
        }
    }
}
