//! Tests of invalid command lines and files: each error is one line, with an exit code.
use crate::helper::{SHORT_SCENARIO, decode, run, test_folder, write_scenario};
use std::path::{Path, PathBuf};

/// A command line, its expected exit code, and a part of its expected standard error.
type ExpectedExit<'a> = (&'a [&'a str], i32, &'a str);

fn assert_exits(cases: &[ExpectedExit]) {
    for (arguments, code, expected) in cases {
        let output = run(arguments);
        let stderr = decode(&output.stderr);
        assert_eq!(output.status.code(), Some(*code), "{arguments:?}: {stderr}");
        assert!(stderr.contains(expected), "{arguments:?}: {stderr}");
        let own_lines = stderr
            .lines()
            .filter(|line| line.starts_with("thistlecroft: "))
            .count();
        assert_eq!(
            own_lines,
            usize::from(*code != 0),
            "{arguments:?}: {stderr}"
        );
    }
}

/// A valid scenario, an invalid one, a truncated relay configuration, and a folder for results.
struct Inputs {
    folder: PathBuf,
    valid: String,
    invalid: String,
    config: String,
    out: String,
}

impl Inputs {
    fn new(name: &str) -> Inputs {
        let folder = test_folder(name);
        let path = |name: &str| folder.join(name).to_string_lossy().into_owned();
        let (invalid, config, out) = (path("bad.toml"), path("config.json"), path("out"));
        let invalid_text = SHORT_SCENARIO.replace("boxes = 4", "boxes = \"four\"");
        std::fs::write(&invalid, invalid_text).unwrap();
        std::fs::write(&config, "{").unwrap();
        Inputs {
            valid: write_scenario(&folder, SHORT_SCENARIO),
            invalid,
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
fn invalid_files_are_reported_with_file_and_line() {
    let inputs = Inputs::new("mistakes-files");
    assert_exits(&[
        (&["check", &inputs.valid], 0, ""),
        (&["check", &inputs.invalid], 2, "bad.toml:5: fleet.boxes: "),
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
fn experiments_that_cannot_run_fail_with_the_reason() {
    let inputs = Inputs::new("mistakes-experiments");
    let (valid, invalid, out) = (
        inputs.valid.as_str(),
        inputs.invalid.as_str(),
        inputs.out.as_str(),
    );
    let run_relays_as = |program| {
        [
            "experiment",
            "run",
            valid,
            "--way",
            "relays",
            "--relay",
            program,
            "--out",
            out,
        ]
    };
    assert_exits(&[
        (
            &["experiment", "run", invalid, "--out", out],
            2,
            "bad.toml:5: fleet.boxes: ",
        ),
        (
            &["experiment", "run", "steadily", "--out", out],
            2,
            "neither a file nor one of",
        ),
        (
            &["experiment", "run", valid, "--way", "fast", "--out", out],
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
fn scale_tests_with_arguments_out_of_range_fail_before_anything_starts() {
    let inputs = Inputs::new("mistakes-scale");
    assert_exits(&[
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
            &["experiment", "scale", "--budget", &inputs.invalid],
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
            "303 processes, but at most 200 are allowed",
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
fn shipped_scenarios_are_valid_and_listed() {
    let listed = decode(&run(&["experiment", "list"]).stdout);
    let scenarios = Path::new(env!("CARGO_MANIFEST_DIR")).join("../scenarios");
    let mut count = 0;
    for file in std::fs::read_dir(scenarios).unwrap() {
        let path = file.unwrap().path();
        let name = path.file_stem().unwrap().to_string_lossy().into_owned();
        let output = run(&["check", &path.to_string_lossy()]);
        assert!(output.status.success(), "{}", decode(&output.stderr));
        let start = format!("{name} ");
        assert!(
            listed.lines().any(|line| line.starts_with(&start)),
            "{name} is not listed"
        );
        count += 1;
    }
    assert!(count >= 12, "{count}");
}
