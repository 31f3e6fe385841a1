//! The operator configuration: checked, shown, compared, taken up.
use crate::helper::{folder, relay_configuration, run, start, text};
use rustix::process::{Pid, Signal, kill_process};
use std::path::PathBuf;

/// A folder with a relay's configuration and operator configurations beside it.
struct Files {
    folder: PathBuf,
    config: String,
}

impl Files {
    /// The relay gets the loopback address of this number.
    fn new(name: &str, address_number: usize) -> Files {
        let folder = folder(name);
        let config = folder.join("config.json");
        let listen = thistlecroft_testbed::relay_process::free_address(address_number).unwrap();
        std::fs::write(&config, relay_configuration(&listen.to_string())).unwrap();
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

    /// Attempts of one route, and the same with one more and an idle time-out.
    fn old(&self) -> String {
        self.write("old.toml", &route("dials = 2"))
    }

    fn new_version(&self) -> String {
        self.write("new.toml", &route("dials = 3\nidle = \"1m\""))
    }

    /// Sound by itself, but not for this relay.
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

/// What `thistlecroft check` ended with.
struct Checked {
    code: Option<i32>,
    output: String,
    complaints: String,
}

fn check(arguments: &[&str]) -> Checked {
    let done = run(&[&["check"], arguments].concat());
    Checked {
        code: done.status.code(),
        output: text(&done.stdout),
        complaints: text(&done.stderr),
    }
}

#[test]
fn sound_config_is_shown_with_its_effective_values() {
    let files = Files::new("operator-config-shown", 900);
    let Checked { code, output, .. } =
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
        assert!(output.contains(expected), "{expected}: {output}");
    }
    files.remove();
}

#[test]
fn two_versions_are_compared_by_what_a_relay_takes_up() {
    let files = Files::new("operator-config-compared", 902);
    let (old, new) = (files.old(), files.new_version());
    let Checked { code, output, .. } = check(&["--against", &old, &new, "--config", &files.config]);
    assert_eq!(code, Some(0));
    assert!(
        output.contains("v.dials for view: 2 -> 3")
            && output.contains("v.idle for view: none -> 60s"),
        "{output}"
    );
    let same = check(&["--against", &files.config, &files.config]);
    assert_eq!(same.code, Some(0), "{}", same.complaints);
    files.remove();
}

#[test]
fn each_error_is_a_line_and_no_relay_starts() {
    let files = Files::new("operator-config-errors", 903);
    let bad = files.write(
        "bad.toml",
        &route("dials = 0\nbse = \"1s\"\ndial_timeout = \"9s\""),
    );
    let Checked {
        code, complaints, ..
    } = check(&[&bad]);
    assert_eq!(
        (code, complaints.lines().count()),
        (Some(2), 2),
        "{complaints}"
    );
    assert!(
        complaints.contains("bad.toml:3:9: route v.dials") && complaints.contains("is it `base`?"),
        "{complaints}"
    );
    let unsuitable = files.unsuitable();
    let Checked {
        code, complaints, ..
    } = check(&[&unsuitable, "--config", &files.config]);
    assert_eq!(
        (code, complaints.lines().count()),
        (Some(2), 2),
        "{complaints}"
    );
    assert!(
        complaints.contains("longer than clients of view wait")
            && complaints.contains("one dial at a time"),
        "{complaints}"
    );
    let refused = run(&["serve", "--config", &files.config, "--charter", &unsuitable]);
    let complaints = text(&refused.stderr);
    assert_eq!(refused.status.code(), Some(1));
    assert_eq!(complaints.lines().count(), 2, "{complaints}");
    files.remove();
}

/// A sound file is taken up on SIGHUP; a bad one changes nothing, and what both say alike is not
/// logged.
#[test]
fn running_relay_takes_up_sound_changes_alone() {
    let files = Files::new("operator-config-reload", 904);
    let (old, new, unsuitable) = (files.old(), files.new_version(), files.unsuitable());
    let (mut child, mut lines) = start(&["serve", "--config", &files.config, "--charter", &old]);
    let pid = Pid::from_raw(child.id() as i32).unwrap();
    let mut wait_for_line = |part: &str| {
        let mut seen = Vec::new();
        let mut lines = lines
            .by_ref()
            .map_while(Result::ok)
            .inspect(|line| seen.push(line.clone()));
        let found = lines.find(|line| line.contains(part));
        found.unwrap_or_else(|| panic!("no {part}: {seen:?}"))
    };
    wait_for_line("serves at");
    for (file, expected) in [
        (
            &new,
            "configuration in force: generation=2; v.dials for view: 2 -> 3; v.idle for view: none -> 60s",
        ),
        (
            &unsuitable,
            "the previous operator configuration and settings stay in force",
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
