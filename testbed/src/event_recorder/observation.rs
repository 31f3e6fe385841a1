//! What is observed in a run. The serialized names are those of `events.jsonl`.
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
    /// The session was rejected, with the time to wait before a retry where one was given.
    #[serde(rename = "busy")]
    Rejected(#[serde(serialize_with = "serialize_optional_milliseconds")] Option<Duration>),
    /// The session failed.
    Failed,
}

/// How a backend answered a connection attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The session is established.
    #[serde(rename = "up")]
    Accepted,
    /// The attempt was rejected and never had an effect.
    #[serde(rename = "busy")]
    Rejected,
    /// The attempt failed and may have had its effect.
    Failed,
}

/// The state of a backend in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Lifecycle {
    /// It takes new sessions.
    Ready,
    /// It wants no new sessions and is shutting down gracefully.
    Draining,
    /// It is no longer listed.
    Gone,
}

/// One thing that a client, a backend, the discovery agent or the run itself observed.
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
        /// The relay that was asked; none in a baseline run without relays.
        relay: Option<RelayIndex>,
        /// The listener, by its place in the configuration.
        listener: u16,
        /// How long the client waits for its answer.
        #[serde(rename = "wait", serialize_with = "serialize_milliseconds")]
        timeout: Duration,
        /// When the client was to connect.
        #[serde(serialize_with = "serialize_instant")]
        due: Instant,
        /// The client had an established session before.
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
    /// A client read a further line behind a rejection or a failure.
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
    /// The connection was closed or reset before the answer.
    #[serde(rename = "dropped")]
    ClosedUnanswered {
        /// The session.
        session: SessionId,
    },
    /// The client left before its answer by its own decision.
    #[serde(rename = "left-early")]
    ClientLeft {
        /// The session.
        session: SessionId,
    },
    /// The relay did not take the connection, or reset it before the last byte was written.
    #[serde(rename = "never-taken")]
    ConnectFailed {
        /// The relay, if there is one.
        relay: Option<RelayIndex>,
    },
    /// An established session was asked to migrate.
    #[serde(rename = "moved")]
    Migrated {
        /// The session.
        session: SessionId,
    },
    /// An established session was closed or reset by the other side without a closing message.
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
    /// A message came back later than the limit.
    #[serde(rename = "line-late")]
    MessageLate {
        /// The session.
        session: SessionId,
        /// The time from its sending to its return.
        #[serde(serialize_with = "serialize_milliseconds")]
        waited: Duration,
    },
    /// A message came back that was not sent, or out of order.
    #[serde(rename = "line-wrong")]
    MessageMismatched {
        /// The session.
        session: SessionId,
    },
    /// A backend read the complete first line of a connection attempt.
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
        /// The reply.
        reply: Reply,
    },
    /// The relay closed an attempt before the reply.
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
    /// A backend itself delayed a message.
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
        /// It has to warm up.
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
    /// A backend was overloaded while warming up, which ends it.
    #[serde(rename = "box-fell")]
    BackendOverloaded {
        /// The backend.
        #[serde(rename = "at")]
        backend: BackendIndex,
    },
    /// A backend's process was paused or resumed: what happens in a pause is observed after it.
    #[serde(rename = "still")]
    BackendPaused {
        /// The backend.
        #[serde(rename = "at")]
        backend: BackendIndex,
        /// It is paused from now on.
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
        /// The fault holds from now on.
        #[serde(rename = "on")]
        active: bool,
    },
    /// A backend's load, sampled at each report.
    #[serde(rename = "box-load")]
    BackendLoad {
        /// The backend.
        #[serde(rename = "at")]
        backend: BackendIndex,
        /// Requested load over present capacity.
        load: f64,
        /// Established sessions.
        #[serde(rename = "held")]
        sessions: usize,
        /// The present part of its full capacity.
        #[serde(rename = "share")]
        capacity_share: f64,
        /// The greatest used part of its warm-up budget so far.
        #[serde(rename = "pushed")]
        warm_up_budget_used: f64,
    },
    /// The discovery agent wrote a backend's state to a relay.
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
        /// The ban holds from now on.
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
        /// The fault holds from now on.
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
    /// A relay was killed or ended by itself.
    RelayKilled {
        /// The relay.
        relay: RelayIndex,
    },
    /// A relay ended its graceful shutdown.
    RelayStopped {
        /// The relay.
        relay: RelayIndex,
    },
    /// A relay's process was paused (SIGSTOP) or resumed.
    #[serde(rename = "relay-still")]
    RelayPaused {
        /// The relay.
        relay: RelayIndex,
        /// It is paused from now on.
        #[serde(rename = "on")]
        paused: bool,
    },
    /// A fault was injected into the link between two relays, in one direction, or cleared.
    #[serde(rename = "link")]
    LinkFault {
        /// The sending relay.
        from: RelayIndex,
        /// The receiving relay.
        to: RelayIndex,
        /// The fault's name in scenarios.
        name: &'static str,
        /// The fault holds from now on.
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
        /// The end of the lease by that answer, counted from the asking.
        #[serde(rename = "until", serialize_with = "serialize_instant")]
        valid_until: Instant,
    },
    /// A relay answered at its admin port which relays it sees alive.
    #[serde(rename = "sees")]
    MembersSeen {
        /// The relay.
        relay: RelayIndex,
        /// The names, its own among them.
        #[serde(rename = "here")]
        members: Vec<String>,
    },
    /// What a relay's process used, sampled.
    RelayCost {
        /// The relay.
        relay: RelayIndex,
        /// CPU time since its start.
        #[serde(rename = "cpu", serialize_with = "serialize_milliseconds")]
        cpu_time: Duration,
        /// Resident memory in bytes.
        #[serde(rename = "resident")]
        resident_bytes: u64,
    },
    /// A thread of the testbed was late: what it observed in that time was observed late.
    #[serde(rename = "tool-late")]
    TestbedDelayed {
        /// The delay.
        #[serde(rename = "by", serialize_with = "serialize_milliseconds")]
        delay: Duration,
    },
    /// The testbed ran out of file descriptors: the relays are not to blame for what follows.
    #[serde(rename = "tool-exhausted")]
    TestbedExhausted,
    /// A remark of the run itself.
    #[serde(rename = "mark")]
    Note {
        /// The remark.
        text: String,
    },
}

/// An observation and when it was made.
#[derive(Clone, Debug, Serialize)]
pub struct RecordedEvent {
    /// Time since the start of the run.
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
