//! Measures how the figures of a run grow with its size: the same run is repeated at several sizes
//! and seeds, and a straight line is fitted to the medians of each figure.
mod figures;
mod line;
mod table;

pub use line::Line;
pub use table::table;

use super::config::ScaleConfig;
use super::error::ScaleError;
use super::outcome::Outcome;
use super::{Programs, Progress, run, simulated};
use figures::{FIGURES, Figure};
use serde::Serialize;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The minimum number of points through which a line is fitted.
const MIN_POINTS: usize = 3;

/// The quantity that is varied between runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Variable {
    /// The number of relays. Each has as many subjects as in the configuration.
    Relays,
    /// The number of subjects of each relay.
    Subjects,
    /// The number of voters.
    Voters,
}

impl Variable {
    fn apply_to(self, config: &ScaleConfig, value: usize) -> ScaleConfig {
        let mut changed = config.clone();
        match self {
            Variable::Relays => {
                changed.subjects = config.subjects / config.relays.max(1) * value;
                changed.relays = value;
            }
            Variable::Subjects => changed.subjects = config.relays * value,
            Variable::Voters => changed.voters = value,
        }
        changed
    }

    fn label(self) -> &'static str {
        match self {
            Variable::Relays => "relays",
            Variable::Subjects => "subjects per relay",
            Variable::Voters => "voters",
        }
    }
}

/// A figure at all sizes.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// Name of the figure.
    pub figure: &'static str,
    /// Each size, with the least, the median and the greatest value over the seeds; `None` if no
    /// run of this size has the figure.
    pub points: Vec<(usize, Option<[f64; 3]>)>,
    /// The line through the medians; `None` if there are too few.
    pub line: Option<Line>,
}

/// Runs a scale test for each size and seed. Runs over simulated links are in parallel; runs with
/// processes follow each other, because they share the machine.
///
/// # Errors
/// Returns an error if a size is out of its range, or if a run fails.
pub fn sweep(
    config: &ScaleConfig,
    variable: Variable,
    sizes: &[usize],
    seeds: u64,
    programs: &Programs,
    progress: Progress<'_>,
) -> Result<Vec<(usize, Outcome)>, ScaleError> {
    let of_size = |size: &usize| (0..seeds).map(|seed| (*size, seed)).collect::<Vec<_>>();
    let mut all = Vec::new();
    for (size, seed) in sizes.iter().flat_map(of_size) {
        let mut varied = variable.apply_to(config, size);
        varied.seed = config.seed + seed;
        varied.validate()?;
        all.push((size, varied));
    }
    if config.simulated {
        return Ok(run_in_parallel(&all));
    }
    let mut done = Vec::new();
    for (size, config) in all {
        progress(&format!(
            "{} {size}, seed {}",
            variable.label(),
            config.seed
        ));
        done.push((size, run(&config, programs, progress)?));
    }
    Ok(done)
}

fn run_in_parallel(all: &[(usize, ScaleConfig)]) -> Vec<(usize, Outcome)> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let (next, done) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..cores.min(all.len()) {
            scope.spawn(|| {
                // The largest sizes start first, so that no long run is left over at the end.
                while let Some((size, config)) =
                    all.iter().rev().nth(next.fetch_add(1, Ordering::Relaxed))
                {
                    let outcome = simulated::run(config, &mut |_| {});
                    done.lock()
                        .expect("no thread panics while it holds the lock")
                        .push((*size, outcome));
                }
            });
        }
    });
    let mut done = done
        .into_inner()
        .expect("no thread panics while it holds the lock");
    done.sort_by_key(|(size, outcome)| (*size, outcome.config.seed));
    done
}

/// Returns each figure at all sizes, except those that no run has.
pub fn slopes(outcomes: &[(usize, Outcome)]) -> Vec<Slope> {
    let mut sizes: Vec<usize> = outcomes.iter().map(|(size, _)| *size).collect();
    sizes.dedup();
    let is_measured = |slope: &Slope| slope.points.iter().any(|(_, spread)| spread.is_some());
    FIGURES
        .iter()
        .map(|figure| slope(figure, &sizes, outcomes))
        .filter(is_measured)
        .collect()
}

fn slope(figure: &Figure, sizes: &[usize], outcomes: &[(usize, Outcome)]) -> Slope {
    let of_size = |size: &usize| {
        let own = outcomes.iter().filter(|(other, _)| other == size);
        let values = own.filter_map(|(_, outcome)| (figure.value)(outcome));
        (*size, spread(values.collect()))
    };
    let points: Vec<(usize, Option<[f64; 3]>)> = sizes.iter().map(of_size).collect();
    let medians: Vec<(f64, f64)> = points
        .iter()
        .filter_map(|(size, spread)| Some((*size as f64, spread.as_ref()?[1])))
        .collect();
    Slope {
        figure: figure.name,
        line: (medians.len() >= MIN_POINTS).then(|| Line::through(&medians)),
        points,
    }
}

/// Returns the least, the median and the greatest value.
fn spread(mut values: Vec<f64>) -> Option<[f64; 3]> {
    values.sort_by(f64::total_cmp);
    let (least, most) = values.first().zip(values.last())?;
    Some([*least, values[values.len() / 2], *most])
}

#[cfg(test)]
mod tests;
