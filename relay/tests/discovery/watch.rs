//! The watch on the endpoint list: followed, lost, and opened again.
use self::DiscoveryFailure::*;
use crate::helper::*;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A relay that follows its agent's watch at version 7, with one backend that gets no sessions.
fn follow_watch() -> (DiscoveryAgent, Relay, TcpStream) {
    let agent = DiscoveryAgent::new();
    let relay = start_relay_with_settings(agent.address, "null", &[]);
    let (watch, _) = agent.accept_request();
    send(
        &watch,
        &format!(
            "{RESPONSE_HEAD}{}",
            chunk(&endpoint_list(
                7,
                true,
                &[("one", unused_address(), "Ready")]
            ))
        ),
    );
    relay.wait_for_counter("lists", 1);
    (agent, relay, watch)
}

#[test]
fn watch_lost_is_opened_again_with_the_version_held() {
    let (one, one_received) = start_backend(BackendBehavior::Echo);
    let (two, two_received) = start_backend(BackendBehavior::Echo);
    let whole = endpoint_list(7, true, &[("one", one, "Ready"), ("two", two, "Ready")]);
    let drains = endpoint_list(8, false, &[("one", one, "Terminating")]);
    // Split within the head, a chunk size and a row.
    let all = format!("{RESPONSE_HEAD}{}{}", chunk(&whole), chunk(""));
    let pieces: Vec<String> = all
        .as_bytes()
        .chunks(7)
        .map(|piece| String::from_utf8_lossy(piece).into())
        .collect();
    let scripts = vec![
        WatchScript {
            pieces: vec!["no HTTP at all\r\n\r\n".into()],
            ends: true,
        },
        WatchScript { pieces, ends: true },
        WatchScript {
            pieces: vec![RESPONSE_HEAD.into(), chunk("{\"generation\": nonsense")],
            ends: false,
        },
        WatchScript {
            pieces: vec![RESPONSE_HEAD.into(), chunk(&drains)],
            ends: false,
        },
    ];
    let (at, requests) = start_discovery(scripts);
    let relay = start_relay(
        at,
        1_000,
        &endpoint_list(3, true, &[("one", one, "Ready")]),
        true,
    );
    let expected = [
        "follow=1 ",
        "follow=1 ",
        "follow=1&since=7 ",
        "follow=1&since=7 ",
    ];
    for query in expected {
        let line = next_received(&requests);
        assert!(
            line.starts_with(&format!("GET /api/targets?{query}")),
            "{line}"
        );
    }
    // A silent watch is given up and opened again from the version held.
    assert!(next_received(&requests).contains("since=8 "));
    // The first backend drains: all new sessions go to the second.
    for _ in 0..8 {
        let mut client = relay.open_session("safe", 1_000);
        assert_eq!(client.next_line(), "UP receipt");
    }
    let opened = |received: &Received| {
        received
            .try_iter()
            .filter(|line| line.starts_with("OPEN"))
            .count()
    };
    assert_eq!((opened(&one_received), opened(&two_received)), (0, 8));
}

#[test]
fn new_discovery_address_replaces_the_old_with_its_first_list() {
    let (one, one_received) = start_backend(BackendBehavior::Echo);
    let (two, two_received) = start_backend(BackendBehavior::Echo);
    let open = |pieces: Vec<String>| {
        vec![WatchScript {
            pieces,
            ends: false,
        }]
    };
    let list_of =
        |version, which, at| chunk(&endpoint_list(version, true, &[(which, at, "Ready")]));
    // The first address sends empty lines for a second, then a drain.
    let mut pieces = vec![RESPONSE_HEAD.to_string(), list_of(70, "one", one)];
    pieces.extend((0..500).map(|_| chunk("")));
    pieces.push(chunk(&endpoint_list(
        71,
        false,
        &[("one", one, "Terminating"), ("two", two, "Ready")],
    )));
    let (first, first_requests) = start_discovery(open(pieces));
    let (silent, silent_requests) = start_discovery(Vec::new());
    // Its versions are lower, and it does not list the second backend.
    let (last, last_requests) = start_discovery(open(vec![
        RESPONSE_HEAD.to_string(),
        list_of(3, "one", one),
    ]));
    let relay = start_relay(first, 1_000, "null", false);
    assert!(next_received(&first_requests).contains("follow=1 "));
    let mut established = Vec::new();
    let mut goes_to = |received: &Received| {
        let until = Instant::now() + TEST_TIMEOUT;
        while !received.try_iter().any(|line| line.starts_with("OPEN")) {
            assert!(
                Instant::now() < until,
                "nothing came to the backend that was listed last"
            );
            let mut client = relay.open_session("safe", 1_000);
            if client.next_line() == "UP receipt" && established.len() < 3 {
                established.push(client);
            }
        }
    };
    goes_to(&one_received);
    relay.reload_with(&first.to_string(), &silent.to_string());
    assert!(next_received(&silent_requests).contains("follow=1 "));
    goes_to(&two_received);
    // The address changes while the one before has sent nothing: the new one is asked at once for a
    // full list.
    let began = Instant::now();
    relay.reload_with(&first.to_string(), &last.to_string());
    assert!(next_received(&last_requests).contains("follow=1 "));
    relay.wait_for_log(&format!("discovery at {last}: 1 backends"));
    assert!(
        began.elapsed() < Duration::from_secs(3),
        "{:?}",
        began.elapsed()
    );
    one_received.try_iter().count();
    goes_to(&one_received);
    for client in &mut established {
        client.send("still here\r\n");
        assert_eq!(client.next_line(), "still here");
    }
}

#[test]
fn cached_list_at_start_is_not_used_before_the_agent_answers() {
    let agent = DiscoveryAgent::new();
    let ((old, old_received), (new, new_received)) = (
        start_backend(BackendBehavior::Echo),
        start_backend(BackendBehavior::Echo),
    );
    let known = endpoint_list(1, true, &[("old", old, "Ready")]);
    // Long enough for any machine; a silent agent is not waited for any longer.
    let grace = (
        "\"askWithinUs\": 1",
        "\"askWithinUs\": 1, \"drainGraceUs\": 40000000",
    );
    let relay = start_relay_with_settings(agent.address, &known, &[grace]);
    let (watch, _) = agent.accept_request();
    let mut client = relay.open_session("safe", 9_000);
    // The loop has completed turns since the line arrived.
    for _ in 0..3 {
        relay.signal("USR1");
        relay.wait_for_log(" connections=");
    }
    let rows = [("old", old, "Terminating"), ("new", new, "Ready")];
    send_list(&watch, &endpoint_list(2, true, &rows));
    assert_eq!(client.next_line(), "UP receipt");
    assert!(next_received(&new_received).starts_with("OPEN"));
    assert!(
        old_received.try_iter().next().is_none(),
        "nothing came to the one that drains"
    );
}

#[test]
fn watch_request_hanging_does_not_delay_updates() {
    let agent = DiscoveryAgent::new();
    let (one, _received) = start_backend(BackendBehavior::Echo);
    let (two, two_received) = start_backend(BackendBehavior::Echo);
    let relay = start_relay_with_settings(agent.address, "null", &[LONG_DRAIN_GRACE]);
    let (watch, _) = agent.accept_request();
    send(
        &watch,
        &format!(
            "{RESPONSE_HEAD}{}",
            chunk(&endpoint_list(7, true, &[("one", one, "Ready")]))
        ),
    );
    relay.wait_for_counter("lists", 1);
    // The agent becomes unreachable: the watch breaks, and a request hangs.
    reset_on_close(&watch);
    drop(watch);
    let (hanging, line) = agent.accept_request();
    assert!(line.contains("since=7 "), "{line}");
    let (back, line) = agent.accept_request();
    assert!(line.contains("since=7 "), "{line}");
    assert!(
        has_nothing_to_read(&hanging),
        "the one that hangs is not given up for it"
    );
    // Reachable again, it answers the latest request.
    let rows = [("one", one, "Terminating"), ("two", two, "Ready")];
    send(
        &back,
        &format!("{RESPONSE_HEAD}{}", chunk(&endpoint_list(8, false, &rows))),
    );
    relay.wait_for_counter("lists", 2);
    assert_eq!(read_to_end_of(&hanging), "", "one watch is left");
    let mut client = relay.open_session("safe", 1_000);
    assert_eq!(client.next_line(), "UP receipt");
    assert!(next_received(&two_received).starts_with("OPEN"));
    // The hanging request may also be the first to be answered.
    reset_on_close(&back);
    drop(back);
    let (hanging, _) = agent.accept_request();
    let (beside, _) = agent.accept_request();
    send(
        &hanging,
        &format!("{RESPONSE_HEAD}{}", chunk(&endpoint_list(9, false, &rows))),
    );
    relay.wait_for_counter("lists", 3);
    assert_eq!(read_to_end_of(&beside), "", "one watch is left");
}

#[test]
fn good_watch_broken_is_opened_again_within_the_drain_grace() {
    let (agent, relay, watch) = follow_watch();
    let broken = Instant::now();
    reset_on_close(&watch);
    drop(watch);
    let (watch, _) = agent.accept_request();
    assert!(
        broken.elapsed() < Duration::from_millis(600),
        "{:?}",
        broken.elapsed()
    );
    // A watch that breaks as soon as it is answered is opened no more often than a failing one.
    send(&watch, &format!("{RESPONSE_HEAD}{}", chunk("")));
    reset_on_close(&watch);
    drop(watch);
    relay.wait_for_counter("list_failures", 2);
    agent.listener.set_nonblocking(true).unwrap();
    assert!(agent.listener.accept().is_err(), "asked again at once");
}

/// How requests to discovery fail.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DiscoveryFailure {
    Refused,
    Reset,
    Unavailable,
    HalfAList,
    NoList,
    Silent,
}

impl DiscoveryFailure {
    /// Makes a request fail; returns the connection where it stays open.
    fn fail(self, call: TcpStream, half_a_list: &str) -> Option<TcpStream> {
        match self {
            Refused => {}
            Reset => reset_on_close(&call),
            Unavailable => send(&call, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
            HalfAList => send(
                &call,
                &format!(
                    "{RESPONSE_HEAD}{:x}\r\n{half_a_list}\r\n",
                    half_a_list.len() + 2
                ),
            ),
            NoList => send(
                &call,
                &format!("{RESPONSE_HEAD}{}", chunk("{\"generation\":true}")),
            ),
            Silent => return Some(call),
        }
        None
    }
}

/// Whatever the requests before received, the relay has the list within six seconds of discovery's
/// return.
#[test]
fn discovery_returning_after_each_failure_is_followed_in_time() {
    let kinds = [Refused, Reset, Unavailable, HalfAList, NoList, Silent];
    let all = kinds
        .iter()
        .chain(&kinds[1..5])
        .map(|&failure| std::thread::spawn(move || assert_followed_in_time_after(failure)));
    // All threads are joined before the test fails, since each stops its own relay.
    let ended: Vec<_> = all
        .collect::<Vec<_>>()
        .into_iter()
        .map(std::thread::JoinHandle::join)
        .collect();
    assert!(
        ended.iter().all(Result::is_ok),
        "a relay did not know in time"
    );
}

fn assert_followed_in_time_after(failure: DiscoveryFailure) {
    let mut agent = DiscoveryAgent::new();
    let (one, one_received) = start_backend(BackendBehavior::Echo);
    let (two, two_received) = start_backend(BackendBehavior::Echo);
    let relay = start_relay_with_settings(agent.address, "null", &[]);
    let (watch, _) = agent.accept_request();
    let rows = [("one", one, "Ready"), ("two", two, "Ready")];
    send_list(&watch, &endpoint_list(7, true, &rows));
    relay.wait_for_counter("lists", 1);
    let mut refused_at = None;
    if failure == Refused {
        refused_at = Some(agent.address);
        agent = DiscoveryAgent::new();
    }
    reset_on_close(&watch);
    drop(watch);
    let half = &endpoint_list(8, false, &[("one", one, "Terminating")])[..60];
    // Kept open: closing one would end the silence.
    let mut silent_calls = Vec::new();
    if let Some(at) = refused_at {
        relay.wait_for_counter("list_failures", 8);
        agent = DiscoveryAgent {
            listener: TcpListener::bind(at).unwrap(),
            address: at,
        };
    } else {
        // After a good watch the first request comes at once; from the fourth on delays are
        // longest.
        for _ in 0..4 {
            let (call, _) = agent.accept_request();
            silent_calls.extend(failure.fail(call, half));
        }
    }
    // From here on discovery has the drain, and answers every request.
    let back = Instant::now();
    let rows = [("one", one, "Terminating")];
    let (watch, _) = agent.accept_request();
    send_list(&watch, &endpoint_list(8, false, &rows));
    relay.wait_for_counter("lists", 2);
    assert!(
        back.elapsed() < Duration::from_millis(5_500),
        "{failure:?}: {:?}",
        back.elapsed()
    );
    let mut clients: Vec<_> = (0..6).map(|_| relay.open_session("safe", 1_000)).collect();
    for client in &mut clients {
        assert_eq!(client.next_line(), "UP receipt", "{failure:?}");
        assert!(
            next_received(&two_received).starts_with("OPEN"),
            "{failure:?}"
        );
    }
    assert!(
        one_received.try_recv().is_err(),
        "{failure:?}: sent to a backend that drains"
    );
}

#[test]
fn watch_with_endless_list_is_given_up() {
    let (agent, _relay, watch) = follow_watch();
    // A list that arrives byte by byte without end is given up like a silent watch.
    let out = watch.try_clone().unwrap();
    let trickle = std::thread::spawn(move || {
        let until = Instant::now() + TEST_TIMEOUT;
        let mut bytes = "{\"generation\":8,\"instances\":["
            .chars()
            .chain(std::iter::repeat(' '));
        while Instant::now() < until {
            let byte = bytes.next().unwrap();
            if (&out)
                .write_all(format!("1\r\n{byte}\r\n").as_bytes())
                .is_err()
            {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    });
    let (again, line) = agent.accept_request();
    assert!(line.contains("since=7 "), "{line}");
    drop(watch);
    assert!(trickle.join().unwrap(), "the trickling watch was closed");
    drop(again);
}
