//! The watch on the endpoint list: its updates, its failures, and how it is opened again.
use self::DiscoveryFailure::*;
use crate::helper::*;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Starts a relay and an agent with an open watch at generation 7. Nothing listens at the address
/// of its one backend.
fn open_watch() -> (DiscoveryAgent, Relay, TcpStream) {
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
fn lost_watch_is_opened_again_from_the_last_generation() {
    // All sessions below are opened within a second, so the relay estimates the load from one
    // health check and the sessions placed since. With a load of 0.25 from 3 sessions, the second
    // backend would have no room for the eighth.
    let (one, one_received) = start_backend(BackendBehavior::EchoWithLowLoad);
    let (two, two_received) = start_backend(BackendBehavior::EchoWithLowLoad);
    let whole = endpoint_list(7, true, &[("one", one, "Ready"), ("two", two, "Ready")]);
    let drains = endpoint_list(8, false, &[("one", one, "Terminating")]);
    // The pieces split the head, chunk sizes and endpoints.
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
    // A watch without heartbeats is given up, and opened again from the last generation.
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
fn new_agent_address_replaces_the_old_one_with_its_first_list() {
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
    // The first address sends heartbeats for a second, then a drain.
    let mut pieces = vec![RESPONSE_HEAD.to_string(), list_of(70, "one", one)];
    pieces.extend((0..500).map(|_| chunk("")));
    pieces.push(chunk(&endpoint_list(
        71,
        false,
        &[("one", one, "Terminating"), ("two", two, "Ready")],
    )));
    let (first, first_requests) = start_discovery(open(pieces));
    let (silent, silent_requests) = start_discovery(Vec::new());
    // The last address has lower generations, and does not list the second backend.
    let (last, last_requests) = start_discovery(open(vec![
        RESPONSE_HEAD.to_string(),
        list_of(3, "one", one),
    ]));
    let relay = start_relay(first, 1_000, "null", false);
    assert!(next_received(&first_requests).contains("follow=1 "));
    let mut established = Vec::new();
    let mut wait_for_session_at = |received: &Received| {
        let until = Instant::now() + TEST_TIMEOUT;
        while !received.try_iter().any(|line| line.starts_with("OPEN")) {
            assert!(
                Instant::now() < until,
                "no session was opened at the listed backend"
            );
            let mut client = relay.open_session("safe", 1_000);
            if client.next_line() == "UP receipt" && established.len() < 3 {
                established.push(client);
            }
        }
    };
    wait_for_session_at(&one_received);
    relay.reload_with(&first.to_string(), &silent.to_string());
    assert!(next_received(&silent_requests).contains("follow=1 "));
    wait_for_session_at(&two_received);
    // The address changes again before the previous one has sent anything: the new address is asked
    // immediately for a complete list.
    let start = Instant::now();
    relay.reload_with(&first.to_string(), &last.to_string());
    assert!(next_received(&last_requests).contains("follow=1 "));
    let line = relay.wait_for_log(&format!("received the endpoint list; agent={last} "));
    assert!(line.ends_with(" backends=1"), "{line}");
    assert!(
        start.elapsed() < Duration::from_secs(3),
        "{:?}",
        start.elapsed()
    );
    one_received.try_iter().count();
    wait_for_session_at(&one_received);
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
    // Long enough for a busy machine: the relay waits a fraction of the grace period for the agent.
    let grace = (
        "\"askWithinUs\": 1",
        "\"askWithinUs\": 1, \"drainGraceUs\": 40000000",
    );
    let relay = start_relay_with_settings(agent.address, &known, &[grace]);
    let (watch, _) = agent.accept_request();
    let mut client = relay.open_session("safe", 9_000);
    // Lets the event loop complete several turns after the line has arrived.
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
        "a session was opened at the draining backend"
    );
}

#[test]
fn unanswered_watch_request_is_hedged_and_delays_no_update() {
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
    // The agent becomes unreachable: the watch fails, and the next request stays unanswered.
    reset_on_close(&watch);
    drop(watch);
    let (unanswered, line) = agent.accept_request();
    assert!(line.contains("since=7 "), "{line}");
    let (answered, line) = agent.accept_request();
    assert!(line.contains("since=7 "), "{line}");
    assert!(
        has_nothing_to_read(&unanswered),
        "the unanswered request was given up when another one was sent"
    );
    // The agent is reachable again, and answers the latest request.
    let rows = [("one", one, "Terminating"), ("two", two, "Ready")];
    send(
        &answered,
        &format!("{RESPONSE_HEAD}{}", chunk(&endpoint_list(8, false, &rows))),
    );
    relay.wait_for_counter("lists", 2);
    assert_eq!(
        read_to_end_of(&unanswered),
        "",
        "the other request is still open"
    );
    let mut client = relay.open_session("safe", 1_000);
    assert_eq!(client.next_line(), "UP receipt");
    assert!(next_received(&two_received).starts_with("OPEN"));
    // The earlier request may also be the first to be answered.
    reset_on_close(&answered);
    drop(answered);
    let (earlier, _) = agent.accept_request();
    let (hedge, _) = agent.accept_request();
    send(
        &earlier,
        &format!("{RESPONSE_HEAD}{}", chunk(&endpoint_list(9, false, &rows))),
    );
    relay.wait_for_counter("lists", 3);
    assert_eq!(
        read_to_end_of(&hedge),
        "",
        "the other request is still open"
    );
}

#[test]
fn answered_watch_that_breaks_is_opened_again_within_the_drain_grace() {
    let (agent, relay, watch) = open_watch();
    let broken_at = Instant::now();
    reset_on_close(&watch);
    drop(watch);
    let (watch, _) = agent.accept_request();
    assert!(
        broken_at.elapsed() < Duration::from_millis(600),
        "{:?}",
        broken_at.elapsed()
    );
    // A watch that fails again as soon as it is answered gets no second quick retry.
    send(&watch, &format!("{RESPONSE_HEAD}{}", chunk("")));
    reset_on_close(&watch);
    drop(watch);
    relay.wait_for_counter("list_failures", 2);
    agent.listener.set_nonblocking(true).unwrap();
    assert!(
        agent.listener.accept().is_err(),
        "the watch was opened again immediately"
    );
}

/// How the agent fails requests.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DiscoveryFailure {
    Refused,
    Reset,
    Unavailable,
    TruncatedList,
    MalformedList,
    Silent,
}

impl DiscoveryFailure {
    /// Fails a request. Returns its connection if that must stay open.
    fn fail(self, request: TcpStream, truncated_list: &str) -> Option<TcpStream> {
        match self {
            Refused => {}
            Reset => reset_on_close(&request),
            Unavailable => send(&request, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
            TruncatedList => send(
                &request,
                &format!(
                    "{RESPONSE_HEAD}{:x}\r\n{truncated_list}\r\n",
                    truncated_list.len() + 2
                ),
            ),
            MalformedList => send(
                &request,
                &format!("{RESPONSE_HEAD}{}", chunk("{\"generation\":true}")),
            ),
            Silent => return Some(request),
        }
        None
    }
}

/// However earlier requests failed, the relay has the list within six seconds of the agent's
/// return.
#[test]
fn agent_returning_after_each_kind_of_failure_is_watched_in_time() {
    let kinds = [
        Refused,
        Reset,
        Unavailable,
        TruncatedList,
        MalformedList,
        Silent,
    ];
    let all = kinds
        .iter()
        .chain(&kinds[1..5])
        .map(|&failure| std::thread::spawn(move || assert_watched_in_time_after(failure)));
    // All threads are joined before the test fails, since each stops its own relay.
    let ended: Vec<_> = all
        .collect::<Vec<_>>()
        .into_iter()
        .map(std::thread::JoinHandle::join)
        .collect();
    assert!(
        ended.iter().all(Result::is_ok),
        "a relay did not have the list in time"
    );
}

fn assert_watched_in_time_after(failure: DiscoveryFailure) {
    let mut agent = DiscoveryAgent::at(unused_address());
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
    let truncated_list = &endpoint_list(8, false, &[("one", one, "Terminating")])[..60];
    // Requests that get no answer stay open, since closing one would be noticed.
    let mut unanswered_requests = Vec::new();
    if let Some(at) = refused_at {
        relay.wait_for_counter("list_failures", 8);
        agent = DiscoveryAgent::at(at);
    } else {
        // The first request follows an answered watch immediately; from the fourth request on,
        // delays have their maximum.
        for _ in 0..4 {
            let (request, _) = agent.accept_request();
            unanswered_requests.extend(failure.fail(request, truncated_list));
        }
    }
    // From here on the agent has the drain, and answers every request.
    let returned_at = Instant::now();
    let rows = [("one", one, "Terminating")];
    let (watch, _) = agent.accept_request();
    send_list(&watch, &endpoint_list(8, false, &rows));
    relay.wait_for_counter("lists", 2);
    assert!(
        returned_at.elapsed() < Duration::from_millis(5_500),
        "{failure:?}: {:?}",
        returned_at.elapsed()
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
        "{failure:?}: a session was opened at a draining backend"
    );
}

#[test]
fn watch_with_a_list_without_end_is_given_up() {
    let (agent, _relay, watch) = open_watch();
    // A list that arrives byte by byte and never ends is given up like a watch without heartbeats.
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
    let (next, line) = agent.accept_request();
    assert!(line.contains("since=7 "), "{line}");
    drop(watch);
    assert!(trickle.join().unwrap(), "the relay did not close the watch");
    drop(next);
}
