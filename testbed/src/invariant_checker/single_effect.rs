//! The second invariant: no session has its effect twice.
use super::checker::InvariantChecker;
use super::history::{AttemptHistory, ORDER_TOLERANCE, SOCKET_SLACK, SessionHistory};
use super::result::Invariant;
use super::timeline::Subject;
use crate::event_recorder::{Answer, BackendIndex, SessionId};
use thistlecroft::deployment::{DeduplicationScope, Idempotency};
use thistlecroft::time::{Duration, Instant};

/// When the invariant was violated, and a description of how.
type Finding = (Instant, &'static str);

impl InvariantChecker<'_> {
    /// Checks that two attempts were under way at once only if hedged attempts are allowed.
    pub(super) fn check_concurrent_attempts(
        &mut self,
        session: SessionId,
        history: &SessionHistory,
    ) {
        if self.deployment.hedged.get(history.listener) == Some(&true) {
            return;
        }
        for pair in history.attempts.windows(2) {
            let [one, two] = pair else { continue };
            let lateness = self
                .excuses
                .max_testbed_delay(one.received_at, two.received_at);
            let had_ended = one
                .failed_at()
                .is_some_and(|at| at <= two.received_at + ORDER_TOLERANCE + lateness);
            if one.is_imprecise || two.is_imprecise || had_ended {
                continue;
            }
            let description = format!(
                "backends {} and {} had concurrent attempts of the session",
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

    /// Checks that no attempt repeated an effect that an earlier attempt may have had, and that no
    /// rejection led the client to repeat it.
    pub(super) fn check_effects(&mut self, session: SessionId, history: &SessionHistory) {
        let Some(first) = history
            .attempts
            .iter()
            .find(|attempt| attempt.may_have_had_effect())
        else {
            return;
        };
        let later: Vec<&AttemptHistory> = history
            .attempts
            .iter()
            .filter(|attempt| attempt.received_at > first.received_at)
            .collect();
        let was_rejected = matches!(history.answer, Some((_, Answer::Rejected(_))));
        let finding = match self.deployment.idempotency.get(history.listener) {
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

    /// Checks that a session with an idempotency key was attempted again only where, and only as
    /// long as, its key was known.
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
                let description = "the session was attempted again where its key is not known";
                (attempt.received_at, description)
            });
        let key_expired_at = first.first_byte_at + window + SOCKET_SLACK;
        let too_late = later
            .iter()
            .find(|attempt| attempt.first_byte_at > key_expired_at)
            .map(|attempt| {
                let description = "the session was attempted again after its key had expired";
                (attempt.received_at, description)
            });
        let rejected = (was_rejected && scope != DeduplicationScope::All).then_some((
            first.received_at,
            "the session may have had its effect and was rejected",
        ));
        out_of_scope.or(too_late).or(rejected)
    }

    /// Returns whether two backends share their idempotency keys.
    fn shares_scope(
        &self,
        scope: DeduplicationScope,
        one: BackendIndex,
        other: BackendIndex,
    ) -> bool {
        let location =
            |index: BackendIndex| self.deployment.backend_locations.get(usize::from(index.0));
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
    let repeated = later.first().map(|attempt| {
        let description = "a non-idempotent session was attempted again";
        (attempt.received_at, description)
    });
    let rejected = was_rejected.then_some((
        first.received_at,
        "a non-idempotent session that may have had its effect was rejected",
    ));
    repeated.or(rejected)
}
