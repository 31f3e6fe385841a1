//! The last stages: writing the relay's last line, and waiting for the client to close.
use super::stage::Disposition::{self, Keep, Remove};
use super::stage::Stage;
use super::state::Session;
use crate::driver::Event;
use crate::io_context::IoContext;
use crate::protocol;
use std::io::{ErrorKind, Read};
use thistlecroft::attempt::{AttemptEnd, AttemptOutcome, LoadReport};
use thistlecroft::time::Duration;

/// The time that a client has to close its side after the relay's last line. The protocol allows
/// one second in total.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(400);

/// The longest time for which a client that keeps sending is drained. Its bytes are read and
/// dropped, because closing a connection with unread bytes resets it, which would lose the last
/// line.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(3_000);

/// Bytes that one read drops at most.
const DRAIN_READ_BYTES: usize = 64 * 1024;

/// Reads per turn of the event loop while draining. At 1 MiB in total, other sessions are not
/// delayed.
const MAX_DRAIN_READS_PER_TURN: usize = 16;

impl Session {
    /// Closes the session after writing this last line.
    pub(super) fn close_with(&mut self, line: &str, io: &mut IoContext) -> Disposition {
        self.output.push_line(line);
        self.close(io)
    }

    /// Closes the session after writing the lines that wait for the client.
    pub(super) fn close(&mut self, io: &mut IoContext) -> Disposition {
        self.stage = Stage::Closing;
        self.note_attempts_under_way();
        self.attempt = None;
        self.drop_hedge(&mut io.buffers);
        self.to_client.discard_partial_line(&mut io.buffers);
        self.to_backend.clear(&mut io.buffers);
        self.close_after(DRAIN_TIMEOUT, io);
        self.write_to_client(io)
    }

    /// Migrates an established session: its client is told to connect again.
    pub(super) fn migrate(&mut self, io: &mut IoContext) -> Disposition {
        io.counters.sent_away += 1;
        self.report_session_end(AttemptOutcome::Cancelled, io);
        if let Some(attempt) = &mut self.attempt {
            // The client's waiting lines are written first, as far as the socket takes them at
            // once.
            let _ = self
                .to_backend
                .write_to(&mut attempt.connection, &mut io.buffers);
            attempt.connection.finish_sending();
        }
        self.close_with(protocol::MIGRATED_LINE, io)
    }

    /// Answers and closes a waiting or established session after a panic in the code that handled
    /// it.
    pub(super) fn fail_after_panic(&mut self, io: &mut IoContext) -> Disposition {
        match self.stage {
            Stage::Placing | Stage::Inherited => {
                self.cancel_placement(io);
                self.close_with(protocol::FAILED_LINE, io)
            }
            Stage::Established => self.migrate(io),
            Stage::Handshake | Stage::HandingOver | Stage::Closing | Stage::Draining => Keep,
        }
    }

    /// Starts waiting for the client to close its side, once everything is written.
    pub(super) fn start_draining(&mut self, io: &mut IoContext) -> Disposition {
        self.client.finish_sending();
        self.stage = Stage::Draining;
        self.phase_started = io.now;
        if self.to_backend.has_ended {
            return Remove;
        }
        self.close_after(DRAIN_TIMEOUT, io);
        Keep
    }

    /// Drops what the client sends after the relay's last line. Each call extends the time that the
    /// client has to read that line, up to `MAX_DRAIN_TIME` in total.
    pub(super) fn drain(&mut self, io: &mut IoContext) -> Disposition {
        let mut dropped = [0; DRAIN_READ_BYTES];
        for _ in 0..MAX_DRAIN_READS_PER_TURN {
            match self.client.read(&mut dropped) {
                Ok(0) => return Remove,
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() != ErrorKind::Interrupted => return Remove,
                _ => {}
            }
        }
        let remaining = MAX_DRAIN_TIME - io.now.duration_since(self.phase_started);
        self.close_after(DRAIN_TIMEOUT.min(remaining), io);
        Keep
    }

    /// Returns the outcome of an established session whose backend sent no final message: `Ok` if
    /// the client has finished sending, else `Reset`.
    pub(super) fn outcome_without_final_message(&self) -> AttemptOutcome {
        if self.to_backend.has_ended {
            AttemptOutcome::Ok
        } else {
            AttemptOutcome::Reset
        }
    }

    /// Reports the end of an established session to the balancer, once. The backend's final
    /// message, if there was one, takes precedence over `outcome`.
    pub(super) fn report_session_end(&mut self, outcome: AttemptOutcome, io: &mut IoContext) {
        let Some(attempt) = self
            .attempt
            .as_ref()
            .filter(|_| !self.relaying.is_end_reported)
        else {
            return;
        };
        self.relaying.is_end_reported = true;
        let (outcome, report) = self
            .relaying
            .final_message
            .unwrap_or((outcome, LoadReport::default()));
        match outcome {
            AttemptOutcome::Ok => io.counters.ended_well += 1,
            AttemptOutcome::Reset => io.counters.ended_broken += 1,
            _ => {}
        }
        let end = AttemptEnd {
            attempt: attempt.number,
            outcome,
            is_answered: true,
            report,
        };
        io.events
            .push_back(Event::AttemptEnded(self.session_id(), end));
    }
}
