//! Compares the interface that other programs rely on with recordings: the verbs and flags of the
//! command, its environment variables, exit codes and output, and the files that it writes.
#[path = "../../tests/golden_file/mod.rs"]
mod golden_file;
#[path = "../../tests/unused_address/mod.rs"]
mod unused_address;

use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Write as _};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};
use unused_address::unused_address;

const INPUTS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/input");
const REPOSITORY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/..");

/// Longest time to wait for a process that a test starts.
const TIMEOUT: Duration = Duration::from_secs(20);

fn assert_unchanged(file: &str, actual: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    golden_file::assert_unchanged(&folder.join(file), actual);
}

/// Returns the command, to be run in the folder of the input files with an empty environment.
fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_thistlecroft"));
    command.args(arguments).current_dir(INPUTS).env_clear();
    command
}

fn run(arguments: &[&str]) -> Output {
    command(arguments).output().expect("the command starts")
}

fn decode(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Runs the command, asserts that it succeeds, and returns its standard output.
fn output_of(arguments: &[&str]) -> String {
    let output = run(arguments);
    assert!(
        output.status.success(),
        "{arguments:?}: {}",
        decode(&output.stderr)
    );
    decode(&output.stdout)
}

/// Creates an empty folder for one test.
fn test_folder(name: &str) -> PathBuf {
    let process = std::process::id();
    let path = std::env::temp_dir().join(format!("thistlecroft-golden-{process}-{name}"));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// Returns the command line, the exit code, standard output, and the errors that the command itself
/// prints. The messages of the command-line parser are left out.
fn transcript(arguments: &[&str], output: &Output) -> String {
    let code = output.status.code().expect("no signal ended the command");
    let mut lines = format!("$ thistlecroft {}\nexit {code}\n", arguments.join(" "));
    for line in decode(&output.stdout).lines() {
        writeln!(lines, "| {line}").unwrap();
    }
    let stderr = decode(&output.stderr);
    let own_lines = stderr
        .lines()
        .filter(|line| line.starts_with("thistlecroft: "));
    for line in own_lines {
        writeln!(lines, "! {line}").unwrap();
    }
    lines
}

/// All verbs, including the hidden `experiment hollow`.
const VERBS: &[&[&str]] = &[
    &[],
    &["serve"],
    &["check"],
    &["operator-config"],
    &["operator-config", "reference"],
    &["operator-config", "example"],
    &["demo"],
    &["peers"],
    &["experiment"],
    &["experiment", "run"],
    &["experiment", "compare"],
    &["experiment", "count"],
    &["experiment", "list"],
    &["experiment", "report"],
    &["experiment", "saturate"],
    &["experiment", "show"],
    &["experiment", "scale"],
    &["experiment", "slope"],
    &["experiment", "hollow"],
    &["experiment", "peers"],
    &["completions"],
];

/// Returns the part of a help line that callers depend on: the verb or flag, its environment
/// variable, its default and its possible values.
fn interface_of(line: &str) -> String {
    let line = line.trim();
    let name = line.split("  ").next().unwrap_or_default();
    let mut interface = name.to_string();
    for label in ["[env: ", "[default: ", "[possible values: "] {
        if let Some(at) = line.rfind(label) {
            let end = line[at..].find(']').map_or(line.len(), |end| at + end + 1);
            interface += &format!(" {}", &line[at..end]);
        }
    }
    interface
}

#[test]
fn help_lists_the_recorded_verbs_and_flags() {
    let mut recording = String::new();
    for verb in VERBS {
        let help = output_of(&[verb, ["-h"].as_slice()].concat());
        writeln!(recording, "thistlecroft {}", verb.join(" ")).unwrap();
        let sections = help.lines().skip_while(|line| !line.starts_with("Usage: "));
        let lines = sections.filter(|line| !line.is_empty());
        for line in lines {
            let is_entry = line.starts_with("  ");
            let recorded = if is_entry {
                interface_of(line)
            } else {
                line.to_string()
            };
            let indentation = if is_entry { "    " } else { "  " };
            writeln!(recording, "{indentation}{recorded}").unwrap();
        }
    }
    assert_unchanged("verbs_and_flags.txt", &recording);
}

/// Former names of verbs, each with its present name.
const FORMER_VERBS: [(&str, &str); 2] = [("charter", "operator-config"), ("lab", "experiment")];

#[test]
fn former_verbs_print_the_help_of_the_present_verbs() {
    for (former, present) in FORMER_VERBS {
        let of_present = VERBS.iter().filter(|verb| verb.first() == Some(&present));
        for verb in of_present {
            let mut former_verb = verb.to_vec();
            former_verb[0] = former;
            let help = output_of(&[verb, ["-h"].as_slice()].concat());
            assert_eq!(output_of(&[&former_verb[..], &["-h"]].concat()), help);
        }
        let overview = output_of(&["-h"]);
        let line = overview.lines().find(|line| line.contains(present));
        let line = line.unwrap_or_else(|| panic!("no line of {present}:\n{overview}"));
        assert!(line.contains(&format!("`{former}`")), "{line}");
    }
}

#[test]
fn former_flag_and_variable_work_like_the_present_ones() {
    let serve = ["serve", "--config", "config.json"];
    let file = "charter-wrong.toml";
    let flags =
        ["--charter", "--operator-config"].map(|flag| run(&[&serve[..], &[flag, file]].concat()));
    let variables = ["THISTLECROFT_CHARTER", "THISTLECROFT_OPERATOR_CONFIG"]
        .map(|variable| command(&serve).env(variable, file).output().unwrap());
    let stderr = decode(&flags[0].stderr);
    assert!(stderr.contains("route looking.dials"), "{stderr}");
    for output in flags.iter().chain(&variables) {
        assert_eq!(output.status.code(), Some(1));
        assert_eq!(decode(&output.stderr), stderr);
    }
}

/// Command lines that check files, and command lines that are invalid.
const CHECKS_AND_MISTAKES: &[&[&str]] = &[
    &["--version"],
    &[],
    &["unheard-of"],
    &["check"],
    &["check", "config.json"],
    &["check", "config-wrong.json"],
    &["check", "charter.toml"],
    &["check", "charter-wrong.toml"],
    &["check", "scenario.toml"],
    &["check", "scenario-wrong.toml"],
    &["check", "budget.toml"],
    &["check", "nowhere.toml"],
    &["check", "charter.toml", "--effective"],
    &[
        "check",
        "charter.toml",
        "--config",
        "config.json",
        "--effective",
    ],
    &[
        "check",
        "charter-later.toml",
        "--config",
        "config.json",
        "--effective",
    ],
    &[
        "check",
        "--against",
        "charter.toml",
        "charter-later.toml",
        "--config",
        "config.json",
    ],
    &["check", "--against", "charter.toml", "charter-later.toml"],
    &["check", "--against", "config.json", "config-later.json"],
    &["check", "--against", "config.json", "config.json"],
    &["check", "--against", "config.json", "charter.toml"],
    &["serve"],
    &["serve", "--config", "config-wrong.json"],
    &["serve", "--config", "nowhere.json"],
    &[
        "serve",
        "--config",
        "config.json",
        "--charter",
        "charter-wrong.toml",
    ],
    &["charter", "unheard-of"],
    &["operator-config", "unheard-of"],
    &["demo", "--seed", "one"],
    &["peers"],
    &["peers", "nobody"],
    &["peers", "127.0.0.1:9", "--every", "1"],
    &["peers", "127.0.0.1:9", "--watch", "--every", "0"],
    &["completions", "none"],
    &["lab", "run", "unheard-of"],
    &["lab", "run", "scenario-wrong.toml"],
    &["lab", "run", "scenario.toml", "--way", "fast"],
    &["lab", "run", "scenario.toml", "--baseline", "fast"],
    &["lab", "compare", "nowhere", "nowhere"],
    &["lab", "count", "nowhere"],
    &["lab", "count", ".", "--span", "0"],
    &["lab", "report", "nowhere"],
    &["lab", "show", "unheard-of"],
    &["lab", "show", "nowhere.toml"],
    &["lab", "scale", "--relays", "1"],
    &["lab", "scale", "--fault", "flood"],
    &["lab", "scale", "--budget", "nowhere.toml"],
    &["lab", "slope", "--at", "10"],
    &["lab", "peers", "--period", "1ms"],
    &["lab", "peers", "--loss", "1"],
    &["lab", "peers", "--simulated", "1"],
    &["lab", "peers", "--simulated", "3,5"],
];

#[test]
fn checks_and_invalid_command_lines_have_the_recorded_output_and_exit_code() {
    let mut recording = String::new();
    for arguments in CHECKS_AND_MISTAKES {
        recording += &transcript(arguments, &run(arguments));
    }
    assert_unchanged("checks_and_mistakes.txt", &recording);
}

/// A command line and the variables in its environment.
struct EnvironmentCase {
    arguments: &'static [&'static str],
    variables: &'static [(&'static str, &'static str)],
}

#[test]
fn environment_variables_replace_flags_with_the_recorded_output() {
    let cases = [
        EnvironmentCase {
            arguments: &["serve"],
            variables: &[("ROUTER_CONFIG", "config-wrong.json")],
        },
        EnvironmentCase {
            arguments: &["serve"],
            variables: &[
                ("ROUTER_CONFIG", "config.json"),
                ("THISTLECROFT_CHARTER", "charter-wrong.toml"),
            ],
        },
        EnvironmentCase {
            arguments: &["check", "charter.toml", "--effective"],
            variables: &[("ROUTER_CONFIG", "config.json")],
        },
    ];
    let mut recording = String::new();
    for EnvironmentCase {
        arguments,
        variables,
    } in cases
    {
        let output = command(arguments)
            .envs(variables.iter().copied())
            .output()
            .unwrap();
        for (variable, value) in variables {
            writeln!(recording, "{variable}={value}").unwrap();
        }
        recording += &transcript(arguments, &output);
    }
    assert_unchanged("environment.txt", &recording);
}

#[test]
fn shipped_texts_are_printed_as_stored_in_the_repository() {
    let repository = Path::new(REPOSITORY);
    let file = |path: &str| std::fs::read_to_string(repository.join(path)).unwrap();
    assert_eq!(
        output_of(&["charter", "example"]),
        file("deploy/charter.example.toml")
    );
    assert_eq!(
        output_of(&["charter", "reference"]),
        file("docs/operate/operator-config-reference.md")
    );
    for verb in ["example", "reference"] {
        let present = output_of(&["operator-config", verb]);
        assert_eq!(present, output_of(&["charter", verb]));
    }
    let listed = output_of(&["lab", "list"]);
    assert_eq!(listed, output_of(&["experiment", "list"]));
    let names: Vec<&str> = listed
        .lines()
        .filter_map(|line| line.split_whitespace().next())
        .collect();
    let folder = std::fs::read_dir(repository.join("scenarios")).unwrap();
    let in_folder = folder.map(|entry| entry.unwrap().path());
    let in_folder: BTreeSet<String> = in_folder
        .map(|path| path.file_stem().unwrap().to_string_lossy().into_owned())
        .collect();
    let listed: BTreeSet<String> = names.iter().map(|name| (*name).to_string()).collect();
    assert_eq!(listed, in_folder);
    for name in &names {
        let shown = output_of(&["lab", "show", name]);
        assert_eq!(shown, file(&format!("scenarios/{name}.toml")), "{name}");
    }
    assert_unchanged("scenario_names.txt", &(names.join("\n") + "\n"));
}

/// Waits until the process exits, at most for [`TIMEOUT`].
fn wait_for_exit(process: &mut Child) {
    let deadline = Instant::now() + TIMEOUT;
    while process.try_wait().unwrap().is_none() && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Starts a relay, returns the first line that it logs, and kills it. The wait for the line is
/// limited by [`TIMEOUT`]. Panics with the relay's exit status if its log ends before any line.
fn first_logged_line(mut relay: Command) -> String {
    let mut relay = relay.stderr(Stdio::piped()).spawn().unwrap();
    let mut log = BufReader::new(relay.stderr.take().unwrap());
    let (sender, receiver) = std::sync::mpsc::channel();
    let reader = std::thread::spawn(move || {
        let mut line = String::new();
        let read = log.read_line(&mut line).map(|_| line);
        // After the timeout the receiver is gone, and the send fails.
        let _ = sender.send(read);
    });
    let line = receiver.recv_timeout(TIMEOUT);
    let has_log_ended = matches!(&line, Ok(Ok(line)) if line.is_empty());
    if has_log_ended {
        wait_for_exit(&mut relay);
    }
    relay.kill().unwrap();
    let status = relay.wait().unwrap();
    reader.join().unwrap();
    assert!(
        !has_log_ended,
        "the log ended before its first line: {status}"
    );
    line.expect("a log line before the timeout").unwrap()
}

#[test]
fn serving_relay_with_json_log_writes_the_recorded_keys() {
    let folder = test_folder("log");
    let config = std::fs::read_to_string(Path::new(INPUTS).join("config.json")).unwrap();
    let address = unused_address().to_string();
    let path = folder.join("config.json");
    std::fs::write(&path, config.replace("127.0.0.1:9000", &address)).unwrap();
    let path = path.to_string_lossy().into_owned();
    let line = first_logged_line(command(&[
        "--log-format",
        "json",
        "serve",
        "--config",
        &path,
    ]));
    std::fs::remove_dir_all(folder).unwrap();
    let entry: Value =
        serde_json::from_str(&line).unwrap_or_else(|error| panic!("{error}: {line}"));
    let mut recording = String::new();
    for (key, value) in entry.as_object().unwrap() {
        let is_fixed = matches!(key.as_str(), "level" | "target" | "name");
        let value = if is_fixed {
            value.to_string()
        } else {
            "*".into()
        };
        writeln!(recording, "{key} = {value}").unwrap();
    }
    assert_unchanged("log_entry.txt", &recording);
}

/// Starts an admin port that gives one request the answer. Returns its address, and the thread that
/// returns the request.
fn start_admin_port(answer: &'static str) -> (String, std::thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let request = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = String::new();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        reader.read_line(&mut request).unwrap();
        write!(stream, "{answer}\r\n").unwrap();
        request
    });
    (address, request)
}

#[test]
fn peers_sends_the_recorded_request_and_prints_the_recorded_view() {
    const VIEW: &str = r#"200 {"counts":{"foreign":1,"held_back":2,"sent_bytes":300},"facts":4,"health":0,"leases":null,"me":"relay-1/00000007","peers":[{"at":"10.0.0.2:7946","heard_ms":12,"id":"relay-2/00000008","incarnation":3,"standing":"suspected"}],"unheard":1}"#;
    let cases: &[(&str, &[&str])] = &[
        (VIEW, &["--json"]),
        (VIEW, &[]),
        ("400 this relay is alone", &[]),
    ];
    let mut recording = String::new();
    for (answer, flags) in cases {
        let (address, request) = start_admin_port(answer);
        let output = run(&[&["peers", &address], *flags].concat());
        let shown = transcript(&[&["peers", "DOOR"], *flags].concat(), &output);
        recording += &shown.replace(&address, "DOOR");
        // Connects once more, so that the thread ends even if the command never connected.
        drop(TcpStream::connect(&address));
        writeln!(recording, "call {:?}", request.join().unwrap()).unwrap();
    }
    assert_unchanged("peers.txt", &recording);
}

/// Adds the path of every key in a JSON value to `keys`. The elements of an array share one path.
fn collect_keys(value: &Value, path: &str, keys: &mut BTreeSet<String>) {
    match value {
        Value::Object(map) => {
            for (key, value) in map {
                let path = format!("{path}.{key}");
                keys.insert(path.clone());
                collect_keys(value, &path, keys);
            }
        }
        Value::Array(values) => {
            let path = format!("{path}[]");
            for value in values {
                collect_keys(value, &path, keys);
            }
        }
        _ => {}
    }
}

fn keys_of_file(path: &Path) -> BTreeSet<String> {
    let text = std::fs::read(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    let mut keys = BTreeSet::new();
    collect_keys(&serde_json::from_slice(&text).unwrap(), "", &mut keys);
    keys
}

/// Kinds of event that occur in every run. Under load, other kinds may occur too.
const EVENTS_OF_EVERY_RUN: &[&str] = &[
    "answered",
    "asked",
    "box-load",
    "box-started",
    "dial-came",
    "dial-replied",
    "ended",
    "mark",
    "relay-cost",
    "relay-started",
    "told",
];

/// Returns the keys of each kind of event, taken from its first event.
fn keys_of_events(path: &Path) -> BTreeMap<String, String> {
    let text = std::fs::read_to_string(path).unwrap();
    let mut keys = BTreeMap::new();
    for line in text.lines() {
        let event: Value = serde_json::from_str(line).unwrap();
        let object = event.as_object().expect("an event is an object");
        let kind = object["event"].as_str().unwrap().to_string();
        if !EVENTS_OF_EVERY_RUN.contains(&kind.as_str()) {
            continue;
        }
        let names: Vec<&str> = object.keys().map(String::as_str).collect();
        keys.entry(kind).or_insert_with(|| names.join(" "));
    }
    keys
}

#[test]
fn finished_run_writes_files_with_the_recorded_names_and_keys() {
    let out = test_folder("run");
    let out_text = out.to_string_lossy().into_owned();
    output_of(&["lab", "run", "scenario.toml", "--quiet", "--out", &out_text]);
    let run = out.join("scenario/relays/seed-1");
    let mut names: Vec<String> = std::fs::read_dir(&run)
        .unwrap()
        .map(|entry| entry.unwrap().file_name().to_string_lossy().into_owned())
        .collect();
    names.sort();
    let mut recording = format!("files: {}\n", names.join(" "));
    for file in ["summary.json", "relay-0.json"] {
        writeln!(recording, "{file}").unwrap();
        for key in keys_of_file(&run.join(file)) {
            writeln!(recording, "    {key}").unwrap();
        }
    }
    writeln!(recording, "events.jsonl").unwrap();
    for (kind, keys) in keys_of_events(&run.join("events.jsonl")) {
        writeln!(recording, "    {kind}: {keys}").unwrap();
    }
    std::fs::remove_dir_all(out).unwrap();
    assert_unchanged("run_files.txt", &recording);
}

#[test]
fn simulated_scale_test_writes_files_with_the_recorded_names_and_keys() {
    let out = test_folder("scale");
    let out_text = out.to_string_lossy().into_owned();
    let sizes = ["--relays", "6", "--subjects", "12", "--zones", "2"];
    let shape = ["--first-region", "1", "--rack", "2", "--calm", "2"];
    let mode = ["--simulated", "--quiet", "--out", &out_text];
    let arguments = [&["lab", "scale"], &sizes[..], &shape, &mode].concat();
    output_of(&arguments);
    let mut files: Vec<PathBuf> = std::fs::read_dir(&out)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    files.sort();
    let mut recording = String::new();
    for file in &files {
        let name = file.file_name().unwrap().to_string_lossy();
        writeln!(recording, "{name}").unwrap();
        if file.extension().is_some_and(|ending| ending == "json") {
            for key in keys_of_file(file) {
                writeln!(recording, "    {key}").unwrap();
            }
        }
    }
    std::fs::remove_dir_all(out).unwrap();
    assert_unchanged("scale_files.txt", &recording);
}
