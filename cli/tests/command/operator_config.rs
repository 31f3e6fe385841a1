//! Tests of the operator configuration: checking it, printing its effective values, comparing two
//! versions, and reloading it in a running relay.
use crate::helper::{decode, relay_configuration, run, start, test_folder};
use crate::unused_address::unused_address;
use rustix::process::{Pid, Signal, kill_process};
use std::path::PathBuf;

/// A folder with a relay's configuration and several operator configurations.
struct Files {
    folder: PathBuf,
    config: String,
}

impl Files {
    /// Creates the folder and the relay's configuration.
    fn new(name: &str) -> Files {
        let folder = test_folder(name);
        let config = folder.join("config.json");
        let listen = unused_address().to_string();
        std::fs::write(&config, relay_configuration(&listen)).unwrap();
        Files {
            config: config.to_string_lossy().into_owned(),
            folder,
        }
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        std::fs::write(&path, text).unwrap();
        path.to_string_lossy().into_owned()
    }

    /// Writes an operator configuration with one route.
    fn old(&self) -> String {
        self.write("old.toml", &route("dials = 2"))
    }

    /// Writes the same route with one attempt more and an idle timeout.
    fn new_version(&self) -> String {
        self.write("new.toml", &route("dials = 3\nidle = \"1m\""))
    }

    /// Writes an operator configuration that is valid by itself, but not for this relay.
    fn unsuitable(&self) -> String {
        self.write(
            "late.toml",
            &route("dial_timeout = \"9s\"\nsecond_copy = {}"),
        )
    }

    fn remove(self) {
        std::fs::remove_dir_all(self.folder).unwrap();
    }
}

fn route(lines: &str) -> String {
    format!("[[route]]\nname = \"v\"\n{lines}\n[route.match]\nlistener = \"view\"\n")
}

/// The exit code and output of `thistlecroft check`.
struct CheckOutput {
    code: Option<i32>,
    stdout: String,
    stderr: String,
}

fn check(arguments: &[&str]) -> CheckOutput {
    let output = run(&[&["check"], arguments].concat());
    CheckOutput {
        code: output.status.code(),
        stdout: decode(&output.stdout),
        stderr: decode(&output.stderr),
    }
}

#[test]
fn valid_config_with_effective_flag_prints_its_values_and_origins() {
    let files = Files::new("operator-config-shown");
    let CheckOutput { code, stdout, .. } =
        check(&[&files.old(), "--config", &files.config, "--effective"]);
    assert_eq!(code, Some(0));
    for expected in [
        "v, listener view",
        "dials              2",
        "line 3",
        "cool_down          5s",
        "built in",
        "settings",
    ] {
        assert!(stdout.contains(expected), "{expected}: {stdout}");
    }
    files.remove();
}

#[test]
fn two_versions_with_against_flag_print_the_changed_values() {
    let files = Files::new("operator-config-compared");
    let (old, new) = (files.old(), files.new_version());
    let CheckOutput { code, stdout, .. } =
        check(&["--against", &old, &new, "--config", &files.config]);
    assert_eq!(code, Some(0));
    assert!(
        stdout.contains("v.dials for view: 2 -> 3")
            && stdout.contains("v.idle for view: none -> 60s"),
        "{stdout}"
    );
    let unchanged = check(&["--against", &files.config, &files.config]);
    assert_eq!(unchanged.code, Some(0), "{}", unchanged.stderr);
    files.remove();
}

#[test]
fn invalid_config_prints_one_line_per_error_and_no_relay_starts() {
    let files = Files::new("operator-config-errors");
    let invalid = files.write(
        "bad.toml",
        &route("dials = 0\nbse = \"1s\"\ndial_timeout = \"9s\""),
    );
    let CheckOutput { code, stderr, .. } = check(&[&invalid]);
    assert_eq!((code, stderr.lines().count()), (Some(2), 2), "{stderr}");
    assert!(
        stderr.contains("bad.toml:3:9: route v.dials") && stderr.contains("is it `base`?"),
        "{stderr}"
    );
    let unsuitable = files.unsuitable();
    let CheckOutput { code, stderr, .. } = check(&[&unsuitable, "--config", &files.config]);
    assert_eq!((code, stderr.lines().count()), (Some(2), 2), "{stderr}");
    assert!(
        stderr.contains("longer than clients of view wait")
            && stderr.contains("one dial at a time"),
        "{stderr}"
    );
    let serve_output = run(&["serve", "--config", &files.config, "--charter", &unsuitable]);
    let stderr = decode(&serve_output.stderr);
    assert_eq!(serve_output.status.code(), Some(1));
    assert_eq!(stderr.lines().count(), 2, "{stderr}");
    files.remove();
}

/// A relay applies a valid file on SIGHUP and logs only the values that changed; a file that is
/// invalid changes nothing.
#[test]
fn running_relay_on_sighup_applies_only_valid_files() {
    let files = Files::new("operator-config-reload");
    let (old, new, unsuitable) = (files.old(), files.new_version(), files.unsuitable());
    let (mut child, mut lines) = start(&["serve", "--config", &files.config, "--charter", &old]);
    let pid = Pid::from_raw(child.id() as i32).unwrap();
    let mut wait_for_line = |expected_part: &str| {
        let mut seen = Vec::new();
        let mut lines = lines
            .by_ref()
            .map_while(Result::ok)
            .inspect(|line| seen.push(line.clone()));
        let found = lines.find(|line| line.contains(expected_part));
        found.unwrap_or_else(|| panic!("no {expected_part}: {seen:?}"))
    };
    wait_for_line("serves at");
    for (file, expected) in [
        (
            &new,
            "configuration in force: generation=2; v.dials for view: 2 -> 3; v.idle for view: none -> 60s",
        ),
        (
            &unsuitable,
            "the previous operator configuration stays in force",
        ),
        (&old, "configuration in force: generation=3;"),
    ] {
        std::fs::copy(file, files.folder.join("fresh")).unwrap();
        std::fs::rename(files.folder.join("fresh"), &old).unwrap();
        if expected.contains("generation=3;") {
            std::fs::write(&old, route("dials = 1")).unwrap();
        }
        kill_process(pid, Signal::HUP).unwrap();
        wait_for_line(expected);
    }
    kill_process(pid, Signal::TERM).unwrap();
    assert!(child.wait().unwrap().success());
    files.remove();
}
