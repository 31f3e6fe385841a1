//! Tests of processes that start while replaced settings still bind.
use crate::helper::host::{Host, RelayProcess, new_program, wait_until};
use crate::helper::*;
use socket2::{Domain, SockAddr, Socket, Type};
use std::time::{Duration, Instant};

/// The time after SIGHUP for which the settings of before bind.
const TRANSITION: Duration = Duration::from_millis(1_200);
/// A run in which the clients came too late, on a busy machine, is done again so many times.
const MAX_RUNS: usize = 10;
const CLIENTS: usize = 10;
/// Watches that the discovery agent answers.
const MAX_WATCHES: usize = 100;

/// The change of the settings: sessions of the listener `once` may be attempted again.
const LOOSEN_ONCE: (&str, &str) = ("\"effect\": \"fragile\"", "\"effect\": \"retryable\"");

/// A host of processes that know two backends, which answer each request with `ERR`.
struct Site {
    host: Host,
    received: [Received; 2],
    _watches: Received,
}

impl Site {
    fn new(name: &str) -> Site {
        let backends = [(); 2].map(|()| start_backend(BackendBehavior::Reply("ERR\r\n")));
        let list = chunk(&ready_backends(&[backends[0].0, backends[1].0]));
        let scripts = (0..MAX_WATCHES).map(|_| WatchScript {
            pieces: vec![RESPONSE_HEAD.into(), list.clone()],
            ends: false,
        });
        let (discovery, _watches) = start_discovery(scripts.collect());
        Site {
            host: Host::with_discovery(&format!("transition-{name}"), discovery),
            _watches,
            received: backends.map(|(_, received)| received),
        }
    }

    /// Starts a process with these changes of the settings, beside those that run.
    fn launch(&self, changes: &[(&str, &str)]) -> RelayProcess {
        let changes = [&SURE_RETRY, changes].concat();
        self.host.launch_with(new_program(), &changes)
    }

    fn start(&self, changes: &[(&str, &str)]) -> RelayProcess {
        let process = self.launch(changes);
        process.wait_until_ready();
        process
    }

    /// Changes the settings of a process, and returns the time before it.
    fn reload(&self, process: &RelayProcess, change: (&str, &str)) -> Instant {
        let before = Instant::now();
        self.host.reload(process, &[change]);
        before
    }
}

/// Stops the predecessor, and waits until it accepts no more clients.
fn hand_over(predecessor: &RelayProcess) {
    predecessor.relay.signal("TERM");
    predecessor.relay.wait_for_log("relay told to stop");
}

fn open_sessions(process: &RelayProcess) -> Vec<Client> {
    (0..CLIENTS)
        .map(|_| process.relay.open_session("once", 9_000))
        .collect()
}

/// Runs an upgrade through this many successors within the transition, until its clients came in
/// time, and returns the greatest number of attempts of a session.
fn max_attempts_after_upgrades(name: &str, successors: usize) -> usize {
    for run in 0..MAX_RUNS {
        let site = Site::new(&format!("{name}-{run}"));
        let first = site.start(&[]);
        let changed = site.reload(&first, LOOSEN_ONCE);
        let mut processes = vec![first];
        for _ in 0..successors {
            let next = site.start(&[LOOSEN_ONCE]);
            hand_over(processes.last().unwrap());
            processes.push(next);
        }
        let clients = open_sessions(processes.last().unwrap());
        let is_in_time = changed.elapsed() < TRANSITION;
        await_ends(clients);
        if is_in_time {
            return max_attempts(&site.received);
        }
    }
    panic!("no run had its clients within the transition");
}

/// Guards against a successor that goes by new settings while the replaced ones still bind.
#[test]
fn successor_in_a_transition_goes_by_the_replaced_settings() {
    assert_eq!(max_attempts_after_upgrades("one", 1), 1);
}

/// Guards against a successor that does not pass on what it was told of replaced settings.
#[test]
fn second_successor_in_a_transition_goes_by_the_replaced_settings() {
    assert_eq!(max_attempts_after_upgrades("two", 2), 1);
}

/// Guards against a transition that never ends at the successor, and shows that the tests above can
/// fail.
#[test]
fn successor_goes_by_the_new_settings_after_the_transition() {
    let site = Site::new("after");
    let first = site.start(&[]);
    site.reload(&first, LOOSEN_ONCE);
    let next = site.start(&[LOOSEN_ONCE]);
    hand_over(&first);
    wait_until("sessions are attempted again", || {
        await_ends(open_sessions(&next));
        max_attempts(&site.received) > 1
    });
}

/// Guards against clients of a dropped listener that the successor does not know any more, where no
/// signal has announced its file.
#[test]
fn successor_serves_a_listener_that_its_file_lacks_during_a_transition() {
    let renamed = ("\"name\": \"once\"", "\"name\": \"twice\"");
    for run in 0..MAX_RUNS {
        let site = Site::new(&format!("dropped-{run}"));
        let first = site.start(&[]);
        let before = Instant::now();
        let next = site.start(&[renamed]);
        hand_over(&first);
        let clients = open_sessions(&next);
        let is_in_time = before.elapsed() < TRANSITION;
        await_ends(clients);
        if is_in_time {
            return assert_eq!(max_attempts(&site.received), 1);
        }
    }
    panic!("no run had its clients within the transition");
}

/// A predecessor of the former version does not say what binds: the successor accepts clients once
/// nothing that was replaced before its start can bind any more.
#[test]
fn successor_of_a_silent_predecessor_accepts_clients_after_a_transition() {
    let site = Site::new("silent");
    let listener = Socket::new(Domain::UNIX, Type::SEQPACKET, None).unwrap();
    let path = site.host.folder().join("thistlecroft-next");
    listener.bind(&SockAddr::unix(path).unwrap()).unwrap();
    listener.listen(1).unwrap();
    let before = Instant::now();
    let successor = site.launch(&[]);
    let (_channel, _) = listener.accept().unwrap();
    successor.wait_until_ready();
    assert!(before.elapsed() >= TRANSITION, "{:?}", before.elapsed());
}
