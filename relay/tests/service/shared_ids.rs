//! Tests of ids that must not be repeated at the other process of a hot restart.
use crate::helper::host::{Host, RelayProcess, new_program};
use crate::helper::*;

const REQUEST: &str = "OPEN 00000000000000bb 7f3a9c21e0b4d655 c=once,d=9000\r\n";
/// The clients of the listener wait for long, so that a busy machine does not let an id be forgotten.
const LONG_WAIT: [(&str, &str); 1] = [("\"deadlineUs\": 1500000", "\"deadlineUs\": 9000000")];

/// A host whose processes know one backend, which answers nothing.
struct Site {
    host: Host,
    received: Received,
    _watches: Received,
}

impl Site {
    fn new(name: &str) -> Site {
        let (backend, received) = start_backend(BackendBehavior::NeverRespond);
        let list = chunk(&ready_backends(&[backend]));
        let scripts = (0..20).map(|_| WatchScript {
            pieces: vec![RESPONSE_HEAD.into(), list.clone()],
            ends: false,
        });
        let (discovery, _watches) = start_discovery(scripts.collect());
        Site {
            host: Host::with_discovery(&format!("ids-{name}"), discovery),
            received,
            _watches,
        }
    }

    fn start(&self) -> RelayProcess {
        self.host.start_with(new_program(), &LONG_WAIT)
    }

    /// Opens a session and waits until the backend has its request.
    fn open(&self, process: &RelayProcess) -> Client {
        let mut client = process.relay.connect();
        client.send(REQUEST);
        assert!(next_received(&self.received).starts_with("OPEN"));
        client
    }

    /// Sends the request again, and asserts that it is failed and no backend gets it.
    fn assert_repeat_is_failed(&self, process: &RelayProcess) {
        let mut again = process.relay.connect();
        again.send(REQUEST);
        assert_eq!(again.next_line(), "ERR");
        process.relay.wait_for_counter("repeated_ids", 1);
        let later = self
            .received
            .try_iter()
            .find(|line| line.starts_with("OPEN"));
        assert_eq!(later, None);
    }
}

fn hand_over(predecessor: &RelayProcess) {
    predecessor.relay.signal("TERM");
    predecessor.relay.wait_for_log("relay told to stop");
}

/// Guards against a request that ran at the predecessor before its successor started, and again at
/// the successor.
#[test]
fn id_used_before_the_upgrade_does_not_run_at_the_successor() {
    let site = Site::new("before");
    let old = site.start();
    drop(site.open(&old));
    old.relay.wait_for_counter("clients_left", 1);
    let new = site.start();
    hand_over(&old);
    site.assert_repeat_is_failed(&new);
}

/// Guards against an id that is in use at the predecessor and runs at the successor.
#[test]
fn id_used_at_the_predecessor_does_not_run_at_the_successor() {
    let site = Site::new("old");
    let (old, new) = (site.start(), site.start());
    new.relay.suspend();
    let _client = site.open(&old);
    new.relay.signal("CONT");
    hand_over(&old);
    site.assert_repeat_is_failed(&new);
}

/// Guards against an id that is in use at the successor and runs at the predecessor.
#[test]
fn id_used_at_the_successor_does_not_run_at_the_predecessor() {
    let site = Site::new("new");
    let (old, new) = (site.start(), site.start());
    old.relay.suspend();
    drop(site.open(&new));
    new.relay.wait_for_counter("clients_left", 1);
    new.relay.suspend();
    old.relay.signal("CONT");
    site.assert_repeat_is_failed(&old);
}

/// Guards against an id that was in use when its process was killed, and runs at the other.
#[test]
fn id_used_at_a_killed_predecessor_does_not_run_at_the_successor() {
    let site = Site::new("killed");
    let (old, new) = (site.start(), site.start());
    new.relay.suspend();
    let client = site.open(&old);
    drop(old);
    drop(client);
    new.relay.signal("CONT");
    new.relay
        .wait_for_log("the channel to the predecessor is closed");
    site.assert_repeat_is_failed(&new);
}
