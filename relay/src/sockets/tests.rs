//! Tests of the keys of sockets.
use super::{SocketOwner, key_of, owner_of};

#[test]
fn key_of_next_socket_with_the_same_owner_differs() {
    for owner in [
        SocketOwner::Listener,
        SocketOwner::Discovery,
        SocketOwner::Client(7),
        SocketOwner::Attempt(7),
        SocketOwner::HealthCheck(u32::MAX),
    ] {
        assert_eq!(owner_of(key_of(owner, 1)), Some(owner));
        assert_ne!(key_of(owner, 1), key_of(owner, 2));
    }
    assert_eq!(owner_of(usize::MAX), None);
}
