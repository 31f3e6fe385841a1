//! Boxes, their set-up store and discovery's agents, on one thread. Boxes speak the platform's
//! protocol whole; what they are made to suffer is an `BackendFault`, with a name that scenarios use.
use crate::backend_model::{BackendCapacity, BackendModel, SetupStore};
use crate::clock::Stopwatch;
use crate::endpoint_list::{EndpointList, EndpointRow};
use crate::event_loop::{EventHandler, EventLoop, LoopContext};
use crate::event_recorder::{
    BackendIndex, EventRecorder, Lifecycle, Observation, RelayIndex, Reply, SessionId,
};
use crate::line_socket::LineSocket;
use polling::{Event, PollMode};
use slab::Slab;
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::collections::VecDeque;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, BorrowedFd};
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};

const BACKLOG: i32 = 4096;
const ACCEPTS: usize = 256;
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// An idle watch hears an empty line.
const AGENT_BEAT: Duration = Duration::from_millis(2_000);
/// A line that the box itself keeps for longer is noted, so that no relay is blamed for it.
const HELD: Duration = Duration::from_millis(200);
/// Takes nothing from the time of set-ups, and no reply looks as if it had come before its dial.
const QUICK: Duration = Duration::from_millis(1);
const LONGEST_LINE: usize = 4096;

/// What may be wrong with a box.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendFault {
    /// The machine is gone from the network: nothing comes up, what is open is silent. It comes
    /// back cold.
    Unreachable,
    /// The process stands still and then goes on: nothing is read or written, connections come up.
    Frozen,
    /// Takes dials and answers none; what stands is served.
    Unresponsive,
    /// So many times slower.
    Slow(f64),
    /// Stands still for the second span once in each of the first.
    PeriodicPause(Duration, Duration),
    /// This part of the dials is answered `ERR` at once.
    ErrorRate(f64),
    /// Connections are reset as soon as they come up.
    ResetOnAccept,
    /// Dials are reset once their line is read.
    ResetOnRequest,
    /// Half an answer, then nothing.
    PartialAnswer,
    /// What the client has ended is never ended from here.
    NeverCloses,
    /// Replies `UP`, and then breaks the connection.
    ResetAfterSetup,
}

impl BackendFault {
    pub fn name(self) -> &'static str {
        match self {
            BackendFault::Unreachable => "silent",
            BackendFault::Frozen => "freeze",
            BackendFault::Unresponsive => "mute",
            BackendFault::Slow(_) => "slow",
            BackendFault::PeriodicPause(..) => "pauses",
            BackendFault::ErrorRate(_) => "errors",
            BackendFault::ResetOnAccept => "reset-before",
            BackendFault::ResetOnRequest => "reset-after",
            BackendFault::PartialAnswer => "half-answer",
            BackendFault::NeverCloses => "never-closes",
            BackendFault::ResetAfterSetup => "drops-young",
        }
    }
}

/// What may be wrong with the agent that tells a relay of the boxes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentFault {
    /// Open watches stay open; nothing is written.
    Silent,
    /// Watches are broken and new ones refused.
    Unavailable,
    /// Goes on with empty lines, tells no change.
    Stale,
    /// Loses its memory: versions begin anew. Over at once.
    StateLost,
    /// Writes one line that is no list. Over at once.
    Malformed,
}

impl AgentFault {
    pub fn name(self) -> &'static str {
        match self {
            AgentFault::Silent => "discovery-silent",
            AgentFault::Unavailable => "discovery-down",
            AgentFault::Stale => "discovery-stale",
            AgentFault::StateLost => "discovery-restart",
            AgentFault::Malformed => "discovery-malformed",
        }
    }
}

#[derive(Clone, Debug)]
pub struct BackendSpec {
    pub capacity: BackendCapacity,
    pub zone: String,
    pub cell: u16,
    /// Runs and is listed from the beginning; else it joins, cold, when it is cued.
    pub initially_running: bool,
}

/// All that stands in the yard at its opening.
#[derive(Clone, Debug)]
pub struct BackendPlan {
    pub backends: Vec<BackendSpec>,
    pub relays: usize,
    /// A change is told so late, drawn for each relay and change.
    pub announcement_delay: (Duration, Duration),
    /// Calls that the set-up store has in work at once, and how long each takes; none: set-ups call
    /// nothing.
    pub setup_store: Option<(usize, Duration)>,
    /// How often reports are refreshed and loads noted.
    pub report_interval: Duration,
    /// Boxes tell each connection's load, at first and when it changes: with each report one of a
    /// box's does.
    pub reports_load: bool,
    pub seed: u64,
}

#[derive(Clone, Debug)]
pub enum BackendCommand {
    InjectFault(BackendIndex, BackendFault),
    /// Ends whatever is wrong with it.
    ClearFault(BackendIndex),
    /// The process dies, and comes back cold after so long.
    Crash(BackendIndex, Option<Duration>),
    /// Wants nothing new from now on, sends its clients away evenly over the time and then stops.
    Drain(BackendIndex, Duration),
    /// One that was not present, or has stopped, starts cold.
    Start(BackendIndex),
    SetAgentFault(RelayIndex, AgentFault, bool),
}

#[derive(Debug, PartialEq)]
enum Heard {
    Nothing,
    /// Its `UP` is being worked on, or never comes.
    AttemptTotals,
    Standing,
    /// Said `BYE` or the like; waits for the other side's end.
    Over,
}

struct Speech {
    at: BackendIndex,
    heard: Heard,
    session: SessionId,
    load: f64,
    group: Option<u64>,
    first: Option<Instant>,
    echoes: VecDeque<(Instant, String)>,
    free_at: Instant,
}

struct Watching {
    relay: RelayIndex,
    follows: bool,
    /// The version it has been told.
    held: Option<u64>,
    asked: bool,
}

enum Role {
    Box(Speech),
    Agent(Watching),
    /// Fills the backlog of a box that has vanished.
    Plug(BackendIndex),
}

struct Conn {
    wire: LineSocket,
    role: Role,
    serial: u64,
}

struct Door {
    at: SocketAddr,
    listener: Option<TcpListener>,
}

struct StandIn {
    plan: BackendSpec,
    door: Door,
    work: BackendModel,
    ailment: Option<BackendFault>,
    still: bool,
    draining: bool,
    running: bool,
    /// Alarms that came while it stood still.
    waiting: Vec<Alarm>,
    report: String,
    /// Counts its starts: an alarm of an earlier life says nothing.
    life: u32,
    listed_since_ms: u64,
}

struct Agent {
    door: Door,
    list: EndpointList,
    fault: Option<AgentFault>,
    /// What it has been told itself while it could not take it.
    missed: Vec<(BackendIndex, EndpointRow)>,
}

#[derive(Clone, Debug)]
pub enum Alarm {
    Up(usize, u64),
    Echo(usize, u64),
    Still(BackendIndex, u32, bool),
    Back(BackendIndex, u32),
    SendAway(BackendIndex, u32, Duration),
    Stop(BackendIndex, u32),
    Notice(RelayIndex, BackendIndex, EndpointRow),
    Beat,
    Report,
    Accept(usize),
}

pub struct SimulatedBackends {
    boxes: Vec<StandIn>,
    agents: Vec<Agent>,
    conns: Slab<Conn>,
    serial: u64,
    store: Option<SetupStore>,
    chance: Rng,
    notice: (Duration, Duration),
    report_every: Duration,
    tells_load: bool,
    /// Descriptors have run out once.
    exhausted: bool,
}

/// What a yard says at its end.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackendTotals {
    pub longest_turn: Duration,
    pub busy_time: Duration,
}

/// The yard on its thread, and where its people listen.
pub struct OpenedBackends {
    pub event_loop: EventLoop<SimulatedBackends>,
    pub addresses: Vec<SocketAddr>,
    /// One for each relay.
    pub agent_addresses: Vec<SocketAddr>,
}

const BOX_DOOR: usize = 1 << 40;
const AGENT_DOOR: usize = 1 << 41;

/// Addresses of the loopback range that no connection's own end takes, and other than those of runs
/// beside this.
fn loopback(kind: u8, number: usize) -> Ipv4Addr {
    let [.., high, low] = (number as u32 + 1).to_be_bytes();
    let process = 64 + (std::process::id() % 64) as u8;
    Ipv4Addr::new(127, process + kind * 64, high, low)
}

fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket
        .bind(&at.into())
        .map_err(|fault| io::Error::new(fault.kind(), format!("{at}: {fault}")))?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

impl SimulatedBackends {
    /// # Errors
    /// Where addresses, descriptors or a thread are not to be had.
    pub fn open(
        ground: BackendPlan,
        clock: Stopwatch,
        tape: EventRecorder,
    ) -> io::Result<OpenedBackends> {
        let door = |kind, number| -> io::Result<Door> {
            let listener = listen((loopback(kind, number), 0).into())?;
            Ok(Door {
                at: listener.local_addr()?,
                listener: Some(listener),
            })
        };
        let doors: Vec<Door> = (0..ground.backends.len())
            .map(|number| door(0, number))
            .collect::<io::Result<_>>()?;
        let agent_doors: Vec<Door> = (0..ground.relays)
            .map(|number| door(1, number))
            .collect::<io::Result<_>>()?;
        let boxes = doors.iter().map(|door| door.at).collect();
        let agents = agent_doors.iter().map(|door| door.at).collect();
        let stage = EventLoop::open("yard", clock, tape, move |works| {
            SimulatedBackends::set_up(ground, doors, agent_doors, works)
        })?;
        Ok(OpenedBackends {
            event_loop: stage,
            addresses: boxes,
            agent_addresses: agents,
        })
    }

    fn set_up(
        ground: BackendPlan,
        doors: Vec<Door>,
        agent_doors: Vec<Door>,
        works: &mut LoopContext<Alarm>,
    ) -> io::Result<SimulatedBackends> {
        let mut list = EndpointList::default();
        let mut boxes = Vec::new();
        for (number, (plan, mut door)) in (0..).zip(ground.backends.into_iter().zip(doors)) {
            if plan.initially_running {
                watch_door(door.listener.as_ref(), BOX_DOOR | number as usize, works)?;
                list.put(
                    BackendIndex(number),
                    row(&plan, door.at, Lifecycle::Ready, 0),
                );
                works.note(Observation::BackendStarted {
                    backend: BackendIndex(number),
                    cold: false,
                });
            } else {
                door.listener = None;
            }
            boxes.push(StandIn {
                work: BackendModel::start(plan.capacity, works.now, false),
                running: plan.initially_running,
                plan,
                door,
                ailment: None,
                still: false,
                draining: false,
                waiting: Vec::new(),
                report: "inflight=0,x0=0".into(),
                life: 0,
                listed_since_ms: 0,
            });
        }
        let mut agents = Vec::new();
        for (number, door) in agent_doors.into_iter().enumerate() {
            watch_door(door.listener.as_ref(), AGENT_DOOR | number, works)?;
            agents.push(Agent {
                door,
                list: list.clone(),
                fault: None,
                missed: Vec::new(),
            });
        }
        works.set(works.now + AGENT_BEAT, Alarm::Beat);
        works.set(works.now + ground.report_interval, Alarm::Report);
        Ok(SimulatedBackends {
            boxes,
            agents,
            conns: Slab::new(),
            serial: 0,
            store: ground
                .setup_store
                .map(|(lanes, each)| SetupStore::new(lanes, each)),
            chance: Rng::from_seed(ground.seed),
            notice: ground.announcement_delay,
            report_every: ground.report_interval,
            tells_load: ground.reports_load,
            exhausted: false,
        })
    }

    fn this(&mut self, at: BackendIndex) -> &mut StandIn {
        &mut self.boxes[usize::from(at.0)]
    }

    // ---- connections ----

    fn add(&mut self, stream: TcpStream, role: Role, works: &mut LoopContext<Alarm>) {
        self.serial += 1;
        let entry = self.conns.vacant_entry();
        match LineSocket::new(stream, &works.poller, entry.key()) {
            Ok(mut wire) => {
                wire.settle(false);
                entry.insert(Conn {
                    wire,
                    role,
                    serial: self.serial,
                });
            }
            Err(fault) => log::warn!("yard: {fault}"),
        }
    }

    fn listen_again(&mut self, key: usize, on: bool, works: &mut LoopContext<Alarm>) {
        let number = key & 0xffff;
        let (door, still) = match key & BOX_DOOR != 0 {
            true => (&self.boxes[number].door, self.boxes[number].still),
            false => (&self.agents[number].door, false),
        };
        let Some(listener) = &door.listener else {
            return;
        };
        // SAFETY: the listener lives; it is deleted from the poller before it is closed.
        let fd = unsafe { BorrowedFd::borrow_raw(listener.as_raw_fd()) };
        let _ = works.poller.modify_with_mode(
            fd,
            Event::new(key, on && !still, false),
            PollMode::Level,
        );
    }

    fn accept(&mut self, key: usize, works: &mut LoopContext<Alarm>) {
        for _ in 0..ACCEPTS {
            let number = key & 0xffff;
            let to_box = key & BOX_DOOR != 0;
            let door = if to_box {
                &self.boxes[number].door
            } else {
                &self.agents[number].door
            };
            let Some(listener) = &door.listener else {
                return;
            };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => return,
                Err(fault) if fault.kind() == io::ErrorKind::ConnectionAborted => continue,
                Err(fault) => {
                    // Out of descriptors: the run says so once, and nothing spins on the backlog.
                    if !std::mem::replace(&mut self.exhausted, true) {
                        log::warn!("the stand-ins can't accept: {fault}");
                        works.note(Observation::TestbedExhausted);
                    }
                    self.listen_again(key, false, works);
                    return works.set(works.now + ACCEPT_PAUSE, Alarm::Accept(key));
                }
            };
            if !to_box {
                let relay = RelayIndex(number as u16);
                let watching = Watching {
                    relay,
                    follows: false,
                    held: None,
                    asked: false,
                };
                self.add(stream, Role::Agent(watching), works);
                continue;
            }
            if self.boxes[number].ailment == Some(BackendFault::ResetOnAccept) {
                let _ = SockRef::from(&stream).set_linger(Some(std::time::Duration::ZERO));
                continue;
            }
            let speech = Speech {
                at: BackendIndex(number as u16),
                heard: Heard::Nothing,
                session: SessionId(0),
                load: 0.0,
                group: None,
                first: None,
                echoes: VecDeque::new(),
                free_at: works.now,
            };
            self.add(stream, Role::Box(speech), works);
        }
    }

    /// The connection is over; what it held at its box is given back.
    fn remove(&mut self, id: usize, works: &mut LoopContext<Alarm>) {
        let conn = self.conns.remove(id);
        if let Role::Box(speech) = &conn.role
            && speech.heard == Heard::Standing
        {
            let (load, group) = (speech.load, speech.group);
            self.this(speech.at).work.leave(works.now, load, group);
        }
    }

    fn break_off(&mut self, id: usize, works: &mut LoopContext<Alarm>) {
        if let Some(conn) = self.conns.get(id) {
            conn.wire.break_off();
            self.remove(id, works);
        }
    }

    fn box_event(&mut self, id: usize, works: &mut LoopContext<Alarm>) {
        let Some(conn) = self.conns.get_mut(id) else {
            return;
        };
        let Role::Box(speech) = &mut conn.role else {
            return;
        };
        let broke = conn.wire.read().and_then(|_| conn.wire.flush()).is_err();
        if speech.first.is_none() && conn.wire.has_bytes() {
            speech.first = Some(works.now);
        }
        // Bounded by what one read brings.
        while let Some(conn) = self.conns.get_mut(id) {
            let Some(line) = conn.wire.line() else { break };
            self.box_line(id, line, works);
        }
        let Some(conn) = self.conns.get_mut(id) else {
            return;
        };
        let Role::Box(speech) = &conn.role else {
            return;
        };
        if broke || conn.wire.ended {
            let (at, session) = (speech.at, speech.session);
            match speech.heard {
                Heard::Nothing => return self.remove(id, works),
                Heard::AttemptTotals => {
                    works.note(Observation::AttemptAbandoned {
                        backend: at,
                        session,
                    });
                    return self.remove(id, works);
                }
                Heard::Over => return self.remove(id, works),
                Heard::Standing if broke => return self.remove(id, works),
                Heard::Standing => {
                    if self.this(at).ailment == Some(BackendFault::NeverCloses) {
                        self.conns[id].wire.settle(false);
                        return;
                    }
                    let report = self.this(at).report.clone();
                    self.last_word(id, &format!("BYE {report}\r\n"), works);
                }
            }
        }
        if let Some(conn) = self.conns.get_mut(id) {
            conn.wire.settle(false);
        }
    }

    /// Says this, ends the sending, and waits for the other side's end where it has not come.
    fn last_word(&mut self, id: usize, text: &str, works: &mut LoopContext<Alarm>) {
        let Some(conn) = self.conns.get_mut(id) else {
            return;
        };
        let Role::Box(speech) = &mut conn.role else {
            return;
        };
        let stood = speech.heard == Heard::Standing;
        speech.heard = Heard::Over;
        let (at, load, group) = (speech.at, speech.load, speech.group);
        let done = conn.wire.say(text.as_bytes()).is_err() || conn.wire.ended;
        conn.wire.finish_sending();
        conn.wire.settle(false);
        if stood {
            self.this(at).work.leave(works.now, load, group);
        }
        if done {
            self.remove(id, works);
        }
    }

    fn box_line(&mut self, id: usize, line: String, works: &mut LoopContext<Alarm>) {
        let conn = &mut self.conns[id];
        let Role::Box(speech) = &mut conn.role else {
            return;
        };
        match speech.heard {
            Heard::Over => {}
            Heard::AttemptTotals => self.last_word(id, "ERR\r\n", works),
            Heard::Standing => self.echo(id, line, works),
            Heard::Nothing => {
                let at = speech.at;
                if line == "PING" || line == "STATS" {
                    // A probe; the connection may go on with another.
                    speech.first = None;
                    let this = &self.boxes[usize::from(at.0)];
                    let answer = match (this.ailment, line.as_str()) {
                        (Some(BackendFault::Unresponsive), _) => return,
                        (Some(BackendFault::ErrorRate(part)), _)
                            if self.chance.unit_f64() < part =>
                        {
                            "ERR\r\n".into()
                        }
                        (_, "PING") => "PONG\r\n".into(),
                        _ => format!("PONG {}\r\n", this.report),
                    };
                    let _ = conn.wire.say(answer.as_bytes());
                    return;
                }
                match dialled(&line) {
                    Some((session, load, group)) => {
                        speech.heard = Heard::AttemptTotals;
                        (speech.session, speech.load, speech.group) = (session, load, group);
                        self.dial_came(id, at, works);
                    }
                    None => {
                        works.note(Observation::Note {
                            text: format!("SYNTAX box {} met {line:?}", at.0),
                        });
                        self.last_word(id, "SYNTAX\r\n", works);
                    }
                }
            }
        }
    }

    fn dial_came(&mut self, id: usize, at: BackendIndex, works: &mut LoopContext<Alarm>) {
        let conn = &self.conns[id];
        let (key, serial) = (id, conn.serial);
        let Role::Box(speech) = &conn.role else {
            return;
        };
        let (session, load) = (speech.session, speech.load);
        works.note(Observation::AttemptReceived {
            backend: at,
            session,
            first_byte_at: speech.first.unwrap_or(works.now),
        });
        if self.this(at).work.sent(works.now, load) {
            works.note(Observation::BackendOverloaded { backend: at });
            return self.stop(at, None, works);
        }
        let part = self.chance.unit_f64();
        let this = self.this(at);
        let refuses = this.draining || this.work.is_full();
        let (ailment, report) = (this.ailment, this.report.clone());
        let reply = |reply| Observation::AttemptAnswered {
            backend: at,
            session,
            reply,
        };
        match ailment {
            Some(BackendFault::Unresponsive) => return,
            Some(BackendFault::ResetOnRequest) => {
                works.note(reply(Reply::Failed));
                return self.break_off(id, works);
            }
            Some(BackendFault::PartialAnswer) => {
                let _ = self.conns[id].wire.say(b"UP rec");
                return;
            }
            Some(BackendFault::ErrorRate(share)) if part < share => {
                works.note(reply(Reply::Failed));
                return self.last_word(id, &format!("ERR {report}\r\n"), works);
            }
            _ => {}
        }
        if refuses {
            works.note(reply(Reply::Rejected));
            return self.last_word(id, &format!("BUSY {report}\r\n"), works);
        }
        let now = works.now;
        let called = self.store.as_mut().map_or(now, |store| store.call(now));
        let own = self.this(at).work.setup(now);
        works.set(called + own.max(QUICK), Alarm::Up(key, serial));
    }

    fn up(&mut self, id: usize, works: &mut LoopContext<Alarm>) {
        let conn = &mut self.conns[id];
        let Role::Box(speech) = &mut conn.role else {
            return;
        };
        if speech.heard != Heard::AttemptTotals {
            return;
        }
        speech.heard = Heard::Standing;
        let (at, session, load, group) = (speech.at, speech.session, speech.load, speech.group);
        works.note(Observation::AttemptAnswered {
            backend: at,
            session,
            reply: Reply::Accepted,
        });
        let note = if self.tells_load {
            format!("LOAD {load:.3}\r\n")
        } else {
            String::new()
        };
        let broke = conn
            .wire
            .say(format!("UP r{:x}\r\n{note}", session.0).as_bytes())
            .is_err();
        conn.wire.settle(false);
        self.this(at).work.take(works.now, load, group);
        let drops = self.this(at).ailment == Some(BackendFault::ResetAfterSetup);
        if broke {
            self.remove(id, works);
        } else if drops {
            works.note(Observation::BackendClosedSession {
                backend: at,
                session,
            });
            self.break_off(id, works);
        }
    }

    fn echo(&mut self, id: usize, line: String, works: &mut LoopContext<Alarm>) {
        let conn = &mut self.conns[id];
        let Role::Box(speech) = &mut conn.role else {
            return;
        };
        let this = &mut self.boxes[usize::from(speech.at.0)];
        let delay = this.work.delay(works.now);
        let due = speech.free_at.max(works.now + delay);
        speech.free_at = due;
        if due > works.now + HELD {
            let waited = due.duration_since(works.now);
            works.note(Observation::BackendDelayedMessage {
                backend: speech.at,
                session: speech.session,
                waited,
            });
        }
        if due <= works.now && speech.echoes.is_empty() {
            let _ = conn.wire.say(format!("{line}\r\n").as_bytes());
        } else {
            speech.echoes.push_back((due, line));
            works.set(due, Alarm::Echo(id, conn.serial));
        }
    }

    fn echo_due(&mut self, id: usize, works: &mut LoopContext<Alarm>) {
        let conn = &mut self.conns[id];
        let Role::Box(speech) = &mut conn.role else {
            return;
        };
        while speech
            .echoes
            .front()
            .is_some_and(|(due, _)| *due <= works.now)
        {
            if let Some((_, line)) = speech.echoes.pop_front() {
                let _ = conn.wire.say(format!("{line}\r\n").as_bytes());
            }
        }
        conn.wire.settle(false);
    }

    // ---- what happens to boxes ----

    fn of(&self, at: BackendIndex) -> Vec<usize> {
        let ours = |conn: &Conn| match &conn.role {
            Role::Box(speech) => speech.at == at,
            Role::Plug(plugged) => *plugged == at,
            Role::Agent(_) => false,
        };
        self.conns
            .iter()
            .filter(|(_, conn)| ours(conn))
            .map(|(id, _)| id)
            .collect()
    }

    /// Stands still, or goes on: then all that it would have done in the meantime is done.
    fn set_still(&mut self, at: BackendIndex, still: bool, works: &mut LoopContext<Alarm>) {
        if self.this(at).still == still || !self.this(at).running {
            return;
        }
        self.this(at).still = still;
        works.note(Observation::BackendPaused {
            backend: at,
            paused: still,
        });
        let this = &self.boxes[usize::from(at.0)];
        if let Some(listener) = &this.door.listener {
            // SAFETY: the listener lives; it is deleted from the poller before it is closed.
            let fd = unsafe { BorrowedFd::borrow_raw(listener.as_raw_fd()) };
            let event = Event::new(BOX_DOOR | usize::from(at.0), !still, false);
            let _ = works.poller.modify_with_mode(fd, event, PollMode::Level);
        }
        for id in self.of(at) {
            self.conns[id].wire.freeze(still);
        }
        if !still {
            let now = works.now;
            std::mem::take(&mut self.this(at).waiting)
                .into_iter()
                .for_each(|alarm| works.set(now, alarm));
        }
    }

    /// The process ends: what is open breaks, nothing comes up any more.
    fn stop(&mut self, at: BackendIndex, back: Option<Duration>, works: &mut LoopContext<Alarm>) {
        if !self.this(at).running {
            return;
        }
        for id in self.of(at) {
            if let Role::Box(speech) = &self.conns[id].role {
                match speech.heard {
                    Heard::Standing => works.note(Observation::BackendClosedSession {
                        backend: at,
                        session: speech.session,
                    }),
                    Heard::AttemptTotals => works.note(Observation::AttemptAnswered {
                        backend: at,
                        session: speech.session,
                        reply: Reply::Failed,
                    }),
                    _ => {}
                }
            }
            self.break_off(id, works);
        }
        if self.this(at).still {
            works.note(Observation::BackendPaused {
                backend: at,
                paused: false,
            });
        }
        let this = self.this(at);
        (this.running, this.still, this.draining, this.ailment) = (false, false, false, None);
        this.life += 1;
        this.waiting.clear();
        let life = this.life;
        if let Some(listener) = this.door.listener.take() {
            // SAFETY: the listener is closed after this.
            let _ = works
                .poller
                .delete(unsafe { BorrowedFd::borrow_raw(listener.as_raw_fd()) });
        }
        works.note(Observation::BackendStopped { backend: at });
        self.list(at, Lifecycle::Gone, works);
        if let Some(back) = back {
            works.set(works.now + back, Alarm::Back(at, life));
        }
    }

    fn begin(&mut self, at: BackendIndex, works: &mut LoopContext<Alarm>) {
        if self.this(at).running {
            return;
        }
        let (now, unix) = (works.now, works.clock.unix_ms(works.now));
        let this = self.this(at);
        match listen(this.door.at) {
            Ok(listener) => {
                if let Err(fault) = watch_door(Some(&listener), BOX_DOOR | usize::from(at.0), works)
                {
                    log::warn!("box {}: {fault}", at.0);
                }
                let this = self.this(at);
                this.door.listener = Some(listener);
                this.work = BackendModel::start(this.plan.capacity, now, true);
                this.running = true;
                this.listed_since_ms = unix;
                this.report = "inflight=0,x0=0".into();
                works.note(Observation::BackendStarted {
                    backend: at,
                    cold: true,
                });
                self.list(at, Lifecycle::Ready, works);
            }
            Err(fault) => {
                // Somebody has its port for the moment.
                log::warn!("box {} can't start: {fault}", at.0);
                let life = this.life;
                works.set(now + Duration::from_millis(500), Alarm::Back(at, life));
            }
        }
    }

    /// No new connection comes up any more: the backlog is one, and filled.
    fn plug(&mut self, at: BackendIndex, works: &mut LoopContext<Alarm>) {
        let this = &self.boxes[usize::from(at.0)];
        let to = this.door.at;
        if let Some(listener) = &this.door.listener {
            let _ = SockRef::from(listener).listen(0);
        }
        for _ in 0..4 {
            self.serial += 1;
            let entry = self.conns.vacant_entry();
            if let Ok(wire) = LineSocket::connect(to, &works.poller, entry.key()) {
                entry.insert(Conn {
                    wire,
                    role: Role::Plug(at),
                    serial: self.serial,
                });
            }
        }
    }

    fn ail(&mut self, at: BackendIndex, ailment: BackendFault, works: &mut LoopContext<Alarm>) {
        if !self.this(at).running {
            return;
        }
        self.heal(at, works);
        works.note(Observation::BackendFault {
            backend: at,
            name: ailment.name(),
            active: true,
        });
        let this = self.this(at);
        this.ailment = Some(ailment);
        this.life += 1;
        let life = this.life;
        match ailment {
            BackendFault::Unreachable => {
                self.plug(at, works);
                self.set_still(at, true, works);
            }
            BackendFault::Frozen => self.set_still(at, true, works),
            BackendFault::Slow(times) => {
                let now = works.now;
                let this = self.this(at);
                this.work.delay(now);
                this.work.slowness = times.max(1.0);
            }
            BackendFault::PeriodicPause(..) => works.set(works.now, Alarm::Still(at, life, true)),
            _ => {}
        }
    }

    fn heal(&mut self, at: BackendIndex, works: &mut LoopContext<Alarm>) {
        let this = self.this(at);
        let Some(ailment) = this.ailment.take() else {
            return;
        };
        this.life += 1;
        works.note(Observation::BackendFault {
            backend: at,
            name: ailment.name(),
            active: false,
        });
        match ailment {
            // The machine was away, and comes back without what it held.
            BackendFault::Unreachable => {
                self.stop(at, None, works);
                self.begin(at, works);
            }
            BackendFault::Frozen | BackendFault::PeriodicPause(..) => {
                self.set_still(at, false, works)
            }
            BackendFault::Slow(_) => {
                let now = works.now;
                let this = self.this(at);
                this.work.delay(now);
                this.work.slowness = 1.0;
            }
            _ => {}
        }
    }

    fn drain(&mut self, at: BackendIndex, over: Duration, works: &mut LoopContext<Alarm>) {
        let this = self.this(at);
        if !this.running || this.draining {
            return;
        }
        this.draining = true;
        let life = this.life;
        works.note(Observation::BackendDraining { backend: at });
        self.list(at, Lifecycle::Draining, works);
        works.set(
            works.now + over * 0.5,
            Alarm::SendAway(at, life, over * 0.4),
        );
        works.set(works.now + over, Alarm::Stop(at, life));
    }

    /// One is sent away; the next so long after that all have gone by the end.
    fn send_away(
        &mut self,
        at: BackendIndex,
        life: u32,
        left: Duration,
        works: &mut LoopContext<Alarm>,
    ) {
        let ours = self.of(at);
        let standing = |id: &usize| matches!(&self.conns[*id].role, Role::Box(speech) if speech.heard == Heard::Standing);
        let mut standing = ours.into_iter().filter(standing);
        let Some(id) = standing.next() else { return };
        let others = standing.count();
        if let Role::Box(speech) = &self.conns[id].role {
            works.note(Observation::BackendClosedSession {
                backend: at,
                session: speech.session,
            });
        }
        self.last_word(id, "MOVE\r\n", works);
        let step = left * (1.0 / (others + 1) as f64);
        works.set(works.now + step, Alarm::SendAway(at, life, left - step));
    }

    // ---- discovery ----

    fn list(&mut self, at: BackendIndex, lifecycle: Lifecycle, works: &mut LoopContext<Alarm>) {
        let this = &self.boxes[usize::from(at.0)];
        let row = row(&this.plan, this.door.at, lifecycle, this.listed_since_ms);
        let (least, most) = self.notice;
        for relay in 0..self.agents.len() {
            let after = least + (most - least) * self.chance.unit_f64();
            works.set(
                works.now + after,
                Alarm::Notice(RelayIndex(relay as u16), at, row.clone()),
            );
        }
    }

    fn noticed(
        &mut self,
        relay: RelayIndex,
        at: BackendIndex,
        row: EndpointRow,
        works: &mut LoopContext<Alarm>,
    ) {
        let agent = &mut self.agents[usize::from(relay.0)];
        if agent.fault.is_some() {
            agent.missed.push((at, row));
            return;
        }
        agent.list.put(at, row);
        self.tell(relay, works);
    }

    /// Each watch of the relay hears what it has not heard yet.
    fn tell(&mut self, relay: RelayIndex, works: &mut LoopContext<Alarm>) {
        let list = &self.agents[usize::from(relay.0)].list;
        for (_, conn) in &mut self.conns {
            let Role::Agent(watching) = &mut conn.role else {
                continue;
            };
            if watching.relay != relay
                || !watching.follows
                || watching.held == Some(list.generation())
            {
                continue;
            }
            let (text, told) = list.text_since(watching.held);
            watching.held = Some(list.generation());
            if conn.wire.say(chunk(&text).as_bytes()).is_ok() && conn.wire.is_flushed() {
                for (at, lifecycle) in told {
                    works.note(Observation::EndpointAnnounced {
                        relay,
                        backend: at,
                        lifecycle,
                    });
                }
            }
            conn.wire.settle(false);
        }
    }

    fn agent_event(&mut self, id: usize, works: &mut LoopContext<Alarm>) {
        let conn = &mut self.conns[id];
        let Role::Agent(watching) = &mut conn.role else {
            return;
        };
        let broke = conn.wire.read().and_then(|_| conn.wire.flush()).is_err();
        let agent = &self.agents[usize::from(watching.relay.0)];
        if broke || conn.wire.ended {
            self.conns.remove(id);
            return;
        }
        if matches!(agent.fault, Some(AgentFault::Unavailable)) {
            return self.break_off(id, works);
        }
        if watching.asked || matches!(agent.fault, Some(AgentFault::Silent)) {
            return conn.wire.settle(false);
        }
        let Some((path, length)) = request(conn.wire.bytes()) else {
            return conn.wire.settle(false);
        };
        conn.wire.drop_bytes(length);
        let Some(follow) = asked_for(&path) else {
            let _ = conn
                .wire
                .say(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            return conn.wire.settle(false);
        };
        let relay = watching.relay;
        match follow {
            Some(since) => {
                (watching.asked, watching.follows, watching.held) = (true, true, since);
                let _ = conn.wire.say(HEAD.as_bytes());
                if since == Some(agent.list.generation()) {
                    let _ = conn.wire.say(chunk("").as_bytes());
                    conn.wire.settle(false);
                } else {
                    self.tell(relay, works);
                }
            }
            None => {
                let (text, told) = agent.list.text_since(None);
                let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ";
                let _ = conn
                    .wire
                    .say(format!("{head}{}\r\n\r\n{text}", text.len()).as_bytes());
                conn.wire.settle(false);
                told.into_iter().for_each(|(at, lifecycle)| {
                    works.note(Observation::EndpointAnnounced {
                        relay,
                        backend: at,
                        lifecycle,
                    })
                });
            }
        }
    }

    fn agent_fault(
        &mut self,
        relay: RelayIndex,
        fault: AgentFault,
        on: bool,
        works: &mut LoopContext<Alarm>,
    ) {
        works.note(Observation::AgentFault {
            relay,
            fault: fault.name(),
            active: on,
        });
        let agent = &mut self.agents[usize::from(relay.0)];
        let watches: Vec<usize> = self
            .conns
            .iter()
            .filter(
                |(_, conn)| matches!(&conn.role, Role::Agent(watching) if watching.relay == relay),
            )
            .map(|(id, _)| id)
            .collect();
        match fault {
            AgentFault::Silent | AgentFault::Unavailable | AgentFault::Stale => {
                agent.fault = on.then_some(fault);
            }
            AgentFault::StateLost => agent.list.forget_versions(),
            AgentFault::Malformed => {
                for &id in &watches {
                    let _ = self.conns[id]
                        .wire
                        .say(chunk("{\"generation\": many").as_bytes());
                }
            }
        }
        if fault == AgentFault::StateLost || fault == AgentFault::Unavailable && on {
            watches.iter().for_each(|&id| self.break_off(id, works));
        }
        let agent = &mut self.agents[usize::from(relay.0)];
        if agent.fault.is_none() && !agent.missed.is_empty() {
            for (at, row) in std::mem::take(&mut agent.missed) {
                agent.list.put(at, row);
            }
            self.tell(relay, works);
        }
        // Requests that came while it was silent are answered now.
        for id in watches {
            if self.conns.contains(id) {
                self.agent_event(id, works);
            }
        }
    }

    fn beat(&mut self, works: &mut LoopContext<Alarm>) {
        for (_, conn) in &mut self.conns {
            let Role::Agent(watching) = &conn.role else {
                continue;
            };
            let silent = matches!(
                self.agents[usize::from(watching.relay.0)].fault,
                Some(AgentFault::Silent | AgentFault::Unavailable)
            );
            if watching.follows && !silent {
                let _ = conn.wire.say(chunk("").as_bytes());
                conn.wire.settle(false);
            }
        }
        works.set(works.now + AGENT_BEAT, Alarm::Beat);
    }

    fn report(&mut self, works: &mut LoopContext<Alarm>) {
        for (number, this) in (0..).zip(&mut self.boxes) {
            if !this.running || this.still {
                continue;
            }
            let (load, held) = (this.work.load(works.now), this.work.held());
            this.report = format!("inflight={held},x0={load:.3}");
            let (share, pushed) = (this.work.share(works.now), this.work.worst_push);
            works.note(Observation::BackendLoad {
                backend: BackendIndex(number),
                load,
                sessions: held,
                capacity_share: share,
                warm_up_budget_used: pushed,
            });
        }
        if self.tells_load {
            self.change_loads(works);
        }
        works.set(works.now + self.report_every, Alarm::Report);
    }

    /// The load of one standing connection of each box changes, which the box tells among its
    /// lines.
    fn change_loads(&mut self, works: &mut LoopContext<Alarm>) {
        let mut last = vec![None; self.boxes.len()];
        let mut seen = vec![0_u64; self.boxes.len()];
        for (id, conn) in &self.conns {
            let Role::Box(speech) = &conn.role else {
                continue;
            };
            let at = usize::from(speech.at.0);
            if speech.heard == Heard::Standing && !self.boxes[at].still {
                seen[at] += 1;
                // Each of them with the same chance.
                if self.chance.below(seen[at]) == 0 {
                    last[at] = Some(id);
                }
            }
        }
        for id in last.into_iter().flatten() {
            let factor = 0.7 + 0.6 * self.chance.unit_f64();
            let conn = &mut self.conns[id];
            let Role::Box(speech) = &mut conn.role else {
                continue;
            };
            let work = &mut self.boxes[usize::from(speech.at.0)].work;
            work.leave(works.now, speech.load, speech.group);
            speech.load = (speech.load * factor).clamp(0.01, 100.0);
            work.take(works.now, speech.load, speech.group);
            let _ = conn
                .wire
                .say(format!("LOAD {:.3}\r\n", speech.load).as_bytes());
            conn.wire.settle(false);
        }
    }

    /// The box that an alarm is about, where that stands still and the alarm has to wait.
    fn held_up(&self, id: usize, serial: u64) -> Option<Result<(), BackendIndex>> {
        let conn = self.conns.get(id).filter(|conn| conn.serial == serial)?;
        let Role::Box(speech) = &conn.role else {
            return None;
        };
        let still = self.boxes[usize::from(speech.at.0)].still;
        Some(if still { Err(speech.at) } else { Ok(()) })
    }
}

impl EventHandler for SimulatedBackends {
    type Alarm = Alarm;
    type Command = BackendCommand;
    type Sums = BackendTotals;

    fn event(&mut self, key: usize, _writable: bool, works: &mut LoopContext<Alarm>) {
        if key & (BOX_DOOR | AGENT_DOOR) != 0 {
            return self.accept(key, works);
        }
        match self.conns.get(key).map(|conn| &conn.role) {
            Some(Role::Box(_)) => self.box_event(key, works),
            Some(Role::Agent(_)) => self.agent_event(key, works),
            Some(Role::Plug(_)) | None => {}
        }
    }

    fn alarm(&mut self, alarm: Alarm, works: &mut LoopContext<Alarm>) {
        match alarm {
            Alarm::Up(id, serial) => match self.held_up(id, serial) {
                Some(Ok(())) => self.up(id, works),
                Some(Err(at)) => self.this(at).waiting.push(alarm),
                None => {}
            },
            Alarm::Echo(id, serial) => match self.held_up(id, serial) {
                Some(Ok(())) => self.echo_due(id, works),
                Some(Err(at)) => self.this(at).waiting.push(alarm),
                None => {}
            },
            Alarm::Still(at, life, still) => {
                let this = self.this(at);
                if let (Some(BackendFault::PeriodicPause(every, pause)), true) =
                    (this.ailment, this.life == life)
                {
                    self.set_still(at, still, works);
                    let next = if still { pause } else { every - pause };
                    works.set(works.now + next, Alarm::Still(at, life, !still));
                }
            }
            Alarm::Back(at, life) => {
                if self.this(at).life == life {
                    self.begin(at, works);
                }
            }
            Alarm::SendAway(at, life, left) => {
                if self.this(at).life == life && !self.this(at).still {
                    self.send_away(at, life, left, works);
                }
            }
            Alarm::Stop(at, life) => {
                if self.this(at).life == life {
                    self.stop(at, None, works);
                }
            }
            Alarm::Notice(relay, at, row) => self.noticed(relay, at, row, works),
            Alarm::Beat => self.beat(works),
            Alarm::Report => self.report(works),
            Alarm::Accept(key) => self.listen_again(key, true, works),
        }
    }

    fn cue(&mut self, cue: BackendCommand, works: &mut LoopContext<Alarm>) -> bool {
        works.now = works.clock.now();
        match cue {
            BackendCommand::InjectFault(at, ailment) => self.ail(at, ailment, works),
            BackendCommand::ClearFault(at) => self.heal(at, works),
            BackendCommand::Crash(at, back) => self.stop(at, back, works),
            BackendCommand::Drain(at, over) => self.drain(at, over, works),
            BackendCommand::Start(at) => self.begin(at, works),
            BackendCommand::SetAgentFault(relay, fault, on) => {
                self.agent_fault(relay, fault, on, works)
            }
        }
        true
    }

    fn sums(self, works: &LoopContext<Alarm>) -> BackendTotals {
        BackendTotals {
            longest_turn: works.longest_turn,
            busy_time: works.busy_time,
        }
    }
}

fn watch_door(
    listener: Option<&TcpListener>,
    key: usize,
    works: &LoopContext<Alarm>,
) -> io::Result<()> {
    let Some(listener) = listener else {
        return Ok(());
    };
    // SAFETY: deleted from the poller before the listener is closed, or closed with the poller.
    unsafe {
        works
            .poller
            .add_with_mode(listener, Event::readable(key), PollMode::Level)
    }
}

fn row(plan: &BackendSpec, at: SocketAddr, lifecycle: Lifecycle, started_ms: u64) -> EndpointRow {
    EndpointRow {
        address: at,
        zone: plan.zone.clone(),
        cell: plan.cell,
        lifecycle,
        started_ms,
    }
}

/// The session, its load and its group, of a first line that a client might have sent.
fn dialled(line: &str) -> Option<(SessionId, f64, Option<u64>)> {
    if line.len() > LONGEST_LINE {
        return None;
    }
    let words: Vec<&str> = line.split(' ').collect();
    let ["OPEN", id, key, items] = words[..] else {
        return None;
    };
    let number = |text: &str| {
        (text.len() == 16)
            .then(|| u64::from_str_radix(text, 16).ok())
            .flatten()
    };
    number(key)?;
    let (mut load, mut group, mut waits) = (1.0, None, false);
    for item in items.split(',') {
        let (name, value) = item.split_once('=')?;
        match name {
            "h" => load = value.parse().ok()?,
            "g" => group = Some(number(value)?),
            "d" => waits = value.parse::<u64>().is_ok(),
            _ => {}
        }
    }
    waits.then_some((SessionId(number(id)?), load, group))
}

const HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\n\r\n", text.len() + 1)
}

/// The path of a request that is whole, and its length in bytes.
fn request(bytes: &[u8]) -> Option<(String, usize)> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => Some((request.path?.to_string(), length)),
        _ => None,
    }
}

/// None where the path is not the list's; else none for the whole list, or the version that a watch
/// begins with.
fn asked_for(path: &str) -> Option<Option<Option<u64>>> {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    if path != "/api/targets" {
        return None;
    }
    let value = |name: &str| {
        query
            .split('&')
            .find_map(|item| item.strip_prefix(name)?.strip_prefix('='))
    };
    Some(
        (value("follow") == Some("1")).then(|| value("since").and_then(|since| since.parse().ok())),
    )
}
