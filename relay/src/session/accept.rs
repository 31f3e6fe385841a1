//! Listener.
use super::stage::Fate::Over;
use super::stage::Stage;
use super::state::Session;
use super::table::{Accepting, Sessions, TELLING};
use crate::discovery::watch::EndpointRegistry;
use crate::io_context::IoContext;
use crate::protocol::{self};
use crate::sockets::SocketOwner;
use crate::timers::Timer;
use std::io::ErrorKind;
use thistlecroft::time::Duration;

/// Accepts in one turn, so that a rush of clients can't keep the standing ones waiting.
pub(super) const ACCEPTS: usize = 64;

/// After an accept that failed for want of anything; trying at once would only spin.
pub(super) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// While descriptors lack, a connection that says nothing makes room after this; a usual client's
/// first line is there long before.
pub(super) const SHED_AFTER: Duration = Duration::from_millis(20);

impl Sessions {
    pub fn open_door(&mut self) {
        self.entry = Accepting::Open;
        self.door.want(true);
    }

    /// Whoever waits to be accepted is left to another process.
    pub fn shut_door(&mut self) {
        self.entry = Accepting::Shut;
        self.door.want(false);
    }

    pub fn takes_clients(&self) -> bool {
        self.entry == Accepting::Open
    }

    /// Takes connections in, each with what it has said already, so that one that means to be
    /// served is never among those that make room.
    pub fn accept(&mut self, book: &EndpointRegistry, works: &mut IoContext) {
        if self.entry == Accepting::Shut {
            return;
        }
        for _ in 0..ACCEPTS {
            let open = works.sockets.open();
            if open >= self.shared.most_sockets
                && !self.shed(SHED_AFTER, book, works)
                && open >= self.shared.most_sockets + TELLING
            {
                self.full = true;
                return self.pause_accepting(works);
            }
            let id = self.next;
            match self
                .door
                .accept()
                .and_then(|stream| works.sockets.adopt(SocketOwner::Client(id), stream))
            {
                Ok(mut client) => {
                    works.counters.connections += 1;
                    client.want(true, false);
                    let since = self.behind_since.unwrap_or(works.now);
                    self.map.insert(id, Session::new(id, client, since, works));
                    self.next = self.next.wrapping_add(1);
                    self.step(id, works, |session, shared, works| {
                        session.client_event(shared, book, works)
                    });
                }
                Err(fault) => match fault.kind() {
                    ErrorKind::WouldBlock => {
                        self.behind_since = None;
                        return;
                    }
                    ErrorKind::ConnectionAborted
                    | ErrorKind::Interrupted
                    | ErrorKind::ConnectionReset => {}
                    _ => {
                        // No descriptor or memory left: the clients stay in the backlog for a
                        // moment.
                        works.counters.accept_failures += 1;
                        log::debug!("accept: {fault}");
                        return self.pause_accepting(works);
                    }
                },
            }
        }
        self.behind_since.get_or_insert(works.now);
    }

    pub(super) fn pause_accepting(&mut self, works: &mut IoContext) {
        self.behind_since.get_or_insert(works.now);
        self.door.want(false);
        works
            .alarms
            .set(works.now + ACCEPT_PAUSE, Timer::ResumeAccepting);
    }

    pub fn resume_accepting(&mut self) {
        self.full = false;
        self.door.want(self.entry == Accepting::Open);
    }

    /// Ends the connection that is needed least: one that has had its last word, else the one that
    /// has been silent for longest, if for so long; true where that made room. What a silent one
    /// has said by now is read first: a line that came since the turn began is a session taken, and
    /// owed its answer.
    pub(super) fn shed(
        &mut self,
        silent: Duration,
        book: &EndpointRegistry,
        works: &mut IoContext,
    ) -> bool {
        while let Some(&first) = self.shared.idle.first() {
            let (waits, heard, id) = first;
            if waits && works.now.duration_since(heard) < silent {
                return false;
            }
            self.step(id, works, |session, shared, works| {
                if session.stage != Stage::Opening {
                    return Over;
                }
                let fate = session.client_event(shared, book, works);
                match session.stage {
                    // Half a line, whose rest may be on its way: told so that it can't be missed.
                    Stage::Opening if session.up.waits() => {
                        session.part(&protocol::refusal(None), works)
                    }
                    Stage::Opening => {
                        // Accepted just now it may speak at this very moment: then this is its
                        // answer, though the break that follows leaves no time for more.
                        if works.now.duration_since(heard) < SHED_AFTER {
                            session.words.add(&protocol::refusal(None));
                            let _ = session.words.give(&mut session.client);
                        }
                        Over
                    }
                    _ => fate,
                }
            });
            if !self.map.contains_key(&id) {
                works.counters.shed += u64::from(waits);
                return true;
            }
            // It has spoken and has its place elsewhere; one that has not can't be got rid of.
            if self.shared.idle.first() == Some(&first) {
                return false;
            }
        }
        false
    }
}
