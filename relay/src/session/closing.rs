//! The last stages: the relay's last line is written, and the client's end awaited.
use super::stage::Disposition::{self, Keep, Remove};
use super::stage::Stage;
use super::state::Session;
use crate::driver::Event;
use crate::io_context::IoContext;
use crate::protocol;
use std::io::{ErrorKind, Read};
use thistlecroft::attempt::{AttemptEnd, AttemptOutcome, LoadReport};
use thistlecroft::time::Duration;

/// After the relay's last line a client is given this long to end its side; the protocol allows a
/// second in all.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(400);

/// The longest draining of a client that keeps sending. What it sends is read and dropped: a
/// connection closed with unread bytes is reset, and the last line would be lost.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(3_000);

/// Bytes that are dropped with one read.
const DRAIN_READ_BYTES: usize = 64 * 1024;

/// Reads in one turn: a megabyte in all, which leaves time for others.
const MAX_DRAIN_READS_PER_TURN: usize = 16;

impl Session {
    /// Closes the session behind this last line.
    pub(super) fn close_with(&mut self, line: &str, io: &mut IoContext) -> Disposition {
        self.output.push_line(line);
        self.close(io)
    }

    /// Closes the session behind the lines that wait for the client.
    pub(super) fn close(&mut self, io: &mut IoContext) -> Disposition {
        self.stage = Stage::Closing;
        self.attempt = None;
        self.drop_hedge(&mut io.buffers);
        self.to_client.discard_partial_line(&mut io.buffers);
        self.to_backend.clear(&mut io.buffers);
        self.close_after(DRAIN_TIMEOUT, io);
        self.write_to_client(io)
    }

    /// Migrates an established session: its client is to connect again.
    pub(super) fn migrate(&mut self, io: &mut IoContext) -> Disposition {
        io.counters.sent_away += 1;
        self.report_session_end(AttemptOutcome::Cancelled, io);
        if let Some(attempt) = &mut self.attempt {
            // What the client has sent passes before the end, as far as the backend takes it.
            let _ = self
                .to_backend
                .write_to(&mut attempt.connection, &mut io.buffers);
            attempt.connection.finish_sending();
        }
        self.close_with(protocol::MIGRATED_LINE, io)
    }

    /// Answers the session after a panic in the code that handled it.
    pub(super) fn fail(&mut self, io: &mut IoContext) -> Disposition {
        match self.stage {
            Stage::Placing | Stage::Inherited => {
                self.cancel_placement(io);
                self.close_with(protocol::FAILED_LINE, io)
            }
            Stage::Established => self.migrate(io),
            Stage::Handshake | Stage::HandingOver | Stage::Closing | Stage::Draining => Keep,
        }
    }

    /// Everything is written: the client is to end its side.
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

    /// Drops what a client still sends behind the relay's last line. Each piece gives it a little
    /// longer to read that line, up to a limit.
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

    /// The outcome of an established session whose backend sent no final message: `Ok` if the
    /// client had ended it.
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
