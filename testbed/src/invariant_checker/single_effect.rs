//! The second invariant: no session has its effect twice.
use super::checker::InvariantChecker;
use super::history::{AttemptHistory, ORDER_TOLERANCE, SOCKET_SLACK, SessionHistory};
use super::result::Invariant;
use super::timeline::Subject;
use crate::event_recorder::{Answer, BackendIndex, SessionId};
use thistlecroft::deployment::{DeduplicationScope, Idempotency};
use thistlecroft::time::{Duration, Instant};

/// When the invariant was violated, and how.
type Finding = (Instant, &'static str);

impl InvariantChecker<'_> {
    /// Two attempts may be under way at once only where hedged requests are allowed.
    pub(super) fn check_concurrent_attempts(
        &mut self,
        session: SessionId,
        history: &SessionHistory,
    ) {
        if self.rules.hedged.get(history.listener) == Some(&true) {
            return;
        }
        for pair in history.attempts.windows(2) {
            let [one, two] = pair else { continue };
            let lateness = self.excuses.lateness(one.received_at, two.received_at);
            let had_ended = one
                .failed_at()
                .is_some_and(|at| at <= two.received_at + ORDER_TOLERANCE + lateness);
            if one.is_blurred || two.is_blurred || had_ended {
                continue;
            }
            let description = format!(
                "boxes {} and {} had a dial of it at once",
                one.backend.0, two.backend.0
            );
            self.report(
                Invariant::SingleEffect,
                two.received_at,
                description,
                Subject::session(session),
            );
        }
    }

    /// Attempts after the first that may have had its effect must not have it again, and the
    /// client must not be led to repeat it.
    pub(super) fn check_effects(&mut self, session: SessionId, history: &SessionHistory) {
        let Some(first) = history
            .attempts
            .iter()
            .find(|attempt| attempt.may_have_run())
        else {
            return;
        };
        let later: Vec<&AttemptHistory> = history
            .attempts
            .iter()
            .filter(|attempt| attempt.received_at > first.received_at)
            .collect();
        let was_rejected = matches!(history.answer, Some((_, Answer::Rejected(_))));
        let finding = match self.rules.idempotency.get(history.listener) {
            Some(Idempotency::NonIdempotent) => check_non_idempotent(first, &later, was_rejected),
            Some(Idempotency::Keyed { scope, window }) => {
                self.check_keyed(first, &later, was_rejected, *scope, *window)
            }
            _ => None,
        };
        if let Some((at, description)) = finding {
            let subject = Subject::session(session);
            self.report(Invariant::SingleEffect, at, description, subject);
        }
    }

    /// A session with an idempotency key may be attempted again where and while its key is known.
    fn check_keyed(
        &self,
        first: &AttemptHistory,
        later: &[&AttemptHistory],
        was_rejected: bool,
        scope: DeduplicationScope,
        window: Duration,
    ) -> Option<Finding> {
        let out_of_scope = later
            .iter()
            .find(|attempt| !self.shares_scope(scope, first.backend, attempt.backend))
            .map(|attempt| {
                let description = "it was repeated where its mark is not known";
                (attempt.received_at, description)
            });
        let forgotten_at = first.first_byte_at + window + SOCKET_SLACK;
        let too_late = later
            .iter()
            .find(|attempt| attempt.first_byte_at > forgotten_at)
            .map(|attempt| {
                let description = "it was repeated after its mark was forgotten";
                (attempt.received_at, description)
            });
        let rejected = (was_rejected && scope != DeduplicationScope::All)
            .then_some((first.received_at, "it may have run and was refused"));
        out_of_scope.or(too_late).or(rejected)
    }

    /// Whether one backend knows the idempotency keys of the other.
    fn shares_scope(
        &self,
        scope: DeduplicationScope,
        one: BackendIndex,
        other: BackendIndex,
    ) -> bool {
        let location = |index: BackendIndex| self.rules.backend_locations.get(usize::from(index.0));
        let zone = |index| location(index).map(|(zone, _)| zone);
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => zone(one) == zone(other),
            DeduplicationScope::Cell => location(one) == location(other),
        }
    }
}

fn check_non_idempotent(
    first: &AttemptHistory,
    later: &[&AttemptHistory],
    was_rejected: bool,
) -> Option<Finding> {
    let again = later.first().map(|attempt| {
        let description = "a once-only session was dialled again";
        (attempt.received_at, description)
    });
    let rejected = was_rejected.then_some((
        first.received_at,
        "a once-only session that may have run was refused",
    ));
    again.or(rejected)
}
