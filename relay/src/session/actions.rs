//! What the balancer decides about sessions, carried out.
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
    /// Attempts to connect a session to a backend, which has this long to answer.
    pub(crate) fn start_attempt(
        &mut self,
        id: SessionId,
        backend: BackendId,
        timeout: Duration,
        registry: &EndpointRegistry,
        io: &mut IoContext,
    ) {
        self.make_room(registry, io);
        self.step(id.0, io, |session, shared, io| {
            let number = session.placement.attempts_requested;
            session.placement.attempts_requested += 1;
            session.start_attempt(number, backend, timeout, shared, registry, io)
        });
    }

    /// Cancels an attempt that no backend has accepted yet.
    pub(crate) fn cancel_attempt(&mut self, id: SessionId, number: u32, io: &mut IoContext) {
        self.step(id.0, io, |session, _, io| {
            session.cancel_attempt(number, io);
            Keep
        });
    }

    /// Rejects a session that waits, with the time to stay away where there is one.
    pub(crate) fn reject(
        &mut self,
        id: SessionId,
        retry_after: Option<Duration>,
        io: &mut IoContext,
    ) {
        let line = protocol::rejection_line(retry_after);
        self.answer(id, &line, |counters| &mut counters.refused, io);
    }

    /// Fails a session that waits.
    pub(crate) fn fail(&mut self, id: SessionId, io: &mut IoContext) {
        let line = protocol::FAILED_LINE;
        self.answer(id, line, |counters| &mut counters.torn_down, io);
    }

    /// The final answer to a session that no backend accepted; one that has its answer gets no
    /// second.
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

    /// Migrates an established session: its client is to connect again. One that is offered to the
    /// successor is migrated if it stays.
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

    /// Answers a session about which the balancer panicked.
    pub(crate) fn fail_after_panic(&mut self, id: SessionId, io: &mut IoContext) {
        self.step(id.0, io, |session, _, io| session.fail(io));
    }

    /// An endpoint list or an operator has taken backends out: attempts there that have sent
    /// nothing yet end, since they could come up after the backend's grace. Called once the turn's
    /// own attempts are under way.
    pub(crate) fn cancel_attempts_to_draining_or_banned(
        &mut self,
        registry: &EndpointRegistry,
        io: &mut IoContext,
    ) {
        let is_recalled = |attempt: &Attempt| {
            attempt.is_unsent() && registry.is_draining_or_banned(attempt.backend)
        };
        let has_recalled = |session: &Session| {
            session.stage == Stage::Placing && session.attempts().any(is_recalled)
        };
        let ids: Vec<u32> = self
            .sessions
            .iter()
            .filter(|(_, session)| has_recalled(session))
            .map(|(&id, _)| id)
            .collect();
        for id in ids {
            self.step(id, io, |session, _, io| {
                while session.promote_attempt(is_recalled) {
                    session.end_attempt(FailureCause::Cancelled, io);
                }
                Keep
            });
        }
    }
}

impl Session {
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
