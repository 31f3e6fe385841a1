//! The seam to the decisions: what a turn gathered is handed in at one go, and what they ask for is
//! only written down, to be carried out after.
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

/// What a turn gathered, in the order in which it came.
#[derive(Debug)]
pub enum Event {
    EndpointsUpdated(UpdateKind, Vec<Endpoint>),
    SessionArrived(SessionId, Arrival),
    SessionInherited(SessionId, BackendId, Arrival),
    AttemptReady(SessionId, u32),
    AttemptEnded(SessionId, AttemptEnd),
    SessionLeft(SessionId),
    HealthChecked(BackendId, AttemptOutcome, LoadReport),
    LoadObserved(SessionId, f64),
    LatencyObserved(SessionId, Duration),
    ResponseOverdue(SessionId, Duration),
    Reconfigured(Box<Deployment>),
    /// Taken out by hand, or put back.
    BanChanged(BackendId, bool),
    /// What the process before knows, which still serves; and that it takes nothing new any more.
    SnapshotReceived(BalancerSnapshot),
    PredecessorEnded,
    Wake,
    ShutDown,
}

#[derive(Debug)]
pub enum Action {
    Connect(SessionId, BackendId, Duration),
    Cancel(SessionId, u32),
    Reject(SessionId, Option<Duration>),
    Fail(SessionId),
    Migrate(SessionId),
    CheckHealth(BackendId),
    Subscribe,
}

/// Writes down what the decisions ask for.
pub struct ActionRecorder<'a> {
    pub orders: &'a mut Vec<Action>,
    pub alarms: &'a mut TimerQueue,
}

impl Driver for ActionRecorder<'_> {
    fn connect(&mut self, session: SessionId, backend: BackendId, give_up_after: Duration) {
        self.orders
            .push(Action::Connect(session, backend, give_up_after));
    }
    fn cancel(&mut self, session: SessionId, dial: u32) {
        self.orders.push(Action::Cancel(session, dial));
    }
    fn reject(&mut self, session: SessionId, retry_after: Option<Duration>) {
        self.orders.push(Action::Reject(session, retry_after));
    }
    fn fail(&mut self, session: SessionId) {
        self.orders.push(Action::Fail(session));
    }
    fn migrate(&mut self, session: SessionId) {
        self.orders.push(Action::Migrate(session));
    }
    fn check_health(&mut self, backend: BackendId) {
        self.orders.push(Action::CheckHealth(backend));
    }
    fn wake_at(&mut self, at: Instant) {
        self.alarms.set(at, Timer::Balancer);
    }
    fn subscribe(&mut self) {
        self.orders.push(Action::Subscribe);
    }
    // Ids of sessions are never used again here, so nothing is kept that could be released.
    fn release(&mut self, _: SessionId) {}
}

/// Hands one piece of news in. A panic costs the session it is about, not the process: the
/// session's id comes back, to be answered without the decisions.
pub fn hand_in(
    relay: &mut Balancer,
    news: Event,
    now: Instant,
    desk: &mut ActionRecorder,
) -> Result<(), Option<SessionId>> {
    let about = match &news {
        Event::SessionArrived(id, _)
        | Event::SessionInherited(id, ..)
        | Event::AttemptReady(id, _)
        | Event::AttemptEnded(id, _) => Some(*id),
        Event::SessionLeft(id)
        | Event::LoadObserved(id, _)
        | Event::LatencyObserved(id, _)
        | Event::ResponseOverdue(id, _) => Some(*id),
        _ => None,
    };
    let done = catch_unwind(AssertUnwindSafe(|| match news {
        Event::EndpointsUpdated(scope, rows) => relay.update_endpoints(scope, &rows),
        Event::SessionArrived(id, arrival) => relay.session_arrived(now, id, arrival, desk),
        Event::SessionInherited(id, at, arrival) => {
            relay.session_inherited(now, id, at, arrival, desk)
        }
        Event::AttemptReady(id, dial) => relay.attempt_ready(now, id, dial, desk),
        Event::AttemptEnded(id, ending) => relay.attempt_ended(now, id, ending, desk),
        Event::SessionLeft(id) => relay.session_left(id, desk),
        Event::HealthChecked(id, verdict, report) => relay.health_checked(now, id, verdict, report),
        Event::LoadObserved(id, load) => relay.load_observed(id, load),
        Event::LatencyObserved(id, delay) => relay.latency_observed(now, id, delay, desk),
        Event::ResponseOverdue(id, waited) => relay.response_overdue(now, id, waited, desk),
        Event::Reconfigured(deployment) => relay.reconfigure(*deployment),
        Event::BanChanged(id, out) => relay.set_banned(now, id, out),
        Event::SnapshotReceived(memory) => relay.restore(&memory, true),
        Event::PredecessorEnded => relay.predecessor_ended(now),
        Event::Wake => relay.wake(now, desk),
        Event::ShutDown => relay.shut_down(now, desk),
    }));
    done.map_err(|_| about)
}
