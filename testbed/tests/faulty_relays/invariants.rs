//! The invariant checker reports the invariant that a relay with one fault violates, and nothing if
//! the relay is correct under the same backend faults.
use super::faulty_relay::RelayFault;
use super::scenario::Scenario;
use std::thread;
use thistlecroft::deployment::{DeduplicationScope, Idempotency};
use thistlecroft::time::{Duration, Instant};
use thistlecroft_testbed::event_recorder::{
    Answer, BackendIndex, Lifecycle, Observation, RecordedEvent, RelayIndex, Reply, SessionId,
};
use thistlecroft_testbed::invariant_checker::{
    CheckResult, DeploymentProperties, check_invariants,
};
use thistlecroft_testbed::simulated_backends::{AgentFault, BackendCommand, BackendFault};

const ALL_BACKENDS: [BackendIndex; 3] = [BackendIndex(0), BackendIndex(1), BackendIndex(2)];

/// The number of the invariant that must be violated and a part of the first violation's
/// description, or `None` if no invariant may be violated.
type Expected = Option<(usize, &'static str)>;

/// A scenario and the expected result of the checker.
struct RelayCase {
    scenario: Scenario,
    expected: Expected,
}

impl RelayCase {
    /// Returns a case in which the relay's fault violates the given invariant.
    fn violated(invariant: usize, description: &'static str, scenario: Scenario) -> RelayCase {
        RelayCase {
            scenario,
            expected: Some((invariant, description)),
        }
    }

    /// Returns a case in which no invariant is violated.
    fn correct(scenario: Scenario) -> RelayCase {
        RelayCase {
            scenario,
            expected: None,
        }
    }

    /// Runs the scenario; returns a description of what was found if it is not as expected.
    fn run(&self) -> Result<(), String> {
        let (result, _) = self.scenario.run();
        if is_expected(&result, self.expected) {
            return Ok(());
        }
        let found: Vec<_> = result
            .first_violations
            .iter()
            .flatten()
            .map(|violation| (&violation.description, &violation.timeline))
            .collect();
        Err(format!(
            "{:?} with {:?}: expected {:?}, {} sessions: {found:#?}",
            self.scenario.fault, self.scenario.idempotency, self.expected, result.sessions
        ))
    }
}

/// Returns whether only the expected invariant is violated, with the expected description and a
/// timeline.
fn is_expected(result: &CheckResult, expected: Expected) -> bool {
    let Some((invariant, description)) = expected else {
        return result.holds() && result.sessions > 10;
    };
    let is_only_expected_violated = (1..)
        .zip(result.violation_counts)
        .all(|(number, count)| (count > 0) == (number == invariant));
    is_only_expected_violated
        && result.first_violations[invariant - 1]
            .as_ref()
            .is_some_and(|violation| {
                violation.description.contains(description)
                    && (!violation.timeline.is_empty() || description.contains("no client"))
            })
}

fn with_commands(fault: RelayFault, commands: Vec<(u64, BackendCommand)>) -> Scenario {
    Scenario {
        commands,
        ..Scenario::new(fault)
    }
}

fn with_idempotency(fault: RelayFault, idempotency: Idempotency) -> Scenario {
    Scenario {
        idempotency,
        commands: fault_at_all_backends(BackendFault::ErrorRate(0.5)),
        ..Scenario::new(fault)
    }
}

fn keyed(fault: RelayFault, scope: DeduplicationScope, window_ms: u64) -> Scenario {
    let window = Duration::from_millis(window_ms);
    Scenario {
        zones: &["a", "b"],
        ..with_idempotency(fault, Idempotency::Keyed { scope, window })
    }
}

/// Returns a scenario with a drain that no relay is notified of.
fn with_unannounced_drain(fault: RelayFault) -> Scenario {
    Scenario {
        commands: unannounced_drain(),
        duration_ms: 8_500,
        arrivals_per_second: 8.0,
        ..Scenario::new(fault)
    }
}

fn with_cold_restart(fault: RelayFault, relays: usize, arrivals_per_second: f64) -> Scenario {
    Scenario {
        relays,
        arrivals_per_second,
        ..with_commands(fault, cold_restart())
    }
}

fn fault_at_all_backends(fault: BackendFault) -> Vec<(u64, BackendCommand)> {
    ALL_BACKENDS
        .iter()
        .map(|&backend| (0, BackendCommand::InjectFault(backend, fault)))
        .collect()
}

fn drain() -> Vec<(u64, BackendCommand)> {
    let duration = Duration::from_millis(6_000);
    vec![(300, BackendCommand::Drain(BackendIndex(1), duration))]
}

/// Returns commands that silence the discovery agent and then drain a backend.
fn unannounced_drain() -> Vec<(u64, BackendCommand)> {
    let silence = BackendCommand::SetAgentFault(RelayIndex(0), AgentFault::Silent, true);
    let duration = Duration::from_millis(60_000);
    let drain = BackendCommand::Drain(BackendIndex(1), duration);
    vec![(0, silence), (100, drain)]
}

/// Returns a command that makes the last backend crash, restart and warm up.
fn cold_restart() -> Vec<(u64, BackendCommand)> {
    let restart_after = Some(Duration::from_millis(200));
    vec![(100, BackendCommand::Crash(BackendIndex(2), restart_after))]
}

fn many_faults() -> Vec<(u64, BackendCommand)> {
    let inject = |index, fault| BackendCommand::InjectFault(BackendIndex(index), fault);
    let ms = Duration::from_millis;
    vec![
        (0, inject(0, BackendFault::ErrorRate(0.3))),
        (0, inject(1, BackendFault::PeriodicPause(ms(600), ms(150)))),
        (400, BackendCommand::ClearFault(BackendIndex(0))),
        (500, inject(0, BackendFault::ResetOnRequest)),
        (700, inject(0, BackendFault::ResetOnAccept)),
        (900, inject(0, BackendFault::ResetAfterSetup)),
        (1_100, inject(0, BackendFault::PartialAnswer)),
        (1_400, inject(0, BackendFault::Unresponsive)),
        (1_600, BackendCommand::Drain(BackendIndex(1), ms(600))),
    ]
}

fn final_answer_cases() -> Vec<RelayCase> {
    let violated = |description, fault| RelayCase::violated(1, description, Scenario::new(fault));
    let crash = vec![(1_000, BackendCommand::Crash(BackendIndex(2), None))];
    vec![
        violated(
            "the session had no answer within its timeout",
            RelayFault::NeverAnswers,
        ),
        violated(
            "the connection was closed without an answer",
            RelayFault::ClosesUnanswered,
        ),
        violated(
            "the client received more data after the final answer",
            RelayFault::AnswersTwice,
        ),
        violated("ms after its timeout", RelayFault::AnswersLate),
        violated("the answer was withheld", RelayFault::WithholdsAnswer),
        violated(
            "the connection was lost without MOVE",
            RelayFault::DropsConnections,
        ),
        violated(
            "its backend had answered earlier",
            RelayFault::DelaysMessages,
        ),
        violated(
            "received a message that it had not sent",
            RelayFault::AltersMessages,
        ),
        violated("no client sent", RelayFault::SendsMalformedRequest),
        RelayCase::violated(
            1,
            "its backend had closed it",
            with_commands(RelayFault::KeepsOrphans, crash),
        ),
    ]
}

fn single_effect_cases() -> Vec<RelayCase> {
    let non_idempotent = |fault| with_idempotency(fault, Idempotency::NonIdempotent);
    vec![
        RelayCase::violated(
            2,
            "had concurrent attempts of the session",
            Scenario::new(RelayFault::ConcurrentAttempts),
        ),
        RelayCase::violated(
            2,
            "a non-idempotent session was attempted again",
            non_idempotent(RelayFault::RetriesNonIdempotent),
        ),
        RelayCase::violated(
            2,
            "may have had its effect was rejected",
            non_idempotent(RelayFault::RejectsNonIdempotent),
        ),
        RelayCase::violated(
            2,
            "where its key is not known",
            keyed(
                RelayFault::RetriesOutOfScope,
                DeduplicationScope::Zone,
                60_000,
            ),
        ),
        RelayCase::violated(
            2,
            "after its key had expired",
            keyed(RelayFault::RetriesTooLate, DeduplicationScope::All, 100),
        ),
    ]
}

fn drain_and_warm_up_cases() -> Vec<RelayCase> {
    let excluded = "after its drain, stop or ban was announced";
    let overloaded = "was overloaded while warming up";
    vec![
        RelayCase::violated(
            3,
            excluded,
            with_commands(RelayFault::IgnoresDrains, drain()),
        ),
        RelayCase::violated(
            3,
            excluded,
            with_unannounced_drain(RelayFault::IgnoresDrains),
        ),
        RelayCase::violated(
            4,
            overloaded,
            with_cold_restart(RelayFault::OverloadsLastBackend, 1, 20.0),
        ),
        RelayCase::violated(
            4,
            overloaded,
            with_cold_restart(RelayFault::OverloadsLastBackend, 3, 20.0),
        ),
    ]
}

/// Returns cases of a correct relay under all the conditions that the faulty relays are tested
/// under.
fn correct_cases() -> Vec<RelayCase> {
    let none = RelayFault::None;
    [
        Scenario::new(none),
        with_idempotency(none, Idempotency::NonIdempotent),
        keyed(none, DeduplicationScope::Zone, 100),
        // A retry at another backend is correct if all backends know the idempotency key.
        keyed(
            RelayFault::RetriesOutOfScope,
            DeduplicationScope::All,
            60_000,
        ),
        with_commands(none, drain()),
        with_cold_restart(none, 2, 10.0),
        with_commands(none, many_faults()),
    ]
    .into_iter()
    .map(RelayCase::correct)
    .collect()
}

#[test]
fn faulty_relay_violates_only_its_invariant() {
    let cases = [
        final_answer_cases(),
        single_effect_cases(),
        drain_and_warm_up_cases(),
        correct_cases(),
    ];
    let runs: Vec<_> = cases
        .into_iter()
        .flatten()
        .map(|case| thread::spawn(move || case.run()))
        .collect();
    let failures: Vec<String> = runs
        .into_iter()
        .filter_map(|run| run.join().unwrap().err())
        .collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Returns the observations of a session that is attempted once, `ms` milliseconds into the run,
/// and accepted.
fn accepted_session(ms: u64, relay: RelayIndex, backend: BackendIndex) -> Vec<(u64, Observation)> {
    let session = SessionId(7);
    let requested = Observation::SessionRequested {
        session,
        relay: Some(relay),
        listener: 0,
        timeout: Duration::from_millis(1_000),
        due: Instant::from_micros((ms - 5) * 1_000),
        reconnecting: false,
    };
    let received = Observation::AttemptReceived {
        backend,
        session,
        first_byte_at: Instant::from_micros(ms * 1_000),
    };
    let replied = Observation::AttemptAnswered {
        backend,
        session,
        reply: Reply::Accepted,
    };
    let answered = Observation::Answered {
        session,
        answer: Answer::Accepted,
    };
    vec![
        (ms - 5, requested),
        (ms, received),
        (ms + 1, replied),
        (ms + 2, answered),
        (ms + 50, Observation::SessionClosed { session }),
    ]
}

fn check_with_two_seconds_of_grace(events: &[RecordedEvent]) -> CheckResult {
    let deployment = DeploymentProperties {
        idempotency: vec![Idempotency::Idempotent],
        hedged: vec![false],
        drain_grace: Duration::from_millis(2_000),
        backend_locations: vec![("a".into(), 0); 3],
    };
    check_invariants(events, &deployment)
}

#[test]
fn attempt_at_banned_backend_after_grace_is_a_violation() {
    let (relay, backend) = (RelayIndex(0), BackendIndex(1));
    let ban = |relay, banned| Observation::BackendBanned {
        relay,
        backend,
        banned,
    };
    let restarted = Observation::BackendStarted {
        backend,
        cold: true,
    };
    let listed = Observation::EndpointAnnounced {
        relay,
        backend,
        lifecycle: Lifecycle::Ready,
    };
    // The observations before the attempt, the time of the attempt in milliseconds, and whether the
    // attempt is a violation.
    let cases = [
        (vec![(0, ban(relay, true))], 1_900, false),
        (vec![(0, ban(relay, true))], 2_500, true),
        (vec![(0, ban(RelayIndex(1), true))], 2_500, false),
        (
            vec![(0, ban(relay, true)), (2_000, ban(relay, false))],
            2_500,
            false,
        ),
        (
            vec![(0, ban(relay, true)), (1_500, ban(relay, true))],
            2_500,
            true,
        ),
        (vec![(0, ban(relay, true)), (1_000, restarted)], 2_500, true),
        (vec![(0, ban(relay, true)), (1_000, listed)], 2_500, true),
    ];
    for (before, attempt_ms, is_violation) in cases {
        let mut observations = vec![(0, Observation::RelayStarted { relay })];
        observations.extend(before);
        observations.extend(accepted_session(attempt_ms, relay, backend));
        let events: Vec<RecordedEvent> = observations
            .into_iter()
            .map(|(ms, observation)| RecordedEvent {
                at: Instant::from_micros(ms * 1_000),
                observation,
            })
            .collect();
        let result = check_with_two_seconds_of_grace(&events);
        let expected = [0, 0, usize::from(is_violation), 0];
        assert_eq!(result.violation_counts, expected, "{events:?}");
    }
}
