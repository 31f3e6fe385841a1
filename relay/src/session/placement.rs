//! Waiting for the balancer.
use super::stage::{Fate, Stage};
use super::state::Session;
use crate::driver::Event;
use crate::io_context::IoContext;
use crate::protocol::{BackendMessage, Cause};
use crate::timers::Timer;
use crate::upstream::AttemptStage;
use std::io::{ErrorKind, Read};
use thistlecroft::attempt::AttemptOutcome;
use thistlecroft::ids::SessionId;

impl Session {
    /// A client that was to wait: it may have left, or says what it should not. Passed on once it
    /// is up, another command would have the backend close, and kept, sixty megabytes would have no
    /// end.
    pub(super) fn look_at_client(&mut self, works: &mut IoContext) -> Fate {
        match self.client.read(&mut [0]) {
            Ok(0) => {
                self.up.ended = true;
                self.client_end(works)
            }
            Ok(_) => {
                self.client_left(works);
                self.bad_line("more than one line before the answer", works)
            }
            Err(fault)
                if matches!(fault.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) =>
            {
                self.pass_down(works)
            }
            Err(_) => self.client_broke(works),
        }
    }

    /// Gone before its answer: the dial that is out ends with it.
    pub(super) fn client_left(&mut self, works: &mut IoContext) {
        works.counters.clients_left += 1;
        let told = self.stage == Stage::Placing;
        if told {
            works.news.push_back(Event::SessionLeft(self.session_id()));
        }
        if let Some(mut other) = self.other.take() {
            other.down.clear(&mut works.pool);
            self.tell_dial_end(
                other.dial.number,
                other.dial.failed(Cause::Withdrawn),
                works,
            );
        }
        if let Some(dial) = self.dial.take() {
            self.down.clear(&mut works.pool);
            if told {
                self.tell_dial_end(dial.number, dial.failed(Cause::Withdrawn), works);
            }
        }
    }

    /// What a backend answers a dial; true where that ended it.
    pub(super) fn first_said(
        &mut self,
        said: Option<BackendMessage>,
        works: &mut IoContext,
    ) -> bool {
        let Some(dial) = &mut self.dial else {
            return true;
        };
        let cause = match said {
            Some(BackendMessage::Up) if dial.stage == AttemptStage::Waiting => {
                dial.stage = AttemptStage::Standing;
                let (id, number, backend) = (SessionId(self.id), dial.number, dial.backend);
                works.news.push_back(match (self.stage, &self.open) {
                    (Stage::Inheriting, Some(open)) => {
                        works.counters.inherited += 1;
                        Event::SessionInherited(id, backend, open.arrival)
                    }
                    _ => Event::AttemptReady(id, number),
                });
                works.counters.accepted += 1;
                self.stage = Stage::Standing;
                (self.open, self.stood) = (None, true);
                if let Some(idle) = self.front.and_then(|front| front.idle_timeout) {
                    works
                        .alarms
                        .set(works.now + idle, Timer::IdleTimeout(self.id));
                }
                return false;
            }
            Some(BackendMessage::Load(_)) => {
                self.down.consume(&mut works.pool);
                return false;
            }
            // Served to its end without having begun is no answer that a client could use.
            Some(
                BackendMessage::Last(AttemptOutcome::Ok, _)
                | BackendMessage::Up
                | BackendMessage::Other,
            )
            | None => Cause::BadLine,
            Some(BackendMessage::Last(verdict, report)) => Cause::BackendMessage(verdict, report),
        };
        let fault = dial.failed(cause);
        self.dial_ended(fault, works);
        true
    }
}
