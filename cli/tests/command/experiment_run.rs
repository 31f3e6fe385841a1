//! Tests of `thistlecroft experiment run`: the results that a run writes, and that a run can be
//! repeated.
use crate::helper::{
    SHORT_SCENARIO, decode, run, start, summary, test_folder, wait_until, write_scenario,
};
use rustix::process::{Pid, Signal, kill_process};
use std::path::{Path, PathBuf};
use std::process::Command;

/// Returns when each client's first attempt was due, in milliseconds after the beginning of the
/// plan, and its listener.
fn first_attempts(run: &Path) -> Vec<(i64, u64)> {
    let lines = std::fs::read_to_string(run.join("events.jsonl")).unwrap();
    let events: Vec<serde_json::Value> = lines
        .lines()
        .map(|line| serde_json::from_str(line).expect(line))
        .collect();
    let begin = events
        .iter()
        .find(|event| event["text"] == "the plan begins")
        .unwrap()["ms"]
        .as_f64()
        .unwrap();
    let mut attempts: Vec<(i64, u64)> = events
        .iter()
        .filter(|event| event["event"] == "asked" && event["again"] == false)
        .map(|event| {
            let due = event["due"].as_f64().unwrap() - begin;
            (
                (due * 1e3).round() as i64 / 1_000,
                event["listener"].as_u64().unwrap(),
            )
        })
        .collect();
    attempts.sort_unstable();
    attempts.dedup();
    attempts
}

/// The short scenario, run twice with the same seed.
struct RepeatedRun {
    folder: PathBuf,
    outs: [String; 2],
}

impl RepeatedRun {
    fn new(name: &str) -> RepeatedRun {
        let folder = test_folder(name);
        let file = write_scenario(&folder, SHORT_SCENARIO);
        let outs = ["one", "two"].map(|name| folder.join(name).to_string_lossy().into_owned());
        for out in &outs {
            let output = run(&["experiment", "run", &file, "--seed", "5", "--out", out]);
            let (stdout, stderr) = (decode(&output.stdout), decode(&output.stderr));
            assert!(output.status.success(), "{stdout}{stderr}");
            assert!(stderr.contains("established"), "no progress line");
        }
        RepeatedRun { folder, outs }
    }

    fn result(&self, number: usize, way: &str) -> PathBuf {
        let out = Path::new(&self.outs[number]);
        out.join("small").join(way).join("seed-5")
    }
}

#[test]
fn finished_run_writes_results_that_can_be_repeated_and_compared() {
    let runs = RepeatedRun::new("run");
    let relays = summary(&runs.result(0, "relays"));
    assert_eq!(
        (relays["complete"].as_bool(), relays["crashes"].as_u64()),
        (Some(true), Some(0))
    );
    assert!(relays["sessions"].as_u64().unwrap() > 80, "{relays}");
    assert_eq!(relays["rude_answered"], 20);
    let page = std::fs::read_to_string(runs.result(0, "relays").join("report.html")).unwrap();
    assert_eq!(page.matches("<svg").count(), 5);
    assert!(page.contains("relay-killed") && page.contains("rules kept"));
    assert_same_clients(&runs.result(0, "least"), &runs.result(1, "least"));

    let one = &runs.outs[0];
    let (relays, least) = (format!("{one}/small/relays"), format!("{one}/small/least"));
    let compared = run(&["experiment", "compare", &relays, &least]);
    let table = decode(&compared.stdout);
    assert!(compared.status.success(), "{table}");
    assert!(
        table.contains("utility served") && table.contains("one run only"),
        "{table}"
    );
    let reported = decode(&run(&["experiment", "report", one]).stdout);
    assert!(reported.contains("2 runs"), "{reported}");
    let index = std::fs::read_to_string(Path::new(one).join("index.html")).unwrap();
    assert!(index.contains("seed-5/report.html"));
    std::fs::remove_dir_all(runs.folder).unwrap();
}

/// Asserts that the same clients came at the same times in both runs. Some differ, since clients
/// whose relay was killed come again, and more do so on a busy machine. Runs with different seeds
/// have almost no clients in common.
fn assert_same_clients(first: &Path, second: &Path) {
    let (first, second) = (first_attempts(first), first_attempts(second));
    let common = first
        .iter()
        .filter(|attempt| second.contains(attempt))
        .count();
    assert!(
        common * 100 >= first.len() * 80,
        "{common} of {} and {}",
        first.len(),
        second.len()
    );
}

#[test]
fn run_with_too_low_descriptor_limit_fails_before_anything_starts() {
    let folder = test_folder("descriptors");
    let (file, out) = (write_scenario(&folder, SHORT_SCENARIO), folder.join("out"));
    let line = format!(
        "ulimit -n 200; exec {} experiment run {file} --out {}",
        env!("CARGO_BIN_EXE_thistlecroft"),
        out.display()
    );
    let output = Command::new("sh").args(["-c", &line]).output().unwrap();
    let stderr = decode(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    assert!(
        stderr.contains("descriptors are needed and the limit is 200"),
        "{stderr}"
    );
    std::fs::remove_dir_all(folder).unwrap();
}

/// Returns the ids of the processes whose parent is `of`.
fn children(of: u32) -> Vec<u32> {
    let stat = |pid: u32| std::fs::read_to_string(format!("/proc/{pid}/stat")).ok();
    let parent = |pid: u32| {
        stat(pid)?
            .rsplit_once(')')?
            .1
            .split_whitespace()
            .nth(1)?
            .parse::<u32>()
            .ok()
    };
    let all = std::fs::read_dir("/proc").unwrap();
    let pids = all.filter_map(|entry| entry.ok()?.file_name().to_string_lossy().parse().ok());
    pids.filter(|&pid| parent(pid) == Some(of)).collect()
}

#[test]
fn interrupted_run_ends_its_children_and_keeps_its_results() {
    let folder = test_folder("interrupt");
    let file = write_scenario(
        &folder,
        &SHORT_SCENARIO.replace("length = \"4s\"", "length = \"60s\""),
    );
    let out = folder.join("out").to_string_lossy().into_owned();
    // After SIGINT the results must be kept. After SIGKILL they are lost, but the relays must end.
    for (signal, code) in [(Signal::INT, Some(130)), (Signal::KILL, None)] {
        let (mut child, mut lines) =
            start(&["experiment", "run", &file, "--way", "relays", "--out", &out]);
        assert!(
            lines
                .by_ref()
                .map_while(Result::ok)
                .any(|line| line.contains(" of 60 s")),
            "no progress line"
        );
        let relays = children(child.id());
        assert_eq!(relays.len(), 2);
        let pid = Pid::from_raw(child.id() as i32).unwrap();
        kill_process(pid, signal).unwrap();
        let rest: Vec<String> = lines.map_while(Result::ok).collect();
        assert_eq!(child.wait().unwrap().code(), code, "{rest:?}");
        let is_running = |pid: &u32| {
            let state = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
            state.contains("thistlecroft") && !state.contains(") Z")
        };
        wait_until("a relay still runs", || !relays.iter().any(is_running));
        if code.is_some() {
            let summary = summary(&Path::new(&out).join("small/relays/seed-1"));
            assert_eq!(summary["complete"].as_bool(), Some(false));
            assert!(summary["sessions"].as_u64().unwrap() > 0);
        }
    }
    std::fs::remove_dir_all(folder).unwrap();
}
