//! Golden tests of the file that `ROUTER_CONFIG` names: which keys are read, which of them may be
//! missing, and the one line that reports an error. `config.json` in this folder has every key.
use crate::helper::*;
use crate::platform::{relay_command, relay_with_log, run_to_end, wait_for};
use crate::recorded::{assert_recorded, read_recorded};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::mpsc::RecvTimeoutError;

/// The recorded configuration, with addresses of this run in place of its placeholders.
struct Config {
    value: Value,
    listen: SocketAddr,
    admin: SocketAddr,
}

impl Config {
    fn new(backend: SocketAddr) -> Config {
        let (listen, admin) = (unused_address(), unused_address());
        let mut text = read_recorded("config.json");
        let addresses = [
            ("LISTEN", listen),
            ("DISCOVERY", unused_address()),
            ("ADMIN", admin),
            ("BACKEND", backend),
        ];
        for (placeholder, address) in addresses {
            text = text.replace(&format!("\"{placeholder}\""), &format!("\"{address}\""));
        }
        Config {
            value: serde_json::from_str(&text).unwrap(),
            listen,
            admin,
        }
    }
}

/// Collects the JSON pointers of all keys. Of an array, only the first element is visited.
fn collect_pointers(value: &Value, parent: &str, found: &mut Vec<String>) {
    match value {
        Value::Object(map) => {
            for (key, inner) in map {
                let pointer = format!("{parent}/{key}");
                found.push(pointer.clone());
                collect_pointers(inner, &pointer, found);
            }
        }
        Value::Array(items) if items.first().is_some_and(Value::is_object) => {
            collect_pointers(&items[0], &format!("{parent}/0"), found);
        }
        _ => {}
    }
}

/// Returns the JSON pointers of all keys of the recorded configuration.
fn all_pointers() -> Vec<String> {
    let mut found = Vec::new();
    collect_pointers(&Config::new(unused_address()).value, "", &mut found);
    found
}

fn remove(value: &mut Value, pointer: &str) {
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    let parent = value.pointer_mut(parent).unwrap().as_object_mut().unwrap();
    assert!(parent.remove(key).is_some(), "{pointer}");
}

/// Returns a value of a wrong type: a string instead of an array or object, an object otherwise.
fn wrong_type(value: &Value) -> Value {
    match value {
        Value::Array(_) | Value::Object(_) => json!("text"),
        _ => json!({}),
    }
}

fn is_ready(admin: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(admin) else {
        return false;
    };
    let mut answer = String::new();
    let exchanged = stream.write_all(b"READY\n").and_then(|()| {
        stream.set_read_timeout(Some(TEST_TIMEOUT))?;
        stream.read_to_string(&mut answer)
    });
    exchanged.is_ok() && answer.starts_with("200")
}

/// Starts the program with a configuration and returns the line with the error, or `None` if it
/// serves. The file's path differs from run to run and is masked; positions in the file are
/// removed.
fn startup_error(config: &Config, file: &str) -> Option<String> {
    let path = std::env::temp_dir().join(format!(
        "thistlecroft-golden-config-{}-{file}.json",
        std::process::id()
    ));
    std::fs::write(&path, config.value.to_string()).unwrap();
    let error = startup_error_of(&path);
    std::fs::remove_file(&path).unwrap();
    error
}

fn startup_error_of(path: &Path) -> Option<String> {
    let child = relay_command().env("ROUTER_CONFIG", path).spawn().unwrap();
    let mut relay = relay_with_log(child, unused_address(), String::new());
    let first = relay
        .log
        .recv_timeout(TEST_TIMEOUT)
        .expect("a line on stderr");
    if !first.starts_with("thistlecroft-relay: ") {
        if !first.contains("serves at") {
            relay.wait_for_log("serves at");
        }
        return None;
    }
    let end = relay.log.recv_timeout(TEST_TIMEOUT);
    assert_eq!(end, Err(RecvTimeoutError::Disconnected), "one line only");
    assert_eq!(wait_for_exit(&mut relay.child).code(), Some(1), "{first}");
    let masked = first.replace(&path.display().to_string(), "PATH");
    let without_position = masked.split(" at line ").next().unwrap();
    Some(mask_struct_name(without_position))
}

/// Masks the name of a type of the program in an error of the JSON parser: the name may change.
fn mask_struct_name(error: &str) -> String {
    match error.split_once("expected struct ") {
        Some((before, _)) => format!("{before}expected struct NAME"),
        None => error.to_string(),
    }
}

#[test]
fn config_with_every_key_gives_a_relay_that_serves() {
    let (address, received) = start_backend(BackendBehavior::Echo);
    let config = Config::new(address);
    let relay = start_relay_with_config(config.listen, config.value.to_string());
    wait_for("200 ready", || is_ready(config.admin).then_some(()));
    assert_eq!(relay.open_session("safe", 1_000).next_line(), "UP receipt");
    assert_eq!(relay.open_session("other", 1_000).next_line(), "ERR");
    wait_for("a health check, which the settings permit", || {
        (next_received(&received) == "STATS\r\n").then_some(())
    });
}

#[test]
fn config_with_a_key_missing_is_rejected_or_served_as_recorded() {
    let mut outcomes = String::new();
    for pointer in all_pointers() {
        let mut config = Config::new(unused_address());
        remove(&mut config.value, &pointer);
        let outcome = startup_error(&config, "missing").unwrap_or_else(|| "serves".into());
        outcomes += &format!("{pointer}: {outcome}\n");
    }
    assert_recorded("config_missing_keys.txt", &outcomes);
}

#[test]
fn config_with_a_value_of_a_wrong_type_is_rejected_or_ignored_as_recorded() {
    let mut outcomes = String::new();
    for pointer in all_pointers() {
        let mut config = Config::new(unused_address());
        let value = config.value.pointer_mut(&pointer).unwrap();
        *value = wrong_type(value);
        let outcome = startup_error(&config, "type").unwrap_or_else(|| "not read".into());
        outcomes += &format!("{pointer}: {outcome}\n");
    }
    assert_recorded("config_wrong_types.txt", &outcomes);
}

#[test]
fn config_with_a_value_out_of_range_is_rejected_as_recorded() {
    let values = [
        ("/listen", json!("here")),
        ("/discovery", json!("here")),
        ("/admin_addr", json!("here")),
        ("/seed", json!("seed")),
        ("/limits/sockets", json!(63)),
        ("/limits/sockets", json!(64)),
        ("/limits/memory_mb", json!(7.9)),
        ("/settings/listeners", json!([])),
        ("/settings/listeners/0/deadlineUs", json!(0)),
        ("/settings/listeners/0/effect", json!("other")),
        ("/settings/listeners/0/dedupScope", json!("other")),
        ("/settings/permissions/maxDials", json!(0)),
        ("/settings/me", json!(2)),
        ("/settings/discovery", json!("other")),
        ("/settings/invariants/extraFree", json!(-1.0)),
        ("/settings/invariants/repeatRatio", json!(-1.0)),
        ("/settings/invariants/extraWindowUs", json!(-1.0)),
        ("/settings/invariants/extraWindowUs", json!(0.0)),
    ];
    let mut outcomes = String::new();
    for (pointer, value) in values {
        let mut config = Config::new(unused_address());
        outcomes += &format!("{pointer} = {value}: ");
        *config.value.pointer_mut(pointer).unwrap() = value;
        let outcome = startup_error(&config, "range").unwrap_or_else(|| "serves".into());
        outcomes += &format!("{outcome}\n");
    }
    assert_recorded("config_out_of_range.txt", &outcomes);
}

#[test]
fn config_file_that_is_missing_is_rejected_as_recorded() {
    let path = std::env::temp_dir().join("thistlecroft-golden-no-such-file.json");
    let missing = run_to_end(relay_command().env("ROUTER_CONFIG", &path));
    let unnamed = run_to_end(&mut relay_command());
    let mut errors = String::new();
    for output in [missing, unnamed] {
        assert_eq!(output.status.code(), Some(1));
        assert!(output.stdout.is_empty());
        errors += &String::from_utf8(output.stderr).unwrap();
    }
    let errors = errors.replace(&path.display().to_string(), "PATH");
    assert_recorded("config_no_file.txt", &errors);
}

/// Starts the program with these variables and the recorded configuration without its admin
/// address, and returns what it writes to standard error.
fn startup_error_with_variables(variables: &[(&str, &str)]) -> String {
    let mut config = Config::new(unused_address());
    remove(&mut config.value, "/admin_addr");
    let path = std::env::temp_dir().join(format!(
        "thistlecroft-golden-config-{}-environment.json",
        std::process::id()
    ));
    std::fs::write(&path, config.value.to_string()).unwrap();
    let mut command = relay_command();
    command
        .env("ROUTER_CONFIG", &path)
        .envs(variables.iter().copied());
    let output = run_to_end(&mut command);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(output.status.code(), Some(1), "{variables:?}");
    String::from_utf8(output.stderr).unwrap()
}

#[test]
fn environment_variables_that_are_wrong_are_rejected_as_recorded() {
    let wrong = [
        ("ROUTER_ADMIN_ADDR", "here"),
        ("ROUTER_PASSED_SOCKET", "seven"),
        ("ROUTER_PASSED_SOCKET", "1"),
        ("ROUTER_PASSED_SOCKET", "900"),
        ("THISTLECROFT_CHARTER", "no-such-charter.toml"),
    ];
    let errors: String = wrong
        .iter()
        .map(|variable| startup_error_with_variables(&[*variable]))
        .collect();
    assert_recorded("environment_faults.txt", &errors);
}

#[test]
fn admin_address_of_the_environment_is_used_if_the_config_has_none() {
    let mut config = Config::new(unused_address());
    remove(&mut config.value, "/admin_addr");
    let path = std::env::temp_dir().join(format!(
        "thistlecroft-golden-config-{}-admin.json",
        std::process::id()
    ));
    std::fs::write(&path, config.value.to_string()).unwrap();
    let child = relay_command()
        .env("ROUTER_CONFIG", &path)
        .env("ROUTER_ADMIN_ADDR", config.admin.to_string())
        .spawn()
        .unwrap();
    let _relay = relay_with_log(child, config.listen, String::new());
    wait_for("200 ready", || is_ready(config.admin).then_some(()));
    std::fs::remove_file(&path).unwrap();
}
