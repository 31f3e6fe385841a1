//! Observers record the answers of two admin ports, and the checker of cluster invariants reports
//! the answers that conflict.
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use thistlecroft_testbed::clock::Stopwatch;
use thistlecroft_testbed::cluster_invariants::{
    ClusterInvariant, ClusterLimits, check_cluster_invariants,
};
use thistlecroft_testbed::event_recorder::{
    EventLog, EventRecorder, Observation, RecordedEvent, RelayIndex, event_recorder,
};
use thistlecroft_testbed::relay_observer::RelayObserver;

const NOT_HELD: &str = "400 held by another";
/// The number of lease requests that the second relay refuses before it answers by its script, so
/// that the first relay has certainly been asked before.
const REFUSALS_BEFORE_SCRIPT: usize = 12;
const MEMBERS_OF_0: &[&str] = &["relay-0", "relay-1"];
const MEMBERS_OF_1: &[&str] = &["relay-1", "relay-0"];

/// The answers of a scripted admin port.
#[derive(Clone, Copy)]
struct Script {
    /// The number of lease requests that are refused first.
    refusals: usize,
    /// The answers to the lease requests after the refusals, in turn; the last one is repeated.
    leases: &'static [&'static str],
    /// The relay's own name, followed by the names of the peers that it sees alive.
    members: &'static [&'static str],
}

impl Script {
    const fn new(leases: &'static [&'static str], members: &'static [&'static str]) -> Script {
        Script {
            refusals: 0,
            leases,
            members,
        }
    }

    const fn after_refusals(
        leases: &'static [&'static str],
        members: &'static [&'static str],
    ) -> Script {
        Script {
            refusals: REFUSALS_BEFORE_SCRIPT,
            leases,
            members,
        }
    }

    fn listen(self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        thread::spawn(move || {
            let mut lease_requests = 0;
            for mut stream in listener.incoming().map_while(Result::ok) {
                let mut line = String::new();
                let _ = BufReader::new(&stream).read_line(&mut line);
                let answer = if line.starts_with("LEASE") {
                    lease_requests += 1;
                    self.lease_answer(lease_requests)
                } else {
                    self.members_answer()
                };
                let _ = stream.write_all(format!("{answer}\r\n").as_bytes());
            }
        });
        address
    }

    fn lease_answer(self, request: usize) -> String {
        if request <= self.refusals {
            return NOT_HELD.into();
        }
        let index = (request - self.refusals - 1).min(self.leases.len() - 1);
        self.leases[index].to_string()
    }

    fn members_answer(self) -> String {
        let others: Vec<String> = self.members[1..]
            .iter()
            .map(|name| format!("{{\"name\":\"{name}\",\"standing\":\"here\"}}"))
            .collect();
        let (name, others) = (self.members[0], others.join(","));
        format!("200 {{\"name\":\"{name}\",\"peers\":[{others}]}}")
    }
}

fn observe(scripts: [Script; 2], recorder: &EventRecorder) -> Vec<RelayObserver> {
    let clock = Stopwatch::start();
    (0..)
        .zip(scripts)
        .map(|(index, script)| {
            let relay = RelayIndex(index);
            recorder.record(clock.now(), Observation::RelayStarted { relay });
            let admin = script.listen();
            RelayObserver::open(relay, admin, Some("turn"), clock, recorder.clone())
        })
        .collect()
}

/// Waits until both relays' memberships were observed three times, which leaves time for many lease
/// requests.
fn wait_for_observations(log: &mut EventLog) -> bool {
    let is_observed = |events: &[RecordedEvent], index: u16| {
        let is_membership = |event: &&RecordedEvent| matches!(&event.observation, Observation::MembersSeen { relay, .. } if relay.0 == index);
        events.iter().filter(is_membership).count() >= 3
    };
    log.wait_until(std::time::Duration::from_secs(20), |events| {
        is_observed(events, 0) && is_observed(events, 1)
    })
}

/// The name of each case, the scripts of two admin ports, and the invariant that the answers
/// violate.
const CASES: &[(&str, [Script; 2], Option<ClusterInvariant>)] = &[
    (
        "both hold the lease",
        [
            Script::new(&["200 held 1 900"], MEMBERS_OF_0),
            Script::new(&["200 held 2 900"], MEMBERS_OF_1),
        ],
        Some(ClusterInvariant::SingleLeaseHolder),
    ),
    (
        "the second holds the lease while the last answer of the first is still valid",
        [
            Script::new(&["200 held 1 5000", NOT_HELD], MEMBERS_OF_0),
            Script::after_refusals(&["200 held 2 900"], MEMBERS_OF_1),
        ],
        Some(ClusterInvariant::SingleLeaseHolder),
    ),
    (
        "the second later holds the lease with the same epoch",
        [
            Script::new(&["200 held 7 1", NOT_HELD], MEMBERS_OF_0),
            Script::after_refusals(&["200 held 7 1"], MEMBERS_OF_1),
        ],
        Some(ClusterInvariant::IncreasingEpochs),
    ),
    (
        "the second later holds the lease with a lower epoch",
        [
            Script::new(&["200 held 7 1", NOT_HELD], MEMBERS_OF_0),
            Script::after_refusals(&["200 held 6 1"], MEMBERS_OF_1),
        ],
        Some(ClusterInvariant::IncreasingEpochs),
    ),
    (
        "one does not see the other",
        [
            Script::new(&[NOT_HELD], MEMBERS_OF_0),
            Script::new(&[NOT_HELD], &["relay-1"]),
        ],
        Some(ClusterInvariant::ConsistentMembership),
    ),
    (
        "one sees a relay that does not run",
        [
            Script::new(&[NOT_HELD], &["relay-0", "relay-1", "relay-2"]),
            Script::new(&[NOT_HELD], MEMBERS_OF_1),
        ],
        Some(ClusterInvariant::ConsistentMembership),
    ),
    (
        "the second holds the lease after the first",
        [
            Script::new(&["200 held 1 1", NOT_HELD], MEMBERS_OF_0),
            Script::after_refusals(&["200 held 2 1"], MEMBERS_OF_1),
        ],
        None,
    ),
];

/// Returns the violations that the checker finds in the observations at two admin ports.
fn observed_violations(name: &str, scripts: [Script; 2]) -> Vec<ClusterInvariant> {
    let (recorder, mut log) = event_recorder();
    let observers = observe(scripts, &recorder);
    assert!(wait_for_observations(&mut log), "{name}");
    drop(observers);
    let limits = ClusterLimits {
        requires_consistent_membership: true,
        ..ClusterLimits::default()
    };
    check_cluster_invariants(&log.into_sorted(), &limits)
        .iter()
        .map(|violation| violation.invariant)
        .collect()
}

#[test]
fn conflicting_answers_at_admin_ports_are_violations() {
    for (name, scripts, expected) in CASES {
        let found = observed_violations(name, *scripts);
        match expected {
            Some(invariant) => assert!(found.contains(invariant), "{name}: {found:?}"),
            None => assert_eq!(found, [], "{name}"),
        }
    }
}
