//! What a relay reads at start: the deployment it serves, and the table of routes that its sessions
//! go by.
use crate::ids::ZoneId;
use crate::time::Duration;

/// The narrower is the greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    #[default]
    Repeatable,
    /// A repeat is dropped by the backends of `scope` for `window` after the first dial that may
    /// have run.
    Referenced {
        scope: Scope,
        window: Duration,
    },
    OnceOnly,
}

/// A row of the table of routes: one for each listener, and more of them where an operator's file
/// has them. A session keeps the row it began with.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Route {
    /// Rows of one number share what is counted and learnt; 0 where nothing is.
    pub lane: u32,
    pub handshake_target: Duration,
    pub effect: Effect,
    pub utility: f64,
    /// A connection that is not up by then has failed.
    pub connect_timeout: Duration,
    pub max_dials: u32,
    /// A dial is given up after so many times the set-up time of late.
    pub patience: f64,
    /// The first delay after a failure, before jitter.
    pub base: Duration,
    /// No delay is longer, before jitter.
    pub cap: Duration,
    /// A connection that drops sooner was never of use.
    pub cool_down: Duration,
    pub longest_retry_after: Duration,
    /// Further dials at most, as a part of the sessions.
    pub further_share: Option<f64>,
    /// Sessions at once; more are refused.
    pub most: Option<u32>,
    pub second: Option<SecondCopy>,
}

/// When a second dial goes out while the first is still out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SecondCopy {
    /// After this part of the recent set-ups were done...
    pub quantile: f64,
    /// ...between these.
    pub least: Duration,
    pub most: Duration,
    /// Second dials at most, as a part of the sessions.
    pub share: f64,
}

/// Dials of one relay beyond each session's first: in any window so many, and this part of the
/// sessions taken in it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ration {
    pub free: f64,
    pub share: f64,
    pub window: Duration,
}

/// How a cold backend may be loaded by all relays together.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdStart {
    pub start_share: f64,
    pub warm_up: Duration,
    pub factor: f64,
    pub window: Duration,
}

#[derive(Clone, Debug, Default)]
pub struct Deployment {
    pub me: u32,
    pub relays: u32,
    pub zone: ZoneId,
    pub tick: Duration,
    pub routes: Vec<Route>,
    /// How long a message may take on a connection that stands, of all listeners; zero where none
    /// is told.
    pub shortest_target: Duration,
    /// Messages that take long are noted.
    pub notes: bool,
    pub cold: ColdStart,
    pub ration: Option<Ration>,
    /// The list comes only when asked for, and must be asked for within this span.
    pub ask_within: Option<Duration>,
    /// Of probes; sessions go by their rows.
    pub connect_timeout: Duration,
    pub may_withdraw: bool,
    /// A session may have two dials out at once.
    pub two_dials: bool,
    pub may_probe: bool,
    /// Backends tell of their loads as shares of what they can do, in whatever way.
    pub tells_loads: bool,
    pub tells_retry_after: bool,
    pub crossing_price: f64,
    pub move_price: f64,
    pub probe_price: f64,
    /// Connections of one group share work on the backend that holds them.
    pub groups: bool,
    /// Once told to stop, all sessions must be over within this span.
    pub stop_within: Duration,
}
