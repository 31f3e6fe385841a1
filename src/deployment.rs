//! What a relay reads at start and never changes: the deployment it serves and its table of listeners.
use crate::ids::ZoneId;
use crate::units::Span;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Repeatable,
    /// A repeat is dropped by the backends of `scope` for `window` after the first dial that may have run.
    Referenced {
        scope: Scope,
        window: Span,
    },
    OnceOnly,
}

/// A row of the table of listeners.
#[derive(Clone, Copy, Debug)]
pub struct Listener {
    pub handshake_target: Span,
    pub effect: Effect,
    pub utility: f64,
}

/// How a cold backend may be loaded by all relays together.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdStart {
    pub start_share: f64,
    pub warm_up: Span,
    pub factor: f64,
    pub window: Span,
}

#[derive(Clone, Debug, Default)]
pub struct Deployment {
    pub me: u32,
    pub relays: u32,
    pub zone: ZoneId,
    pub tick: Span,
    pub listeners: Vec<Listener>,
    /// How long a message may take on a connection that stands, of all listeners; zero where none is told.
    pub shortest_target: Span,
    pub cold: ColdStart,
    /// The list comes only when asked for, and must be asked for within this span.
    pub ask_within: Option<Span>,
    pub connect_timeout: Span,
    pub max_dials: u32,
    pub may_withdraw: bool,
    pub may_probe: bool,
    pub tells_retry_after: bool,
    pub longest_retry_after: Span,
    pub crossing_price: f64,
    pub move_price: f64,
    pub probe_price: f64,
    /// Connections of one group share work on the backend that holds them.
    pub groups: bool,
    /// Once told to stop, all sessions must be over within this span.
    pub stop_within: Span,
}
