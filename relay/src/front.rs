//! The seam to the decisions: what a turn gathered is handed in at one go, and what they ask for is
//! only written down, to be carried out after.
use crate::timers::{Alarm, Alarms};
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
pub enum News {
    Listed(UpdateKind, Vec<Endpoint>),
    Arrived(SessionId, Arrival),
    Inherited(SessionId, BackendId, Arrival),
    Ready(SessionId, u32),
    Ended(SessionId, AttemptEnd),
    Left(SessionId),
    Probed(BackendId, AttemptOutcome, LoadReport),
    Load(SessionId, f64),
    Delay(SessionId, Duration),
    Overdue(SessionId, Duration),
    Resettled(Box<Deployment>),
    /// Taken out by hand, or put back.
    Banned(BackendId, bool),
    /// What the process before knows, which still serves; and that it takes nothing new any more.
    Recalled(BalancerSnapshot),
    Alone,
    Woken,
    Stopping,
}

#[derive(Debug)]
pub enum Order {
    Dial(SessionId, BackendId, Duration),
    Withdraw(SessionId, u32),
    Refuse(SessionId, Option<Duration>),
    TearDown(SessionId),
    SendAway(SessionId),
    Probe(BackendId),
    Subscribe,
}

/// Writes down what the decisions ask for.
pub struct Desk<'a> {
    pub orders: &'a mut Vec<Order>,
    pub alarms: &'a mut Alarms,
}

impl Driver for Desk<'_> {
    fn connect(&mut self, session: SessionId, backend: BackendId, give_up_after: Duration) {
        self.orders
            .push(Order::Dial(session, backend, give_up_after));
    }
    fn cancel(&mut self, session: SessionId, dial: u32) {
        self.orders.push(Order::Withdraw(session, dial));
    }
    fn reject(&mut self, session: SessionId, retry_after: Option<Duration>) {
        self.orders.push(Order::Refuse(session, retry_after));
    }
    fn fail(&mut self, session: SessionId) {
        self.orders.push(Order::TearDown(session));
    }
    fn migrate(&mut self, session: SessionId) {
        self.orders.push(Order::SendAway(session));
    }
    fn check_health(&mut self, backend: BackendId) {
        self.orders.push(Order::Probe(backend));
    }
    fn wake_at(&mut self, at: Instant) {
        self.alarms.set(at, Alarm::Decisions);
    }
    fn subscribe(&mut self) {
        self.orders.push(Order::Subscribe);
    }
    // Ids of sessions are never used again here, so nothing is kept that could be released.
    fn release(&mut self, _: SessionId) {}
}

/// Hands one piece of news in. A panic costs the session it is about, not the process: the
/// session's id comes back, to be answered without the decisions.
pub fn hand_in(
    relay: &mut Balancer,
    news: News,
    now: Instant,
    desk: &mut Desk,
) -> Result<(), Option<SessionId>> {
    let about = match &news {
        News::Arrived(id, _)
        | News::Inherited(id, ..)
        | News::Ready(id, _)
        | News::Ended(id, _) => Some(*id),
        News::Left(id) | News::Load(id, _) | News::Delay(id, _) | News::Overdue(id, _) => Some(*id),
        _ => None,
    };
    let done = catch_unwind(AssertUnwindSafe(|| match news {
        News::Listed(scope, rows) => relay.update_endpoints(scope, &rows),
        News::Arrived(id, arrival) => relay.session_arrived(now, id, arrival, desk),
        News::Inherited(id, at, arrival) => relay.session_inherited(now, id, at, arrival, desk),
        News::Ready(id, dial) => relay.attempt_ready(now, id, dial, desk),
        News::Ended(id, ending) => relay.attempt_ended(now, id, ending, desk),
        News::Left(id) => relay.session_left(id, desk),
        News::Probed(id, verdict, report) => relay.health_checked(now, id, verdict, report),
        News::Load(id, load) => relay.load_observed(id, load),
        News::Delay(id, delay) => relay.latency_observed(now, id, delay, desk),
        News::Overdue(id, waited) => relay.response_overdue(now, id, waited, desk),
        News::Resettled(deployment) => relay.reconfigure(*deployment),
        News::Banned(id, out) => relay.set_banned(now, id, out),
        News::Recalled(memory) => relay.restore(&memory, true),
        News::Alone => relay.predecessor_ended(now),
        News::Woken => relay.wake(now, desk),
        News::Stopping => relay.shut_down(now, desk),
    }));
    done.map_err(|_| about)
}
