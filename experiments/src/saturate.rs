//! Finds the rate at which the testbed itself is the bottleneck: clients connect directly to
//! backends, without relays, at increasing rates.
use crate::run::{RunError, RunTarget, run};
use crate::scenario::{Baseline, MalformedScenario, Rate, Scenario};
use crate::summary::Summary;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use thiserror::Error;

/// The ratio between the rates of consecutive steps.
const RATE_FACTOR: f64 = 1.5;
/// The rate of the first step in set-ups per second.
const FIRST_RATE: f64 = 1_000.0;
const MAX_STEPS: usize = 12;

const SCENARIO: &str = r#"
about = "clients that stay connected for a second, at a rate that grows with each step"
length = "4s"
[fleet]
boxes = 20
capacity = 1000000.0
most = 100000
set_up = "0ms"
[traffic]
rate = 1.0
beat = "500ms"
[[listener]]
name = "view"
wait = "2s"
handshake_target = "300ms"
message_target = "50ms"
life = "1s"
"#;

/// An error that prevents the rate from being found.
#[derive(Debug, Error)]
pub enum SaturateError {
    /// The built-in scenario is invalid.
    #[error(transparent)]
    Scenario(#[from] MalformedScenario),
    /// The run of a step failed.
    #[error(transparent)]
    Run(#[from] RunError),
}

/// Runs at increasing rates until the testbed is the bottleneck. Returns the rate and the summary
/// of each step.
///
/// # Errors
/// Returns an error if the run of a step fails.
pub fn saturate(
    folder: &Path,
    stop: &AtomicBool,
    on_step: &mut dyn FnMut(f64, &Summary),
) -> Result<Vec<(f64, Summary)>, SaturateError> {
    let mut scenario = Scenario::parse("saturate", SCENARIO)?;
    let target = RunTarget::of_baseline("direct", Baseline::Direct);
    let mut steps = Vec::new();
    let mut rate = FIRST_RATE;
    for step in 0..MAX_STEPS {
        scenario.traffic.rate = Rate::Constant(rate);
        let folder = folder.join(format!("step-{step}"));
        let outcome = run(&scenario, &target, 1, &folder, stop, &mut |_| {})?;
        on_step(rate, &outcome.summary);
        let is_last = outcome.summary.testbed_was_late || !outcome.summary.complete;
        steps.push((rate, outcome.summary));
        if is_last {
            break;
        }
        rate *= RATE_FACTOR;
    }
    Ok(steps)
}
