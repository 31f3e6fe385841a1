//! The client's connection: its events by the session's stage, and what is written to it.
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

/// How long an established session lasts after its client has ended its sending.
const CLIENT_ENDED_TIMEOUT: Duration = Duration::from_millis(2_000);

impl Session {
    /// The client's socket is ready.
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
            Stage::Handshake | Stage::Established | Stage::Closing => {}
        }
        if self.to_backend.has_room() && self.read_client(shared, registry, io) == Remove {
            return Remove;
        }
        self.write_to_client(io)
    }

    fn read_client(
        &mut self,
        shared: &mut Shared,
        registry: &EndpointRegistry,
        io: &mut IoContext,
    ) -> Disposition {
        match self.to_backend.read_from(&mut self.client, &mut io.buffers) {
            Ok(ReadOutcome::Bytes(_)) => {
                self.last_activity = io.now;
                self.take_client_bytes(shared, registry, io)
            }
            Ok(ReadOutcome::Nothing) => Keep,
            Ok(ReadOutcome::Starved) => {
                self.wait_for_buffer(io);
                Keep
            }
            Ok(ReadOutcome::End) => self.client_ended(io),
            Err(_) => self.client_broken(io),
        }
    }

    fn take_client_bytes(
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

    /// The client has ended its sending.
    pub(super) fn client_ended(&mut self, io: &mut IoContext) -> Disposition {
        match self.stage {
            Stage::Handshake if self.to_backend.has_writable() => {
                self.fail_handshake(HandshakeError::Truncated, io)
            }
            Stage::Handshake if self.output.has_pending() => self.close(io),
            Stage::Handshake | Stage::Draining => Remove,
            // The client may have gone, or may only have no more to send and still wait for its
            // answer; writing one does no harm in the first case.
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

    /// The client's connection is broken.
    pub(super) fn client_broken(&mut self, io: &mut IoContext) -> Disposition {
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

    /// The time may have come at which the session is closed.
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

    /// Writes what waits for the client: first the backend's lines, then the relay's own.
    pub(super) fn write_to_client(&mut self, io: &mut IoContext) -> Disposition {
        if matches!(self.stage, Stage::Established | Stage::Closing) {
            match self.to_client.write_to(&mut self.client, &mut io.buffers) {
                Ok(true) => {}
                Ok(false) => return Keep,
                Err(_) => return self.client_broken(io),
            }
        }
        match self.output.write_to(&mut self.client) {
            Ok(true) => {}
            Ok(false) => return Keep,
            Err(_) => return self.client_broken(io),
        }
        if self.stage == Stage::Closing {
            return self.start_draining(io);
        }
        if self.stage == Stage::Established
            && self.to_client.has_ended
            && !self.relaying.is_client_shut
        {
            self.client.finish_sending();
            self.relaying.is_client_shut = true;
        }
        self.remove_if_both_ended(io)
    }
}
