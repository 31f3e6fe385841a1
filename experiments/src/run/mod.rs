//! Runs: the testbed is set up, relays are started, the plan is carried out at its times, and what
//! was recorded is judged.
mod descriptors;
mod director;
mod error;
mod managed_relay;
mod progress;
mod relay_actions;
mod setup;
mod target;

pub use error::RunError;
pub use progress::{BackendProgress, Progress};
pub use target::RunTarget;

use crate::plan::Plan;
use crate::report;
use crate::scenario::Scenario;
use crate::summary::{Findings, Summary, summarize};
use director::Director;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_testbed::cluster_invariants::check_cluster_invariants;
use thistlecroft_testbed::event_recorder::RecordedEvent;
use thistlecroft_testbed::invariant_checker::check_invariants;
use thistlecroft_testbed::load_generator::LoadTotals;
use thistlecroft_testbed::relay_process::ensure_descriptor_limit;
use thistlecroft_testbed::simulated_backends::BackendTotals;

/// A run that was carried out.
pub struct Outcome {
    /// Its results.
    pub summary: Summary,
    /// Where they are kept.
    pub folder: PathBuf,
}

/// What was recorded over a run.
struct Recorded {
    events: Vec<RecordedEvent>,
    load_totals: Vec<LoadTotals>,
    backend_totals: BackendTotals,
    crashes: usize,
}

/// Carries a scenario out once; results are in `folder`, which is made. `stop` ends it early, its
/// results kept and marked.
///
/// # Errors
/// What could not be set up, or not be kept.
pub fn run(
    scenario: &Scenario,
    target: &RunTarget,
    seed: u64,
    folder: &Path,
    stop: &AtomicBool,
    on_progress: &mut dyn FnMut(&Progress),
) -> Result<Outcome, RunError> {
    let plan = Plan::new(scenario, seed);
    ensure_descriptor_limit(descriptors::needed(&plan, target)).map_err(testbed_error)?;
    std::fs::create_dir_all(folder).map_err(results_error(folder))?;
    let mut director = Director::open(scenario, &plan, target, folder)?;
    let is_complete = director.direct(stop, on_progress);
    let recorded = director.close();
    let rules = check_invariants(&recorded.events, &plan.rules);
    let violations = check_cluster_invariants(&recorded.events, &plan.cluster_limits);
    let length = recorded.events.last().map_or(Duration::ZERO, |last| {
        last.at.duration_since(Instant::default())
    });
    let summary = summarize(&Findings {
        scenario: &scenario.name,
        target: &target.name,
        is_baseline: target.baseline.is_some(),
        seed,
        is_complete,
        length,
        crashes: recorded.crashes,
        events: &recorded.events,
        rules: &rules,
        violations: &violations,
        load_totals: &recorded.load_totals,
        backend_totals: recorded.backend_totals,
    });
    let report = report::page(
        &summary,
        &recorded.events,
        &plan.marks,
        &recorded.load_totals,
    );
    let json = serde_json::to_string_pretty(&summary)?;
    keep(&recorded.events, &json, folder).map_err(results_error(folder))?;
    std::fs::write(folder.join("report.html"), report?).map_err(results_error(folder))?;
    Ok(Outcome {
        summary,
        folder: folder.to_path_buf(),
    })
}

fn results_error(folder: &Path) -> impl Fn(io::Error) -> RunError {
    let path = folder.to_path_buf();
    move |source| RunError::Results {
        path: path.clone(),
        source,
    }
}

fn testbed_error(error: impl ToString) -> RunError {
    RunError::Testbed(error.to_string())
}

fn keep(events: &[RecordedEvent], summary: &str, folder: &Path) -> io::Result<()> {
    let mut out = BufWriter::new(File::create(folder.join("events.jsonl"))?);
    for event in events {
        serde_json::to_writer(&mut out, event)?;
        out.write_all(b"\n")?;
    }
    out.flush()?;
    std::fs::write(folder.join("summary.json"), summary)
}
