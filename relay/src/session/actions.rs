//! Carries out the balancer's decisions about sessions.
use super::stage::Disposition::Keep;
use super::stage::Stage;
use super::state::Session;
use super::table::Sessions;
use crate::attempt::{Attempt, AttemptStage, FailureCause};
use crate::counters::Counters;
use crate::discovery::registry::EndpointRegistry;
use crate::io_context::IoContext;
use crate::protocol;
use thistlecroft::ids::{BackendId, SessionId};
use thistlecroft::time::Duration;

impl Sessions {
    /// Starts an attempt to connect a session to a backend, which must answer within `timeout`.
    pub(crate) fn start_attempt(
        &mut self,
        id: SessionId,
        backend: BackendId,
        timeout: Duration,
        registry: &EndpointRegistry,
        io: &mut IoContext,
    ) {
        self.shed_until_descriptor_free(registry, io);
        self.step(id.0, io, |session, _, io| {
            let number = session.placement.attempts_requested;
            session.placement.attempts_requested += 1;
            session.start_attempt(number, backend, timeout, registry, io)
        });
    }

    /// Cancels an attempt that no backend has accepted yet.
    pub(crate) fn cancel_attempt(&mut self, id: SessionId, number: u32, io: &mut IoContext) {
        self.step(id.0, io, |session, _, io| {
            session.cancel_attempt(number, io);
            Keep
        });
    }

    /// Rejects a session that waits for a backend. The client is told to wait for `retry_after`, if
    /// given, before it connects again.
    pub(crate) fn reject(
        &mut self,
        id: SessionId,
        retry_after: Option<Duration>,
        io: &mut IoContext,
    ) {
        let line = protocol::rejection_line(retry_after);
        self.answer(id, &line, |counters| &mut counters.refused, io);
    }

    /// Fails a session that waits for a backend.
    pub(crate) fn fail(&mut self, id: SessionId, io: &mut IoContext) {
        let line = protocol::FAILED_LINE;
        self.answer(id, line, |counters| &mut counters.torn_down, io);
    }

    /// Answers a session that no backend accepted, and closes it. A session that is no longer being
    /// placed has its answer already and gets no second one.
    fn answer(
        &mut self,
        id: SessionId,
        line: &str,
        counter: fn(&mut Counters) -> &mut u64,
        io: &mut IoContext,
    ) {
        self.step(id.0, io, |session, _, io| {
            if session.stage != Stage::Placing {
                return Keep;
            }
            *counter(&mut io.counters) += 1;
            session.close_with(line, io)
        });
    }

    /// Migrates an established session: its client is told to connect again. A session that is
    /// offered to the successor is migrated only if the successor does not take it.
    pub(crate) fn migrate(&mut self, id: SessionId, io: &mut IoContext) {
        self.step(id.0, io, |session, _, io| {
            match (session.stage, &mut session.metadata) {
                (Stage::Established, _) => session.migrate(io),
                (Stage::HandingOver, Some(metadata)) => {
                    metadata.is_migration_due = true;
                    Keep
                }
                _ => Keep,
            }
        });
    }

    /// Answers and closes a session after the balancer panicked on an event about it.
    pub(crate) fn fail_after_panic(&mut self, id: SessionId, io: &mut IoContext) {
        self.step(id.0, io, |session, _, io| session.fail_after_panic(io));
    }

    /// Cancels attempts to draining or banned backends that have sent nothing yet: their
    /// connections could be established after the backend's drain grace. Called after the attempts
    /// of the same turn were started, so that these are covered too.
    pub(crate) fn cancel_attempts_to_draining_or_banned(
        &mut self,
        registry: &EndpointRegistry,
        io: &mut IoContext,
    ) {
        let is_cancellable = |attempt: &Attempt| {
            attempt.is_unsent() && registry.is_draining_or_banned(attempt.backend)
        };
        let has_cancellable = |session: &Session| {
            session.stage == Stage::Placing && session.attempts().any(is_cancellable)
        };
        let ids: Vec<u32> = self
            .sessions
            .iter()
            .filter(|(_, session)| has_cancellable(session))
            .map(|(&id, _)| id)
            .collect();
        for id in ids {
            self.step(id, io, |session, _, io| {
                while session.promote_attempt(is_cancellable) {
                    session.end_attempt(FailureCause::Cancelled, io);
                }
                Keep
            });
        }
    }
}

impl Session {
    /// Cancels the attempt of this number unless a backend has accepted it.
    fn cancel_attempt(&mut self, number: u32, io: &mut IoContext) {
        let hedge = self
            .placement
            .hedge
            .take_if(|hedge| hedge.attempt.number == number);
        if let Some(mut hedge) = hedge {
            hedge.to_client.clear(&mut io.buffers);
            let failure = hedge.attempt.failure(FailureCause::Cancelled);
            return self.report_attempt_end(number, failure, io);
        }
        let is_pending = |attempt: &Attempt| {
            attempt.number == number && attempt.stage != AttemptStage::Established
        };
        if self.attempt.as_ref().is_some_and(is_pending) {
            self.end_attempt(FailureCause::Cancelled, io);
        }
    }
}
