//! The backend's connection: its events by the session's stage, and what is written to it.
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

/// How long a session lasts after its backend has ended it; the protocol allows a second.
const BACKEND_ENDED_TIMEOUT: Duration = Duration::from_millis(700);

impl Session {
    /// The socket of the first attempt is ready.
    pub(super) fn backend_event(
        &mut self,
        shared: &Shared,
        registry: &EndpointRegistry,
        io: &mut IoContext,
    ) -> Disposition {
        let is_unsent = self.attempt.as_ref().is_some_and(Attempt::is_unsent);
        if self.awaits_backend()
            && is_unsent
            && let ControlFlow::Break(disposition) = self.check_before_sending(registry, io)
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
                Ok(ReadOutcome::Bytes(_)) => return self.take_backend_lines(shared, io),
                Ok(ReadOutcome::Nothing) => {}
                Ok(ReadOutcome::Starved) => self.wait_for_buffer(io),
                Ok(ReadOutcome::End) => return self.backend_ended(io),
                Err(_) => return self.backend_broken(io),
            }
        }
        if self.stage == Stage::Established {
            self.write_to_backend(io)
        } else {
            Keep
        }
    }

    /// Looks once more before the first byte of a request leaves: between the decision and this
    /// moment the client may have left, the backend may be out, and the loop may have been kept. An
    /// attempt that ends here has never been sent.
    fn check_before_sending(
        &mut self,
        registry: &EndpointRegistry,
        io: &mut IoContext,
    ) -> ControlFlow<Disposition> {
        let disposition = self.check_waiting_client(io);
        if disposition == Remove || !self.awaits_backend() {
            return ControlFlow::Break(disposition);
        }
        // Its timer, if that is due, comes behind the sockets' events of this turn.
        let is_stale = |attempt: &Attempt| {
            registry.is_draining_or_banned(attempt.backend) || attempt.is_overdue(io.now)
        };
        if self.stage == Stage::Placing && self.attempt.as_ref().is_some_and(is_stale) {
            self.end_attempt(FailureCause::Cancelled, io);
            return ControlFlow::Break(Keep);
        }
        ControlFlow::Continue(())
    }

    fn take_backend_lines(&mut self, shared: &Shared, io: &mut IoContext) -> Disposition {
        loop {
            let line = self.to_client.next_line();
            let message = line.map(|line| line.map(BackendMessage::parse));
            let Some(message) = message.transpose() else {
                break;
            };
            if self.stage != Stage::Established {
                if self.take_answer(message, io).is_break() {
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

    /// The backend has ended its sending.
    fn backend_ended(&mut self, io: &mut IoContext) -> Disposition {
        if self.stage != Stage::Established {
            self.end_attempt(FailureCause::ConnectionLost, io);
            return Keep;
        }
        self.report_session_end(self.outcome_without_final_message(), io);
        self.close_after(BACKEND_ENDED_TIMEOUT, io);
        self.write_to_client(io)
    }

    /// The backend's connection is broken, which the client is to see as well.
    fn backend_broken(&mut self, io: &mut IoContext) -> Disposition {
        if self.stage != Stage::Established {
            return self.backend_ended(io);
        }
        if self.relaying.final_message.is_some() || self.to_backend.has_ended {
            // The session had ended on one side: an end, whatever the system makes of it.
            self.to_client.has_ended = true;
            return self.backend_ended(io);
        }
        self.report_session_end(AttemptOutcome::Reset, io);
        // Lines that came before the break pass before it. Where they can't at once the client gets
        // an end instead, since a break would throw them away.
        match self.to_client.write_to(&mut self.client, &mut io.buffers) {
            Ok(false) => self.close(io),
            Ok(true) | Err(_) => {
                self.client.set_reset_on_close();
                Remove
            }
        }
    }

    /// Writes the client's lines that wait for the backend, and their end behind them.
    pub(super) fn write_to_backend(&mut self, io: &mut IoContext) -> Disposition {
        if self.relaying.is_backend_shut {
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
                self.relaying.is_backend_shut = true;
            }
            Ok(_) => {}
            Err(_) => {
                // Nothing more gets there; what the backend sent before is still to be read, then
                // its end.
                self.to_backend.clear(&mut io.buffers);
                self.relaying.is_backend_shut = self.to_backend.has_ended;
            }
        }
        self.remove_if_both_ended(io)
    }
}
