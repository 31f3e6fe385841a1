//! Closing.
use super::stage::Fate::{Goes, Over};
use super::stage::{Fate, Stage};
use super::state::Session;
use crate::driver::Event;
use crate::io_context::IoContext;
use crate::protocol::{self};
use std::io::{ErrorKind, Read};
use thistlecroft::attempt::{AttemptEnd, AttemptOutcome, LoadReport};
use thistlecroft::time::Duration;

/// After our last word a client is given this long to end its side; the protocol allows a second in
/// all.
pub(super) const PARTING: Duration = Duration::from_millis(400);

/// The same while it still sends, which is dropped: closed with bytes unread, the connection would
/// be reset and the last word with it lost.
pub(super) const DROPPING: Duration = Duration::from_millis(3_000);

/// Dropped at one go: a megabyte a turn, so that sixty of them pass in time, and no more.
pub(super) const DROPS: usize = 16;

pub(super) const DROP: usize = 64 * 1024;

impl Session {
    /// Our last word; empty where there is none but the end itself.
    pub(super) fn part(&mut self, word: &str, works: &mut IoContext) -> Fate {
        self.stage = Stage::Leaving;
        self.dial = None;
        self.drop_other(&mut works.pool);
        self.down.cut(&mut works.pool);
        self.up.clear(&mut works.pool);
        if !word.is_empty() {
            self.words.add(word);
        }
        self.close_within(PARTING, works);
        self.pass_down(works)
    }

    pub(super) fn send_away(&mut self, works: &mut IoContext) -> Fate {
        works.counters.sent_away += 1;
        self.tell_end(AttemptOutcome::Cancelled, works);
        if let Some(dial) = &mut self.dial {
            // What the client has said passes before the end, as far as the backend takes it.
            let _ = self.up.give(&mut dial.sock, &mut works.pool);
            dial.sock.finish_sending();
        }
        self.part(protocol::MOVED, works)
    }

    /// The code failed over this session: it still has its answer.
    pub(super) fn give_up(&mut self, works: &mut IoContext) -> Fate {
        match self.stage {
            Stage::Placing | Stage::Inheriting => {
                self.client_left(works);
                self.part(protocol::FAILED, works)
            }
            Stage::Standing => self.send_away(works),
            _ => Goes,
        }
    }

    /// What a client still sends behind our last word. Each piece gives it a little longer to read
    /// that word, up to a limit from when the word was said.
    pub(super) fn drop_rest(&mut self, works: &mut IoContext) -> Fate {
        let mut piece = [0; DROP];
        for _ in 0..DROPS {
            match self.client.read(&mut piece) {
                Ok(0) => return Over,
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => break,
                Err(fault) if fault.kind() != ErrorKind::Interrupted => return Over,
                _ => {}
            }
        }
        self.close_within(
            PARTING.min(DROPPING - works.now.duration_since(self.began)),
            works,
        );
        Goes
    }

    /// The end of a connection that stood, told once.
    pub(super) fn tell_end(&mut self, verdict: AttemptOutcome, works: &mut IoContext) {
        let Some(dial) = self.dial.as_ref().filter(|_| !self.end_told) else {
            return;
        };
        self.end_told = true;
        let (verdict, report) = self.said.unwrap_or((verdict, LoadReport::default()));
        if verdict == AttemptOutcome::Ok {
            works.counters.ended_well += 1;
        } else if verdict == AttemptOutcome::Reset {
            works.counters.ended_broken += 1;
        }
        let ending = AttemptEnd {
            attempt: dial.number,
            outcome: verdict,
            is_answered: true,
            report,
        };
        works
            .news
            .push_back(Event::AttemptEnded(self.session_id(), ending));
    }
}
