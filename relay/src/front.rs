//! The seam to the decisions: what a turn gathered is handed in at one go, and what they ask for is
//! only written down, to be carried out after.
use crate::timers::{Alarm, Alarms};
use std::panic::{AssertUnwindSafe, catch_unwind};
use thistlecroft::balance::Relay;
use thistlecroft::deployment::Deployment;
use thistlecroft::front::{Arrival, Ending, Front, ListScope, Listing, Memory, Report, Verdict};
use thistlecroft::ids::{BackendId, SessionId};
use thistlecroft::time::{Duration, Instant};

/// What a turn gathered, in the order in which it came.
#[derive(Debug)]
pub enum News {
    Listed(ListScope, Vec<Listing>),
    Arrived(SessionId, Arrival),
    Inherited(SessionId, BackendId, Arrival),
    Ready(SessionId, u32),
    Ended(SessionId, Ending),
    Left(SessionId),
    Probed(BackendId, Verdict, Report),
    Load(SessionId, f64),
    Delay(SessionId, Duration),
    Overdue(SessionId, Duration),
    Resettled(Box<Deployment>),
    /// Taken out by hand, or put back.
    Banned(BackendId, bool),
    /// What the process before knows, which still serves; and that it takes nothing new any more.
    Recalled(Memory),
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

impl Front for Desk<'_> {
    fn dial(&mut self, session: SessionId, backend: BackendId, give_up_after: Duration) {
        self.orders
            .push(Order::Dial(session, backend, give_up_after));
    }
    fn withdraw(&mut self, session: SessionId, dial: u32) {
        self.orders.push(Order::Withdraw(session, dial));
    }
    fn refuse(&mut self, session: SessionId, retry_after: Option<Duration>) {
        self.orders.push(Order::Refuse(session, retry_after));
    }
    fn tear_down(&mut self, session: SessionId) {
        self.orders.push(Order::TearDown(session));
    }
    fn send_away(&mut self, session: SessionId) {
        self.orders.push(Order::SendAway(session));
    }
    fn probe(&mut self, backend: BackendId) {
        self.orders.push(Order::Probe(backend));
    }
    fn wake(&mut self, at: Instant) {
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
    relay: &mut Relay,
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
        News::Listed(scope, rows) => relay.listed(scope, &rows),
        News::Arrived(id, arrival) => relay.arrived(now, id, arrival, desk),
        News::Inherited(id, at, arrival) => relay.inherit(now, id, at, arrival, desk),
        News::Ready(id, dial) => relay.ready(now, id, dial, desk),
        News::Ended(id, ending) => relay.ended(now, id, ending, desk),
        News::Left(id) => relay.left(id, desk),
        News::Probed(id, verdict, report) => relay.probed(now, id, verdict, report),
        News::Load(id, load) => relay.load_noted(id, load),
        News::Delay(id, delay) => relay.delay_noted(now, id, delay, desk),
        News::Overdue(id, waited) => relay.overdue(now, id, waited, desk),
        News::Resettled(deployment) => relay.resettle(*deployment),
        News::Banned(id, out) => relay.ban(now, id, out),
        News::Recalled(memory) => relay.recall(&memory, true),
        News::Alone => relay.alone(now),
        News::Woken => relay.woken(now, desk),
        News::Stopping => relay.stopping(now, desk),
    }));
    done.map_err(|_| about)
}
