//! What is kept of one session.
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
use thistlecroft::ids::SessionId;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_operator_config::SessionTimeouts;

/// A session: it owns its client's connection and the attempts that are under way for it.
pub(super) struct Session {
    pub(super) id: u32,
    pub(super) stage: Stage,
    pub(super) client: Connection,
    /// What the successor process needs to know of it.
    pub(super) metadata: Option<Box<SessionMetadata>>,
    /// Known once the first line is read.
    pub(super) route: Option<SessionRoute>,
    /// What finds it a backend.
    pub(super) placement: PlacementState,
    /// The attempt under way or, once established, the connection to the backend.
    pub(super) attempt: Option<Attempt>,
    /// What is known of it once it is established.
    pub(super) relaying: RelayingState,
    /// Lines from the client on their way to the backend.
    pub(super) to_backend: LineBuffer,
    /// Lines from the backend on their way to the client.
    pub(super) to_client: LineBuffer,
    /// The relay's own lines for the client, written behind those that wait in `to_client`.
    pub(super) output: OutputBuffer,
    /// When the connection was established, its request was read, or draining began: the last of
    /// these.
    pub(super) phase_started: Instant,
    /// When the client last sent anything or, once established, the backend did.
    pub(super) last_activity: Instant,
    /// The id from its request, for as long as no other session may have the same.
    pub(super) open_id: Option<u64>,
    /// It has been established: shedding it would lose what is still on its way.
    pub(super) was_established: bool,
    /// When it is closed, whatever is still on its way.
    pub(super) close_at: Option<Instant>,
    /// It waits for a buffer of the pool.
    pub(super) is_starved: bool,
}

/// State of a session that a backend is still to accept.
#[derive(Default)]
pub(super) struct PlacementState {
    /// The client's request, until a backend has accepted it.
    pub(super) request: Option<Box<OpenRequest>>,
    /// A second attempt beside the first, until one of them is accepted.
    pub(super) hedge: Option<Box<HedgedAttempt>>,
    /// How many attempts the balancer has requested.
    pub(super) attempts_requested: u32,
    /// Serial of the latest attempt.
    pub(super) attempt_serial: u32,
}

/// State of an established session.
#[derive(Default)]
pub(super) struct RelayingState {
    pub(super) latency: ResponseLatency,
    /// How the backend itself said that the session ended.
    pub(super) final_message: Option<(AttemptOutcome, LoadReport)>,
    /// The balancer knows that the session has ended.
    pub(super) is_end_reported: bool,
    /// The client's end has been passed on to the backend.
    pub(super) is_backend_shut: bool,
    /// The backend's end has been passed on to the client.
    pub(super) is_client_shut: bool,
}

/// A second attempt, and what its backend has sent.
pub(super) struct HedgedAttempt {
    pub(super) attempt: Attempt,
    pub(super) to_client: LineBuffer,
}

/// The route that a session takes, as it was when its first line was read.
pub(super) struct SessionRoute {
    pub(super) timeouts: SessionTimeouts,
    /// Generation of the configuration under which it was opened.
    pub(super) generation: u32,
}

/// What stays of a request once the session is established.
pub(super) struct SessionMetadata {
    pub(super) listener: String,
    pub(super) key: Option<u64>,
    pub(super) group: Option<u64>,
    /// The connection's load as the backend last reported it.
    pub(super) load: Option<f64>,
    /// The balancer migrated it while it was offered to the successor.
    pub(super) is_migration_due: bool,
}

impl Session {
    /// A connection that has sent nothing yet. `connected` is when it may have been established.
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
            was_established: false,
            close_at: None,
            is_starved: false,
        }
    }

    /// Its id as the balancer knows it.
    pub(super) fn session_id(&self) -> SessionId {
        SessionId(self.id)
    }

    /// Whether a backend is still to accept it.
    pub(super) fn awaits_backend(&self) -> bool {
        matches!(self.stage, Stage::Placing | Stage::Inherited)
    }

    /// Its place among those that hold a descriptor without being served, if it is one.
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

    /// Sets the time at which it is closed.
    pub(super) fn close_after(&mut self, delay: Duration, io: &mut IoContext) {
        self.close_at = Some(io.now + delay);
        io.timers.set(io.now + delay, Timer::Client(self.id));
    }

    /// It stops reading until a buffer comes back to the pool.
    pub(super) fn wait_for_buffer(&mut self, io: &mut IoContext) {
        io.counters.starved += 1;
        self.is_starved = true;
        io.starved.push_back(self.id);
    }

    /// Tells the poller what to wait for, by the stage and by what is on its way.
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
        // While it awaits a backend nothing that it sends is kept: no lack of buffers may hide that
        // it leaves.
        let can_read = self.awaits_backend() || !self.is_starved;
        self.client
            .set_interest(self.to_backend.has_room() && can_read, has_output);
        if let Some(attempt) = &mut self.attempt {
            let has_lines = attempt.stage == AttemptStage::Established
                && self.to_backend.has_writable()
                && !self.relaying.is_backend_shut;
            attempt.connection.set_interest(
                self.to_client.has_room() && !self.is_starved,
                attempt.is_sending() || has_lines,
            );
        }
        if let Some(hedge) = &mut self.placement.hedge {
            // Once the other attempt is accepted, this one only waits to be cancelled.
            let is_placing = self.stage == Stage::Placing;
            hedge.attempt.connection.set_interest(
                is_placing && hedge.to_client.has_room() && !self.is_starved,
                is_placing && hedge.attempt.is_sending(),
            );
        }
    }
}
