//! Tests of the platform's settings beside the operators' file: neither keeps the rules of the other
//! from being in force.
use crate::helper::host::{RelayProcess, TestFolder};
use crate::helper::*;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Command;

/// The operators' file: one attempt for sessions of the listener `once`.
const ROUTE_FOR_ONCE: &str =
    "[[route]]\nname = \"single\"\ndials = 1\n[route.match]\nlistener = \"once\"\n";
/// The operators' file: one attempt for sessions of the listener `safe`, and a route for `once`.
const ONE_ATTEMPT_FOR_SAFE: &str =
    "[[route]]\nname = \"single\"\ndials = 1\n[route.match]\nlistener = [\"safe\", \"once\"]\n";

/// The listener `once` is dropped.
const DROP_ONCE: (&str, &str) = (
    ",\n  {\"name\": \"once\", \"deadlineUs\": 9000000, \"handshakeTargetUs\": 300000, \"effect\": \"fragile\", \"utility\": 1.0}]",
    "]",
);
/// Sessions of the listener `safe` must not be attempted again after they may have run.
const MAKE_SAFE_ONCE_ONLY: (&str, &str) = ("\"effect\": \"retryable\"", "\"effect\": \"fragile\"");

/// A relay with both files, and two backends that answer each request with `ERR`.
struct Site {
    process: RelayProcess,
    folder: TestFolder,
    received: [Received; 2],
}

impl Site {
    fn start(name: &str, changes: &[(&str, &str)], operator_config: &str) -> Site {
        let folder = TestFolder::new(&format!("two-files-{name}"));
        let backends = [(); 2].map(|()| start_backend(BackendBehavior::Reply("ERR\r\n")));
        let addresses = [backends[0].0, backends[1].0];
        let (at, admin) = (unused_address(), unused_address());
        let known = ready_backends(&addresses);
        let mut text = config(at, unused_address(), 1_000, &known, false);
        for (from, to) in SURE_RETRY.iter().chain(changes) {
            text = replace_in(&text, from, to);
        }
        let text = host::with_admin(text, admin);
        std::fs::write(folder.path().join("config.json"), &text).unwrap();
        std::fs::write(folder.path().join("operators.toml"), operator_config).unwrap();
        let mut command = Command::new(host::new_program());
        command
            .env("ROUTER_CONFIG", folder.path().join("config.json"))
            .env("TMPDIR", folder.path())
            .env(
                "THISTLECROFT_OPERATOR_CONFIG",
                folder.path().join("operators.toml"),
            );
        let process = RelayProcess::launch(command, at, admin, text);
        process.relay.wait_for_log("serves at");
        Site {
            process,
            folder,
            received: backends.map(|(_, received)| received),
        }
    }

    fn operator_config_path(&self) -> PathBuf {
        self.folder.path().join("operators.toml")
    }

    /// Replaces parts of the settings and has the relay read both files. Returns the first line that
    /// says what is in force then.
    fn reload(&self, changes: &[(&str, &str)]) -> String {
        let mut text = self.process.relay.config_text.clone();
        for (from, to) in changes {
            text = replace_in(&text, from, to);
        }
        let path = self.folder.path().join("config.json");
        std::fs::write(path.with_extension("fresh"), text).unwrap();
        std::fs::rename(path.with_extension("fresh"), &path).unwrap();
        self.process.relay.signal("HUP");
        self.process.relay.wait_for_log("in force")
    }

    /// Opens ten sessions of the listener `safe`, and returns the greatest number of attempts that
    /// one of them took.
    fn max_attempts(&self) -> usize {
        let relay = &self.process.relay;
        let clients = (0..10).map(|_| relay.open_session("safe", 9_000));
        await_ends(clients.collect());
        max_attempts(&self.received)
    }
}

/// Without a stricter rule each session is attempted again, so the tests below can fail.
#[test]
fn idempotent_sessions_are_attempted_again_after_an_error() {
    let site = Site::start("again", &[], ROUTE_FOR_ONCE);
    assert!(site.max_attempts() > 1);
}

/// Guards against sound settings that are refused because an unchanged operators' file names a
/// listener that they drop.
#[test]
fn settings_that_drop_a_listener_of_the_operators_file_are_in_force() {
    let site = Site::start("dropped", &[], ROUTE_FOR_ONCE);
    site.reload(&[DROP_ONCE, MAKE_SAFE_ONCE_ONLY]);
    assert_eq!(site.max_attempts(), 1);
}

/// Guards against sound settings that are refused because the operators' file can't be read.
#[test]
fn settings_beside_an_unreadable_operators_file_are_in_force() {
    let site = Site::start("unreadable", &[], ROUTE_FOR_ONCE);
    std::fs::remove_file(site.operator_config_path()).unwrap();
    site.reload(&[MAKE_SAFE_ONCE_ONLY]);
    assert_eq!(site.max_attempts(), 1);
}

/// Guards against sound settings that are refused because of a broken operators' file, and against
/// the loss of the operators' stricter rule.
#[test]
fn operators_rule_stays_in_force_beside_new_settings_and_a_broken_file() {
    let site = Site::start("broken", &[], ONE_ATTEMPT_FOR_SAFE);
    std::fs::write(site.operator_config_path(), "[[route]]\nname = 3\n").unwrap();
    site.reload(&[DROP_ONCE]);
    site.process
        .relay
        .wait_for_log("route otherwise for once is gone");
    assert_eq!(site.max_attempts(), 1);
}

/// Guards against settings that are refused because the operators' file uses what they no longer
/// permit.
#[test]
fn settings_that_forbid_messages_between_relays_are_in_force() {
    let key = std::env::temp_dir().join(format!("two-files-key-{}", std::process::id()));
    std::fs::write(&key, "a key of the fleet, long enough").unwrap();
    let listen = unused_address();
    let peers = format!(
        "[peers]\nfleet = \"f\"\nlisten = \"{listen}\"\nkey_file = \"{}\"\n",
        key.display()
    );
    let permit = (
        "\"mayCancel\": true",
        "\"mayCancel\": true, \"peers\": true",
    );
    let site = Site::start("peers", &[permit], &peers);
    assert!(site.process.admin_command("PEERS").starts_with("200"));
    site.reload(&[("\"peers\": true", "\"peers\": false"), MAKE_SAFE_ONCE_ONLY]);
    assert_eq!(site.max_attempts(), 1);
    let answer = site.process.admin_command("PEERS");
    assert!(answer.starts_with("400"), "{answer}");
    UdpSocket::bind(listen).expect("no datagram is received any more");
    std::fs::remove_file(key).unwrap();
}

/// Guards against a relay that can't be started again after the settings have dropped a listener.
#[test]
fn relay_starts_with_an_operators_file_that_names_an_unknown_listener() {
    let site = Site::start("start", &[DROP_ONCE], ONE_ATTEMPT_FOR_SAFE);
    assert_eq!(site.max_attempts(), 1);
}
