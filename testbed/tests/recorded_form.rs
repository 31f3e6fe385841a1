//! The events in `events.jsonl`, which other tools read, keep their recorded form: each kind of
//! event is compared with all its keys.
use thistlecroft::time::{Duration, Instant};
use thistlecroft_testbed::event_recorder::{
    Answer, BackendIndex, Lifecycle, Observation, RecordedEvent, RelayIndex, Reply, SessionId,
};

const BACKEND: BackendIndex = BackendIndex(3);
const RELAY: RelayIndex = RelayIndex(1);
const SESSION: SessionId = SessionId(0xab);
const WAIT: Duration = Duration::from_millis(600);

fn instant() -> Instant {
    Instant::from_micros(1_500)
}

/// Asserts that each observation is recorded as a line of `{"ms":1.5,` followed by its form and
/// `}`.
fn assert_forms(forms: Vec<(Observation, &str)>) {
    for (observation, form) in forms {
        let event = RecordedEvent {
            at: instant(),
            observation,
        };
        let line = serde_json::to_string(&event).unwrap();
        assert_eq!(line, format!("{{\"ms\":1.5,{form}}}"));
    }
}

#[test]
fn requests_and_answers_keep_their_recorded_form() {
    let (session, relay) = (SESSION, Some(RELAY));
    let requested = Observation::SessionRequested {
        session,
        relay,
        listener: 2,
        timeout: WAIT,
        due: instant(),
        reconnecting: true,
    };
    let answered = |answer| Observation::Answered { session, answer };
    assert_forms(vec![
        (
            requested,
            r#""event":"asked","session":"00000000000000ab","relay":1,"listener":2,"wait":600.0,"due":1.5,"again":true"#,
        ),
        (
            answered(Answer::Accepted),
            r#""event":"answered","session":"00000000000000ab","answer":"up""#,
        ),
        (
            answered(Answer::Rejected(Some(WAIT))),
            r#""event":"answered","session":"00000000000000ab","answer":{"busy":600.0}"#,
        ),
        (
            answered(Answer::Rejected(None)),
            r#""event":"answered","session":"00000000000000ab","answer":{"busy":null}"#,
        ),
        (
            answered(Answer::Failed),
            r#""event":"answered","session":"00000000000000ab","answer":"failed""#,
        ),
    ]);
}

#[test]
fn events_after_an_answer_keep_their_recorded_form() {
    let session = SESSION;
    let late = Observation::MessageLate {
        session,
        waited: WAIT,
    };
    assert_forms(vec![
        (
            Observation::DataAfterAnswer { session },
            r#""event":"said-more","session":"00000000000000ab""#,
        ),
        (
            Observation::AnswerTimedOut { session },
            r#""event":"unanswered","session":"00000000000000ab""#,
        ),
        (
            Observation::ClosedUnanswered { session },
            r#""event":"dropped","session":"00000000000000ab""#,
        ),
        (
            Observation::ClientLeft { session },
            r#""event":"left-early","session":"00000000000000ab""#,
        ),
        (
            Observation::ConnectFailed { relay: None },
            r#""event":"never-taken","relay":null"#,
        ),
        (
            Observation::Migrated { session },
            r#""event":"moved","session":"00000000000000ab""#,
        ),
        (
            Observation::ConnectionLost { session },
            r#""event":"cut-off","session":"00000000000000ab""#,
        ),
        (
            Observation::SessionClosed { session },
            r#""event":"ended","session":"00000000000000ab""#,
        ),
        (
            late,
            r#""event":"line-late","session":"00000000000000ab","waited":600.0"#,
        ),
        (
            Observation::MessageMismatched { session },
            r#""event":"line-wrong","session":"00000000000000ab""#,
        ),
    ]);
}

#[test]
fn attempt_events_keep_their_recorded_form() {
    let (backend, session) = (BACKEND, SESSION);
    let received = Observation::AttemptReceived {
        backend,
        session,
        first_byte_at: instant(),
    };
    let answered = |reply| Observation::AttemptAnswered {
        backend,
        session,
        reply,
    };
    let delayed = Observation::BackendDelayedMessage {
        backend,
        session,
        waited: WAIT,
    };
    assert_forms(vec![
        (
            received,
            r#""event":"dial-came","at":3,"session":"00000000000000ab","first":1.5"#,
        ),
        (
            answered(Reply::Accepted),
            r#""event":"dial-replied","at":3,"session":"00000000000000ab","reply":"up""#,
        ),
        (
            answered(Reply::Rejected),
            r#""event":"dial-replied","at":3,"session":"00000000000000ab","reply":"busy""#,
        ),
        (
            answered(Reply::Failed),
            r#""event":"dial-replied","at":3,"session":"00000000000000ab","reply":"failed""#,
        ),
        (
            Observation::AttemptAbandoned { backend, session },
            r#""event":"dial-gone","at":3,"session":"00000000000000ab""#,
        ),
        (
            Observation::BackendClosedSession { backend, session },
            r#""event":"box-ended","at":3,"session":"00000000000000ab""#,
        ),
        (
            delayed,
            r#""event":"box-held","at":3,"session":"00000000000000ab","waited":600.0"#,
        ),
    ]);
}

#[test]
fn backend_events_keep_their_recorded_form() {
    let (backend, relay) = (BACKEND, RELAY);
    let fault = Observation::BackendFault {
        backend,
        name: "mute",
        active: true,
    };
    let load = Observation::BackendLoad {
        backend,
        load: 0.5,
        sessions: 7,
        capacity_share: 1.0,
        warm_up_budget_used: 0.25,
    };
    let announced = Observation::EndpointAnnounced {
        relay,
        backend,
        lifecycle: Lifecycle::Draining,
    };
    let banned = Observation::BackendBanned {
        relay,
        backend,
        banned: true,
    };
    let paused = Observation::BackendPaused {
        backend,
        paused: true,
    };
    assert_forms(vec![
        (
            Observation::BackendStarted {
                backend,
                cold: true,
            },
            r#""event":"box-started","at":3,"cold":true"#,
        ),
        (
            Observation::BackendDraining { backend },
            r#""event":"box-drains","at":3"#,
        ),
        (
            Observation::BackendStopped { backend },
            r#""event":"box-stopped","at":3"#,
        ),
        (
            Observation::BackendOverloaded { backend },
            r#""event":"box-fell","at":3"#,
        ),
        (paused, r#""event":"still","at":3,"on":true"#),
        (fault, r#""event":"ailment","at":3,"name":"mute","on":true"#),
        (
            load,
            r#""event":"box-load","at":3,"load":0.5,"held":7,"share":1.0,"pushed":0.25"#,
        ),
        (
            announced,
            r#""event":"told","relay":1,"at":3,"lifecycle":"draining""#,
        ),
        (banned, r#""event":"by-hand","relay":1,"at":3,"out":true"#),
    ]);
}

#[test]
fn relay_process_and_run_events_keep_their_recorded_form() {
    let relay = RELAY;
    let agent_fault = Observation::AgentFault {
        relay,
        fault: "discovery-stale",
        active: false,
    };
    let cost = Observation::RelayCost {
        relay,
        cpu_time: WAIT,
        resident_bytes: 4_096,
    };
    let paused = Observation::RelayPaused {
        relay,
        paused: true,
    };
    assert_forms(vec![
        (
            agent_fault,
            r#""event":"agent","relay":1,"fault":"discovery-stale","on":false"#,
        ),
        (
            Observation::RelayStarted { relay },
            r#""event":"relay-started","relay":1"#,
        ),
        (
            Observation::RelayStopRequested { relay },
            r#""event":"relay-told-to-stop","relay":1"#,
        ),
        (
            Observation::RelayKilled { relay },
            r#""event":"relay-killed","relay":1"#,
        ),
        (
            Observation::RelayStopped { relay },
            r#""event":"relay-stopped","relay":1"#,
        ),
        (paused, r#""event":"relay-still","relay":1,"on":true"#),
        (
            cost,
            r#""event":"relay-cost","relay":1,"cpu":600.0,"resident":4096"#,
        ),
        (
            Observation::TestbedDelayed { delay: WAIT },
            r#""event":"tool-late","by":600.0"#,
        ),
        (Observation::TestbedExhausted, r#""event":"tool-exhausted""#),
        (
            Observation::Note { text: "x".into() },
            r#""event":"mark","text":"x""#,
        ),
    ]);
}

#[test]
fn events_between_relays_keep_their_recorded_form() {
    let relay = RELAY;
    let link_fault = Observation::LinkFault {
        from: RELAY,
        to: RelayIndex(2),
        name: "bent",
        active: true,
    };
    let lease = Observation::LeaseClaimed {
        relay,
        subject: "turn",
        epoch: 4,
        requested_at: instant(),
        valid_until: instant(),
    };
    let members = Observation::MembersSeen {
        relay,
        members: vec!["relay-1".into()],
    };
    assert_forms(vec![
        (
            link_fault,
            r#""event":"link","from":1,"to":2,"name":"bent","on":true"#,
        ),
        (
            lease,
            r#""event":"lease-said","relay":1,"subject":"turn","epoch":4,"asked":1.5,"until":1.5"#,
        ),
        (members, r#""event":"sees","relay":1,"here":["relay-1"]"#),
    ]);
}
