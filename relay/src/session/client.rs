//! The client's connection: handling its events by the session's stage, and writing to it.
use super::handshake::HandshakeError;
use super::shared::Shared;
use super::stage::Disposition::{self, Keep, Remove};
use super::stage::Stage;
use super::state::Session;
use crate::discovery::registry::EndpointRegistry;
use crate::io_context::IoContext;
use crate::line_buffer::ReadOutcome;
use crate::protocol;
use thistlecroft::attempt::AttemptOutcome;
use thistlecroft::time::Duration;

/// The time until an established session is closed after its client has finished sending.
const CLIENT_ENDED_TIMEOUT: Duration = Duration::from_millis(2_000);

impl Session {
    /// Handles readiness of the client's socket.
    pub(super) fn client_event(
        &mut self,
        shared: &mut Shared,
        registry: &EndpointRegistry,
        io: &mut IoContext,
    ) -> Disposition {
        match self.stage {
            Stage::Draining => return self.drain(io),
            Stage::HandingOver => return Keep,
            Stage::Placing | Stage::Inherited => return self.check_waiting_client(io),
            Stage::Handshake if self.output.has_pending() => {
                // Nothing is read before the client has taken its answers, so that they don't pile
                // up for one that sends and never reads.
                let disposition = self.write_to_client(io);
                if disposition == Remove || self.output.has_pending() {
                    return disposition;
                }
            }
            Stage::Handshake | Stage::Established | Stage::Closing => {}
        }
        if self.to_backend.has_room() && self.read_client(shared, registry, io) == Remove {
            return Remove;
        }
        self.write_to_client(io)
    }

    /// Reads once from the client, and handles what was read.
    fn read_client(
        &mut self,
        shared: &mut Shared,
        registry: &EndpointRegistry,
        io: &mut IoContext,
    ) -> Disposition {
        match self.to_backend.read_from(&mut self.client, &mut io.buffers) {
            Ok(ReadOutcome::Bytes(_)) => {
                self.last_activity = io.now;
                self.process_client_bytes(shared, registry, io)
            }
            Ok(ReadOutcome::Nothing) => Keep,
            Ok(ReadOutcome::Starved) => {
                self.wait_for_buffer(io);
                Keep
            }
            Ok(ReadOutcome::End) => self.client_finished_sending(io),
            Err(_) => self.client_connection_failed(io),
        }
    }

    /// Handles bytes read from the client, by the session's stage.
    fn process_client_bytes(
        &mut self,
        shared: &mut Shared,
        registry: &EndpointRegistry,
        io: &mut IoContext,
    ) -> Disposition {
        match self.stage {
            Stage::Handshake => self.read_first_lines(shared, registry, io),
            Stage::Established => self.relay_client_lines(io),
            Stage::Placing | Stage::Inherited | Stage::HandingOver => Keep,
            Stage::Closing | Stage::Draining => {
                self.to_backend.clear(&mut io.buffers);
                Keep
            }
        }
    }

    /// Handles the end of the client's sending.
    pub(super) fn client_finished_sending(&mut self, io: &mut IoContext) -> Disposition {
        match self.stage {
            Stage::Handshake if self.to_backend.has_writable() => {
                self.fail_handshake(HandshakeError::Truncated, io)
            }
            Stage::Handshake if self.output.has_pending() => self.close(io),
            Stage::Handshake | Stage::Draining => Remove,
            // The client may have left, or may only have finished sending and still wait for its
            // answer. Writing one does no harm in the first case.
            Stage::Placing | Stage::Inherited => {
                self.cancel_placement(io);
                self.close_with(protocol::FAILED_LINE, io)
            }
            Stage::Established => {
                self.close_after(CLIENT_ENDED_TIMEOUT, io);
                self.write_to_backend(io)
            }
            Stage::Closing | Stage::HandingOver => Keep,
        }
    }

    /// Handles a broken connection to the client.
    pub(super) fn client_connection_failed(&mut self, io: &mut IoContext) -> Disposition {
        match self.stage {
            Stage::Placing | Stage::Inherited => self.cancel_placement(io),
            Stage::Established => {
                self.report_session_end(AttemptOutcome::Cancelled, io);
                if let Some(attempt) = &self.attempt {
                    attempt.connection.set_reset_on_close();
                }
            }
            Stage::Handshake | Stage::HandingOver | Stage::Closing | Stage::Draining => {}
        }
        Remove
    }

    /// Closes the session if its close time has passed.
    pub(super) fn close_timer_fired(&mut self, io: &mut IoContext) -> Disposition {
        if self.close_at.is_none_or(|at| at > io.now) {
            return Keep;
        }
        self.close_at = None;
        match self.stage {
            Stage::Handshake if self.to_backend.has_bytes() => {
                self.fail_handshake(HandshakeError::TimedOut, io)
            }
            Stage::Established => {
                self.report_session_end(self.outcome_without_final_message(), io);
                Remove
            }
            Stage::Placing | Stage::Inherited | Stage::HandingOver => Keep,
            Stage::Handshake | Stage::Closing | Stage::Draining => Remove,
        }
    }

    /// Writes the lines that wait for the client: first the backend's, then the relay's own.
    pub(super) fn write_to_client(&mut self, io: &mut IoContext) -> Disposition {
        if matches!(self.stage, Stage::Established | Stage::Closing) {
            match self.to_client.write_to(&mut self.client, &mut io.buffers) {
                Ok(true) => {}
                Ok(false) => return Keep,
                Err(_) => return self.client_connection_failed(io),
            }
        }
        match self.output.write_to(&mut self.client) {
            Ok(true) => {}
            Ok(false) => return Keep,
            Err(_) => return self.client_connection_failed(io),
        }
        if self.stage == Stage::Closing {
            return self.start_draining(io);
        }
        if self.stage == Stage::Established
            && self.to_client.has_ended
            && !self.relaying.is_end_sent_to_client
        {
            self.client.finish_sending();
            self.relaying.is_end_sent_to_client = true;
        }
        self.remove_if_both_ended(io)
    }
}
