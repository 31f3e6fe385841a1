//! Established sessions: lines, ends and migration.
use crate::helper::*;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn lines_and_ends_are_relayed_both_ways() {
    let (address, received) = backend(Play::Echo);
    let relay = relay_with(&[address]);
    let mut client = relay.open("safe", 1_000);
    assert_eq!(client.hears(), "UP receipt");
    next(&received);
    client.say("one\r\ntwo\r\nth");
    assert_eq!([client.hears(), client.hears()], ["one", "two"]);
    client.say("ree\r\nlast without an ending");
    client.ends_sending();
    assert_eq!(
        [client.hears(), client.hears()],
        ["three", "last without an endingBYE inflight=1"]
    );
    assert_eq!(client.hears(), "end");
    let passed: Vec<String> = (0..5).map(|_| next(&received)).collect();
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
    let mut breaks = relay.open("safe", 1_000);
    breaks.hears();
    next(&received);
    breaks.say("unread answer\r\n");
    next(&received);
    breaks.lines.get_ref().peek(&mut [0; 1]).unwrap();
    drop(breaks);
    assert_eq!(next(&received), "reset");
}

#[test]
fn backend_end_is_relayed_behind_its_last_lines() {
    let cases = [
        (
            Play::UpThen("a\r\nBYE\r\n"),
            &["UP receipt", "a", "BYE", "end"][..],
        ),
        (Play::UpThen("MOVE\r\n"), &["UP receipt", "MOVE", "end"]),
        (Play::UpThen("half"), &["UP receipt", "half", "end"]),
    ];
    for (play, expected) in cases {
        let (address, _received) = backend(play);
        let relay = relay_with(&[address]);
        let mut client = relay.open("safe", 1_000);
        for word in expected {
            assert_eq!(client.hears(), *word, "{play:?}");
        }
    }
    let (address, _received) = backend(Play::UpThenReset);
    let relay = relay_with(&[address]);
    let mut client = relay.open("safe", 1_000);
    assert_eq!([client.hears(), client.hears()], ["UP receipt", "last"]);
    client.say("never read\r\n");
    assert_eq!(client.hears(), "reset");
}

#[test]
fn client_not_reading_holds_its_backend_back_and_loses_nothing() {
    const COUNT: usize = 1_000_000;
    let (address, _received) = backend(Play::Flood(COUNT));
    let relay = relay_with(&[address]);
    let mut client = relay.open("safe", 1_000);
    assert_eq!(client.hears(), "UP receipt");
    // Other clients are served while this one's lines wait.
    assert_eq!(relay.open("safe", 1_000).hears(), "UP receipt");
    for number in 0..COUNT {
        assert_eq!(client.hears(), format!("line {number}"));
    }
}

#[test]
fn session_with_silent_backend_is_migrated_in_time() {
    let (address, _received) = backend(Play::UpMute);
    let relay = relay_with(&[address]);
    let mut client = relay.open("safe", 1_000);
    assert_eq!(client.hears(), "UP receipt");
    let sent_at = Instant::now();
    client.say("anybody\r\n");
    assert_eq!([client.hears(), client.hears()], ["MOVE", "end"]);
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
    let (address, _received) = backend(Play::ReportsHighLatency);
    let relay = start(
        nobody(),
        1_000,
        &list(1, true, &[("b", address, "Ready")]),
        true,
    );
    let mut clients: Vec<Client> = (0..10).map(|_| relay.client()).collect();
    for client in &mut clients {
        client.say(&open_line("c=safe,d=1000,at=b"));
    }
    let (migrated, migrations) = channel();
    for mut client in clients {
        let migrated = migrated.clone();
        thread::spawn(move || {
            let last = std::iter::repeat_with(|| client.hears())
                .find(|line| !line.starts_with(['U', 'L']));
            if last.as_deref() == Some("MOVE") {
                let _ = migrated.send(());
            }
        });
    }
    migrations.recv_timeout(LONG).expect("nobody was moved");
}
