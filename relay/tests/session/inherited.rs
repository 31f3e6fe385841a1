//! Sessions that were open before the relay started.
use crate::helper::*;

#[test]
fn inherited_session_returns_to_its_backend() {
    let (first, _) = backend(Play::Mute);
    let (second, received) = backend(Play::Echo);
    let relay = relay_with(&[first, second]);
    let mut client = relay.client();
    client.say(&open_line("c=safe,d=1000,at=b1"));
    assert_eq!(client.hears(), "UP receipt");
    assert!(next(&received).ends_with(",at=b1\r\n"));
    client.say("on\r\n");
    assert_eq!(client.hears(), "on");
}
