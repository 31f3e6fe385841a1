//! Runs of scenarios: what they keep, and that they can be repeated.
use crate::helper::{
    SHORT_SCENARIO, folder, run, start, summary, text, wait_until, write_scenario,
};
use rustix::process::{Pid, Signal, kill_process};
use std::path::{Path, PathBuf};
use std::process::Command;

/// When first tries were due after the beginning of the plan, in milliseconds, and for which
/// listener.
fn first_tries(run: &Path) -> Vec<(i64, u64)> {
    let lines = std::fs::read_to_string(run.join("events.jsonl")).unwrap();
    let events: Vec<serde_json::Value> = lines
        .lines()
        .map(|line| serde_json::from_str(line).expect(line))
        .collect();
    let begun = events
        .iter()
        .find(|event| event["text"] == "the plan begins")
        .unwrap()["ms"]
        .as_f64()
        .unwrap();
    let mut tries: Vec<(i64, u64)> = events
        .iter()
        .filter(|event| event["event"] == "asked" && event["again"] == false)
        .map(|event| {
            let due = event["due"].as_f64().unwrap() - begun;
            (
                (due * 1e3).round() as i64 / 1_000,
                event["listener"].as_u64().unwrap(),
            )
        })
        .collect();
    tries.sort_unstable();
    tries.dedup();
    tries
}

/// The short scenario, run twice with one seed.
struct RepeatedRun {
    folder: PathBuf,
    outs: [String; 2],
}

impl RepeatedRun {
    fn new(name: &str) -> RepeatedRun {
        let folder = folder(name);
        let file = write_scenario(&folder, SHORT_SCENARIO);
        let outs = ["one", "two"].map(|name| folder.join(name).to_string_lossy().into_owned());
        for out in &outs {
            let done = run(&["experiment", "run", &file, "--seed", "5", "--out", out]);
            let (output, progress) = (text(&done.stdout), text(&done.stderr));
            assert!(done.status.success(), "{output}{progress}");
            assert!(progress.contains("established"), "progress is shown");
        }
        RepeatedRun { folder, outs }
    }

    fn result(&self, number: usize, way: &str) -> PathBuf {
        let out = Path::new(&self.outs[number]);
        out.join("small").join(way).join("seed-5")
    }
}

#[test]
fn finished_run_keeps_its_results_and_can_be_repeated_and_compared() {
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
    let table = text(&compared.stdout);
    assert!(compared.status.success(), "{table}");
    assert!(
        table.contains("utility served") && table.contains("one run only"),
        "{table}"
    );
    let reported = text(&run(&["experiment", "report", one]).stdout);
    assert!(reported.contains("2 runs"), "{reported}");
    let index = std::fs::read_to_string(Path::new(one).join("index.html")).unwrap();
    assert!(index.contains("seed-5/report.html"));
    std::fs::remove_dir_all(runs.folder).unwrap();
}

/// The same clients come at the same times, whatever each run met. A relay's death makes some of
/// them come anew, and more on a busy machine; two different seeds have next to none in common.
fn assert_same_clients(first: &Path, second: &Path) {
    let (first, second) = (first_tries(first), first_tries(second));
    let common = first.iter().filter(|tried| second.contains(tried)).count();
    assert!(
        common * 100 >= first.len() * 80,
        "{common} of {} and {}",
        first.len(),
        second.len()
    );
}

#[test]
fn too_few_descriptors_are_refused_before_anything_starts() {
    let folder = folder("descriptors");
    let (file, out) = (write_scenario(&folder, SHORT_SCENARIO), folder.join("out"));
    let line = format!(
        "ulimit -n 200; exec {} experiment run {file} --out {}",
        env!("CARGO_BIN_EXE_thistlecroft"),
        out.display()
    );
    let done = Command::new("sh").args(["-c", &line]).output().unwrap();
    let said = text(&done.stderr);
    assert_eq!(done.status.code(), Some(1), "{said}");
    assert!(
        said.contains("descriptors are needed and the limit is 200"),
        "{said}"
    );
    std::fs::remove_dir_all(folder).unwrap();
}

/// Processes whose parent this is.
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
    let folder = folder("interrupt");
    let file = write_scenario(
        &folder,
        &SHORT_SCENARIO.replace("length = \"4s\"", "length = \"60s\""),
    );
    let out = folder.join("out").to_string_lossy().into_owned();
    // Interrupted, and killed outright: then nothing can be kept, but relays end all the same.
    for (signal, code) in [(Signal::INT, Some(130)), (Signal::KILL, None)] {
        let (mut child, mut lines) =
            start(&["experiment", "run", &file, "--way", "relays", "--out", &out]);
        assert!(
            lines
                .by_ref()
                .map_while(Result::ok)
                .any(|line| line.contains(" of 60 s")),
            "it runs"
        );
        let relays = children(child.id());
        assert_eq!(relays.len(), 2);
        let pid = Pid::from_raw(child.id() as i32).unwrap();
        kill_process(pid, signal).unwrap();
        let said: Vec<String> = lines.map_while(Result::ok).collect();
        assert_eq!(child.wait().unwrap().code(), code, "{said:?}");
        let lives = |pid: &u32| {
            let state = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
            state.contains("thistlecroft") && !state.contains(") Z")
        };
        wait_until("a relay lives on", || !relays.iter().any(lives));
        if code.is_some() {
            let summary = summary(&Path::new(&out).join("small/relays/seed-1"));
            assert_eq!(summary["complete"].as_bool(), Some(false));
            assert!(summary["sessions"].as_u64().unwrap() > 0);
        }
    }
    std::fs::remove_dir_all(folder).unwrap();
}
