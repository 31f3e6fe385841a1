//! How an attempt failed, and whether the session may have run nonetheless.
use thistlecroft::attempt::{AttemptOutcome, LoadReport};

/// How far an attempt had come when it ended, which decides whether the session may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum AttemptProgress {
    /// The connection was not established.
    Unconnected,
    /// The connection was established, but the last byte of the request had not been written.
    Connected,
    /// The whole request was written: the backend may have acted on it.
    RequestSent,
}

/// Why an attempt ended.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FailureCause {
    /// This process could not start the attempt, for example for lack of a descriptor.
    LocalFault,
    /// The connection was refused or broke.
    ConnectionLost,
    /// The connection was not established or the backend did not answer in time.
    TimedOut,
    /// The relay cancelled the attempt.
    Cancelled,
    /// The backend's answer violated the protocol.
    InvalidAnswer,
    /// The backend answered with a final message.
    Answered(AttemptOutcome, LoadReport),
}

/// An attempt that ended before a backend accepted the session.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptFailure {
    /// How far the attempt had come.
    pub(crate) progress: AttemptProgress,
    /// Why the attempt ended.
    pub(crate) cause: FailureCause,
}

impl AttemptFailure {
    /// Returns the outcome to report to the balancer. A session can't have run before the last byte
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

    /// Returns the load that the backend reported; an empty report if it did not answer.
    pub(crate) fn report(self) -> LoadReport {
        match self.cause {
            FailureCause::Answered(_, report) => report,
            _ => LoadReport::default(),
        }
    }
}
