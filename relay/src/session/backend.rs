//! The connection to the backend: handling its events by the session's stage, and writing to it.
use super::handshake::HandshakeError;
use super::shared::Shared;
use super::stage::Disposition::{self, Keep, Remove};
use super::stage::Stage;
use super::state::Session;
use crate::attempt::{Attempt, AttemptStage, FailureCause};
use crate::discovery::registry::EndpointRegistry;
use crate::io_context::IoContext;
use crate::line_buffer::ReadOutcome;
use crate::protocol::BackendMessage;
use std::ops::ControlFlow;
use thistlecroft::attempt::AttemptOutcome;
use thistlecroft::time::Duration;

/// The time until a session is closed after its backend has finished sending. The protocol allows
/// one second.
const BACKEND_ENDED_TIMEOUT: Duration = Duration::from_millis(700);

impl Session {
    /// Handles readiness of the first attempt's socket.
    pub(super) fn backend_event(
        &mut self,
        shared: &Shared,
        registry: &EndpointRegistry,
        io: &mut IoContext,
    ) -> Disposition {
        let is_unsent = self.attempt.as_ref().is_some_and(Attempt::is_unsent);
        if self.awaits_backend()
            && is_unsent
            && let ControlFlow::Break(disposition) = self.check_before_sending(shared, registry, io)
        {
            return disposition;
        }
        if self.stage == Stage::HandingOver {
            return Keep;
        }
        let Some(attempt) = &mut self.attempt else {
            return Keep;
        };
        if let Err(failure) = attempt.advance() {
            self.attempt_failed(failure, io);
            return Keep;
        }
        if attempt.stage != AttemptStage::Connecting && self.to_client.has_room() {
            match self
                .to_client
                .read_from(&mut attempt.connection, &mut io.buffers)
            {
                Ok(ReadOutcome::Bytes(_)) => return self.process_backend_lines(shared, io),
                Ok(ReadOutcome::Nothing) => {}
                Ok(ReadOutcome::Starved) => self.wait_for_buffer(io),
                Ok(ReadOutcome::End) => return self.backend_finished_sending(io),
                Err(_) => return self.backend_connection_failed(io),
            }
        }
        if self.stage == Stage::Established {
            self.write_to_backend(io)
        } else {
            Keep
        }
    }

    /// Checks that an attempt is still wanted before the first byte of its request is sent. Since
    /// the balancer's decision the client may have left, the backend may have been drained or
    /// banned, and the event loop may have been delayed. An attempt that ends here was never sent.
    fn check_before_sending(
        &mut self,
        shared: &Shared,
        registry: &EndpointRegistry,
        io: &mut IoContext,
    ) -> ControlFlow<Disposition> {
        let disposition = self.check_waiting_client(io);
        if disposition == Remove || !self.awaits_backend() {
            return ControlFlow::Break(disposition);
        }
        // The other process may have opened a session of the same id meanwhile.
        let id = self.open_id.filter(|_| self.single_use.is_some());
        if id.is_some_and(|id| shared.used_ids.is_open_elsewhere(id)) {
            self.cancel_placement(io);
            return ControlFlow::Break(self.fail_handshake(HandshakeError::RepeatedId, io));
        }
        // Sockets' events are handled before timers, so the attempt may be overdue already.
        let is_stale = |attempt: &Attempt| {
            registry.is_draining_or_banned(attempt.backend) || attempt.is_overdue(io.now)
        };
        if self.stage == Stage::Placing && self.attempt.as_ref().is_some_and(is_stale) {
            self.end_attempt(FailureCause::Cancelled, io);
            return ControlFlow::Break(Keep);
        }
        ControlFlow::Continue(())
    }

    /// Handles the whole lines that the backend has sent, and relays them once established.
    fn process_backend_lines(&mut self, shared: &Shared, io: &mut IoContext) -> Disposition {
        loop {
            let line = self.to_client.next_line();
            let message = line.map(|line| line.map(BackendMessage::parse));
            let Some(message) = message.transpose() else {
                break;
            };
            if self.stage != Stage::Established {
                if self.process_answer(message, io).is_break() {
                    return Keep;
                }
                continue;
            }
            self.last_activity = io.now;
            let Ok(message) = message else {
                return self.migrate(io);
            };
            self.observe_backend_message(message, shared, io);
            io.counters.lines_down += 1;
        }
        if self.stage == Stage::Established {
            self.write_to_client(io)
        } else {
            Keep
        }
    }

    /// Handles the end of the backend's sending.
    fn backend_finished_sending(&mut self, io: &mut IoContext) -> Disposition {
        if self.stage != Stage::Established {
            self.end_attempt(FailureCause::ConnectionLost, io);
            return Keep;
        }
        self.report_session_end(self.outcome_without_final_message(), io);
        self.close_after(BACKEND_ENDED_TIMEOUT, io);
        self.write_to_client(io)
    }

    /// Handles a broken connection to the backend. Before the session is established, this ends the
    /// attempt; afterwards the client's connection is reset in turn, unless one side had already
    /// ended the session.
    fn backend_connection_failed(&mut self, io: &mut IoContext) -> Disposition {
        if self.stage != Stage::Established {
            return self.backend_finished_sending(io);
        }
        if self.relaying.final_message.is_some() || self.to_backend.has_ended {
            // One side had already ended the session, so the error counts as a normal end.
            self.to_client.has_ended = true;
            return self.backend_finished_sending(io);
        }
        self.report_session_end(AttemptOutcome::Reset, io);
        // Lines received before the error are written first. If they can't all be written at once
        // the client's connection is closed normally instead, since a reset would discard them.
        match self.to_client.write_to(&mut self.client, &mut io.buffers) {
            Ok(false) => self.close(io),
            Ok(true) | Err(_) => {
                self.client.set_reset_on_close();
                Remove
            }
        }
    }

    /// Writes the client's waiting lines to the backend, then the client's end of sending.
    pub(super) fn write_to_backend(&mut self, io: &mut IoContext) -> Disposition {
        if self.relaying.is_end_sent_to_backend {
            return Keep;
        }
        let Some(attempt) = &mut self.attempt else {
            return Keep;
        };
        match self
            .to_backend
            .write_to(&mut attempt.connection, &mut io.buffers)
        {
            Ok(true) if self.to_backend.has_ended => {
                attempt.connection.finish_sending();
                self.relaying.is_end_sent_to_backend = true;
            }
            Ok(_) => {}
            Err(_) => {
                // The backend takes no more bytes, but what it sent before is still read up to its
                // end.
                self.to_backend.clear(&mut io.buffers);
                self.relaying.is_end_sent_to_backend = self.to_backend.has_ended;
            }
        }
        self.remove_if_both_ended(io)
    }
}
