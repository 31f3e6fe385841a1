//! Handover.
use super::stage::Fate::{Goes, Over};
use super::stage::{Fate, Stage};
use super::state::{About, Session};
use super::table::Sessions;
use crate::discovery::watch::EndpointRegistry;
use crate::driver::Event;
use crate::hot_restart::channel::Channel;
use crate::hot_restart::messages::{Message, SessionHandover};
use crate::io_context::IoContext;
use crate::line_buffer::LineBuffer;
use crate::sockets::SocketOwner;
use crate::timers::Timer;
use crate::upstream::Attempt;
use std::os::fd::OwnedFd;
use thistlecroft::attempt::{Arrival, AttemptOutcome};
use thistlecroft::ids::{RouteId, SessionId};
use thistlecroft::time::{Duration, Instant};

/// Connections on their way to the next process at once: each is held twice for that time.
pub(super) const OFFERS: usize = 16;

/// Looked at in one turn, for one that may go.
pub(super) const OFFER_LOOKS: usize = 64;

pub(super) const OFFER_AGAIN: Duration = Duration::from_millis(10);

/// Without an answer it is kept, and moved as if there were no next process.
pub(super) const OFFERED_WITHIN: Duration = Duration::from_millis(500);

impl Sessions {
    /// All that stands, and what will stand, is to go to the next process.
    pub fn hand_over_to_successor(&mut self, works: &mut IoContext) {
        self.offers = self.map.keys().copied().collect();
        works.alarms.set(works.now, Timer::OfferSessions);
    }

    /// Offers as many as may be on their way.
    ///
    /// # Errors
    /// The next process is gone.
    pub fn offer(
        &mut self,
        successor: &Channel,
        book: &EndpointRegistry,
        works: &mut IoContext,
    ) -> std::io::Result<()> {
        for _ in 0..self.offers.len().min(OFFER_LOOKS) {
            if self.on_way >= OFFERS {
                break;
            }
            let Some(id) = self.offers.pop_front() else {
                break;
            };
            let Some(session) = self.map.get_mut(&id) else {
                continue;
            };
            match session.heritable() {
                Some(true) if session.offer(successor, book)? => {
                    self.on_way += 1;
                    works
                        .alarms
                        .set(works.now + OFFERED_WITHIN, Timer::OfferTimeout(id));
                }
                Some(_) => self.offers.push_back(id),
                None => {}
            }
        }
        if !self.offers.is_empty() {
            works
                .alarms
                .set(works.now + OFFER_AGAIN, Timer::OfferSessions);
        }
        Ok(())
    }

    /// The next process holds it: this one lets go, without a word to either side.
    pub fn handed(
        &mut self,
        id: u32,
        successor: &Channel,
        works: &mut IoContext,
    ) -> std::io::Result<()> {
        if self
            .map
            .get(&id)
            .is_none_or(|session| session.stage != Stage::Handing)
        {
            return Ok(());
        }
        if !successor.send(&Message::Yours { serial: id }, &[], &[])? {
            return Err(std::io::Error::other("it does not read"));
        }
        self.on_way -= 1;
        self.step(id, works, |session, _, works| {
            works.counters.handed += 1;
            session.tell_end(AttemptOutcome::Cancelled, works);
            Over
        });
        Ok(())
    }

    /// It stays after all; true where it had been on its way.
    pub fn keep(&mut self, id: u32, works: &mut IoContext) -> bool {
        let offered = self
            .map
            .get(&id)
            .is_some_and(|session| session.stage == Stage::Handing);
        if offered {
            self.on_way -= 1;
            self.step(id, works, |session, _, works| session.keep(works));
        }
        offered
    }

    /// There is no next process any more.
    pub fn keep_all(&mut self, works: &mut IoContext) {
        self.offers.clear();
        let offered = self
            .map
            .iter()
            .filter(|(_, session)| session.stage == Stage::Handing);
        let offered: Vec<u32> = offered.map(|(&id, _)| id).collect();
        for id in offered {
            self.keep(id, works);
        }
    }

    /// If two more descriptors fit in. What the other process holds does not count: what comes from
    /// there is less over there.
    pub fn has_room(&self, works: &IoContext) -> bool {
        works.sockets.own() + 2 <= self.shared.most_sockets
    }

    /// A connection that the process before has let go of: client and backend don't notice.
    pub fn adopt(
        &mut self,
        of: &SessionHandover,
        [client, backend]: [OwnedFd; 2],
        (up, down): (&[u8], &[u8]),
        book: &mut EndpointRegistry,
        works: &mut IoContext,
    ) -> std::io::Result<()> {
        let id = self.next;
        let at = book.enter(&of.backend);
        let client = works
            .sockets
            .adopt(SocketOwner::Client(id), client.into())?;
        let backend = works
            .sockets
            .adopt(SocketOwner::Attempt(id), backend.into())?;
        let no_buffer = || std::io::Error::other("no buffer");
        let up = LineBuffer::holding(up, of.up.1, &mut works.pool).ok_or_else(no_buffer)?;
        let down = LineBuffer::holding(down, of.down.1, &mut works.pool).ok_or_else(no_buffer)?;
        self.next = self.next.wrapping_add(1);
        let mut session = Session::new(id, client, works.now, works);
        // A listener that these settings don't have any more: all that its row is asked for is how
        // to move it.
        let listener = self
            .shared
            .names
            .listeners
            .iter()
            .position(|name| *name == of.listener)
            .unwrap_or(0);
        let row = self
            .shared
            .routing
            .route_for(listener, of.key.unwrap_or_default(), of.group);
        let front = self.shared.routing.timeouts(row);
        let arrival = Arrival {
            route: RouteId(row as u16),
            client_key: of.key,
            group: of.group.filter(|_| self.shared.names.groups),
            timeout: Duration::ZERO,
        };
        session.stage = Stage::Standing;
        session.dial = Some(Attempt::standing(at, backend, works.now));
        (session.up, session.down, session.stood) = (up, down, true);
        (session.front, session.generation) = (Some(front), Some(self.shared.enter()));
        session.close_by = None;
        session.heard = Instant::from_micros(of.heard_us);
        session.asked = of.asked_us.map(Instant::from_micros);
        session.told_delay = Duration::from_micros(of.told_delay_us);
        session.claimed = self.shared.claimed.insert(of.id).then_some(of.id);
        let (key, group, load) = (of.key, of.group, of.load);
        session.about = Some(Box::new(About {
            listener: of.listener.clone(),
            key,
            group,
            load,
            sent_away: false,
        }));
        session.watch(works);
        self.map.insert(id, session);
        works.counters.adopted += 1;
        works
            .news
            .push_back(Event::SessionInherited(SessionId(id), at, arrival));
        if let Some(load) = load {
            works
                .news
                .push_back(Event::LoadObserved(SessionId(id), load));
        }
        self.step(id, works, |_, _, _| Goes);
        Ok(())
    }
}

impl Session {
    /// If it may go to the next process now, or may later; none where it never will.
    pub(super) fn heritable(&self) -> Option<bool> {
        match self.stage {
            Stage::Opening | Stage::Placing | Stage::Inheriting => Some(false),
            Stage::Standing => {
                let ends = self.end_told || self.up.ended || self.down.ended || self.said.is_some();
                (!ends && self.close_by.is_none())
                    .then_some(!self.words.waits() && self.other.is_none())
            }
            Stage::Handing | Stage::Leaving | Stage::Parted => None,
        }
    }

    /// True where the offer went out.
    pub(super) fn offer(
        &mut self,
        successor: &Channel,
        book: &EndpointRegistry,
    ) -> std::io::Result<bool> {
        let (Some(dial), Some(about), Some(id)) = (&self.dial, &self.about, self.claimed) else {
            return Ok(false);
        };
        let ((up, up_whole), (down, down_whole)) = (self.up.held(), self.down.held());
        let word = Message::Session(SessionHandover {
            serial: self.id,
            id,
            listener: about.listener.clone(),
            key: about.key,
            group: about.group,
            backend: book.name(dial.backend).to_string(),
            heard_us: self.heard.as_micros(),
            asked_us: self.asked.map(Instant::as_micros),
            told_delay_us: self.told_delay.as_micros(),
            load: about.load,
            up: (up.len(), up_whole),
            down: (down.len(), down_whole),
        });
        let descriptors = [self.client.descriptor(), dial.sock.descriptor()];
        if !successor.send(&word, &[up, down], &descriptors)? {
            return Ok(false);
        }
        self.stage = Stage::Handing;
        self.settle();
        Ok(true)
    }

    pub(super) fn keep(&mut self, works: &mut IoContext) -> Fate {
        self.stage = Stage::Standing;
        if self.about.as_ref().is_some_and(|about| about.sent_away) {
            return self.send_away(works);
        }
        self.watched = false;
        self.watch(works);
        Goes
    }
}
