//! A run: stand-ins are set up, relays started, the plan carried out at its times, and what was
//! seen judged.
use crate::plan::{Act, BEGIN, Plan, dealing};
use crate::report;
use crate::scenario::{Baseline, Scenario};
use crate::summary::{Findings, Summary, sum_up};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use thistlecroft::time::{Duration, Instant};
use thistlecroft_testbed::clock::{Stopwatch, to_std};
use thistlecroft_testbed::cluster_invariants::check_cluster_invariants;
use thistlecroft_testbed::endpoint_list::{EndpointList, EndpointRow, endpoint_name};
use thistlecroft_testbed::event_loop::EventLoop;
use thistlecroft_testbed::event_recorder::{
    Answer, BackendIndex, EventLog, EventRecorder, Lifecycle, Observation, RecordedEvent,
    RelayIndex, event_recorder,
};
use thistlecroft_testbed::invariant_checker::check_invariants;
use thistlecroft_testbed::load_generator::{
    ALL_CLIENTS_GONE, LoadCommand, LoadGenerator, LoadPlan, RelayEndpoint,
};
use thistlecroft_testbed::relay_network::{NetworkCommand, OpenedNetwork, RelayNetwork};
use thistlecroft_testbed::relay_observer::RelayObserver;
use thistlecroft_testbed::relay_process::{
    ADMIN_COMMAND_TIMEOUT, PeersConfig, RelayOptions, RelayProcess, ensure_descriptor_limit,
    free_address,
};
use thistlecroft_testbed::simulated_backends::{OpenedBackends, SimulatedBackends};
use thistlecroft_testbed::socket_holder::{SocketHolder, send_admin_command};
use thistlecroft_testbed::traffic::scattered_id;

/// How often the plan is looked at, and relays are measured.
const STEP: std::time::Duration = std::time::Duration::from_millis(10);
const MEASURE: Duration = Duration::from_millis(500);
const LOOK: Duration = Duration::from_millis(1_000);
/// At a planned restart connections go on coming for so long.
const COME_ON: Duration = Duration::from_millis(300);
/// A relay told to stop is killed this long after the longest wait, which counts for at most so
/// much.
const AFTER_WAIT: Duration = Duration::from_millis(1_000);
const LONGEST_WAIT: Duration = Duration::from_millis(3_000);
/// Waited for clients to leave at the end, besides the longest wait.
const LEAVING: std::time::Duration = std::time::Duration::from_secs(8);
/// Descriptors of this process besides clients, boxes and their connections.
const OWN: u64 = 300;

/// What is run under a scenario's traffic and faults.
#[derive(Clone, Debug)]
pub struct Way {
    pub name: String,
    /// None for relays.
    pub baseline: Option<Baseline>,
    /// The program and its arguments.
    pub relay: Vec<String>,
    /// With the scenario's charters, where it has any.
    pub chartered: bool,
}

impl Way {
    /// The scenario's own and its variants, with this program as the relay where they name none.
    pub fn all(scenario: &Scenario, relay: &[String]) -> Vec<Way> {
        let own = Way {
            name: "relays".into(),
            baseline: None,
            relay: relay.to_vec(),
            chartered: true,
        };
        let variants = scenario.variants.iter().map(|variant| {
            let variant = variant.get_ref();
            let program = variant.relay.as_deref().unwrap_or(relay);
            let arguments = variant.arguments.iter().flatten();
            Way {
                name: variant.name.clone(),
                baseline: variant.baseline,
                relay: program.iter().chain(arguments).cloned().collect(),
                chartered: !variant.unchartered,
            }
        });
        std::iter::once(own).chain(variants).collect()
    }
}

/// What a run looks like while it goes on.
#[derive(Clone, Debug, Default)]
pub struct Look {
    pub at: Duration,
    pub length: Duration,
    pub up: usize,
    pub busy: usize,
    pub failed: usize,
    pub moved: usize,
    pub standing: usize,
    /// Load and state of each box; none for one that does not run.
    pub boxes: Vec<Option<(f64, &'static str)>>,
    pub relays: usize,
    /// What the plan has done since the last look.
    pub news: Vec<String>,
}

pub struct Outcome {
    pub summary: Summary,
    pub folder: PathBuf,
}

struct Stand {
    post: Option<RelayProcess>,
    orders: RelayOptions,
    /// Until when it may take to stop.
    stops_by: Option<Instant>,
    back_after: Option<Duration>,
    starts: u64,
    /// Which of the charters it has.
    charter: usize,
    program: Vec<String>,
    /// Processes of it that are on their way out while another serves, and until when they may
    /// take.
    elders: Vec<(RelayProcess, Instant)>,
    /// What its charter says of peers.
    peers: String,
}

struct Director<'a> {
    plan: &'a Plan,
    scenario: &'a Scenario,
    folder: &'a Path,
    clock: Stopwatch,
    tape: EventRecorder,
    reel: EventLog,
    yard: OpenedBackends,
    crowds: Vec<EventLoop<LoadGenerator>>,
    stands: Vec<Stand>,
    net: Option<OpenedNetwork>,
    witnesses: Vec<RelayObserver>,
    /// What comes of acts later than their own time.
    later: BTreeMap<(Instant, usize), Later>,
    serial: usize,
    crashes: usize,
    seen: usize,
    look: Look,
}

enum Later {
    Door(usize, bool),
    Start(usize),
}

/// Carries a scenario out once; results are in `folder`, which is made. `stop` ends it early, its
/// results kept and marked.
///
/// # Errors
/// One line: what could not be set up.
pub fn run(
    scenario: &Scenario,
    way: &Way,
    seed: u64,
    folder: &Path,
    stop: &AtomicBool,
    watch: &mut dyn FnMut(&Look),
) -> Result<Outcome, String> {
    let plan = Plan::of(scenario, seed);
    ensure_descriptor_limit(descriptors(&plan, way))?;
    std::fs::create_dir_all(folder).map_err(|fault| format!("{}: {fault}", folder.display()))?;
    let mut director = Director::open(scenario, &plan, way, folder)?;
    let complete = director.direct(stop, watch);
    let (entries, crowds, yard, crashes) = director.close();
    let ruling = check_invariants(&entries, &plan.law);
    let breaches = check_cluster_invariants(&entries, &plan.pact);
    let findings = Findings {
        scenario: &scenario.name,
        way: &way.name,
        baseline: way.baseline.is_some(),
        seed,
        complete,
        length: entries.last().map_or(Duration::ZERO, |last| {
            last.at.duration_since(Instant::default())
        }),
        crashes,
        entries: &entries,
        ruling: &ruling,
        breaches: &breaches,
        crowds: &crowds,
        yard,
    };
    let summary = sum_up(&findings);
    let failed = |fault: std::io::Error| format!("{}: {fault}", folder.display());
    write_events(&entries, &folder.join("events.jsonl")).map_err(failed)?;
    let text = serde_json::to_string_pretty(&summary).map_err(|fault| fault.to_string())?;
    std::fs::write(folder.join("summary.json"), text).map_err(failed)?;
    let page = report::page(&summary, &entries, &plan.marks, &crowds)?;
    std::fs::write(folder.join("report.html"), page).map_err(failed)?;
    Ok(Outcome {
        summary,
        folder: folder.to_path_buf(),
    })
}

fn write_events(entries: &[RecordedEvent], path: &Path) -> std::io::Result<()> {
    let mut out = BufWriter::new(File::create(path)?);
    for entry in entries {
        serde_json::to_writer(&mut out, entry)?;
        out.write_all(b"\n")?;
    }
    out.flush()
}

/// What this process and its relays must be able to hold: each client has an end here, and so has
/// its box.
fn descriptors(plan: &Plan, way: &Way) -> u64 {
    let mut changes: Vec<(Instant, i64)> = Vec::new();
    for arrival in &plan.arrivals {
        // Set-ups that take much longer than this are few, or the run shows little anyway.
        let set_up = plan.traffic.profiles[usize::from(arrival.profile)].handshake_target;
        changes.extend([
            (arrival.due, 1),
            (arrival.due + arrival.lifetime + set_up, -1),
        ]);
    }
    changes.sort_unstable();
    let (mut now, mut most) = (0, 0);
    for (_, change) in changes {
        now += change;
        most = most.max(now);
    }
    let rude = plan.acts.iter().map(|timed| match timed.act {
        Act::LoadGenerator(LoadCommand::AddMisbehaving(_, count)) => count as u64,
        _ => 0,
    });
    let here =
        most.unsigned_abs() * 2 + rude.sum::<u64>() + plan.ground.backends.len() as u64 * 4 + OWN;
    if way.baseline.is_some() {
        here
    } else {
        here.max(plan.terms.sockets)
    }
}

impl<'a> Director<'a> {
    fn open(
        scenario: &'a Scenario,
        plan: &'a Plan,
        way: &Way,
        folder: &'a Path,
    ) -> Result<Director<'a>, String> {
        let (tape, reel) = event_recorder();
        // Relays are started on the run's own time, before anybody comes.
        let clock = Stopwatch::start();
        let yard = SimulatedBackends::open(plan.ground.clone(), clock, tape.clone())
            .map_err(|fault| format!("boxes can't be set up: {fault}"))?;
        let mut stands = Vec::new();
        let relays = &scenario.relays;
        let net = (relays.peers && way.baseline.is_none())
            .then(|| RelayNetwork::open(relays.count, plan.seed, clock, tape.clone()))
            .transpose()
            .map_err(|fault| format!("links can't be set up: {fault}"))?;
        let key_file = folder.join("peers.key");
        if net.is_some() {
            let failed = |fault: std::io::Error| format!("{}: {fault}", key_file.display());
            std::fs::write(&key_file, format!("key of the run {:016x}\n", plan.seed))
                .map_err(failed)?;
        }
        let terms = PeersConfig {
            period: relays.period.0,
            lease: relays.lease.0,
            voters: relays.voters,
            key_file: key_file.canonicalize().unwrap_or(key_file),
        };
        if way.baseline.is_none() {
            for number in 0..plan.ground.relays {
                let listen = free_address(number)
                    .map_err(|fault| format!("no address for a relay: {fault}"))?;
                let known = scenario.relays.know_list.then(|| known_list(plan, &yard));
                let (listen, admin, station) = match scenario.relays.operators {
                    true => operated(number, listen, folder)
                        .map_err(|fault| format!("relay {number}: {fault}"))?,
                    false => (listen, None, None),
                };
                let peers = net.as_ref().map_or(String::new(), |net| {
                    terms.table(&net.addresses[number], &net.addresses)
                });
                let admin = match net {
                    Some(_) if admin.is_none() => Some(
                        free_address(plan.ground.relays + number)
                            .map_err(|fault| fault.to_string())?,
                    ),
                    _ => admin,
                };
                let charter = scenario
                    .relays
                    .charters
                    .first()
                    .filter(|_| way.chartered)
                    .cloned();
                let charter = (charter.is_some() || net.is_some())
                    .then(|| charter.unwrap_or_default() + &peers);
                let orders = RelayOptions {
                    name: format!("relay-{number}"),
                    index: number,
                    relays: plan.ground.relays,
                    zone: number % scenario.fleet.zones.len(),
                    listen,
                    operator_config: charter,
                    discovery: yard.agent_addresses[number],
                    seed: scattered_id(plan.seed.wrapping_mul(1_000) + number as u64),
                    cached_endpoints: known,
                    admin,
                    socket_holder: station,
                };
                let present = number < relays.count - relays.later;
                let post = present
                    .then(|| RelayProcess::start(&way.relay, &plan.terms, &orders, folder))
                    .transpose()?;
                if present {
                    tape.record(
                        clock.now(),
                        Observation::RelayStarted {
                            relay: RelayIndex(number as u16),
                        },
                    );
                }
                let program = way.relay.clone();
                let (stops_by, back_after) = (None, None);
                let (starts, charter, elders) = (1, 0, Vec::new());
                stands.push(Stand {
                    post,
                    orders,
                    stops_by,
                    back_after,
                    starts,
                    charter,
                    program,
                    elders,
                    peers,
                });
            }
        }
        let doors: Vec<RelayEndpoint> = match way.baseline {
            None => (0..)
                .zip(&stands)
                .map(|(number, stand)| RelayEndpoint {
                    address: stand.orders.listen,
                    relay: Some(RelayIndex(number)),
                    enabled: stand.post.is_some(),
                })
                .collect(),
            Some(_) => yard
                .addresses
                .iter()
                .zip(&plan.ground.backends)
                .map(|(at, of)| RelayEndpoint {
                    address: *at,
                    relay: None,
                    enabled: of.initially_running,
                })
                .collect(),
        };
        // Starting relays took its time; who is due then is not late by that.
        let begun = clock.now();
        let threads = scenario.traffic.threads;
        let mut crowds = Vec::new();
        for thread in 0..threads {
            let arrivals = plan
                .arrivals
                .iter()
                .enumerate()
                .filter(|(number, _)| number % threads == thread)
                .map(|(number, arrival)| {
                    let mut arrival = arrival.clone();
                    arrival.due = begun + (arrival.due.duration_since(Instant::default()));
                    (number as u64 + 1, arrival)
                });
            let bill = LoadPlan {
                traffic: plan.traffic.clone(),
                arrivals: arrivals.collect(),
                end: begun + plan.until.duration_since(Instant::default()),
                endpoints: doors.clone(),
                distribution: dealing(way.baseline),
                seed: plan.seed.wrapping_add(thread as u64),
            };
            let crowd = LoadGenerator::open(bill, clock, tape.clone());
            crowds.push(crowd.map_err(|fault| format!("clients can't be set up: {fault}"))?);
        }
        tape.record(begun, Observation::Note { text: BEGUN.into() });
        let look = Look {
            length: plan.until.duration_since(Instant::default()),
            boxes: plan
                .ground
                .backends
                .iter()
                .map(|of| of.initially_running.then_some((0.0, "")))
                .collect(),
            ..Look::default()
        };
        let later = BTreeMap::new();
        let lease = (relays.voters > 0).then_some("turn");
        let witnessed = net.iter().flat_map(|_| (0..).zip(&stands));
        let witnesses = witnessed
            .filter_map(|(number, stand)| {
                let door = stand.orders.admin?;
                Some(RelayObserver::open(
                    RelayIndex(number),
                    door,
                    lease,
                    clock,
                    tape.clone(),
                ))
            })
            .collect();
        Ok(Director {
            plan,
            scenario,
            folder,
            clock,
            tape,
            reel,
            yard,
            crowds,
            stands,
            net,
            witnesses,
            later,
            serial: 0,
            crashes: 0,
            seen: 0,
            look,
        })
    }

    fn note(&self, seen: Observation) {
        self.tape.record(self.clock.now(), seen);
    }

    fn set(&mut self, after: Duration, later: Later) {
        self.serial += 1;
        self.later
            .insert((self.clock.now() + after, self.serial), later);
    }

    /// Until the plan is over; false where it was stopped before.
    fn direct(&mut self, stop: &AtomicBool, watch: &mut dyn FnMut(&Look)) -> bool {
        let begun = self.clock.now();
        let mut acts = self.plan.acts.iter().peekable();
        let mut marks = self.plan.marks.iter().peekable();
        let (mut measured, mut looked) = (begun, begun);
        let mut complete = true;
        loop {
            let now = self.clock.now();
            let passed = Instant::default() + now.duration_since(begun);
            if stop.load(Ordering::Relaxed) {
                complete = false;
                break;
            }
            if passed >= self.plan.until {
                break;
            }
            while let Some(mark) = marks.next_if(|mark| mark.from <= passed) {
                self.look.news.push(mark.what.clone());
            }
            while let Some(timed) = acts.next_if(|timed| timed.at <= passed) {
                self.act(&timed.act);
            }
            self.carry_on(now);
            if now.duration_since(measured) >= MEASURE {
                measured = now;
                self.measure();
            }
            if now.duration_since(looked) >= LOOK {
                looked = now;
                self.take_look(passed.duration_since(Instant::default()));
                watch(&self.look);
                self.look.news.clear();
            }
            std::thread::sleep(STEP);
        }
        self.measure();
        complete
    }

    fn act(&mut self, act: &Act) {
        match act {
            Act::SimulatedBackends(cue) => self.yard.event_loop.command(cue.clone()),
            Act::LoadGenerator(cue) => {
                let threads = self.crowds.len();
                for (place, crowd) in self.crowds.iter().enumerate() {
                    // Each thread has its part of the clients.
                    let part =
                        |count: usize| count / threads + usize::from(place < count % threads);
                    crowd.command(match cue {
                        LoadCommand::DropConnections(count, over) => {
                            LoadCommand::DropConnections(part(*count), *over)
                        }
                        LoadCommand::AddMisbehaving(rude, count) => {
                            LoadCommand::AddMisbehaving(*rude, part(*count))
                        }
                        other => other.clone(),
                    });
                }
            }
            Act::Kill(relay, back) => {
                let number = usize::from(relay.0);
                let Some(stand) = self.stands.get_mut(number) else {
                    return;
                };
                let Some(mut post) = stand.post.take() else {
                    return;
                };
                self.note(Observation::RelayKilled { relay: *relay });
                post.kill();
                let notice = self.scenario.relays.front_notice.0;
                if back.is_none_or(|back| back > notice) {
                    self.set(notice, Later::Door(number, false));
                }
                if let Some(back) = back {
                    self.set(*back, Later::Start(number));
                }
            }
            Act::Stop(relay, back) => {
                let number = usize::from(relay.0);
                let by = self.stops_by();
                let Some(stand) = self.stands.get_mut(number) else {
                    return;
                };
                let Some(post) = &stand.post else { return };
                post.request_stop();
                (stand.stops_by, stand.back_after) = (Some(by), *back);
                self.note(Observation::RelayStopRequested { relay: *relay });
                self.set(COME_ON, Later::Door(number, false));
            }
            Act::Recharter(relay) => {
                let charters = &self.scenario.relays.charters;
                let Some(stand) = self.stands.get_mut(usize::from(relay.0)) else {
                    return;
                };
                if stand.orders.operator_config.is_none() {
                    return;
                }
                stand.charter = (stand.charter + 1) % charters.len();
                let text = charters[stand.charter].clone() + &stand.peers;
                stand.orders.operator_config = Some(text.clone());
                if let Some(Err(fault)) = stand
                    .post
                    .as_ref()
                    .map(|post| post.replace_operator_config(&text))
                {
                    self.note(Observation::Note {
                        text: format!("a charter can't be written: {fault}"),
                    });
                }
            }
            Act::Upgrade(relay) => self.upgrade(*relay),
            Act::Ban(relay, at, out) => self.ban(*relay, *at, *out),
            Act::Still(relay, on) => {
                let number = usize::from(relay.0);
                let Some(post) = self
                    .stands
                    .get(number)
                    .and_then(|stand| stand.post.as_ref())
                else {
                    return;
                };
                // Noted before it stands and after it goes on, so that no act of its is outside.
                if *on {
                    self.note(Observation::RelayPaused {
                        relay: *relay,
                        paused: true,
                    });
                    post.set_paused(true);
                    self.set(
                        self.scenario.relays.front_notice.0,
                        Later::Door(number, false),
                    );
                } else {
                    post.set_paused(false);
                    self.note(Observation::RelayPaused {
                        relay: *relay,
                        paused: false,
                    });
                    self.set(
                        self.scenario.relays.front_notice.0,
                        Later::Door(number, true),
                    );
                }
            }
            Act::Start(relay) => {
                let number = usize::from(relay.0);
                if self
                    .stands
                    .get(number)
                    .is_some_and(|stand| stand.post.is_none())
                {
                    self.start(number);
                }
            }
            Act::Leave(relay) => {
                self.act(&Act::Stop(*relay, None));
            }
            Act::Link(links, fault, name) => {
                if let Some(net) = &self.net {
                    net.event_loop.command(NetworkCommand::SetLinkFault(
                        links.clone(),
                        *fault,
                        name,
                    ));
                }
            }
            Act::HangUp(relay) => {
                if let Some(post) = self
                    .stands
                    .get(usize::from(relay.0))
                    .and_then(|stand| stand.post.as_ref())
                {
                    post.send_hangup();
                }
            }
        }
    }

    fn stops_by(&self) -> Instant {
        let longest = self
            .plan
            .traffic
            .profiles
            .iter()
            .map(|kind| kind.answer_timeout)
            .max()
            .unwrap_or_default();
        self.clock.now() + longest.min(LONGEST_WAIT) + AFTER_WAIT
    }

    fn crashed(&mut self, text: String) {
        self.crashes += 1;
        self.note(Observation::Note { text });
    }

    fn upgrade(&mut self, relay: RelayIndex) {
        let number = usize::from(relay.0);
        let stand = &mut self.stands[number];
        if stand.post.is_none() || stand.stops_by.is_some() {
            return;
        }
        stand.starts += 1;
        stand.orders.seed = scattered_id(stand.orders.seed.wrapping_add(stand.starts));
        // The old one keeps its door until it ends.
        let admin =
            free_address(self.plan.ground.relays + number).map_err(|fault| fault.to_string());
        let next = admin.and_then(|admin| {
            stand.orders.admin = Some(admin);
            RelayProcess::start(&stand.program, &self.plan.terms, &stand.orders, self.folder)
                .map_err(String::from)
        });
        match next {
            Ok(post) => {
                let by = self.stops_by();
                if let (Some(_), Some(door)) = (&self.net, post.admin) {
                    let lease = (self.scenario.relays.voters > 0).then_some("turn");
                    let (clock, tape) = (self.clock, self.tape.clone());
                    self.witnesses
                        .push(RelayObserver::open(relay, door, lease, clock, tape));
                }
                let stand = &mut self.stands[number];
                if let Some(elder) = stand.post.replace(post) {
                    elder.request_stop();
                    stand.elders.push((elder, by));
                }
                self.note(Observation::RelayStarted { relay });
                self.note(Observation::RelayStopRequested { relay });
            }
            Err(why) => self.crashed(why),
        }
    }

    fn ban(&mut self, relay: RelayIndex, at: BackendIndex, out: bool) {
        let post = self
            .stands
            .get(usize::from(relay.0))
            .and_then(|stand| stand.post.as_ref());
        let Some(admin) = post.and_then(|post| post.admin) else {
            return;
        };
        let word = if out { "DISABLE" } else { "ENABLE" };
        // The rule holds until the call back is made, and from the yes on.
        if !out {
            self.note(Observation::BackendBanned {
                relay,
                backend: at,
                banned: out,
            });
        }
        match send_admin_command(
            admin,
            &format!("{word} {}", endpoint_name(at)),
            ADMIN_COMMAND_TIMEOUT,
        ) {
            Ok(said) if said.starts_with("200") => {
                if out {
                    self.note(Observation::BackendBanned {
                        relay,
                        backend: at,
                        banned: out,
                    });
                }
            }
            Ok(said) => self.crashed(format!(
                "relay {} says no to {word} of box {}: {said}",
                relay.0, at.0
            )),
            Err(fault) => {
                self.crashed(format!("relay {} does not answer {word}: {fault}", relay.0))
            }
        }
    }

    /// What earlier acts lead to, and relays that end.
    fn carry_on(&mut self, now: Instant) {
        while let Some(entry) = self
            .later
            .first_entry()
            .filter(|entry| entry.key().0 <= now)
        {
            match entry.remove() {
                Later::Door(door, open) => self
                    .crowds
                    .iter()
                    .for_each(|crowd| crowd.command(LoadCommand::SetEndpointEnabled(door, open))),
                Later::Start(number) => self.start(number),
            }
        }
        for number in 0..self.stands.len() {
            let relay = RelayIndex(number as u16);
            let mut faults = Vec::new();
            self.stands[number]
                .elders
                .retain_mut(|(post, by)| match post.try_wait() {
                    None if now < *by => true,
                    None => {
                        post.kill();
                        faults.push(format!(
                            "relay {number} did not stop in time beside its successor"
                        ));
                        false
                    }
                    Some(status) => {
                        if !status.success() {
                            faults.push(format!(
                                "relay {number} crashed beside its successor: {status}"
                            ));
                        }
                        false
                    }
                });
            faults.into_iter().for_each(|text| self.crashed(text));
            let stand = &mut self.stands[number];
            let Some(post) = &mut stand.post else {
                continue;
            };
            match (post.try_wait(), stand.stops_by) {
                (None, None) => {}
                (None, Some(by)) if now < by => {}
                (None, Some(_)) => {
                    // What it still holds is lost by its own fault.
                    post.kill();
                    (stand.post, stand.stops_by) = (None, None);
                    self.crashes += 1;
                    self.note(Observation::Note {
                        text: format!("relay {number} did not stop in time"),
                    });
                }
                (Some(status), told) => {
                    (stand.post, stand.stops_by) = (None, None);
                    let back = stand.back_after.take();
                    if told.is_some() && status.success() {
                        self.note(Observation::RelayStopped { relay });
                        if let Some(back) = back {
                            self.set(back, Later::Start(number));
                        }
                    } else {
                        self.crashes += 1;
                        self.note(Observation::Note {
                            text: format!("relay {number} crashed: {status}"),
                        });
                    }
                }
            }
        }
    }

    fn start(&mut self, number: usize) {
        let stand = &mut self.stands[number];
        stand.starts += 1;
        // A bad charter ends a start; one that runs goes on by the one before.
        if stand.orders.operator_config.is_some() {
            let first = self
                .scenario
                .relays
                .charters
                .first()
                .cloned()
                .unwrap_or_default();
            (stand.charter, stand.orders.operator_config) = (0, Some(first + &stand.peers));
        }
        stand.orders.seed = scattered_id(stand.orders.seed.wrapping_add(stand.starts));
        match RelayProcess::start(&stand.program, &self.plan.terms, &stand.orders, self.folder) {
            Ok(post) => {
                stand.post = Some(post);
                self.note(Observation::RelayStarted {
                    relay: RelayIndex(number as u16),
                });
                self.set(Duration::ZERO, Later::Door(number, true));
            }
            Err(why) => {
                self.crashes += 1;
                self.note(Observation::Note {
                    text: why.to_string(),
                });
            }
        }
    }

    fn measure(&mut self) {
        for (number, stand) in (0..).zip(&self.stands) {
            if let Some((cpu, resident)) = stand.post.as_ref().and_then(RelayProcess::cost) {
                self.note(Observation::RelayCost {
                    relay: RelayIndex(number),
                    cpu_time: cpu,
                    resident_bytes: resident,
                });
            }
        }
        self.reel.receive();
    }

    fn take_look(&mut self, passed: Duration) {
        self.look.at = passed;
        self.reel.receive();
        for entry in &self.reel.events[self.seen..] {
            let look = &mut self.look;
            let mut state = |at: BackendIndex, word: &'static str| {
                if let Some(of) = look.boxes.get_mut(usize::from(at.0)) {
                    *of = Some((of.map_or(0.0, |(load, _)| load), word));
                }
            };
            match &entry.observation {
                Observation::Answered {
                    answer: Answer::Accepted,
                    ..
                } => look.up += 1,
                Observation::Answered {
                    answer: Answer::Rejected(_),
                    ..
                } => look.busy += 1,
                Observation::Answered {
                    answer: Answer::Failed,
                    ..
                } => look.failed += 1,
                Observation::Migrated { .. } => look.moved += 1,
                Observation::BackendStopped { backend: at } => look.boxes[usize::from(at.0)] = None,
                Observation::BackendStarted { backend: at, cold } => {
                    state(*at, if *cold { "cold" } else { "" })
                }
                Observation::BackendDraining { backend: at } => state(*at, "drains"),
                Observation::BackendFault {
                    backend: at,
                    name,
                    active: on,
                } => state(*at, if *on { name } else { "" }),
                Observation::BackendLoad {
                    backend: at, load, ..
                } => {
                    if let Some(Some(of)) = look.boxes.get_mut(usize::from(at.0)) {
                        of.0 = *load;
                    }
                }
                _ => {}
            }
        }
        self.seen = self.reel.events.len();
        let rounds = crate::summary::rounds(&self.reel.events[self.seen.saturating_sub(20_000)..]);
        self.look.standing = rounds
            .values()
            .next_back()
            .map_or(0, |round| round.iter().map(|(.., held)| held).sum());
        self.look.relays = self
            .stands
            .iter()
            .filter(|stand| stand.post.is_some())
            .count();
    }

    /// Clients leave, relays are told to stop, and what was seen is handed over.
    fn close(
        mut self,
    ) -> (
        Vec<RecordedEvent>,
        Vec<thistlecroft_testbed::load_generator::LoadTotals>,
        thistlecroft_testbed::simulated_backends::BackendTotals,
        usize,
    ) {
        self.crowds
            .iter()
            .for_each(|crowd| crowd.command(LoadCommand::Finish));
        // They ask no more before relays are told to stop.
        self.witnesses.clear();
        let longest = self
            .plan
            .traffic
            .profiles
            .iter()
            .map(|kind| kind.answer_timeout)
            .max()
            .unwrap_or_default();
        let all = self.crowds.len();
        let idle = |entry: &&RecordedEvent| matches!(&entry.observation, Observation::Note { text } if text == ALL_CLIENTS_GONE);
        let gone = self.reel.wait_until(to_std(longest) + LEAVING, |entries| {
            entries.iter().rev().filter(idle).count() == all
        });
        if !gone {
            self.note(Observation::Note {
                text: "clients stayed to the end".into(),
            });
        }
        for stand in &self.stands {
            stand.post.iter().for_each(RelayProcess::request_stop);
        }
        for number in 0..self.stands.len() {
            let Some(post) = &mut self.stands[number].post else {
                continue;
            };
            let status = post.wait_for_exit(longest.min(LONGEST_WAIT) + AFTER_WAIT);
            if !status.is_some_and(|status| status.success()) {
                self.crashes += 1;
                self.note(Observation::Note {
                    text: format!("relay {number} did not stop well at the end"),
                });
            }
        }
        let crowds = self.crowds.into_iter().map(EventLoop::close).collect();
        let yard = self.yard.event_loop.close();
        (self.reel.into_sorted(), crowds, yard, self.crashes)
    }
}

/// What the platform holds for a relay with operators: where clients connect, where operators call.
type Operated = (SocketAddr, Option<SocketAddr>, Option<Arc<SocketHolder>>);

fn operated(number: usize, at: SocketAddr, folder: &Path) -> std::io::Result<Operated> {
    let station = SocketHolder::open(at, &folder.join(format!("relay-{number}.shared")))?;
    let admin = free_address(number)?;
    Ok((station.address()?, Some(admin), Some(Arc::new(station))))
}

/// Noted when all is set up and the plan begins.
pub const BEGUN: &str = "the plan begins";

fn known_list(plan: &Plan, yard: &OpenedBackends) -> serde_json::Value {
    let mut list = EndpointList::default();
    for (number, (of, at)) in (0..).zip(plan.ground.backends.iter().zip(&yard.addresses)) {
        if of.initially_running {
            let row = EndpointRow {
                address: *at,
                zone: of.zone.clone(),
                cell: of.cell,
                lifecycle: Lifecycle::Ready,
                started_ms: 0,
            };
            list.put(BackendIndex(number), row);
        }
    }
    serde_json::from_str(&list.text_since(None).0).unwrap_or_default()
}

/// The moment in a run at which a plan's moment came.
pub fn begun(entries: &[RecordedEvent]) -> Instant {
    let begins = |entry: &&RecordedEvent| matches!(&entry.observation, Observation::Note { text } if text == BEGUN);
    entries.iter().find(begins).map_or(BEGIN, |entry| entry.at)
}
