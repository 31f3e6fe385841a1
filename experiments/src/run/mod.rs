//! Runs a scenario: sets up the testbed, starts the relays, executes the plan and checks the
//! recorded events.
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

/// The outcome of a run.
pub struct Outcome {
    /// The results of the run.
    pub summary: Summary,
    /// The folder with the files of the run.
    pub folder: PathBuf,
}

/// The events and totals that were recorded during a run.
struct Recorded {
    events: Vec<RecordedEvent>,
    load_totals: Vec<LoadTotals>,
    backend_totals: BackendTotals,
    crashes: usize,
}

/// Runs a scenario once and writes the results to `folder`, which is created. Setting `stop` ends
/// the run early; its results are written and marked as interrupted.
///
/// # Errors
/// Returns an error if the testbed can't be set up or the results can't be written.
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
    let is_complete = director.execute(stop, on_progress);
    let recorded = director.close();
    let check_result = check_invariants(&recorded.events, &plan.deployment);
    let cluster_violations = check_cluster_invariants(&recorded.events, &plan.cluster_limits);
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
        check_result: &check_result,
        cluster_violations: &cluster_violations,
        load_totals: &recorded.load_totals,
        backend_totals: recorded.backend_totals,
    });
    let report = report::html(
        &summary,
        &recorded.events,
        &plan.marks,
        &recorded.load_totals,
    );
    let json = serde_json::to_string_pretty(&summary)?;
    write_results(&recorded.events, &json, folder).map_err(results_error(folder))?;
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

fn write_results(events: &[RecordedEvent], summary: &str, folder: &Path) -> io::Result<()> {
    let mut out = BufWriter::new(File::create(folder.join("events.jsonl"))?);
    for event in events {
        serde_json::to_writer(&mut out, event)?;
        out.write_all(b"\n")?;
    }
    out.flush()?;
    std::fs::write(folder.join("summary.json"), summary)
}
