//! Hedged attempts: a second attempt beside the first, where the one that is ready first wins.
use super::Balancer;
use super::session_state::{Attempt, Session, SessionState};
use super::task_queue::Task;
use crate::deployment::Idempotency;
use crate::driver::Driver;
use crate::ids::SessionId;
use crate::route_limits::ExtraAttempt;
use crate::time::Instant;

impl Balancer {
    /// Schedules a hedge of an attempt that has started, if its route hedges.
    pub(super) fn schedule_hedge(
        &mut self,
        now: Instant,
        id: SessionId,
        attempt: Attempt,
        driver: &mut dyn Driver,
    ) {
        let route = &self.sessions[&id].route;
        // The losing attempt has to be cancelled.
        let may_hedge = self.deployment.may_hedge && self.deployment.may_cancel;
        if !may_hedge
            || route.idempotency != Idempotency::Idempotent
            || attempt.number + 1 >= route.max_attempts
        {
            return;
        }
        if let Some(delay) = self.limits.hedge_delay(route) {
            self.schedule(now + delay, Task::Hedge(id, attempt.number), driver);
        }
    }

    /// Hedges the attempt with this number if it is still under way: starts another one at a warm
    /// backend, if the limits allow one.
    pub(super) fn start_hedge(
        &mut self,
        now: Instant,
        id: SessionId,
        number: u32,
        driver: &mut dyn Driver,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let (SessionState::Connecting(attempt), None) = (session.state, session.hedge) else {
            return;
        };
        if attempt.number != number {
            return;
        }
        let (route, group) = (session.route.clone(), session.arrival.group);
        session.last_backend = Some(attempt.backend);
        let Some(backend_id) = self.select_backend(now, id).filter(|&backend_id| {
            backend_id != attempt.backend && self.slow_start_turn(now, backend_id).is_none()
        }) else {
            return;
        };
        if !self.limits.try_spend(now, &route, ExtraAttempt::Hedge) {
            return;
        }
        let Some(hedge) = self.start_attempt(now, id, backend_id, driver) else {
            return;
        };
        self.add_connection(hedge.backend, group);
        if let Some(session) = self.sessions.get_mut(&id) {
            session.hedge = Some(hedge);
        }
    }

    /// Makes the hedge the attempt of the session's state if it has this number. The other attempt
    /// becomes the hedge.
    pub(super) fn promote_hedge(&mut self, id: SessionId, number: u32) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if let Session {
            state: SessionState::Connecting(attempt),
            hedge: Some(hedge),
            ..
        } = *session
            && hedge.number == number
        {
            session.state = SessionState::Connecting(hedge);
            session.hedge = Some(attempt);
        }
    }

    /// Cancels the hedge of a session, if it has one.
    pub(super) fn cancel_hedge(&mut self, id: SessionId, driver: &mut dyn Driver) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let group = session.arrival.group;
        if let Some(hedge) = session.hedge.take() {
            session.abandoned.push(hedge);
            driver.cancel(id, hedge.number);
            self.remove_connection(hedge.backend, group);
        }
    }
}
