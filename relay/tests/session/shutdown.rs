//! Sessions of a relay that is told to stop.
use crate::helper::*;
use std::time::{Duration, Instant};

#[test]
fn sigterm_migrates_established_answers_waiting_and_exits_cleanly() {
    let (echo, _) = start_backend(BackendBehavior::Echo);
    let (mute, mute_received) = start_backend(BackendBehavior::NeverRespond);
    let mut relay = start_relay_with_backends(&[echo]);
    let mut established: Vec<Client> = (0..7).map(|_| relay.open_session("safe", 1_000)).collect();
    for client in &mut established {
        assert_eq!(client.next_line(), "UP receipt");
    }
    let began = Instant::now();
    relay.signal("TERM");
    relay.wait_for_log("told to stop");
    // New sessions are still accepted, and migrated with the rest.
    established.push(relay.open_session("safe", 1_000));
    assert_eq!(established.last_mut().unwrap().next_line(), "UP receipt");
    for client in &mut established {
        assert_eq!([client.next_line(), client.next_line()], ["MOVE", "end"]);
    }
    assert!(wait_for_exit(&mut relay.child).success());
    // The longest connect timeout, 1.5 s, and 0.7 s more; twice that on a busy machine.
    assert!(
        began.elapsed() < Duration::from_millis(2_900),
        "{:?}",
        began.elapsed()
    );
    relay.wait_for_log("sent_away=8");

    let mut relay = start_relay_with_backends(&[mute]);
    let mut waiting = [
        relay.open_session("safe", 60_000),
        relay.open_session("once", 60_000),
    ];
    next_received(&mute_received);
    next_received(&mute_received);
    let began = Instant::now();
    relay.signal("TERM");
    assert!(waiting[0].next_line().starts_with("BUSY"));
    assert_eq!(waiting[1].next_line(), "ERR");
    assert!(wait_for_exit(&mut relay.child).success());
    assert!(
        began.elapsed() < Duration::from_millis(2_900),
        "{:?}",
        began.elapsed()
    );
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum StopMoment {
    /// SIGTERM comes twice.
    Twice,
    /// No endpoint list has come, and no backend is known.
    BeforeAnyList,
    /// Reloaded settings are not in force yet.
    AfterSettings,
    /// A first line becomes complete in the turn that handles SIGTERM.
    InOneTurn,
}

#[test]
fn sigterm_at_each_awkward_moment_answers_all_and_exits_in_time() {
    for moment in [
        StopMoment::Twice,
        StopMoment::BeforeAnyList,
        StopMoment::AfterSettings,
        StopMoment::InOneTurn,
    ] {
        assert_all_answered_in_time(moment);
    }
}

fn assert_all_answered_in_time(moment: StopMoment) {
    let agent = DiscoveryAgent::new();
    let (echo, _received) = start_backend(BackendBehavior::Echo);
    let (mute, mute_received) = start_backend(BackendBehavior::NeverRespond);
    let lists = moment != StopMoment::BeforeAnyList;
    let known = if lists {
        endpoint_list(1, true, &[("mute", mute, "Ready")])
    } else {
        "null".into()
    };
    let mut relay = start_relay_with_settings(agent.address, &known, &[LONG_DRAIN_GRACE]);
    let (watch, _) = agent.accept_request();
    // One client whose backend hangs, one that has sent half a line.
    let mut hangs = relay.open_session("once", 1_500);
    let mut half = relay.connect();
    half.send("OPEN ffffffffffffffaa 7f3a9c2");
    if lists {
        while !next_received(&mute_received).starts_with("OPEN") {}
        let rows = [("mute", mute, "Terminating"), ("echo", echo, "Ready")];
        send_list(&watch, &endpoint_list(2, true, &rows));
        relay.wait_for_counter("lists", 1);
    }
    let mut established = Vec::new();
    if moment == StopMoment::AfterSettings {
        let mut client = relay.open_session("safe", 1_500);
        assert_eq!(client.next_line(), "UP receipt");
        established.push(client);
        relay.reload_with("\"maxDials\": 1", "\"maxDials\": 2");
    }
    let began = Instant::now();
    relay.suspend();
    let mut late = relay.open_session("safe", 1_500);
    relay.signal("TERM");
    relay.signal("CONT");
    relay.wait_for_log("told to stop");
    if moment == StopMoment::Twice {
        relay.signal("TERM");
    }
    half.send("1e0b4d655 c=safe,d=1500\r\n");
    let up = if lists { "UP" } else { "BUSY" };
    for client in [&mut half, &mut late] {
        assert_eq!(client.next_line().split(' ').next(), Some(up), "{moment:?}");
    }
    // A session that may have run fails; one that was never sent is rejected.
    let (answer, expected) = (hangs.next_line(), if lists { "ERR" } else { "BUSY" });
    assert!(answer.starts_with(expected), "{moment:?}: {answer}");
    if lists {
        established.extend([half, late]);
    } else {
        drop((half, late));
    }
    for client in &mut established {
        let end = [client.next_line(), client.next_line()];
        assert_eq!(end, ["MOVE", "end"], "{moment:?}");
    }
    drop((established, hangs));
    assert!(wait_for_exit(&mut relay.child).success(), "{moment:?}");
    assert!(
        began.elapsed() < Duration::from_millis(2_200),
        "{moment:?}: {:?}",
        began.elapsed()
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
    // The client's receive window is full, and bytes wait on the way.
    let (mut before, mut same) = (0, 0);
    wait_for("the lines stand still", || {
        relay.signal("USR1");
        let now = counter_value(&relay.wait_for_log(" lines_down="), "lines_down");
        same = if now == before { same + 1 } else { 0 };
        before = now;
        (now > 0 && same > 20).then_some(())
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
