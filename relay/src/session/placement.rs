//! The stages in which no backend has accepted the session yet: checking on the waiting client, and
//! handling the backends' answers.
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
    /// Checks whether a client that waits for its answer has left or has sent data, which fails its
    /// session. Data sent this early can't be relayed later: the backend would close the session
    /// if it received another command, and keeping the data would need unlimited memory.
    pub(super) fn check_waiting_client(&mut self, io: &mut IoContext) -> Disposition {
        match self.client.read(&mut [0]) {
            Ok(0) => {
                self.to_backend.has_ended = true;
                self.client_finished_sending(io)
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
            Err(_) => self.client_connection_failed(io),
        }
    }

    /// Cancels the session's attempts, because the client no longer waits or the session has
    /// failed.
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
            let failure = attempt.failure(FailureCause::Cancelled);
            if failure.outcome().may_have_run() {
                self.note_possible_run();
            }
            if is_known_to_balancer {
                self.report_attempt_end(attempt.number, failure, io);
            }
        }
    }

    /// Handles a line that a backend sends in answer to the request. Returns `Break` if the attempt
    /// has ended.
    pub(super) fn process_answer(
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
            // A final message of success before the session was accepted is no answer that a client
            // could use.
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

    /// Moves the session to the established stage, after a backend has accepted it.
    fn become_established(&mut self, io: &mut IoContext) {
        let id = self.session_id();
        self.note_possible_run();
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
