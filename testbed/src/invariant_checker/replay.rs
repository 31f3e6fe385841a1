//! The steps of a check: first each event in turn, then each session as a whole.
use super::checker::InvariantChecker;
use super::history::{AttemptEnd, AttemptHistory, SessionHistory};
use super::result::{AttemptTotals, CheckResult, DeploymentProperties};
use crate::event_recorder::{BackendIndex, Observation, RecordedEvent, SessionId};
use thistlecroft::time::Instant;

/// Checks whether the recorded events of a run keep the invariants. The events must be in
/// chronological order.
pub fn check_invariants(
    events: &[RecordedEvent],
    deployment: &DeploymentProperties,
) -> CheckResult {
    let mut checker = InvariantChecker::new(events, deployment);
    for event in events {
        checker.replay(event.at, &event.observation);
    }
    checker.check_sessions();
    checker.result
}

impl InvariantChecker<'_> {
    fn replay(&mut self, at: Instant, observation: &Observation) {
        match observation {
            Observation::Answered { session, answer } => self.on_answered(at, *session, *answer),
            Observation::DataAfterAnswer { session } => self.on_data_after_answer(at, *session),
            Observation::AnswerTimedOut { session } => {
                self.on_no_answer(at, *session, "the session had no answer within its timeout");
            }
            Observation::ClosedUnanswered { session } => {
                self.on_no_answer(at, *session, "the connection was closed without an answer");
            }
            Observation::ClientLeft { session } => {
                if let Some(history) = self.sessions.get_mut(session) {
                    history.is_excused = true;
                    history.ended_at = Some(at);
                }
            }
            Observation::Migrated { session } | Observation::SessionClosed { session } => {
                if let Some(history) = self.sessions.get_mut(session) {
                    history.ended_at = Some(at);
                }
            }
            Observation::ConnectionLost { session } => self.on_connection_lost(at, *session),
            Observation::MessageLate { session, waited } => {
                self.on_message_late(at, *session, *waited);
            }
            Observation::MessageMismatched { session } => {
                self.on_message_mismatched(at, *session);
            }
            Observation::AttemptReceived {
                backend,
                session,
                first_byte_at,
            } => self.on_attempt(at, *backend, *session, *first_byte_at),
            Observation::AttemptAnswered {
                backend,
                session,
                reply,
            } => self.on_attempt_ended(at, *backend, *session, AttemptEnd::Answered(*reply)),
            Observation::AttemptAbandoned { backend, session } => {
                self.on_attempt_ended(at, *backend, *session, AttemptEnd::Abandoned);
            }
            Observation::Note { text } => self.on_note(at, text),
            _ => self.replay_backend(at, observation),
        }
    }

    /// Handles the events that concern a backend rather than one of its sessions.
    fn replay_backend(&mut self, at: Instant, observation: &Observation) {
        match observation {
            Observation::BackendDraining { backend } | Observation::BackendStopped { backend } => {
                self.on_backend_closed(at, *backend);
            }
            Observation::BackendStarted { backend, .. } => self.on_backend_started(*backend),
            Observation::EndpointAnnounced {
                relay,
                backend,
                lifecycle,
            } => self.on_announced(at, *relay, *backend, *lifecycle),
            Observation::BackendBanned {
                relay,
                backend,
                banned,
            } => self.on_banned(at, *relay, *backend, *banned),
            Observation::BackendOverloaded { backend } => self.on_overloaded(at, *backend),
            Observation::BackendLoad {
                warm_up_budget_used,
                ..
            } => self.on_warm_up_budget(*warm_up_budget_used),
            _ => {}
        }
    }

    fn on_attempt(
        &mut self,
        at: Instant,
        backend: BackendIndex,
        session: SessionId,
        first_byte_at: Instant,
    ) {
        self.result.attempts += 1;
        let Some(relay) = self.sessions.get(&session).map(|history| history.relay) else {
            return;
        };
        let is_imprecise = self.was_recently_paused(backend, at);
        if let Some(relay) = relay
            && !is_imprecise
        {
            self.check_drains_and_bans(at, relay, backend, session, first_byte_at);
        }
        if let Some(history) = self.sessions.get_mut(&session) {
            history.attempts.push(AttemptHistory {
                backend,
                received_at: at,
                first_byte_at,
                end: None,
                is_imprecise,
            });
        }
    }

    fn on_attempt_ended(
        &mut self,
        at: Instant,
        backend: BackendIndex,
        session: SessionId,
        end: AttemptEnd,
    ) {
        let paused = self.backends.get(&backend).map(|history| &history.paused);
        let Some(history) = self.sessions.get_mut(&session) else {
            return;
        };
        let open_attempt = history
            .attempts
            .iter_mut()
            .rev()
            .find(|attempt| attempt.backend == backend && attempt.end.is_none());
        if let Some(attempt) = open_attempt {
            attempt.end = Some((at, end));
            attempt.is_imprecise |=
                paused.is_some_and(|paused| paused.overlaps(attempt.received_at, at));
        }
    }

    /// Runs the checks that need all events of a session.
    fn check_sessions(&mut self) {
        let sessions: Vec<SessionId> = self.sessions.keys().copied().collect();
        for session in sessions {
            let history = self.sessions[&session].clone();
            self.count_session(&history);
            if history.relay.is_none() {
                continue;
            }
            self.check_never_answered(session, &history);
            self.check_withheld_answer(session, &history);
            self.check_orphaned(session, &history);
            self.check_concurrent_attempts(session, &history);
            self.check_effects(session, &history);
        }
    }

    fn count_session(&mut self, history: &SessionHistory) {
        self.result.sessions += 1;
        self.result.max_attempts = self.result.max_attempts.max(history.attempts.len());
        if history.answer.is_some() {
            self.result.answered += 1;
        } else if history.is_excused {
            self.result.excused += 1;
        }
        let listeners = &mut self.result.listeners;
        if listeners.len() <= history.listener {
            listeners.resize(history.listener + 1, AttemptTotals::default());
        }
        listeners[history.listener].add(history);
    }
}

impl AttemptTotals {
    fn add(&mut self, history: &SessionHistory) {
        self.sessions += 1;
        self.max_per_session = self.max_per_session.max(history.attempts.len());
        for pair in history.attempts.windows(2) {
            let failed_at = pair[0].failed_at();
            if failed_at.is_none_or(|at| at > pair[1].received_at) {
                self.hedged += 1;
            } else {
                self.retries += 1;
            }
        }
        if let Some((at, _)) = history.answer {
            let answer_time = at.duration_since(history.requested_at);
            self.longest_answer_time = self.longest_answer_time.max(answer_time);
        }
    }
}
