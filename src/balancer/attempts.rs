//! Connection attempts: their start, their end, and the retry that may follow.
use super::Balancer;
use super::health_checks::Urgency;
use super::session_state::{Attempt, SessionState};
use super::task_queue::Task;
use crate::attempt::{AttemptEnd, AttemptOutcome};
use crate::driver::Driver;
use crate::ids::{BackendId, SessionId};
use crate::route_limits::ExtraAttempt;
use crate::time::{Duration, Instant};

/// Ticks of the caller's clock kept free before a session's deadline, so that an attempt that times
/// out can still be answered.
const ANSWER_TICKS: f64 = 2.0;
/// Share of the retry limits that any session may use. A session may use more of the rest the more
/// it is worth and the more of its time is left.
const UNRESERVED_RETRY_SHARE: f64 = 0.5;
/// Factor on the duration of a timed-out attempt when it is recorded as a connect time.
const TIMED_OUT_FACTOR: f64 = 2.0;

impl Balancer {
    /// Starts the session's next attempt, or gives the final answer if none can be made.
    pub(super) fn connect(&mut self, now: Instant, id: SessionId, driver: &mut dyn Driver) {
        let state = self.sessions.get(&id).map(|session| session.state);
        let Some(SessionState::New | SessionState::BackingOff) = state else {
            return;
        };
        // Leaving the backoff releases the reserved retry. `try_spend` counts it again below.
        self.set_state(id, SessionState::New, driver);
        let Some(backend_id) = self.select_backend(now, id) else {
            self.schedule_health_check(now, Urgency::Hurried, driver);
            return self.reject(now, id, driver);
        };
        let session = &self.sessions[&id];
        let (route, is_retry) = (session.route.clone(), session.attempts_started > 0);
        // The retry task may run late, and the connection may take its whole timeout to become
        // ready.
        let is_deduplicated = |_, window_end| now + route.connect_timeout < window_end;
        if !self.may_repeat(session, is_deduplicated)
            || is_retry && !self.limits.try_spend(now, &route, ExtraAttempt::Retry)
        {
            return self.reject(now, id, driver);
        }
        let Some(attempt) = self.start_attempt(now, id, backend_id, driver) else {
            return self.fail(id, driver);
        };
        self.set_state(id, SessionState::Connecting(attempt), driver);
        self.schedule_hedge(now, id, attempt, driver);
    }

    /// Starts an attempt, or returns `None` if no time is left for it.
    pub(super) fn start_attempt(
        &mut self,
        now: Instant,
        id: SessionId,
        backend_id: BackendId,
        driver: &mut dyn Driver,
    ) -> Option<Attempt> {
        let timeout = self.attempt_timeout(now, id);
        if timeout == Duration::ZERO {
            return None;
        }
        let session = self.sessions.get_mut(&id)?;
        let number = session.attempts_started;
        session.attempts_started += 1;
        let turn = self.slow_start_turn(now, backend_id);
        if let Some(backend) = self.backends.get_mut(&backend_id) {
            backend.recent_placements.push_back(now);
            backend.statistics.slow_start_use = turn.map(|turn| (turn.number, turn.used + 1));
        }
        driver.connect(id, backend_id, timeout);
        Some(Attempt {
            number,
            backend: backend_id,
            started_at: now,
        })
    }

    /// Forgets the placement of an attempt that was never sent: it is no load of its backend, and its
    /// slow-start turn is open again.
    fn forget_placement(&mut self, attempt: Attempt) {
        let turn = self.slow_start_turn(attempt.started_at, attempt.backend);
        let Some(backend) = self.backends.get_mut(&attempt.backend) else {
            return;
        };
        let mut placements = backend.recent_placements.iter();
        if let Some(index) = placements.rposition(|&at| at == attempt.started_at) {
            backend.recent_placements.remove(index);
        }
        if let Some(turn) = turn.filter(|turn| turn.used > 0) {
            backend.statistics.slow_start_use = Some((turn.number, turn.used - 1));
        }
    }

    /// Returns how long the session's next attempt may take. The last one gets all the time that is
    /// left.
    fn attempt_timeout(&self, now: Instant, id: SessionId) -> Duration {
        let session = &self.sessions[&id];
        let tick = self.deployment.tick;
        let time_left = self.deadline_of(session).duration_since(now + tick + tick);
        if session.attempts_started + 1 >= session.route.max_attempts {
            return time_left;
        }
        let slow_connect_time = self.traffic.connect_time * session.route.attempt_timeout_factor;
        time_left.min(session.route.handshake_objective.max(slow_connect_time))
    }

    /// Handles an attempt that has set its connection up.
    pub fn attempt_ready(
        &mut self,
        now: Instant,
        id: SessionId,
        number: u32,
        driver: &mut dyn Driver,
    ) {
        self.promote_hedge(id, number);
        let Some(session) = self.sessions.get(&id) else {
            return;
        };
        let SessionState::Connecting(attempt) = session.state else {
            return;
        };
        if attempt.number != number {
            return;
        }
        let (route, key) = (session.route.clone(), session.arrival.client_key);
        self.cancel_hedge(id, driver);
        if let Some(key) = key {
            self.client_failures(key, now).clears_at = Some(now + route.stable_after);
        }
        self.clear_failures(attempt.backend);
        let connect_time = now.duration_since(attempt.started_at);
        self.traffic.record_connect_time(connect_time);
        self.limits.record_connect_time(&route, connect_time);
        self.earn_health_checks(now, driver);
        let established_at = now;
        self.set_state(
            id,
            SessionState::Established {
                attempt,
                established_at,
            },
            driver,
        );
    }

    /// Handles the end of an attempt, or of the connection that it set up.
    pub fn attempt_ended(
        &mut self,
        now: Instant,
        id: SessionId,
        end: AttemptEnd,
        driver: &mut dyn Driver,
    ) {
        self.promote_hedge(id, end.attempt);
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let state = session.state;
        if let Some(attempt) = session.take_abandoned(end.attempt)
            && end.outcome == AttemptOutcome::NotSent
        {
            self.forget_placement(attempt);
        }
        let is_answered = end.is_answered || end.outcome == AttemptOutcome::Ok;
        match state {
            SessionState::Connecting(attempt) if attempt.number == end.attempt => {
                self.record_attempt_end(now, id, attempt, end);
                if !is_answered {
                    return self.retry(now, id, driver);
                }
                self.cancel_hedge(id, driver);
            }
            SessionState::Established {
                attempt,
                established_at,
            } if attempt.number == end.attempt => {
                let established_for = now.duration_since(established_at);
                self.record_connection_end(now, id, attempt, established_for, end);
                if !is_answered {
                    return self.fail(id, driver);
                }
            }
            SessionState::Closing => {}
            _ => return,
        }
        self.set_state(id, SessionState::Ended, driver);
    }

    /// Records what the end of an attempt that never became ready says about its backend.
    fn record_attempt_end(
        &mut self,
        now: Instant,
        id: SessionId,
        attempt: Attempt,
        end: AttemptEnd,
    ) {
        let (backend_id, outcome) = (attempt.backend, end.outcome);
        if let Some(session) = self.sessions.get_mut(&id) {
            if outcome.may_have_run() {
                session.first_run.get_or_insert(attempt);
            }
            session.last_backend = Some(backend_id);
        }
        if outcome == AttemptOutcome::NotSent {
            self.forget_placement(attempt);
            if attempt.number > 0 {
                self.limits.refund(attempt.started_at);
            }
        }
        self.record_report(now, backend_id, end.report);
        if !matches!(
            outcome,
            AttemptOutcome::Ok | AttemptOutcome::Cancelled | AttemptOutcome::NotSent
        ) {
            self.record_failure(backend_id, outcome);
        }
        if outcome == AttemptOutcome::Saturated {
            self.back_off_from(now, backend_id);
        }
        if outcome == AttemptOutcome::TimedOut {
            let took = now.duration_since(attempt.started_at);
            self.traffic.record_connect_time(took * TIMED_OUT_FACTOR);
        }
    }

    /// Records what the end of a connection, established for `established_for`, says about its
    /// client and its backend.
    fn record_connection_end(
        &mut self,
        now: Instant,
        id: SessionId,
        attempt: Attempt,
        established_for: Duration,
        end: AttemptEnd,
    ) {
        let session = &self.sessions[&id];
        let (key, stable_after) = (session.arrival.client_key, session.route.stable_after);
        let is_reset = end.outcome == AttemptOutcome::Reset;
        self.record_report(now, attempt.backend, end.report);
        if end.outcome == AttemptOutcome::Ok {
            self.traffic.record_departure();
        }
        if is_reset && established_for < stable_after {
            self.record_client_failure(now, id);
        } else if let Some(key) = key {
            // `client_failures` clears the count if the connection was established for long enough.
            self.client_failures(key, now).clears_at = None;
        }
        if is_reset {
            self.record_connection_break(now, attempt.backend);
        }
    }

    /// Continues the session after a failed attempt: with the hedge if one is under way, with a
    /// retry after the backoff if one is allowed, or else with the final answer at once.
    fn retry(&mut self, now: Instant, id: SessionId, driver: &mut dyn Driver) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let group = session.arrival.group;
        if let Some(hedge) = session.hedge.take() {
            self.remove_connection(hedge.backend, group);
            return self.set_state(id, SessionState::Connecting(hedge), driver);
        }
        let backoff = self.record_client_failure(now, id);
        if self.can_retry_after(backoff, now, id) && self.is_retry_granted(now, id) {
            self.limits.reserve_retry(&self.sessions[&id].route);
            self.set_state(id, SessionState::BackingOff, driver);
            self.schedule(now + backoff, Task::Retry(id), driver);
        } else {
            self.reject_or_fail(id, backoff, driver);
        }
    }

    /// Returns whether a retry after this backoff could become ready in time, while the session may
    /// still make an attempt and repeat its request.
    fn can_retry_after(&self, backoff: Duration, now: Instant, id: SessionId) -> bool {
        let session = &self.sessions[&id];
        let connect_time = session.route.connect_timeout + self.deployment.tick * ANSWER_TICKS;
        let ready_at = now + backoff + connect_time;
        ready_at < self.deadline_of(session)
            && session.attempts_started < session.route.max_attempts
            && self.may_repeat(session, |_, window_end| ready_at < window_end)
    }

    /// Returns whether the retry limits leave a retry for this session.
    fn is_retry_granted(&mut self, now: Instant, id: SessionId) -> bool {
        let session = &self.sessions[&id];
        let route = session.route.clone();
        let time_left = self.deadline_of(session).duration_since(now);
        let max_weight = self
            .routes
            .iter()
            .fold(route.priority_weight, |max, other| {
                max.max(other.priority_weight)
            });
        let session_value = route.priority_weight / max_weight.max(f64::MIN_POSITIVE)
            * time_left.as_secs_f64()
            / session.arrival.timeout.as_secs_f64();
        let Some(allowance) = self.limits.allowance(now, &route, ExtraAttempt::Retry) else {
            return true;
        };
        let unreserved = allowance.limit * UNRESERVED_RETRY_SHARE;
        let reserved = 1.0 - UNRESERVED_RETRY_SHARE;
        let session_limit = allowance.limit * (UNRESERVED_RETRY_SHARE + reserved * session_value);
        allowance.spent + 1.0 <= allowance.limit
            && (allowance.spent < unreserved || allowance.spent + 1.0 <= session_limit)
    }
}
