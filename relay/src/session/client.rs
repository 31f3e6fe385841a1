//! Events of the client's connection.
use super::established::CLIENT_ENDED;
use super::shared::Shared;
use super::stage::Fate::{Goes, Over};
use super::stage::{Fate, Stage};
use super::state::Session;
use crate::discovery::watch::EndpointRegistry;
use crate::io_context::IoContext;
use crate::line_buffer::ReadOutcome;
use crate::protocol::{self};
use thistlecroft::attempt::AttemptOutcome;

impl Session {
    pub(super) fn client_event(
        &mut self,
        shared: &mut Shared,
        book: &EndpointRegistry,
        works: &mut IoContext,
    ) -> Fate {
        match self.stage {
            Stage::Parted => return self.drop_rest(works),
            Stage::Handing => return Goes,
            Stage::Placing | Stage::Inheriting => return self.look_at_client(works),
            _ => {}
        }
        if self.up.has_room() {
            match self.up.take(&mut self.client, &mut works.pool) {
                Ok(ReadOutcome::Bytes(_)) => {
                    self.heard = works.now;
                    if self.client_bytes(shared, book, works) == Over {
                        return Over;
                    }
                }
                Ok(ReadOutcome::Nothing) => {}
                Ok(ReadOutcome::Starved) => self.starve(works),
                Ok(ReadOutcome::End) => {
                    if self.client_end(works) == Over {
                        return Over;
                    }
                }
                Err(_) => return self.client_broke(works),
            }
        }
        self.pass_down(works)
    }

    pub(super) fn client_bytes(
        &mut self,
        shared: &mut Shared,
        book: &EndpointRegistry,
        works: &mut IoContext,
    ) -> Fate {
        match self.stage {
            Stage::Opening => self.first_lines(shared, book, works),
            Stage::Standing => self.client_lines(works),
            Stage::Placing | Stage::Inheriting | Stage::Handing => Goes,
            Stage::Leaving | Stage::Parted => {
                self.up.clear(&mut works.pool);
                Goes
            }
        }
    }

    /// The client has ended its sending.
    pub(super) fn client_end(&mut self, works: &mut IoContext) -> Fate {
        match self.stage {
            Stage::Opening if self.up.waits() => self.bad_line("cut off", works),
            Stage::Opening if self.words.waits() => self.part("", works),
            Stage::Opening | Stage::Parted => Over,
            // It may have gone, or only have no more to send: the last word is owed in the second
            // case and harmless in the first.
            Stage::Placing | Stage::Inheriting => {
                self.client_left(works);
                self.part(protocol::FAILED, works)
            }
            Stage::Standing => {
                self.close_within(CLIENT_ENDED, works);
                self.pass_up(works)
            }
            Stage::Leaving | Stage::Handing => Goes,
        }
    }

    pub(super) fn client_broke(&mut self, works: &mut IoContext) -> Fate {
        match self.stage {
            Stage::Placing | Stage::Inheriting => self.client_left(works),
            Stage::Standing => {
                self.tell_end(AttemptOutcome::Cancelled, works);
                if let Some(dial) = &self.dial {
                    dial.sock.break_off();
                }
            }
            _ => {}
        }
        Over
    }

    pub(super) fn client_alarm(&mut self, works: &mut IoContext) -> Fate {
        if self.close_by.is_none_or(|at| at > works.now) {
            return Goes;
        }
        self.close_by = None;
        match self.stage {
            Stage::Opening if self.up.has_bytes() => self.bad_line("slow", works),
            Stage::Standing => {
                self.tell_end(
                    if self.up.ended {
                        AttemptOutcome::Ok
                    } else {
                        AttemptOutcome::Reset
                    },
                    works,
                );
                Over
            }
            Stage::Placing | Stage::Inheriting | Stage::Handing => Goes,
            Stage::Opening | Stage::Leaving | Stage::Parted => Over,
        }
    }
}
