//! Tests of sessions that were open before the relay started.
use crate::helper::*;

#[test]
fn inherited_session_returns_to_its_backend() {
    let (first, _) = start_backend(BackendBehavior::NeverRespond);
    let (second, received) = start_backend(BackendBehavior::Echo);
    let relay = start_relay_with_backends(&[first, second]);
    let mut client = relay.connect();
    client.send(&open_line("c=safe,d=1000,at=b1"));
    assert_eq!(client.next_line(), "UP receipt");
    assert!(next_received(&received).ends_with(",at=b1\r\n"));
    client.send("on\r\n");
    assert_eq!(client.next_line(), "on");
}
