//! How often the discovery agent is polled while it fails.
use crate::helper::*;
use std::time::{Duration, Instant};

#[test]
fn agent_that_closes_every_request_is_not_polled_faster_over_time() {
    let scripts = (0..10_000)
        .map(|_| WatchScript {
            pieces: Vec::new(),
            ends: true,
        })
        .collect();
    let (at, requests) = start_discovery(scripts);
    let relay = start_relay(at, 1_000, "null", false);
    let until = Instant::now() + Duration::from_secs(7);
    let remaining = || until.saturating_duration_since(Instant::now());
    let count = std::iter::repeat_with(|| requests.recv_timeout(remaining()))
        .take_while(Result::is_ok)
        .count();
    // Each request is accepted and closed, so delays start at up to 2 s and double with jitter.
    assert!((2..=12).contains(&count), "{count} requests");
    drop(relay);
}

#[test]
fn unreachable_agent_is_polled_often_and_overloaded_one_seldom() {
    // Whether the agent answers, and the expected number of failed requests within 4 s.
    for (answers, expected) in [(false, 5..=20), (true, 1..=5)] {
        let answer = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_string();
        let busy = (0..100)
            .map(|_| WatchScript {
                pieces: vec![answer.clone()],
                ends: true,
            })
            .collect();
        let (at, requests) = start_discovery(busy);
        let relay = start_relay(
            if answers { at } else { unused_address() },
            1_000,
            "null",
            false,
        );
        let until = Instant::now() + Duration::from_secs(4);
        let remaining = || until.saturating_duration_since(Instant::now());
        let received = std::iter::repeat_with(|| requests.recv_timeout(remaining()))
            .take_while(Result::is_ok)
            .count();
        relay.signal("USR1");
        let line = relay.wait_for_log("list_failures=");
        let count = line
            .split("list_failures=")
            .nth(1)
            .and_then(|rest| rest.split(' ').next());
        let failures: usize = count.and_then(|count| count.parse().ok()).unwrap();
        assert!(
            expected.contains(&failures),
            "answers={answers}: {failures} failed requests"
        );
        assert!(
            !answers || received >= failures,
            "the agent received {received} requests"
        );
    }
}
