//! What a figure grows with: the same run at several sizes and seeds, and a straight line through
//! what was measured.
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

/// A line needs so many points.
const MIN_POINTS: usize = 3;

/// What is varied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Variable {
    /// Relays, each with as many subjects as in the configuration.
    Relays,
    /// Subjects of each relay.
    Subjects,
    /// Voters.
    Voters,
}

impl Variable {
    fn set(self, config: &ScaleConfig, value: usize) -> ScaleConfig {
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

    fn word(self) -> &'static str {
        match self {
            Variable::Relays => "relays",
            Variable::Subjects => "subjects a relay",
            Variable::Voters => "voters",
        }
    }
}

/// One figure at all sizes.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// Its name.
    pub figure: &'static str,
    /// The size, and the figure's least, median and most over the seeds; none where it was never
    /// reached.
    pub points: Vec<(usize, Option<[f64; 3]>)>,
    /// The line through the medians.
    pub line: Option<Line>,
}

/// Runs of all sizes and seeds: at once over simulated links, one after the other as processes,
/// which share the machine.
///
/// # Errors
/// A size that is out of range, or what could not be set up.
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
        let mut one = variable.set(config, size);
        one.seed = config.seed + seed;
        one.validate()?;
        all.push((size, one));
    }
    if config.simulated {
        return Ok(at_once(&all));
    }
    let mut done = Vec::new();
    for (size, config) in all {
        progress(&format!("{} {size}, seed {}", variable.word(), config.seed));
        done.push((size, run(&config, programs, progress)?));
    }
    Ok(done)
}

fn at_once(all: &[(usize, ScaleConfig)]) -> Vec<(usize, Outcome)> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let (next, done) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..cores.min(all.len()) {
            scope.spawn(|| {
                // The largest first, so that none is left to run alone.
                while let Some((size, config)) =
                    all.iter().rev().nth(next.fetch_add(1, Ordering::Relaxed))
                {
                    let outcome = simulated::run(config, &mut |_| {});
                    done.lock()
                        .expect("nobody panics holding it")
                        .push((*size, outcome));
                }
            });
        }
    });
    let mut done = done.into_inner().expect("nobody panics holding it");
    done.sort_by_key(|(size, outcome)| (*size, outcome.config.seed));
    done
}

/// Each figure at all sizes; those that no run has are left out.
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

/// Least, median and most.
fn spread(mut values: Vec<f64>) -> Option<[f64; 3]> {
    values.sort_by(f64::total_cmp);
    let (least, most) = values.first().zip(values.last())?;
    Some([*least, values[values.len() / 2], *most])
}

#[cfg(test)]
mod tests;
