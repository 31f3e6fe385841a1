//! A front that writes down what it is asked, and a small deployment to ask about.
#![allow(dead_code, reason = "each file of tests uses a part of it")]
use thistlecroft::balance::{BASE, CAP, COOL_DOWN, PATIENCE, Relay};
use thistlecroft::deployment::{ColdStart, Deployment, Effect, Route};
use thistlecroft::front::{Arrival, Ending, Front, ListScope, Listing, Report, Standing, Verdict};
use thistlecroft::ids::{BackendId, CellId, RouteId, SessionId, ZoneId};
use thistlecroft::time::{Duration, Instant};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Asked {
    Dial(u32, u32, Duration),
    Withdraw(u32, u32),
    Refuse(u32, Option<Duration>),
    TearDown(u32),
    SendAway(u32),
    Probe(u32),
    Subscribe,
    Release(u32),
}

#[derive(Default)]
pub struct Notebook {
    pub asked: Vec<Asked>,
    wakes: Vec<Instant>,
}

impl Front for Notebook {
    fn dial(&mut self, session: SessionId, backend: BackendId, give_up_after: Duration) {
        self.asked
            .push(Asked::Dial(session.0, backend.0, give_up_after));
    }
    fn withdraw(&mut self, session: SessionId, dial: u32) {
        self.asked.push(Asked::Withdraw(session.0, dial));
    }
    fn refuse(&mut self, session: SessionId, retry_after: Option<Duration>) {
        self.asked.push(Asked::Refuse(session.0, retry_after));
    }
    fn tear_down(&mut self, session: SessionId) {
        self.asked.push(Asked::TearDown(session.0));
    }
    fn send_away(&mut self, session: SessionId) {
        self.asked.push(Asked::SendAway(session.0));
    }
    fn probe(&mut self, backend: BackendId) {
        self.asked.push(Asked::Probe(backend.0));
    }
    fn wake(&mut self, at: Instant) {
        self.wakes.push(at);
    }
    fn subscribe(&mut self) {
        self.asked.push(Asked::Subscribe);
    }
    fn release(&mut self, session: SessionId) {
        self.asked.push(Asked::Release(session.0));
    }
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn deployment(effect: Effect) -> Deployment {
    let row = Route {
        handshake_target: ms(300),
        effect,
        connect_timeout: ms(50),
        max_dials: 3,
        longest_retry_after: ms(600_000),
        utility: 1.0,
        patience: PATIENCE,
        base: BASE,
        cap: CAP,
        cool_down: COOL_DOWN,
        ..Route::default()
    };
    Deployment {
        me: 0,
        relays: 1,
        zone: ZoneId(0),
        tick: ms(2),
        routes: vec![row],
        shortest_target: ms(50),
        notes: true,
        cold: ColdStart {
            start_share: 0.25,
            warm_up: ms(10_000),
            factor: 4.0,
            window: ms(2_000),
        },
        ration: None,
        ask_within: None,
        connect_timeout: ms(50),
        may_withdraw: true,
        two_dials: false,
        may_probe: true,
        tells_loads: true,
        tells_retry_after: true,
        crossing_price: 0.0,
        move_price: 0.0,
        probe_price: 0.0,
        groups: true,
        stop_within: ms(3_700),
    }
}

/// The same with another figure in its row.
pub fn with_row(change: impl Fn(&mut Route), mut deployment: Deployment) -> Deployment {
    deployment.routes.iter_mut().for_each(change);
    deployment
}

pub fn arrival(key: u64, group: u64, dial_timeout: Duration) -> Arrival {
    let some = |value: u64| (value > 0).then_some(value);
    Arrival {
        route: RouteId(0),
        key: some(key),
        group: some(group),
        dial_timeout,
    }
}

pub fn row(backend: u32, standing: Standing, up_since: Option<Instant>) -> Listing {
    // Even numbers are in zone 0, odd ones in zone 1, cells hold four.
    let (zone, cell) = (ZoneId((backend % 2) as u16), CellId((backend / 4) as u16));
    Listing {
        backend: BackendId(backend),
        mark: u64::from(backend) * 7919,
        zone,
        cell,
        standing,
        weight: 1.0,
        up_since,
    }
}

pub fn rows(count: u32) -> Vec<Listing> {
    (0..count)
        .map(|backend| row(backend, Standing::Ready, None))
        .collect()
}

/// A relay with its notebook and the time it has reached.
pub struct Bench {
    pub relay: Relay,
    pub book: Notebook,
    pub now: Instant,
}

impl Bench {
    pub fn new(deployment: Deployment, list: &[Listing]) -> Bench {
        Bench::seeded(deployment, 7, list)
    }

    pub fn seeded(deployment: Deployment, seed: u64, list: &[Listing]) -> Bench {
        let (now, mut book) = (Instant::from_micros(100_000_000), Notebook::default());
        let mut relay = Relay::new(deployment, seed, now, &mut book);
        relay.listed(ListScope::Cached, list);
        Bench { relay, book, now }
    }

    pub fn pass(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some(next) = self
            .book
            .wakes
            .iter()
            .copied()
            .filter(|&at| at <= until)
            .min()
        {
            self.book.wakes.retain(|&at| at > next);
            self.now = self.now.max(next);
            self.relay.woken(self.now, &mut self.book);
        }
        self.now = until;
    }

    pub fn arrive(&mut self, id: u32, arrival: Arrival) -> Option<(u32, Duration)> {
        self.relay
            .arrived(self.now, SessionId(id), arrival, &mut self.book);
        self.dials(id).last().copied()
    }

    pub fn inherit(&mut self, id: u32, backend: u32) {
        let (id, at) = (SessionId(id), BackendId(backend));
        self.relay
            .inherit(self.now, id, at, arrival(0, 0, ms(0)), &mut self.book);
    }

    pub fn stand(&mut self, id: u32, dial: u32) {
        self.relay
            .ready(self.now, SessionId(id), dial, &mut self.book);
    }

    pub fn end(&mut self, id: u32, dial: u32, verdict: Verdict, over: bool) {
        let ending = Ending {
            dial,
            verdict,
            over,
            report: Report::default(),
        };
        self.relay
            .ended(self.now, SessionId(id), ending, &mut self.book);
    }

    pub fn report(&mut self, backend: u32, connections: Option<f64>, load: Option<f64>) {
        let report = Report { connections, load };
        self.relay
            .probed(self.now, BackendId(backend), Verdict::Ok, report);
    }

    /// The backends that a session was dialled at, with the time given to each dial.
    pub fn dials(&self, id: u32) -> Vec<(u32, Duration)> {
        let dial = |asked: &Asked| match asked {
            Asked::Dial(session, backend, span) if *session == id => Some((*backend, *span)),
            _ => None,
        };
        self.book.asked.iter().filter_map(dial).collect()
    }

    /// What a session was finally told, as often as it was told.
    pub fn answers(&self, id: u32) -> Vec<Asked> {
        let about =
            |asked: &&Asked| matches!(asked, Asked::Refuse(s, _) | Asked::TearDown(s) if *s == id);
        self.book.asked.iter().filter(about).copied().collect()
    }

    pub fn sent_away(&self) -> usize {
        self.book
            .asked
            .iter()
            .filter(|asked| matches!(asked, Asked::SendAway(_)))
            .count()
    }
}
