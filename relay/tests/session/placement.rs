//! Sessions that wait for a backend: answers, and attempts that are given up.
use crate::helper::*;
use std::io::{BufRead, BufReader};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

#[test]
fn each_first_word_of_a_backend_has_its_answer() {
    // What the backend does, and the client's answer where a session may run again and where it may
    // not.
    let cases = [
        (Play::Echo, "UP receipt", "UP receipt"),
        (Play::Split, "UP receipt", "UP receipt"),
        (Play::Say("BUSY\r\n"), "BUSY", "BUSY"),
        (Play::Say("ERR inflight=7\r\n"), "BUSY", "ERR"),
        (Play::Say("MOVE\r\n"), "BUSY", "ERR"),
        (Play::Say("BYE\r\n"), "BUSY", "ERR"),
        (Play::Say("what\r\n"), "BUSY", "ERR"),
        (Play::TooLong, "BUSY", "ERR"),
        (Play::End, "BUSY", "ERR"),
        (Play::Mute, "BUSY", "ERR"),
    ];
    for (play, again, once) in cases {
        let (address, met) = backend(play);
        // Loads come with the ends: where none are told, one that turned a dial away would be left
        // alone meanwhile.
        let at = nobody();
        let text = config(
            at,
            nobody(),
            1_000,
            &list(1, true, &[("b0", address, "Ready")]),
            false,
        );
        let relay = started(at, text.replace("\"pull\"", "\"piggyback\""));
        for (listener, expected) in [("safe", again), ("once", once)] {
            let (asked, mut client) = (Instant::now(), relay.open(listener, 400));
            let heard = client.hears();
            assert!(
                asked.elapsed() < Duration::from_millis(450),
                "{play:?} {listener}: {:?}",
                asked.elapsed()
            );
            assert_eq!(
                heard.split(' ').next(),
                expected.split(' ').next(),
                "{play:?} {listener}: {heard}"
            );
            // The line goes on as it came, but for the wait that is left.
            let line = std::iter::repeat_with(|| next(&met))
                .find(|line| line.starts_with("OPEN"))
                .unwrap();
            let wait = line
                .split_once(&format!(" 7f3a9c21e0b4d655 c={listener},d="))
                .map(|(_, rest)| rest);
            let wait = wait.and_then(|rest| rest.strip_suffix(",g=5c0f6e1a2b3d4c59\r\n"));
            let wait = wait.expect("another line was sent");
            assert!(
                (200..=400).contains(&wait.parse::<u32>().unwrap()),
                "{play:?}: {line}"
            );
            if !expected.starts_with("UP") {
                assert_eq!(
                    client.hears(),
                    "end",
                    "{play:?} {listener}: one answer and no more"
                );
            }
        }
    }
    // Nobody there: never sent, so trying again is harmless for all.
    let relay = relay_with(&[nobody()]);
    assert!(relay.open("once", 400).hears().starts_with("BUSY"));
}

#[test]
fn what_a_backend_does_to_a_referenced_session_is_answered_by_who_may_hold_the_reference() {
    // What the backend does, and if the dial may have run then.
    let plays = [
        (Play::Say("BUSY\r\n"), false),
        (Play::Say("BUSY\r\nUP receipt\r\n"), false),
        (Play::Say("ERR inflight=7\r\n"), true),
        (Play::Say("MOVE\r\n"), true),
        (Play::Say("BYE\r\n"), true),
        (Play::Say("what\r\n"), true),
        (Play::TooLong, true),
        (Play::End, true),
        (Play::Mute, true),
    ];
    for (scope, anywhere) in [("all", true), ("zone", false), ("cell", false)] {
        let effect = format!(
            "\"effect\": \"dedup\", \"dedupScope\": \"{scope}\", \"dedupWindowUs\": 700000"
        );
        for (play, may_have_run) in plays {
            let (address, _met) = backend(play);
            let known = list(1, true, &[("b", address, "Ready")]);
            let relay = start_changed(nobody(), &known, &[("\"effect\": \"fragile\"", &effect)]);
            let mut client = relay.open("once", 400);
            let word = if anywhere || !may_have_run {
                "BUSY"
            } else {
                "ERR"
            };
            let heard = client.hears();
            assert_eq!(
                heard.split(' ').next(),
                Some(word),
                "{scope} {play:?}: {heard}"
            );
            assert_eq!(
                client.hears(),
                "end",
                "{scope} {play:?}: one answer and no more"
            );
        }
    }
}

#[test]
fn a_client_that_left_while_its_dial_came_up_is_not_sent_on() {
    // Its end, and if that comes before the dial is up or just after, all in one turn.
    for (reset, after) in [(false, true), (true, true), (false, false), (true, false)] {
        let mut late = Late::new();
        let known = list(1, true, &[("late", late.at, "Ready")]);
        let relay = start_changed(nobody(), &known, &[LATE]);
        let client = relay.open("once", 7_000);
        relay.counts("dials", 1);
        relay.stops();
        let leave = |client: Client| {
            let from = client.lines.get_ref().local_addr().unwrap();
            if reset {
                breaks_off(client.lines.get_ref());
            }
            drop(client);
            in_time("the relay's end of it knows", || {
                (!at_end(relay.at, from).0).then_some(())
            });
        };
        let mut client = Some(client);
        if !after {
            client.take().map(leave);
        }
        let dial = late.comes_up();
        client.take().map(leave);
        relay.signal("CONT");
        assert_eq!(all_of(&dial), "", "reset {reset}, after {after}");
        relay.counts("dials_never_sent", 1);
    }
}

#[test]
fn a_client_that_leaves_is_seen_to_though_no_buffer_is_left() {
    let agent = Agent::new();
    let ((echo, _echo_met), (mute, mute_met)) = (backend(Play::Echo), backend(Play::Mute));
    let relay = start_changed(agent.at, "null", &[("\"memory_mb\":64", "\"memory_mb\":8")]);
    let (watch, _) = agent.call();
    says(
        &watch,
        &format!(
            "{HEAD}{}",
            chunk(&list(1, true, &[("echo", echo, "Ready")]))
        ),
    );
    relay.counts("lists", 1);
    // Each that stands and has said half a line holds a buffer for as long as it likes.
    let mut holding = Vec::new();
    for _ in 0..300 {
        let mut client = relay.open("safe", 7_000);
        assert_eq!(client.hears(), "UP receipt");
        holding.push(client);
    }
    let rows = [("echo", echo, "Terminating"), ("mute", mute, "Ready")];
    says(&watch, &chunk(&list(2, false, &rows)));
    relay.counts("lists", 2);
    let client = relay.open("safe", 7_000);
    while !next(&mute_met).starts_with("OPEN") {}
    holding
        .iter_mut()
        .for_each(|client| client.say("half a line"));
    relay.counts("starved", 1);
    client.ends_sending();
    relay.counts("clients_left", 1);
    relay.counts("dials_withdrawn", 1);
}

/// More ends than one turn comes to, beside the alarms of all that wait: not even a connection
/// begins for one that left.
#[test]
fn nothing_begins_for_a_client_that_left_behind_hundreds_of_others() {
    const CLIENTS: u32 = 900;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (busy, begun) = (listener.local_addr().unwrap(), Arc::new(AtomicU32::new(0)));
    let count = begun.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            count.fetch_add(1, Ordering::SeqCst);
            let (tell, _) = std::sync::mpsc::channel();
            std::thread::spawn(move || drop(serve(stream.unwrap(), Play::Say("BUSY\r\n"), tell)));
        }
    });
    let at = nobody();
    let text = config(
        at,
        nobody(),
        4_000,
        &list(1, true, &[("busy", busy, "Ready")]),
        false,
    );
    let text = text
        .replace("\"maxDials\": 1", "\"maxDials\": 9")
        .replace("\"pull\"", "\"piggyback\"");
    let relay = started_within(4_000, at, text);
    let mut clients = Vec::new();
    for key in 1..=CLIENTS {
        let mut client = relay.client();
        // Each with a key of its own: its delays are its own, the first of up to a second.
        client.say(&open_line("c=safe,d=9000").replace("7f3a9c21e0b4d655", &format!("{key:016x}")));
        clients.push(client);
    }
    relay.counts("dials_full", CLIENTS);
    relay.stops();
    for (place, client) in clients.into_iter().enumerate() {
        if place % 2 == 0 {
            breaks_off(client.lines.get_ref());
        }
    }
    // The alarms of the first two delays come due while nothing is met.
    std::thread::sleep(Duration::from_millis(2_100));
    let before = begun.load(Ordering::SeqCst);
    relay.signal("CONT");
    relay.counts("clients_left", CLIENTS * 9 / 10);
    relay.counts("dials_never_sent", 1);
    let after = begun.load(Ordering::SeqCst);
    assert_eq!(
        after - before,
        0,
        "connections begun for clients that had left"
    );
}

#[test]
fn a_dial_that_came_up_in_time_is_not_sent_when_the_loop_meets_it_too_late() {
    let mut late = Late::new();
    let known = list(1, true, &[("late", late.at, "Ready")]);
    let limit = ("\"dialTimeoutUs\": 250000", "\"dialTimeoutUs\": 1500000");
    let relay = start_changed(nobody(), &known, &[limit]);
    let mut client = relay.open("once", 7_000);
    relay.counts("dials", 1);
    let began = Instant::now();
    relay.stops();
    let dial = late.comes_up();
    in_time("the time to come up is over", || {
        (began.elapsed() > Duration::from_millis(1_600)).then_some(())
    });
    relay.signal("CONT");
    assert_eq!(all_of(&dial), "");
    // Never sent, so nothing is said against trying again, for a once-only session neither.
    assert!(client.hears().starts_with("BUSY"));
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Out {
    /// The drain and the connection's coming up are met in one turn.
    InOneTurn,
    Listed,
    /// A whole list does not name it.
    Missing,
    ByHand,
}

#[test]
fn a_dial_that_has_sent_nothing_does_not_go_where_nothing_new_may_go() {
    for out in [Out::InOneTurn, Out::Listed, Out::Missing, Out::ByHand] {
        let (mut late, agent) = (Late::new(), Agent::new());
        let (two, two_met) = backend(Play::Echo);
        let door = nobody();
        let with_door = format!("\"name\":\"r0\",\"admin_addr\":\"{door}\"");
        let relay = start_changed(
            agent.at,
            "null",
            &[LATE, THREE, ("\"name\":\"r0\"", &with_door)],
        );
        let (watch, _) = agent.call();
        says(
            &watch,
            &format!(
                "{HEAD}{}",
                chunk(&list(1, true, &[("late", late.at, "Ready")]))
            ),
        );
        relay.counts("lists", 1);
        let mut client = relay.open("once", 9_000);
        relay.counts("dials", 1);
        let rows = [("two", two, "Ready"), ("late", late.at, "Terminating")];
        let mut dial = None;
        match out {
            Out::InOneTurn => {
                relay.stops();
                dial = Some(late.comes_up());
                says(&watch, &chunk(&list(2, false, &rows)));
                in_time("the relay's end of the watch has it", || {
                    at_end(watch.peer_addr().unwrap(), agent.at).1.then_some(())
                });
                relay.signal("CONT");
            }
            Out::Listed => says(&watch, &chunk(&list(2, false, &rows))),
            Out::Missing => says(&watch, &chunk(&list(2, true, &rows[..1]))),
            Out::ByHand => {
                says(&watch, &chunk(&list(2, false, &rows[..1])));
                relay.counts("lists", 2);
                let operator = TcpStream::connect(door).unwrap();
                operator.set_read_timeout(Some(LONG)).unwrap();
                says(&operator, "DISABLE late\r\n");
                let mut answer = String::new();
                BufReader::new(&operator).read_line(&mut answer).unwrap();
                assert!(answer.starts_with("200"), "{answer}");
            }
        }
        // Never sent there, so also one that may not be repeated goes elsewhere.
        assert_eq!(client.hears(), "UP receipt", "{out:?}");
        assert!(next(&two_met).starts_with("OPEN"));
        if let Some(dial) = dial {
            assert_eq!(all_of(&dial), "", "{out:?}");
        }
    }
}
