//! Commands.
use super::stage::Fate::{Goes, Over};
use super::stage::Stage;
use super::state::Session;
use super::table::Sessions;
use crate::counters::Counters;
use crate::discovery::watch::EndpointRegistry;
use crate::io_context::IoContext;
use crate::protocol::{self, Cause};
use crate::upstream::{Attempt, AttemptStage};
use thistlecroft::ids::{BackendId, SessionId};
use thistlecroft::time::Duration;

impl Sessions {
    /// A list or an operator has taken backends out: what is on its way there and has sent nothing
    /// yet ends, since it could come up after the grace. Asked once the turn's own dials are under
    /// way.
    pub fn recall(&mut self, book: &EndpointRegistry, works: &mut IoContext) {
        let there = |dial: &Attempt| dial.is_unsent() && book.is_out(dial.backend);
        let any = |session: &Session| {
            let other = session.other.as_ref().map(|other| &other.dial);
            session.stage == Stage::Placing && session.dial.iter().chain(other).any(there)
        };
        let ids: Vec<u32> = self
            .map
            .iter()
            .filter(|(_, session)| any(session))
            .map(|(&id, _)| id)
            .collect();
        for id in ids {
            self.step(id, works, |session, _, works| {
                let mut fate = Goes;
                while fate == Goes && session.lead(there) {
                    let fault = session
                        .dial
                        .as_ref()
                        .map(|dial| dial.failed(Cause::Withdrawn));
                    fate = fault.map_or(Over, |fault| session.dial_ended(fault, works));
                }
                fate
            });
        }
    }

    pub fn dial(
        &mut self,
        id: SessionId,
        backend: BackendId,
        give_up_after: Duration,
        book: &EndpointRegistry,
        works: &mut IoContext,
    ) {
        // Connections that only wait never keep a dial from its descriptor.
        while works.sockets.open() >= self.shared.most_sockets
            && self.shed(Duration::ZERO, book, works)
        {}
        self.step(id.0, works, |session, shared, works| {
            let number = session.dials;
            session.dials += 1;
            session.dial(number, backend, give_up_after, shared, book, works)
        });
    }

    pub fn withdraw(&mut self, id: SessionId, number: u32, works: &mut IoContext) {
        self.step(id.0, works, |session, _, works| {
            if let Some(mut loser) = session.other.take_if(|other| other.dial.number == number) {
                loser.down.clear(&mut works.pool);
                session.tell_dial_end(number, loser.dial.failed(Cause::Withdrawn), works);
                return Goes;
            }
            let dial = session.dial.as_ref().filter(|dial| dial.number == number);
            match dial.filter(|dial| dial.stage != AttemptStage::Standing) {
                Some(dial) => {
                    let fault = dial.failed(Cause::Withdrawn);
                    session.dial_ended(fault, works)
                }
                None => Goes,
            }
        });
    }

    pub fn refuse(&mut self, id: SessionId, retry_after: Option<Duration>, works: &mut IoContext) {
        self.answer(
            id,
            &protocol::refusal(retry_after),
            |counters| &mut counters.refused,
            works,
        );
    }

    pub fn tear_down(&mut self, id: SessionId, works: &mut IoContext) {
        self.answer(
            id,
            protocol::FAILED,
            |counters| &mut counters.torn_down,
            works,
        );
    }

    /// The final answer of a session that was not accepted; one that has its answer gets no second.
    pub(super) fn answer(
        &mut self,
        id: SessionId,
        word: &str,
        count: fn(&mut Counters) -> &mut u64,
        works: &mut IoContext,
    ) {
        self.step(id.0, works, |session, _, works| {
            if session.stage != Stage::Placing {
                return Goes;
            }
            *count(&mut works.counters) += 1;
            session.part(word, works)
        });
    }

    pub fn send_away(&mut self, id: SessionId, works: &mut IoContext) {
        self.step(id.0, works, |session, _, works| {
            match (session.stage, &mut session.about) {
                (Stage::Standing, _) => session.send_away(works),
                (Stage::Handing, Some(about)) => {
                    about.sent_away = true;
                    Goes
                }
                _ => Goes,
            }
        });
    }

    pub fn give_up(&mut self, id: SessionId, works: &mut IoContext) {
        self.step(id.0, works, |session, _, works| session.give_up(works));
    }
}
