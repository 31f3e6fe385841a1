//! The operators' door: few callers at a time, each with one line and one answer. Whoever says
//! nothing holds a place only while no other wants it.
use crate::admin::protocol::{self, AdminCommand, LONGEST, ParsedLine};
use crate::io_context::IoContext;
use crate::line_buffer::OutputBuffer;
use crate::sockets::{Connection, ListenerSocket, SocketOwner};
use crate::timers::Timer;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read};
use thistlecroft::time::Duration;

/// Descriptors that the door may take, its own and the kept list's among them.
pub const RESERVE: usize = 24;
/// AdminConnections at once.
const PLACES: usize = 16;
const ACCEPTS: usize = 32;
/// A caller that has not said a whole line by then is sent away.
const PATIENCE: Duration = Duration::from_millis(5_000);
/// After its answer a caller has so long to end its side: closed with bytes unread the answer could
/// be lost.
const PARTING: Duration = Duration::from_millis(500);

struct AdminConnection {
    sock: Connection,
    heard: Vec<u8>,
    words: OutputBuffer,
    stage: Stage,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    Calling,
    /// Its call is with the service.
    Asked,
    Answered,
    /// All is said; only the caller's end is awaited.
    Parted,
}

pub struct AdminConnections {
    door: ListenerSocket,
    /// The one that came first is the first.
    map: BTreeMap<u32, AdminConnection>,
    next: u32,
    /// Whole calls of this turn, for the service to answer.
    pub calls: Vec<(u32, AdminCommand)>,
}

impl AdminConnections {
    pub fn new(mut door: ListenerSocket) -> AdminConnections {
        door.want(true);
        AdminConnections {
            door,
            map: BTreeMap::new(),
            next: 0,
            calls: Vec::new(),
        }
    }

    pub fn accept(&mut self, works: &mut IoContext) {
        for _ in 0..ACCEPTS {
            let id = self.next;
            match self.door.accept().and_then(|stream| {
                works
                    .sockets
                    .adopt(SocketOwner::AdminConnection(id), stream)
            }) {
                Ok(sock) => {
                    self.make_room(works);
                    self.next = self.next.wrapping_add(1);
                    let caller = AdminConnection {
                        sock,
                        heard: Vec::new(),
                        words: OutputBuffer::default(),
                        stage: Stage::Calling,
                    };
                    self.map.insert(id, caller);
                    works
                        .alarms
                        .set(works.now + PATIENCE, Timer::AdminConnection(id));
                    self.read(id, works);
                }
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => return,
                Err(fault)
                    if matches!(
                        fault.kind(),
                        ErrorKind::ConnectionAborted | ErrorKind::Interrupted
                    ) => {}
                Err(fault) => {
                    // Readable again at the next turn; the clients' door pauses for the same
                    // reason.
                    log::debug!("the operators' door: {fault}");
                    return;
                }
            }
        }
    }

    /// The caller that has had its answer longest goes first, then the one that has said nothing
    /// whole for longest.
    fn make_room(&mut self, works: &mut IoContext) {
        if self.map.len() < PLACES {
            return;
        }
        let place = |stage: Stage| match stage {
            Stage::Parted => 0,
            Stage::Answered => 1,
            Stage::Calling => 2,
            Stage::Asked => 3,
        };
        let first = self
            .map
            .iter()
            .min_by_key(|(id, caller)| (place(caller.stage), **id));
        let Some((&id, _)) = first else { return };
        self.answer(id, Err("too many callers"), works);
        self.map.remove(&id);
    }

    pub fn event(&mut self, id: u32, key: usize, works: &mut IoContext) {
        if !self.map.get(&id).is_some_and(|caller| caller.sock.is(key)) {
            return;
        }
        self.read(id, works);
        self.write(id, works);
    }

    pub fn alarm(&mut self, id: u32, works: &mut IoContext) {
        if self
            .map
            .get(&id)
            .is_some_and(|caller| caller.stage == Stage::Calling)
        {
            self.answer(id, Err("no call came"), works);
        } else if self
            .map
            .get(&id)
            .is_some_and(|caller| caller.stage != Stage::Asked)
        {
            self.map.remove(&id);
        }
    }

    fn read(&mut self, id: u32, works: &mut IoContext) {
        let Some(caller) = self.map.get_mut(&id) else {
            return;
        };
        let mut piece = [0; LONGEST];
        let ended = match caller.sock.read(&mut piece) {
            Ok(0) => true,
            Ok(more) => {
                if caller.stage == Stage::Calling {
                    caller.heard.extend_from_slice(&piece[..more]);
                }
                false
            }
            Err(fault)
                if matches!(fault.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) =>
            {
                false
            }
            Err(_) => return drop(self.map.remove(&id)),
        };
        match caller.stage {
            Stage::Calling => match protocol::parse_line(&caller.heard, ended) {
                ParsedLine::More => caller.sock.want(true, false),
                ParsedLine::Bad(why) => self.answer(id, Err(why), works),
                ParsedLine::Command(call) => {
                    caller.stage = Stage::Asked;
                    caller.sock.want(false, false);
                    self.calls.push((id, call));
                }
            },
            Stage::Parted if ended => drop(self.map.remove(&id)),
            // Its end is known; what is left to say goes out by itself.
            Stage::Answered if ended => caller.sock.want(false, true),
            _ => {}
        }
    }

    pub fn answer(&mut self, id: u32, done: Result<&str, &str>, works: &mut IoContext) {
        let Some(caller) = self
            .map
            .get_mut(&id)
            .filter(|caller| caller.stage <= Stage::Asked)
        else {
            return;
        };
        caller.words.add(&protocol::answer(done));
        caller.stage = Stage::Answered;
        works.counters.calls += 1;
        works.counters.calls_denied += u64::from(done.is_err());
        works
            .alarms
            .set(works.now + PARTING, Timer::AdminConnection(id));
        self.write(id, works);
    }

    fn write(&mut self, id: u32, works: &mut IoContext) {
        let Some(caller) = self
            .map
            .get_mut(&id)
            .filter(|caller| caller.stage == Stage::Answered)
        else {
            return;
        };
        match caller.words.give(&mut caller.sock) {
            Ok(true) => {
                caller.sock.finish_sending();
                caller.stage = Stage::Parted;
                caller.sock.want(true, false);
                // It may have ended its side before it asked.
                self.read(id, works);
            }
            Ok(false) => caller.sock.want(true, true),
            Err(_) => drop(self.map.remove(&id)),
        }
    }

    /// Nobody who has called waits for the answer.
    pub fn is_quiet(&self) -> bool {
        !self
            .map
            .values()
            .any(|caller| matches!(caller.stage, Stage::Asked | Stage::Answered))
    }
}
