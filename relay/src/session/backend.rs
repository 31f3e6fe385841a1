//! Events of the backend's connection.
use super::established::BACKEND_ENDED;
use super::shared::Shared;
use super::stage::Fate::{Goes, Over};
use super::stage::{Fate, Stage};
use super::state::Session;
use crate::discovery::watch::EndpointRegistry;
use crate::driver::Event;
use crate::io_context::IoContext;
use crate::line_buffer::{ReadOutcome, TooLong};
use crate::protocol::{self, BackendMessage, Cause};
use crate::upstream::{Attempt, AttemptStage};
use thistlecroft::attempt::AttemptOutcome;
use thistlecroft::time::Duration;

impl Session {
    pub(super) fn dial_event(
        &mut self,
        shared: &Shared,
        book: &EndpointRegistry,
        works: &mut IoContext,
    ) -> Fate {
        if self.is_waiting() && self.dial.as_ref().is_some_and(Attempt::is_unsent) {
            // Its client may have left in this very turn, or long before a late one; then nothing
            // is sent on.
            let fate = self.look_at_client(works);
            if fate == Over || !self.is_waiting() {
                return fate;
            }
            // As late as this only where the loop itself was kept: its alarm is met behind it in
            // this turn.
            let stale = |dial: &&Attempt| book.is_out(dial.backend) || dial.overdue(works.now);
            if let Some(dial) = self.dial.as_ref().filter(stale)
                && self.stage == Stage::Placing
            {
                let fault = dial.failed(Cause::Withdrawn);
                return self.dial_ended(fault, works);
            }
        }
        let Some(dial) = self.dial.as_mut().filter(|_| self.stage != Stage::Handing) else {
            return Goes;
        };
        if let Err(fault) = dial.advance() {
            return self.dial_ended(fault, works);
        }
        if dial.stage != AttemptStage::Connecting && self.down.has_room() {
            match self.down.take(&mut dial.sock, &mut works.pool) {
                Ok(ReadOutcome::Bytes(_)) => return self.backend_lines(shared, works),
                Ok(ReadOutcome::Nothing) => {}
                Ok(ReadOutcome::Starved) => self.starve(works),
                Ok(ReadOutcome::End) => return self.backend_end(works),
                Err(_) => return self.backend_broke(works),
            }
        }
        if self.stage == Stage::Standing {
            self.pass_up(works)
        } else {
            Goes
        }
    }

    pub(super) fn backend_lines(&mut self, shared: &Shared, works: &mut IoContext) -> Fate {
        loop {
            let said = match self.down.next_line() {
                Ok(None) => break,
                Ok(Some(line)) => Some(protocol::backend_line(line)),
                Err(TooLong) => None,
            };
            if self.stage == Stage::Standing {
                self.heard = works.now;
                match said {
                    None => return self.send_away(works),
                    Some(BackendMessage::Load(ms)) if shared.names.notes_tell_delay => {
                        self.told_delay = Duration::from_millis(1) * ms;
                        works
                            .news
                            .push_back(Event::LatencyObserved(self.session_id(), self.told_delay));
                    }
                    Some(BackendMessage::Load(load)) => {
                        self.about
                            .iter_mut()
                            .for_each(|about| about.load = Some(load));
                        works
                            .news
                            .push_back(Event::LoadObserved(self.session_id(), load));
                    }
                    Some(BackendMessage::Last(verdict, report)) => {
                        self.said = Some((verdict, report))
                    }
                    Some(BackendMessage::Up | BackendMessage::Other) => {
                        if let Some(asked) = self.asked.take() {
                            // A quick line back must not hide that the backend's own work is late.
                            let delay = works.now.duration_since(asked).max(self.told_delay);
                            works
                                .news
                                .push_back(Event::LatencyObserved(self.session_id(), delay));
                        }
                    }
                }
                works.counters.lines_down += 1;
            } else if self.first_said(said, works) {
                return Goes;
            }
        }
        if self.stage == Stage::Standing {
            self.pass_down(works)
        } else {
            Goes
        }
    }

    pub(super) fn backend_end(&mut self, works: &mut IoContext) -> Fate {
        if self.stage != Stage::Standing {
            let fault = self.dial.as_ref().map(|dial| dial.failed(Cause::Broken));
            return fault.map_or(Goes, |fault| self.dial_ended(fault, works));
        }
        self.tell_end(
            if self.up.ended {
                AttemptOutcome::Ok
            } else {
                AttemptOutcome::Reset
            },
            works,
        );
        self.close_within(BACKEND_ENDED, works);
        self.pass_down(works)
    }

    pub(super) fn backend_broke(&mut self, works: &mut IoContext) -> Fate {
        if self.stage != Stage::Standing {
            return self.backend_end(works);
        }
        if self.said.is_some() || self.up.ended {
            // It had said its last word, or the client had: an end, whatever the system made of it.
            self.down.ended = true;
            return self.backend_end(works);
        }
        self.tell_end(AttemptOutcome::Reset, works);
        // Lines that came before the break pass before it; where they can't at once, an end has to
        // do, since a break would throw them away.
        if !matches!(self.down.give(&mut self.client, &mut works.pool), Ok(false)) {
            self.client.break_off();
            return Over;
        }
        self.part("", works)
    }
}
