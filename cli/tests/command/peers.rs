//! Tests of `thistlecroft peers`, and of `thistlecroft check` for relays with peers.
use crate::helper::{TIMEOUT, decode, relay_configuration, run, start, test_folder};
use crate::unused_address::unused_address;
use rustix::process::{Pid, Signal, kill_process};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Instant;

#[test]
fn unreachable_relay_is_reported_with_its_address_and_exit_code_one() {
    let output = run(&["peers", "127.0.0.1:9"]);
    let (stdout, stderr) = (decode(&output.stdout), decode(&output.stderr));
    assert_eq!(output.status.code(), Some(1));
    assert!(stdout.starts_with("127.0.0.1:9: "), "{stdout}");
    assert!(stderr.contains("1 of 1 relays did not say"), "{stderr}");
}

#[test]
fn wrong_arguments_end_with_exit_code_two() {
    for arguments in [
        ["peers", "nobody"].as_slice(),
        &["peers"],
        &["peers", "127.0.0.1:9", "--watch", "--every", "0"],
    ] {
        assert_eq!(run(arguments).status.code(), Some(2), "{arguments:?}");
    }
}

/// The files and the admin port of a relay that is alone in its fleet.
struct LoneRelay {
    folder: PathBuf,
    admin: SocketAddr,
    config: String,
    operator_config: String,
}

impl LoneRelay {
    fn new(name: &str) -> LoneRelay {
        let folder = test_folder(name);
        let [listen, admin, peers] = [(); 3].map(|()| unused_address());
        let config = relay_configuration(&listen.to_string());
        let mut config: serde_json::Value = serde_json::from_str(&config).unwrap();
        config["admin_addr"] = admin.to_string().into();
        config["settings"]["permissions"]["peers"] = true.into();
        let key = folder.join("key");
        std::fs::write(&key, "sixteen bytes or more\n").unwrap();
        let operator_config = format!(
            "[peers]\nfleet = \"t\"\nlisten = \"{peers}\"\nkey_file = \"{}\"\nvoters = \"r0\"\n",
            key.display()
        );
        let write = |name: &str, text: String| {
            let path = folder.join(name);
            std::fs::write(&path, text).unwrap();
            path.to_string_lossy().into_owned()
        };
        LoneRelay {
            admin,
            config: write("config.json", config.to_string()),
            operator_config: write("operator_config.toml", operator_config),
            folder,
        }
    }

    fn view_text(&self) -> String {
        decode(&run(&["peers", &self.admin.to_string()]).stdout)
    }
}

#[test]
fn lone_relay_prints_its_view_as_text_and_as_json() {
    let relay = LoneRelay::new("peers");
    let files = [&relay.config, &relay.operator_config];
    let check = run(&["check", "--config", files[0], files[1]]);
    assert_eq!(check.status.code(), Some(0), "{}", decode(&check.stderr));
    let (mut child, lines) = start(&["serve", "--config", files[0], "--charter", files[1]]);
    std::thread::spawn(move || lines.map_while(Result::ok).for_each(drop));
    let deadline = Instant::now() + TIMEOUT;
    while !relay.view_text().contains("r0/") {
        assert!(Instant::now() < deadline, "{}", relay.view_text());
    }
    let shown = relay.view_text();
    assert!(
        shown.contains("voter: silent, generation 1, holds nothing"),
        "{shown}"
    );
    let json = run(&["peers", "--json", &relay.admin.to_string()]);
    let view: serde_json::Value = serde_json::from_str(decode(&json.stdout).trim()).unwrap();
    assert_eq!(
        (view["name"].as_str(), view["unheard"].as_u64()),
        (Some("r0"), Some(0))
    );
    kill_process(Pid::from_child(&child), Signal::TERM).unwrap();
    assert!(child.wait().unwrap().success());
    std::fs::remove_dir_all(relay.folder).unwrap();
}

#[test]
fn peers_without_permission_fail_the_check_with_one_error() {
    let relay = LoneRelay::new("peers-forbidden");
    let forbidden = std::fs::read_to_string(&relay.config)
        .unwrap()
        .replace("\"peers\":true", "\"peers\":false");
    std::fs::write(&relay.config, forbidden).unwrap();
    let checked = run(&["check", "--config", &relay.config, &relay.operator_config]);
    let stderr = decode(&checked.stderr);
    assert_eq!(
        (checked.status.code(), stderr.lines().count()),
        (Some(2), 1),
        "{stderr}"
    );
    assert!(stderr.contains("permissions.peers"), "{stderr}");
    std::fs::remove_dir_all(relay.folder).unwrap();
}
