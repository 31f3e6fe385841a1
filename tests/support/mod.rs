//! A front that writes down what it is asked, and a small deployment to ask about.
#![allow(dead_code, reason = "each file of tests uses a part of it")]
use thistlecroft::attempt::{Arrival, AttemptEnd, AttemptOutcome, LoadReport};
use thistlecroft::balancer::{
    ATTEMPT_TIMEOUT_FACTOR, BACKOFF_BASE, BACKOFF_CAP, Balancer, STABLE_AFTER,
};
use thistlecroft::deployment::{Deployment, Idempotency, Route, SlowStart};
use thistlecroft::driver::Driver;
use thistlecroft::endpoint::{Endpoint, EndpointState, UpdateKind};
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

impl Driver for Notebook {
    fn connect(&mut self, session: SessionId, backend: BackendId, give_up_after: Duration) {
        self.asked
            .push(Asked::Dial(session.0, backend.0, give_up_after));
    }
    fn cancel(&mut self, session: SessionId, dial: u32) {
        self.asked.push(Asked::Withdraw(session.0, dial));
    }
    fn reject(&mut self, session: SessionId, retry_after: Option<Duration>) {
        self.asked.push(Asked::Refuse(session.0, retry_after));
    }
    fn fail(&mut self, session: SessionId) {
        self.asked.push(Asked::TearDown(session.0));
    }
    fn migrate(&mut self, session: SessionId) {
        self.asked.push(Asked::SendAway(session.0));
    }
    fn check_health(&mut self, backend: BackendId) {
        self.asked.push(Asked::Probe(backend.0));
    }
    fn wake_at(&mut self, at: Instant) {
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

pub fn deployment(effect: Idempotency) -> Deployment {
    let row = Route {
        handshake_objective: ms(300),
        idempotency: effect,
        connect_timeout: ms(50),
        max_attempts: 3,
        max_retry_after: ms(600_000),
        priority_weight: 1.0,
        attempt_timeout_factor: ATTEMPT_TIMEOUT_FACTOR,
        backoff_base: BACKOFF_BASE,
        backoff_cap: BACKOFF_CAP,
        stable_after: STABLE_AFTER,
        ..Route::default()
    };
    Deployment {
        relay_index: 0,
        relay_count: 1,
        zone: ZoneId(0),
        tick: ms(2),
        routes: vec![row],
        message_objective: ms(50),
        observes_latency: true,
        slow_start: SlowStart {
            initial_share: 0.25,
            warm_up: ms(10_000),
            overload_factor: 4.0,
            window: ms(2_000),
        },
        retry_budget: None,
        poll_within: None,
        connect_timeout: ms(50),
        may_cancel: true,
        may_hedge: false,
        may_check_health: true,
        reports_load: true,
        sends_retry_after: true,
        cross_zone_cost: 0.0,
        migration_cost: 0.0,
        health_check_cost: 0.0,
        groups_share_work: true,
        shutdown_timeout: ms(3_700),
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
        client_key: some(key),
        group: some(group),
        timeout: dial_timeout,
    }
}

pub fn row(backend: u32, standing: EndpointState, up_since: Option<Instant>) -> Endpoint {
    // Even numbers are in zone 0, odd ones in zone 1, cells hold four.
    let (zone, cell) = (ZoneId((backend % 2) as u16), CellId((backend / 4) as u16));
    Endpoint {
        backend: BackendId(backend),
        stable_hash: u64::from(backend) * 7919,
        zone,
        cell,
        state: standing,
        weight: 1.0,
        started_at: up_since,
    }
}

pub fn rows(count: u32) -> Vec<Endpoint> {
    (0..count)
        .map(|backend| row(backend, EndpointState::Ready, None))
        .collect()
}

/// A relay with its notebook and the time it has reached.
pub struct Bench {
    pub relay: Balancer,
    pub book: Notebook,
    pub now: Instant,
}

impl Bench {
    pub fn new(deployment: Deployment, list: &[Endpoint]) -> Bench {
        Bench::seeded(deployment, 7, list)
    }

    pub fn seeded(deployment: Deployment, seed: u64, list: &[Endpoint]) -> Bench {
        let (now, mut book) = (Instant::from_micros(100_000_000), Notebook::default());
        let mut relay = Balancer::new(deployment, seed, now, &mut book);
        relay.update_endpoints(UpdateKind::CachedSnapshot, list);
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
            self.relay.wake(self.now, &mut self.book);
        }
        self.now = until;
    }

    pub fn arrive(&mut self, id: u32, arrival: Arrival) -> Option<(u32, Duration)> {
        self.relay
            .session_arrived(self.now, SessionId(id), arrival, &mut self.book);
        self.dials(id).last().copied()
    }

    pub fn inherit(&mut self, id: u32, backend: u32) {
        let (id, at) = (SessionId(id), BackendId(backend));
        self.relay
            .session_inherited(self.now, id, at, arrival(0, 0, ms(0)), &mut self.book);
    }

    pub fn stand(&mut self, id: u32, dial: u32) {
        self.relay
            .attempt_ready(self.now, SessionId(id), dial, &mut self.book);
    }

    pub fn end(&mut self, id: u32, dial: u32, verdict: AttemptOutcome, over: bool) {
        let ending = AttemptEnd {
            attempt: dial,
            outcome: verdict,
            is_answered: over,
            report: LoadReport::default(),
        };
        self.relay
            .attempt_ended(self.now, SessionId(id), ending, &mut self.book);
    }

    pub fn report(&mut self, backend: u32, connections: Option<f64>, load: Option<f64>) {
        let report = LoadReport { connections, load };
        self.relay
            .health_checked(self.now, BackendId(backend), AttemptOutcome::Ok, report);
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
