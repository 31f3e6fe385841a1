//! How often discovery is called while it fails.
use crate::helper::*;
use std::time::{Duration, Instant};

#[test]
fn discovery_staying_down_is_not_polled_faster() {
    let scripts = (0..10_000)
        .map(|_| WatchScript {
            pieces: Vec::new(),
            ends: true,
        })
        .collect();
    let (at, requests) = start_discovery(scripts);
    let relay = start_relay(at, 1_000, "null", false);
    let until = Instant::now() + Duration::from_secs(7);
    let left = || until.saturating_duration_since(Instant::now());
    let count = std::iter::repeat_with(|| requests.recv_timeout(left()))
        .take_while(Result::is_ok)
        .count();
    // Each request is accepted and closed: full jitter over 2, 4, 8 s.
    assert!((2..=12).contains(&count), "{count}");
    drop(relay);
}

#[test]
fn discovery_absent_is_polled_often_and_overloaded_one_seldom() {
    // Whether discovery answers, and the expected requests within 4 s.
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
        let left = || until.saturating_duration_since(Instant::now());
        let received = std::iter::repeat_with(|| requests.recv_timeout(left()))
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
            "answers {answers}: {failures} failures"
        );
        assert!(!answers || received >= failures, "{received} received");
    }
}
