//! The timeline of a violation: which events belong to it, and how each is described.
use crate::event_recorder::{
    Answer, BackendIndex, Observation, RecordedEvent, RelayIndex, Reply, SessionId,
};

/// The session or backend that violated an invariant, or both.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Subject {
    pub(super) session: Option<SessionId>,
    pub(super) backend: Option<BackendIndex>,
}

impl Subject {
    pub(super) fn session(session: SessionId) -> Subject {
        Subject {
            session: Some(session),
            backend: None,
        }
    }

    pub(super) fn backend(backend: BackendIndex) -> Subject {
        Subject {
            session: None,
            backend: Some(backend),
        }
    }

    /// Returns whether an event belongs to the timeline. If the subject is a backend without a
    /// session, the attempts of all sessions at that backend belong to it too.
    pub(super) fn is_related(&self, observation: &Observation) -> bool {
        let changes_backend = self
            .backend
            .is_some_and(|backend| changed_backend(observation) == Some(backend));
        match self.session {
            Some(session) => changes_backend || session_of(observation) == Some(session),
            None => {
                changes_backend
                    || matches!(observation, Observation::AttemptReceived { backend, .. }
                        if self.backend == Some(*backend))
            }
        }
    }
}

/// Returns the session that an event concerns.
fn session_of(observation: &Observation) -> Option<SessionId> {
    match observation {
        Observation::SessionRequested { session, .. }
        | Observation::Answered { session, .. }
        | Observation::DataAfterAnswer { session }
        | Observation::AnswerTimedOut { session }
        | Observation::ClosedUnanswered { session }
        | Observation::ClientLeft { session }
        | Observation::Migrated { session }
        | Observation::ConnectionLost { session }
        | Observation::SessionClosed { session }
        | Observation::MessageLate { session, .. }
        | Observation::MessageMismatched { session }
        | Observation::AttemptReceived { session, .. }
        | Observation::AttemptAnswered { session, .. }
        | Observation::AttemptAbandoned { session, .. }
        | Observation::BackendClosedSession { session, .. }
        | Observation::BackendDelayedMessage { session, .. } => Some(*session),
        _ => None,
    }
}

/// Returns the backend whose state an event changes.
fn changed_backend(observation: &Observation) -> Option<BackendIndex> {
    match observation {
        Observation::BackendStarted { backend, .. }
        | Observation::BackendDraining { backend }
        | Observation::BackendStopped { backend }
        | Observation::BackendOverloaded { backend }
        | Observation::EndpointAnnounced { backend, .. }
        | Observation::BackendBanned { backend, .. }
        | Observation::BackendFault { backend, .. } => Some(*backend),
        _ => None,
    }
}

/// Returns a line of a timeline that describes an event.
pub(super) fn describe(event: &RecordedEvent) -> String {
    let text = describe_client_event(&event.observation)
        .or_else(|| describe_backend_event(&event.observation))
        .or_else(|| describe_relay_event(&event.observation))
        .unwrap_or_else(|| describe_run_event(&event.observation));
    format!("{:9.3} s  {text}", event.at.as_micros() as f64 / 1e6)
}

fn describe_client_event(observation: &Observation) -> Option<String> {
    let text = match observation {
        Observation::SessionRequested {
            session,
            relay,
            timeout,
            ..
        } => format!(
            "session {:016x} is requested from {} with a timeout of {} ms",
            session.0,
            relay_name(*relay),
            timeout.as_millis()
        ),
        Observation::Answered { answer, .. } => describe_answer(*answer),
        Observation::DataAfterAnswer { .. } => "the client receives more data".into(),
        Observation::AnswerTimedOut { .. } => "the client's timeout passes unanswered".into(),
        Observation::ClosedUnanswered { .. } => {
            "the client's connection is closed without an answer".into()
        }
        Observation::ClientLeft { .. } => "the client leaves before its answer".into(),
        Observation::ConnectFailed { relay } => {
            format!("the connection to {} fails", relay_name(*relay))
        }
        Observation::Migrated { .. } => "the client receives MOVE".into(),
        Observation::ConnectionLost { .. } => "the client's connection is lost".into(),
        Observation::SessionClosed { .. } => "the session ends normally".into(),
        Observation::MessageLate { waited, .. } => {
            format!("a message comes back after {} ms", waited.as_millis())
        }
        Observation::MessageMismatched { .. } => {
            "the client receives a message that it did not send, or out of order".into()
        }
        _ => return None,
    };
    Some(text)
}

fn describe_answer(answer: Answer) -> String {
    match answer {
        Answer::Accepted => "the client receives UP".into(),
        Answer::Rejected(Some(wait)) => format!("the client receives BUSY {}", wait.as_millis()),
        Answer::Rejected(None) => "the client receives BUSY".into(),
        Answer::Failed => "the client receives a failure".into(),
    }
}

fn relay_name(relay: Option<RelayIndex>) -> String {
    relay.map_or("a backend".into(), |relay| format!("relay {}", relay.0))
}

fn describe_backend_event(observation: &Observation) -> Option<String> {
    let (backend, text) = match observation {
        Observation::AttemptReceived { backend, .. } => (backend, " receives an attempt".into()),
        Observation::AttemptAnswered { backend, reply, .. } => {
            (backend, format!(" answers {}", reply_name(*reply)))
        }
        Observation::AttemptAbandoned { backend, .. } => {
            (backend, " finds its attempt abandoned".into())
        }
        Observation::BackendClosedSession { backend, .. } => {
            (backend, " closes the session".into())
        }
        Observation::BackendDelayedMessage {
            backend, waited, ..
        } => (
            backend,
            format!(" delays a message for {} ms", waited.as_millis()),
        ),
        Observation::BackendStarted { backend, cold } => (
            backend,
            format!(" starts{}", if *cold { " and has to warm up" } else { "" }),
        ),
        Observation::BackendDraining { backend } => (backend, " begins to drain".into()),
        Observation::BackendStopped { backend } => (backend, " stops".into()),
        Observation::BackendOverloaded { backend } => (backend, " is overloaded".into()),
        Observation::BackendPaused { backend, paused } => (backend, describe_pause(*paused).into()),
        Observation::BackendFault {
            backend,
            name,
            active,
        } => (backend, describe_fault(name, *active)),
        Observation::BackendLoad { backend, load, .. } => {
            (backend, format!(" has a load of {load:.2}"))
        }
        _ => return None,
    };
    Some(format!("backend {}{text}", backend.0))
}

fn reply_name(reply: Reply) -> &'static str {
    match reply {
        Reply::Accepted => "UP",
        Reply::Rejected => "BUSY",
        Reply::Failed => "with a failure",
    }
}

fn describe_pause(paused: bool) -> &'static str {
    if paused { " is paused" } else { " is resumed" }
}

fn describe_fault(name: &str, active: bool) -> String {
    format!(": fault {name}{}", if active { "" } else { " is cleared" })
}

fn describe_relay_event(observation: &Observation) -> Option<String> {
    let (relay, text) = match observation {
        Observation::EndpointAnnounced {
            relay,
            backend,
            lifecycle,
        } => (
            relay,
            format!(" is notified: backend {} is {lifecycle:?}", backend.0),
        ),
        Observation::BackendBanned {
            relay,
            backend,
            banned,
        } => {
            let state = if *banned { "banned" } else { "unbanned" };
            (
                relay,
                format!(": backend {} is {state} by an operator", backend.0),
            )
        }
        Observation::AgentFault {
            relay,
            fault: name,
            active,
        } => (relay, describe_fault(name, *active)),
        Observation::RelayStarted { relay } => (relay, " starts".into()),
        Observation::RelayStopRequested { relay } => (relay, " is requested to stop".into()),
        Observation::RelayKilled { relay } => (relay, " is killed".into()),
        Observation::RelayStopped { relay } => (relay, " has stopped".into()),
        Observation::RelayCost { relay, .. } => (relay, " has its resource usage measured".into()),
        Observation::RelayPaused { relay, paused } => (relay, describe_pause(*paused).into()),
        Observation::LeaseClaimed {
            relay,
            subject,
            epoch,
            ..
        } => (
            relay,
            format!(" answers that it holds the lease of {subject} with epoch {epoch}"),
        ),
        Observation::MembersSeen { relay, members } => {
            (relay, format!(" sees {} relays alive", members.len()))
        }
        _ => return None,
    };
    Some(format!("relay {}{text}", relay.0))
}

fn describe_run_event(observation: &Observation) -> String {
    match observation {
        Observation::LinkFault {
            from,
            to,
            name,
            active,
        } => format!(
            "link from relay {} to relay {}{}",
            from.0,
            to.0,
            describe_fault(name, *active)
        ),
        Observation::TestbedDelayed { delay } => {
            format!("the testbed is {} ms late", delay.as_millis())
        }
        Observation::TestbedExhausted => "the testbed has run out of file descriptors".into(),
        Observation::Note { text } => text.clone(),
        other => format!("{other:?}"),
    }
}
