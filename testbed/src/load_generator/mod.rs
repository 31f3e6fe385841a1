//! Clients by the thousand on one thread. Each comes when it is due whatever the others met (open
//! loop), waits for its answer, sends a line each beat and checks that it comes back once and in
//! order, and comes again when it is refused, moved or cut off. Times count from when a client was
//! due, not from when this thread got round to it.
use crate::clock::Stopwatch;
use crate::event_loop::{EventHandler, EventLoop, LoopContext};
use crate::event_recorder::{Answer, EventRecorder, Observation, RelayIndex, SessionId};
use crate::line_socket::LineSocket;
use crate::traffic::{Arrival, Traffic, scattered_id};
use hdrhistogram::Histogram;
use slab::Slab;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};

/// Each time limit of the rules is so much longer on sockets.
pub const SLACK: Duration = Duration::from_millis(50);
/// Beyond the limit, so that a late turn of this thread blames nobody.
const PATIENCE: Duration = Duration::from_millis(300);
/// Waited for the other side's end after a last word.
const LAST: Duration = Duration::from_millis(2_500);
const STROLL: Duration = Duration::from_millis(100);
/// Refused by this many doors in a row, a client goes home.
const DOORS_TRIED: u32 = 60;
/// Set-up and line delays up to this are told apart; longer ones count as this.
const LONGEST: u64 = 60_000_000;
/// A line of a client that does not read what comes back.
const FLOOD_LINE: usize = 1_000;

/// Where clients connect: a relay, or for a baseline a box itself.
#[derive(Clone, Copy, Debug)]
pub struct RelayEndpoint {
    pub address: SocketAddr,
    pub relay: Option<RelayIndex>,
    /// The front deals clients to it.
    pub enabled: bool,
}

/// How clients are dealt to doors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientDistribution {
    RoundRobin,
    Random,
    /// To the door with the fewest own connections.
    LeastConnections,
}

/// Clients that break the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Misbehavior {
    /// Connects and says nothing.
    Silent,
    /// Half a first line, then nothing.
    PartialLine,
    /// A line that means nothing.
    Garbage,
    /// More than its first line before its answer.
    EarlyData,
    /// Is served, sends lines as fast as they go and reads none.
    NeverReads,
}

impl Misbehavior {
    pub const ALL: [(Misbehavior, &'static str); 5] = [
        (Misbehavior::Silent, "clients-silent"),
        (Misbehavior::PartialLine, "clients-half-a-line"),
        (Misbehavior::Garbage, "clients-garbage"),
        (Misbehavior::EarlyData, "clients-talk"),
        (Misbehavior::NeverReads, "clients-unreading"),
    ];
}

#[derive(Clone, Debug)]
pub enum LoadCommand {
    /// The front takes in or leaves out a door.
    SetEndpointEnabled(usize, bool),
    /// So many standing clients break off and come again, spread over the time.
    DropConnections(usize, Duration),
    AddMisbehaving(Misbehavior, usize),
    /// Nobody comes any more, and those who stand leave.
    Finish,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    Away,
    Connecting,
    Sending,
    Waiting,
    Standing,
    /// Has ended its sending and waits for the other side's end.
    Ending,
    /// Has had its last word.
    Told,
}

struct Client {
    place: usize,
    stage: Part,
    wire: Option<LineSocket>,
    /// An alarm of an earlier stage says nothing.
    serial: u64,
    tag: SessionId,
    connections: u64,
    door: usize,
    doors_tried: u32,
    tries: u32,
    due: Instant,
    asked: Instant,
    life_ends: Option<Instant>,
    again: bool,
    retries: bool,
    has_stood: bool,
    next_line: u64,
    /// Stood before its first line, which speaks for that too.
    before: Duration,
    out: VecDeque<(u64, Instant)>,
    chance: Rng,
    rude: Option<Misbehavior>,
}

impl Client {
    fn new(
        place: usize,
        number: u64,
        due: Instant,
        seed: u64,
        rude: Option<Misbehavior>,
    ) -> Client {
        Client {
            place,
            stage: Part::Away,
            wire: None,
            serial: 0,
            // Room for a million connections of each client.
            tag: SessionId(number << 20),
            connections: number << 20,
            door: 0,
            doors_tried: 0,
            tries: 0,
            due,
            asked: due,
            life_ends: None,
            again: false,
            retries: false,
            has_stood: false,
            next_line: 0,
            before: Duration::ZERO,
            out: VecDeque::new(),
            chance: Rng::from_seed(seed),
            rude,
        }
    }
}

#[derive(Debug)]
pub enum Alarm {
    Arrive,
    Come(usize, u64),
    Late(usize, u64),
    Leave(usize, u64),
    Beat(usize, u64),
    Closed(usize, u64),
}

/// What clients of one listener met.
#[derive(Clone, Debug)]
pub struct ListenerTotals {
    pub name: String,
    pub priority_weight: f64,
    pub arrivals: u64,
    /// Seconds that clients meant to stand within the run.
    pub requested_seconds: f64,
    /// Seconds of these in which messages came back in time.
    pub served_seconds: f64,
    pub accepted: u64,
    pub rejected: u64,
    pub failed: u64,
    pub unanswered: u64,
    pub migrated: u64,
    pub connections_lost: u64,
    /// Clients that gave up coming.
    pub gave_up: u64,
    /// Microseconds from when a client was due to its first `UP`.
    pub setup_latency: Histogram<u32>,
    /// Microseconds from a line to its return.
    pub message_latency: Histogram<u32>,
}

#[derive(Clone, Debug)]
pub struct LoadTotals {
    pub listeners: Vec<ListenerTotals>,
    /// Microseconds from when a client was due to when its connection began.
    pub connect_delay: Histogram<u32>,
    pub mismatched_messages: u64,
    pub misbehaving: u64,
    /// Misbehavior ones that heard a word or an end.
    pub misbehaving_answered: u64,
    pub longest_turn: Duration,
    pub busy_time: Duration,
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, LONGEST, 3).expect("bounds that the crate allows")
}

impl LoadTotals {
    /// Sums of clients on another thread.
    pub fn add(&mut self, other: &LoadTotals) {
        for (one, two) in self.listeners.iter_mut().zip(&other.listeners) {
            one.arrivals += two.arrivals;
            one.requested_seconds += two.requested_seconds;
            one.served_seconds += two.served_seconds;
            one.accepted += two.accepted;
            one.rejected += two.rejected;
            one.failed += two.failed;
            one.unanswered += two.unanswered;
            one.migrated += two.migrated;
            one.connections_lost += two.connections_lost;
            one.gave_up += two.gave_up;
            // Both were made with the same bounds.
            let _ = one.setup_latency.add(&two.setup_latency);
            let _ = one.message_latency.add(&two.message_latency);
        }
        let _ = self.connect_delay.add(&other.connect_delay);
        self.mismatched_messages += other.mismatched_messages;
        self.misbehaving += other.misbehaving;
        self.misbehaving_answered += other.misbehaving_answered;
        self.longest_turn = self.longest_turn.max(other.longest_turn);
        self.busy_time += other.busy_time;
    }
}

pub struct LoadGenerator {
    traffic: Traffic,
    /// With their numbers among all arrivals of the run.
    arrivals: Vec<(u64, Arrival)>,
    next: usize,
    until: Instant,
    doors: Vec<RelayEndpoint>,
    own: Vec<usize>,
    dealing: ClientDistribution,
    dealt: usize,
    chance: Rng,
    clients: Slab<Client>,
    serial: u64,
    finishing: bool,
    idle_noted: bool,
    /// This side could not begin a connection once.
    exhausted: bool,
    sums: LoadTotals,
}

/// What a crowd is told at its opening.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    pub traffic: Traffic,
    pub arrivals: Vec<(u64, Arrival)>,
    /// The run's end, for the seconds asked.
    pub end: Instant,
    pub endpoints: Vec<RelayEndpoint>,
    pub distribution: ClientDistribution,
    pub seed: u64,
}

impl LoadGenerator {
    /// # Errors
    /// Where a poller or a thread is not to be had.
    pub fn open(
        bill: LoadPlan,
        clock: Stopwatch,
        tape: EventRecorder,
    ) -> io::Result<EventLoop<LoadGenerator>> {
        EventLoop::open("clients", clock, tape, move |works| {
            let kinds = bill.traffic.profiles.iter().map(|kind| ListenerTotals {
                name: kind.name.clone(),
                priority_weight: kind.priority_weight,
                arrivals: 0,
                requested_seconds: 0.0,
                served_seconds: 0.0,
                accepted: 0,
                rejected: 0,
                failed: 0,
                unanswered: 0,
                migrated: 0,
                connections_lost: 0,
                gave_up: 0,
                setup_latency: histogram(),
                message_latency: histogram(),
            });
            let sums = LoadTotals {
                listeners: kinds.collect(),
                connect_delay: histogram(),
                mismatched_messages: 0,
                misbehaving: 0,
                misbehaving_answered: 0,
                longest_turn: Duration::ZERO,
                busy_time: Duration::ZERO,
            };
            if let Some((_, first)) = bill.arrivals.first() {
                works.set_timer(first.due, Alarm::Arrive);
            }
            Ok(LoadGenerator {
                own: vec![0; bill.endpoints.len()],
                traffic: bill.traffic,
                arrivals: bill.arrivals,
                next: 0,
                until: bill.end,
                doors: bill.endpoints,
                dealing: bill.distribution,
                dealt: 0,
                chance: Rng::from_seed(bill.seed),
                clients: Slab::new(),
                serial: 0,
                finishing: false,
                idle_noted: false,
                exhausted: false,
                sums,
            })
        })
    }

    /// All that are due by now.
    fn arrive(&mut self, works: &mut LoopContext<Alarm>) {
        while let Some((number, arrival)) = self.arrivals.get(self.next) {
            if self.finishing {
                return;
            }
            if arrival.due > works.now {
                return works.set_timer(arrival.due, Alarm::Arrive);
            }
            let (number, seed, due) = (*number, arrival.seed, arrival.due);
            let sums = &mut self.sums.listeners[usize::from(arrival.profile)];
            sums.arrivals += 1;
            sums.requested_seconds += arrival
                .lifetime
                .min(self.until.duration_since(due))
                .as_secs_f64();
            let client = Client::new(self.next, number, due, seed, None);
            self.next += 1;
            let id = self.clients.insert(client);
            self.connect(id, works);
        }
    }

    fn arrival(&self, id: usize) -> &Arrival {
        &self.arrivals[self.clients[id].place].1
    }

    fn kind(&mut self, id: usize) -> &mut ListenerTotals {
        let kind = usize::from(self.arrivals[self.clients[id].place].1.profile);
        &mut self.sums.listeners[kind]
    }

    /// The client's next stage: alarms of the one before say nothing any more.
    fn turn(&mut self, id: usize, stage: Part) -> u64 {
        self.serial += 1;
        let client = &mut self.clients[id];
        (client.stage, client.serial) = (stage, self.serial);
        self.serial
    }

    fn gone(&mut self, id: usize, works: &mut LoopContext<Alarm>) {
        self.hang_up(id);
        self.clients.remove(id);
        self.note_idle(works);
    }

    fn note_idle(&mut self, works: &mut LoopContext<Alarm>) {
        if self.finishing && self.clients.is_empty() && !self.idle_noted {
            self.idle_noted = true;
            works.record(Observation::Note {
                text: ALL_CLIENTS_GONE.into(),
            });
        }
    }

    fn hang_up(&mut self, id: usize) {
        let client = &mut self.clients[id];
        if client.wire.take().is_some() {
            self.own[client.door] = self.own[client.door].saturating_sub(1);
        }
    }

    fn away(&mut self, id: usize, span: Duration, works: &mut LoopContext<Alarm>) {
        self.hang_up(id);
        if self.finishing
            || self.clients[id]
                .life_ends
                .is_some_and(|ends| works.now + span >= ends)
        {
            return self.gone(id, works);
        }
        let serial = self.turn(id, Part::Away);
        self.clients[id].due = works.now + span;
        works.set_timer(works.now + span, Alarm::Come(id, serial));
    }

    fn deal(&mut self, id: usize) -> Option<usize> {
        let open: Vec<usize> = (0..self.doors.len())
            .filter(|&door| self.doors[door].enabled)
            .collect();
        if open.is_empty() {
            return None;
        }
        Some(match self.dealing {
            ClientDistribution::RoundRobin => {
                self.dealt += 1;
                open[self.dealt % open.len()]
            }
            ClientDistribution::Random => {
                open[self.clients[id].chance.below(open.len() as u64) as usize]
            }
            ClientDistribution::LeastConnections => *open
                .iter()
                .min_by_key(|&&door| self.own[door])
                .expect("not empty"),
        })
    }

    fn connect(&mut self, id: usize, works: &mut LoopContext<Alarm>) {
        let client = &mut self.clients[id];
        if client.rude.is_none() {
            // Misbehavior ones come all at once, which is nobody's lateness.
            let _ = self.sums.connect_delay.record(
                works
                    .clock
                    .now()
                    .duration_since(client.due)
                    .as_micros()
                    .clamp(1, LONGEST),
            );
        }
        client.connections += 1;
        client.tag = SessionId(scattered_id(client.connections));
        let Some(door) = self.deal(id) else {
            return self.never_taken(id, works);
        };
        self.clients[id].door = door;
        match LineSocket::connect(self.doors[door].address, &works.poller, id) {
            Ok(mut wire) => {
                wire.await_connect();
                self.own[door] += 1;
                self.clients[id].wire = Some(wire);
                let serial = self.turn(id, Part::Connecting);
                let wait = match self.clients[id].rude {
                    None => {
                        self.traffic.profiles[usize::from(self.arrival(id).profile)].answer_timeout
                    }
                    Some(_) => Duration::from_millis(10_000),
                };
                works.set_timer(works.now + wait, Alarm::Late(id, serial));
            }
            Err(fault) => {
                if !std::mem::replace(&mut self.exhausted, true) {
                    log::warn!("a client can't connect: {fault}");
                    works.record(Observation::TestbedExhausted);
                }
                self.never_taken(id, works);
            }
        }
    }

    /// The front finds out by itself in a while; the client tries the next door.
    fn never_taken(&mut self, id: usize, works: &mut LoopContext<Alarm>) {
        let relay = self
            .doors
            .get(self.clients[id].door)
            .and_then(|door| door.relay);
        works.record(Observation::ConnectFailed { relay });
        let client = &mut self.clients[id];
        client.doors_tried += 1;
        if client.doors_tried > DOORS_TRIED || client.rude.is_some() {
            if client.rude.is_none() {
                self.kind(id).gave_up += 1;
            }
            return self.gone(id, works);
        }
        self.away(id, STROLL, works);
    }

    fn say_first(&mut self, id: usize, works: &mut LoopContext<Alarm>) {
        let arrival = self.arrival(id).clone();
        let kind = &self.traffic.profiles[usize::from(arrival.profile)];
        let client = &mut self.clients[id];
        let mut line = format!(
            "OPEN {:016x} {:016x} c={},d={}",
            client.tag.0,
            arrival.key,
            kind.name,
            kind.answer_timeout.as_millis()
        );
        if let Some(group) = arrival.group {
            line += &format!(",g={group:016x}");
        }
        line += &format!(",h={:.3}", arrival.load);
        line += if client.retries { ",r=1" } else { "" };
        line += if client.again { ",again=1" } else { "" };
        line += "\r\n";
        match client.rude {
            Some(Misbehavior::Silent) => line.clear(),
            Some(Misbehavior::PartialLine) => line.truncate(line.len() / 2),
            Some(Misbehavior::Garbage) => line = "what is this\r\n".into(),
            Some(Misbehavior::EarlyData) => line += "M 0 0\r\n",
            Some(Misbehavior::NeverReads) | None => {}
        }
        let Some(wire) = &mut client.wire else { return };
        let done = wire.send(line.as_bytes()).is_ok();
        wire.update_interest();
        if !done {
            return self.never_taken(id, works);
        }
        self.turn(id, Part::Sending);
        self.sent(id, works);
    }

    /// The wait counts from the last byte.
    fn sent(&mut self, id: usize, works: &mut LoopContext<Alarm>) {
        let client = &mut self.clients[id];
        if client.stage != Part::Sending
            || !client.wire.as_ref().is_some_and(LineSocket::is_flushed)
        {
            return;
        }
        client.asked = works.now;
        client.doors_tried = 0;
        let serial = self.turn(id, Part::Waiting);
        if self.clients[id].rude.is_some() {
            // It never ends by itself; what the relay makes of it is an answer or an end.
            return;
        }
        let arrival = self.arrival(id);
        let (listener, leaves) = (arrival.profile, arrival.leaves_after);
        let wait = self.traffic.profiles[usize::from(listener)].answer_timeout;
        let client = &self.clients[id];
        let (session, due, again) = (client.tag, client.due, client.again);
        let relay = self.doors[client.door].relay;
        works.record(Observation::SessionRequested {
            session,
            relay,
            listener,
            timeout: wait,
            due,
            reconnecting: again,
        });
        works.set_timer(works.now + wait + SLACK + PATIENCE, Alarm::Late(id, serial));
        if let (Some(after), false) = (leaves, client.has_stood) {
            works.set_timer(works.now + after, Alarm::Leave(id, serial));
        }
    }

    fn lines(&mut self, id: usize, works: &mut LoopContext<Alarm>) {
        while let Some(line) = self
            .clients
            .get_mut(id)
            .and_then(|client| client.wire.as_mut()?.next_line())
        {
            let client = &self.clients[id];
            let session = client.tag;
            if let Some(rude) = client.rude {
                self.rude_heard(id, rude, &line, works);
                continue;
            }
            match client.stage {
                Part::Waiting => self.answered(id, &line, works),
                Part::Standing | Part::Ending => self.line_back(id, &line, works),
                Part::Told => works.record(Observation::DataAfterAnswer { session }),
                _ => {}
            }
        }
    }

    fn answered(&mut self, id: usize, line: &str, works: &mut LoopContext<Alarm>) {
        let session = self.clients[id].tag;
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        match word {
            "UP" => {
                works.record(Observation::Answered {
                    session,
                    answer: Answer::Accepted,
                });
                let (life, beat) = (self.arrival(id).lifetime, self.traffic.message_interval);
                let sums = self.kind(id);
                sums.accepted += 1;
                let client = &mut self.clients[id];
                if !client.has_stood {
                    let took = works.now.duration_since(client.due).as_micros();
                    let _ = self.kind(id).setup_latency.record(took.clamp(1, LONGEST));
                }
                let client = &mut self.clients[id];
                client.has_stood = true;
                client.tries = 0;
                client.life_ends.get_or_insert(works.now + life);
                client.out.clear();
                // Beats of many clients must not fall together.
                let first = beat * client.chance.unit_f64();
                client.before = first;
                let serial = self.turn(id, Part::Standing);
                works.set_timer(works.now + first, Alarm::Beat(id, serial));
            }
            "BUSY" => {
                let told = rest.trim().parse().ok().map(Duration::from_millis);
                works.record(Observation::Answered {
                    session,
                    answer: Answer::Rejected(told),
                });
                self.kind(id).rejected += 1;
                self.turned_down(id, told, works);
            }
            _ => {
                works.record(Observation::Answered {
                    session,
                    answer: Answer::Failed,
                });
                self.kind(id).failed += 1;
                self.turned_down(id, None, works);
            }
        }
    }

    /// Waits for the end of the connection, then comes again if it does at all.
    fn turned_down(&mut self, id: usize, told: Option<Duration>, works: &mut LoopContext<Alarm>) {
        let serial = self.turn(id, Part::Told);
        let back_off = self.traffic.backoff;
        let heeds = self.arrival(id).heeds_retry_after;
        let client = &mut self.clients[id];
        client.retries = true;
        let wait = told
            .filter(|_| heeds)
            .unwrap_or(back_off * (0.5 + client.chance.unit_f64()));
        client.due = works.now + wait;
        works.set_timer(
            works.now + Duration::from_millis(500),
            Alarm::Closed(id, serial),
        );
    }

    fn come_again(&mut self, id: usize, works: &mut LoopContext<Alarm>) {
        let client = &mut self.clients[id];
        client.tries += 1;
        if client.tries > self.traffic.retries || self.finishing {
            self.kind(id).gave_up += u64::from(!self.finishing);
            return self.gone(id, works);
        }
        let left = client.due.duration_since(works.now);
        self.away(id, left, works);
    }

    fn rejoin(&mut self, id: usize, works: &mut LoopContext<Alarm>) {
        let (least, most) = self.traffic.reconnect_delay;
        let client = &mut self.clients[id];
        (client.again, client.retries) = (true, false);
        let span = least + (most - least) * client.chance.unit_f64();
        self.away(id, span, works);
    }

    fn line_back(&mut self, id: usize, line: &str, works: &mut LoopContext<Alarm>) {
        let session = self.clients[id].tag;
        let word = line.split(' ').next().unwrap_or_default();
        match word {
            "LOAD" => {}
            "MOVE" => {
                works.record(Observation::Migrated { session });
                self.kind(id).migrated += 1;
                self.rejoin(id, works);
            }
            "BYE" => {
                works.record(Observation::SessionClosed { session });
                self.gone(id, works);
            }
            _ => {
                let expected = self.clients[id].out.front().copied();
                match expected
                    .filter(|(number, _)| line == format!("M {:016x} {number}", session.0))
                {
                    Some((_, at)) => self.line_right(id, at, works),
                    None => {
                        works.record(Observation::MessageMismatched { session });
                        self.sums.mismatched_messages += 1;
                    }
                }
            }
        }
    }

    fn line_right(&mut self, id: usize, at: Instant, works: &mut LoopContext<Alarm>) {
        let client = &mut self.clients[id];
        client.out.pop_front();
        let (session, waited) = (client.tag, works.now.duration_since(at));
        let target = self.traffic.profiles[usize::from(self.arrival(id).profile)].message_target;
        // A line speaks for the beat that it begins, or for what is left of the client's life.
        let left = self.clients[id]
            .life_ends
            .map_or(Duration::ZERO, |ends| ends.duration_since(at));
        let before = std::mem::take(&mut self.clients[id].before);
        let spoken_for = (before + self.traffic.message_interval.min(left)).as_secs_f64();
        let sums = self.kind(id);
        let _ = sums
            .message_latency
            .record(waited.as_micros().clamp(1, LONGEST));
        if waited <= target {
            sums.served_seconds += spoken_for;
        }
        if waited > Duration::from_millis(1_000) {
            works.record(Observation::MessageLate { session, waited });
        }
    }

    fn beat(&mut self, id: usize, works: &mut LoopContext<Alarm>) {
        let beat = self.traffic.message_interval;
        let client = &mut self.clients[id];
        let Some(wire) = &mut client.wire else { return };
        if self.finishing || client.life_ends.is_some_and(|ends| works.now >= ends) {
            wire.finish_sending();
            let serial = self.turn(id, Part::Ending);
            return works.set_timer(works.now + LAST, Alarm::Closed(id, serial));
        }
        client.next_line += 1;
        client.out.push_back((client.next_line, works.now));
        let line = format!("M {:016x} {}\r\n", client.tag.0, client.next_line);
        if wire.send(line.as_bytes()).is_err() {
            return self.ended(id, works);
        }
        wire.update_interest();
        works.set_timer(works.now + beat, Alarm::Beat(id, client.serial));
    }

    /// The other side has ended the connection, or broken it.
    fn ended(&mut self, id: usize, works: &mut LoopContext<Alarm>) {
        let client = &self.clients[id];
        let (session, stage) = (client.tag, client.stage);
        if client.rude.is_some() {
            self.sums.misbehaving_answered += 1;
            return self.gone(id, works);
        }
        match stage {
            Part::Connecting | Part::Sending => self.never_taken(id, works),
            Part::Waiting => {
                works.record(Observation::ClosedUnanswered { session });
                self.kind(id).failed += 1;
                self.turned_down(id, None, works);
                self.come_again(id, works);
            }
            Part::Standing => {
                works.record(Observation::ConnectionLost { session });
                self.kind(id).connections_lost += 1;
                self.rejoin(id, works);
            }
            Part::Ending => {
                works.record(Observation::SessionClosed { session });
                self.gone(id, works);
            }
            Part::Told => self.come_again(id, works),
            Part::Away => {}
        }
    }

    // ---- what the one who directs wants ----

    fn drop_some(&mut self, count: usize, over: Duration, works: &mut LoopContext<Alarm>) {
        let standing: Vec<usize> = self
            .clients
            .iter()
            .filter(|(_, client)| client.stage == Part::Standing && client.rude.is_none())
            .map(|(id, _)| id)
            .collect();
        let count = count.min(standing.len());
        for number in 0..count {
            let id = standing[number * standing.len() / count];
            let client = &mut self.clients[id];
            works.record(Observation::SessionClosed {
                session: client.tag,
            });
            if let Some(wire) = &client.wire {
                wire.reset_on_close();
            }
            (client.again, client.retries) = (true, false);
            let span = over * self.chance.unit_f64();
            self.away(id, span, works);
        }
    }

    fn come_rudely(&mut self, rude: Misbehavior, count: usize, works: &mut LoopContext<Alarm>) {
        if self.arrivals.is_empty() {
            return;
        }
        for _ in 0..count {
            self.sums.misbehaving += 1;
            // Other than all arrivals' and than those of other threads, whose first arrival is
            // another.
            let number = (1 << 43) + (self.arrivals[0].0 << 30) + self.sums.misbehaving;
            let seed = self.chance.below(u64::MAX);
            let client = Client::new(0, number, works.now, seed, Some(rude));
            let id = self.clients.insert(client);
            self.connect(id, works);
        }
    }

    fn rude_heard(
        &mut self,
        id: usize,
        rude: Misbehavior,
        line: &str,
        works: &mut LoopContext<Alarm>,
    ) {
        if rude == Misbehavior::NeverReads && line.starts_with("UP") {
            let serial = self.turn(id, Part::Standing);
            works.set_timer(works.now, Alarm::Beat(id, serial));
        } else {
            self.sums.misbehaving_answered += 1;
            self.gone(id, works);
        }
    }

    /// More than all buffers on the way hold; what comes back is left unread.
    fn flood(&mut self, id: usize, works: &mut LoopContext<Alarm>) {
        let client = &mut self.clients[id];
        let Some(wire) = &mut client.wire else { return };
        wire.set_frozen(false);
        let said = if wire.is_flushed() {
            let line = format!("{}\r\n", "f".repeat(FLOOD_LINE));
            wire.send(line.repeat(64).as_bytes())
        } else {
            wire.flush()
        };
        wire.set_frozen(true);
        match said {
            Ok(()) => works.set_timer(
                works.now + Duration::from_millis(20),
                Alarm::Beat(id, client.serial),
            ),
            Err(_) => {
                self.sums.misbehaving_answered += 1;
                self.gone(id, works);
            }
        }
    }

    fn finish(&mut self, works: &mut LoopContext<Alarm>) {
        self.finishing = true;
        let all: Vec<usize> = self.clients.iter().map(|(id, _)| id).collect();
        for id in all {
            let client = &self.clients[id];
            match client.stage {
                _ if client.rude.is_some() => self.gone(id, works),
                Part::Standing => self.beat(id, works),
                Part::Away | Part::Connecting => self.gone(id, works),
                _ => {}
            }
        }
        self.note_idle(works);
    }

    fn current(&self, id: usize, serial: u64) -> bool {
        self.clients
            .get(id)
            .is_some_and(|client| client.serial == serial)
    }
}

/// Noted once after `LoadCommand::Finish`, when the last client has gone.
pub const ALL_CLIENTS_GONE: &str = "all clients have gone";

impl EventHandler for LoadGenerator {
    type Timer = Alarm;
    type Command = LoadCommand;
    type Totals = LoadTotals;

    fn on_ready(&mut self, id: usize, writable: bool, works: &mut LoopContext<Alarm>) {
        let Some(client) = self.clients.get_mut(id) else {
            return;
        };
        let stage = client.stage;
        let Some(wire) = &mut client.wire else { return };
        if stage == Part::Connecting {
            if !writable {
                return;
            }
            return match wire.is_connected() {
                Ok(true) => self.say_first(id, works),
                Ok(false) => {}
                Err(_) => self.never_taken(id, works),
            };
        }
        let broke = wire.read().and_then(|_| wire.flush()).is_err();
        wire.update_interest();
        self.sent(id, works);
        self.lines(id, works);
        let over = |client: &Client| {
            client
                .wire
                .as_ref()
                .is_some_and(|wire| broke || wire.peer_closed)
        };
        if self.clients.get(id).is_some_and(over) {
            self.ended(id, works);
        }
    }

    fn on_timer(&mut self, alarm: Alarm, works: &mut LoopContext<Alarm>) {
        match alarm {
            Alarm::Arrive => self.arrive(works),
            Alarm::Come(id, serial) if self.current(id, serial) => self.connect(id, works),
            Alarm::Late(id, serial) if self.current(id, serial) => {
                if self.clients[id].stage == Part::Connecting {
                    return self.never_taken(id, works);
                }
                works.record(Observation::AnswerTimedOut {
                    session: self.clients[id].tag,
                });
                self.kind(id).unanswered += 1;
                self.turned_down(id, None, works);
                self.come_again(id, works);
            }
            Alarm::Leave(id, serial) if self.current(id, serial) => {
                works.record(Observation::ClientLeft {
                    session: self.clients[id].tag,
                });
                if let Some(wire) = &self.clients[id].wire {
                    wire.reset_on_close();
                }
                self.gone(id, works);
            }
            Alarm::Beat(id, serial) if self.current(id, serial) => {
                if self.clients[id].rude.is_some() {
                    self.flood(id, works)
                } else {
                    self.beat(id, works)
                }
            }
            Alarm::Closed(id, serial) if self.current(id, serial) => match self.clients[id].stage {
                Part::Told => self.come_again(id, works),
                _ => {
                    works.record(Observation::SessionClosed {
                        session: self.clients[id].tag,
                    });
                    self.gone(id, works);
                }
            },
            _ => {}
        }
    }

    fn on_command(&mut self, cue: LoadCommand, works: &mut LoopContext<Alarm>) {
        match cue {
            LoadCommand::SetEndpointEnabled(door, open) => self.doors[door].enabled = open,
            LoadCommand::DropConnections(count, over) => self.drop_some(count, over, works),
            LoadCommand::AddMisbehaving(rude, count) => self.come_rudely(rude, count, works),
            LoadCommand::Finish => self.finish(works),
        }
    }

    fn into_totals(mut self, works: &LoopContext<Alarm>) -> LoadTotals {
        (self.sums.longest_turn, self.sums.busy_time) = (works.longest_turn, works.busy_time);
        self.sums
    }
}
