//! The loop: each turn gathers what is ready, hands it to the decisions in one go, and carries out
//! what they ask for. One thread; no part of a turn waits.
use crate::admin::commands::AdminCommands;
use crate::admin::connections::{self, AdminConnections};
use crate::admin::protocol::Readiness;
use crate::bans::store::BanStore;
use crate::buffers::{Pool, SIZE};
use crate::counters::Counters;
use crate::discovery::watch::{EndpointRegistry, Listed, Watch};
use crate::driver::{Action, ActionRecorder, Event, hand_in};
use crate::hot_restart::channel::{self, Channel, Received, SuccessorListener};
use crate::hot_restart::messages::{Message, SessionHandover, SnapshotMessage, VERSION};
use crate::io_context::IoContext;
use crate::peers::Peers;
use crate::protocol::Names;
use crate::session::table::Sessions;
use crate::sockets::{SocketOwner, Sockets, key_of, owner_of};
use crate::startup_config::{
    ConfigSource, OperatorConfigFile, StartupConfig, read_file, relay_context,
};
use crate::timers::{Clock, Timer, TimerQueue};
use crate::trace;
use crate::upstream::HealthChecks;
use polling::{Events, PollMode, Poller};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, Read};
use std::num::NonZeroUsize;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::rc::Rc;
use thistlecroft::balancer::Balancer;
use thistlecroft::deployment::Deployment;
use thistlecroft::ids::BackendId;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_operator_config::RouteTable;
use thistlecroft_settings::Settings;

/// Events in one turn, so that timers are never far behind.
const EVENTS: usize = 512;
/// TimerQueue in one turn, for the same.
const ALARMS: usize = 512;
/// The part of the memory limit that buffers may take.
const BUFFER_PART: usize = 4;
/// New connections go on coming for so long after the signal.
const ACCEPT_ON: Duration = Duration::from_millis(600);
/// Taken off the time to stop, so that the process has ended before it is killed.
const STOP_MARGIN: Duration = Duration::from_millis(150);

/// Beside another process that serves, clients are taken once discovery has told its list; after
/// this also on the list known at start, and after the other with none: the process before may be
/// about to end.
const LIST_KNOWN: Duration = Duration::from_millis(1_500);
const LIST_LACKING: Duration = Duration::from_millis(5_000);

/// The processes of this relay before and after this one.
#[derive(Default)]
struct HotRestart {
    relay: String,
    post: Option<SuccessorListener>,
    /// It may end before it has left, and then is none.
    predecessor: Option<Channel>,
    successor: Option<Channel>,
    /// Connections that the predecessor offered and has not let go of.
    offered: BTreeMap<u32, Offered>,
    /// Descriptors held here, as told last.
    told: usize,
}

struct Offered {
    estate: SessionHandover,
    up: Vec<u8>,
    down: Vec<u8>,
    sockets: [OwnedFd; 2],
}

/// Clients come by new settings from so long after SIGHUP on, and rules bind from then on.
const SETTINGS_BIND: Duration = Duration::from_millis(1_200);
/// Descriptors taken or given back since the other process was told, that are worth a word at once.
const HOLDS_STEP: usize = 4;
/// Packets of one channel in one turn.
const PACKETS: usize = 32;

pub struct Service {
    clock: Clock,
    poller: Rc<Poller>,
    works: IoContext,
    sessions: Sessions,
    probes: HealthChecks,
    watch: Watch,
    hand: AdminCommands,
    /// The other relays, where the charter has them.
    peers: Option<Peers>,
    hot_restart: HotRestart,
    relay: Balancer,
    started: Instant,
    /// The platform holds the clients' socket: another process may serve beside this one.
    passed: bool,
    orders: Vec<Action>,
    stop_within: Duration,
    stopping: Option<Instant>,
    signals: [UnixStream; 3],
    /// For what a later text would change.
    origin: ConfigSource,
    /// What holds, and what will hold alone from then on.
    site: Settings,
    coming: Option<(Settings, RouteTable)>,
    settles_at: Instant,
    sockets: usize,
    bound: OperatorConfigFile,
}

const STOP_BYTE: usize = 0;
const COUNT_BYTE: usize = 1;
const REREAD_BYTE: usize = 2;

/// The signals that are answered, each with the end of a pipe that turns readable.
pub struct Signals([UnixStream; 3]);

impl Signals {
    /// FirstLine of all, before any file is read: until they are caught the system's default for each
    /// of them ends the process.
    ///
    /// # Errors
    /// The system refuses a pipe or a handler.
    pub fn install() -> io::Result<Signals> {
        Ok(Signals([
            signal_pipe(&[SIGTERM, SIGINT])?,
            signal_pipe(&[SIGUSR1])?,
            signal_pipe(&[SIGHUP])?,
        ]))
    }
}

impl Service {
    pub fn start(posting: StartupConfig, Signals(signals): Signals) -> io::Result<Service> {
        let clock = Clock::start();
        let now = clock.now();
        let poller = Rc::new(Poller::new()?);
        let mut sockets = Sockets::new(poller.clone());
        let site = posting.site;
        let (deployment, names) = (site.deployment.clone(), names(&site));
        let (connect_timeout, stop_within) =
            (deployment.connect_timeout, deployment.shutdown_timeout);
        let routing = posting.charter.routing;
        let deployment = Deployment {
            routes: routing.rows().to_vec(),
            ..deployment
        };
        let at = |address, fault: io::Error| io::Error::other(format!("{address}: {fault}"));
        let passed = posting.passed.is_some();
        let door = match posting.passed {
            Some(listener) => sockets.door(SocketOwner::Listener, listener)?,
            None => sockets
                .listen(SocketOwner::Listener, posting.listen)
                .map_err(|fault| at(posting.listen, fault))?,
        };
        let admin = posting.admin.map(|to| {
            sockets
                .listen(SocketOwner::AdminListener, to)
                .map_err(|fault| at(to, fault))
        });
        let callers = admin.transpose()?.map(AdminConnections::new);
        let clients_sockets =
            posting.sockets - callers.as_ref().map_or(0, |_| connections::RESERVE);
        let peers = match posting.charter.peering {
            Some((peering, key)) => Some(
                Peers::start(&posting.name, &peering, &key, passed, &mut sockets, clock).map_err(
                    |fault| io::Error::other(format!("peers: {}: {fault}", peering.listen)),
                )?,
            ),
            None => None,
        };
        let clients_sockets = clients_sockets - usize::from(peers.is_some());
        let pool = Pool::new((posting.memory_mb << 20) / BUFFER_PART / SIZE);
        let (alarms, news, counters) =
            (TimerQueue::default(), VecDeque::new(), Counters::default());
        let mut works = IoContext {
            now,
            sockets,
            pool,
            alarms,
            news,
            counters,
            starved: VecDeque::new(),
        };
        let book = EndpointRegistry::new(site.zones.clone(), site.report_fields);
        let mut watch = Watch::new(posting.discovery, posting.seed, book, site.drain_grace, now);
        if let Some(known) = &posting.known {
            match watch.know(known) {
                Ok(news) => works.news.push_back(news),
                Err(fault) => log::warn!("the list known at start: {fault}"),
            }
        }
        let hot_restart = match posting.folder.as_deref().filter(|_| passed) {
            Some(folder) => HotRestart::begin(folder, &posting.name, &mut works.sockets),
            None => HotRestart::default(),
        };
        let shelf = posting.folder.filter(|_| passed || callers.is_some());
        let shelf = shelf.map(|folder| BanStore::new(&folder, &posting.name));
        let hand = AdminCommands::new(callers, shelf, &mut watch.book, &mut works);
        let mut orders = Vec::new();
        let mut desk = ActionRecorder {
            orders: &mut orders,
            alarms: &mut works.alarms,
        };
        let relay = Balancer::new(deployment, posting.seed, now, &mut desk);
        watch.open(&mut works);
        for signal in &signals {
            // SAFETY: both live as long as the poller, in this struct.
            unsafe {
                poller.add_with_mode(
                    signal,
                    polling::Event::readable(key_of(SocketOwner::Signals, 0)),
                    PollMode::Level,
                )?
            };
        }
        log::info!("{} serves at {}", posting.name, posting.listen);
        let mut service = Service {
            clock,
            poller,
            works,
            sessions: Sessions::new(door, names, routing, clients_sockets),
            probes: HealthChecks::new(connect_timeout, site.backend_idle_timeout),
            watch,
            hand,
            peers,
            hot_restart,
            relay,
            started: now,
            passed,
            orders,
            stop_within,
            stopping: None,
            signals,
            origin: posting.origin,
            site,
            coming: None,
            settles_at: now,
            sockets: posting.sockets,
            bound: posting.charter.bound,
        };
        for span in [service.watch.answer_due(), LIST_KNOWN, LIST_LACKING] {
            service.works.alarms.set(now + span, Timer::StartAccepting);
        }
        service.open_door();
        service.wake_peers();
        Ok(service)
    }

    /// Takes clients as soon as they can be served. Without a process beside it there is nobody
    /// else to serve them; but what the agent has counts as told from the first moment, so that its
    /// answer is waited for, if it has one.
    fn open_door(&mut self) {
        let since = self.works.now.duration_since(self.started);
        let can = match self.watch.listed() {
            Listed::Told => true,
            Listed::Known => since >= LIST_KNOWN,
            Listed::Nothing => since >= LIST_LACKING,
        };
        let beside = self.hot_restart.predecessor.is_some();
        let can = can || !beside && (self.watch.has_failed() || since >= self.watch.answer_due());
        if self.stopping.is_none() && !self.sessions.takes_clients() && can {
            self.sessions.open_door();
            if self.passed {
                log::info!("takes clients");
            }
        }
    }

    fn readiness(&self) -> Readiness {
        Readiness {
            stopping: self.stopping.is_some(),
            listed: self.watch.listed() != Listed::Nothing,
            accepting: self.sessions.takes_clients(),
        }
    }

    /// Until told to stop.
    pub fn run(mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(NonZeroUsize::new(EVENTS).expect("not zero"));
        loop {
            self.hand_over();
            self.tell_holds(HOLDS_STEP);
            if self.is_over() {
                log::info!("stopped; {}", self.works.counters);
                return Ok(());
            }
            events.clear();
            let wait = match self.works.news.is_empty() {
                true => self.works.alarms.wait(self.clock.now()),
                false => Some(std::time::Duration::ZERO),
            };
            match self.poller.wait(&mut events, wait) {
                Err(fault) if fault.kind() != io::ErrorKind::Interrupted => return Err(fault),
                _ => {}
            }
            self.works.now = self.clock.now();
            for place in 0..PLACES {
                for event in events.iter().filter(|event| place_of(event.key) == place) {
                    self.guarded(|service| service.event(event.key));
                }
            }
            for _ in 0..ALARMS {
                let Some(alarm) = self.works.alarms.due(self.works.now) else {
                    break;
                };
                self.guarded(|service| service.alarm(alarm));
            }
            if !self.works.starved.is_empty() {
                self.sessions.feed(&mut self.works);
            }
        }
    }

    /// A fault in the code outside of any session, over the watch or a probe, is no end of the
    /// process either.
    fn guarded(&mut self, part: impl FnOnce(&mut Service)) {
        if catch_unwind(AssertUnwindSafe(|| part(self))).is_err() {
            self.works.counters.panics += 1;
        }
    }

    fn event(&mut self, key: usize) {
        let works = &mut self.works;
        match owner_of(key) {
            Some(SocketOwner::Listener) => self.sessions.accept(&self.watch.book, works),
            Some(SocketOwner::Signals) => self.signalled(),
            Some(SocketOwner::Discovery) => {
                self.watch.event(key, works);
                self.open_door();
            }
            Some(SocketOwner::AdminListener) => self
                .hand
                .callers
                .iter_mut()
                .for_each(|callers| callers.accept(works)),
            Some(SocketOwner::SuccessorListener) => {
                let successor = self
                    .hot_restart
                    .post
                    .as_mut()
                    .and_then(|post| post.accept(&mut works.sockets));
                if successor.is_some() {
                    self.lose_successor("another one has come");
                    (self.hot_restart.successor, self.hot_restart.told) = (successor, 0);
                }
            }
            Some(SocketOwner::Successor)
                if self
                    .hot_restart
                    .successor
                    .as_ref()
                    .is_some_and(|successor| successor.is(key)) =>
            {
                self.receive_from_successor();
            }
            Some(SocketOwner::Predecessor)
                if self
                    .hot_restart
                    .predecessor
                    .as_ref()
                    .is_some_and(|predecessor| predecessor.is(key)) =>
            {
                self.receive_from_predecessor();
            }
            Some(SocketOwner::Successor | SocketOwner::Predecessor) => {}
            Some(SocketOwner::Peers) => self.peers.iter_mut().for_each(|peers| peers.event(works)),
            Some(SocketOwner::AdminConnection(id)) => {
                self.hand
                    .callers
                    .iter_mut()
                    .for_each(|callers| callers.event(id, key, works));
            }
            Some(SocketOwner::Client(id)) => {
                self.sessions.client_event(id, key, &self.watch.book, works)
            }
            Some(SocketOwner::Attempt(id)) => {
                self.sessions.dial_event(id, key, &self.watch.book, works)
            }
            Some(SocketOwner::HealthCheck(id)) => {
                let address = self.watch.book.address(BackendId(id));
                self.probes.event(BackendId(id), key, address, works);
            }
            None => {}
        }
    }

    fn alarm(&mut self, alarm: Timer) {
        let works = &mut self.works;
        match alarm {
            Timer::Balancer => works.news.push_back(Event::Wake),
            Timer::ResumeAccepting => self.sessions.resume_accepting(),
            Timer::Discovery => self.watch.alarm(works),
            Timer::Client(id) => self.sessions.client_alarm(id, works),
            Timer::Attempt(id, serial) => self.sessions.dial_alarm(id, serial, works),
            Timer::HealthCheck(id, serial) => self.probes.alarm(id, serial, works),
            Timer::ResponseOverdue(id) => self.sessions.overdue_alarm(id, works),
            Timer::IdleTimeout(id) => self.sessions.idle_alarm(id, works),
            Timer::RetryInherited(id) => self.sessions.again_alarm(id, &self.watch.book, works),
            Timer::AdminConnection(id) => self
                .hand
                .callers
                .iter_mut()
                .for_each(|callers| callers.alarm(id, works)),
            Timer::BanStore => {
                self.hand.look(&mut self.watch.book, works);
                self.tell_holds(1);
            }
            Timer::SettingsInForce => self.settled(),
            Timer::StartAccepting => self.open_door(),
            Timer::OfferSessions => self.offer(),
            Timer::OfferTimeout(id) => {
                if self.sessions.keep(id, works) {
                    self.lose_successor("it does not answer");
                }
            }
            Timer::Peers => self.wake_peers(),
            Timer::Stop => {}
        }
    }

    fn wake_peers(&mut self) {
        self.peers
            .iter_mut()
            .for_each(|peers| peers.wake(&mut self.works));
    }

    fn signalled(&mut self) {
        let mut bytes = [0; 64];
        if matches!(self.signals[COUNT_BYTE].read(&mut bytes), Ok(1..)) {
            let (sessions, generations) = (self.sessions.len(), self.sessions.generations());
            let out = self.hand.out();
            log::info!(
                "{sessions} sessions ({generations}), {out} backends out by hand; {}",
                self.works.counters
            );
            self.peers.iter().for_each(Peers::log);
        }
        if matches!(self.signals[STOP_BYTE].read(&mut bytes), Ok(1..)) && self.stopping.is_none() {
            log::info!("told to stop, {} sessions", self.sessions.len());
            self.stopping = Some(self.works.now);
            self.works.news.push_back(Event::ShutDown);
            self.peers
                .iter_mut()
                .for_each(|peers| peers.leave(self.works.now));
            if self.passed {
                self.sessions.shut_door();
                self.leave();
            } else {
                // Those on their way may come before the first list; nobody else would answer them.
                self.sessions.open_door();
            }
            self.works
                .alarms
                .set(self.works.now + ACCEPT_ON, Timer::Stop);
            self.works.alarms.set(
                self.works.now + (self.stop_within - STOP_MARGIN),
                Timer::Stop,
            );
        }
        if matches!(self.signals[REREAD_BYTE].read(&mut bytes), Ok(1..)) {
            self.reread();
        }
    }

    // ---- the processes before and after this one ----

    /// What is known and what stands goes to the next process, if there is one.
    fn leave(&mut self) {
        let Some(successor) = &self.hot_restart.successor else {
            return;
        };
        let said = tell_memory(&self.relay, &self.watch.book, successor);
        match said.and_then(|_| successor.send(&Message::Leaving, &[], &[])) {
            Ok(true) => self.sessions.hand_over_to_successor(&mut self.works),
            Ok(false) => self.lose_successor("it does not read"),
            Err(fault) => self.lose_successor(&fault.to_string()),
        }
    }

    /// Both channels hear of it when it has changed by so much: told later, each would take what
    /// the other had just taken.
    fn tell_holds(&mut self, least: usize) {
        let (sockets, told) = (self.works.sockets.own(), self.hot_restart.told);
        let mut lines = self
            .hot_restart
            .predecessor
            .iter()
            .chain(&self.hot_restart.successor)
            .peekable();
        if lines.peek().is_some() && sockets.abs_diff(told) >= least {
            self.hot_restart.told = sockets;
            lines.for_each(|line| drop(line.send(&Message::Holds { sockets }, &[], &[])));
        }
    }

    fn offer(&mut self) {
        let Some(successor) = &self.hot_restart.successor else {
            return;
        };
        if let Err(fault) = self
            .sessions
            .offer(successor, &self.watch.book, &mut self.works)
        {
            self.lose_successor(&fault.to_string());
        }
    }

    fn lose_successor(&mut self, why: &str) {
        if self.hot_restart.successor.take().is_some() {
            log::info!("the next process: {why}");
            self.works.sockets.set_beside(0);
            self.sessions.keep_all(&mut self.works);
        }
    }

    fn receive_from_successor(&mut self) {
        for _ in 0..PACKETS {
            let Some(successor) = &self.hot_restart.successor else {
                return;
            };
            let word = match successor.hear() {
                Received::Nothing => break,
                Received::Gone(why) => return self.lose_successor(&why),
                Received::Message(word, ..) => *word,
            };
            let done = match word {
                Message::Hello {
                    version: VERSION,
                    relay,
                } if relay == self.hot_restart.relay => {
                    if self.stopping.is_some() {
                        return self.leave();
                    }
                    tell_memory(&self.relay, &self.watch.book, successor)
                }
                Message::Holds { sockets } => {
                    self.works.sockets.set_beside(sockets);
                    Ok(())
                }
                Message::Took { serial } => {
                    self.sessions.handed(serial, successor, &mut self.works)
                }
                Message::Declined { serial } => {
                    self.sessions.keep(serial, &mut self.works);
                    Ok(())
                }
                word => Err(io::Error::other(format!("unexpected: {word:?}"))),
            };
            if let Err(fault) = done {
                return self.lose_successor(&fault.to_string());
            }
        }
        self.offer();
    }

    fn receive_from_predecessor(&mut self) {
        for _ in 0..PACKETS {
            let Some(predecessor) = &self.hot_restart.predecessor else {
                return;
            };
            let (book, works) = (&mut self.watch.book, &mut self.works);
            let (word, up, down, sockets) = match predecessor.hear() {
                Received::Nothing => return,
                Received::Gone(why) => {
                    log::info!("the process before: {why}");
                    self.hot_restart.predecessor = None;
                    works.sockets.set_beside(0);
                    // What it did not let go of is its own, or lost with it.
                    self.hot_restart.offered.clear();
                    works.news.push_back(Event::PredecessorEnded);
                    return self.open_door();
                }
                Received::Message(word, up, down, sockets) => (*word, up, down, sockets),
            };
            match word {
                Message::Memory(text) => {
                    works.news.push_back(Event::SnapshotReceived(
                        text.memory(|name| book.enter(name)),
                    ));
                }
                Message::Holds { sockets } => works.sockets.set_beside(sockets),
                Message::Leaving => {
                    works.news.push_back(Event::PredecessorEnded);
                    // Nobody else takes clients now, unless this one is told to stop as well.
                    if self.stopping.is_none() {
                        self.sessions.open_door();
                    }
                }
                Message::Session(estate) => {
                    let serial = estate.serial;
                    let offered = <[OwnedFd; 2]>::try_from(sockets).ok();
                    let takes = self.stopping.is_none() && self.sessions.has_room(works);
                    let word = match offered.filter(|_| takes) {
                        Some(sockets) => {
                            let offered = Offered {
                                estate,
                                up,
                                down,
                                sockets,
                            };
                            self.hot_restart.offered.insert(serial, offered);
                            Message::Took { serial }
                        }
                        None => Message::Declined { serial },
                    };
                    // Where it can't be said the predecessor keeps it, and its end is heard next.
                    if !matches!(predecessor.send(&word, &[], &[]), Ok(true)) {
                        self.hot_restart.offered.remove(&serial);
                    }
                }
                Message::Yours { serial } => {
                    if let Some(one) = self.hot_restart.offered.remove(&serial) {
                        let waiting = (&one.up[..], &one.down[..]);
                        if let Err(fault) =
                            self.sessions
                                .adopt(&one.estate, one.sockets, waiting, book, works)
                        {
                            log::warn!("a connection of the process before is lost: {fault}");
                        }
                    }
                }
                word => log::warn!("the process before: unexpected {word:?}"),
            }
        }
    }

    // ---- other settings ----

    /// Discovery's address, the settings and the charter can change while the process runs. A bad
    /// file changes nothing of what it is about; settings and charter have to agree, and are taken
    /// up together or not at all.
    fn reread(&mut self) {
        let path = self
            .origin
            .path
            .as_deref()
            .ok_or_else(|| "the configuration is in no file".to_string());
        let site = match path.and_then(read_file) {
            Ok(later) => {
                let differs = self.origin.differs(&later.origin);
                if !differs.is_empty() {
                    log::warn!("changes of {} need a restart", differs.join(", "));
                }
                self.watch.move_to(later.discovery, &mut self.works);
                later.site
            }
            Err(fault) => {
                log::warn!("{fault}; what was read before stays");
                // The charter may have changed all the same.
                self.coming
                    .as_ref()
                    .map_or_else(|| self.site.clone(), |(site, _)| site.clone())
            }
        };
        if let Err(faults) = self.take_up(site) {
            log::warn!(
                "{}; the charter read before stays, and so do the settings",
                faults.join("; ")
            );
        }
    }

    /// What comes after some time has to agree as well, or nothing is taken.
    fn take_up(&mut self, site: Settings) -> Result<(), Vec<String>> {
        let charter = self.bound.charter()?;
        let both = self.site.during_change_to(&site);
        let later = self
            .bound
            .routing(&charter, &relay_context(&site, self.sockets))?;
        let between = self
            .bound
            .routing(&charter, &relay_context(&both, self.sockets))?;
        // Refused as a whole where the step from one set of voters to the next is none that is
        // allowed.
        let peering = charter.peers_config(&relay_context(&site, self.sockets));
        let peering =
            peering.map_err(|faults| faults.iter().map(ToString::to_string).collect::<Vec<_>>())?;
        match (&mut self.peers, peering) {
            (None, None) => {}
            (Some(peers), Some(peering)) => {
                peers.resettle(&peering).map_err(|fault| vec![fault])?
            }
            _ => log::warn!("changes of peers need a restart"),
        }
        self.settle(both, between);
        self.coming = Some((site, later));
        self.settles_at = self.works.now + SETTINGS_BIND;
        self.works
            .alarms
            .set(self.settles_at, Timer::SettingsInForce);
        Ok(())
    }

    fn settled(&mut self) {
        if self.works.now >= self.settles_at
            && let Some((site, routing)) = self.coming.take()
        {
            self.settle(site, routing);
        }
    }

    /// All of it at once, for what comes from now on.
    fn settle(&mut self, site: Settings, routing: RouteTable) {
        let changes = self.sessions.routing().changes_to(&routing);
        let own = site.zones.get(usize::from(site.deployment.zone.0)).cloned();
        let zone = own.map_or(site.deployment.zone, |name| self.watch.book.zone(&name));
        let routes = routing.rows().to_vec();
        let deployment = Deployment {
            routes,
            zone,
            ..site.deployment.clone()
        };
        self.watch.book.read_by(site.report_fields);
        self.probes
            .resettle(deployment.connect_timeout, site.backend_idle_timeout);
        self.watch.resettle(site.drain_grace);
        self.stop_within = deployment.shutdown_timeout;
        self.works
            .news
            .push_back(Event::Reconfigured(Box::new(deployment)));
        self.sessions.reroute(names(&site), routing);
        let generation = self.sessions.generation();
        if !changes.is_empty() {
            log::info!(generation; "charter, generation {generation}: {}", changes.join("; "));
        }
        self.site = site;
    }

    fn is_over(&self) -> bool {
        let Some(since) = self.stopping.map(|at| self.works.now.duration_since(at)) else {
            return false;
        };
        let accepts_on = !self.passed && since < ACCEPT_ON;
        let is_quiet =
            self.sessions.is_empty() && self.hand.callers.iter().all(AdminConnections::is_quiet);
        !accepts_on && is_quiet || since >= self.stop_within - STOP_MARGIN
    }

    /// Hands in what the turn gathered, then carries out what came back.
    fn hand_over(&mut self) {
        let now = self.works.now;
        let readiness = self.readiness();
        let answers = self.hand.answers(
            readiness,
            &mut self.peers,
            &mut self.watch.book,
            &mut self.works,
        );
        let (mut failed, mut taken_out) = (Vec::new(), false);
        while let Some(news) = self.works.news.pop_front() {
            trace::news(&news, &self.watch.book);
            taken_out |= matches!(
                news,
                Event::EndpointsUpdated(..) | Event::BanChanged(_, true)
            );
            let mut desk = ActionRecorder {
                orders: &mut self.orders,
                alarms: &mut self.works.alarms,
            };
            if let Err(about) = hand_in(&mut self.relay, news, now, &mut desk) {
                self.works.counters.panics += 1;
                log::error!("the decisions failed over {about:?}");
                failed.extend(about);
            }
        }
        let works = &mut self.works;
        self.hand.answer(answers, works);
        for order in std::mem::take(&mut self.orders) {
            trace::order(&order, &self.watch.book);
            match order {
                Action::Connect(id, backend, wait) => {
                    self.sessions
                        .dial(id, backend, wait, &self.watch.book, works)
                }
                Action::Cancel(id, dial) => self.sessions.withdraw(id, dial, works),
                Action::Reject(id, wait) => self.sessions.refuse(id, wait, works),
                Action::Fail(id) => self.sessions.tear_down(id, works),
                Action::Migrate(id) => self.sessions.send_away(id, works),
                Action::CheckHealth(id) => self.probes.ask(id, self.watch.book.address(id), works),
                // The watch is always open or about to be.
                Action::Subscribe => self.watch.open(works),
            }
        }
        if taken_out {
            self.sessions.recall(&self.watch.book, works);
        }
        for id in failed {
            self.sessions.give_up(id, works);
        }
    }
}

/// When in its turn an event is met: operators first, so that they are answered whatever the load;
/// then what the agent tells, before a dial that came up in the same turn goes where nothing new
/// may go.
fn place_of(key: usize) -> usize {
    match owner_of(key) {
        Some(SocketOwner::AdminListener | SocketOwner::AdminConnection(_)) => 0,
        Some(SocketOwner::Discovery) => 1,
        _ => 2,
    }
}

const PLACES: usize = 3;

impl HotRestart {
    fn begin(folder: &Path, relay: &str, sockets: &mut Sockets) -> HotRestart {
        // Found before this one takes its place.
        let predecessor = channel::predecessor(folder, sockets);
        let hello = Message::Hello {
            version: VERSION,
            relay: relay.to_string(),
        };
        let predecessor = predecessor
            .filter(|predecessor| matches!(predecessor.send(&hello, &[], &[]), Ok(true)));
        let post = SuccessorListener::open(folder, sockets);
        if let Err(fault) = &post {
            log::warn!("the next process will not be handed anything: {fault}");
        }
        HotRestart {
            relay: relay.to_string(),
            post: post.ok(),
            predecessor,
            ..HotRestart::default()
        }
    }
}

fn names(site: &Settings) -> Names {
    Names {
        listeners: site.listeners.clone(),
        groups: site.deployment.groups_share_work,
        notes_tell_delay: site.notes_carry_latency,
    }
}

/// What finds no room on the way is lost alone: the next process learns it anew.
fn tell_memory(relay: &Balancer, book: &EndpointRegistry, successor: &Channel) -> io::Result<()> {
    let parts = SnapshotMessage::of(&relay.snapshot(), |id| book.name(id)).parts();
    parts
        .into_iter()
        .try_for_each(|part| successor.send(&Message::Memory(part), &[], &[]).map(drop))
}

/// The end of a pipe that turns readable when one of these signals comes.
fn signal_pipe(signals: &[i32]) -> io::Result<UnixStream> {
    let (ours, theirs) = UnixStream::pair()?;
    ours.set_nonblocking(true)?;
    for &signal in signals {
        signal_hook::low_level::pipe::register(signal, theirs.try_clone()?)?;
    }
    Ok(ours)
}
