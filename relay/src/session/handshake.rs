//! First line.
use super::shared::Shared;
use super::stage::Fate::Goes;
use super::stage::{Fate, Stage};
use super::state::{About, Session};
use crate::discovery::watch::EndpointRegistry;
use crate::driver::Event;
use crate::io_context::IoContext;
use crate::line_buffer::TooLong;
use crate::protocol::{self, FirstLine};
use thistlecroft::ids::RouteId;

impl Session {
    pub(super) fn first_lines(
        &mut self,
        shared: &mut Shared,
        book: &EndpointRegistry,
        works: &mut IoContext,
    ) -> Fate {
        while self.stage == Stage::Opening {
            let first = match self.up.next_line() {
                Ok(None) => return Goes,
                Ok(Some(line)) => protocol::first_line(line, &shared.names),
                Err(TooLong) => Err("too long"),
            };
            match first {
                Ok(FirstLine::Ping) => {
                    works.counters.pings += 1;
                    self.up.consume(&mut works.pool);
                    self.words.add(protocol::ALIVE);
                }
                Ok(FirstLine::Open(mut open)) => {
                    self.up.consume(&mut works.pool);
                    if self.up.has_bytes() {
                        return self.bad_line("more than one line", works);
                    }
                    if !shared.claimed.insert(open.id) {
                        return self.bad_line("an id that is open already", works);
                    }
                    self.claimed = Some(open.id);
                    self.close_by = None;
                    self.began = works.now;
                    let idle_others = shared.idle.iter().any(|&(.., id)| id != self.id);
                    if works.sockets.open() >= shared.most_sockets && !idle_others {
                        // No descriptor for a dial: told before accepting itself would fail.
                        works.counters.turned_away += 1;
                        return self.part(&protocol::refusal(None), works);
                    }
                    let inherited = open.at.is_some();
                    let arrival = &mut open.arrival;
                    let listener = shared.names.listeners[usize::from(arrival.route.0)].clone();
                    let (key, group) = (arrival.client_key, open.group);
                    self.about = Some(Box::new(About {
                        listener,
                        key,
                        group,
                        load: None,
                        sent_away: false,
                    }));
                    let row = shared.routing.route_for(
                        usize::from(arrival.route.0),
                        arrival.client_key.unwrap_or_default(),
                        open.group,
                    );
                    let front = shared.routing.timeouts(row);
                    arrival.route = RouteId(row as u16);
                    let within = front.handshake_timeout.unwrap_or(arrival.timeout);
                    arrival.timeout = arrival.timeout.min(within);
                    (self.front, self.generation) = (Some(front), Some(shared.enter()));
                    let arrival = open.arrival;
                    self.open = Some(open);
                    if inherited {
                        self.stage = Stage::Inheriting;
                        return self.inherit(shared, book, works);
                    }
                    works.counters.sessions += 1;
                    self.stage = Stage::Placing;
                    works
                        .news
                        .push_back(Event::SessionArrived(self.session_id(), arrival));
                }
                Err(why) => return self.bad_line(why, works),
            }
        }
        Goes
    }

    pub(super) fn bad_line(&mut self, why: &str, works: &mut IoContext) -> Fate {
        works.counters.bad_lines += 1;
        log::debug!("a client's first line: {why}");
        self.up.clear(&mut works.pool);
        self.part(protocol::FAILED, works)
    }
}
