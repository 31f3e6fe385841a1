//! Test harness: a balancer with a driver that records its actions, and a small deployment for it.
#![expect(dead_code, reason = "each test file uses only some of the helpers")]
use thistlecroft::attempt::{Arrival, AttemptEnd, AttemptOutcome, LoadReport};
use thistlecroft::balancer::{
    ATTEMPT_TIMEOUT_FACTOR, BACKOFF_BASE, BACKOFF_CAP, Balancer, STABLE_AFTER,
};
use thistlecroft::deployment::{
    DeduplicationScope, Deployment, Idempotency, RetryBudget, Route, SlowStart,
};
use thistlecroft::driver::Driver;
use thistlecroft::endpoint::{Endpoint, EndpointState, UpdateKind};
use thistlecroft::ids::{BackendId, CellId, RouteId, SessionId, ZoneId};
use thistlecroft::time::{Duration, Instant};

pub(crate) const IDEMPOTENT: Idempotency = Idempotency::Idempotent;
pub(crate) const NON_IDEMPOTENT: Idempotency = Idempotency::NonIdempotent;

/// A recorded call of the driver, with the numbers of sessions, backends and attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Action {
    Connect {
        session: u32,
        target: Target,
    },
    /// Cancels an attempt: the session and the number of the attempt.
    Cancel(u32, u32),
    /// Rejects a session: its number and the `Retry-After` of the rejection.
    Reject(u32, Option<Duration>),
    Fail(u32),
    Migrate(u32),
    CheckHealth(u32),
    Subscribe,
    Release(u32),
}

/// The backend of an attempt and its timeout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Target {
    pub(crate) backend: u32,
    pub(crate) timeout: Duration,
}

/// A driver that records its calls.
#[derive(Default)]
pub(crate) struct ActionRecorder {
    pub(crate) actions: Vec<Action>,
    wakes: Vec<Instant>,
}

impl Driver for ActionRecorder {
    fn connect(&mut self, session: SessionId, backend: BackendId, timeout: Duration) {
        let backend = backend.0;
        self.actions.push(Action::Connect {
            session: session.0,
            target: Target { backend, timeout },
        });
    }
    fn cancel(&mut self, session: SessionId, attempt: u32) {
        self.actions.push(Action::Cancel(session.0, attempt));
    }
    fn reject(&mut self, session: SessionId, retry_after: Option<Duration>) {
        self.actions.push(Action::Reject(session.0, retry_after));
    }
    fn fail(&mut self, session: SessionId) {
        self.actions.push(Action::Fail(session.0));
    }
    fn migrate(&mut self, session: SessionId) {
        self.actions.push(Action::Migrate(session.0));
    }
    fn check_health(&mut self, backend: BackendId) {
        self.actions.push(Action::CheckHealth(backend.0));
    }
    fn wake_at(&mut self, at: Instant) {
        self.wakes.push(at);
    }
    fn subscribe(&mut self) {
        self.actions.push(Action::Subscribe);
    }
    fn release(&mut self, session: SessionId) {
        self.actions.push(Action::Release(session.0));
    }
}

pub(crate) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the idempotency of requests with a key that backends of this scope recognise for five
/// seconds.
pub(crate) fn keyed(scope: DeduplicationScope) -> Idempotency {
    let window = ms(5_000);
    Idempotency::Keyed { scope, window }
}

pub(crate) fn deployment(idempotency: Idempotency) -> Deployment {
    let route = Route {
        handshake_objective: ms(300),
        idempotency,
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
        routes: vec![route],
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
    }
}

/// Returns the deployment with `change` applied to each of its routes.
pub(crate) fn with_route(change: impl Fn(&mut Route), mut deployment: Deployment) -> Deployment {
    deployment.routes.iter_mut().for_each(change);
    deployment
}

pub(crate) fn with_retry_budget(budget: RetryBudget, deployment: Deployment) -> Deployment {
    Deployment {
        retry_budget: Some(budget),
        ..deployment
    }
}

/// Returns an arrival of the first route. A `client_key` or `group` of 0 stands for none.
pub(crate) fn arrival(client_key: u64, group: u64, timeout: Duration) -> Arrival {
    let non_zero = |value: u64| (value > 0).then_some(value);
    Arrival {
        route: RouteId(0),
        client_key: non_zero(client_key),
        group: non_zero(group),
        timeout,
    }
}

/// Returns an endpoint. Even numbers are in zone 0 and odd ones in zone 1; four consecutive numbers
/// form a cell.
pub(crate) fn endpoint(
    backend: u32,
    state: EndpointState,
    started_at: Option<Instant>,
) -> Endpoint {
    let zone = ZoneId((backend % 2) as u16);
    let cell = Some(CellId((backend / 4) as u16));
    Endpoint {
        backend: BackendId(backend),
        stable_hash: u64::from(backend) * 7919,
        zone,
        cell,
        state,
        weight: 1.0,
        started_at,
    }
}

/// Returns the endpoints from 0 up to, but not including, `count`, all ready and without a listed
/// start.
pub(crate) fn ready_endpoints(count: u32) -> Vec<Endpoint> {
    (0..count)
        .map(|backend| endpoint(backend, EndpointState::Ready, None))
        .collect()
}

/// A balancer with its recorder and the current simulated time.
pub(crate) struct Harness {
    pub(crate) balancer: Balancer,
    pub(crate) recorder: ActionRecorder,
    pub(crate) now: Instant,
}

impl Harness {
    pub(crate) fn new(deployment: Deployment, endpoints: &[Endpoint]) -> Harness {
        Harness::with_seed(deployment, 7, endpoints)
    }

    pub(crate) fn with_seed(deployment: Deployment, seed: u64, endpoints: &[Endpoint]) -> Harness {
        let now = Instant::from_micros(100_000_000);
        let mut recorder = ActionRecorder::default();
        let mut balancer = Balancer::new(deployment, seed, now, &mut recorder);
        balancer.update_endpoints(UpdateKind::CachedSnapshot, endpoints);
        Harness {
            balancer,
            recorder,
            now,
        }
    }

    /// Advances the time and runs the wakes that the balancer has requested meanwhile.
    pub(crate) fn advance(&mut self, duration: Duration) {
        let until = self.now + duration;
        while let Some(next) = self
            .recorder
            .wakes
            .iter()
            .copied()
            .filter(|&at| at <= until)
            .min()
        {
            self.recorder.wakes.retain(|&at| at > next);
            self.now = self.now.max(next);
            self.balancer.wake(self.now, &mut self.recorder);
        }
        self.now = until;
    }

    /// Lets a session arrive. Returns its latest attempt, if there is any.
    pub(crate) fn arrive(&mut self, id: u32, arrival: Arrival) -> Option<Target> {
        self.balancer
            .session_arrived(self.now, SessionId(id), arrival, &mut self.recorder);
        self.attempts(id).last().copied()
    }

    pub(crate) fn inherit(&mut self, id: u32, backend: u32) {
        let arrival = arrival(0, 0, ms(0));
        self.balancer.session_inherited(
            self.now,
            SessionId(id),
            BackendId(backend),
            arrival,
            &mut self.recorder,
        );
    }

    /// Reports that an attempt has set its connection up.
    pub(crate) fn establish(&mut self, id: u32, attempt: u32) {
        self.balancer
            .attempt_ready(self.now, SessionId(id), attempt, &mut self.recorder);
    }

    /// Reports the end of an attempt or of its connection, without a load report.
    pub(crate) fn end(
        &mut self,
        id: u32,
        attempt: u32,
        outcome: AttemptOutcome,
        is_answered: bool,
    ) {
        let end = AttemptEnd {
            attempt,
            outcome,
            is_answered,
            report: LoadReport::default(),
        };
        self.balancer
            .attempt_ended(self.now, SessionId(id), end, &mut self.recorder);
    }

    /// Reports a passed health check with this load report.
    pub(crate) fn report(&mut self, backend: u32, connections: Option<f64>, load: Option<f64>) {
        let report = LoadReport { connections, load };
        self.balancer
            .health_checked(self.now, BackendId(backend), AttemptOutcome::Ok, report);
    }

    pub(crate) fn fail_health_check(&mut self, backend: u32) {
        self.balancer.health_checked(
            self.now,
            BackendId(backend),
            AttemptOutcome::TimedOut,
            LoadReport::default(),
        );
    }

    pub(crate) fn observe_latency(&mut self, id: u32, latency: Duration) {
        self.balancer
            .latency_observed(self.now, SessionId(id), latency, &mut self.recorder);
    }

    pub(crate) fn response_overdue(&mut self, id: u32, waited: Duration) {
        self.balancer
            .response_overdue(self.now, SessionId(id), waited, &mut self.recorder);
    }

    pub(crate) fn leave(&mut self, id: u32) {
        self.balancer
            .session_left(SessionId(id), &mut self.recorder);
    }

    /// Updates a single endpoint of the endpoint list.
    pub(crate) fn update(&mut self, endpoint: Endpoint) {
        self.balancer
            .update_endpoints(UpdateKind::Delta, &[endpoint]);
    }

    /// Returns the attempts of a session in the order of their start.
    pub(crate) fn attempts(&self, id: u32) -> Vec<Target> {
        let attempt = |action: &Action| match action {
            Action::Connect { session, target } if *session == id => Some(*target),
            _ => None,
        };
        self.recorder.actions.iter().filter_map(attempt).collect()
    }

    /// Returns the final answers of a session, one for each time that it was answered.
    pub(crate) fn answers(&self, id: u32) -> Vec<Action> {
        let is_answer = |action: &&Action| matches!(action, Action::Reject(session, _) | Action::Fail(session) if *session == id);
        let answers = self.recorder.actions.iter().filter(is_answer);
        answers.copied().collect()
    }

    /// Returns how often this action was recorded.
    pub(crate) fn count(&self, wanted: Action) -> usize {
        let actions = self.recorder.actions.iter();
        actions.filter(|&&action| action == wanted).count()
    }

    pub(crate) fn migrations(&self) -> usize {
        let is_migration = |action: &&Action| matches!(action, Action::Migrate(_));
        self.recorder.actions.iter().filter(is_migration).count()
    }

    /// Returns the backends of the health checks recorded after the first `actions` actions.
    pub(crate) fn health_checks_since(&self, actions: usize) -> Vec<u32> {
        let checked = |action: &Action| match action {
            Action::CheckHealth(backend) => Some(*backend),
            _ => None,
        };
        self.recorder.actions[actions..]
            .iter()
            .filter_map(checked)
            .collect()
    }
}
