//! The timeline of a violation: which events belong to it, and their text.
use crate::event_recorder::{
    Answer, BackendIndex, Observation, RecordedEvent, RelayIndex, Reply, SessionId,
};

/// What a violation is about.
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

    /// Whether an event belongs to the timeline. Of a backend without a session these are also the
    /// attempts of all sessions.
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

/// The backend whose state an event changes.
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

/// An event as a line of a timeline.
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
            "client {:016x} asks {} and waits {} ms",
            session.0,
            relay_name(*relay),
            timeout.as_millis()
        ),
        Observation::Answered { answer, .. } => describe_answer(*answer),
        Observation::DataAfterAnswer { .. } => "the client hears a further line".into(),
        Observation::AnswerTimedOut { .. } => "the client's wait is over, nothing has come".into(),
        Observation::ClosedUnanswered { .. } => {
            "the client's connection ends without an answer".into()
        }
        Observation::ClientLeft { .. } => "the client leaves".into(),
        Observation::ConnectFailed { relay } => {
            format!("{} takes no connection", relay_name(*relay))
        }
        Observation::Migrated { .. } => "the client hears MOVE".into(),
        Observation::ConnectionLost { .. } => "the client's connection is cut off".into(),
        Observation::SessionClosed { .. } => "the client's connection ends well".into(),
        Observation::MessageLate { waited, .. } => {
            format!("a line is back after {} ms", waited.as_millis())
        }
        Observation::MessageMismatched { .. } => {
            "the client hears a line that it did not send".into()
        }
        _ => return None,
    };
    Some(text)
}

fn describe_answer(answer: Answer) -> String {
    match answer {
        Answer::Accepted => "the client hears UP".into(),
        Answer::Rejected(Some(wait)) => format!("the client hears BUSY {}", wait.as_millis()),
        Answer::Rejected(None) => "the client hears BUSY".into(),
        Answer::Failed => "the client hears that it failed".into(),
    }
}

fn relay_name(relay: Option<RelayIndex>) -> String {
    relay.map_or("a box itself".into(), |relay| format!("relay {}", relay.0))
}

fn describe_backend_event(observation: &Observation) -> Option<String> {
    let (backend, text) = match observation {
        Observation::AttemptReceived { backend, .. } => (backend, " has a dial of it".into()),
        Observation::AttemptAnswered { backend, reply, .. } => {
            (backend, format!(" replies {}", reply_name(*reply)))
        }
        Observation::AttemptAbandoned { backend, .. } => {
            (backend, " sees the dial given up".into())
        }
        Observation::BackendClosedSession { backend, .. } => {
            (backend, " ends the connection".into())
        }
        Observation::BackendDelayedMessage {
            backend, waited, ..
        } => (
            backend,
            format!(" keeps a line for {} ms", waited.as_millis()),
        ),
        Observation::BackendStarted { backend, cold } => (
            backend,
            format!(" starts{}", if *cold { ", cold" } else { "" }),
        ),
        Observation::BackendDraining { backend } => (backend, " drains".into()),
        Observation::BackendStopped { backend } => (backend, " stops".into()),
        Observation::BackendOverloaded { backend } => (backend, " falls over".into()),
        Observation::BackendPaused { backend, paused } => (backend, pause(*paused).into()),
        Observation::BackendFault {
            backend,
            name,
            active,
        } => (backend, fault(name, *active)),
        Observation::BackendLoad { backend, load, .. } => {
            (backend, format!(" has a load of {load:.2}"))
        }
        _ => return None,
    };
    Some(format!("box {}{text}", backend.0))
}

fn reply_name(reply: Reply) -> &'static str {
    match reply {
        Reply::Accepted => "UP",
        Reply::Rejected => "BUSY",
        Reply::Failed => "that it failed",
    }
}

fn pause(paused: bool) -> &'static str {
    if paused { " stands still" } else { " goes on" }
}

fn fault(name: &str, active: bool) -> String {
    format!(": {name}{}", if active { "" } else { " is over" })
}

fn describe_relay_event(observation: &Observation) -> Option<String> {
    let (relay, text) = match observation {
        Observation::EndpointAnnounced {
            relay,
            backend,
            lifecycle,
        } => (relay, format!(" is told: box {} {lifecycle:?}", backend.0)),
        Observation::BackendBanned {
            relay,
            backend,
            banned,
        } => {
            let state = if *banned { "out" } else { "wanted back" };
            (relay, format!(": box {} is {state} by hand", backend.0))
        }
        Observation::AgentFault {
            relay,
            fault: name,
            active,
        } => (relay, fault(name, *active)),
        Observation::RelayStarted { relay } => (relay, " starts".into()),
        Observation::RelayStopRequested { relay } => (relay, " is told to stop".into()),
        Observation::RelayKilled { relay } => (relay, " is killed".into()),
        Observation::RelayStopped { relay } => (relay, " has stopped".into()),
        Observation::RelayCost { relay, .. } => (relay, " is measured".into()),
        Observation::RelayPaused { relay, paused } => (relay, pause(*paused).into()),
        Observation::LeaseClaimed {
            relay,
            subject,
            epoch,
            ..
        } => (
            relay,
            format!(" says that it holds {subject} by epoch {epoch}"),
        ),
        Observation::MembersSeen { relay, members } => {
            (relay, format!(" sees {} here", members.len()))
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
        } => format!("link {} to {}{}", from.0, to.0, fault(name, *active)),
        Observation::TestbedDelayed { delay } => {
            format!("the stand-ins are {} ms late", delay.as_millis())
        }
        Observation::TestbedExhausted => "the stand-ins are out of descriptors".into(),
        Observation::Note { text } => text.clone(),
        other => format!("{other:?}"),
    }
}
