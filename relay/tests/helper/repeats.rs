//! Where the repeats of a request are sent.
use super::backend::Received;
use super::client::Client;
use super::relay::Relay;
use super::wait::wait_for;
use std::collections::{BTreeMap, BTreeSet};

/// The ids of the sessions that a backend was asked to open.
struct OpenedIds {
    received: Received,
    ids: BTreeSet<String>,
}

impl OpenedIds {
    fn new(received: Received) -> OpenedIds {
        OpenedIds {
            received,
            ids: BTreeSet::new(),
        }
    }

    /// Takes in what the backend has received, and returns the number of ids.
    fn update(&mut self) -> usize {
        let lines = self.received.try_iter();
        let opened = lines.filter(|line| line.starts_with("OPEN"));
        self.ids
            .extend(opened.filter_map(|line| line.split(' ').nth(1).map(str::to_string)));
        self.ids.len()
    }
}

/// Opens sessions of the listener `safe` until each of two backends was asked to open one, and
/// asserts that no session was sent to both.
pub(crate) fn assert_repeats_stay_apart(relay: &Relay, first: Received, second: Received) {
    let (mut first, mut second) = (OpenedIds::new(first), OpenedIds::new(second));
    wait_for("sessions that ran at each backend", || {
        let mut client = relay.open_session("safe", 1_000);
        while client.next_line() != "end" {}
        let counts = [first.update(), second.update()];
        counts.iter().all(|&count| count > 0).then_some(())
    });
    assert!(
        first.ids.is_disjoint(&second.ids),
        "{:?} {:?}",
        first.ids,
        second.ids
    );
}

/// Waits until each of these clients has been answered and its connection has ended.
pub(crate) fn await_ends(clients: Vec<Client>) {
    for mut client in clients {
        assert_ne!(client.next_line(), "end", "a session has no answer");
        while !["end", "reset"].contains(&client.next_line().as_str()) {}
    }
}

/// Returns the greatest number of attempts of one session among all that these backends have
/// received.
pub(crate) fn max_attempts(backends: &[Received]) -> usize {
    let mut attempts: BTreeMap<String, usize> = BTreeMap::new();
    for line in backends.iter().flat_map(|received| received.try_iter()) {
        let id = line
            .strip_prefix("OPEN ")
            .map(|rest| rest[..16].to_string());
        *attempts.entry(id.expect("only requests")).or_default() += 1;
    }
    attempts
        .into_values()
        .max()
        .expect("no request was received")
}
