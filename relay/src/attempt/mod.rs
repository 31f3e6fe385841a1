//! One attempt of a session to connect to a backend, and the connection that comes of it.
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

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptStage {
    /// The connection is being established.
    Connecting,
    /// The request is being written.
    SendingRequest,
    /// The backend's answer is awaited.
    AwaitingAnswer,
    /// The backend has accepted the session.
    Established,
}

/// A connection to a backend, from its beginning to its end.
pub(crate) struct Attempt {
    /// Its index among the attempts that the balancer requested.
    pub(crate) number: u32,
    /// Tells its timers from those of the session's other attempts.
    pub(crate) serial: u32,
    pub(crate) backend: BackendId,
    pub(crate) connection: Connection,
    pub(crate) stage: AttemptStage,
    /// What is left to write of the request.
    request: OutputBuffer,
    connect_deadline: Instant,
    deadline: Instant,
}

/// What an attempt is to be.
pub(crate) struct AttemptPlan {
    pub(crate) number: u32,
    pub(crate) serial: u32,
    pub(crate) backend: BackendId,
    /// The backend's address, if it is known.
    pub(crate) address: Option<SocketAddr>,
    /// The line that requests the session of the backend.
    pub(crate) request: String,
    /// How long establishing the connection may take.
    pub(crate) connect_timeout: Duration,
    /// How long everything may take, up to the backend's answer.
    pub(crate) timeout: Duration,
}

impl Attempt {
    /// Begins to connect, and sets the timers of the attempt.
    ///
    /// # Errors
    /// The address is unknown, the backend refuses at once, or the system has no descriptor or port
    /// left.
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

    /// A connection that another process of this relay established.
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

    /// The failure that it is if it ends now for this cause.
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

    /// Whether nothing of the request has left: given up now, the backend never hears of it.
    pub(crate) fn is_unsent(&self) -> bool {
        match self.stage {
            AttemptStage::Connecting => true,
            AttemptStage::SendingRequest => !self.request.has_written(),
            AttemptStage::AwaitingAnswer | AttemptStage::Established => false,
        }
    }

    /// Whether its socket is waited for until it can be written to.
    pub(crate) fn is_sending(&self) -> bool {
        matches!(
            self.stage,
            AttemptStage::Connecting | AttemptStage::SendingRequest
        )
    }

    /// Goes on with connecting and with writing the request, as far as the socket allows.
    ///
    /// # Errors
    /// The connection is refused or breaks.
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

    /// Whether it has taken longer than its stage may.
    pub(crate) fn is_overdue(&self, now: Instant) -> bool {
        match self.stage {
            AttemptStage::Connecting => now >= self.connect_deadline.min(self.deadline),
            AttemptStage::SendingRequest | AttemptStage::AwaitingAnswer => now >= self.deadline,
            AttemptStage::Established => false,
        }
    }
}
