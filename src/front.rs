//! The seam between the decisions and a protocol: what a front hands in, and what it carries out.
use crate::ids::{BackendId, CellId, RouteId, SessionId, ZoneId};
use crate::time::{Duration, Instant};

/// What the decisions ask of the protocol in front of them. Each call takes effect at once.
pub trait Front {
    fn dial(&mut self, session: SessionId, backend: BackendId, give_up_after: Duration);
    fn withdraw(&mut self, session: SessionId, dial: u32);
    fn refuse(&mut self, session: SessionId, retry_after: Option<Duration>);
    fn tear_down(&mut self, session: SessionId);
    /// Ends an established connection politely; its client comes again as a new session.
    fn send_away(&mut self, session: SessionId);
    fn probe(&mut self, backend: BackendId);
    /// Asks for one call of `Relay::woken` at this moment or soon after.
    fn wake(&mut self, at: Instant);
    fn subscribe(&mut self);
    /// Nothing more will be said about this session.
    fn release(&mut self, session: SessionId);
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Arrival {
    pub route: RouteId,
    pub key: Option<u64>,
    pub group: Option<u64>,
    pub dial_timeout: Duration,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    Ready,
    Draining,
    #[default]
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    Changes,
    Whole,
    /// The whole list as last held, maybe long out of date.
    Cached,
}

/// A line of the list of backends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Listing {
    pub backend: BackendId,
    /// The same number at every relay, whatever order they met the backends in.
    pub mark: u64,
    pub zone: ZoneId,
    pub cell: CellId,
    pub standing: Standing,
    /// Falls as connections held there grow; one where the list does not tell.
    pub weight: f64,
    /// None where it started long ago.
    pub up_since: Option<Instant>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Ok,
    Error,
    Full,
    Timeout,
    Unreachable,
    Reset,
    Withdrawn,
    NeverSent,
}

impl Verdict {
    pub fn may_have_run(self) -> bool {
        !matches!(
            self,
            Verdict::Full | Verdict::Unreachable | Verdict::NeverSent
        )
    }
}

/// What a backend says of itself, as far as it says anything.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    pub connections: Option<f64>,
    /// Load asked over what it can do.
    pub load: Option<f64>,
}

/// How a dial ended, or the connection that it set up.
#[derive(Clone, Copy, Debug)]
pub struct Ending {
    pub dial: u32,
    pub verdict: Verdict,
    /// The client has its answer by this ending or had it before.
    pub over: bool,
    pub report: Report,
}

/// What a relay has seen of one backend.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sight {
    pub heard: Option<(Instant, Report)>,
    /// The listed weight when it was heard of.
    pub weight_heard: f64,
    pub strikes: u32,
    pub ejections: u32,
    /// Probes that have to be answered in a row before it takes part again.
    pub owed: u32,
    /// The last turn in which this relay used it cold, and how often.
    pub cold_turn: Option<(u64, u32)>,
}

/// What one process of a relay hands to the next.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Memory {
    pub sights: Vec<(BackendId, Sight)>,
    pub set_up: Duration,
    /// Seconds that connections stood, and how many left by themselves, of late.
    pub stood: f64,
    pub left_alone: f64,
}
