//! A client's first line, and what clients may not do before they have their answer.
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
        // No backend is known, so the request was not sent anywhere.
        (&[&open_line("c=safe,d=1000")], &["BUSY", "end"]),
    ];
    for (pieces, expected) in cases {
        let mut client = relay.connect();
        for piece in *pieces {
            client.send(piece);
        }
        for word in *expected {
            assert_eq!(
                client.next_line().split(' ').next(),
                Some(*word),
                "{pieces:?}"
            );
        }
    }
    let mut cut_off = relay.connect();
    cut_off.send("OPEN 1 2 c=sa");
    cut_off.finish_sending();
    assert_eq!([cut_off.next_line(), cut_off.next_line()], ["ERR", "end"]);
}

#[test]
fn invalid_client_is_answered_in_time_and_reaches_no_backend() {
    let (address, received) = start_backend(BackendBehavior::Echo);
    let relay = start_relay_with_backends(&[address]);
    let good = open_line("c=safe,d=1000");
    let mut owner = relay.connect();
    owner.send(&good);
    assert_eq!(owner.next_line(), "UP receipt");
    let (id, huge) = (good.split(' ').nth(1).unwrap(), "x".repeat(60_000_000));
    let several = (0..300)
        .map(|_| open_line("c=safe,d=1000"))
        .collect::<String>();
    let fails = |name, text: String| (name, text, &["ERR", "end"][..]);
    let open_fails = |name, items: &str| fails(name, open_line(items));
    let cases = [
        ("nothing", String::new(), &["end"][..]),
        (
            "a ping and then nothing",
            "PING\r\n".into(),
            &["PONG", "end"],
        ),
        fails("half a line", "OPEN 1 2 c=sa".into()),
        fails(
            "another's id",
            format!("OPEN {id} 0000000000000001 c=safe,d=1000\r\n"),
        ),
        fails("no id", "OPEN 7f3a9c21e0b4d655 c=safe,d=1000\r\n".into()),
        open_fails("a name twice", "c=safe,d=1000,c=safe"),
        open_fails("an invalid wait", "c=safe,d=-1"),
        open_fails("an unknown listener", "c=safer,d=1000"),
        open_fails("an unknown backend", "c=safe,d=1000,at=b7"),
        fails("hundreds at once", several),
        open_fails("a value of 60 MB", &format!("c=safe,d=1000,x={huge}")),
        fails("60 MB behind a bad line", format!("what\r\n{huge}")),
    ];
    for (name, text, expected) in cases {
        let (began, mut client) = (Instant::now(), relay.connect());
        let mut out = client.lines.get_ref().try_clone().unwrap();
        let writer = thread::spawn(move || out.write_all(text.as_bytes()));
        for word in expected {
            assert_eq!(client.next_line(), *word, "{name}");
        }
        assert!(
            began.elapsed() < Duration::from_secs(3),
            "{name}: {:?}",
            began.elapsed()
        );
        // Everything was read, so the system had no reason to reset the connection.
        writer
            .join()
            .unwrap()
            .unwrap_or_else(|fault| panic!("{name}: {fault}"));
        owner.send("still here\r\n");
        assert_eq!(owner.next_line(), "still here", "{name}");
    }
    let firsts = received
        .try_iter()
        .filter(|line| line.starts_with("OPEN"))
        .count();
    assert_eq!(firsts, 1, "only the owner's came to the backend");
}

#[test]
fn client_sending_before_its_answer_fails_without_harm_to_the_backend() {
    let (address, received) = start_backend(BackendBehavior::NeverRespond);
    let relay = start_relay_with_backends(&[address]);
    for more in [
        open_line("c=safe,d=1000"),
        "x".repeat(10_000),
        "M 1 2\r\n".repeat(300),
    ] {
        let mut client = relay.connect();
        client.send(&open_line("c=once,d=3000"));
        while !next_received(&received).starts_with("OPEN") {}
        let began = Instant::now();
        client.send(&more);
        assert_eq!([client.next_line(), client.next_line()], ["ERR", "end"]);
        assert!(
            began.elapsed() < Duration::from_millis(300),
            "{:?}",
            began.elapsed()
        );
    }
    relay.signal("USR1");
    let line = relay.wait_for_log("dials_withdrawn=");
    assert!(
        line.contains("dials_withdrawn=3 ") && line.contains("bad_lines=3 "),
        "{line}"
    );
}
