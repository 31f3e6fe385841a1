//! Established sessions: lines, ends and migration.
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
    let passed: Vec<String> = (0..5).map(|_| next_received(&received)).collect();
    assert_eq!(
        passed,
        [
            "one\r\n",
            "two\r\n",
            "three\r\n",
            "last without an ending",
            "end"
        ]
    );

    // A client's reset is passed on to its backend.
    let mut breaks = relay.open_session("safe", 1_000);
    breaks.next_line();
    next_received(&received);
    breaks.send("unread answer\r\n");
    next_received(&received);
    breaks.lines.get_ref().peek(&mut [0; 1]).unwrap();
    drop(breaks);
    assert_eq!(next_received(&received), "reset");
}

#[test]
fn backend_end_is_relayed_behind_its_last_lines() {
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
        for word in expected {
            assert_eq!(client.next_line(), *word, "{behavior:?}");
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
fn client_not_reading_holds_its_backend_back_and_loses_nothing() {
    const COUNT: usize = 1_000_000;
    let (address, _received) = start_backend(BackendBehavior::AcceptThenFlood(COUNT));
    let relay = start_relay_with_backends(&[address]);
    let mut client = relay.open_session("safe", 1_000);
    assert_eq!(client.next_line(), "UP receipt");
    // Other clients are served while this one's lines wait.
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
fn backend_reporting_high_latency_is_relieved() {
    // The load alone would not cause a migration; only the reported latency does. Taken for a
    // connection's load, it would not either.
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
            let last = std::iter::repeat_with(|| client.next_line())
                .find(|line| !line.starts_with(['U', 'L']));
            if last.as_deref() == Some("MOVE") {
                let _ = migrated.send(());
            }
        });
    }
    migrations
        .recv_timeout(TEST_TIMEOUT)
        .expect("nobody was moved");
}
