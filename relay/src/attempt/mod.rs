//! One attempt of a session to connect to a backend, and the resulting connection.
mod failure;
#[cfg(test)]
mod tests;

pub(crate) use failure::{AttemptFailure, AttemptProgress, FailureCause};

use crate::io_context::IoContext;
use crate::output_buffer::OutputBuffer;
use crate::sockets::{Connection, SocketOwner};
use crate::timers::Timer;
use std::net::SocketAddr;
use thistlecroft::ids::BackendId;
use thistlecroft::time::{Duration, Instant};

/// The stage of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptStage {
    /// The connection is being established.
    Connecting,
    /// The request is being written.
    SendingRequest,
    /// The relay waits for the backend's answer.
    AwaitingAnswer,
    /// The backend has accepted the session.
    Established,
}

/// An attempt to connect to a backend and, once the backend has accepted the session, the
/// connection to it.
pub(crate) struct Attempt {
    /// The index of this attempt among those that the balancer requested for the session.
    pub(crate) number: u32,
    /// The serial that tells this attempt's timers from those of the session's other attempts.
    pub(crate) serial: u32,
    pub(crate) backend: BackendId,
    pub(crate) connection: Connection,
    pub(crate) stage: AttemptStage,
    /// The part of the request that is still to be written.
    request: OutputBuffer,
    connect_deadline: Instant,
    deadline: Instant,
}

/// The parameters of an attempt.
pub(crate) struct AttemptPlan {
    pub(crate) number: u32,
    pub(crate) serial: u32,
    pub(crate) backend: BackendId,
    /// The backend's address, if it is known.
    pub(crate) address: Option<SocketAddr>,
    /// The request line for the backend, without its ending.
    pub(crate) request: String,
    /// The time within which the connection must be established.
    pub(crate) connect_timeout: Duration,
    /// The time within which the backend must have answered.
    pub(crate) timeout: Duration,
}

impl Attempt {
    /// Starts connecting, and sets the attempt's timers.
    ///
    /// # Errors
    /// The address is unknown, the connection is refused at once, or the system is out of
    /// descriptors or ports.
    pub(crate) fn begin(
        session: u32,
        plan: AttemptPlan,
        io: &mut IoContext,
    ) -> Result<Attempt, AttemptFailure> {
        let failed = |cause| AttemptFailure {
            progress: AttemptProgress::Unconnected,
            cause,
        };
        let address = plan.address.ok_or(failed(FailureCause::ConnectionLost))?;
        let connection = io
            .sockets
            .connect(SocketOwner::Attempt(session), address)
            .map_err(|error| {
                let is_refused = error.kind() == std::io::ErrorKind::ConnectionRefused;
                failed(if is_refused {
                    FailureCause::ConnectionLost
                } else {
                    FailureCause::LocalFault
                })
            })?;
        let connect_deadline = io.now + plan.connect_timeout;
        let deadline = io.now + plan.timeout;
        let timer = Timer::Attempt(session, plan.serial);
        io.timers.set(connect_deadline.min(deadline), timer);
        io.timers.set(deadline, timer);
        let mut request = OutputBuffer::default();
        request.push_line(&plan.request);
        Ok(Attempt {
            number: plan.number,
            serial: plan.serial,
            backend: plan.backend,
            connection,
            stage: AttemptStage::Connecting,
            request,
            connect_deadline,
            deadline,
        })
    }

    /// Creates an attempt in its established stage, from a connection that the predecessor handed
    /// over.
    pub(crate) fn adopted(backend: BackendId, connection: Connection, now: Instant) -> Attempt {
        Attempt {
            number: 0,
            serial: 0,
            backend,
            connection,
            stage: AttemptStage::Established,
            request: OutputBuffer::default(),
            connect_deadline: now,
            deadline: now,
        }
    }

    /// Returns the failure of an attempt that ends now for this cause.
    pub(crate) fn failure(&self, cause: FailureCause) -> AttemptFailure {
        let progress = match self.stage {
            AttemptStage::Connecting => AttemptProgress::Unconnected,
            AttemptStage::SendingRequest => AttemptProgress::Connected,
            AttemptStage::AwaitingAnswer | AttemptStage::Established => {
                AttemptProgress::RequestSent
            }
        };
        AttemptFailure { progress, cause }
    }

    /// Returns whether no byte of the request has been written. If the attempt is cancelled now,
    /// the backend never learns of it.
    pub(crate) fn is_unsent(&self) -> bool {
        match self.stage {
            AttemptStage::Connecting => true,
            AttemptStage::SendingRequest => !self.request.has_written(),
            AttemptStage::AwaitingAnswer | AttemptStage::Established => false,
        }
    }

    /// Returns whether the attempt waits for its socket to become writable.
    pub(crate) fn is_sending(&self) -> bool {
        matches!(
            self.stage,
            AttemptStage::Connecting | AttemptStage::SendingRequest
        )
    }

    /// Continues to connect and to write the request, as far as the socket allows at present.
    ///
    /// # Errors
    /// The connection was refused or broke.
    pub(crate) fn advance(&mut self) -> Result<(), AttemptFailure> {
        if self.stage == AttemptStage::Connecting {
            match self.connection.is_connected() {
                Ok(true) => self.stage = AttemptStage::SendingRequest,
                Ok(false) => return Ok(()),
                Err(_) => return Err(self.failure(FailureCause::ConnectionLost)),
            }
        }
        if self.stage == AttemptStage::SendingRequest {
            match self.request.write_to(&mut self.connection) {
                Ok(true) => self.stage = AttemptStage::AwaitingAnswer,
                Ok(false) => {}
                Err(_) => return Err(self.failure(FailureCause::ConnectionLost)),
            }
        }
        Ok(())
    }

    /// Returns whether the deadline of the attempt's present stage has passed.
    pub(crate) fn is_overdue(&self, now: Instant) -> bool {
        match self.stage {
            AttemptStage::Connecting => now >= self.connect_deadline.min(self.deadline),
            AttemptStage::SendingRequest | AttemptStage::AwaitingAnswer => now >= self.deadline,
            AttemptStage::Established => false,
        }
    }
}
