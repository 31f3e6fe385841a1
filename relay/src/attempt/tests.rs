//! What the end of an attempt proves.
use super::AttemptFailure;
use super::AttemptProgress::{Connected, RequestSent, Unconnected};
use super::FailureCause::{self, Cancelled, ConnectionLost, InvalidAnswer, LocalFault, TimedOut};
use thistlecroft::attempt::{AttemptOutcome, LoadReport};

#[test]
fn attempt_failure_proves_what_its_progress_allows() {
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
        // An answer to a line that was not all sent yet: it may have run all the same.
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
