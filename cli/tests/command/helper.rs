//! Helpers that start the command, write its input files and read its results.
use std::io::{BufRead, BufReader, Lines};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Output, Stdio};
use std::time::{Duration, Instant};
use thistlecroft::deployment::Idempotency;
use thistlecroft_testbed::relay_process::{
    FleetConfig, ListenerConfig, RelayOptions, configuration,
};

/// Longest time to wait for a process to do anything.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) fn command() -> Command {
    Command::new(env!("CARGO_BIN_EXE_thistlecroft"))
}

pub(crate) fn run(arguments: &[&str]) -> Output {
    command().args(arguments).output().unwrap()
}

pub(crate) fn decode(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Creates an empty folder for one test.
pub(crate) fn test_folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("thistlecroft-cli-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// A scenario of four seconds with several kinds of fault.
pub(crate) const SHORT_SCENARIO: &str = r#"
about = "for the test"
length = "4s"
[fleet]
boxes = 4
[relays]
count = 2
[traffic]
rate = 30.0
beat = "300ms"
impatient = 0.1
[[listener]]
name = "view"
wait = "1s"
handshake_target = "300ms"
message_target = "50ms"
life = "2s"
[[listener]]
name = "pay"
wait = "1s"
handshake_target = "300ms"
message_target = "50ms"
life = "2s"
effect = "once-only"
[[fault]]
at = "500ms"
what = "errors"
boxes = [0]
part = 0.5
for = "1s"
[[fault]]
at = "1s"
what = "mute"
boxes = [1]
for = "1s"
[[fault]]
at = "1s"
what = "relay-replaced"
relays = [1]
[[fault]]
at = "2s"
what = "crash"
boxes = [2]
back = "500ms"
[[fault]]
at = "2500ms"
what = "clients-garbage"
clients = 20
[[fault]]
at = "3s"
what = "relay-killed"
relays = [0]
back = "200ms"
[[variant]]
name = "least"
baseline = "least"
"#;

pub(crate) fn write_scenario(folder: &Path, text: &str) -> String {
    let path = folder.join("small.toml");
    std::fs::write(&path, text).unwrap();
    path.to_string_lossy().into_owned()
}

/// Reads the summary that a run wrote to its folder.
pub(crate) fn summary(run: &Path) -> serde_json::Value {
    serde_json::from_slice(&std::fs::read(run.join("summary.json")).unwrap()).unwrap()
}

/// Waits until the condition holds, and panics with the message if it never does.
pub(crate) fn wait_until(message: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "{message}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Starts the command, and returns the process and the lines of its standard error.
pub(crate) fn start(arguments: &[&str]) -> (Child, Lines<BufReader<ChildStderr>>) {
    // A shell at a terminal also starts each command in a process group of its own.
    let mut child = command()
        .args(arguments)
        .stderr(Stdio::piped())
        .process_group(0)
        .spawn()
        .unwrap();
    let lines = BufReader::new(child.stderr.take().unwrap()).lines();
    // Kills the child after the timeout, so that a test that waits for a missing line ends. The
    // signal goes through a pidfd, since the process id may by then belong to another process.
    let pid = rustix::process::Pid::from_raw(child.id() as i32).unwrap();
    let handle = rustix::process::pidfd_open(pid, rustix::process::PidfdFlags::empty()).unwrap();
    std::thread::spawn(move || {
        std::thread::sleep(TIMEOUT);
        let _ = rustix::process::pidfd_send_signal(handle, rustix::process::Signal::KILL);
    });
    (child, lines)
}

/// Returns the text of a relay's configuration, as the testbed writes it.
pub(crate) fn relay_configuration(listen: &str) -> String {
    let fleet = FleetConfig {
        zones: vec!["a".into()],
        listeners: vec![ListenerConfig {
            name: "view".into(),
            answer_timeout: thistlecroft::time::Duration::from_millis(1_000),
            handshake_target: thistlecroft::time::Duration::from_millis(300),
            message_target: thistlecroft::time::Duration::from_millis(50),
            idempotency: Idempotency::Idempotent,
            priority_weight: 1.0,
        }],
        connect_timeout: thistlecroft::time::Duration::from_millis(250),
        max_attempts: 3,
        max_retry_after: None,
        health_checks: true,
        groups: false,
        reports_load: false,
        warm_up_initial_share: 0.3,
        warm_up: thistlecroft::time::Duration::from_millis(9_000),
        warm_up_overload_factor: 3.0,
        warm_up_overload_window: thistlecroft::time::Duration::from_millis(3_000),
        memory_mb: 64,
        sockets: 256,
        hedging: false,
        peers: false,
    };
    let options = RelayOptions {
        admin: None,
        socket_holder: None,
        name: "r0".into(),
        index: 0,
        relays: 1,
        zone: 0,
        listen: listen.parse().unwrap(),
        discovery: "127.0.0.1:9".parse().unwrap(),
        seed: 7,
        cached_endpoints: None,
        operator_config: None,
    };
    configuration(&fleet, &options)
}
