//! `thistlecroft demo`: a live picture of two relays among failing boxes, and one line at its end.
use crate::experiments::{interrupted, own_relay};
use crate::{End, shipped};
use std::fmt::Write;
use std::io::IsTerminal;
use std::sync::atomic::Ordering;
use thistlecroft_experiments::run::{Look, Way, run as run_once};
use thistlecroft_experiments::scenario::Scenario;

/// Characters of a full box's bar.
const BAR: usize = 24;

pub fn run(seed: u64, plain: bool) -> Result<(), End> {
    let text = shipped::text("demo").expect("shipped with the command");
    let scenario = Scenario::parse("demo", text).map_err(|fault| End::Failed(fault.to_string()))?;
    let way = Way {
        name: "relays".into(),
        baseline: None,
        relay: own_relay()?,
        chartered: true,
    };
    let stop = interrupted();
    let folder = std::env::temp_dir().join(format!("thistlecroft-demo-{}", std::process::id()));
    let draws = std::io::stdout().is_terminal() && !plain;
    let mut drawn = 0;
    println!("{}", scenario.about);
    let mut watch = |look: &Look| {
        let picture = picture(look, draws);
        if drawn > 0 {
            // Over the picture before.
            print!("\x1b[{drawn}A\x1b[J");
        }
        print!("{picture}");
        drawn = if draws { picture.lines().count() } else { 0 };
    };
    let done = run_once(&scenario, &way, seed, &folder, &stop, &mut watch);
    let kept = done.as_ref().is_ok_and(|done| done.summary.kept());
    if kept {
        // Of a demonstration that went well nothing need stay.
        let _ = std::fs::remove_dir_all(&folder);
    }
    let summary = done.map_err(End::Failed)?.summary;
    println!("{}", summary.line());
    if !kept {
        println!("{}", summary.page());
        return Err(End::Failed(format!(
            "a rule was broken; what was seen is in {}",
            folder.display()
        )));
    }
    if stop.load(Ordering::Relaxed) {
        return Err(End::Interrupted("interrupted".into()));
    }
    Ok(())
}

fn picture(look: &Look, whole: bool) -> String {
    let mut text = format!(
        "{:3.0} s  {} relays  standing {:>4}  accepted {:>5}  refused {:>4}  torn down {:>3}  moved {:>4}",
        look.at.as_secs_f64(),
        look.relays,
        look.standing,
        look.up,
        look.busy,
        look.failed,
        look.moved
    );
    if !whole {
        let news = if look.news.is_empty() {
            String::new()
        } else {
            format!("  << {}", look.news.join(", "))
        };
        return text + &news + "\n";
    }
    text.push('\n');
    for (number, of) in look.boxes.iter().enumerate() {
        let (bar, state) = match of {
            Some((load, state)) => {
                let full = ((load * BAR as f64).round() as usize).min(BAR);
                (
                    format!("{}{}", "#".repeat(full), ".".repeat(BAR - full)),
                    format!("{load:5.2} {state}"),
                )
            }
            None => (" ".repeat(BAR), "  not running".into()),
        };
        let _ = writeln!(text, "  box {number:>2} |{bar}| {state}");
    }
    text
}
