//! `thistlecroft peers`: asks relays at their admin ports how they see each other.
use crate::error::CommandError;
use clap::Args;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use thistlecroft::time::Duration;
use thistlecroft_testbed::socket_holder::send_admin_command;

/// Longest time to wait for one relay's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Allowed seconds between two rounds of `--watch`.
const INTERVAL_RANGE: std::ops::RangeInclusive<f64> = 0.05..=3_600.0;

#[derive(Args)]
pub(crate) struct PeersArgs {
    /// Addresses (IP:PORT) of the admin ports of one or more relays: `admin_addr` in their
    /// configurations.
    #[arg(required = true, value_name = "DOORS")]
    admin_addresses: Vec<SocketAddr>,
    /// Ask repeatedly, until interrupted.
    #[arg(long)]
    watch: bool,
    /// Seconds between two rounds of `--watch`, from 0.05 to 3600.
    #[arg(long, default_value_t = 1.0, requires = "watch")]
    every: f64,
    /// Print the JSON answers as received, one line per relay that answered.
    #[arg(long)]
    json: bool,
}

/// One relay's answer, or the reason why there is none.
struct View {
    address: SocketAddr,
    answer: Result<Value, PeersError>,
}

/// Why a relay's view of its peers is unknown.
#[derive(Debug)]
enum PeersError {
    /// The request to the admin port failed.
    Unreachable(std::io::Error),
    /// The relay refused the request, for this reason.
    Refused(String),
    /// The relay's answer is not valid JSON.
    Malformed(serde_json::Error),
}

impl std::fmt::Display for PeersError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            PeersError::Unreachable(error) => write!(f, "no answer from the admin port: {error}"),
            PeersError::Refused(reason) => f.write_str(reason),
            PeersError::Malformed(error) => write!(f, "the answer is not valid JSON: {error}"),
        }
    }
}

pub(crate) fn run(args: &PeersArgs) -> Result<(), CommandError> {
    if !INTERVAL_RANGE.contains(&args.every) {
        return Err(CommandError::invalid(
            "--every: between 0.05 and 3600 seconds",
        ));
    }
    loop {
        let views: Vec<View> = args.admin_addresses.iter().map(|&at| query(at)).collect();
        if args.json {
            print_json(&views);
        } else {
            print!("{}", render_page(&views));
        }
        if !args.watch {
            return check_all_answered(&views);
        }
        println!();
        std::thread::sleep(std::time::Duration::from_secs_f64(args.every));
    }
}

fn query(address: SocketAddr) -> View {
    let answer = send_admin_command(address, "PEERS", ANSWER_TIMEOUT)
        .map_err(PeersError::Unreachable)
        .and_then(|line| parse_answer(&line));
    View { address, answer }
}

fn parse_answer(line: &str) -> Result<Value, PeersError> {
    match line.strip_prefix("200 ") {
        Some(text) => serde_json::from_str(text).map_err(PeersError::Malformed),
        None => {
            let reason = line.strip_prefix("400 ").unwrap_or(line);
            Err(PeersError::Refused(reason.to_string()))
        }
    }
}

fn check_all_answered(views: &[View]) -> Result<(), CommandError> {
    let unanswered = views.iter().filter(|view| view.answer.is_err()).count();
    if unanswered == 0 {
        return Ok(());
    }
    Err(CommandError::Failed(format!(
        "{unanswered} of {} relays did not say",
        views.len()
    )))
}

fn print_json(views: &[View]) {
    for answer in views.iter().filter_map(|view| view.answer.as_ref().ok()) {
        println!("{answer}");
    }
}

/// The states in which relays see each other: for each relay and state, the relays that report it.
type ReportedStates<'a> = BTreeMap<&'a str, BTreeMap<&'a str, BTreeSet<&'a str>>>;

/// Renders a block for each relay, then a line for each relay that is seen in different states.
fn render_page(views: &[View]) -> String {
    let mut page = String::new();
    let mut reported_states = ReportedStates::new();
    for View { address, answer } in views {
        match answer {
            Ok(answer) => {
                page += &relay_block(answer);
                collect_states(answer, &mut reported_states);
            }
            Err(error) => page += &format!("{address}: {error}\n"),
        }
    }
    for (id, observers_by_state) in reported_states {
        if observers_by_state.len() > 1 {
            page += &difference_line(id, &observers_by_state);
        }
    }
    page
}

/// Returns the text of an object's field, or `?` if it is missing or not a string.
fn field<'a>(object: &'a Value, key: &str) -> &'a str {
    object[key].as_str().unwrap_or("?")
}

fn peer_entries(answer: &Value) -> impl Iterator<Item = &Value> {
    answer["peers"].as_array().into_iter().flatten()
}

fn collect_states<'a>(answer: &'a Value, reported_states: &mut ReportedStates<'a>) {
    let relay = field(answer, "me");
    let mut record = |id, state| {
        let observers_by_state = reported_states.entry(id).or_default();
        observers_by_state.entry(state).or_default().insert(relay);
    };
    // Each relay counts as seeing itself alive, for which the state in the answers is "here".
    record(relay, "here");
    for peer in peer_entries(answer) {
        record(field(peer, "id"), field(peer, "standing"));
    }
}

fn relay_block(answer: &Value) -> String {
    let counts = &answer["counts"];
    let mut block = format!(
        "{}: health {}, {} unheard, {} facts, {} bytes sent, {} refused as foreign, {} held back{}\n",
        field(answer, "me"),
        answer["health"],
        answer["unheard"],
        answer["facts"],
        counts["sent_bytes"],
        counts["foreign"],
        counts["held_back"],
        lease_summary(&answer["leases"])
    );
    for peer in peer_entries(answer) {
        block += &peer_line(peer);
    }
    block
}

fn peer_line(peer: &Value) -> String {
    let heard = peer["heard_ms"]
        .as_u64()
        .map_or("never".into(), |ms| format!("{ms} ms ago"));
    let since = peer["since_ms"].as_u64().unwrap_or_default() as f64 / 1e3;
    format!(
        "  {:<28} {:<10} for {since:>8.1} s  heard {heard:<14} at {}\n",
        field(peer, "id"),
        field(peer, "standing"),
        field(peer, "at")
    )
}

fn difference_line(id: &str, observers_by_state: &BTreeMap<&str, BTreeSet<&str>>) -> String {
    let states: Vec<String> = observers_by_state
        .iter()
        .map(|(state, relays)| {
            let relays: Vec<&str> = relays.iter().copied().collect();
            format!("{state} for {}", relays.join(", "))
        })
        .collect();
    format!("views differ: {id} is {}\n", states.join("; "))
}

fn lease_summary(leases: &Value) -> String {
    if leases.is_null() {
        return String::new();
    }
    let held: Vec<String> = leases["held"]
        .as_array()
        .into_iter()
        .flatten()
        .map(|lease| format!("{} by epoch {}", field(lease, "subject"), lease["epoch"]))
        .collect();
    let held = if held.is_empty() {
        "nothing".into()
    } else {
        held.join(", ")
    };
    let changing = if leases["settled"] == true {
        ""
    } else {
        ", change of voters not settled"
    };
    format!(
        "; voter: {}, generation {}{changing}, holds {held}",
        field(leases, "vote"),
        leases["generation"]
    )
}
