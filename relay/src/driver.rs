//! The interface to the balancer: delivers the events of a turn and records the actions that the
//! balancer requests, which are carried out afterwards.
use crate::timers::{Timer, TimerQueue};
use std::panic::{AssertUnwindSafe, catch_unwind};
use thistlecroft::attempt::{Arrival, AttemptEnd, AttemptOutcome, LoadReport};
use thistlecroft::balancer::Balancer;
use thistlecroft::deployment::Deployment;
use thistlecroft::driver::Driver;
use thistlecroft::endpoint::{Endpoint, UpdateKind};
use thistlecroft::ids::{BackendId, SessionId};
use thistlecroft::snapshot::BalancerSnapshot;
use thistlecroft::time::{Duration, Instant};

/// An event for the balancer. The events of a turn are delivered in the order of their arrival.
#[derive(Debug)]
pub(crate) enum Event {
    EndpointsUpdated(UpdateKind, Vec<Endpoint>),
    SessionArrived(SessionId, Arrival),
    /// An established session was taken over from the predecessor.
    SessionInherited(SessionId, BackendId, Arrival),
    /// The attempt with this number is ready.
    AttemptReady(SessionId, u32),
    AttemptEnded(SessionId, AttemptEnd),
    SessionLeft(SessionId),
    HealthChecked(BackendId, AttemptOutcome, LoadReport),
    LoadObserved(SessionId, f64),
    LatencyObserved(SessionId, Duration),
    /// A client's line has been unanswered for this time.
    ResponseOverdue(SessionId, Duration),
    Reconfigured(Box<Deployment>),
    /// An operator has banned a backend, or ended its ban.
    BanChanged(BackendId, bool),
    /// The predecessor, which still serves, sent a snapshot of its balancer.
    SnapshotReceived(BalancerSnapshot),
    /// The predecessor no longer accepts clients, or has ended.
    PredecessorEnded,
    Wake,
    /// The predecessor knows that these backends are draining or removed.
    BackendsDraining(Vec<BackendId>),
    /// The process ends after this time at the latest.
    ShutDown {
        time_limit: Duration,
    },
}

/// An action that the balancer requests.
#[derive(Debug)]
pub(crate) enum Action {
    /// Starts an attempt with this timeout.
    Connect(SessionId, BackendId, Duration),
    /// Cancels the attempt with this number.
    Cancel(SessionId, u32),
    /// Rejects a session, with the time after which its client should retry.
    Reject(SessionId, Option<Duration>),
    Fail(SessionId),
    Migrate(SessionId),
    CheckHealth(BackendId),
    Subscribe,
}

/// Records the actions and timers that the balancer requests.
pub(crate) struct ActionRecorder<'a> {
    pub(crate) actions: &'a mut Vec<Action>,
    pub(crate) timers: &'a mut TimerQueue,
}

impl Driver for ActionRecorder<'_> {
    fn connect(&mut self, session: SessionId, backend: BackendId, timeout: Duration) {
        self.actions
            .push(Action::Connect(session, backend, timeout));
    }

    fn cancel(&mut self, session: SessionId, attempt: u32) {
        self.actions.push(Action::Cancel(session, attempt));
    }

    fn reject(&mut self, session: SessionId, retry_after: Option<Duration>) {
        self.actions.push(Action::Reject(session, retry_after));
    }

    fn fail(&mut self, session: SessionId) {
        self.actions.push(Action::Fail(session));
    }

    fn migrate(&mut self, session: SessionId) {
        self.actions.push(Action::Migrate(session));
    }

    fn check_health(&mut self, backend: BackendId) {
        self.actions.push(Action::CheckHealth(backend));
    }

    fn wake_at(&mut self, at: Instant) {
        self.timers.set(at, Timer::Balancer);
    }

    fn subscribe(&mut self) {
        self.actions.push(Action::Subscribe);
    }

    // Session ids are not reused here, so there is nothing to release.
    fn release(&mut self, _: SessionId) {}
}

/// A panic of the balancer while it handled an event.
#[derive(Debug)]
pub(crate) struct BalancerPanicked {
    /// The session that the event was about, which must be answered without the balancer.
    pub(crate) session: Option<SessionId>,
}

/// Delivers one event to the balancer.
///
/// # Errors
/// Returns an error if the balancer panicked. This fails the event's session, but not the process.
pub(crate) fn deliver_event(
    balancer: &mut Balancer,
    event: Event,
    now: Instant,
    recorder: &mut ActionRecorder,
) -> Result<(), BalancerPanicked> {
    let session = session_of(&event);
    catch_unwind(AssertUnwindSafe(|| {
        call_balancer(balancer, event, now, recorder)
    }))
    .map_err(|_| BalancerPanicked { session })
}

fn session_of(event: &Event) -> Option<SessionId> {
    match event {
        Event::SessionArrived(id, _)
        | Event::SessionInherited(id, ..)
        | Event::AttemptReady(id, _)
        | Event::AttemptEnded(id, _)
        | Event::SessionLeft(id)
        | Event::LoadObserved(id, _)
        | Event::LatencyObserved(id, _)
        | Event::ResponseOverdue(id, _) => Some(*id),
        Event::EndpointsUpdated(..)
        | Event::BackendsDraining(_)
        | Event::HealthChecked(..)
        | Event::Reconfigured(_)
        | Event::BanChanged(..)
        | Event::SnapshotReceived(_)
        | Event::PredecessorEnded
        | Event::Wake
        | Event::ShutDown { .. } => None,
    }
}

fn call_balancer(
    balancer: &mut Balancer,
    event: Event,
    now: Instant,
    recorder: &mut ActionRecorder,
) {
    match event {
        Event::EndpointsUpdated(kind, endpoints) => balancer.update_endpoints(kind, &endpoints),
        Event::BackendsDraining(backends) => balancer.drain_backends(&backends),
        Event::SessionArrived(id, arrival) => balancer.session_arrived(now, id, arrival, recorder),
        Event::SessionInherited(id, backend, arrival) => {
            balancer.session_inherited(now, id, backend, arrival, recorder);
        }
        Event::AttemptReady(id, attempt) => balancer.attempt_ready(now, id, attempt, recorder),
        Event::AttemptEnded(id, end) => balancer.attempt_ended(now, id, end, recorder),
        Event::SessionLeft(id) => balancer.session_left(id, recorder),
        Event::HealthChecked(id, outcome, report) => {
            balancer.health_checked(now, id, outcome, report);
        }
        Event::LoadObserved(id, load) => balancer.load_observed(id, load),
        Event::LatencyObserved(id, latency) => {
            balancer.latency_observed(now, id, latency, recorder);
        }
        Event::ResponseOverdue(id, waited) => balancer.response_overdue(now, id, waited, recorder),
        Event::Reconfigured(deployment) => balancer.reconfigure(*deployment),
        Event::BanChanged(id, is_banned) => balancer.set_banned(now, id, is_banned),
        Event::SnapshotReceived(snapshot) => balancer.restore(&snapshot, true),
        Event::PredecessorEnded => balancer.predecessor_ended(now),
        Event::Wake => balancer.wake(now, recorder),
        Event::ShutDown { time_limit } => balancer.shut_down(now, time_limit, recorder),
    }
}
