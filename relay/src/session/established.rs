//! Relaying lines.
use super::closing::PARTING;
use super::stage::Fate::{Goes, Over};
use super::stage::{Fate, Stage};
use super::state::Session;
use crate::io_context::IoContext;
use crate::line_buffer::TooLong;
use crate::timers::Timer;
use thistlecroft::attempt::AttemptOutcome;
use thistlecroft::time::Duration;

/// After its backend has ended, or its client has; the protocol allows a second for the former.
pub(super) const BACKEND_ENDED: Duration = Duration::from_millis(700);

pub(super) const CLIENT_ENDED: Duration = Duration::from_millis(2_000);

impl Session {
    pub(super) fn client_lines(&mut self, works: &mut IoContext) -> Fate {
        loop {
            match self.up.next_line() {
                Ok(Some(_)) => {
                    works.counters.lines_up += 1;
                    if self.asked.is_none() {
                        self.asked = Some(works.now);
                        self.watch(works);
                    }
                }
                Ok(None) => return self.pass_up(works),
                Err(TooLong) => {
                    works.counters.bad_lines += 1;
                    return self.send_away(works);
                }
            }
        }
    }

    pub(super) fn pass_up(&mut self, works: &mut IoContext) -> Fate {
        let Some(dial) = self.dial.as_mut().filter(|_| !self.up_shut) else {
            return Goes;
        };
        match self.up.give(&mut dial.sock, &mut works.pool) {
            Ok(true) if self.up.ended => {
                dial.sock.finish_sending();
                self.up_shut = true;
            }
            Ok(_) => {}
            Err(_) => {
                // Nothing more gets there; what it sent before is still to be read, then its end.
                self.up.clear(&mut works.pool);
                self.up_shut = self.up.ended;
            }
        }
        self.both_ended(works)
    }

    pub(super) fn pass_down(&mut self, works: &mut IoContext) -> Fate {
        if matches!(self.stage, Stage::Standing | Stage::Leaving) {
            match self.down.give(&mut self.client, &mut works.pool) {
                Ok(true) => {}
                Ok(false) => return Goes,
                Err(_) => return self.client_broke(works),
            }
        }
        match self.words.give(&mut self.client) {
            Ok(true) => {}
            Ok(false) => return Goes,
            Err(_) => return self.client_broke(works),
        }
        match self.stage {
            Stage::Leaving => {
                self.client.finish_sending();
                self.stage = Stage::Parted;
                self.began = works.now;
                if self.up.ended {
                    return Over;
                }
                self.close_within(PARTING, works);
            }
            Stage::Standing if self.down.ended && !self.down_shut => {
                self.client.finish_sending();
                self.down_shut = true;
            }
            _ => {}
        }
        self.both_ended(works)
    }

    pub(super) fn both_ended(&mut self, works: &mut IoContext) -> Fate {
        if self.stage == Stage::Standing && self.up_shut && self.down_shut {
            self.tell_end(AttemptOutcome::Ok, works);
            return Over;
        }
        Goes
    }

    pub(super) fn idle_alarm(&mut self, works: &mut IoContext) -> Fate {
        let Some(idle) = self.front.and_then(|front| front.idle_timeout) else {
            return Goes;
        };
        if self.stage != Stage::Standing {
            return Goes;
        }
        if works.now.duration_since(self.heard) >= idle {
            works.counters.idle += 1;
            return self.send_away(works);
        }
        works
            .alarms
            .set(self.heard + idle, Timer::IdleTimeout(self.id));
        Goes
    }
}
