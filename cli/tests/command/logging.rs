//! Tests of the log of `thistlecroft serve`.
use crate::helper::{relay_configuration, start, test_folder};
use crate::unused_address::unused_address;

#[test]
fn json_log_has_one_object_per_line_except_for_the_final_error() {
    let folder = test_folder("log");
    let listener = std::net::TcpListener::bind("127.0.0.9:0").unwrap();
    let used_address = listener.local_addr().unwrap();
    let config = folder.join("config.json");
    let text = relay_configuration(&used_address.to_string());
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
    // The relay can't bind the address, which is in use: the command's error is not JSON.
    assert!(
        lines.last().unwrap().starts_with("thistlecroft: "),
        "{lines:?}"
    );
    std::fs::write(&config, relay_configuration(&unused_address().to_string())).unwrap();
    let (mut child, mut lines) = start(&[
        "serve",
        "--log-format",
        "json",
        "--config",
        &config.to_string_lossy(),
    ]);
    let first_line = lines.next().unwrap().unwrap();
    let object: serde_json::Value = serde_json::from_str(&first_line).expect(&first_line);
    assert_eq!(
        (object["level"].as_str(), object["unix_ms"].is_u64()),
        (Some("info"), true),
        "{first_line}"
    );
    assert!(
        object["message"].as_str().unwrap().contains("serves at"),
        "{first_line}"
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
