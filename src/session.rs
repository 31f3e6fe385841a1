//! One session as the decisions keep it: its states, and what belongs to it as long as it lasts. Types only.
use crate::deployment::Route;
use crate::front::Arrival;
use crate::ids::BackendId;
use crate::units::Moment;
use std::sync::Arc;

/// One dial, from its sending to its verdict.
#[derive(Clone, Copy)]
pub(crate) struct Dial {
    pub number: u32,
    pub backend: BackendId,
    pub sent: Moment,
}

#[derive(Clone, Copy, Default)]
pub(crate) enum State {
    #[default]
    New,
    Held,
    Dialling(Dial),
    Ready(Dial, Moment),
    /// The client has its answer or has left; only the verdict of a dial is waited for.
    Settled,
    Over,
}

/// One session, from its arrival to the last word about it.
pub(crate) struct Session {
    pub arrival: Arrival,
    pub row: Arc<Route>,
    pub due: Moment,
    pub state: State,
    pub dials: u32,
    pub own_failures: u32,
    /// The first dial that may have run, where and when.
    pub ran: Option<(BackendId, Moment)>,
    pub last_tried: Option<BackendId>,
    /// A second dial that is out beside the one of its state.
    pub second: Option<Dial>,
    /// What its connection asks for, as far as the front tells.
    pub load: Option<f64>,
}

impl Session {
    pub fn new(arrival: Arrival, row: Arc<Route>, now: Moment) -> Session {
        let (state, due) = (State::New, now + arrival.dial_timeout);
        let (ran, last_tried, second, load) = (None, None, None, None);
        Session { arrival, row, due, state, dials: 0, own_failures: 0, ran, last_tried, second, load }
    }
}
