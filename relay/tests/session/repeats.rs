//! Tests of an id that comes again after its session has ended.
use crate::helper::*;

const REQUEST: &str = "OPEN 00000000000000aa 7f3a9c21e0b4d655 c=once,d=1500\r\n";

fn start(behavior: BackendBehavior) -> (Relay, Received) {
    let (address, received) = start_backend(behavior);
    (start_relay_with_backends(&[address]), received)
}

fn send_request(relay: &Relay) -> Client {
    let mut client = relay.connect();
    client.send(REQUEST);
    client
}

/// Waits until the relay holds no session any more.
fn wait_for_no_session(relay: &Relay) {
    wait_for("the end of the session", || {
        relay.signal("USR1");
        let line = relay.wait_for_log("open_sessions=");
        line.contains("open_sessions=0 ").then_some(())
    });
}

/// Sends the request again, and asserts that it is failed without promising that it never ran, and
/// that no backend gets it.
fn assert_repeat_is_failed(relay: &Relay, received: &Received) {
    let mut again = send_request(relay);
    assert_eq!(again.next_line(), "ERR");
    relay.wait_for_counter("repeated_ids", 1);
    let later = received.try_iter().find(|line| line.starts_with("OPEN"));
    assert_eq!(later, None);
}

/// Guards against a once-only request that runs twice: its client leaves while the first attempt is
/// under way, and comes again.
#[test]
fn id_whose_client_left_during_its_attempt_does_not_run_again() {
    let (relay, received) = start(BackendBehavior::NeverRespond);
    let client = send_request(&relay);
    assert!(next_received(&received).starts_with("OPEN"));
    drop(client);
    wait_for_no_session(&relay);
    assert_repeat_is_failed(&relay, &received);
}

/// The same after the session was established.
#[test]
fn id_of_an_ended_session_does_not_run_again() {
    let (relay, received) = start(BackendBehavior::Echo);
    let mut client = send_request(&relay);
    assert_eq!(client.next_line(), "UP receipt");
    assert!(next_received(&received).starts_with("OPEN"));
    drop(client);
    wait_for_no_session(&relay);
    assert_repeat_is_failed(&relay, &received);
}

/// The same after an attempt that failed and may have run.
#[test]
fn id_whose_attempt_may_have_run_does_not_run_again() {
    let (relay, received) = start(BackendBehavior::CloseImmediately);
    let mut client = send_request(&relay);
    assert_eq!(client.next_line(), "ERR");
    assert!(next_received(&received).starts_with("OPEN"));
    drop(client);
    wait_for_no_session(&relay);
    assert_repeat_is_failed(&relay, &received);
}

/// A request that never ran may come again.
#[test]
fn id_that_was_rejected_is_not_failed_as_a_repeat() {
    let (relay, received) = start(BackendBehavior::Reply("BUSY\r\n"));
    for _ in 0..2 {
        let mut client = send_request(&relay);
        assert!(client.next_line().starts_with("BUSY"));
        drop(client);
        wait_for_no_session(&relay);
    }
    assert!(next_received(&received).starts_with("OPEN"));
}

/// Ids are not remembered for good.
#[test]
fn id_is_accepted_again_after_the_time_of_its_client() {
    let (address, received) = start_backend(BackendBehavior::Echo);
    let relay = start_relay_with_settings(
        unused_address(),
        &ready_backends(&[address]),
        &[("\"deadlineUs\": 1500000", "\"deadlineUs\": 300000")],
    );
    let open = || {
        let mut client = relay.connect();
        client.send(&REQUEST.replace("d=1500", "d=300"));
        client.next_line()
    };
    assert_eq!(open(), "UP receipt");
    assert!(next_received(&received).starts_with("OPEN"));
    wait_for("the id is accepted again", || {
        (open() == "UP receipt").then_some(())
    });
}
