//! The stages in which a backend is still to accept the session: its client is watched, and the
//! backends' answers are taken.
use super::handshake::HandshakeError;
use super::stage::{Disposition, Stage};
use super::state::Session;
use crate::attempt::{AttemptStage, FailureCause};
use crate::driver::Event;
use crate::io_context::IoContext;
use crate::line_buffer::LineTooLong;
use crate::protocol::BackendMessage;
use crate::timers::Timer;
use std::io::{ErrorKind, Read};
use std::ops::ControlFlow;
use thistlecroft::attempt::AttemptOutcome;

impl Session {
    /// Looks whether a client that waits for its answer has left, or sends what it should not:
    /// relayed later, another command would have the backend close the session, and kept, there
    /// would be no end of it.
    pub(super) fn check_waiting_client(&mut self, io: &mut IoContext) -> Disposition {
        match self.client.read(&mut [0]) {
            Ok(0) => {
                self.to_backend.has_ended = true;
                self.client_ended(io)
            }
            Ok(_) => {
                self.cancel_placement(io);
                self.fail_handshake(HandshakeError::DataBeforeAnswer, io)
            }
            Err(error)
                if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) =>
            {
                self.write_to_client(io)
            }
            Err(_) => self.client_broken(io),
        }
    }

    /// The client has left before its answer: its attempts end with it.
    pub(super) fn cancel_placement(&mut self, io: &mut IoContext) {
        io.counters.clients_left += 1;
        let is_known_to_balancer = self.stage == Stage::Placing;
        if is_known_to_balancer {
            io.events.push_back(Event::SessionLeft(self.session_id()));
        }
        if let Some(mut hedge) = self.placement.hedge.take() {
            hedge.to_client.clear(&mut io.buffers);
            let failure = hedge.attempt.failure(FailureCause::Cancelled);
            self.report_attempt_end(hedge.attempt.number, failure, io);
        }
        if let Some(attempt) = self.attempt.take() {
            self.to_client.clear(&mut io.buffers);
            if is_known_to_balancer {
                let failure = attempt.failure(FailureCause::Cancelled);
                self.report_attempt_end(attempt.number, failure, io);
            }
        }
    }

    /// Takes a line with which a backend answers the request; a break is the attempt's end.
    pub(super) fn take_answer(
        &mut self,
        message: Result<BackendMessage, LineTooLong>,
        io: &mut IoContext,
    ) -> ControlFlow<()> {
        let Some(attempt) = &self.attempt else {
            return ControlFlow::Break(());
        };
        let cause = match message {
            Ok(BackendMessage::Accepted) if attempt.stage == AttemptStage::AwaitingAnswer => {
                self.become_established(io);
                return ControlFlow::Continue(());
            }
            Ok(BackendMessage::Load(_)) => {
                self.to_client.discard_lines(&mut io.buffers);
                return ControlFlow::Continue(());
            }
            // A session that ends well without having begun is no answer that a client could use.
            Ok(
                BackendMessage::Final(AttemptOutcome::Ok, _)
                | BackendMessage::Accepted
                | BackendMessage::Data,
            )
            | Err(LineTooLong) => FailureCause::InvalidAnswer,
            Ok(BackendMessage::Final(outcome, report)) => FailureCause::Answered(outcome, report),
        };
        self.end_attempt(cause, io);
        ControlFlow::Break(())
    }

    /// A backend has accepted the session.
    fn become_established(&mut self, io: &mut IoContext) {
        let id = self.session_id();
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        attempt.stage = AttemptStage::Established;
        io.events
            .push_back(match (self.stage, &self.placement.request) {
                (Stage::Inherited, Some(request)) => {
                    io.counters.inherited += 1;
                    Event::SessionInherited(id, attempt.backend, request.arrival)
                }
                _ => Event::AttemptReady(id, attempt.number),
            });
        io.counters.accepted += 1;
        self.stage = Stage::Established;
        self.placement.request = None;
        self.was_established = true;
        if let Some(idle_timeout) = self.idle_timeout() {
            io.timers
                .set(io.now + idle_timeout, Timer::IdleTimeout(self.id));
        }
    }
}
