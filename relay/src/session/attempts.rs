//! The attempts of a session to connect to backends: one at a time, or two where its route allows
//! hedged attempts.
use super::stage::Disposition::{self, Keep, Remove};
use super::stage::Stage;
use super::state::{HedgedAttempt, Session};
use crate::attempt::{Attempt, AttemptFailure, AttemptPlan, AttemptProgress, FailureCause};
use crate::buffers::BufferPool;
use crate::discovery::registry::EndpointRegistry;
use crate::driver::Event;
use crate::io_context::IoContext;
use crate::line_buffer::LineBuffer;
use thistlecroft::attempt::{AttemptEnd, AttemptOutcome};
use thistlecroft::ids::BackendId;
use thistlecroft::time::Duration;

/// The failure of an attempt that this process could not or did not need to start.
const NOT_STARTED: AttemptFailure = AttemptFailure {
    progress: AttemptProgress::Unconnected,
    cause: FailureCause::LocalFault,
};

impl Session {
    /// Returns the attempts that are under way.
    pub(super) fn attempts(&self) -> impl Iterator<Item = &Attempt> {
        let hedge = self.placement.hedge.as_ref().map(|hedge| &hedge.attempt);
        self.attempt.iter().chain(hedge)
    }

    /// Starts an attempt. If one is already under way, the new one is its hedged attempt.
    pub(super) fn start_attempt(
        &mut self,
        number: u32,
        backend: BackendId,
        timeout: Duration,
        registry: &EndpointRegistry,
        io: &mut IoContext,
    ) -> Disposition {
        if self.stage == Stage::Placing {
            // The event of a client that left may be queued behind hundreds of others that this
            // turn does not handle, so the client's socket is checked before an attempt is started.
            let disposition = self.check_waiting_client(io);
            if disposition == Remove || !self.awaits_backend() {
                self.report_attempt_end(number, NOT_STARTED, io);
                return disposition;
            }
        }
        let Some(plan) = self.plan_attempt(number, backend, timeout, registry) else {
            return Keep;
        };
        io.counters.dials += 1;
        if !io.claim_descriptor() {
            // Many requests of one turn can pass the descriptor check before the first of their
            // attempts takes a descriptor.
            self.attempt_not_accepted(number, NOT_STARTED, io);
            return Keep;
        }
        match Attempt::begin(self.id, plan, io) {
            Ok(attempt) if self.attempt.is_some() => {
                io.counters.second_dials += 1;
                self.placement.hedge = Some(Box::new(HedgedAttempt {
                    attempt,
                    to_client: LineBuffer::default(),
                }));
            }
            Ok(attempt) => self.attempt = Some(attempt),
            Err(failure) => self.attempt_not_accepted(number, failure, io),
        }
        Keep
    }

    /// Returns the plan of an attempt; none if the session needs no attempt or has two under way.
    fn plan_attempt(
        &mut self,
        number: u32,
        backend: BackendId,
        timeout: Duration,
        registry: &EndpointRegistry,
    ) -> Option<AttemptPlan> {
        let request = self
            .placement
            .request
            .as_ref()
            .filter(|_| self.placement.hedge.is_none())?;
        self.placement.last_attempt_serial += 1;
        let connect_timeout = self
            .route
            .as_ref()
            .map_or(Duration::ZERO, |route| route.timeouts.connect_timeout);
        Some(AttemptPlan {
            number,
            serial: self.placement.last_attempt_serial,
            backend,
            address: registry.address(backend),
            request: request.line(timeout),
            connect_timeout,
            timeout,
        })
    }

    /// Makes the attempt that satisfies `is_match` the first attempt of the session, on which the
    /// other methods act. Returns false if no such attempt is under way.
    pub(super) fn promote_attempt(&mut self, is_match: impl Fn(&Attempt) -> bool) -> bool {
        if self.attempt.as_ref().is_some_and(&is_match) {
            return true;
        }
        let Some(hedge) = self
            .placement
            .hedge
            .as_mut()
            .filter(|hedge| is_match(&hedge.attempt))
        else {
            return false;
        };
        let is_placing = self.stage == Stage::Placing;
        let Some(attempt) = self.attempt.as_mut().filter(|_| is_placing) else {
            return false;
        };
        std::mem::swap(attempt, &mut hedge.attempt);
        std::mem::swap(&mut self.to_client, &mut hedge.to_client);
        true
    }

    /// Ends the first attempt for this cause. A hedged attempt, if any, becomes the first.
    pub(super) fn end_attempt(&mut self, cause: FailureCause, io: &mut IoContext) {
        if let Some(attempt) = &self.attempt {
            let failure = attempt.failure(cause);
            self.attempt_failed(failure, io);
        }
    }

    /// Handles the failure of the first attempt. A hedged attempt, if any, becomes the first.
    pub(super) fn attempt_failed(&mut self, failure: AttemptFailure, io: &mut IoContext) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        self.to_client.clear(&mut io.buffers);
        self.to_client = LineBuffer::default();
        if let Some(hedge) = self.placement.hedge.take() {
            self.attempt = Some(hedge.attempt);
            self.to_client = hedge.to_client;
        }
        self.attempt_not_accepted(attempt.number, failure, io);
    }

    /// Notes that the request may run if an attempt is under way whose request was sent. Called
    /// before attempts are dropped without a report of their end.
    pub(super) fn note_attempts_under_way(&mut self) {
        let may_run = |attempt: &Attempt| {
            let outcome = attempt.failure(FailureCause::Cancelled).outcome();
            outcome.may_have_run()
        };
        if self.attempts().any(may_run) {
            self.note_possible_run();
        }
    }

    /// Notes that a backend may have run the request.
    pub(super) fn note_possible_run(&mut self) {
        if let Some(single_use) = &mut self.single_use {
            single_use.may_have_run = true;
        }
    }

    /// Drops a hedged attempt without reporting its end.
    pub(super) fn drop_hedge(&mut self, pool: &mut BufferPool) {
        if let Some(mut hedge) = self.placement.hedge.take() {
            hedge.to_client.clear(pool);
        }
    }

    /// Handles an attempt that no backend accepted: an inherited session schedules another one, and
    /// for all others the balancer is told and decides.
    fn attempt_not_accepted(&mut self, number: u32, failure: AttemptFailure, io: &mut IoContext) {
        if self.stage == Stage::Inherited {
            log::debug!(
                "reconnecting an inherited session to its backend failed, will retry; session={} failure={failure:?}",
                self.id
            );
            self.retry_inherited_later(io);
        } else {
            self.report_attempt_end(number, failure, io);
        }
    }

    /// Counts an attempt that no backend accepted, and reports its end to the balancer.
    pub(super) fn report_attempt_end(
        &mut self,
        number: u32,
        failure: AttemptFailure,
        io: &mut IoContext,
    ) {
        let outcome = failure.outcome();
        if outcome.may_have_run() {
            self.note_possible_run();
        }
        let counters = &mut io.counters;
        *match outcome {
            AttemptOutcome::Ok => &mut counters.ended_well,
            AttemptOutcome::Error => &mut counters.dials_error,
            AttemptOutcome::Saturated => &mut counters.dials_full,
            AttemptOutcome::TimedOut => &mut counters.dials_timeout,
            AttemptOutcome::Unreachable => &mut counters.dials_unreachable,
            AttemptOutcome::Reset => &mut counters.dials_reset,
            AttemptOutcome::Cancelled => &mut counters.dials_withdrawn,
            AttemptOutcome::NotSent => &mut counters.dials_never_sent,
        } += 1;
        let end = AttemptEnd {
            attempt: number,
            outcome,
            is_answered: false,
            report: failure.report(),
        };
        io.events
            .push_back(Event::AttemptEnded(self.session_id(), end));
    }
}
