//! What the decisions keep: one session with its states and what belongs to it as long as it lasts,
//! one backend, what reports of late say of the fleet, and what is to be done at a moment to come.
//! Types only.
use crate::attempt::Arrival;
use crate::deployment::Route;
use crate::endpoint::Endpoint;
use crate::ids::{BackendId, SessionId};
use crate::snapshot::EndpointStatistics;
use crate::time::{Duration, Instant};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// One dial, from its sending to its verdict.
#[derive(Clone, Copy)]
pub(crate) struct Dial {
    pub number: u32,
    pub backend: BackendId,
    pub sent: Instant,
}

#[derive(Clone, Copy, Default)]
pub(crate) enum State {
    #[default]
    New,
    Held,
    Dialling(Dial),
    Ready(Dial, Instant),
    /// The client has its answer or has left; only the verdict of a dial is waited for.
    Settled,
    Over,
}

/// One session, from its arrival to the last word about it.
pub(crate) struct Session {
    pub arrival: Arrival,
    pub row: Arc<Route>,
    pub due: Instant,
    pub state: State,
    pub dials: u32,
    pub own_failures: u32,
    /// The first dial that may have run, where and when.
    pub ran: Option<(BackendId, Instant)>,
    pub last_tried: Option<BackendId>,
    /// A second dial that is out beside the one of its state.
    pub second: Option<Dial>,
    /// What its connection asks for, as far as the front tells.
    pub load: Option<f64>,
}

/// What the reports of late say of the fleet.
#[derive(Clone, Copy, Default)]
pub(crate) struct Pool {
    pub load: f64,
    /// Of the loads, as if all weights were one.
    pub mean: f64,
    /// What one connection adds to a backend of middling size.
    pub each: f64,
    /// It follows from what backends report.
    pub counted: bool,
    /// Backends that are cold now.
    pub cold: f64,
    /// Loads are shares of what a backend can do, not connections.
    pub tells_share: bool,
    /// The part of the connections that leave within a second, and of what they were seen to cause.
    pub wanes: f64,
    pub empty: bool,
}

/// One backend, as long as the instance lives.
#[derive(Default)]
pub(crate) struct Backend {
    pub listing: Endpoint,
    pub open: u32,
    pub groups: BTreeMap<u64, u32>,
    pub sight: EndpointStatistics,
    /// Own placements that its report may not hold yet.
    pub placed: VecDeque<Instant>,
    pub message_delay: Option<(Instant, Duration)>,
    /// Since when its messages have been late, and if its reports have told of room meanwhile.
    pub late_since: Option<Instant>,
    pub untrue: bool,
    /// Reports in a row of more than it can do, while messages were in time.
    pub loud: u32,
    /// When it was last taken out by hand and when it was put back.
    pub returned: Option<(Instant, Instant)>,
    pub relieved: Instant,
    /// Since when standing connections have been breaking, and how many.
    pub broken: (Instant, u32),
    /// It has dropped or turned away what it could not hold: how often in a row, and until when it
    /// is left alone.
    pub overloaded: (u32, Instant),
}

/// A backend that a session may go to.
#[derive(Clone, Copy)]
pub(crate) struct Entry {
    pub at: BackendId,
    pub load: f64,
    /// Only those of the lowest that there is are drawn from.
    pub rank: u32,
}

/// What is to be done at a moment to come.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Errand {
    Probe,
    Housekeeping,
    Subscribe,
    Redial(SessionId),
    /// The dial of that number may have taken long enough for a second one.
    Second(SessionId, u32),
    /// So many steps are left to send away all that stands.
    Leave(usize),
}

impl Session {
    pub fn new(arrival: Arrival, row: Arc<Route>, now: Instant) -> Session {
        let (state, due) = (State::New, now + arrival.timeout);
        let (ran, last_tried, second, load) = (None, None, None, None);
        Session {
            arrival,
            row,
            due,
            state,
            dials: 0,
            own_failures: 0,
            ran,
            last_tried,
            second,
            load,
        }
    }
}
