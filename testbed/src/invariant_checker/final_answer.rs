//! The first invariant: each session receives one final answer in time, and an established session
//! is served until it migrates, ends, or its backend fails.
use super::checker::InvariantChecker;
use super::history::{
    AttemptHistory, FORWARDING_LIMIT, ORDER_TOLERANCE, SOCKET_SLACK, SessionHistory,
};
use super::result::Invariant;
use super::timeline::Subject;
use crate::event_recorder::{Answer, SessionId};
use thistlecroft::time::{Duration, Instant};

/// The time that a relay may take to find a backend unreachable. The loss of a connection is
/// excused if its backend had a fault within this time before.
const UNREACHABLE_LIMIT: Duration = Duration::from_millis(8_000);
/// An answer that comes less than this before the deadline counts as withheld if no attempt was
/// under way for longer than `MAX_IDLE`.
const NEAR_DEADLINE: Duration = Duration::from_millis(150);
/// The time for which an answer may be outstanding with no attempt under way.
const MAX_IDLE: Duration = Duration::from_millis(250);
/// The prefix of a backend's note about a line that violates the protocol.
const SYNTAX_NOTE: &str = "SYNTAX";

impl InvariantChecker<'_> {
    fn report_answer(&mut self, at: Instant, description: impl Into<String>, session: SessionId) {
        let subject = Subject::session(session);
        self.report(Invariant::FinalAnswer, at, description, subject);
    }

    pub(super) fn on_answered(&mut self, at: Instant, session: SessionId, answer: Answer) {
        let Some(history) = self.sessions.get_mut(&session) else {
            return;
        };
        if history.answer.is_some() {
            return self.report_answer(at, "the session was answered twice", session);
        }
        history.answer = Some((at, answer));
        if answer != Answer::Accepted {
            history.ended_at = Some(at);
        }
        let (relay, requested_at) = (history.relay, history.requested_at);
        let deadline = history.deadline();
        let lateness = self.excuses.max_testbed_delay(requested_at, at);
        if relay.is_some()
            && at > deadline + SOCKET_SLACK + lateness
            && !self.excuses.was_paused(relay, requested_at, at)
        {
            let late = at.duration_since(deadline).as_millis();
            let description = format!("the session was answered {late} ms after its timeout");
            self.report_answer(at, description, session);
        }
    }

    pub(super) fn on_data_after_answer(&mut self, at: Instant, session: SessionId) {
        self.report_answer(
            at,
            "the client received more data after the final answer",
            session,
        );
    }

    /// Handles a session whose timeout passed, or whose connection was closed, without an answer.
    pub(super) fn on_no_answer(&mut self, at: Instant, session: SessionId, description: &str) {
        let Some(history) = self.sessions.get_mut(&session) else {
            return;
        };
        history.ended_at = Some(at);
        let (relay, from) = (history.relay, history.requested_at);
        if relay.is_some() && !self.excuses.was_killed_or_paused(relay, from, at) {
            self.report_answer(at, description, session);
        } else {
            history.is_excused = true;
        }
    }

    /// Handles the loss of an established connection, which a fault of its backend or a kill or
    /// pause of its relay excuses.
    pub(super) fn on_connection_lost(&mut self, at: Instant, session: SessionId) {
        let Some(history) = self.sessions.get_mut(&session) else {
            return;
        };
        history.ended_at = Some(at);
        let (relay, closed_at) = (history.relay, history.closed_by_backend_at);
        let backend = history
            .attempts
            .iter()
            .find(|attempt| attempt.was_accepted())
            .map(|attempt| attempt.backend);
        // Backends that clients connect to directly may close any connection.
        if relay.is_none()
            || closed_at.is_some_and(|closed_at| closed_at <= at + ORDER_TOLERANCE)
            || self
                .excuses
                .was_killed_or_paused(relay, at - FORWARDING_LIMIT, at)
        {
            return;
        }
        let history = backend.and_then(|backend| self.backends.get(&backend));
        if history.is_some_and(|history| history.faulty.overlaps(at - UNREACHABLE_LIMIT, at)) {
            return;
        }
        self.report(
            Invariant::FinalAnswer,
            at,
            "the connection was lost without MOVE while its backend had no fault",
            Subject {
                session: Some(session),
                backend,
            },
        );
    }

    pub(super) fn on_message_late(&mut self, at: Instant, session: SessionId, waited: Duration) {
        let Some(history) = self.sessions.get(&session) else {
            return;
        };
        let from = at - waited;
        let has_backend_fault = |attempt: &AttemptHistory| {
            self.backends.get(&attempt.backend).is_some_and(|backend| {
                backend.faulty.overlaps(from, at) || backend.paused.overlaps(from, at)
            })
        };
        let limit = FORWARDING_LIMIT
            + SOCKET_SLACK
            + (history.backend_delay + self.excuses.max_testbed_delay(from, at));
        if self.excuses.was_paused(history.relay, from, at)
            || history.relay.is_none()
            || history.attempts.iter().any(has_backend_fault)
            || waited <= limit
        {
            return;
        }
        let description = format!(
            "a message took {} ms although its backend had answered earlier",
            waited.as_millis()
        );
        self.report_answer(at, description, session);
    }

    pub(super) fn on_message_mismatched(&mut self, at: Instant, session: SessionId) {
        let description = "the client received a message that it had not sent, or out of order";
        self.report_answer(at, description, session);
    }

    /// Handles a backend's note about an invalid line. Clients behind relays send none, so that a
    /// relay must have sent it.
    pub(super) fn on_note(&mut self, at: Instant, text: &str) {
        if text.starts_with(SYNTAX_NOTE) && self.has_relays {
            let description = format!("a backend received a line that no client sent: {text}");
            self.report(Invariant::FinalAnswer, at, description, Subject::default());
        }
    }

    pub(super) fn check_never_answered(&mut self, session: SessionId, history: &SessionHistory) {
        let deadline = history.deadline();
        if history.answer.is_none()
            && !history.is_excused
            && history.ended_at.is_none()
            && self.end > deadline + FORWARDING_LIMIT
        {
            self.report_answer(deadline, "the session was never answered", session);
        }
    }

    /// Checks that a rejection or failure was not withheld until shortly before the deadline while
    /// no attempt was under way.
    pub(super) fn check_withheld_answer(&mut self, session: SessionId, history: &SessionHistory) {
        let Some((at, Answer::Rejected(_) | Answer::Failed)) = history.answer else {
            return;
        };
        let last_attempt_end = history
            .attempts
            .iter()
            .map(|attempt| attempt.end.map_or(at, |(end, _)| end))
            .max();
        let idle_since = last_attempt_end.unwrap_or(history.requested_at);
        let idle = at.duration_since(idle_since);
        let is_imprecise = history.attempts.iter().any(|attempt| attempt.is_imprecise)
            || self.excuses.was_paused(history.relay, idle_since, at);
        if at + NEAR_DEADLINE >= history.deadline() && idle > MAX_IDLE && !is_imprecise {
            let idle = idle.as_millis();
            let description =
                format!("the answer was withheld for {idle} ms with no attempt under way");
            self.report_answer(at, description, session);
        }
    }

    /// Checks that a session ended or migrated within the limit after its backend had closed it.
    pub(super) fn check_orphaned(&mut self, session: SessionId, history: &SessionHistory) {
        let (Some(closed_at), Some((_, Answer::Accepted))) =
            (history.closed_by_backend_at, history.answer)
        else {
            return;
        };
        let ended_at = history.ended_at.unwrap_or(self.end);
        let lateness = self.excuses.max_testbed_delay(closed_at, ended_at);
        if ended_at > closed_at + FORWARDING_LIMIT + SOCKET_SLACK + lateness
            && !self
                .excuses
                .was_killed_or_paused(history.relay, closed_at, ended_at)
        {
            let description = "the session was open over a second after its backend had closed it";
            self.report_answer(ended_at, description, session);
        }
    }
}
