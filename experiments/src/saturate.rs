//! At what rate the stand-ins themselves are the bottleneck: clients dial boxes without a relay
//! between, faster and faster.
use crate::run::{Way, run};
use crate::scenario::{Baseline, Rate, Scenario};
use crate::summary::Summary;
use std::path::Path;
use std::sync::atomic::AtomicBool;

/// Each step asks for so much more.
const FACTOR: f64 = 1.5;
const FIRST: f64 = 1_000.0;
const STEPS: usize = 12;

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

/// Runs faster and faster until a run is late; the rates asked for and what came of each.
///
/// # Errors
/// As a run's.
pub fn saturate(
    folder: &Path,
    stop: &AtomicBool,
    told: &mut dyn FnMut(f64, &Summary),
) -> Result<Vec<(f64, Summary)>, String> {
    let mut scenario = Scenario::parse("saturate", TEXT).map_err(|fault| fault.to_string())?;
    let way = Way {
        name: "direct".into(),
        baseline: Some(Baseline::Direct),
        relay: Vec::new(),
        chartered: false,
    };
    let mut rows = Vec::new();
    let mut rate = FIRST;
    for step in 0..STEPS {
        scenario.traffic.rate = Rate::Even(rate);
        let done = run(
            &scenario,
            &way,
            1,
            &folder.join(format!("step-{step}")),
            stop,
            &mut |_| {},
        )?;
        told(rate, &done.summary);
        let over = done.summary.tool_was_late || !done.summary.complete;
        rows.push((rate, done.summary));
        if over {
            break;
        }
        rate *= FACTOR;
    }
    Ok(rows)
}
