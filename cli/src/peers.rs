//! `thistlecroft peers`: what relays think of each other, asked at their operators' doors.
use crate::End;
use clap::Args;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use thistlecroft::time::Duration;
use thistlecroft_testbed::socket_holder::send_admin_command;

#[derive(Args)]
pub struct Asked {
    /// Operators' doors (`admin_addr`) of one or more relays.
    #[arg(required = true)]
    doors: Vec<SocketAddr>,
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

const WAIT: Duration = Duration::from_millis(1_000);

pub fn run(asked: &Asked) -> Result<(), End> {
    if !(0.05..=3_600.0).contains(&asked.every) {
        return Err(End::Wrong("--every: between 0.05 and 3600 seconds".into()));
    }
    loop {
        let views: Vec<(SocketAddr, Result<Value, String>)> = asked
            .doors
            .iter()
            .map(|door| (*door, view(*door)))
            .collect();
        let silent = views.iter().filter(|(_, view)| view.is_err()).count();
        if asked.json {
            views
                .iter()
                .filter_map(|(_, view)| view.as_ref().ok())
                .for_each(|view| println!("{view}"));
        } else {
            print!("{}", page(&views));
        }
        if !asked.watch {
            return match silent {
                0 => Ok(()),
                _ => Err(End::Failed(format!(
                    "{silent} of {} relays did not say",
                    views.len()
                ))),
            };
        }
        println!();
        std::thread::sleep(std::time::Duration::from_secs_f64(asked.every));
    }
}

fn view(door: SocketAddr) -> Result<Value, String> {
    let said = send_admin_command(door, "PEERS", WAIT).map_err(|fault| fault.to_string())?;
    match said.strip_prefix("200 ") {
        Some(text) => serde_json::from_str(text).map_err(|fault| fault.to_string()),
        None => Err(said.strip_prefix("400 ").unwrap_or(&said).to_string()),
    }
}

fn text<'a>(of: &'a Value, key: &str) -> &'a str {
    of[key].as_str().unwrap_or("?")
}

/// A block a relay, then whose view differs from the others'.
fn page(views: &[(SocketAddr, Result<Value, String>)]) -> String {
    let mut page = String::new();
    let mut verdicts: BTreeMap<&str, BTreeMap<&str, BTreeSet<&str>>> = BTreeMap::new();
    for (door, view) in views {
        let view = match view {
            Ok(view) => view,
            Err(why) => {
                page += &format!("{door}: {why}\n");
                continue;
            }
        };
        let me = text(view, "me");
        verdicts
            .entry(me)
            .or_default()
            .entry("here")
            .or_default()
            .insert(me);
        let counts = &view["counts"];
        page += &format!(
            "{me}: health {}, {} unheard, {} facts, {} bytes sent, {} refused as foreign, {} held back{}\n",
            view["health"],
            view["unheard"],
            view["facts"],
            counts["sent_bytes"],
            counts["foreign"],
            counts["held_back"],
            leases(&view["leases"])
        );
        for peer in view["peers"].as_array().into_iter().flatten() {
            let (id, standing) = (text(peer, "id"), text(peer, "standing"));
            verdicts
                .entry(id)
                .or_default()
                .entry(standing)
                .or_default()
                .insert(me);
            let heard = peer["heard_ms"]
                .as_u64()
                .map_or("never".into(), |ms| format!("{ms} ms ago"));
            let since = peer["since_ms"].as_u64().unwrap_or_default() as f64 / 1e3;
            page += &format!(
                "  {id:<28} {standing:<10} for {since:>8.1} s  heard {heard:<14} at {}\n",
                text(peer, "at")
            );
        }
    }
    for (id, by_standing) in verdicts {
        if by_standing.len() > 1 {
            let each = by_standing.iter().map(|(standing, by)| {
                format!(
                    "{standing} for {}",
                    by.iter().copied().collect::<Vec<_>>().join(", ")
                )
            });
            page += &format!(
                "views differ: {id} is {}\n",
                each.collect::<Vec<_>>().join("; ")
            );
        }
    }
    page
}

fn leases(leases: &Value) -> String {
    if leases.is_null() {
        return String::new();
    }
    let held = leases["held"].as_array().into_iter().flatten();
    let held: Vec<String> = held
        .map(|one| format!("{} by epoch {}", text(one, "subject"), one["epoch"]))
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
