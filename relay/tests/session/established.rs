//! Tests of established sessions: relaying lines, ending and migration.
use crate::helper::*;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn lines_and_ends_are_relayed_both_ways() {
    let (address, received) = start_backend(BackendBehavior::Echo);
    let relay = start_relay_with_backends(&[address]);
    let mut client = relay.open_session("safe", 1_000);
    assert_eq!(client.next_line(), "UP receipt");
    next_received(&received);
    client.send("one\r\ntwo\r\nth");
    assert_eq!([client.next_line(), client.next_line()], ["one", "two"]);
    client.send("ree\r\nlast without an ending");
    client.finish_sending();
    assert_eq!(
        [client.next_line(), client.next_line()],
        ["three", "last without an endingBYE inflight=1"]
    );
    assert_eq!(client.next_line(), "end");
    let forwarded: Vec<String> = (0..5).map(|_| next_received(&received)).collect();
    assert_eq!(
        forwarded,
        [
            "one\r\n",
            "two\r\n",
            "three\r\n",
            "last without an ending",
            "end"
        ]
    );

    // A client's reset is passed on to its backend.
    let mut resetting = relay.open_session("safe", 1_000);
    resetting.next_line();
    next_received(&received);
    resetting.send("unread answer\r\n");
    next_received(&received);
    resetting.lines.get_ref().peek(&mut [0; 1]).unwrap();
    drop(resetting);
    assert_eq!(next_received(&received), "reset");
}

#[test]
fn backend_end_is_relayed_after_its_last_lines() {
    let cases = [
        (
            BackendBehavior::AcceptSendAndClose("a\r\nBYE\r\n"),
            &["UP receipt", "a", "BYE", "end"][..],
        ),
        (
            BackendBehavior::AcceptSendAndClose("MOVE\r\n"),
            &["UP receipt", "MOVE", "end"],
        ),
        (
            BackendBehavior::AcceptSendAndClose("half"),
            &["UP receipt", "half", "end"],
        ),
    ];
    for (behavior, expected) in cases {
        let (address, _received) = start_backend(behavior);
        let relay = start_relay_with_backends(&[address]);
        let mut client = relay.open_session("safe", 1_000);
        for line in expected {
            assert_eq!(client.next_line(), *line, "{behavior:?}");
        }
    }
    let (address, _received) = start_backend(BackendBehavior::AcceptThenReset);
    let relay = start_relay_with_backends(&[address]);
    let mut client = relay.open_session("safe", 1_000);
    assert_eq!(
        [client.next_line(), client.next_line()],
        ["UP receipt", "last"]
    );
    client.send("never read\r\n");
    assert_eq!(client.next_line(), "reset");
}

#[test]
fn client_not_reading_slows_its_backend_and_loses_no_lines() {
    const COUNT: usize = 1_000_000;
    let (address, _received) = start_backend(BackendBehavior::AcceptThenFlood(COUNT));
    let relay = start_relay_with_backends(&[address]);
    let mut client = relay.open_session("safe", 1_000);
    assert_eq!(client.next_line(), "UP receipt");
    // Other clients are served while the lines for the first one wait.
    assert_eq!(relay.open_session("safe", 1_000).next_line(), "UP receipt");
    for number in 0..COUNT {
        assert_eq!(client.next_line(), format!("line {number}"));
    }
}

#[test]
fn session_with_silent_backend_is_migrated_in_time() {
    let (address, _received) = start_backend(BackendBehavior::AcceptThenSilent);
    let relay = start_relay_with_backends(&[address]);
    let mut client = relay.open_session("safe", 1_000);
    assert_eq!(client.next_line(), "UP receipt");
    let sent_at = Instant::now();
    client.send("anybody\r\n");
    assert_eq!([client.next_line(), client.next_line()], ["MOVE", "end"]);
    assert!(
        sent_at.elapsed() < Duration::from_secs(5),
        "{:?}",
        sent_at.elapsed()
    );
}

#[test]
fn session_at_backend_reporting_high_latency_is_migrated() {
    // Only the reported latency causes the migration. Neither the load in health checks would, nor
    // the reported value if it were interpreted as a connection's load.
    let (address, _received) = start_backend(BackendBehavior::ReportsHighLatency);
    let relay = start_relay(
        unused_address(),
        1_000,
        &endpoint_list(1, true, &[("b", address, "Ready")]),
        true,
    );
    let mut clients: Vec<Client> = (0..10).map(|_| relay.connect()).collect();
    for client in &mut clients {
        client.send(&open_line("c=safe,d=1000,at=b"));
    }
    let (migrated, migrations) = channel();
    for mut client in clients {
        let migrated = migrated.clone();
        thread::spawn(move || {
            let first_other = std::iter::repeat_with(|| client.next_line())
                .find(|line| !line.starts_with(['U', 'L']));
            if first_other.as_deref() == Some("MOVE") {
                let _ = migrated.send(());
            }
        });
    }
    migrations
        .recv_timeout(TEST_TIMEOUT)
        .expect("no session was migrated");
}
