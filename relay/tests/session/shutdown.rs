//! Tests of sessions of a relay that is told to stop.
use crate::helper::*;
use std::time::{Duration, Instant};

#[test]
fn sigterm_migrates_established_sessions_answers_waiting_ones_and_exits_cleanly() {
    let (echo, _) = start_backend(BackendBehavior::Echo);
    let (mute, mute_received) = start_backend(BackendBehavior::NeverRespond);
    let mut relay = start_relay_with_backends(&[echo]);
    let mut established: Vec<Client> = (0..7).map(|_| relay.open_session("safe", 1_000)).collect();
    for client in &mut established {
        assert_eq!(client.next_line(), "UP receipt");
    }
    let started_at = Instant::now();
    relay.signal("TERM");
    relay.wait_for_log("told to stop");
    // New sessions are still accepted for a while, and migrated with the others.
    established.push(relay.open_session("safe", 1_000));
    assert_eq!(established.last_mut().unwrap().next_line(), "UP receipt");
    for client in &mut established {
        assert_eq!([client.next_line(), client.next_line()], ["MOVE", "end"]);
    }
    assert!(wait_for_exit(&mut relay.child).success());
    // A shutdown may take the longest connect timeout, 1.5 s, and 0.7 s more. The 0.7 s are doubled
    // for a busy machine.
    assert!(
        started_at.elapsed() < Duration::from_millis(2_900),
        "{:?}",
        started_at.elapsed()
    );
    relay.wait_for_log("sent_away=8");

    let mut relay = start_relay_with_backends(&[mute]);
    let mut waiting = [
        relay.open_session("safe", 60_000),
        relay.open_session("once", 60_000),
    ];
    next_received(&mute_received);
    next_received(&mute_received);
    let started_at = Instant::now();
    relay.signal("TERM");
    assert!(waiting[0].next_line().starts_with("BUSY"));
    assert_eq!(waiting[1].next_line(), "ERR");
    assert!(wait_for_exit(&mut relay.child).success());
    assert!(
        started_at.elapsed() < Duration::from_millis(2_900),
        "{:?}",
        started_at.elapsed()
    );
}

/// The moment at which the relay receives SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq)]
enum StopMoment {
    /// SIGTERM arrives a second time after the first was logged.
    Twice,
    /// No endpoint list has arrived, and no backend is known.
    BeforeFirstList,
    /// Settings were reloaded and are not in force yet.
    DuringReload,
    /// A client's first line arrives in the turn that handles SIGTERM.
    WithFirstLine,
}

#[test]
fn sigterm_at_each_moment_answers_all_clients_and_exits_in_time() {
    for moment in [
        StopMoment::Twice,
        StopMoment::BeforeFirstList,
        StopMoment::DuringReload,
        StopMoment::WithFirstLine,
    ] {
        assert_all_answered_in_time(moment);
    }
}

fn assert_all_answered_in_time(moment: StopMoment) {
    let agent = DiscoveryAgent::new();
    let (echo, _received) = start_backend(BackendBehavior::Echo);
    let (mute, mute_received) = start_backend(BackendBehavior::NeverRespond);
    let has_list = moment != StopMoment::BeforeFirstList;
    let known = if has_list {
        endpoint_list(1, true, &[("mute", mute, "Ready")])
    } else {
        "null".into()
    };
    let mut relay = start_relay_with_settings(agent.address, &known, &[LONG_DRAIN_GRACE]);
    let (watch, _) = agent.accept_request();
    // The backend of one client does not answer. Another client has sent half a line.
    let mut waiting = relay.open_session("once", 1_500);
    let mut partial = relay.connect();
    partial.send("OPEN ffffffffffffffaa 7f3a9c2");
    if has_list {
        while !next_received(&mute_received).starts_with("OPEN") {}
        let rows = [("mute", mute, "Terminating"), ("echo", echo, "Ready")];
        send_list(&watch, &endpoint_list(2, true, &rows));
        relay.wait_for_counter("lists", 1);
    }
    let mut established = Vec::new();
    if moment == StopMoment::DuringReload {
        let mut client = relay.open_session("safe", 1_500);
        assert_eq!(client.next_line(), "UP receipt");
        established.push(client);
        relay.reload_with("\"maxDials\": 1", "\"maxDials\": 2");
    }
    let started_at = Instant::now();
    // The half line and the reloaded settings are handled before the late client connects.
    relay.suspend_while_polling();
    let mut late = relay.open_session("safe", 1_500);
    relay.signal("TERM");
    relay.signal("CONT");
    relay.wait_for_log("told to stop");
    if moment == StopMoment::Twice {
        relay.signal("TERM");
    }
    partial.send("1e0b4d655 c=safe,d=1500\r\n");
    let up = if has_list { "UP" } else { "BUSY" };
    for client in [&mut partial, &mut late] {
        assert_eq!(client.next_line().split(' ').next(), Some(up), "{moment:?}");
    }
    // A session that may have run fails; one that was never sent is rejected.
    let (answer, expected) = (waiting.next_line(), if has_list { "ERR" } else { "BUSY" });
    assert!(answer.starts_with(expected), "{moment:?}: {answer}");
    if has_list {
        established.extend([partial, late]);
    } else {
        drop((partial, late));
    }
    for client in &mut established {
        let end = [client.next_line(), client.next_line()];
        assert_eq!(end, ["MOVE", "end"], "{moment:?}");
    }
    drop((established, waiting));
    assert!(wait_for_exit(&mut relay.child).success(), "{moment:?}");
    assert!(
        started_at.elapsed() < Duration::from_millis(2_200),
        "{moment:?}: {:?}",
        started_at.elapsed()
    );
}

#[test]
fn sigterm_while_a_client_does_not_read_delivers_its_lines_before_its_migration() {
    let (address, _received) = start_backend(BackendBehavior::AcceptThenFlood(400_000));
    let mut relay = start_relay_with_settings(
        unused_address(),
        &endpoint_list(1, true, &[("b", address, "Ready")]),
        &[],
    );
    let mut client = relay.open_session("safe", 1_500);
    assert_eq!(client.next_line(), "UP receipt");
    // Wait until the client's receive window is full and lines wait in the relay.
    let (mut last_count, mut unchanged_checks) = (0, 0);
    wait_for("the relay stops relaying lines", || {
        relay.signal("USR1");
        let count = counter_value(&relay.wait_for_log(" lines_down="), "lines_down");
        unchanged_checks = if count == last_count {
            unchanged_checks + 1
        } else {
            0
        };
        last_count = count;
        (count > 0 && unchanged_checks > 20).then_some(())
    });
    relay.signal("TERM");
    relay.wait_for_log("told to stop");
    let mut number = 0;
    loop {
        let line = client.next_line();
        if line == "MOVE" {
            break;
        }
        assert_eq!(line, format!("line {number}"));
        number += 1;
    }
    assert_eq!(client.next_line(), "end");
    assert!(number > 0);
    drop(client);
    assert!(wait_for_exit(&mut relay.child).success());
}

/// A listener whose clients wait longer than those of the other listeners.
const PATIENT_LISTENER: &str = "{\"name\": \"patient\", \"deadlineUs\": 3000000, \
    \"handshakeTargetUs\": 300000, \"effect\": \"retryable\", \"utility\": 1.0}, ";

/// Guards against connections that are cut off without a migration, after settings with a shorter
/// shutdown timeout are read while the shutdown runs.
#[test]
fn settings_reloaded_during_shutdown_leave_its_time_limit() {
    let listeners = format!("\"listeners\": [{PATIENT_LISTENER}");
    for signals_arrive_together in [false, true] {
        let (address, _received) = start_backend(BackendBehavior::Echo);
        let mut relay = start_relay_with_settings(
            unused_address(),
            &endpoint_list(1, true, &[("b", address, "Ready")]),
            &[("\"listeners\": [", &listeners)],
        );
        let mut established: Vec<Client> =
            (0..10).map(|_| relay.open_session("safe", 1_000)).collect();
        for client in &mut established {
            assert_eq!(client.next_line(), "UP receipt");
        }
        if signals_arrive_together {
            relay.suspend_while_polling();
        }
        relay.signal("TERM");
        if !signals_arrive_together {
            relay.wait_for_log("told to stop");
        }
        relay.reload_with(PATIENT_LISTENER, "");
        if signals_arrive_together {
            relay.signal("CONT");
        }
        relay.wait_for_log("shutdown timeout: 3700 ms -> 2200 ms");
        for (number, client) in established.iter_mut().enumerate() {
            assert_eq!(
                [client.next_line(), client.next_line()],
                ["MOVE", "end"],
                "session {number}; signals together: {signals_arrive_together}"
            );
        }
        assert!(wait_for_exit(&mut relay.child).success());
    }
}

/// Guards against connections that are cut off without a migration where all clients wait so short
/// a time that little is left of the shutdown after the balancer's last step.
#[test]
fn shutdown_of_impatient_listeners_migrates_all_sessions() {
    for client_timeout_us in ["700000", "100000", "1000"] {
        let (address, _received) = start_backend(BackendBehavior::Echo);
        let deadline = format!("\"deadlineUs\": {client_timeout_us}");
        let mut relay = start_relay_with_settings(
            unused_address(),
            &endpoint_list(1, true, &[("b", address, "Ready")]),
            &[("\"deadlineUs\": 1500000", &deadline)],
        );
        let mut established: Vec<Client> =
            (0..10).map(|_| relay.open_session("safe", 1_000)).collect();
        for client in &mut established {
            assert_eq!(client.next_line(), "UP receipt");
        }
        relay.signal("TERM");
        for (number, client) in established.iter_mut().enumerate() {
            assert_eq!(
                [client.next_line(), client.next_line()],
                ["MOVE", "end"],
                "session {number}; client timeout {client_timeout_us} us"
            );
        }
        assert!(wait_for_exit(&mut relay.child).success());
    }
}
