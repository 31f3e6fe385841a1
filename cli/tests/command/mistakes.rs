//! Wrong input: one line and an exit code.
use crate::helper::{SHORT_SCENARIO, folder, run, text, write_scenario};
use std::path::{Path, PathBuf};

/// A command line, the exit code that it ends with, and a part of its complaint.
type Case<'a> = (&'a [&'a str], i32, &'a str);

fn assert_cases(cases: &[Case]) {
    for (arguments, code, expected) in cases {
        let done = run(arguments);
        let complaints = text(&done.stderr);
        assert_eq!(
            done.status.code(),
            Some(*code),
            "{arguments:?}: {complaints}"
        );
        assert!(complaints.contains(expected), "{arguments:?}: {complaints}");
        let own_lines = complaints
            .lines()
            .filter(|line| line.starts_with("thistlecroft: "))
            .count();
        assert_eq!(
            own_lines,
            usize::from(*code != 0),
            "{arguments:?}: {complaints}"
        );
    }
}

/// A sound scenario, one with an error, a torn configuration, and a folder for results.
struct Inputs {
    folder: PathBuf,
    good: String,
    bad: String,
    config: String,
    out: String,
}

impl Inputs {
    fn new(name: &str) -> Inputs {
        let folder = folder(name);
        let path = |name: &str| folder.join(name).to_string_lossy().into_owned();
        let (bad, config, out) = (path("bad.toml"), path("config.json"), path("out"));
        let bad_text = SHORT_SCENARIO.replace("boxes = 4", "boxes = \"four\"");
        std::fs::write(&bad, bad_text).unwrap();
        std::fs::write(&config, "{").unwrap();
        Inputs {
            good: write_scenario(&folder, SHORT_SCENARIO),
            bad,
            config,
            out,
            folder,
        }
    }

    fn remove(self) {
        std::fs::remove_dir_all(self.folder).unwrap();
    }
}

#[test]
fn files_with_errors_are_named_with_their_place() {
    let inputs = Inputs::new("mistakes-files");
    assert_cases(&[
        (&["check", &inputs.good], 0, ""),
        (&["check", &inputs.bad], 2, "bad.toml:5: fleet.boxes: "),
        (&["check", &inputs.config], 2, "config.json: EOF"),
        (&["check", "nowhere.toml"], 2, "nowhere.toml: No such file"),
        (
            &["serve", "--config", &inputs.config],
            1,
            "config.json: EOF",
        ),
        (&["completions", "bash"], 0, ""),
        (&["--version"], 0, ""),
    ]);
    inputs.remove();
}

#[test]
fn experiments_that_cannot_run_say_why() {
    let inputs = Inputs::new("mistakes-experiments");
    let (good, bad, out) = (
        inputs.good.as_str(),
        inputs.bad.as_str(),
        inputs.out.as_str(),
    );
    let run_relays_as = |program| {
        [
            "experiment",
            "run",
            good,
            "--way",
            "relays",
            "--relay",
            program,
            "--out",
            out,
        ]
    };
    assert_cases(&[
        (
            &["experiment", "run", bad, "--out", out],
            2,
            "bad.toml:5: fleet.boxes: ",
        ),
        (
            &["experiment", "run", "steadily", "--out", out],
            2,
            "neither a file nor one of",
        ),
        (
            &["experiment", "run", good, "--way", "fast", "--out", out],
            2,
            "no way \"fast\"; there are relays, least",
        ),
        (&run_relays_as("/bin/false"), 1, "it ended at once"),
        (&run_relays_as("/nowhere"), 1, "can't be started"),
        (
            &["experiment", "compare", out, "/nowhere"],
            2,
            "out: no summary.json",
        ),
        (&["experiment", "show", "steady"], 0, ""),
        (&["experiment", "show", "budget-target"], 0, ""),
    ]);
    inputs.remove();
}

#[test]
fn scale_tests_out_of_range_are_refused_before_anything_starts() {
    let inputs = Inputs::new("mistakes-scale");
    assert_cases(&[
        (
            &["experiment", "scale", "--relays", "1"],
            2,
            "--relays: 1 is not between 2 and",
        ),
        (
            &["experiment", "scale", "--subjects", "200000"],
            2,
            "--subjects: 200000 is not between",
        ),
        (
            &["experiment", "scale", "--fault", "region"],
            2,
            "--fault region: over simulated links only",
        ),
        (
            &["experiment", "scale", "--loss", "0.1"],
            2,
            "--loss: over simulated links only",
        ),
        (
            &["experiment", "scale", "--budget", "/nowhere.toml"],
            2,
            "/nowhere.toml: No such file",
        ),
        (
            &["experiment", "scale", "--budget", &inputs.bad],
            2,
            "bad.toml: line ",
        ),
        (
            &[
                "experiment",
                "scale",
                "--relays",
                "300",
                "--each-process",
                "1",
            ],
            1,
            "303 processes; 200 at most",
        ),
        (
            &["experiment", "slope", "--at", "10"],
            2,
            "--at: two sizes or more",
        ),
    ]);
    inputs.remove();
}

#[test]
fn shipped_scenarios_are_sound_and_listed() {
    let listed = text(&run(&["experiment", "list"]).stdout);
    let scenarios = Path::new(env!("CARGO_MANIFEST_DIR")).join("../scenarios");
    let mut count = 0;
    for file in std::fs::read_dir(scenarios).unwrap() {
        let path = file.unwrap().path();
        let name = path.file_stem().unwrap().to_string_lossy().into_owned();
        let done = run(&["check", &path.to_string_lossy()]);
        assert!(done.status.success(), "{}", text(&done.stderr));
        let start = format!("{name} ");
        assert!(
            listed.lines().any(|line| line.starts_with(&start)),
            "{name} is not listed"
        );
        count += 1;
    }
    assert!(count >= 12, "{count}");
}
