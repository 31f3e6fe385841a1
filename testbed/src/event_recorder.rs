//! What boxes, discovery, clients and the run itself saw, in the order of its happening as far as
//! threads allow.
use serde::{Serialize, Serializer};
use std::sync::mpsc::{Receiver, Sender, channel};
use thistlecroft::time::{Duration, Instant};

/// The id in a session's first line: new with each connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tag(pub u64);

impl Serialize for Tag {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(&format_args!("{:016x}", self.0))
    }
}

fn ms<S: Serializer>(span: &Duration, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_f64(span.as_micros() as f64 / 1e3)
}

fn maybe_ms<S: Serializer>(span: &Option<Duration>, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_some(&span.map(|span| span.as_micros() as f64 / 1e3))
}

fn at_ms<S: Serializer>(at: &Instant, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_f64(at.as_micros() as f64 / 1e3)
}

/// A box by its place in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct BackendNumber(pub u16);

/// A relay by its place among those of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct RelayNumber(pub u16);

/// The final answer of a session, as its client read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    Up,
    Busy(#[serde(serialize_with = "maybe_ms")] Option<Duration>),
    Failed,
}

/// How a box answered a dial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    Up,
    /// Turned away: it never ran.
    Busy,
    /// It may have run.
    Failed,
}

/// What the list says of a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Lifecycle {
    Ready,
    Draining,
    Gone,
}

/// Written out, spans and moments are milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Observation {
    /// The last byte of a first line was written; the client waits for so long. A baseline has no
    /// relay.
    Asked {
        session: Tag,
        relay: Option<RelayNumber>,
        listener: u16,
        #[serde(serialize_with = "ms")]
        wait: Duration,
        #[serde(serialize_with = "at_ms")]
        due: Instant,
        again: bool,
    },
    Answered {
        session: Tag,
        answer: Answer,
    },
    /// A line behind a refusal or a teardown.
    SaidMore {
        session: Tag,
    },
    /// The client's wait was over and nothing had come.
    Unanswered {
        session: Tag,
    },
    /// The connection ended or broke before the answer.
    Dropped {
        session: Tag,
    },
    /// The client left before the answer, by its own will.
    LeftEarly {
        session: Tag,
    },
    /// The relay never took it: no connection, or broken before the last byte.
    NeverTaken {
        relay: Option<RelayNumber>,
    },
    Moved {
        session: Tag,
    },
    /// Up, then ended or broken by the other side without `MOVE` or `BYE`.
    CutOff {
        session: Tag,
    },
    /// Ended as the client wished, or as its box said.
    Ended {
        session: Tag,
    },
    LineLate {
        session: Tag,
        #[serde(serialize_with = "ms")]
        waited: Duration,
    },
    LineWrong {
        session: Tag,
    },
    /// A dial's first line was read whole; `first` is when its first byte was.
    DialCame {
        at: BackendNumber,
        session: Tag,
        #[serde(serialize_with = "at_ms")]
        first: Instant,
    },
    DialReplied {
        at: BackendNumber,
        session: Tag,
        reply: Reply,
    },
    /// The relay ended the dial before a reply.
    DialGone {
        at: BackendNumber,
        session: Tag,
    },
    /// The box ended a connection that stood, or broke it.
    BoxEnded {
        at: BackendNumber,
        session: Tag,
    },
    /// The box itself kept a line for so long.
    BoxHeld {
        at: BackendNumber,
        session: Tag,
        #[serde(serialize_with = "ms")]
        waited: Duration,
    },
    BoxStarted {
        at: BackendNumber,
        cold: bool,
    },
    BoxDrains {
        at: BackendNumber,
    },
    BoxStopped {
        at: BackendNumber,
    },
    /// Pushed over while cold.
    BoxFell {
        at: BackendNumber,
    },
    /// It stands still, or goes on: what it sees in between it sees late.
    Still {
        at: BackendNumber,
        on: bool,
    },
    BackendFault {
        at: BackendNumber,
        name: &'static str,
        on: bool,
    },
    /// Load over capacity, connections held, what it can do of its capacity, and how much of the
    /// cold budget is used.
    BoxLoad {
        at: BackendNumber,
        load: f64,
        held: usize,
        share: f64,
        pushed: f64,
    },
    /// Discovery has written it to the relay.
    Told {
        relay: RelayNumber,
        at: BackendNumber,
        lifecycle: Lifecycle,
    },
    /// An operator has this relay's yes that the box is out; or asks for it back.
    ByHand {
        relay: RelayNumber,
        at: BackendNumber,
        out: bool,
    },
    Agent {
        relay: RelayNumber,
        fault: &'static str,
        on: bool,
    },
    RelayStarted {
        relay: RelayNumber,
    },
    RelayToldToStop {
        relay: RelayNumber,
    },
    /// Killed outright, or gone by itself.
    RelayKilled {
        relay: RelayNumber,
    },
    RelayStopped {
        relay: RelayNumber,
    },
    /// The process stands still (SIGSTOP), or goes on.
    RelayStill {
        relay: RelayNumber,
        on: bool,
    },
    /// What is between two relays, in one direction, is bent, or as it was.
    Link {
        from: RelayNumber,
        to: RelayNumber,
        name: &'static str,
        on: bool,
    },
    /// At its door a relay said that it holds a lease: asked then, for so long from then.
    LeaseSaid {
        relay: RelayNumber,
        subject: &'static str,
        epoch: u64,
        #[serde(serialize_with = "at_ms")]
        asked: Instant,
        #[serde(serialize_with = "at_ms")]
        until: Instant,
    },
    /// Whom a relay said at its door that it sees here, itself among them.
    Sees {
        relay: RelayNumber,
        here: Vec<String>,
    },
    RelayCost {
        relay: RelayNumber,
        #[serde(serialize_with = "ms")]
        cpu: Duration,
        resident: u64,
    },
    /// A thread of the stand-ins was so late: what it saw in that time was seen late.
    ToolLate {
        #[serde(serialize_with = "ms")]
        by: Duration,
    },
    /// The stand-ins ran out of descriptors: what came of that is not the relays'.
    ToolExhausted,
    Mark {
        text: String,
    },
}

#[derive(Clone, Debug, Serialize)]
pub struct RecordedEvent {
    #[serde(rename = "ms", serialize_with = "at_ms")]
    pub at: Instant,
    #[serde(flatten)]
    pub seen: Observation,
}

/// Where sightings go. Cheap to clone, one for each thread.
#[derive(Clone)]
pub struct EventRecorder(Sender<RecordedEvent>);

pub fn event_recorder() -> (EventRecorder, EventLog) {
    let (tell, told) = channel();
    (
        EventRecorder(tell),
        EventLog {
            told,
            entries: Vec::new(),
        },
    )
}

impl EventRecorder {
    pub fn note(&self, at: Instant, seen: Observation) {
        // Nobody listens any more once a run is over; nothing is lost by that.
        let _ = self.0.send(RecordedEvent { at, seen });
    }
}

/// All that was noted so far.
pub struct EventLog {
    told: Receiver<RecordedEvent>,
    pub entries: Vec<RecordedEvent>,
}

impl EventLog {
    /// Takes in what has come; the place of the first new entry.
    pub fn gather(&mut self) -> usize {
        let from = self.entries.len();
        self.entries.extend(self.told.try_iter());
        from
    }

    /// Waits until an entry is such, from the first one on; false if none came within that time.
    pub fn wait_for(
        &mut self,
        within: std::time::Duration,
        such: impl Fn(&Observation) -> bool,
    ) -> bool {
        self.wait_until(within, |entries| {
            entries.iter().any(|entry| such(&entry.seen))
        })
    }

    pub fn wait_until(
        &mut self,
        within: std::time::Duration,
        done: impl Fn(&[RecordedEvent]) -> bool,
    ) -> bool {
        let until = std::time::Instant::now() + within;
        self.gather();
        while !done(&self.entries) {
            let left = until.saturating_duration_since(std::time::Instant::now());
            match self.told.recv_timeout(left) {
                Ok(entry) => self.entries.push(entry),
                Err(_) => return false,
            }
            self.gather();
        }
        true
    }

    /// In the order of time: threads note their own at their own pace.
    pub fn into_sorted(mut self) -> Vec<RecordedEvent> {
        self.gather();
        self.entries.sort_by_key(|entry| entry.at);
        self.entries
    }
}
