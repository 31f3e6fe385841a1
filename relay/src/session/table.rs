//! The table of sessions.
use super::shared::Shared;
use super::stage::Fate;
use super::stage::Fate::{Goes, Over};
use super::state::Session;
use crate::discovery::watch::EndpointRegistry;
use crate::io_context::IoContext;
use crate::protocol::{Cause, Names};
use crate::sockets::ListenerSocket;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::panic::{AssertUnwindSafe, catch_unwind};
use thistlecroft::time::Instant;
use thistlecroft_operator_config::RouteTable;

/// Descriptors that sessions never take: discovery, probes, signals, the door, the poller, the log.
pub const RESERVE: usize = 40;

/// And these few more serve to tell clients that there is no room.
pub(super) const TELLING: usize = 8;

pub struct Sessions {
    pub(super) map: BTreeMap<u32, Session>,
    pub(super) next: u32,
    pub(super) door: ListenerSocket,
    pub(super) entry: Accepting,
    /// Since when connections may have waited to be accepted.
    pub(super) behind_since: Option<Instant>,
    /// Accepting pauses until a descriptor is free.
    pub(super) full: bool,
    /// To be handed to the next process, and how many are on their way.
    pub(super) offers: VecDeque<u32>,
    pub(super) on_way: usize,
    pub(super) shared: Shared,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Accepting {
    Shut,
    Open,
}

impl Sessions {
    /// No client is taken before `open_door`.
    pub fn new(
        door: ListenerSocket,
        names: Names,
        routing: RouteTable,
        sockets: usize,
    ) -> Sessions {
        let most_sockets = sockets.saturating_sub(RESERVE);
        let (claimed, idle) = (BTreeSet::new(), BTreeSet::new());
        let (generation, generations) = (1, BTreeMap::new());
        let shared = Shared {
            names,
            routing,
            generation,
            generations,
            most_sockets,
            claimed,
            idle,
        };
        let (map, entry, offers) = (BTreeMap::new(), Accepting::Shut, VecDeque::new());
        Sessions {
            map,
            next: 0,
            door,
            entry,
            behind_since: None,
            full: false,
            offers,
            on_way: 0,
            shared,
        }
    }

    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }

    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// Other names and routes, for the sessions that come from now on.
    pub fn reroute(&mut self, names: Names, routing: RouteTable) {
        let same = self.shared.names.listeners == names.listeners && self.shared.routing == routing;
        (self.shared.names, self.shared.routing) = (names, routing);
        self.shared.generation += u32::from(!same);
    }

    pub fn routing(&self) -> &RouteTable {
        &self.shared.routing
    }

    pub fn generation(&self) -> u32 {
        self.shared.generation
    }

    /// How many sessions go by which reading of the file, for people.
    pub fn generations(&self) -> String {
        let each = self
            .shared
            .generations
            .iter()
            .map(|(number, count)| format!("{count} by generation {number}"));
        each.collect::<Vec<_>>().join(", ")
    }

    /// Runs one step of a session, for an event, an alarm or an order; whatever comes of it, what
    /// is waited for is settled in this one place. A fault in the code costs the session that met
    /// it, not the process.
    pub(super) fn step(
        &mut self,
        id: u32,
        works: &mut IoContext,
        step: impl FnOnce(&mut Session, &mut Shared, &mut IoContext) -> Fate,
    ) {
        let Some(session) = self.map.get_mut(&id) else {
            return;
        };
        let was_idle = session.idle_since();
        let done = catch_unwind(AssertUnwindSafe(|| step(session, &mut self.shared, works)));
        let fate = done.unwrap_or_else(|_| {
            works.counters.panics += 1;
            session.give_up(works)
        });
        let idle = session.idle_since().filter(|_| fate == Goes);
        if let Some(place) = was_idle {
            self.shared.idle.remove(&place);
        }
        if let Some(place) = idle {
            self.shared.idle.insert(place);
        }
        match fate {
            Goes => session.settle(),
            Over => {
                if let Some(mut session) = self.map.remove(&id) {
                    session.up.clear(&mut works.pool);
                    session.down.clear(&mut works.pool);
                    session.drop_other(&mut works.pool);
                    session.claimed.map(|id| self.shared.claimed.remove(&id));
                    if let Some(generation) = session.generation {
                        self.shared.forget(generation);
                    }
                }
                // Who waits in the backlog is answered as soon as there is room.
                if self.full {
                    self.resume_accepting();
                }
            }
        }
    }

    pub fn client_event(
        &mut self,
        id: u32,
        key: usize,
        book: &EndpointRegistry,
        works: &mut IoContext,
    ) {
        self.step(id, works, |session, shared, works| {
            if session.client.is(key) {
                session.client_event(shared, book, works)
            } else {
                Goes
            }
        });
    }

    pub fn dial_event(
        &mut self,
        id: u32,
        key: usize,
        book: &EndpointRegistry,
        works: &mut IoContext,
    ) {
        self.step(id, works, |session, shared, works| {
            if session.lead(|dial| dial.sock.is(key)) {
                session.dial_event(shared, book, works)
            } else {
                Goes
            }
        });
    }

    pub fn dial_alarm(&mut self, id: u32, serial: u32, works: &mut IoContext) {
        self.step(id, works, |session, _, works| {
            let late = session.lead(|dial| dial.serial == serial && dial.overdue(works.now));
            match session
                .dial
                .as_ref()
                .filter(|_| late)
                .map(|dial| dial.failed(Cause::TimedOut))
            {
                Some(fault) => session.dial_ended(fault, works),
                None => Goes,
            }
        });
    }

    pub fn client_alarm(&mut self, id: u32, works: &mut IoContext) {
        self.step(id, works, |session, _, works| session.client_alarm(works));
    }

    pub fn overdue_alarm(&mut self, id: u32, works: &mut IoContext) {
        self.step(id, works, |session, _, works| {
            session.overdue(works);
            Goes
        });
    }

    pub fn idle_alarm(&mut self, id: u32, works: &mut IoContext) {
        self.step(id, works, |session, _, works| session.idle_alarm(works));
    }

    pub fn again_alarm(&mut self, id: u32, book: &EndpointRegistry, works: &mut IoContext) {
        self.step(id, works, |session, shared, works| {
            session.inherit(shared, book, works)
        });
    }

    /// Sessions that stopped for want of a buffer read on.
    pub fn feed(&mut self, works: &mut IoContext) {
        for _ in 0..works.starved.len() {
            if !works.pool.has_some() {
                return;
            }
            let Some(id) = works.starved.pop_front() else {
                return;
            };
            self.step(id, works, |session, _, _| {
                session.starved = false;
                Goes
            });
        }
    }

    #[cfg(test)]
    pub fn fail(&mut self, id: u32, works: &mut IoContext) {
        self.step(id, works, |_, _, _| {
            panic!("a fault in a step, for the test")
        });
    }
}
