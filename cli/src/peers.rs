//! `thistlecroft peers`: how relays see each other, asked at their admin ports.
use crate::error::CommandError;
use clap::Args;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use thistlecroft::time::Duration;
use thistlecroft_testbed::socket_holder::send_admin_command;

/// Longest wait for one relay's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Seconds between two rounds.
const INTERVAL_RANGE: std::ops::RangeInclusive<f64> = 0.05..=3_600.0;

#[derive(Args)]
pub(crate) struct PeersArgs {
    /// Admin ports (`admin_addr`) of one or more relays.
    #[arg(required = true, value_name = "DOORS")]
    admin_addresses: Vec<SocketAddr>,
    /// Again and again, until interrupted.
    #[arg(long)]
    watch: bool,
    /// Between two rounds, in seconds.
    #[arg(long, default_value_t = 1.0, requires = "watch")]
    every: f64,
    /// The answers as they are, a line each.
    #[arg(long)]
    json: bool,
}

/// One relay's answer, or why there is none.
struct View {
    address: SocketAddr,
    answer: Result<Value, PeersError>,
}

/// Why a relay's view is not known.
#[derive(Debug)]
enum PeersError {
    /// The admin port could not be asked.
    Unreachable(std::io::Error),
    /// It answered with a refusal.
    Refused(String),
    /// Its answer is not JSON.
    Malformed(serde_json::Error),
}

impl std::fmt::Display for PeersError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            PeersError::Unreachable(error) => error.fmt(f),
            PeersError::Refused(reason) => f.write_str(reason),
            PeersError::Malformed(error) => error.fmt(f),
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
        let views: Vec<View> = args.admin_addresses.iter().map(|&at| ask(at)).collect();
        if args.json {
            print_json(&views);
        } else {
            print!("{}", page(&views));
        }
        if !args.watch {
            return check_all_answered(&views);
        }
        println!();
        std::thread::sleep(std::time::Duration::from_secs_f64(args.every));
    }
}

fn ask(address: SocketAddr) -> View {
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
    let silent = views.iter().filter(|view| view.answer.is_err()).count();
    if silent == 0 {
        return Ok(());
    }
    Err(CommandError::Failed(format!(
        "{silent} of {} relays did not say",
        views.len()
    )))
}

fn print_json(views: &[View]) {
    for answer in views.iter().filter_map(|view| view.answer.as_ref().ok()) {
        println!("{answer}");
    }
}

/// What relays say of one another: of each relay, for each state, who says so.
type Opinions<'a> = BTreeMap<&'a str, BTreeMap<&'a str, BTreeSet<&'a str>>>;

/// A block for each relay, then the relays of whom views differ.
fn page(views: &[View]) -> String {
    let mut page = String::new();
    let mut opinions = Opinions::new();
    for View { address, answer } in views {
        match answer {
            Ok(answer) => {
                page += &relay_block(answer);
                note_opinions(answer, &mut opinions);
            }
            Err(error) => page += &format!("{address}: {error}\n"),
        }
    }
    for (id, by_state) in opinions {
        if by_state.len() > 1 {
            page += &difference_line(id, &by_state);
        }
    }
    page
}

fn text<'a>(object: &'a Value, key: &str) -> &'a str {
    object[key].as_str().unwrap_or("?")
}

fn peers_of(answer: &Value) -> impl Iterator<Item = &Value> {
    answer["peers"].as_array().into_iter().flatten()
}

fn note_opinions<'a>(answer: &'a Value, opinions: &mut Opinions<'a>) {
    let relay = text(answer, "me");
    let mut note = |id, state| {
        let by_state = opinions.entry(id).or_default();
        by_state.entry(state).or_default().insert(relay);
    };
    note(relay, "here");
    for peer in peers_of(answer) {
        note(text(peer, "id"), text(peer, "standing"));
    }
}

fn relay_block(answer: &Value) -> String {
    let counts = &answer["counts"];
    let mut block = format!(
        "{}: health {}, {} unheard, {} facts, {} bytes sent, {} refused as foreign, {} held back{}\n",
        text(answer, "me"),
        answer["health"],
        answer["unheard"],
        answer["facts"],
        counts["sent_bytes"],
        counts["foreign"],
        counts["held_back"],
        leases(&answer["leases"])
    );
    for peer in peers_of(answer) {
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
        text(peer, "id"),
        text(peer, "standing"),
        text(peer, "at")
    )
}

fn difference_line(id: &str, by_state: &BTreeMap<&str, BTreeSet<&str>>) -> String {
    let opinions: Vec<String> = by_state
        .iter()
        .map(|(state, relays)| {
            let relays: Vec<&str> = relays.iter().copied().collect();
            format!("{state} for {}", relays.join(", "))
        })
        .collect();
    format!("views differ: {id} is {}\n", opinions.join("; "))
}

fn leases(leases: &Value) -> String {
    if leases.is_null() {
        return String::new();
    }
    let held: Vec<String> = leases["held"]
        .as_array()
        .into_iter()
        .flatten()
        .map(|lease| format!("{} by epoch {}", text(lease, "subject"), lease["epoch"]))
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
        text(leases, "vote"),
        leases["generation"]
    )
}
