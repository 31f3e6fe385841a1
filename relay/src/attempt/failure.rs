//! How a connection attempt failed, and what that proves about the session.
use thistlecroft::attempt::{AttemptOutcome, LoadReport};

/// How far an attempt had come when it ended: what its end proves depends on that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum AttemptProgress {
    /// The connection was not established.
    Unconnected,
    /// Established, but the last byte of the request had not been written.
    Connected,
    /// The whole request was written: the backend may have acted on it.
    RequestSent,
}

/// Why an attempt ended.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FailureCause {
    /// This process could not begin it, for example for lack of a descriptor.
    LocalFault,
    /// The connection was refused or broke.
    ConnectionLost,
    /// The backend took too long.
    TimedOut,
    /// The relay gave it up.
    Cancelled,
    /// The backend's answer made no sense.
    InvalidAnswer,
    /// The backend answered that the session has ended.
    Answered(AttemptOutcome, LoadReport),
}

/// An attempt that ended before a backend accepted the session.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptFailure {
    /// How far it had come.
    pub(crate) progress: AttemptProgress,
    /// Why it ended.
    pub(crate) cause: FailureCause,
}

impl AttemptFailure {
    /// The outcome that is reported to the balancer. A session can't have run before the last byte
    /// of its request was written; after that it may have.
    pub(crate) fn outcome(self) -> AttemptOutcome {
        match (self.cause, self.progress) {
            (FailureCause::LocalFault, _) => AttemptOutcome::NotSent,
            (FailureCause::Answered(outcome, _), _) => outcome,
            (FailureCause::InvalidAnswer, _) => AttemptOutcome::Error,
            (FailureCause::Cancelled, AttemptProgress::RequestSent) => AttemptOutcome::Cancelled,
            (FailureCause::Cancelled, _) => AttemptOutcome::NotSent,
            (FailureCause::ConnectionLost, AttemptProgress::RequestSent) => AttemptOutcome::Reset,
            (FailureCause::TimedOut, AttemptProgress::RequestSent) => AttemptOutcome::TimedOut,
            (FailureCause::ConnectionLost | FailureCause::TimedOut, _) => {
                AttemptOutcome::Unreachable
            }
        }
    }

    /// The load that the backend reported, if it answered.
    pub(crate) fn report(self) -> LoadReport {
        match self.cause {
            FailureCause::Answered(_, report) => report,
            _ => LoadReport::default(),
        }
    }
}
