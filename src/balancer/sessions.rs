//! Sessions: their arrival, their final answer, and their end at shutdown.
use super::Balancer;
use super::session_state::{Attempt, Session, SessionState};
use super::task_queue::Task;
use crate::attempt::Arrival;
use crate::deployment::{DeduplicationScope, Idempotency};
use crate::driver::Driver;
use crate::ids::{BackendId, SessionId};
use crate::time::{Duration, Instant};

/// Tenths of a shutdown's time limit after which no attempt may be under way.
const SHUTDOWN_LAST_ATTEMPT_TENTHS: f64 = 8.0;
/// Tenths of a shutdown's time limit after which a part of the sessions is migrated. The steps come
/// late, since the relay that a client reconnects to may itself have just been stopped.
const SHUTDOWN_STEPS_TENTHS: std::ops::RangeInclusive<usize> = 5..=9;

impl Balancer {
    /// Handles the arrival of a client that asks for a backend.
    pub fn session_arrived(
        &mut self,
        now: Instant,
        id: SessionId,
        arrival: Arrival,
        driver: &mut dyn Driver,
    ) {
        let route = &self.routes[usize::from(arrival.route.0)];
        self.limits.record_arrival(now, route);
        if self.open_session(now, id, arrival) {
            self.connect(now, id, driver);
        } else {
            self.reject(now, id, driver);
        }
    }

    /// Handles a connection that already runs through this relay when the process starts.
    pub fn session_inherited(
        &mut self,
        now: Instant,
        id: SessionId,
        backend_id: BackendId,
        arrival: Arrival,
        driver: &mut dyn Driver,
    ) {
        self.open_session(now, id, arrival);
        // The connection counts as stable: otherwise no connection could be migrated off a backend
        // that is overloaded when the process starts.
        let established_at = now - self.sessions[&id].route.stable_after;
        if let Some(session) = self.sessions.get_mut(&id) {
            session.attempts_started = 1;
        }
        let attempt = Attempt {
            number: 0,
            backend: backend_id,
            started_at: established_at,
        };
        self.earn_health_checks(now, driver);
        self.set_state(
            id,
            SessionState::Established {
                attempt,
                established_at,
            },
            driver,
        );
    }

    /// Opens a session. Returns `false` if its route now has more open sessions than it may.
    fn open_session(&mut self, now: Instant, id: SessionId, arrival: Arrival) -> bool {
        self.traffic.record_session(arrival.group);
        let route = self.routes[usize::from(arrival.route.0)].clone();
        let is_within_limit = self.limits.open_session(&route);
        self.sessions.insert(id, Session::new(arrival, route, now));
        is_within_limit
    }

    /// Handles a session whose client has left, or that the driver has ended.
    pub fn session_left(&mut self, id: SessionId, driver: &mut dyn Driver) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let state = session.state;
        if let SessionState::Connecting(attempt) = state {
            session.abandoned.push(attempt);
            if self.deployment.may_cancel {
                driver.cancel(id, attempt.number);
            }
        }
        self.cancel_hedge(id, driver);
        match state {
            SessionState::Connecting(_) | SessionState::Established { .. } => {
                self.set_state(id, SessionState::Closing, driver);
            }
            SessionState::Closing => {}
            SessionState::New | SessionState::BackingOff | SessionState::Ended => {
                self.set_state(id, SessionState::Ended, driver);
            }
        }
    }

    /// Changes a session's state and updates the counts that depend on it. Only `promote_hedge`
    /// sets the state by itself, since it changes no count.
    pub(super) fn set_state(&mut self, id: SessionId, next: SessionState, driver: &mut dyn Driver) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let previous = std::mem::replace(&mut session.state, next);
        let group = session.arrival.group;
        if matches!(previous, SessionState::BackingOff) {
            self.limits.release_retry(&session.route);
        }
        if let Some(backend_id) = previous.backend() {
            self.remove_connection(backend_id, group);
        }
        if let Some(backend_id) = next.backend() {
            self.add_connection(backend_id, group);
        }
        if matches!(next, SessionState::Ended)
            && let Some(session) = self.sessions.remove(&id)
        {
            self.limits.close_session(&session.route);
            driver.release(id);
        }
    }

    /// Returns when the session must have its answer.
    pub(super) fn deadline_of(&self, session: &Session) -> Instant {
        self.shutdown_deadline
            .map_or(session.deadline, |at| at.min(session.deadline))
    }

    /// Returns whether the session's request may be sent again, by this relay or by its client.
    /// Once a keyed request may have run, `is_deduplicated` decides by its scope and the end of its
    /// window.
    pub(super) fn may_repeat(
        &self,
        session: &Session,
        is_deduplicated: impl Fn(DeduplicationScope, Instant) -> bool,
    ) -> bool {
        let Some(first_run) = session.first_run else {
            return true;
        };
        match session.route.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { scope, window } => {
                is_deduplicated(scope, first_run.started_at + window)
            }
            Idempotency::NonIdempotent => false,
        }
    }

    /// Rejects a session and counts a failure of its client.
    pub(super) fn reject(&mut self, now: Instant, id: SessionId, driver: &mut dyn Driver) {
        let backoff = self.record_client_failure(now, id);
        self.reject_or_fail(id, backoff, driver);
    }

    /// Gives the final answer: a rejection with `retry_after` if the client may safely repeat its
    /// request, otherwise a failure.
    pub(super) fn reject_or_fail(
        &mut self,
        id: SessionId,
        retry_after: Duration,
        driver: &mut dyn Driver,
    ) {
        let session = &self.sessions[&id];
        if !self.may_repeat(session, |scope, _| scope == DeduplicationScope::All) {
            return self.fail(id, driver);
        }
        let retry_after = self
            .deployment
            .sends_retry_after
            .then(|| retry_after.min(session.route.max_retry_after));
        driver.reject(id, retry_after);
        self.set_state(id, SessionState::Ended, driver);
    }

    /// Gives a final answer that does not promise that the request had no effect.
    pub(super) fn fail(&mut self, id: SessionId, driver: &mut dyn Driver) {
        driver.fail(id);
        self.set_state(id, SessionState::Ended, driver);
    }

    /// Begins the shutdown: established sessions are migrated in even steps, and no attempt may
    /// last beyond the shutdown deadline. The process ends after `time_limit`.
    pub fn shut_down(&mut self, now: Instant, time_limit: Duration, driver: &mut dyn Driver) {
        let tenth = time_limit * 0.1;
        self.shutdown_deadline = Some(now + tenth * SHUTDOWN_LAST_ATTEMPT_TENTHS);
        for step in SHUTDOWN_STEPS_TENTHS {
            let steps_left = SHUTDOWN_STEPS_TENTHS.end() + 1 - step;
            self.schedule(now + tenth * step as f64, Task::Drain(steps_left), driver);
        }
    }

    /// Takes one step of the shutdown: migrates a part of the established sessions, rejects those
    /// that are backing off and, from the shutdown deadline on, cancels attempts under way.
    /// `steps_left` includes this step.
    pub(super) fn drain(&mut self, now: Instant, steps_left: usize, driver: &mut dyn Driver) {
        let states: Vec<(SessionId, SessionState)> = self
            .sessions
            .iter()
            .map(|(&id, session)| (id, session.state))
            .collect();
        let is_established =
            |state: &SessionState| matches!(state, SessionState::Established { .. });
        let established = states
            .iter()
            .filter(|(_, state)| is_established(state))
            .count();
        let mut to_migrate = established.div_ceil(steps_left);
        for (id, state) in states {
            match state {
                SessionState::Established { .. } if to_migrate > 0 => {
                    to_migrate -= 1;
                    self.migrate(id, driver);
                }
                SessionState::BackingOff => self.reject(now, id, driver),
                SessionState::Connecting(attempt) if self.shutdown_deadline <= Some(now) => {
                    driver.cancel(id, attempt.number);
                    self.cancel_hedge(id, driver);
                }
                _ => {}
            }
        }
    }
}
