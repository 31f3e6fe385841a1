//! `thistlecroft demo`: shows two relays among failing backends while they run, and ends with a
//! line that sums up the run.
use crate::error::CommandError;
use crate::interrupt::interrupt_flag;
use crate::own_program::own_relay;
use crate::shipped;
use clap::Args;
use std::fmt::Write;
use std::io::IsTerminal;
use std::sync::atomic::Ordering;
use thistlecroft_experiments::run::{BackendProgress, Progress, RunTarget, run as run_once};
use thistlecroft_experiments::scenario::Scenario;

/// Width of a fully loaded backend's bar, in characters.
const BAR_WIDTH: usize = 24;

#[derive(Args)]
pub(crate) struct DemoArgs {
    /// Seed of the run's random draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print one line per second instead of a live picture, even on a terminal.
    #[arg(long)]
    plain: bool,
}

pub(crate) fn run(args: &DemoArgs) -> Result<(), CommandError> {
    let text =
        shipped::scenario_text("demo").expect("the scenario demo is shipped with the command");
    let scenario = Scenario::parse("demo", text).map_err(CommandError::failed)?;
    let target = RunTarget::own_relays(&own_relay()?);
    let stop = interrupt_flag();
    let folder = std::env::temp_dir().join(format!("thistlecroft-demo-{}", std::process::id()));
    let mut display = Display::new(args.plain);
    println!("{}", scenario.about);
    let mut on_progress = |progress: &Progress| display.show(progress);
    let outcome = run_once(
        &scenario,
        &target,
        args.seed,
        &folder,
        &stop,
        &mut on_progress,
    );
    let passed = outcome
        .as_ref()
        .is_ok_and(|outcome| outcome.summary.passed());
    if passed {
        // The files help only to examine a failed run. Failing to remove them does no harm.
        let _ = std::fs::remove_dir_all(&folder);
    }
    let summary = outcome.map_err(CommandError::failed)?.summary;
    println!("{}", summary.headline());
    if !passed {
        println!("{}", summary.report_text());
        return Err(CommandError::Failed(format!(
            "a rule was broken or a relay failed; the results of the run are in {}",
            folder.display()
        )));
    }
    if stop.load(Ordering::Relaxed) {
        return Err(CommandError::Interrupted("demo interrupted".into()));
    }
    Ok(())
}

/// Shows the run's progress on standard output: on a terminal as a picture that is redrawn in
/// place, otherwise as one line per report.
struct Display {
    draws_picture: bool,
    lines_drawn: usize,
}

impl Display {
    fn new(is_plain: bool) -> Display {
        Display {
            draws_picture: std::io::stdout().is_terminal() && !is_plain,
            lines_drawn: 0,
        }
    }

    fn show(&mut self, progress: &Progress) {
        if !self.draws_picture {
            println!("{}{}", totals_line(progress), progress.new_faults_suffix());
            return;
        }
        let picture = picture(progress);
        if self.lines_drawn > 0 {
            // Moves to the first line of the previous picture and clears the screen below it.
            print!("\x1b[{}A\x1b[J", self.lines_drawn);
        }
        print!("{picture}");
        self.lines_drawn = picture.lines().count();
    }
}

fn totals_line(progress: &Progress) -> String {
    format!(
        "{:3.0} s  {} relays  established {:>4}  accepted {:>5}  rejected {:>4}  failed {:>3}  migrated {:>4}",
        progress.elapsed.as_secs_f64(),
        progress.relays,
        progress.established,
        progress.accepted,
        progress.rejected,
        progress.failed,
        progress.migrated
    )
}

fn picture(progress: &Progress) -> String {
    let mut picture = totals_line(progress) + "\n";
    for (number, backend) in progress.backends.iter().enumerate() {
        let (bar, state) = match backend {
            Some(BackendProgress { load, state }) => (bar(*load), format!("{load:5.2} {state}")),
            None => (" ".repeat(BAR_WIDTH), "  not running".into()),
        };
        let _ = writeln!(picture, "  backend {number:>2} |{bar}| {state}");
    }
    picture
}

fn bar(load: f64) -> String {
    let full = ((load * BAR_WIDTH as f64).round() as usize).min(BAR_WIDTH);
    "#".repeat(full) + &".".repeat(BAR_WIDTH - full)
}
