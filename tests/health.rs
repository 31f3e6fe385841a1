//! Health of backends: late messages, untrue reports, overdue responses and failures.
mod support;

use support::{
    Action, Harness, IDEMPOTENT, arrival, deployment, endpoint, ms, ready_endpoints, with_route,
};
use thistlecroft::attempt::AttemptOutcome;
use thistlecroft::deployment::Deployment;
use thistlecroft::endpoint::EndpointState;

/// Returns a harness with four backends that have reported and hold ten connections each, which
/// share no work.
fn four_backends() -> Harness {
    let mut harness = Harness::new(
        Deployment {
            groups_share_work: false,
            ..deployment(IDEMPOTENT)
        },
        &ready_endpoints(4),
    );
    (0..40).for_each(|id| harness.inherit(id, id % 4));
    harness.advance(ms(20_000));
    (0..4).for_each(|backend| harness.report(backend, Some(10.0), Some(0.4)));
    harness
}

/// Observes this latency, in milliseconds, on every connection of a backend.
fn observe_latency(harness: &mut Harness, backend: u32, latency: u64) {
    for id in (backend..40).step_by(4) {
        harness.observe_latency(id, ms(latency));
    }
}

/// Lets messages at backend 0 take `latency` milliseconds for four seconds, while it reports this
/// load.
fn late_for_four_seconds(harness: &mut Harness, latency: u64, load: f64) {
    for _ in 0..4 {
        observe_latency(harness, 0, latency);
        harness.report(0, Some(1.0), Some(load));
        harness.advance(ms(1_000));
    }
    observe_latency(harness, 0, latency);
}

/// Returns how many of these sessions go to the backend.
fn placed_at(harness: &mut Harness, backend: u32, ids: std::ops::Range<u32>) -> usize {
    let placed = ids.filter(|&id| {
        harness
            .arrive(id, arrival(0, 0, ms(4_800)))
            .is_some_and(|target| target.backend == backend)
    });
    placed.count()
}

#[test]
fn failing_backend_ejected_unless_fleet_fails() {
    // Each case: how many of six backends fail every attempt, and whether attempts still go to them
    // afterwards.
    for (failing, still_used) in [(1, false), (2, false), (6, true)] {
        let mut harness = Harness::new(
            with_route(|route| route.max_attempts = 1, deployment(IDEMPOTENT)),
            &ready_endpoints(6),
        );
        for id in 1..80 {
            let backend = harness
                .arrive(id, arrival(0, 0, ms(4_800)))
                .unwrap()
                .backend;
            if backend < failing {
                harness.end(id, 0, AttemptOutcome::Error, false);
            } else {
                harness.establish(id, 0);
            }
        }
        let used = (80..140).any(|id| {
            harness
                .arrive(id, arrival(0, 0, ms(4_800)))
                .unwrap()
                .backend
                < failing
        });
        assert_eq!(used, still_used, "{failing} failing");
        // Time alone does not end an ejection. Passed health checks do, here the fourth at the
        // latest.
        harness.advance(ms(40_000));
        let used_later = (80..140).any(|id| {
            harness
                .arrive(200 + id, arrival(0, 0, ms(4_800)))
                .unwrap()
                .backend
                < failing
        });
        assert_eq!(
            used_later, still_used,
            "{failing} failing: after 40 s without a health check"
        );
        for _ in 0..4 {
            (0..failing).for_each(|backend| harness.report(backend, Some(1.0), Some(0.1)));
            harness.advance(ms(100));
        }
        let used_after_checks = (140..220).any(|id| {
            harness
                .arrive(id, arrival(0, 0, ms(4_800)))
                .unwrap()
                .backend
                < failing
        });
        assert!(
            used_after_checks,
            "{failing} failing: used again after passed health checks"
        );
    }
}

#[test]
fn repeated_ejection_doubles_health_checks() {
    let mut harness = four_backends();
    for expected in [2, 4, 8, 16, 16] {
        (0..2).for_each(|_| harness.fail_health_check(0));
        for pending in (0..=expected).rev() {
            let statistics = harness.balancer.snapshot().endpoints[0].1;
            assert_eq!(statistics.pending_health_checks, pending, "of {expected}");
            harness.report(0, Some(10.0), Some(0.4));
        }
    }
    // An attempt that becomes ready clears the ejections.
    let connected = (100..200).any(|id| {
        let target = harness.arrive(id, arrival(0, 0, ms(4_800))).unwrap();
        harness.establish(id, 0);
        target.backend == 0
    });
    assert!(
        connected,
        "at least one of a hundred sessions goes to backend 0"
    );
    assert_eq!(harness.balancer.snapshot().endpoints[0].1.ejections, 0);
}

/// Backend 0 reports hardly any load while its messages are late.
#[test]
fn late_messages_override_low_report() {
    // Each case: the latency of the backend's messages in milliseconds (the objective is 50), and
    // whether the backend is selected.
    for (latency, selected) in [(5, true), (8, true), (30, false), (2_000, false)] {
        let mut harness = four_backends();
        late_for_four_seconds(&mut harness, latency, 0.02);
        assert_eq!(
            placed_at(&mut harness, 0, 100..112) > 0,
            selected,
            "messages take {latency} ms: whether the backend is selected"
        );
    }
}

/// Connections have come and gone for a long time: half of them depart within fourteen seconds.
#[test]
fn report_believed_again_once_backend_is_no_longer_late() {
    // Each case: the load reported while messages were late, whether a message in time is observed,
    // how many seconds pass, and whether the backend is selected then.
    let cases = [
        (0.02, false, 3, false),
        // The backend reported its true load, and is believed now.
        (1.50, false, 3, true),
        (0.02, true, 0, true),
        // No message in time is observed at the backend, but the connections that overloaded it
        // have departed meanwhile.
        (0.02, false, 60, true),
    ];
    for (load, in_time, seconds, selected) in cases {
        let mut harness = four_backends();
        late_for_four_seconds(&mut harness, 500, load);
        if in_time {
            observe_latency(&mut harness, 0, 5);
        }
        // Meanwhile other sessions arrive and depart by themselves, three per second.
        for id in 1_000..1_000 + seconds * 3 {
            harness.advance(ms(if id % 3 == 0 { 400 } else { 300 }));
            if let Some(target) = harness.arrive(id, arrival(0, 0, ms(4_800))) {
                assert!(selected || target.backend != 0, "session {id}");
                harness.establish(id, 0);
                harness.end(id, 0, AttemptOutcome::Ok, true);
            }
        }
        (1..4).for_each(|backend| harness.report(backend, Some(10.0), Some(0.4)));
        harness.report(0, Some(1.0), Some(0.02));
        let case = format!("load {load}, in time {in_time}, after {seconds} s");
        assert_eq!(placed_at(&mut harness, 0, 900..912) > 0, selected, "{case}");
    }
}

#[test]
fn late_and_failing_backend_relieved_of_all_connections() {
    // Each case: the observed latency in milliseconds, the number of health checks that fail, and
    // how many of ten connections are migrated within the next second.
    let cases = [
        (800, 1, 10..=10),
        (800, 2, 10..=10),
        (10, 1, 0..=0),
        (10, 2, 0..=0),
        (800, 0, 2..=6),
    ];
    for (latency, failed_checks, expected) in cases {
        let mut harness = four_backends();
        for _ in 0..failed_checks {
            harness.fail_health_check(0);
        }
        observe_latency(&mut harness, 0, latency);
        harness.advance(ms(600));
        let migrated = harness.migrations();
        assert!(
            expected.contains(&migrated),
            "latency {latency} ms, {failed_checks} failed health checks: {migrated} migrated"
        );
        let is_elsewhere = |action: &&Action| matches!(action, Action::Migrate(id) if id % 4 != 0);
        assert_eq!(
            harness.recorder.actions.iter().filter(is_elsewhere).count(),
            0,
            "connections of other backends stay"
        );
    }
}

/// What the endpoint list says of a backend's start after its connections have ended.
#[derive(Clone, Copy)]
enum ListedStart {
    /// The list is not updated.
    NotUpdated,
    WithoutStart,
    MillisAgo(u64),
}

/// Returns a harness for one of four relays, which has ten connections to each backend.
fn one_of_four_relays() -> Harness {
    let deployment = Deployment {
        groups_share_work: false,
        relay_count: 4,
        ..deployment(IDEMPOTENT)
    };
    let mut harness = Harness::new(deployment, &ready_endpoints(4));
    (0..40).for_each(|id| harness.inherit(id, id % 4));
    harness.advance(ms(20_000));
    harness
}

/// Backend 0 takes many sessions if it is warm and few if it is warming up.
#[test]
fn broken_connections_imply_restart() {
    use AttemptOutcome::{Ok, Reset};
    use ListedStart::{MillisAgo, NotUpdated, WithoutStart};
    // Each case: how many connections of backend 0 depart before, how the others end, how many of
    // them do not end, the list afterwards, and whether the backend counts as warming up.
    let cases = [
        ("all broke", 0, Reset, 0, NotUpdated, true),
        ("an older start", 0, Reset, 0, MillisAgo(60_000), true),
        ("no start listed", 0, Reset, 0, WithoutStart, true),
        ("one did not break", 0, Reset, 1, NotUpdated, false),
        ("nine departed before", 9, Reset, 0, NotUpdated, false),
        ("all departed", 0, Ok, 0, NotUpdated, false),
        ("a newer start", 0, Reset, 0, MillisAgo(1), true),
    ];
    for (case, departed, outcome, unbroken, listed, warms_up) in cases {
        let mut harness = one_of_four_relays();
        let connections: Vec<u32> = (0..40).step_by(4).collect();
        for &id in &connections[..departed] {
            harness.end(id, 0, Ok, true);
        }
        for &id in &connections[departed + unbroken..] {
            harness.end(id, 0, outcome, true);
        }
        let started_at = match listed {
            MillisAgo(age) => Some(harness.now - ms(age)),
            NotUpdated | WithoutStart => None,
        };
        if !matches!(listed, NotUpdated) {
            harness.update(endpoint(0, EndpointState::Ready, started_at));
        }
        harness.advance(ms(100));
        (1..4).for_each(|backend| harness.report(backend, Some(40.0), Some(0.55)));
        harness.report(0, Some(0.0), Some(0.0));
        let placed = placed_at(&mut harness, 0, 100..108);
        assert_eq!(
            placed < 3,
            warms_up,
            "{case}: {placed} of 8 sessions placed at backend 0"
        );
    }
}

#[test]
fn overstated_report_disbelieved_while_messages_in_time() {
    // Each case: whether latency is observed, the load that backend 0 reports, its latency in
    // milliseconds, whether this relay has connections there, and whether it is selected while the
    // others are nearly full.
    let cases = [
        (true, 3.0, 5, true, true),
        (true, 0.9, 5, true, false),
        (true, 3.0, 400, true, false),
        (true, 3.0, 5, false, false),
        (false, 3.0, 5, true, false),
    ];
    for (is_observed, load, latency, has_own_connections, selected) in cases {
        let deployment = Deployment {
            groups_share_work: false,
            observes_latency: is_observed,
            ..deployment(IDEMPOTENT)
        };
        let mut harness = Harness::new(deployment, &ready_endpoints(4));
        (0..40)
            .filter(|id| has_own_connections || id % 4 != 0)
            .for_each(|id| harness.inherit(id, id % 4));
        harness.advance(ms(20_000));
        for _ in 0..3 {
            observe_latency(&mut harness, 0, latency);
            (1..4).for_each(|backend| harness.report(backend, Some(100.0), Some(0.75)));
            harness.report(0, Some(100.0), Some(load));
            harness.advance(ms(100));
        }
        let case = format!(
            "latency observed {is_observed}, load {load}, {latency} ms, own connections {has_own_connections}"
        );
        assert_eq!(placed_at(&mut harness, 0, 100..106) > 0, selected, "{case}");
    }
}

#[test]
fn overdue_response_migrates_and_counts_failure() {
    // Each case: how long a response is overdue, in milliseconds, and whether the client is
    // migrated.
    for (waited, is_migrated) in [(250, false), (750, false), (1_000, true), (5_000, true)] {
        let mut harness = Harness::new(deployment(IDEMPOTENT), &ready_endpoints(4));
        let backend = harness.arrive(1, arrival(1, 0, ms(1_000))).unwrap().backend;
        harness.establish(1, 0);
        harness.response_overdue(1, ms(waited));
        assert_eq!(
            harness.migrations(),
            usize::from(is_migrated),
            "overdue for {waited} ms"
        );
        // Repeating the event, or reporting it for an unknown session, migrates no client.
        harness.response_overdue(1, ms(waited));
        harness.response_overdue(9, ms(waited));
        assert_eq!(
            harness.migrations(),
            usize::from(is_migrated),
            "overdue for {waited} ms"
        );
        // One more consecutive failure ejects the backend.
        harness.fail_health_check(backend);
        let selected = (10..30).any(|id| {
            harness
                .arrive(id, arrival(u64::from(id), 0, ms(1_000)))
                .unwrap()
                .backend
                == backend
        });
        assert_eq!(
            selected, !is_migrated,
            "overdue for {waited} ms: whether the backend is selected afterwards"
        );
    }
}

#[test]
fn overdue_response_of_ejected_backend_migrates_all() {
    // Each case: how many health checks of backend 1 fail, how long a response is overdue in
    // milliseconds, and how many of its three connections are migrated.
    for (failed_checks, waited, migrated) in [
        (0, 250, 0),
        (1, 250, 0),
        (2, 250, 3),
        (0, 1_000, 1),
        (1, 1_000, 1),
    ] {
        let mut harness = Harness::new(deployment(IDEMPOTENT), &ready_endpoints(4));
        for id in 0..12 {
            harness.inherit(id, id % 4);
        }
        for _ in 0..failed_checks {
            harness.fail_health_check(1);
        }
        harness.response_overdue(5, ms(waited));
        assert_eq!(
            harness.migrations(),
            migrated,
            "{failed_checks} failed health checks, overdue for {waited} ms"
        );
        let elsewhere = |action: &Action| matches!(action, Action::Migrate(id) if id % 4 != 1);
        assert!(
            !harness.recorder.actions.iter().any(elsewhere),
            "{failed_checks} failed health checks, overdue for {waited} ms"
        );
    }
}
