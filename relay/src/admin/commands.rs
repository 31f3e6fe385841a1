//! What operators do by hand: their calls answered, and the backends they took out made known to
//! the decisions and kept for the next process.
use crate::admin::connections::AdminConnections;
use crate::admin::protocol::{AdminCommand, Readiness};
use crate::bans::store::{BanStore, BanStoreError};
use crate::discovery::watch::EndpointRegistry;
use crate::driver::Event;
use crate::io_context::IoContext;
use crate::peers::Peers;
use crate::timers::Timer;
use std::collections::BTreeSet;
use thistlecroft::time::{Duration, Instant};

/// What another process of this relay wrote is known here after so long.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// The list of bans is held by another process for the time of one write; one that holds it for
/// longer hangs.
const LOCKED: Duration = Duration::from_millis(500);
const LOCKED_AGAIN: Duration = Duration::from_millis(5);

/// A call whose answer is worked out; it goes out once the decisions have been told.
pub type Answer = (u32, Result<String, String>);

pub struct AdminCommands {
    pub callers: Option<AdminConnections>,
    shelf: Option<BanStore>,
    /// As the decisions were told.
    out: BTreeSet<String>,
    /// Only one alarm for it is ever set, whoever else looks in between.
    look_at: Instant,
    /// Since when a change waits for the other process to let go of the list.
    locked: Option<Instant>,
}

impl AdminCommands {
    pub fn new(
        callers: Option<AdminConnections>,
        shelf: Option<BanStore>,
        book: &mut EndpointRegistry,
        works: &mut IoContext,
    ) -> AdminCommands {
        let mut hand = AdminCommands {
            callers,
            shelf,
            out: BTreeSet::new(),
            look_at: works.now,
            locked: None,
        };
        hand.look(book, works);
        hand
    }

    /// Reads what another process has changed.
    pub fn look(&mut self, book: &mut EndpointRegistry, works: &mut IoContext) {
        let Some(shelf) = &mut self.shelf else { return };
        if shelf.refresh() {
            let later = shelf.bans().out.clone();
            for id in self.out.symmetric_difference(&later) {
                let (backend, out) = (book.enter(id), later.contains(id));
                book.ban(backend, out);
                works.news.push_back(Event::BanChanged(backend, out));
            }
            log::info!("bans of another process taken over: {} out", later.len());
            self.out = later;
        }
        if works.now >= self.look_at {
            self.look_at = works.now + LOOK_EVERY;
            works.alarms.set(self.look_at, Timer::BanStore);
        }
    }

    /// IoContext out the answers to the calls of this turn.
    pub fn answers(
        &mut self,
        readiness: Readiness,
        peers: &mut Option<Peers>,
        book: &mut EndpointRegistry,
        works: &mut IoContext,
    ) -> Vec<Answer> {
        let Some(callers) = &mut self.callers else {
            return Vec::new();
        };
        let calls = std::mem::take(&mut callers.calls);
        let (mut answers, mut waiting) = (Vec::new(), Vec::new());
        for (caller, call) in calls {
            let done = match &call {
                AdminCommand::Ready => Some(
                    readiness
                        .told()
                        .map(|()| "ready".into())
                        .map_err(str::to_string),
                ),
                // While one waits all behind it do: their order is the operators'.
                _ if !waiting.is_empty() => None,
                AdminCommand::Disable(id) => self.change(id, true, book, works),
                AdminCommand::Enable(id) => self.change(id, false, book, works),
                asked => Some(match peers {
                    Some(peers) => peers.answer(asked, works),
                    None => Err("peers are not switched on ([peers] in the charter)".into()),
                }),
            };
            match done {
                Some(done) => answers.push((caller, done)),
                None => waiting.push((caller, call)),
            }
        }
        if !waiting.is_empty() {
            works.alarms.set(works.now + LOCKED_AGAIN, Timer::BanStore);
        }
        if let Some(callers) = &mut self.callers {
            callers.calls = waiting;
        }
        answers
    }

    /// None while the other process holds the list.
    fn change(
        &mut self,
        id: &str,
        out: bool,
        book: &mut EndpointRegistry,
        works: &mut IoContext,
    ) -> Option<Result<String, String>> {
        let Some(backend) = book.named(id) else {
            return Some(Err(format!("no backend {id} was ever listed here")));
        };
        if let Some(shelf) = &mut self.shelf {
            match shelf.change(id, out) {
                Ok(()) => self.locked = None,
                Err(BanStoreError::Locked) => {
                    let since = *self.locked.get_or_insert(works.now);
                    if works.now.duration_since(since) < LOCKED {
                        return None;
                    }
                    self.locked = None;
                    return Some(Err(
                        "another process holds the list of bans: nothing changed".into(),
                    ));
                }
                Err(BanStoreError::Other(fault)) => {
                    return Some(Err(format!("the ban can't be kept: {fault}")));
                }
            }
        }
        let changed = if out {
            self.out.insert(id.to_string())
        } else {
            self.out.remove(id)
        };
        if changed {
            log::info!("{id} is {} by hand", if out { "out" } else { "back" });
            book.ban(backend, out);
            works.news.push_back(Event::BanChanged(backend, out));
        }
        let done = match (out, changed) {
            (true, true) => "out",
            (true, false) => "already out",
            (false, true) => "back",
            (false, false) => "was not out",
        };
        Some(Ok(done.into()))
    }

    /// Written after the decisions have been told.
    pub fn answer(&mut self, answers: Vec<Answer>, works: &mut IoContext) {
        let Some(callers) = &mut self.callers else {
            return;
        };
        for (caller, done) in answers {
            callers.answer(caller, done.as_deref().map_err(String::as_str), works);
        }
    }

    pub fn out(&self) -> usize {
        self.out.len()
    }
}
