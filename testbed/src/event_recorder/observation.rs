//! The observations of a run and their form in `events.jsonl`.
use super::ids::{BackendIndex, RelayIndex, SessionId};
use serde::{Serialize, Serializer};
use thistlecroft::time::{Duration, Instant};

/// The final answer to a session, as its client read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// The session is established.
    #[serde(rename = "up")]
    Accepted,
    /// The session was rejected, with the time to wait before a retry if one was given.
    #[serde(rename = "busy")]
    Rejected(#[serde(serialize_with = "serialize_optional_milliseconds")] Option<Duration>),
    /// The session failed.
    Failed,
}

/// How a backend answered an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The session is established.
    #[serde(rename = "up")]
    Accepted,
    /// The attempt was rejected and had no effect.
    #[serde(rename = "busy")]
    Rejected,
    /// The attempt failed and may have had its effect.
    Failed,
}

/// The state of a backend in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Lifecycle {
    /// The backend accepts new sessions.
    Ready,
    /// The backend accepts no new sessions and is shutting down gracefully.
    Draining,
    /// The backend is no longer listed.
    Gone,
}

/// A single observation of a client, backend, discovery agent or relay observer, or of the run
/// itself.
///
/// The serialized names are those of `events.jsonl`; durations and instants are written in
/// milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Observation {
    /// A client wrote the last byte of its first line.
    #[serde(rename = "asked")]
    SessionRequested {
        /// The session.
        session: SessionId,
        /// The relay that the client connected to; `None` in a baseline run without relays.
        relay: Option<RelayIndex>,
        /// The index of the listener in the configuration.
        listener: u16,
        /// How long the client waits for its answer.
        #[serde(rename = "wait", serialize_with = "serialize_milliseconds")]
        timeout: Duration,
        /// When the client was scheduled to connect.
        #[serde(serialize_with = "serialize_instant")]
        due: Instant,
        /// Whether the client had an established session before.
        #[serde(rename = "again")]
        reconnecting: bool,
    },
    /// A client read its final answer.
    Answered {
        /// The session.
        session: SessionId,
        /// The answer.
        answer: Answer,
    },
    /// A client read another line after a rejection or a failure.
    #[serde(rename = "said-more")]
    DataAfterAnswer {
        /// The session.
        session: SessionId,
    },
    /// The client's timeout passed without an answer.
    #[serde(rename = "unanswered")]
    AnswerTimedOut {
        /// The session.
        session: SessionId,
    },
    /// The client's connection was closed or reset before the answer.
    #[serde(rename = "dropped")]
    ClosedUnanswered {
        /// The session.
        session: SessionId,
    },
    /// The client closed its connection before the answer.
    #[serde(rename = "left-early")]
    ClientLeft {
        /// The session.
        session: SessionId,
    },
    /// A client could not connect, or its connection failed before the client had written the last
    /// byte of its first line.
    #[serde(rename = "never-taken")]
    ConnectFailed {
        /// The relay of the client's last endpoint; `None` in a baseline run without relays.
        relay: Option<RelayIndex>,
    },
    /// An established session was asked to migrate.
    #[serde(rename = "moved")]
    Migrated {
        /// The session.
        session: SessionId,
    },
    /// The connection of an established session was closed or reset by the other side without a
    /// closing message.
    #[serde(rename = "cut-off")]
    ConnectionLost {
        /// The session.
        session: SessionId,
    },
    /// A session ended as its client wished or as its backend announced.
    #[serde(rename = "ended")]
    SessionClosed {
        /// The session.
        session: SessionId,
    },
    /// A client received a message back later than the limit.
    #[serde(rename = "line-late")]
    MessageLate {
        /// The session.
        session: SessionId,
        /// The time from sending the message to receiving it back.
        #[serde(serialize_with = "serialize_milliseconds")]
        waited: Duration,
    },
    /// A client received a message that it had not sent, or out of order.
    #[serde(rename = "line-wrong")]
    MessageMismatched {
        /// The session.
        session: SessionId,
    },
    /// A backend read the complete first line of an attempt.
    #[serde(rename = "dial-came")]
    AttemptReceived {
        /// The backend.
        #[serde(rename = "at")]
        backend: BackendIndex,
        /// The session.
        session: SessionId,
        /// When the first byte of that line was read.
        #[serde(rename = "first", serialize_with = "serialize_instant")]
        first_byte_at: Instant,
    },
    /// A backend answered an attempt.
    #[serde(rename = "dial-replied")]
    AttemptAnswered {
        /// The backend.
        #[serde(rename = "at")]
        backend: BackendIndex,
        /// The session.
        session: SessionId,
        /// The backend's answer.
        reply: Reply,
    },
    /// The relay closed the connection of an attempt before the backend had answered.
    #[serde(rename = "dial-gone")]
    AttemptAbandoned {
        /// The backend.
        #[serde(rename = "at")]
        backend: BackendIndex,
        /// The session.
        session: SessionId,
    },
    /// A backend closed or reset an established session.
    #[serde(rename = "box-ended")]
    BackendClosedSession {
        /// The backend.
        #[serde(rename = "at")]
        backend: BackendIndex,
        /// The session.
        session: SessionId,
    },
    /// A backend delayed a message, so that the relay is not to blame for that time.
    #[serde(rename = "box-held")]
    BackendDelayedMessage {
        /// The backend.
        #[serde(rename = "at")]
        backend: BackendIndex,
        /// The session.
        session: SessionId,
        /// The delay.
        #[serde(serialize_with = "serialize_milliseconds")]
        waited: Duration,
    },
    /// A backend started.
    #[serde(rename = "box-started")]
    BackendStarted {
        /// The backend.
        #[serde(rename = "at")]
        backend: BackendIndex,
        /// Whether the backend has to warm up.
        cold: bool,
    },
    /// A backend began its graceful shutdown.
    #[serde(rename = "box-drains")]
    BackendDraining {
        /// The backend.
        #[serde(rename = "at")]
        backend: BackendIndex,
    },
    /// A backend's process ended.
    #[serde(rename = "box-stopped")]
    BackendStopped {
        /// The backend.
        #[serde(rename = "at")]
        backend: BackendIndex,
    },
    /// A backend was overloaded while warming up, which makes it stop.
    #[serde(rename = "box-fell")]
    BackendOverloaded {
        /// The backend.
        #[serde(rename = "at")]
        backend: BackendIndex,
    },
    /// A backend's process was paused or resumed. It observes the events of a pause only
    /// afterwards.
    #[serde(rename = "still")]
    BackendPaused {
        /// The backend.
        #[serde(rename = "at")]
        backend: BackendIndex,
        /// Whether the process is paused from now on.
        #[serde(rename = "on")]
        paused: bool,
    },
    /// A fault was injected into a backend or cleared.
    #[serde(rename = "ailment")]
    BackendFault {
        /// The backend.
        #[serde(rename = "at")]
        backend: BackendIndex,
        /// The fault's name in scenarios.
        name: &'static str,
        /// Whether the fault is active from now on.
        #[serde(rename = "on")]
        active: bool,
    },
    /// A backend's load, sampled at each load report.
    #[serde(rename = "box-load")]
    BackendLoad {
        /// The backend.
        #[serde(rename = "at")]
        backend: BackendIndex,
        /// The requested load divided by the present capacity.
        load: f64,
        /// The number of established sessions.
        #[serde(rename = "held")]
        sessions: usize,
        /// The present capacity as a fraction of the full capacity.
        #[serde(rename = "share")]
        capacity_share: f64,
        /// The greatest share of the warm-up budget used so far, as a fraction.
        #[serde(rename = "pushed")]
        warm_up_budget_used: f64,
    },
    /// A relay's discovery agent sent a backend's state to the relay.
    #[serde(rename = "told")]
    EndpointAnnounced {
        /// The relay.
        relay: RelayIndex,
        /// The backend.
        #[serde(rename = "at")]
        backend: BackendIndex,
        /// The announced state.
        lifecycle: Lifecycle,
    },
    /// A relay confirmed an operator's ban of a backend, or an operator asked to lift it.
    #[serde(rename = "by-hand")]
    BackendBanned {
        /// The relay.
        relay: RelayIndex,
        /// The backend.
        #[serde(rename = "at")]
        backend: BackendIndex,
        /// Whether the ban holds from now on.
        #[serde(rename = "out")]
        banned: bool,
    },
    /// A fault was injected into a relay's discovery agent or cleared.
    #[serde(rename = "agent")]
    AgentFault {
        /// The relay.
        relay: RelayIndex,
        /// The fault's name in scenarios.
        fault: &'static str,
        /// Whether the fault is active from now on.
        #[serde(rename = "on")]
        active: bool,
    },
    /// A relay is ready.
    RelayStarted {
        /// The relay.
        relay: RelayIndex,
    },
    /// A relay was sent SIGTERM.
    #[serde(rename = "relay-told-to-stop")]
    RelayStopRequested {
        /// The relay.
        relay: RelayIndex,
    },
    /// The run killed a relay's process.
    RelayKilled {
        /// The relay.
        relay: RelayIndex,
    },
    /// A relay's process ended after a graceful shutdown.
    RelayStopped {
        /// The relay.
        relay: RelayIndex,
    },
    /// A relay's process was paused (SIGSTOP) or resumed.
    #[serde(rename = "relay-still")]
    RelayPaused {
        /// The relay.
        relay: RelayIndex,
        /// Whether the process is paused from now on.
        #[serde(rename = "on")]
        paused: bool,
    },
    /// A fault was injected into one direction of the link between two relays, or cleared.
    #[serde(rename = "link")]
    LinkFault {
        /// The sending relay.
        from: RelayIndex,
        /// The receiving relay.
        to: RelayIndex,
        /// The name of the fault in recorded events, such as `cut` or `bent`.
        name: &'static str,
        /// Whether the fault is active from now on.
        #[serde(rename = "on")]
        active: bool,
    },
    /// A relay answered at its admin port that it holds a lease.
    #[serde(rename = "lease-said")]
    LeaseClaimed {
        /// The relay.
        relay: RelayIndex,
        /// The subject of the lease.
        subject: &'static str,
        /// The epoch of the lease.
        epoch: u64,
        /// When the relay was asked.
        #[serde(rename = "asked", serialize_with = "serialize_instant")]
        requested_at: Instant,
        /// The end of the lease: the remaining time of the answer, counted from the request.
        #[serde(rename = "until", serialize_with = "serialize_instant")]
        valid_until: Instant,
    },
    /// A relay answered at its admin port which relays it sees alive.
    #[serde(rename = "sees")]
    MembersSeen {
        /// The relay.
        relay: RelayIndex,
        /// The names of the relays, including the relay's own.
        #[serde(rename = "here")]
        members: Vec<String>,
    },
    /// A sample of the resources that a relay's process used.
    RelayCost {
        /// The relay.
        relay: RelayIndex,
        /// The CPU time since the start of the process.
        #[serde(rename = "cpu", serialize_with = "serialize_milliseconds")]
        cpu_time: Duration,
        /// The resident memory in bytes.
        #[serde(rename = "resident")]
        resident_bytes: u64,
    },
    /// A thread of the testbed was delayed, and recorded the events of that time late.
    #[serde(rename = "tool-late")]
    TestbedDelayed {
        /// The delay.
        #[serde(rename = "by", serialize_with = "serialize_milliseconds")]
        delay: Duration,
    },
    /// The testbed ran out of file descriptors, so that later failures are not the relays' fault.
    #[serde(rename = "tool-exhausted")]
    TestbedExhausted,
    /// Free text about the run, or about a line that a backend could not parse.
    #[serde(rename = "mark")]
    Note {
        /// The text of the note.
        text: String,
    },
}

/// An observation and the time at which it was made.
#[derive(Clone, Debug, Serialize)]
pub struct RecordedEvent {
    /// When the observation was made, as the time since the start of the run.
    #[serde(rename = "ms", serialize_with = "serialize_instant")]
    pub at: Instant,
    /// What was observed.
    #[serde(flatten)]
    pub observation: Observation,
}

fn serialize_milliseconds<S: Serializer>(duration: &Duration, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_f64(duration.as_micros() as f64 / 1e3)
}

fn serialize_optional_milliseconds<S: Serializer>(
    duration: &Option<Duration>,
    to: S,
) -> Result<S::Ok, S::Error> {
    to.serialize_some(&duration.map(|duration| duration.as_micros() as f64 / 1e3))
}

fn serialize_instant<S: Serializer>(at: &Instant, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_f64(at.as_micros() as f64 / 1e3)
}
