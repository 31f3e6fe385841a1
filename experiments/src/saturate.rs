//! At what rate the testbed itself is the bottleneck: clients connect to backends without a relay
//! between, faster and faster.
use crate::run::{RunError, RunTarget, run};
use crate::scenario::{Baseline, MalformedScenario, Rate, Scenario};
use crate::summary::Summary;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use thiserror::Error;

/// Each step asks for so many times the rate of the one before.
const RATE_FACTOR: f64 = 1.5;
/// Set-ups a second.
const FIRST_RATE: f64 = 1_000.0;
const MAX_STEPS: usize = 12;

const TEXT: &str = r#"
about = "connections that live for a second, set up as fast as they come"
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

/// Why the rate could not be found.
#[derive(Debug, Error)]
pub enum SaturateError {
    /// The scenario that comes with it is wrong.
    #[error(transparent)]
    Scenario(#[from] MalformedScenario),
    /// A step could not be run.
    #[error(transparent)]
    Run(#[from] RunError),
}

/// Runs faster and faster until a run is late; the rates asked for and what came of each.
///
/// # Errors
/// A step could not be run.
pub fn saturate(
    folder: &Path,
    stop: &AtomicBool,
    on_step: &mut dyn FnMut(f64, &Summary),
) -> Result<Vec<(f64, Summary)>, SaturateError> {
    let mut scenario = Scenario::parse("saturate", TEXT)?;
    let target = RunTarget::of_baseline("direct", Baseline::Direct);
    let mut steps = Vec::new();
    let mut rate = FIRST_RATE;
    for step in 0..MAX_STEPS {
        scenario.traffic.rate = Rate::Even(rate);
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
