//! Tests of the outcomes of failed attempts.
use super::AttemptFailure;
use super::AttemptProgress::{Connected, RequestSent, Unconnected};
use super::FailureCause::{self, Cancelled, ConnectionLost, InvalidAnswer, LocalFault, TimedOut};
use thistlecroft::attempt::{AttemptOutcome, LoadReport};

#[test]
fn attempt_failure_outcome_follows_cause_and_progress() {
    let cases = [
        (Unconnected, LocalFault, AttemptOutcome::NotSent),
        (Unconnected, ConnectionLost, AttemptOutcome::Unreachable),
        (Unconnected, TimedOut, AttemptOutcome::Unreachable),
        (Unconnected, Cancelled, AttemptOutcome::NotSent),
        (Connected, ConnectionLost, AttemptOutcome::Unreachable),
        (Connected, TimedOut, AttemptOutcome::Unreachable),
        (Connected, Cancelled, AttemptOutcome::NotSent),
        (RequestSent, ConnectionLost, AttemptOutcome::Reset),
        (RequestSent, TimedOut, AttemptOutcome::TimedOut),
        (RequestSent, Cancelled, AttemptOutcome::Cancelled),
        (RequestSent, InvalidAnswer, AttemptOutcome::Error),
        // The backend answered before the whole request was sent, so the session may have run.
        (Connected, InvalidAnswer, AttemptOutcome::Error),
        (
            RequestSent,
            FailureCause::Answered(AttemptOutcome::Saturated, LoadReport::default()),
            AttemptOutcome::Saturated,
        ),
    ];
    for (progress, cause, expected) in cases {
        assert_eq!(
            AttemptFailure { progress, cause }.outcome(),
            expected,
            "{progress:?} {cause:?}"
        );
    }
}
