//! Tests of a client's first line, and of clients that violate the protocol before they are
//! answered.
use crate::helper::*;
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn first_line_of_each_form_is_answered() {
    let relay = start_relay_with_backends(&[]);
    let cases: &[(&[&str], &[&str])] = &[
        (&["PING\r\n"], &["PONG"]),
        (
            &["PI", "NG", "\r", "\nPING\r\nPING\r\n"],
            &["PONG", "PONG", "PONG"],
        ),
        (&["PING\r\nhello\r\n"], &["PONG", "ERR", "end"]),
        (&["hello\r\n"], &["ERR", "end"]),
        (&["\r\n"], &["ERR", "end"]),
        // No backend is known, so the request is sent nowhere and may be retried.
        (&[&open_line("c=safe,d=1000")], &["BUSY", "end"]),
    ];
    for (pieces, expected) in cases {
        let mut client = relay.connect();
        for piece in *pieces {
            client.send(piece);
        }
        for line in *expected {
            assert_eq!(
                client.next_line().split(' ').next(),
                Some(*line),
                "{pieces:?}"
            );
        }
    }
    let mut truncated = relay.connect();
    truncated.send("OPEN 1 2 c=sa");
    truncated.finish_sending();
    assert_eq!(
        [truncated.next_line(), truncated.next_line()],
        ["ERR", "end"]
    );
}

#[test]
fn invalid_first_line_is_answered_in_time_and_reaches_no_backend() {
    let (address, received) = start_backend(BackendBehavior::Echo);
    let relay = start_relay_with_backends(&[address]);
    let valid = open_line("c=safe,d=1000");
    let mut owner = relay.connect();
    owner.send(&valid);
    assert_eq!(owner.next_line(), "UP receipt");
    let (id, huge) = (valid.split(' ').nth(1).unwrap(), "x".repeat(60_000_000));
    let many_requests = (0..300)
        .map(|_| open_line("c=safe,d=1000"))
        .collect::<String>();
    let fails = |name, text: String| (name, text, &["ERR", "end"][..]);
    let open_fails = |name, items: &str| fails(name, open_line(items));
    let cases = [
        ("no bytes", String::new(), &["end"][..]),
        (
            "a ping and no more bytes",
            "PING\r\n".into(),
            &["PONG", "end"],
        ),
        fails("half a line", "OPEN 1 2 c=sa".into()),
        fails(
            "the id of an open session",
            format!("OPEN {id} 0000000000000001 c=safe,d=1000\r\n"),
        ),
        fails("no id", "OPEN 7f3a9c21e0b4d655 c=safe,d=1000\r\n".into()),
        open_fails("two items of one name", "c=safe,d=1000,c=safe"),
        open_fails("an invalid wait", "c=safe,d=-1"),
        open_fails("an unknown listener", "c=safer,d=1000"),
        open_fails("an unknown backend", "c=safe,d=1000,at=b7"),
        fails("300 requests at once", many_requests),
        open_fails("a value of 60 MB", &format!("c=safe,d=1000,x={huge}")),
        fails("60 MB after an invalid line", format!("what\r\n{huge}")),
    ];
    for (name, text, expected) in cases {
        let (started_at, mut client) = (Instant::now(), relay.connect());
        let mut out = client.lines.get_ref().try_clone().unwrap();
        let writer = thread::spawn(move || out.write_all(text.as_bytes()));
        for line in expected {
            assert_eq!(client.next_line(), *line, "{name}");
        }
        assert!(
            started_at.elapsed() < Duration::from_secs(3),
            "{name}: {:?}",
            started_at.elapsed()
        );
        // The relay read everything, so the system did not reset the connection.
        writer
            .join()
            .unwrap()
            .unwrap_or_else(|error| panic!("{name}: {error}"));
        owner.send("still here\r\n");
        assert_eq!(owner.next_line(), "still here", "{name}");
    }
    let forwarded = received
        .try_iter()
        .filter(|line| line.starts_with("OPEN"))
        .count();
    assert_eq!(
        forwarded, 1,
        "only the owner's request may reach the backend"
    );
}

#[test]
fn client_sending_before_its_answer_fails_without_harming_its_backend() {
    let (address, received) = start_backend(BackendBehavior::NeverRespond);
    let relay = start_relay_with_backends(&[address]);
    for early_data in [
        open_line("c=safe,d=1000"),
        "x".repeat(10_000),
        "M 1 2\r\n".repeat(300),
    ] {
        let mut client = relay.connect();
        client.send(&open_line("c=once,d=3000"));
        while !next_received(&received).starts_with("OPEN") {}
        let started_at = Instant::now();
        client.send(&early_data);
        assert_eq!([client.next_line(), client.next_line()], ["ERR", "end"]);
        assert!(
            started_at.elapsed() < Duration::from_millis(300),
            "{:?}",
            started_at.elapsed()
        );
    }
    relay.signal("USR1");
    let line = relay.wait_for_log("dials_withdrawn=");
    assert!(
        line.contains("dials_withdrawn=3 ") && line.contains("bad_lines=3 "),
        "{line}"
    );
}
