//! The attempts of a session to connect to backends: one at a time, or two where its route has
//! hedged attempts.
use super::shared::Shared;
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

/// An attempt that did not even begin, for a reason of this process.
const NOT_BEGUN: AttemptFailure = AttemptFailure {
    progress: AttemptProgress::Unconnected,
    cause: FailureCause::LocalFault,
};

impl Session {
    /// The attempts that are under way.
    pub(super) fn attempts(&self) -> impl Iterator<Item = &Attempt> {
        let hedge = self.placement.hedge.as_ref().map(|hedge| &hedge.attempt);
        self.attempt.iter().chain(hedge)
    }

    /// Starts an attempt, beside the one that is under way if there is one.
    pub(super) fn start_attempt(
        &mut self,
        number: u32,
        backend: BackendId,
        timeout: Duration,
        shared: &Shared,
        registry: &EndpointRegistry,
        io: &mut IoContext,
    ) -> Disposition {
        if self.stage == Stage::Placing {
            // The client's end may stand behind hundreds of events that this turn does not reach:
            // nothing is started for a client that has left.
            let disposition = self.check_waiting_client(io);
            if disposition == Remove || !self.awaits_backend() {
                self.report_attempt_end(number, NOT_BEGUN, io);
                return disposition;
            }
        }
        let Some(plan) = self.plan_attempt(number, backend, timeout, registry) else {
            return Keep;
        };
        io.counters.dials += 1;
        if io.sockets.open_in_relay() >= shared.max_descriptors {
            // Many first lines in one turn find room before the first of their attempts takes any.
            self.attempt_not_accepted(number, NOT_BEGUN, io);
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

    /// None where the session needs no attempt, or has two under way.
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
        self.placement.attempt_serial += 1;
        let connect_timeout = self
            .route
            .as_ref()
            .map_or(Duration::ZERO, |route| route.timeouts.connect_timeout);
        Some(AttemptPlan {
            number,
            serial: self.placement.attempt_serial,
            backend,
            address: registry.address(backend),
            request: request.line(timeout),
            connect_timeout,
            timeout,
        })
    }

    /// Whether such an attempt is under way. Where two are, it becomes the first of them, on which
    /// the session then acts.
    pub(super) fn promote_attempt(&mut self, is_meant: impl Fn(&Attempt) -> bool) -> bool {
        if self.attempt.as_ref().is_some_and(&is_meant) {
            return true;
        }
        let Some(hedge) = self
            .placement
            .hedge
            .as_mut()
            .filter(|hedge| is_meant(&hedge.attempt))
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

    /// Ends the first attempt for this cause; a hedged one takes its place.
    pub(super) fn end_attempt(&mut self, cause: FailureCause, io: &mut IoContext) {
        if let Some(attempt) = &self.attempt {
            let failure = attempt.failure(cause);
            self.attempt_failed(failure, io);
        }
    }

    /// The first attempt has failed; a hedged one takes its place.
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

    /// Drops a hedged attempt without reporting its end.
    pub(super) fn drop_hedge(&mut self, pool: &mut BufferPool) {
        if let Some(mut hedge) = self.placement.hedge.take() {
            hedge.to_client.clear(pool);
        }
    }

    /// The balancer decides what follows; an inherited session tries again.
    fn attempt_not_accepted(&mut self, number: u32, failure: AttemptFailure, io: &mut IoContext) {
        if self.stage == Stage::Inherited {
            log::debug!(
                "inherited session not accepted session={} failure={failure:?}",
                self.id
            );
            self.retry_inherited_later(io);
        } else {
            self.report_attempt_end(number, failure, io);
        }
    }

    /// Tells the balancer of an attempt that no backend accepted.
    pub(super) fn report_attempt_end(
        &mut self,
        number: u32,
        failure: AttemptFailure,
        io: &mut IoContext,
    ) {
        let outcome = failure.outcome();
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
