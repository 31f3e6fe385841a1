//! All decisions of a relay. A driver (`driver.rs`) calls the methods of `Balancer` as things happen,
//! each with the present moment and itself; `Balancer` answers by calling the driver's `Driver` before
//! it returns. A call may be late or repeated; a session or backend unknown by then is passed over.
//! `docs/design.md` says which part follows the design and under what condition each departure
//! acts. Order of reading: open settings, state by lifetime, events, dialling, picking.
mod session_state;

use self::session_state::{Backend, Dial, Entry, Errand, Pool, Session, State};
use crate::attempt::{Arrival, AttemptEnd, AttemptOutcome, LoadReport};
use crate::deployment::{DeduplicationScope, Deployment, Idempotency, Route};
use crate::driver::Driver;
use crate::endpoint::{Endpoint, EndpointState, UpdateKind};
use crate::failure_counts::{ClientFailures, FailureCounts};
use crate::ids::{BackendId, RouteId, SessionId, rendezvous_hash};
use crate::random::Rng;
use crate::route_limits::{ExtraAttempt, RouteLimits};
use crate::snapshot::{BalancerSnapshot, EndpointStatistics};
use crate::time::{Duration, Instant};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

// The design's open settings; the runs behind them are in docs/results.md.
// Those of a row whose route states none.
pub const BACKOFF_BASE: Duration = Duration::from_millis(1_000); // first delay after a failure, before jitter
pub const BACKOFF_CAP: Duration = Duration::from_millis(30_000); // no client is told to stay away longer
pub const STABLE_AFTER: Duration = Duration::from_millis(5_000); // a connection that drops sooner was never of use
pub const ATTEMPT_TIMEOUT_FACTOR: f64 = 4.0; // times the set-up time of late: a dial as slow as that is lost
// Of all.
const HEAR_EVERY: Duration = Duration::from_millis(2_000); // each backend, at most: reports are renewed about as often
const PROBE_AT_LEAST: Duration = Duration::from_millis(5_000); // the design's slowest
const PROBES_WORTH: f64 = 0.005; // the part of the result that probes may cost
const HASTE: f64 = 0.25; // of the time to the next probe, where a session is refused for want of room
const SPENT_OVER: Duration = Duration::from_millis(10_000); // what sessions pay for probes, so that a rush is no burst
const POOL_AGE: Duration = Duration::from_millis(30_000); // an older report counts as none
const POOL_AGE_LISTED: Duration = Duration::from_millis(10_000); // the same where the list's weights tell of loads
// Ours.
const REPORT_LAG: Duration = Duration::from_millis(1_000); // reports may be so old when they come
const EACH_MOST: f64 = 0.1; // of a backend for one connection: a fresh relay knows few
const OPENING: f64 = 0.5; // of a backend for a group new to it, against spilling groups over the fleet
const OPENING_COUNT: f64 = 15.0; // the same in connections, where only those are told
const MET_DOUBT: f64 = 20.0; // a group counts as one session in so many until more is known of it
const HELD_FOR_HOME: usize = 20; // connections: a relay with fewer knows too little of groups to move any
const ROOMY: f64 = 0.3; // load below which the own zone takes crossing connections back
const HOT: f64 = 0.6; // load from which a backend's messages begin to be late
const FULL: f64 = 0.8; // load from which nothing is placed and some is sent away: it may rise between reports
const YIELDS: f64 = 0.2; // of a backend, left free by what is worth least for its load
const LEARNT: f64 = 0.05; // of a route's usual load by each session
const DRAIN: f64 = 0.5; // load down to which, where work has piled up
const SETTLED: Duration = Duration::from_millis(2_000); // relief moves nobody sooner: no report holds his load yet
const STRIKES: u32 = 2; // failures in a row that eject: a single one may be chance
const MOST_OUT: usize = 2; // one backend in so many may be ejected at a time
const OWED: u32 = 2; // probes answered in a row bring a backend back; each time twice as many
const TRIAL: u64 = 20; // sessions, of which one tries what is out where nothing may be probed
const NOTED: f64 = 1.0 / 3.0; // of the shortest target: later messages are noted, and show a hot backend
const NOTE_AGE: Duration = Duration::from_millis(2_000); // notes on late messages come once a second
const SILENT: Duration = Duration::from_millis(1_000); // no line back for so long: a pause is over by then
const STOOD_FIRST: f64 = 3.0; // warm-ups in which one departure is taken as seen at first
const SPREAD: f64 = 3.0; // of the turns at cold backends: all that have one may use it after all
const KEPT: f64 = 0.99; // of what is counted of late, each housekeeping
const HOUSEKEEPING: Duration = Duration::from_millis(500); // often enough to act on a report while it is fresh

/// One instance, from its start to its end.
#[derive(Default)]
pub struct Balancer {
    deployment: Deployment,
    chance: Rng,
    routes: Vec<Arc<Route>>,
    limits: RouteLimits,
    sessions: BTreeMap<SessionId, Session>,
    /// No session waits for longer, once the process is to stop.
    until: Option<Instant>,
    failure_counts: FailureCounts,
    backends: BTreeMap<BackendId, Backend>,
    /// The process before still serves.
    beside: bool,
    /// Taken out by hand, since when: no list and no start puts them back.
    banned: BTreeMap<BackendId, Instant>,
    errands: BTreeSet<(Instant, Errand)>,
    /// Probes that the sessions so far pay for and that are not yet sent.
    probes_due: f64,
    probed: Instant,
    next_probe: Instant,
    failed_calls: u32,
    /// How many sessions of each group were met of late, and of all groups.
    met: BTreeMap<u64, f64>,
    met_all: f64,
    /// How long connections stood here, all together, and how many of them left by themselves, of
    /// late.
    stood: f64,
    left_alone: f64,
    /// Sessions met within about a window of the cold rule.
    lately: f64,
    /// How long a set-up takes of late, over all backends.
    set_up: Duration,
    /// The load that a session of each route usually asks for.
    usual: BTreeMap<RouteId, f64>,
}

impl Balancer {
    pub fn new(
        deployment: Deployment,
        seed: u64,
        now: Instant,
        driver: &mut dyn Driver,
    ) -> Balancer {
        let mut relay = Balancer {
            chance: Rng::from_seed(seed),
            ..Balancer::default()
        };
        relay.reconfigure(deployment);
        if relay.deployment.poll_within.is_some() {
            driver.subscribe();
        }
        relay.next_probe = now + HEAR_EVERY * relay.chance.unit_f64() * 0.1;
        relay.plan(relay.next_probe, Errand::Probe, driver);
        let phase = HOUSEKEEPING * relay.chance.unit_f64();
        relay.plan(now + phase, Errand::Housekeeping, driver);
        relay
    }

    /// Other settings and routes, for the sessions that come from now on.
    pub fn reconfigure(&mut self, deployment: Deployment) {
        self.routes = deployment.routes.iter().copied().map(Arc::new).collect();
        self.limits.set_retry_budget(deployment.retry_budget);
        self.usual.clear(); // rows may stand for other listeners now
        self.deployment = deployment;
    }

    // ---- the list ----

    pub fn update_endpoints(&mut self, scope: UpdateKind, rows: &[Endpoint]) {
        if scope != UpdateKind::Delta {
            // Missing from a complete list means removed, without a line that says so.
            let named: BTreeSet<BackendId> = rows.iter().map(|row| row.backend).collect();
            for (_, backend) in self
                .backends
                .iter_mut()
                .filter(|(at, _)| !named.contains(at))
            {
                backend.listing.state = EndpointState::Removed;
            }
        }
        for row in rows {
            let backend = self
                .backends
                .entry(row.backend)
                .or_insert_with(|| Backend::new(*row));
            if backend.listing.started_at != row.started_at {
                backend.renew(*row);
            }
            backend.listing = *row;
        }
        if scope != UpdateKind::CachedSnapshot {
            self.failed_calls = 0;
        }
    }

    /// A call to discovery failed or the subscription broke. Full jitter keeps relays from meeting,
    /// well within the span after which they would be deemed to know what they never heard.
    pub fn discovery_failed(&mut self, now: Instant, driver: &mut dyn Driver) {
        let Some(within) = self.deployment.poll_within else {
            return;
        };
        let wait = self
            .jitter(self.failed_calls, BACKOFF_BASE, BACKOFF_CAP)
            .min(within * 0.5);
        self.failed_calls += 1;
        self.plan(now + wait, Errand::Subscribe, driver);
    }

    /// An operator takes a backend out, or puts it back, restarted: nothing that was known of it
    /// holds.
    pub fn set_banned(&mut self, now: Instant, id: BackendId, out: bool) {
        if out {
            self.banned.entry(id).or_insert(now);
        } else if let Some(since) = self.banned.remove(&id)
            && let Some(backend) = self.backends.get_mut(&id)
        {
            backend.renew(backend.listing);
            backend.returned = Some((since, now));
        }
    }

    /// What the next process of this relay is to know.
    pub fn snapshot(&self) -> BalancerSnapshot {
        let sights = self
            .backends
            .iter()
            .map(|(&id, at)| (id, at.sight))
            .collect();
        BalancerSnapshot {
            endpoints: sights,
            connect_time: self.set_up,
            connection_seconds: self.stood,
            departures: self.left_alone,
        }
    }

    /// What the process before knew. `beside`: it still serves, and turns at cold backends are its
    /// alone.
    pub fn restore(&mut self, memory: &BalancerSnapshot, beside: bool) {
        self.beside = beside;
        if beside {
            self.limits.predecessor_started();
        }
        (self.set_up, self.stood, self.left_alone) = (
            memory.connect_time,
            memory.connection_seconds,
            memory.departures,
        );
        for (id, told) in &memory.endpoints {
            let Some(Backend { sight, .. }) = self.backends.get_mut(id) else {
                continue;
            };
            let newer = sight.last_report.map(|(at, _)| at) >= told.last_report.map(|(at, _)| at);
            let EndpointStatistics {
                last_report: heard,
                weight_at_report: weight_heard,
                ..
            } = if newer { *sight } else { *told };
            let (strikes, ejections) = (
                sight.consecutive_failures.max(told.consecutive_failures),
                sight.ejections.max(told.ejections),
            );
            let (owed, cold_turn) = (
                sight.pending_health_checks.max(told.pending_health_checks),
                sight.slow_start_use.max(told.slow_start_use),
            );
            *sight = EndpointStatistics {
                last_report: heard,
                weight_at_report: weight_heard,
                consecutive_failures: strikes,
                ejections,
                pending_health_checks: owed,
                slow_start_use: cold_turn,
            };
        }
    }

    /// The process before has gone.
    pub fn predecessor_ended(&mut self, now: Instant) {
        self.beside = false;
        self.limits.predecessor_ended(now);
    }

    // ---- sessions ----

    pub fn session_arrived(
        &mut self,
        now: Instant,
        id: SessionId,
        arrival: Arrival,
        driver: &mut dyn Driver,
    ) {
        self.limits
            .record_arrival(now, &self.routes[usize::from(arrival.route.0)]);
        if self.enter(now, id, arrival) {
            self.dial(now, id, driver)
        } else {
            self.refuse(now, id, driver)
        }
    }

    /// A connection that already runs through this relay as it starts.
    pub fn session_inherited(
        &mut self,
        now: Instant,
        id: SessionId,
        at: BackendId,
        of: Arrival,
        driver: &mut dyn Driver,
    ) {
        self.enter(now, id, of);
        // It has stood for longer; a fresh cool-down would shield an overload at start from relief.
        let long_ago = now - self.sessions[&id].row.stable_after;
        self.sessions
            .entry(id)
            .and_modify(|session| session.dials = 1);
        let dial = Dial {
            number: 0,
            backend: at,
            sent: long_ago,
        };
        self.save_for_probes(now, driver);
        self.turn(id, State::Ready(dial, long_ago), driver);
    }

    /// True where its route has room for one more.
    fn enter(&mut self, now: Instant, id: SessionId, arrival: Arrival) -> bool {
        self.meet(arrival.group);
        self.lately += 1.0;
        let row = self.routes[usize::from(arrival.route.0)].clone();
        let room = self.limits.open_session(&row);
        self.sessions.insert(id, Session::new(arrival, row, now));
        room
    }

    fn meet(&mut self, group: Option<u64>) {
        if let Some(group) = group {
            *self.met.entry(group).or_default() += 1.0;
            self.met_all += 1.0;
        }
    }

    pub fn attempt_ready(
        &mut self,
        now: Instant,
        id: SessionId,
        number: u32,
        driver: &mut dyn Driver,
    ) {
        self.lead(id, number);
        let Some(session) = self.sessions.get(&id) else {
            return;
        };
        let State::Dialling(dial) = session.state else {
            return;
        };
        if dial.number != number {
            return;
        }
        let (row, key) = (session.row.clone(), session.arrival.client_key);
        self.drop_second(id, driver);
        if let Some(key) = key {
            self.client(key, now).clears_at = Some(now + row.stable_after);
        }
        let clear = |at: &mut Backend| {
            (
                at.sight.consecutive_failures,
                at.sight.ejections,
                at.sight.pending_health_checks,
            ) = (0, 0, 0)
        };
        self.backends.entry(dial.backend).and_modify(clear);
        self.learn_set_up(now.duration_since(dial.sent));
        self.limits
            .record_connect_time(&row, now.duration_since(dial.sent));
        self.save_for_probes(now, driver);
        self.turn(id, State::Ready(dial, now), driver);
    }

    /// Of two dials that are out the one of that number becomes the one of the session's state.
    fn lead(&mut self, id: SessionId, number: u32) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if let (State::Dialling(dial), Some(second)) = (session.state, session.second)
            && second.number == number
        {
            (session.state, session.second) = (State::Dialling(second), Some(dial));
        }
    }

    pub fn attempt_ended(
        &mut self,
        now: Instant,
        id: SessionId,
        ending: AttemptEnd,
        driver: &mut dyn Driver,
    ) {
        self.lead(id, ending.attempt);
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let AttemptEnd {
            attempt: number,
            outcome: verdict,
            is_answered: over,
            report,
        } = ending;
        let answered = over || verdict == AttemptOutcome::Ok;
        match session.state {
            State::Dialling(dial) if dial.number == number => {
                session.ran = session
                    .ran
                    .or(verdict.may_have_run().then_some((dial.backend, dial.sent)));
                session.last_tried = Some(dial.backend);
                if verdict == AttemptOutcome::NotSent && number > 0 {
                    self.limits.refund(dial.sent);
                }
                self.heard(now, dial.backend, report);
                if !matches!(
                    verdict,
                    AttemptOutcome::Ok | AttemptOutcome::Cancelled | AttemptOutcome::NotSent
                ) {
                    self.strike(dial.backend, verdict);
                }
                if verdict == AttemptOutcome::Saturated {
                    self.overloaded(now, dial.backend);
                }
                if verdict == AttemptOutcome::TimedOut {
                    self.learn_set_up(now.duration_since(dial.sent) * 2.0);
                }
                if !answered {
                    return self.further(now, id, driver);
                }
                self.drop_second(id, driver);
            }
            State::Ready(dial, since) if dial.number == number => {
                let (key, cool_down) = (session.arrival.client_key, session.row.stable_after);
                self.heard(now, dial.backend, report);
                self.left_alone += f64::from(u8::from(verdict == AttemptOutcome::Ok));
                if verdict == AttemptOutcome::Reset && now.duration_since(since) < cool_down {
                    self.count_failure(now, id);
                } else if let Some(key) = key {
                    // Looked up first: that clears the count if the connection has stood long
                    // enough.
                    self.client(key, now).clears_at = None;
                }
                self.broke(now, dial.backend, verdict == AttemptOutcome::Reset);
                if !answered {
                    return self.finish(id, None, driver);
                }
            }
            State::Settled => {}
            _ => return,
        }
        self.turn(id, State::Over, driver);
    }

    /// A standing connection ended. Where all of several broke at once the backend went down with
    /// them and is cold when it is back, whether or not a list ever tells; one that lived through
    /// it says otherwise.
    fn broke(&mut self, now: Instant, id: BackendId, reset: bool) {
        let Some(backend) = self.backends.get_mut(&id).filter(|_| reset) else {
            return;
        };
        if now.duration_since(backend.broken.0) > HOUSEKEEPING {
            backend.broken = (now, 0);
        }
        backend.broken.1 += 1;
        if backend.open <= 1 && backend.broken.1 >= STRIKES {
            backend.renew(backend.listing);
            backend.returned = Some((now, now));
        } else {
            self.overloaded(now, id);
        }
    }

    /// A backend dropped what stood there or turned a dial away, the one word of no room where no
    /// load is told: it is left alone for the design's delay, by its own count, times the relays,
    /// as each tries it.
    fn overloaded(&mut self, now: Instant, id: BackendId) {
        let wait = BACKOFF_BASE * f64::from(self.deployment.relay_count);
        let Some(&(count, until)) = self.backends.get(&id).map(|at| &at.overloaded) else {
            return;
        };
        let count = if now < until + STABLE_AFTER { count } else { 0 };
        let until = until.max(now + self.jitter(count, wait, BACKOFF_CAP));
        self.backends
            .entry(id)
            .and_modify(|at| at.overloaded = (count + 1, until));
    }

    /// The client has left, or the driver has ended the session.
    pub fn session_left(&mut self, id: SessionId, driver: &mut dyn Driver) {
        let Some(&Session { state, .. }) = self.sessions.get(&id) else {
            return;
        };
        if let (State::Dialling(dial), true) = (state, self.deployment.may_cancel) {
            driver.cancel(id, dial.number);
        }
        self.drop_second(id, driver);
        match state {
            State::Dialling(_) | State::Ready(..) => self.turn(id, State::Settled, driver),
            State::Settled => {}
            State::New | State::Held | State::Over => self.turn(id, State::Over, driver),
        }
    }

    fn drop_second(&mut self, id: SessionId, driver: &mut dyn Driver) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let group = session.arrival.group;
        if let Some(second) = session.second.take() {
            driver.cancel(id, second.number);
            self.hold(second.backend, group, false);
        }
    }

    fn due(&self, session: &Session) -> Instant {
        self.until
            .map_or(session.due, |until| until.min(session.due))
    }

    /// The process is to end. Clients go in even steps, late ones, since the next relay may just
    /// have been stopped itself. No dial may last beyond them.
    pub fn shut_down(&mut self, now: Instant, driver: &mut dyn Driver) {
        let tenth = self.deployment.shutdown_timeout * 0.1;
        self.until = Some(now + tenth * 8.0);
        for step in 5..=9 {
            self.plan(now + tenth * step as f64, Errand::Leave(10 - step), driver);
        }
    }

    fn leave(&mut self, now: Instant, steps: usize, driver: &mut dyn Driver) {
        let states: Vec<_> = self
            .sessions
            .iter()
            .map(|(&id, one)| (id, one.state))
            .collect();
        let standing = states
            .iter()
            .filter(|(_, state)| matches!(state, State::Ready(..)))
            .count();
        let mut part = standing.div_ceil(steps);
        for (id, state) in states {
            match state {
                State::Ready(..) if part > 0 => {
                    part -= 1;
                    self.send_away(id, driver);
                }
                State::Held => self.refuse(now, id, driver),
                State::Dialling(dial) if self.until <= Some(now) => {
                    driver.cancel(id, dial.number);
                    self.drop_second(id, driver);
                }
                _ => {}
            }
        }
    }

    // ---- sights of backends ----

    pub fn health_checked(
        &mut self,
        now: Instant,
        id: BackendId,
        verdict: AttemptOutcome,
        report: LoadReport,
    ) {
        if verdict != AttemptOutcome::Ok {
            return self.strike(id, verdict);
        }
        self.heard(now, id, report);
        if let Some(backend) = self.backends.get_mut(&id) {
            backend.sight.pending_health_checks =
                backend.sight.pending_health_checks.saturating_sub(1);
            backend.sight.consecutive_failures = if backend.sight.pending_health_checks > 0 {
                backend.sight.consecutive_failures
            } else {
                0
            };
        }
    }

    pub fn load_observed(&mut self, id: SessionId, load: f64) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if session.load.replace(load).is_none() {
            let usual = self.usual.entry(session.arrival.route).or_insert(load);
            *usual += (load - *usual) * LEARNT;
        }
    }

    /// The load from which none of a route is placed: the sooner the less it is worth for the load
    /// it usually asks for, beside the best route, so that room goes to whoever makes most of it.
    fn full(&self, route: RouteId) -> f64 {
        let utility = |at: &RouteId| {
            self.routes
                .get(usize::from(at.0))
                .map_or(0.0, |row| row.priority_weight)
        };
        let worth = |(at, usual): (&RouteId, &f64)| utility(at) / usual.max(1e-9);
        let best = self
            .usual
            .iter()
            .map(worth)
            .fold(f64::MIN_POSITIVE, f64::max);
        let own = self.usual.get_key_value(&route).map_or(best, worth);
        FULL - YIELDS * (1.0 - (own / best).cbrt())
    }

    pub fn latency_observed(
        &mut self,
        now: Instant,
        id: SessionId,
        delay: Duration,
        driver: &mut dyn Driver,
    ) {
        let Some(&Session {
            state: State::Ready(dial, _),
            ..
        }) = self.sessions.get(&id)
        else {
            return;
        };
        let (shortest, may_probe) = (
            self.deployment.message_objective,
            self.deployment.may_check_health,
        );
        let Some(backend) = self.backends.get_mut(&dial.backend) else {
            return;
        };
        backend.message_delay = Some((now, delay));
        if delay > shortest * NOTED {
            backend.late_since.get_or_insert(now);
        } else {
            (backend.late_since, backend.untrue) = (None, false);
        }
        // Its last report may be seconds old, and relief waits for a fresh one.
        let stale = backend
            .sight
            .last_report
            .is_none_or(|(at, _)| now.duration_since(at) >= REPORT_LAG);
        let ready = backend.listing.state == EndpointState::Ready
            && !self.banned.contains_key(&dial.backend);
        if may_probe && stale && ready && backend.late_for(shortest, now) {
            driver.check_health(dial.backend);
        }
    }

    /// No line has come back for so long, on sockets: a backend that vanished or hangs ends
    /// nothing.
    pub fn response_overdue(
        &mut self,
        now: Instant,
        id: SessionId,
        waited: Duration,
        driver: &mut dyn Driver,
    ) {
        self.latency_observed(now, id, waited, driver);
        let Some(&Session {
            state: State::Ready(dial, _),
            ..
        }) = self.sessions.get(&id)
        else {
            return;
        };
        if self
            .backends
            .get(&dial.backend)
            .is_some_and(|at| at.sight.pending_health_checks > 0)
        {
            // Two signs that agree. Whoever else stands there would find out only by a line of his
            // own.
            let there = |one: &Session| matches!(one.state, State::Ready(at, _) if at.backend == dial.backend);
            let all = self
                .sessions
                .iter()
                .filter(|(_, one)| there(one))
                .map(|(&id, _)| id);
            all.collect::<Vec<_>>()
                .into_iter()
                .for_each(|id| self.send_away(id, driver));
        } else if waited >= SILENT {
            self.strike(dial.backend, AttemptOutcome::TimedOut);
            self.send_away(id, driver);
        }
    }

    pub fn wake(&mut self, now: Instant, driver: &mut dyn Driver) {
        while let Some(&(at, errand)) = self.errands.first().filter(|(at, _)| *at <= now) {
            self.errands.pop_first();
            match errand {
                Errand::Probe if at != self.next_probe => {} // a sooner one was planned since
                Errand::Probe => self.probe(now, driver),
                Errand::Housekeeping => {
                    self.stood =
                        self.stood * KEPT + self.sessions.len() as f64 * HOUSEKEEPING.as_secs_f64();
                    self.left_alone *= KEPT;
                    let window = self.deployment.slow_start.window.max(HOUSEKEEPING);
                    self.lately *= 1.0 - HOUSEKEEPING.as_secs_f64() / window.as_secs_f64();
                    self.met_all *= KEPT;
                    self.met.values_mut().for_each(|met| *met *= KEPT);
                    self.met.retain(|_, met| *met > 0.1);
                    self.relieve(now, driver);
                    self.bring_home(now, driver);
                    self.failure_counts.remove_expired(now);
                    self.plan(now + HOUSEKEEPING, Errand::Housekeeping, driver);
                }
                Errand::Leave(steps) => self.leave(now, steps, driver),
                Errand::Subscribe => driver.subscribe(),
                Errand::Redial(id) => self.dial(now, id, driver),
                Errand::Second(id, number) => self.second(now, id, number, driver),
            }
        }
    }

    fn plan(&mut self, at: Instant, errand: Errand, driver: &mut dyn Driver) {
        self.errands.insert((at, errand));
        driver.wake_at(at);
    }

    // ---- dialling ----

    /// Every change of a session's state.
    fn turn(&mut self, id: SessionId, next: State, driver: &mut dyn Driver) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let (was, group) = (
            std::mem::replace(&mut session.state, next),
            session.arrival.group,
        );
        if matches!(was, State::Held) {
            self.limits.release_retry(&session.row);
        }
        let on = |state: State| match state {
            State::Dialling(dial) | State::Ready(dial, _) => Some(dial.backend),
            _ => None,
        };
        for (held, more) in [(on(was), false), (on(next), true)] {
            held.into_iter().for_each(|at| self.hold(at, group, more));
        }
        if matches!(next, State::Over)
            && let Some(session) = self.sessions.remove(&id)
        {
            self.limits.close_session(&session.row);
            driver.release(id);
        }
    }

    /// One more connection of a group at a backend, or one less.
    fn hold(&mut self, at: BackendId, group: Option<u64>, more: bool) {
        let Some(backend) = self.backends.get_mut(&at) else {
            return;
        };
        backend.open = if more {
            backend.open + 1
        } else {
            backend.open.saturating_sub(1)
        };
        if let Some(group) = group {
            let members = backend.groups.entry(group).or_default();
            *members = if more {
                *members + 1
            } else {
                members.saturating_sub(1)
            };
            if *members == 0 {
                backend.groups.remove(&group);
            }
        }
    }

    fn dial(&mut self, now: Instant, id: SessionId, driver: &mut dyn Driver) {
        let Some(Session {
            state: State::New | State::Held,
            ..
        }) = self.sessions.get(&id)
        else {
            return;
        };
        self.turn(id, State::New, driver); // what was promised is paid by the dial itself
        let Some(backend) = self.pick(now, id) else {
            self.plan_probe(now, HASTE, driver);
            return self.refuse(now, id, driver);
        };
        let (row, first) = (
            self.sessions[&id].row.clone(),
            self.sessions[&id].dials == 0,
        );
        // Its alarm may have come late, and it may leave as late as its connection may come up.
        let past = !self.allowed(&self.sessions[&id], |_, span, at| {
            now + row.connect_timeout < at + span
        });
        if past || !first && !self.limits.try_spend(now, &row, ExtraAttempt::Retry) {
            return self.refuse(now, id, driver);
        }
        let Some(dial) = self.send(now, id, backend, driver) else {
            return self.finish(id, None, driver);
        };
        self.turn(id, State::Dialling(dial), driver);
        let two = self.deployment.may_hedge && self.deployment.may_cancel; // the one that loses is given up
        let allowed = two && row.idempotency == Idempotency::Idempotent;
        if let Some(long) = self
            .limits
            .hedge_delay(&row)
            .filter(|_| allowed && dial.number + 1 < row.max_attempts)
        {
            self.plan(now + long, Errand::Second(id, dial.number), driver);
        }
    }

    /// A dial goes out; None where no time is left for it.
    fn send(
        &mut self,
        now: Instant,
        id: SessionId,
        at: BackendId,
        driver: &mut dyn Driver,
    ) -> Option<Dial> {
        let session = &self.sessions[&id];
        let left = self
            .due(session)
            .duration_since(now + self.deployment.tick + self.deployment.tick);
        let last = session.dials + 1 >= session.row.max_attempts;
        let patience = session
            .row
            .handshake_objective
            .max(self.set_up * session.row.attempt_timeout_factor);
        let give_up = if last { left } else { left.min(patience) };
        if give_up == Duration::ZERO {
            return None;
        }
        let number = session.dials;
        self.sessions
            .entry(id)
            .and_modify(|session| session.dials += 1);
        let turn = self.cold_turn(now, at);
        if let Some(backend) = self.backends.get_mut(&at) {
            backend.placed.push_back(now);
            backend.sight.slow_start_use = turn.map(|(turn, used)| (turn, used + 1));
        }
        driver.connect(id, at, give_up);
        Some(Dial {
            number,
            backend: at,
            sent: now,
        })
    }

    /// The first dial is slower than most: a second one, to another backend that is warm, as far as
    /// the route's share of them goes. The first to be ready wins.
    fn second(&mut self, now: Instant, id: SessionId, number: u32, driver: &mut dyn Driver) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let (State::Dialling(dial), None) = (session.state, session.second) else {
            return;
        };
        let (row, group) = (session.row.clone(), session.arrival.group);
        if dial.number != number {
            return;
        }
        session.last_tried = Some(dial.backend);
        let other = self
            .pick(now, id)
            .filter(|&at| at != dial.backend && self.cold_turn(now, at).is_none());
        let other = other.filter(|_| self.limits.try_spend(now, &row, ExtraAttempt::Hedge));
        let second = other.and_then(|at| self.send(now, id, at, driver));
        second
            .into_iter()
            .for_each(|second| self.hold(second.backend, group, true));
        self.sessions
            .entry(id)
            .and_modify(|session| session.second = second);
    }

    /// A set-up has failed: the other dial goes on where one is out; else another after the
    /// design's delay, or an answer at once.
    fn further(&mut self, now: Instant, id: SessionId, driver: &mut dyn Driver) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let group = session.arrival.group;
        if let Some(other) = session.second.take() {
            self.hold(other.backend, group, false);
            return self.turn(id, State::Dialling(other), driver);
        }
        let wait = self.count_failure(now, id);
        let (session, row) = (&self.sessions[&id], self.sessions[&id].row.clone());
        let room = row.connect_timeout + self.deployment.tick * 2.0;
        let in_time = now + wait + room < self.due(session) && session.dials < row.max_attempts;
        let repeat_known = self.allowed(session, |_, window, at| now + wait + room < at + window);
        if in_time && repeat_known && self.is_granted(now, id) {
            self.limits.reserve_retry(&row);
            self.turn(id, State::Held, driver);
            self.plan(now + wait, Errand::Redial(id), driver);
        } else {
            self.finish(id, Some(wait), driver);
        }
    }

    /// If the limits on further dials have one for this session: of the first half everyone, of the
    /// second the more the greater its utility and the more of its time is left.
    fn is_granted(&mut self, now: Instant, id: SessionId) -> bool {
        let session = &self.sessions[&id];
        let (row, left) = (session.row.clone(), self.due(session).duration_since(now));
        let most = self.routes.iter().fold(row.priority_weight, |most, row| {
            most.max(row.priority_weight)
        });
        let worth = row.priority_weight / most.max(f64::MIN_POSITIVE) * left.as_secs_f64()
            / session.arrival.timeout.as_secs_f64();
        self.limits
            .allowance(now, &row, ExtraAttempt::Retry)
            .is_none_or(|room| {
                let reach = room.limit * (0.5 + 0.5 * worth);
                room.spent + 1.0 <= room.limit
                    && (room.spent < room.limit * 0.5 || room.spent + 1.0 <= reach)
            })
    }

    /// If a session may be repeated, by us or by its client: once it may have run, a once-only one
    /// never, and a referenced one as its group, its window and the first dial that may have run
    /// have it.
    fn allowed(
        &self,
        session: &Session,
        referenced: impl Fn(DeduplicationScope, Duration, Instant) -> bool,
    ) -> bool {
        match (session.row.idempotency, session.ran) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::Keyed { scope, window }, Some((_, at))) => referenced(scope, window, at),
            (Idempotency::NonIdempotent, Some(_)) => false,
        }
    }

    fn refuse(&mut self, now: Instant, id: SessionId, driver: &mut dyn Driver) {
        let wait = self.count_failure(now, id);
        self.finish(id, Some(wait), driver);
    }

    /// The final answer: a refusal where trying again is known to be harmless, a teardown
    /// otherwise.
    fn finish(&mut self, id: SessionId, wait: Option<Duration>, driver: &mut dyn Driver) {
        let session = &self.sessions[&id];
        let harmless = self.allowed(session, |scope, _, _| scope == DeduplicationScope::All);
        match wait {
            Some(wait) if harmless => {
                let told = self.deployment.sends_retry_after.then_some(wait);
                driver.reject(id, told.map(|wait| wait.min(session.row.max_retry_after)));
            }
            _ => driver.fail(id),
        }
        self.turn(id, State::Over, driver);
    }

    /// Where set-ups slow down everywhere, giving up early only sends the same work again to what
    /// is crowded.
    fn learn_set_up(&mut self, took: Duration) {
        self.set_up = self.set_up * 0.5 + took * 0.5;
    }

    fn jitter(&mut self, count: u32, base: Duration, cap: Duration) -> Duration {
        cap.min(base * f64::from(1u32 << count.min(16))) * self.chance.unit_f64()
    }

    /// Counts a failure of the session's client; the answer is the design's delay before a further
    /// try.
    fn count_failure(&mut self, now: Instant, id: SessionId) -> Duration {
        let Some(session) = self.sessions.get_mut(&id) else {
            return Duration::ZERO;
        };
        let row = session.row.clone();
        let failures = match session.arrival.client_key {
            Some(key) => {
                let client = self.client(key, now);
                client.clears_at = None;
                &mut client.count
            }
            None => &mut session.own_failures,
        };
        let before = *failures;
        *failures = before.saturating_add(1);
        self.jitter(before, row.backoff_base, row.backoff_cap)
    }

    fn client(&mut self, key: u64, now: Instant) -> &mut ClientFailures {
        let client = self.failure_counts.get_or_insert(key, now);
        if client.clears_at.is_some_and(|at| at <= now) {
            *client = ClientFailures::default();
        }
        client
    }

    // ---- health ----

    fn heard(&mut self, now: Instant, id: BackendId, report: LoadReport) {
        let told = report.connections.or(report.load).is_some();
        let Some(backend) = self.backends.get_mut(&id).filter(|_| told) else {
            return;
        };
        backend.sight.last_report = Some((now, report));
        // A report may be older than the lateness; one that is not and tells of room is not true.
        let late = backend.late_for(self.deployment.message_objective * NOTED, now);
        if late
            && backend
                .late_since
                .is_some_and(|at| now.duration_since(at) > REPORT_LAG * 2.0)
        {
            backend.untrue = report.load.is_some_and(|load| load < HOT);
        }
        // Nor is one that tells of more than a backend can do while own messages there are in time.
        let in_time = self.deployment.observes_latency && backend.open > 0 && !late;
        backend.loud = if in_time && report.load > Some(1.0) {
            backend.loud + 1
        } else {
            0
        };
        if backend.loud >= STRIKES {
            backend.sight.last_report = Some((
                now,
                LoadReport {
                    load: Some(HOT),
                    ..report
                },
            ));
        }
        backend.sight.weight_at_report = backend.listing.weight;
        backend.placed.retain(|&at| at + REPORT_LAG > now);
    }

    /// A backend that fails in a row takes no part until it has answered, more often each time: one
    /// that hangs or fails fast still answers probes and looks the least loaded of all.
    fn strike(&mut self, id: BackendId, verdict: AttemptOutcome) {
        let ready = self.ready_ones().count();
        let out = self
            .ready_ones()
            .filter(|(_, backend)| backend.sight.pending_health_checks > 0)
            .count();
        let Some(backend) = self.backends.get_mut(&id) else {
            return;
        };
        backend.sight.consecutive_failures += 1;
        // Failures all over the fleet have a cause that no backend can be blamed for, ours or one
        // they share.
        let blamed = (out + 1) * MOST_OUT < ready.max(MOST_OUT + 1);
        let EndpointStatistics {
            consecutive_failures: strikes,
            ejections,
            pending_health_checks: owed,
            ..
        } = &mut backend.sight;
        if verdict != AttemptOutcome::Saturated && *strikes >= STRIKES && (*owed > 0 || blamed) {
            *ejections += u32::from(*owed == 0);
            *owed = OWED << (*ejections).clamp(1, 4) >> 1;
        }
    }

    /// Each session pays for so many probes: those of hundreds of relays would cost more than
    /// service earns.
    fn save_for_probes(&mut self, now: Instant, driver: &mut dyn Driver) {
        let each = PROBES_WORTH / self.deployment.health_check_cost.max(f64::MIN_POSITIVE);
        let most = self.ready_ones().count().max(1) as f64
            * (SPENT_OVER.as_secs_f64() / HEAR_EVERY.as_secs_f64());
        self.probes_due = (self.probes_due + each).min(most);
        self.plan_probe(now, 1.0, driver);
    }

    /// The next probe, sooner than planned where sessions have paid since: a relay just started
    /// stood by one report for five seconds while dozens came, and refused them on it.
    fn plan_probe(&mut self, now: Instant, haste: f64, driver: &mut dyn Driver) {
        let most = HEAR_EVERY * (1.0 / self.ready_ones().count().max(1) as f64);
        let paid = SPENT_OVER * (1.0 / self.probes_due.max(f64::MIN_POSITIVE));
        let every = (paid.max(most) * haste)
            .min(PROBE_AT_LEAST)
            .max(self.deployment.tick);
        let at = (self.probed + every).max(now);
        if at < self.next_probe || self.probed == now {
            self.next_probe = at;
            self.plan(at, Errand::Probe, driver);
        }
    }

    /// Every second one asks where own connections stand, if at few: it would hear of those seldom.
    fn probe(&mut self, now: Instant, driver: &mut dyn Driver) {
        let held = self.ready_ones().filter(|(_, at)| at.open > 0).count();
        let own = held > 0 && held * 2 < self.ready_ones().count() && self.chance.below(2) == 0;
        let asked = self.ready_ones().filter(|(_, at)| !own || at.open > 0);
        let ready: Vec<BackendId> = asked.map(|(id, _)| id).collect();
        let asked = self
            .any_of(&ready)
            .filter(|_| self.deployment.may_check_health);
        asked.into_iter().for_each(|&id| driver.check_health(id));
        self.probed = now;
        self.plan_probe(now, 1.0, driver);
        self.probes_due = (self.probes_due - 1.0).max(0.0);
    }

    /// Backends driven past what they can do serve none of their messages in time: this relay sends
    /// away its part of what is too much, least utility for its load first, a small step a report.
    fn relieve(&mut self, now: Instant, driver: &mut dyn Driver) {
        let shortest = self.deployment.message_objective;
        let mut over: BTreeMap<BackendId, f64> = BTreeMap::new();
        let pool = self.pool(now);
        for (&at, backend) in &mut self.backends {
            let behind = backend.late_for(shortest, now);
            // Nothing that is sent there comes through; but without room elsewhere a move is a
            // refusal.
            let lost = behind && backend.sight.consecutive_failures > 0 && pool.load < FULL;
            let report = backend.sight.last_report.filter(|&(heard, _)| {
                heard >= backend.relieved + REPORT_LAG && now.duration_since(heard) < REPORT_LAG
            });
            let late = if behind {
                backend.late(now, shortest, pool.wanes).min(FULL)
            } else {
                0.0
            };
            let load = report
                .and_then(|(_, report)| report.load)
                .map(|load| load.max(late));
            let limit = if behind { HOT } else { FULL };
            if let Some(load) = load.filter(|&load| load > limit && !lost) {
                backend.relieved = now;
                over.insert(at, 1.0 - if behind { DRAIN } else { HOT } / load);
            } else if lost {
                over.insert(at, 1.0);
            }
        }
        let mut excess: BTreeMap<BackendId, f64> = BTreeMap::new();
        let mut movable: Vec<(f64, SessionId, BackendId, f64)> = Vec::new();
        for (&id, session) in &self.sessions {
            let State::Ready(dial, since) = session.state else {
                continue;
            };
            let Some(part) = over.get(&dial.backend) else {
                continue;
            };
            let load = session.load.unwrap_or(1.0).max(f64::MIN_POSITIVE);
            *excess.entry(dial.backend).or_default() += part * load;
            if now.duration_since(since) >= SETTLED {
                movable.push((session.row.priority_weight / load, id, dial.backend, load));
            }
        }
        movable.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, id, at, load) in movable {
            // What is left below one connection is settled by chance: rounded, hundreds of relays
            // that hold one connection each would all send it away at once, or none would.
            let left = excess.entry(at).or_default();
            let chance = *left / load;
            *left -= load;
            if chance >= 1.0 || chance > 0.0 && self.chance.unit_f64() < chance {
                self.send_away(id, driver);
            }
        }
    }

    /// Where crossing costs more than a move, connections that cross come back one at a time while
    /// their zone has room; more at once would fill it on old reports.
    fn bring_home(&mut self, now: Instant, driver: &mut dyn Driver) {
        let (home, held) = (self.deployment.zone, self.sessions.len());
        if held < HELD_FOR_HOME || self.deployment.cross_zone_cost <= self.deployment.migration_cost
        {
            return;
        }
        let mut crossing: Vec<SessionId> = Vec::new();
        for (&id, session) in &self.sessions {
            let State::Ready(dial, since) = session.state else {
                continue;
            };
            let at = self.backends.get(&dial.backend);
            if now.duration_since(since) >= session.row.stable_after
                && at.is_some_and(|at| at.listing.zone != home)
            {
                crossing.push(id);
            }
        }
        let Some(&id) = self.any_of(&crossing) else {
            return;
        };
        let Some(at) = self.pick(now, id) else { return };
        if self.backends[&at].listing.zone == home && self.load(now, at, self.pool(now)) < ROOMY {
            self.send_away(id, driver);
        }
    }

    fn send_away(&mut self, id: SessionId, driver: &mut dyn Driver) {
        driver.migrate(id);
        self.turn(id, State::Settled, driver);
    }

    fn ready_ones(&self) -> impl Iterator<Item = (BackendId, &Backend)> {
        let all = self.backends.iter().map(|(&id, backend)| (id, backend));
        let ready = all.filter(|(_, backend)| backend.listing.state == EndpointState::Ready);
        ready.filter(|(id, _)| !self.banned.contains_key(id))
    }

    fn any_of<'a, T>(&mut self, list: &'a [T]) -> Option<&'a T> {
        let top = list.len() as u64;
        (top > 0).then(|| &list[self.chance.below(top) as usize])
    }

    // ---- picking ----

    /// Where a session goes: the less loaded of two entries of the pool.
    fn pick(&mut self, now: Instant, id: SessionId) -> Option<BackendId> {
        let session = &self.sessions[&id];
        let (Arrival { group, route, .. }, last, ran) =
            (session.arrival, session.last_tried, session.ran);
        let (effect, pool) = (session.row.idempotency, self.pool(now));
        let first = ran.map(|(first, _)| self.backends[&first].listing);
        let mut able: Vec<BackendId> = Vec::new();
        for (at, Backend { listing, .. }) in self.ready_ones() {
            let in_scope = match (effect, first) {
                (
                    Idempotency::Keyed {
                        scope: DeduplicationScope::Zone,
                        ..
                    },
                    Some(first),
                ) => first.zone == listing.zone,
                (
                    Idempotency::Keyed {
                        scope: DeduplicationScope::Cell,
                        ..
                    },
                    Some(first),
                ) => first.cell == listing.cell,
                _ => true,
            };
            if in_scope
                && self
                    .cold_turn(now, at)
                    .is_none_or(|turn| self.turn_is_open(now, at, turn, pool))
            {
                able.push(at);
            }
        }
        let trial = !self.deployment.may_check_health && self.chance.below(TRIAL) == 0;
        let is_in = |at: &BackendId| trial || self.backends[at].sight.pending_health_checks == 0;
        let healthy: Vec<BackendId> = able.iter().copied().filter(is_in).collect();
        let mut able = if healthy.is_empty() { able } else { healthy };
        if able.len() > 1 {
            able.retain(|&at| Some(at) != last);
        }
        let group = group.filter(|_| self.deployment.groups_share_work);
        // Nothing is heard and nobody may be asked: a group has what its part of a full fleet would
        // take.
        let silent =
            pool.empty && self.deployment.reports_load && !self.deployment.may_check_health;
        let (blind, assumed) = (silent && group.is_some(), Pool { load: 1.0, ..pool });
        let takes = group.map_or(0.0, |group| {
            self.takes(group, if blind { assumed } else { pool })
        });
        if let Some(group) = group {
            able.sort_by_cached_key(|&at| {
                rendezvous_hash(self.backends[&at].listing.stable_hash, group)
            });
        }
        let is_cold = |at: &BackendId| self.cold_turn(now, *at).is_some();
        if !self.deployment.reports_load {
            // Groups that went on from one backend to the next would fill a fleet with what they
            // cost: each keeps to its first, and is refused while that has no room.
            let home = group.and_then(|_| able.iter().copied().find(|at| !is_cold(at)));
            able.retain(|at| home.is_none_or(|home| *at == home || is_cold(at)));
            able.retain(|at| self.backends[at].overloaded.1 <= now);
        }
        let loads: Vec<f64> = able.iter().map(|&at| self.load(now, at, pool)).collect();
        let fleet = loads.iter().sum::<f64>() / loads.len() as f64;
        let full = self.full(route);
        let weigh = |(place, at): (usize, BackendId)| {
            let backend = &self.backends[&at];
            // Of hundreds of relays one knows next to nothing of where a group is held: most likely
            // with the first of its order, and with as many more as its part of all sessions takes.
            let held = place == 0 || group.is_none_or(|group| backend.groups.contains_key(&group));
            let opening = if pool.tells_share {
                OPENING
            } else {
                OPENING_COUNT
            };
            let opening = if held { 0.0 } else { opening };
            let (told, place) = (loads[place], place as f64);
            let far = self.deployment.cross_zone_cost > 0.0
                && backend.listing.zone != self.deployment.zone;
            let load = told + opening * place / (place + takes).max(1.0);
            // An open turn is room, whatever is guessed of one not heard of; so are all such where
            // none may be asked: the few that told there failed or dropped somebody.
            let asked = self.deployment.may_check_health && !is_cold(&at);
            let room = backend.report(now).is_none() && !asked;
            // A backend driven past what it can do serves nobody, and clients it drops come back at
            // once: what finds no room anywhere is refused instead. Where little room is left a
            // group gets no new backend on a guess; but while the fleet has room, to refuse it
            // would be one.
            let rank = match pool.tells_share {
                true if load >= HOT && (room || told + opening < full) => 3,
                true if load >= HOT && (told >= full || fleet >= HOT) => return None,
                true if load >= HOT => 4,
                // Where none tells loads an open turn is the one room that is known.
                _ if !self.deployment.reports_load && is_cold(&at) => 0,
                _ => 1 + u32::from(far),
            };
            Some(Entry { at, load, rank })
        };
        let mut list: Vec<Entry> = able.into_iter().enumerate().filter_map(weigh).collect();
        let best = list.iter().map(|entry| entry.rank).min()?;
        list.retain(|entry| entry.rank == best);
        list.truncate(if blind {
            1 + takes as usize
        } else {
            usize::MAX
        });
        let pair = match group {
            Some(_) if !blind => (*list.first()?, *list.get(1).unwrap_or(&list[0])),
            _ => {
                let first = *self.any_of(&list)?;
                list.retain(|entry| entry.at != first.at);
                (first, self.any_of(&list).copied().unwrap_or(first))
            }
        };
        Some(if pair.1.load < pair.0.load {
            pair.1.at
        } else {
            pair.0.at
        })
    }

    /// How many backends the members of a group fill, by its part of the sessions met and the load
    /// of the fleet.
    fn takes(&self, group: u64, pool: Pool) -> f64 {
        let share = self.met.get(&group).unwrap_or(&0.0) / (self.met_all + MET_DOUBT);
        share * pool.load * self.ready_ones().count() as f64 / HOT
    }

    /// What the pool tells of the fleet, from entries that are not too old.
    fn pool(&self, now: Instant) -> Pool {
        let (mut heard, mut load, mut weighted, mut count, mut tells_share) =
            (0.0, 0.0, 0.0, 0.0, false);
        let is_cold = |&(at, _): &(BackendId, &Backend)| self.cold_turn(now, at).is_some();
        let cold = self.ready_ones().filter(is_cold).count() as f64;
        for (_, backend) in self.ready_ones() {
            let (Some(report), Some(told)) = (backend.report(now), backend.told(now)) else {
                continue;
            };
            heard += 1.0;
            load += told;
            weighted += told * backend.listing.weight;
            count += report.connections.unwrap_or(0.0);
            tells_share |= report.load.is_some();
        }
        // Not the cold: with them the rate would halve just as half the fleet is replaced.
        let holds = |&(&at, one): &(&BackendId, &Backend)| {
            (one.open > 0 || one.listing.state == EndpointState::Ready)
                && self.cold_turn(now, at).is_none()
        };
        let warm: Vec<u32> = self
            .backends
            .iter()
            .filter(holds)
            .map(|(_, one)| one.open)
            .collect();
        let held = f64::from(warm.iter().sum::<u32>() * self.deployment.relay_count)
            / warm.len().max(1) as f64;
        if heard == 0.0 {
            // Where nothing tells of loads a warm backend can do at least what each holds now.
            return Pool {
                empty: true,
                counted: true,
                each: 1.0 / held,
                cold,
                ..Pool::default()
            };
        }
        let counted = count > 0.0;
        count = if counted { count } else { held * heard };
        // A relay that has just started holds few and would take each for a large part of a
        // backend.
        let each = load / f64::max(count, heard);
        let each = if tells_share {
            each.min(EACH_MOST)
        } else {
            each
        };
        let (load, mean, wanes) = (load / heard, weighted / heard, self.leave_rate(true));
        Pool {
            load,
            mean,
            each,
            counted,
            cold,
            tells_share,
            wanes,
            empty: false,
        }
    }

    /// What a backend counts for: its report and what this relay placed there since. Relays that
    /// share nothing draw the same pair for a group at the same time, so own placements stand for
    /// those of all.
    fn load(&self, now: Instant, id: BackendId, pool: Pool) -> f64 {
        let backend = &self.backends[&id];
        if pool.empty {
            return f64::from(backend.open);
        }
        let later =
            backend.placed.len() as f64 * f64::from(self.deployment.relay_count) * pool.each;
        let told = backend
            .told(now)
            .unwrap_or(pool.mean / backend.listing.weight);
        let late = backend.late(now, self.deployment.message_objective, pool.wanes);
        if pool.tells_share {
            told.max(late) + later
        } else {
            told + later
        }
    }

    // ---- cold backends ----

    /// The turn that runs at a cold backend and this relay's use of it so far; None where warm. All
    /// relays see the same start of the same backend, so its age cuts time into turns without a
    /// word between them.
    fn cold_turn(&self, now: Instant, id: BackendId) -> Option<(u64, u32)> {
        let (backend, cold) = (&self.backends[&id], &self.deployment.slow_start);
        let age = now.duration_since(backend.up_since()?);
        let turn = age.as_micros() / cold.window.as_micros().max(1);
        let used = backend
            .sight
            .slow_start_use
            .filter(|&(at, _)| at == turn)
            .map_or(0, |(_, used)| used);
        (age < cold.warm_up).then_some((turn, used))
    }

    /// If this relay may use a cold backend in the turn that runs.
    fn turn_is_open(
        &self,
        now: Instant,
        id: BackendId,
        (turn, used): (u64, u32),
        pool: Pool,
    ) -> bool {
        let (listing, cold) = (self.backends[&id].listing, &self.deployment.slow_start);
        let age = self.backends[&id]
            .up_since()
            .map_or(cold.warm_up, |at| now.duration_since(at));
        let share = cold.initial_share
            + (1.0 - cold.initial_share) * age.as_secs_f64() / cold.warm_up.as_secs_f64();
        // Any window overlaps two turns: half for either. What groups cost lowers an estimate by
        // loads by more, and the rule does not count it. As many relays have the turn as the budget
        // holds; where each meets fewer sessions than there are cold backends, more, as they go to
        // others of them.
        let part = if self.deployment.groups_share_work && self.deployment.reports_load {
            1.25
        } else {
            0.5
        };
        let budget =
            part * cold.overload_factor * share * self.warm_rate(pool) * cold.window.as_secs_f64();
        let relays = u64::from(self.deployment.relay_count);
        // Where none tells loads an open turn goes before all else: unused only where no session
        // comes in it.
        let unused = if self.deployment.reports_load {
            pool.cold / self.lately.max(1.0)
        } else {
            1.0 / -(-self.lately).exp_m1()
        };
        let spread = unused.clamp(1.0, SPREAD);
        let slots = ((budget.max(1.0) * spread) as u64).clamp(1, relays);
        let each = (budget / relays as f64).max(1.0);
        let place = (u64::from(self.deployment.relay_index) + relays
            - (turn * slots + listing.stable_hash) % relays)
            % relays;
        place < slots && f64::from(used) < each.floor() && !self.beside
    }

    /// New connections a second that would fill a warm backend of middling size: as many as it
    /// holds when full times the rate at which they leave, or that fills it over its warm-up if
    /// that is less. One departure is taken as seen at first: by a rate of none all relays that
    /// hold few but one keep off.
    fn warm_rate(&self, pool: Pool) -> f64 {
        let leave = self
            .leave_rate(pool.counted)
            .min(1.0 / self.deployment.slow_start.warm_up.as_secs_f64());
        if pool.each <= 0.0 {
            0.0
        } else {
            leave / pool.each
        }
    }

    /// The part of the connections that leave by themselves within a second.
    fn leave_rate(&self, one_seen: bool) -> f64 {
        let first = STOOD_FIRST * self.deployment.slow_start.warm_up.as_secs_f64();
        (self.left_alone + f64::from(u8::from(one_seen))) / (self.stood + first)
    }
}

impl Backend {
    fn new(listing: Endpoint) -> Backend {
        Backend {
            listing,
            sight: EndpointStatistics {
                weight_at_report: 1.0,
                ..EndpointStatistics::default()
            },
            ..Backend::default()
        }
    }

    /// Another process under the same id: what was known of the last one misleads.
    fn renew(&mut self, listing: Endpoint) {
        let groups = std::mem::take(&mut self.groups);
        *self = Backend {
            open: self.open,
            groups,
            returned: self.returned,
            ..Backend::new(listing)
        };
    }

    /// When it started, as the list says; put back by hand, no sooner than it was taken out.
    fn up_since(&self) -> Option<Instant> {
        let listed = self.listing.started_at;
        self.returned
            .filter(|&(out, _)| listed.is_none_or(|at| at < out))
            .map(|(_, back)| back)
            .or(listed)
    }

    fn report(&self, now: Instant) -> Option<LoadReport> {
        // Where the list tells of loads it says more than a report that is no longer fresh.
        let age = if self.listing.weight == 1.0 {
            POOL_AGE
        } else {
            POOL_AGE_LISTED
        };
        self.sight
            .last_report
            .filter(|(at, _)| now.duration_since(*at) < age)
            .map(|(_, report)| report)
    }

    /// Its reported load as of now. Where the list lowers a weight with the connections held, it
    /// tells what came and went since the report; not more than twofold, since at a relay's start
    /// the list may be far behind.
    fn told(&self, now: Instant) -> Option<f64> {
        let change = (self.sight.weight_at_report / self.listing.weight).clamp(0.5, 2.0);
        self.report(now)
            .and_then(|report| report.load.or(report.connections))
            .map(|told| told * change)
    }

    /// What late messages show of its load, whatever it reports. It wanes as connections leave.
    fn late(&self, now: Instant, target: Duration, wanes: f64) -> f64 {
        let holds = |at: Instant| self.untrue || now.duration_since(at) < NOTE_AGE;
        let Some((at, delay)) = self
            .message_delay
            .filter(|&(at, _)| target > Duration::ZERO && holds(at))
        else {
            return 0.0;
        };
        (HOT * delay.as_secs_f64() / (target.as_secs_f64() * NOTED)).min(1.0)
            * (-wanes * now.duration_since(at).as_secs_f64()).exp()
    }

    fn late_for(&self, target: Duration, now: Instant) -> bool {
        let recent = self
            .message_delay
            .filter(|(at, _)| now.duration_since(*at) < NOTE_AGE);
        target > Duration::ZERO && recent.is_some_and(|(_, delay)| delay > target)
    }
}
