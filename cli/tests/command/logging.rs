//! The log of a relay that serves.
use crate::helper::{folder, relay_configuration, start};

#[test]
fn json_log_is_one_object_a_line() {
    let folder = folder("log");
    let listener = std::net::TcpListener::bind("127.0.0.9:0").unwrap();
    let taken = listener.local_addr().unwrap();
    let config = folder.join("config.json");
    let text = relay_configuration(&taken.to_string());
    std::fs::write(&config, text).unwrap();
    let (mut child, lines) = start(&[
        "serve",
        "--log-format",
        "json",
        "--config",
        &config.to_string_lossy(),
    ]);
    let lines: Vec<String> = lines.map_while(Result::ok).collect();
    assert_eq!(child.wait().unwrap().code(), Some(1));
    // The address is taken: the last line is the plain one.
    assert!(
        lines.last().unwrap().starts_with("thistlecroft: "),
        "{lines:?}"
    );
    // At an address of its own: a process that another test is just starting may hold the one above
    // for a moment.
    let free = thistlecroft_testbed::relay_process::free_address(901).unwrap();
    std::fs::write(&config, relay_configuration(&free.to_string())).unwrap();
    let (mut child, mut lines) = start(&[
        "serve",
        "--log-format",
        "json",
        "--config",
        &config.to_string_lossy(),
    ]);
    let first = lines.next().unwrap().unwrap();
    let object: serde_json::Value = serde_json::from_str(&first).expect(&first);
    assert_eq!(
        (object["level"].as_str(), object["unix_ms"].is_u64()),
        (Some("info"), true),
        "{first}"
    );
    assert!(
        object["message"].as_str().unwrap().contains("serves at"),
        "{first}"
    );
    let pid = rustix::process::Pid::from_raw(child.id() as i32).unwrap();
    rustix::process::kill_process(pid, rustix::process::Signal::TERM).unwrap();
    let rest: Vec<String> = lines.map_while(Result::ok).collect();
    assert!(child.wait().unwrap().success());
    assert!(!rest.is_empty());
    for line in rest {
        assert!(
            serde_json::from_str::<serde_json::Value>(&line).is_ok_and(|line| line.is_object()),
            "{line}"
        );
    }
    std::fs::remove_dir_all(folder).unwrap();
}
