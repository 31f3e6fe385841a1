//! A little relay of a thread a connection, right but for one thing, and a run of it among the
//! stand-ins.
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use thistlecroft::deployment::Idempotency;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_testbed::backend_model::{BackendCapacity, WarmUp};
use thistlecroft_testbed::clock::Stopwatch;
use thistlecroft_testbed::event_recorder::{
    BackendIndex, Observation, RecordedEvent, RelayIndex, event_recorder,
};
use thistlecroft_testbed::invariant_checker::{CheckResult, PlatformRules, check_invariants};
use thistlecroft_testbed::load_generator::{
    ALL_CLIENTS_GONE, ClientDistribution, LoadCommand, LoadGenerator, LoadPlan, RelayEndpoint,
};
use thistlecroft_testbed::simulated_backends::{
    BackendCommand, BackendPlan, BackendSpec, SimulatedBackends,
};
use thistlecroft_testbed::traffic::{ClientProfile, Traffic, arrivals};

/// What the little relay does wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Wrong {
    Nothing,
    NeverAnswers,
    EndsUnanswered,
    AnswersTwice,
    AnswersLate,
    KeepsBack,
    CutsOff,
    HoldsLines,
    ChangesLines,
    LeavesOrphans,
    OwnLine,
    TwoAtOnce,
    DialsOnceOnlyAgain,
    RefusesOnceOnly,
    RepeatsElsewhere,
    RepeatsLate,
    IgnoresDrains,
    AllToTheNewest,
}

const LONG: std::time::Duration = std::time::Duration::from_secs(20);

struct Little {
    wrong: Wrong,
    agent: SocketAddr,
    boxes: Vec<SocketAddr>,
    next: AtomicUsize,
    over: AtomicBool,
    /// By place, what the list says of it.
    list: Mutex<BTreeMap<usize, String>>,
}

/// Runs until the run is over.
fn little_relay(
    wrong: Wrong,
    agent: SocketAddr,
    boxes: Vec<SocketAddr>,
) -> (SocketAddr, Arc<Little>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let (next, over, list) = (
        AtomicUsize::new(0),
        AtomicBool::new(false),
        Mutex::default(),
    );
    let little = Arc::new(Little {
        wrong,
        agent,
        boxes,
        next,
        over,
        list,
    });
    let (reads, serves) = (little.clone(), little.clone());
    reads.read_list();
    thread::spawn(move || {
        while !reads.over.load(Ordering::Relaxed) {
            reads.read_list();
            thread::sleep(std::time::Duration::from_millis(50));
        }
    });
    thread::spawn(move || {
        for stream in listener.incoming() {
            let little = serves.clone();
            thread::spawn(move || drop(little.serve(stream.unwrap())));
        }
    });
    (at, little)
}

impl Little {
    fn read_list(&self) {
        let Ok(mut stream) = TcpStream::connect(self.agent) else {
            return;
        };
        stream
            .set_read_timeout(Some(std::time::Duration::from_millis(300)))
            .unwrap();
        let asked = stream.write_all(b"GET /api/targets HTTP/1.1\r\nHost: x\r\n\r\n");
        let mut lines = BufReader::new(stream);
        let mut text = String::new();
        // The list is one line behind the head; the connection stays open, so that the time-out
        // ends the last read.
        while asked.is_ok() && !text.contains("instances") {
            text.clear();
            if lines.read_line(&mut text).is_err() {
                break;
            }
            if text == "\r\n" {
                text.clear();
                let _ = lines.read_to_string(&mut text);
                break;
            }
        }
        let Ok(list) = serde_json::from_str::<serde_json::Value>(&text) else {
            return;
        };
        let mut rows = BTreeMap::new();
        for row in list["instances"].as_array().unwrap() {
            let at = row["hostPort"].as_str().unwrap().parse().unwrap();
            let place = self.boxes.iter().position(|known| *known == at).unwrap();
            rows.insert(place, row["lifecycle"].as_str().unwrap().to_string());
        }
        *self.list.lock().unwrap() = rows;
    }

    fn pick(&self) -> Option<usize> {
        let list = self.list.lock().unwrap();
        let listed: Vec<usize> = match self.wrong {
            Wrong::IgnoresDrains => (0..self.boxes.len()).collect(),
            _ => list
                .iter()
                .filter(|(_, lifecycle)| *lifecycle == "Ready")
                .map(|(place, _)| *place)
                .collect(),
        };
        match self.wrong {
            Wrong::AllToTheNewest => listed.last().copied(),
            _ => listed
                .get(self.next.fetch_add(1, Ordering::Relaxed) % listed.len().max(1))
                .copied(),
        }
    }

    fn serve(&self, client: TcpStream) -> std::io::Result<()> {
        client.set_nodelay(true)?;
        let mut out = client.try_clone()?;
        let mut lines = BufReader::new(client);
        let mut first = String::new();
        lines.read_line(&mut first)?;
        if first == "PING\r\n" {
            return out.write_all(b"PONG\r\n");
        }
        // A client that left before it spoke; a panic over it would hold all others up while its
        // trace is written.
        let Some((_, rest)) = first.split_once(",d=") else {
            return Ok(());
        };
        let wait = rest.split(',').next().unwrap().parse().unwrap();
        let wait = std::time::Duration::from_millis(wait);
        match self.wrong {
            Wrong::NeverAnswers => {
                thread::sleep(wait * 3);
                return Ok(());
            }
            Wrong::EndsUnanswered => return Ok(()),
            Wrong::AnswersTwice => return out.write_all(b"BUSY 100\r\nERR\r\n"),
            Wrong::AnswersLate => {
                thread::sleep(wait + std::time::Duration::from_millis(150));
                return out.write_all(b"BUSY\r\n");
            }
            Wrong::KeepsBack => {
                thread::sleep(wait - std::time::Duration::from_millis(60));
                return out.write_all(b"BUSY\r\n");
            }
            _ => {}
        }
        // One that failed is dialled again elsewhere, as often as the wait allows; a right relay of
        // once-only or referenced sessions does not.
        let again = matches!(
            self.wrong,
            Wrong::DialsOnceOnlyAgain | Wrong::RepeatsElsewhere | Wrong::RepeatsLate
        );
        let mut tries = if again { 2 } else { 1 };
        let (mut dial, mut words) = loop {
            let Some(place) = self.pick() else {
                return out.write_all(b"BUSY\r\n");
            };
            let line = if self.wrong == Wrong::OwnLine {
                "OPEN me please\r\n"
            } else {
                &first
            };
            let Ok(mut dial) = TcpStream::connect(self.boxes[place]) else {
                return out.write_all(b"BUSY\r\n");
            };
            dial.set_nodelay(true)?;
            dial.set_read_timeout(Some(wait / 3))?;
            // A box may have reset it by now: that is a failed try, and its client is answered.
            let sent = dial.write_all(line.as_bytes());
            if self.wrong == Wrong::TwoAtOnce {
                let mut other = TcpStream::connect(self.boxes[self.pick().unwrap()])?;
                other.write_all(line.as_bytes())?;
                thread::sleep(std::time::Duration::from_millis(100));
            }
            let mut words = BufReader::new(dial.try_clone()?);
            let mut word = String::new();
            let heard = sent.and_then(|()| words.read_line(&mut word));
            if heard.is_ok() && word.starts_with("UP") {
                out.write_all(word.as_bytes())?;
                break (dial, words);
            }
            drop((dial, words));
            tries -= 1;
            if tries == 0 {
                let busy = word.starts_with("BUSY") || self.wrong == Wrong::RefusesOnceOnly;
                return out.write_all(if busy { b"BUSY\r\n" } else { b"ERR\r\n" });
            }
            if self.wrong == Wrong::RepeatsLate {
                thread::sleep(std::time::Duration::from_millis(250));
            }
        };
        dial.set_read_timeout(None)?;
        let (wrong, mut to_client, closes) =
            (self.wrong, out.try_clone()?, lines.get_ref().try_clone()?);
        let began = std::time::Instant::now();
        let down = thread::spawn(move || {
            let mut line = String::new();
            while matches!(words.read_line(&mut line), Ok(1..)) {
                match wrong {
                    Wrong::CutsOff if began.elapsed() > std::time::Duration::from_millis(600) => {
                        break;
                    }
                    Wrong::HoldsLines => thread::sleep(std::time::Duration::from_millis(1_300)),
                    Wrong::ChangesLines => line = line.replace("M ", "N "),
                    _ => {}
                }
                let _ = to_client.write_all(line.as_bytes());
                line.clear();
            }
            if wrong == Wrong::LeavesOrphans {
                thread::sleep(std::time::Duration::from_millis(2_500));
            }
            let _ = closes.shutdown(Shutdown::Both);
        });
        let mut line = String::new();
        while matches!(lines.read_line(&mut line), Ok(1..)) {
            dial.write_all(line.as_bytes())?;
            line.clear();
        }
        let _ = dial.shutdown(Shutdown::Write);
        let _ = down.join();
        Ok(())
    }
}

/// A run of one little relay.
pub struct Scene {
    pub wrong: Wrong,
    pub effect: Idempotency,
    pub boxes: usize,
    /// Zones of boxes, in turn.
    pub zones: &'static [&'static str],
    /// What is cued at the start, and so long after it.
    pub cues: Vec<(u64, BackendCommand)>,
    pub relays: usize,
    pub a_second: f64,
    pub length_ms: u64,
}

impl Scene {
    pub fn of(wrong: Wrong) -> Scene {
        Scene {
            wrong,
            effect: Idempotency::Idempotent,
            boxes: 3,
            zones: &["a"],
            cues: Vec::new(),
            relays: 1,
            a_second: 20.0,
            length_ms: 2_500,
        }
    }

    pub fn run(&self) -> (CheckResult, Vec<RecordedEvent>) {
        let (tape, mut reel) = event_recorder();
        let clock = Stopwatch::start();
        let cold = WarmUp {
            initial_share: 0.3,
            duration: Duration::from_millis(9_000),
            overload_factor: 3.0,
            overload_window: Duration::from_millis(3_000),
            turnover_time: Duration::from_millis(9_000),
        };
        let make = BackendCapacity {
            full_load: 40.0,
            max_sessions: 200,
            setup_time: Duration::from_millis(1),
            group_load: 0.0,
            warm_up: cold,
        };
        let plan = |number: usize| BackendSpec {
            capacity: make,
            zone: self.zones[number % self.zones.len()].into(),
            cell: 0,
            initially_running: true,
        };
        let boxes: Vec<BackendSpec> = (0..self.boxes).map(plan).collect();
        let places = boxes
            .iter()
            .map(|plan| (plan.zone.clone(), plan.cell))
            .collect();
        let ground = BackendPlan {
            backends: boxes,
            relays: self.relays,
            announcement_delay: (Duration::ZERO, Duration::from_millis(10)),
            setup_store: None,
            report_interval: Duration::from_millis(200),
            reports_load: true,
            seed: 1,
        };
        let yard = SimulatedBackends::open(ground, clock, tape.clone()).unwrap();
        let kind = ClientProfile {
            name: "k".into(),
            share: 1.0,
            answer_timeout: Duration::from_millis(600),
            handshake_target: Duration::from_millis(200),
            message_target: Duration::from_millis(50),
            load: (0.5, 1.0),
            mean_lifetime: Duration::from_millis(1_500),
            priority_weight: 1.0,
        };
        let from = Instant::from_micros(clock.now().as_micros() + 100_000);
        let traffic = Traffic {
            profiles: vec![kind],
            rate: vec![(from, self.a_second)],
            bursts: Vec::new(),
            keys: 50,
            groups: None,
            retries: 0,
            heeds_retry_after: 1.0,
            backoff: Duration::from_millis(50),
            reconnect_delay: (Duration::from_millis(50), Duration::from_millis(100)),
            impatient_share: 0.0,
            message_interval: Duration::from_millis(300),
        };
        let until = from + Duration::from_millis(self.length_ms);
        let mut doors = Vec::new();
        let mut littles = Vec::new();
        for (number, agent) in yard.agent_addresses.iter().enumerate() {
            let (at, little) = little_relay(self.wrong, *agent, yard.addresses.clone());
            doors.push(RelayEndpoint {
                address: at,
                relay: Some(RelayIndex(number as u16)),
                enabled: true,
            });
            littles.push(little);
        }
        let arrivals = (1..).zip(arrivals(&traffic, until, 3)).collect();
        let bill = LoadPlan {
            traffic,
            arrivals,
            end: until,
            endpoints: doors,
            distribution: ClientDistribution::RoundRobin,
            seed: 2,
        };
        let crowd = LoadGenerator::open(bill, clock, tape.clone()).unwrap();
        let mut cues = self.cues.clone();
        cues.sort_by_key(|(at, _)| *at);
        for (at, cue) in cues {
            sleep_until(clock, from + Duration::from_millis(at));
            yard.event_loop.command(cue);
        }
        sleep_until(clock, until);
        crowd.command(LoadCommand::Finish);
        let idle = |seen: &Observation| matches!(seen, Observation::Note { text } if text == ALL_CLIENTS_GONE);
        assert!(reel.wait_for(LONG, idle), "clients stay");
        crowd.close();
        yard.event_loop.close();
        littles
            .iter()
            .for_each(|little| little.over.store(true, Ordering::Relaxed));
        let entries = reel.into_sorted();
        let law = PlatformRules {
            idempotency: vec![self.effect],
            hedged: vec![false],
            drain_grace: Duration::from_millis(500),
            backend_locations: places,
        };
        (check_invariants(&entries, &law), entries)
    }
}

/// The script's time is the run's time: this is no wait for something to have happened.
fn sleep_until(clock: Stopwatch, at: Instant) {
    thread::sleep(std::time::Duration::from_micros(
        at.duration_since(clock.now()).as_micros(),
    ));
}

pub const ALL: [BackendIndex; 3] = [BackendIndex(0), BackendIndex(1), BackendIndex(2)];
