//! Sessions: each owns its client's socket and the dial that is out for it, and is in one named
//! stage.
use crate::buffers::Pool;
use crate::counters::Counters;
use crate::discovery::watch::EndpointRegistry;
use crate::driver::Event;
use crate::hot_restart::channel::Channel;
use crate::hot_restart::messages::{Message, SessionHandover};
use crate::io_context::IoContext;
use crate::line_buffer::{LineBuffer, OutputBuffer, ReadOutcome, TooLong};
use crate::protocol::{
    self, AttemptFailure, AttemptProgress, BackendMessage, Cause, FirstLine, Names, OpenRequest,
};
use crate::sockets::{Connection, ListenerSocket, SocketOwner};
use crate::timers::Timer;
use crate::upstream::{Attempt, AttemptPlan, AttemptStage};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{ErrorKind, Read};
use std::os::fd::OwnedFd;
use std::panic::{AssertUnwindSafe, catch_unwind};
use thistlecroft::attempt::{Arrival, AttemptEnd, AttemptOutcome, LoadReport};
use thistlecroft::ids::{BackendId, RouteId, SessionId};
use thistlecroft::time::{Duration, Instant};
use thistlecroft_operator_config::{RouteTable, SessionTimeouts};

/// Accepts in one turn, so that a rush of clients can't keep the standing ones waiting.
const ACCEPTS: usize = 64;
/// After an accept that failed for want of anything; trying at once would only spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Descriptors that sessions never take: discovery, probes, signals, the door, the poller, the log.
pub const RESERVE: usize = 40;
/// And these few more serve to tell clients that there is no room.
const TELLING: usize = 8;
/// From its connecting, for all that a client says before its `OPEN` is read whole: an answer or an
/// end is owed within three seconds, and a connection that says nothing holds a descriptor that
/// others need. With 2.7 s nobody more was served on crowded days (docs/results.md).
const FIRST_LINE: Duration = Duration::from_millis(2_000);
/// One accepted late has at least this, to be read at all.
const FIRST_LINE_LEAST: Duration = Duration::from_millis(200);
/// While descriptors lack, a connection that says nothing makes room after this; a usual client's
/// first line is there long before.
const SHED_AFTER: Duration = Duration::from_millis(20);
/// After our last word a client is given this long to end its side; the protocol allows a second in
/// all.
const PARTING: Duration = Duration::from_millis(400);
/// The same while it still sends, which is dropped: closed with bytes unread, the connection would
/// be reset and the last word with it lost.
const DROPPING: Duration = Duration::from_millis(3_000);
/// Dropped at one go: a megabyte a turn, so that sixty of them pass in time, and no more.
const DROPS: usize = 16;
const DROP: usize = 64 * 1024;
/// After its backend has ended, or its client has; the protocol allows a second for the former.
const BACKEND_ENDED: Duration = Duration::from_millis(700);
const CLIENT_ENDED: Duration = Duration::from_millis(2_000);
/// A line unanswered for so long is noted as delayed while it is, and again after each such span.
const OVERDUE: Duration = Duration::from_millis(250);
/// Connections from before the start are tried again after this, and given up after the other: lost
/// after 40 s.
const INHERITED_AGAIN: Duration = Duration::from_millis(200);
const INHERITED_WITHIN: Duration = Duration::from_millis(38_000);
/// The same where the list does not know the backend: it may be about to come, once.
const UNKNOWN_WITHIN: Duration = Duration::from_millis(2_000);

/// Connections on their way to the next process at once: each is held twice for that time.
const OFFERS: usize = 16;
/// Looked at in one turn, for one that may go.
const OFFER_LOOKS: usize = 64;
const OFFER_AGAIN: Duration = Duration::from_millis(10);
/// Without an answer it is kept, and moved as if there were no next process.
const OFFERED_WITHIN: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Its first line is awaited.
    Opening,
    /// Known to the decisions, which owe it an answer.
    Placing,
    /// It was open before this process was: the backend is given, not decided.
    Inheriting,
    /// Up: lines pass both ways.
    Standing,
    /// Up, and offered to the next process: nobody reads until it has answered.
    Handing,
    /// Our last words are on their way out.
    Leaving,
    /// All is said; only the client's end of the connection is awaited.
    Parted,
}

/// A second dial, and what its backend has said.
struct Other {
    dial: Attempt,
    down: LineBuffer,
}

struct Session {
    id: u32,
    stage: Stage,
    client: Connection,
    open: Option<Box<OpenRequest>>,
    /// What the next process needs to know of it.
    about: Option<Box<About>>,
    /// What its route says, and by which reading of the file.
    front: Option<SessionTimeouts>,
    generation: Option<u32>,
    dial: Option<Attempt>,
    /// Out beside the first, until one of them is up.
    other: Option<Box<Other>>,
    dials: u32,
    serial: u32,
    /// From the client to its backend, and back.
    up: LineBuffer,
    down: LineBuffer,
    /// What the relay itself says to the client, behind the lines that wait in `down`.
    words: OutputBuffer,
    began: Instant,
    /// When the client last said anything.
    heard: Instant,
    /// Its id, as long as no other connection may have the same.
    claimed: Option<u64>,
    /// It has been up: cutting it off would lose what is still on its way.
    stood: bool,
    /// When the first client line without a line back came.
    asked: Option<Instant>,
    watched: bool,
    /// How long its messages take as its backend told it last.
    told_delay: Duration,
    /// The backend's last word, and whether the decisions have been told of the end.
    said: Option<(AttemptOutcome, LoadReport)>,
    end_told: bool,
    up_shut: bool,
    down_shut: bool,
    close_by: Option<Instant>,
    starved: bool,
}

/// What stays of an `OpenRequest` once it is up.
struct About {
    listener: String,
    key: Option<u64>,
    group: Option<u64>,
    load: Option<f64>,
    /// The decisions sent it away while it was offered.
    sent_away: bool,
}

/// What a session needs to know of the whole.
struct Shared {
    names: Names,
    routing: RouteTable,
    /// How often routes have been read, and sessions by the reading that they go by.
    generation: u32,
    generations: BTreeMap<u32, usize>,
    /// Descriptors that sessions may take together.
    most_sockets: usize,
    /// Ids of sessions that are open: a backend turns a second one of the same id away, and the
    /// blame would fall on it.
    claimed: BTreeSet<u64>,
    /// Sessions that hold a descriptor for nothing: first those that have had their last word, then
    /// the others, the longest silent first.
    idle: BTreeSet<Idle>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Accepting {
    Shut,
    Open,
}

/// Not parted yet, silent since, and whose.
type Idle = (bool, Instant, u32);

pub struct Sessions {
    map: BTreeMap<u32, Session>,
    next: u32,
    door: ListenerSocket,
    entry: Accepting,
    /// Since when connections may have waited to be accepted.
    behind_since: Option<Instant>,
    /// Accepting pauses until a descriptor is free.
    full: bool,
    /// To be handed to the next process, and how many are on their way.
    offers: VecDeque<u32>,
    on_way: usize,
    shared: Shared,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Fate {
    Goes,
    Over,
}
use Fate::{Goes, Over};

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

    fn pause_accepting(&mut self, works: &mut IoContext) {
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
    fn shed(&mut self, silent: Duration, book: &EndpointRegistry, works: &mut IoContext) -> bool {
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

    /// Runs one step of a session, for an event, an alarm or an order; whatever comes of it, what
    /// is waited for is settled in this one place. A fault in the code costs the session that met
    /// it, not the process.
    fn step(
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

    /// A list or an operator has taken backends out: what is on its way there and has sent nothing
    /// yet ends, since it could come up after the grace. Asked once the turn's own dials are under
    /// way.
    pub fn recall(&mut self, book: &EndpointRegistry, works: &mut IoContext) {
        let there = |dial: &Attempt| dial.is_unsent() && book.is_out(dial.backend);
        let any = |session: &Session| {
            let other = session.other.as_ref().map(|other| &other.dial);
            session.stage == Stage::Placing && session.dial.iter().chain(other).any(there)
        };
        let ids: Vec<u32> = self
            .map
            .iter()
            .filter(|(_, session)| any(session))
            .map(|(&id, _)| id)
            .collect();
        for id in ids {
            self.step(id, works, |session, _, works| {
                let mut fate = Goes;
                while fate == Goes && session.lead(there) {
                    let fault = session
                        .dial
                        .as_ref()
                        .map(|dial| dial.failed(Cause::Withdrawn));
                    fate = fault.map_or(Over, |fault| session.dial_ended(fault, works));
                }
                fate
            });
        }
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

    // ---- to the next process, and from the one before ----

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

    // ---- what the decisions ask for ----

    pub fn dial(
        &mut self,
        id: SessionId,
        backend: BackendId,
        give_up_after: Duration,
        book: &EndpointRegistry,
        works: &mut IoContext,
    ) {
        // Connections that only wait never keep a dial from its descriptor.
        while works.sockets.open() >= self.shared.most_sockets
            && self.shed(Duration::ZERO, book, works)
        {}
        self.step(id.0, works, |session, shared, works| {
            let number = session.dials;
            session.dials += 1;
            session.dial(number, backend, give_up_after, shared, book, works)
        });
    }

    pub fn withdraw(&mut self, id: SessionId, number: u32, works: &mut IoContext) {
        self.step(id.0, works, |session, _, works| {
            if let Some(mut loser) = session.other.take_if(|other| other.dial.number == number) {
                loser.down.clear(&mut works.pool);
                session.tell_dial_end(number, loser.dial.failed(Cause::Withdrawn), works);
                return Goes;
            }
            let dial = session.dial.as_ref().filter(|dial| dial.number == number);
            match dial.filter(|dial| dial.stage != AttemptStage::Standing) {
                Some(dial) => {
                    let fault = dial.failed(Cause::Withdrawn);
                    session.dial_ended(fault, works)
                }
                None => Goes,
            }
        });
    }

    pub fn refuse(&mut self, id: SessionId, retry_after: Option<Duration>, works: &mut IoContext) {
        self.answer(
            id,
            &protocol::refusal(retry_after),
            |counters| &mut counters.refused,
            works,
        );
    }

    pub fn tear_down(&mut self, id: SessionId, works: &mut IoContext) {
        self.answer(
            id,
            protocol::FAILED,
            |counters| &mut counters.torn_down,
            works,
        );
    }

    /// The final answer of a session that was not accepted; one that has its answer gets no second.
    fn answer(
        &mut self,
        id: SessionId,
        word: &str,
        count: fn(&mut Counters) -> &mut u64,
        works: &mut IoContext,
    ) {
        self.step(id.0, works, |session, _, works| {
            if session.stage != Stage::Placing {
                return Goes;
            }
            *count(&mut works.counters) += 1;
            session.part(word, works)
        });
    }

    pub fn send_away(&mut self, id: SessionId, works: &mut IoContext) {
        self.step(id.0, works, |session, _, works| {
            match (session.stage, &mut session.about) {
                (Stage::Standing, _) => session.send_away(works),
                (Stage::Handing, Some(about)) => {
                    about.sent_away = true;
                    Goes
                }
                _ => Goes,
            }
        });
    }

    pub fn give_up(&mut self, id: SessionId, works: &mut IoContext) {
        self.step(id.0, works, |session, _, works| session.give_up(works));
    }

    #[cfg(test)]
    pub fn fail(&mut self, id: u32, works: &mut IoContext) {
        self.step(id, works, |_, _, _| {
            panic!("a fault in a step, for the test")
        });
    }
}

impl Shared {
    fn enter(&mut self) -> u32 {
        *self.generations.entry(self.generation).or_default() += 1;
        self.generation
    }

    fn forget(&mut self, generation: u32) {
        let Some(count) = self.generations.get_mut(&generation) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.generations.remove(&generation);
            if generation != self.generation {
                log::debug!(generation; "the last session by generation {generation} of the charter has ended");
            }
        }
    }
}

impl Session {
    fn new(id: u32, client: Connection, since: Instant, works: &mut IoContext) -> Session {
        let mut session = Session {
            id,
            stage: Stage::Opening,
            client,
            open: None,
            about: None,
            front: None,
            generation: None,
            dial: None,
            other: None,
            dials: 0,
            serial: 0,
            up: LineBuffer::default(),
            down: LineBuffer::default(),
            words: OutputBuffer::default(),
            began: since,
            heard: works.now,
            claimed: None,
            stood: false,
            asked: None,
            watched: false,
            told_delay: Duration::ZERO,
            said: None,
            end_told: false,
            up_shut: false,
            down_shut: false,
            close_by: None,
            starved: false,
        };
        let left = FIRST_LINE - works.now.duration_since(since);
        session.close_within(left.max(FIRST_LINE_LEAST), works);
        // Into the list of the idle by its first step, which follows.
        session
    }

    /// Its place among those that hold a descriptor for nothing.
    fn idle_since(&self) -> Option<Idle> {
        let idle =
            matches!(self.stage, Stage::Opening | Stage::Leaving | Stage::Parted) && !self.stood;
        idle.then_some((self.stage != Stage::Parted, self.heard, self.id))
    }

    /// If it may go to the next process now, or may later; none where it never will.
    fn heritable(&self) -> Option<bool> {
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
    fn offer(&mut self, successor: &Channel, book: &EndpointRegistry) -> std::io::Result<bool> {
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

    fn keep(&mut self, works: &mut IoContext) -> Fate {
        self.stage = Stage::Standing;
        if self.about.as_ref().is_some_and(|about| about.sent_away) {
            return self.send_away(works);
        }
        self.watched = false;
        self.watch(works);
        Goes
    }

    /// A client's line without one back is looked after.
    fn watch(&mut self, works: &mut IoContext) {
        if !self.watched && self.asked.is_some() {
            self.watched = true;
            works
                .alarms
                .set(works.now + OVERDUE, Timer::ResponseOverdue(self.id));
        }
    }

    fn session_id(&self) -> SessionId {
        SessionId(self.id)
    }

    fn close_within(&mut self, span: Duration, works: &mut IoContext) {
        self.close_by = Some(works.now + span);
        works.alarms.set(works.now + span, Timer::Client(self.id));
    }

    /// What the poller is to wait for, from the stage and what waits.
    fn settle(&mut self) {
        if self.stage == Stage::Handing {
            self.client.want(false, false);
            return self
                .dial
                .iter_mut()
                .for_each(|dial| dial.sock.want(false, false));
        }
        let passing = matches!(self.stage, Stage::Standing | Stage::Leaving);
        let to_client = passing && self.down.waits() || self.words.waits();
        // While it waits nothing of its is kept, so that no lack of buffers can hide that it
        // leaves.
        let reads = self.is_waiting() || !self.starved;
        self.client.want(self.up.has_room() && reads, to_client);
        if let Some(dial) = &mut self.dial {
            let to_backend = match dial.stage {
                AttemptStage::Connecting | AttemptStage::Sending => true,
                AttemptStage::Waiting => false,
                AttemptStage::Standing => self.up.waits() && !self.up_shut,
            };
            dial.sock
                .want(self.down.has_room() && !self.starved, to_backend);
        }
        if let Some(other) = &mut self.other {
            let sending = matches!(
                other.dial.stage,
                AttemptStage::Connecting | AttemptStage::Sending
            );
            // Once the first is up, the other only waits to be given up.
            let reading = self.stage == Stage::Placing && other.down.has_room() && !self.starved;
            other
                .dial
                .sock
                .want(reading, sending && self.stage == Stage::Placing);
        }
    }

    /// If such a dial is out; while two are, it becomes the first of them.
    fn lead(&mut self, such: impl Fn(&Attempt) -> bool) -> bool {
        if self.dial.as_ref().is_some_and(&such) {
            return true;
        }
        let Some(other) = self.other.as_mut().filter(|other| such(&other.dial)) else {
            return false;
        };
        let Some(dial) = self.dial.as_mut().filter(|_| self.stage == Stage::Placing) else {
            return false;
        };
        std::mem::swap(dial, &mut other.dial);
        std::mem::swap(&mut self.down, &mut other.down);
        true
    }

    fn drop_other(&mut self, pool: &mut Pool) {
        if let Some(mut other) = self.other.take() {
            other.down.clear(pool);
        }
    }

    fn idle_alarm(&mut self, works: &mut IoContext) -> Fate {
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

    fn starve(&mut self, works: &mut IoContext) {
        works.counters.starved += 1;
        self.starved = true;
        works.starved.push_back(self.id);
    }

    /// The code failed over this session: it still has its answer.
    fn give_up(&mut self, works: &mut IoContext) -> Fate {
        match self.stage {
            Stage::Placing | Stage::Inheriting => {
                self.client_left(works);
                self.part(protocol::FAILED, works)
            }
            Stage::Standing => self.send_away(works),
            _ => Goes,
        }
    }

    // ---- from the client ----

    fn client_event(
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

    fn is_waiting(&self) -> bool {
        matches!(self.stage, Stage::Placing | Stage::Inheriting)
    }

    /// A client that was to wait: it may have left, or says what it should not. Passed on once it
    /// is up, another command would have the backend close, and kept, sixty megabytes would have no
    /// end.
    fn look_at_client(&mut self, works: &mut IoContext) -> Fate {
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

    fn client_bytes(
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

    fn first_lines(
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

    fn bad_line(&mut self, why: &str, works: &mut IoContext) -> Fate {
        works.counters.bad_lines += 1;
        log::debug!("a client's first line: {why}");
        self.up.clear(&mut works.pool);
        self.part(protocol::FAILED, works)
    }

    fn client_lines(&mut self, works: &mut IoContext) -> Fate {
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

    /// The client has ended its sending.
    fn client_end(&mut self, works: &mut IoContext) -> Fate {
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

    fn client_broke(&mut self, works: &mut IoContext) -> Fate {
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

    /// Gone before its answer: the dial that is out ends with it.
    fn client_left(&mut self, works: &mut IoContext) {
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

    fn client_alarm(&mut self, works: &mut IoContext) -> Fate {
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

    /// What a client still sends behind our last word. Each piece gives it a little longer to read
    /// that word, up to a limit from when the word was said.
    fn drop_rest(&mut self, works: &mut IoContext) -> Fate {
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

    fn overdue(&mut self, works: &mut IoContext) {
        self.watched = false;
        let (Some(asked), Stage::Standing) = (self.asked, self.stage) else {
            return;
        };
        let waited = works.now.duration_since(asked);
        let next = if waited >= OVERDUE {
            if !self.end_told {
                works
                    .news
                    .push_back(Event::ResponseOverdue(self.session_id(), waited));
            }
            works.now + OVERDUE
        } else {
            asked + OVERDUE
        };
        self.watched = true;
        works.alarms.set(next, Timer::ResponseOverdue(self.id));
    }

    // ---- to the client ----

    fn pass_down(&mut self, works: &mut IoContext) -> Fate {
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

    fn both_ended(&mut self, works: &mut IoContext) -> Fate {
        if self.stage == Stage::Standing && self.up_shut && self.down_shut {
            self.tell_end(AttemptOutcome::Ok, works);
            return Over;
        }
        Goes
    }

    /// Our last word; empty where there is none but the end itself.
    fn part(&mut self, word: &str, works: &mut IoContext) -> Fate {
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

    fn send_away(&mut self, works: &mut IoContext) -> Fate {
        works.counters.sent_away += 1;
        self.tell_end(AttemptOutcome::Cancelled, works);
        if let Some(dial) = &mut self.dial {
            // What the client has said passes before the end, as far as the backend takes it.
            let _ = self.up.give(&mut dial.sock, &mut works.pool);
            dial.sock.finish_sending();
        }
        self.part(protocol::MOVED, works)
    }

    // ---- dials ----

    fn inherit(&mut self, shared: &Shared, book: &EndpointRegistry, works: &mut IoContext) -> Fate {
        if self.stage != Stage::Inheriting || self.dial.is_some() {
            return Goes;
        }
        let at = self
            .open
            .as_ref()
            .and_then(|open| open.at.as_deref())
            .and_then(|name| book.named(name));
        let within = if at.is_some() {
            INHERITED_WITHIN
        } else {
            UNKNOWN_WITHIN
        };
        let left = within - works.now.duration_since(self.began);
        if left == Duration::ZERO {
            works.counters.torn_down += 1;
            return self.part(protocol::FAILED, works);
        }
        match at {
            Some(backend) => self.dial(0, backend, left, shared, book, works),
            None => {
                works
                    .alarms
                    .set(works.now + INHERITED_AGAIN, Timer::RetryInherited(self.id));
                Goes
            }
        }
    }

    fn dial(
        &mut self,
        number: u32,
        backend: BackendId,
        give_up_after: Duration,
        shared: &Shared,
        book: &EndpointRegistry,
        works: &mut IoContext,
    ) -> Fate {
        if self.stage == Stage::Placing {
            // Its end may stand behind hundreds of events that this turn does not come to: nothing
            // begins for it.
            let fate = self.look_at_client(works);
            if fate == Over || !self.is_waiting() {
                self.tell_dial_end(
                    number,
                    AttemptFailure {
                        reach: AttemptProgress::Nothing,
                        cause: Cause::Ours,
                    },
                    works,
                );
                return fate;
            }
        }
        let Some(open) = self.open.as_ref().filter(|_| self.other.is_none()) else {
            return Goes;
        };
        self.serial += 1;
        let plan = AttemptPlan {
            number,
            serial: self.serial,
            backend,
            address: book.address(backend),
            line: open.line(give_up_after),
            connect_within: self
                .front
                .map_or(Duration::ZERO, |front| front.connect_timeout),
            give_up_after,
        };
        works.counters.dials += 1;
        if works.sockets.open() >= shared.most_sockets {
            // Many first lines in one turn all find room before the first of their dials takes any.
            return self.dial_failed(
                number,
                AttemptFailure {
                    reach: AttemptProgress::Nothing,
                    cause: Cause::Ours,
                },
                works,
            );
        }
        match Attempt::begin(self.id, plan, works) {
            Ok(dial) if self.dial.is_some() => {
                works.counters.second_dials += 1;
                self.other = Some(Box::new(Other {
                    dial,
                    down: LineBuffer::default(),
                }));
                Goes
            }
            Ok(dial) => {
                self.dial = Some(dial);
                Goes
            }
            Err(fault) => self.dial_failed(number, fault, works),
        }
    }

    fn dial_ended(&mut self, fault: AttemptFailure, works: &mut IoContext) -> Fate {
        let Some(dial) = self.dial.take() else {
            return Goes;
        };
        self.down.clear(&mut works.pool);
        self.down = LineBuffer::default();
        if let Some(other) = self.other.take() {
            (self.dial, self.down) = (Some(other.dial), other.down);
        }
        self.dial_failed(dial.number, fault, works)
    }

    fn dial_failed(&mut self, number: u32, fault: AttemptFailure, works: &mut IoContext) -> Fate {
        if self.stage == Stage::Inheriting {
            log::debug!("inherited connection {}: {fault:?}", self.id);
            works
                .alarms
                .set(works.now + INHERITED_AGAIN, Timer::RetryInherited(self.id));
            return Goes;
        }
        self.tell_dial_end(number, fault, works);
        Goes
    }

    fn tell_dial_end(&mut self, number: u32, fault: AttemptFailure, works: &mut IoContext) {
        let verdict = fault.verdict();
        let counter = &mut works.counters;
        *match verdict {
            AttemptOutcome::Ok => &mut counter.ended_well,
            AttemptOutcome::Error => &mut counter.dials_error,
            AttemptOutcome::Saturated => &mut counter.dials_full,
            AttemptOutcome::TimedOut => &mut counter.dials_timeout,
            AttemptOutcome::Unreachable => &mut counter.dials_unreachable,
            AttemptOutcome::Reset => &mut counter.dials_reset,
            AttemptOutcome::Cancelled => &mut counter.dials_withdrawn,
            AttemptOutcome::NotSent => &mut counter.dials_never_sent,
        } += 1;
        let ending = AttemptEnd {
            attempt: number,
            outcome: verdict,
            is_answered: false,
            report: fault.report(),
        };
        works
            .news
            .push_back(Event::AttemptEnded(self.session_id(), ending));
    }

    /// The end of a connection that stood, told once.
    fn tell_end(&mut self, verdict: AttemptOutcome, works: &mut IoContext) {
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

    fn dial_event(
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

    fn backend_lines(&mut self, shared: &Shared, works: &mut IoContext) -> Fate {
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

    /// What a backend answers a dial; true where that ended it.
    fn first_said(&mut self, said: Option<BackendMessage>, works: &mut IoContext) -> bool {
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

    fn backend_end(&mut self, works: &mut IoContext) -> Fate {
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

    fn backend_broke(&mut self, works: &mut IoContext) -> Fate {
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

    fn pass_up(&mut self, works: &mut IoContext) -> Fate {
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
}
